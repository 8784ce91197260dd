//! Scenarios: deterministic playback, parse errors, and conversion from logs.
use googletest::prelude::*;
use wv_replay::{play_scenario, scenario_from_log, Scenario, ScenarioReport};

fn play_text(text: &str) -> ScenarioReport {
    Scenario::parse(text).and_then(|scenario| play_scenario(&scenario, None, None)).unwrap_or_default()
}

fn has(report: &ScenarioReport, text: &str) -> bool {
    report.timeline.iter().any(|entry| entry.text.contains(text))
}

#[gtest]
fn given_a_crash_scenario_then_it_has_no_violations_and_is_deterministic() {
    let text = include_str!("days/crash.day");
    let report = play_text(text);
    expect_that!(report.violations, is_empty());
    expect_that!(report.promotions, eq(1));
    expect_that!(report.completed, gt(1000));
    expect_that!(has(&report, "x hears ERROR ABORTED"), eq(true));
    expect_that!(play_text(text) == report, eq(true));
    expect_that!(report.to_json(), contains_substring("\"promotions\":1"));
}

#[gtest]
fn given_a_lost_duty_holder_and_an_unavailable_platform_then_a_primary_is_eventually_promoted() {
    let report = play_text(include_str!("days/holder.day"));
    expect_that!(report.violations, is_empty());
    expect_that!(has(&report, "leads term 2"), eq(true));
    expect_that!(report.completed, gt(500));
}

#[gtest]
fn given_a_scenario_of_two_services_then_the_timeline_can_be_limited_to_one_service_and_a_time() {
    let parsed = Scenario::parse(include_str!("days/services.day"));
    let whole = parsed.as_ref().ok().and_then(|scenario| play_scenario(scenario, None, None).ok()).unwrap_or_default();
    expect_that!(whole.violations, is_empty());
    expect_that!((has(&whole, "i-s1"), has(&whole, "i-t0")), eq((true, true)));
    let part = parsed
        .as_ref()
        .ok()
        .and_then(|scenario| play_scenario(scenario, Some(2_500_000), Some("t")).ok())
        .unwrap_or_default();
    expect_that!((has(&part, "i-s1"), has(&part, "i-t0")), eq((false, true)));
    expect_that!(part.timeline.iter().all(|entry| entry.at_us <= 2_500_000), eq(true));
}

#[gtest]
fn given_invalid_lines_then_each_error_names_the_line_and_the_expected_input() {
    for (text, line, expected) in [
        ("0 conf x", 1, "a version"),
        ("\n# fine\n-1 stop", 3, "between 0 and 86400"),
        ("0 conf 1\n1 fly s0", 2, "an event such as"),
        ("fleet access=0", 1, "access=N"),
        ("0 crash s0 s1", 1, "the end of the line"),
    ] {
        let error = Scenario::parse(text).map(|_| ()).map_err(|error| error.to_string());
        expect_that!(error, err(all![contains_substring(format!("line {line}")), contains_substring(expected)]));
    }
    let unknown = Scenario::parse("1 crash zz").and_then(|scenario| play_scenario(&scenario, None, None)).map(|_| ());
    expect_that!(unknown.map_err(|error| error.to_string()), err(contains_substring("no database \"zz\"")));
    expect_that!(Scenario::parse("# nothing").is_err(), eq(true));
}

#[gtest]
fn given_a_log_dump_then_the_converted_scenario_can_be_played() {
    let log = "  10:00:00.000 INFO nodes 4\n  10:00:03.250 INFO saw i-abc refused\nnoise\n\
               10:00:05.000 INFO in force 7\n  10:00:06.500 INFO saw i-abc up\n";
    let text = scenario_from_log(log);
    expect_that!(text, all![contains_substring("access=4"), contains_substring("7.250 crash s0")]);
    expect_that!(text, all![contains_substring("conf 7"), contains_substring("10.500 revive s0")]);
    let report = play_text(&text);
    expect_that!(report.violations, is_empty());
    expect_that!(report.promotions, eq(1));
}

#[gtest]
fn given_a_shard_whose_owner_is_killed_then_the_timeline_shows_its_moves_and_at_most_one_operation_fails() {
    let report = play_text(include_str!("days/shard.day"));
    expect_that!(report.violations, is_empty());
    expect_that!(has(&report, "shard s goes to a2"), eq(true));
    expect_that!(has(&report, "shard s goes to a0"), eq(true));
    expect_that!(report.completed, gt(500));
    expect_that!(report.failed, le(1));
}
