//! Recorded days play the same each time, and bad files are named.
use googletest::prelude::*;
use wv_replay::{from_ring, play, Day, Report};

fn day(text: &str) -> Report {
    Day::parse(text).and_then(|day| play(&day, None, None)).unwrap_or_default()
}

fn has(report: &Report, text: &str) -> bool {
    report.lines.iter().any(|line| line.text.contains(text))
}

#[gtest]
fn given_the_day_of_a_crash_then_it_is_sound_and_plays_the_same_twice() {
    let text = include_str!("days/crash.day");
    let report = day(text);
    expect_that!(report.broken, is_empty());
    expect_that!(report.promotions, eq(1));
    expect_that!(report.done, gt(1000));
    expect_that!(has(&report, "x hears ERROR ABORTED"), eq(true));
    expect_that!(day(text) == report, eq(true));
    expect_that!(report.json(), contains_substring("\"promotions\":1"));
}

#[gtest]
fn given_the_day_of_a_dead_holder_and_a_silent_platform_then_a_writer_is_found_in_the_end() {
    let report = day(include_str!("days/holder.day"));
    expect_that!(report.broken, is_empty());
    expect_that!(has(&report, "leads term 2"), eq(true));
    expect_that!(report.done, gt(500));
}

#[gtest]
fn given_a_day_of_two_services_then_one_can_be_looked_at_alone_and_up_to_a_moment() {
    let parsed = Day::parse(include_str!("days/services.day"));
    let whole = parsed.as_ref().ok().and_then(|day| play(day, None, None).ok()).unwrap_or_default();
    expect_that!(whole.broken, is_empty());
    expect_that!((has(&whole, "i-s1"), has(&whole, "i-t0")), eq((true, true)));
    let part = parsed.as_ref().ok().and_then(|day| play(day, Some(2_500_000), Some("t")).ok()).unwrap_or_default();
    expect_that!((has(&part, "i-s1"), has(&part, "i-t0")), eq((false, true)));
    expect_that!(part.lines.iter().all(|line| line.at_us <= 2_500_000), eq(true));
}

#[gtest]
fn given_bad_lines_then_each_is_named_with_its_number_and_what_was_expected() {
    for (text, line, wanted) in [
        ("0 conf x", 1, "a version"),
        ("\n# fine\n-1 stop", 3, "between 0 and 86400"),
        ("0 conf 1\n1 fly s0", 2, "an event such as"),
        ("fleet access=0", 1, "access=N"),
        ("0 crash s0 s1", 1, "the end of the line"),
    ] {
        let error = Day::parse(text).map(|_| ()).map_err(|error| error.to_string());
        expect_that!(error, err(all![contains_substring(format!("line {line}")), contains_substring(wanted)]));
    }
    let unknown = Day::parse("1 crash zz").and_then(|day| play(&day, None, None)).map(|_| ());
    expect_that!(unknown.map_err(|error| error.to_string()), err(contains_substring("no database \"zz\"")));
    expect_that!(Day::parse("# nothing").is_err(), eq(true));
}

#[gtest]
fn given_a_log_written_out_then_the_day_it_tells_of_can_be_played() {
    let log = "  10:00:00.000 INFO nodes 4\n  10:00:03.250 INFO saw i-abc refused\nnoise\n\
               10:00:05.000 INFO in force 7\n  10:00:06.500 INFO saw i-abc up\n";
    let text = from_ring(log);
    expect_that!(text, all![contains_substring("access=4"), contains_substring("7.250 crash s0")]);
    expect_that!(text, all![contains_substring("conf 7"), contains_substring("10.500 revive s0")]);
    let report = day(&text);
    expect_that!(report.broken, is_empty());
    expect_that!(report.promotions, eq(1));
}

#[gtest]
fn given_the_day_of_a_shard_whose_owner_dies_then_the_timeline_shows_it_move_and_nothing_failed() {
    let report = day(include_str!("days/shard.day"));
    expect_that!(report.broken, is_empty());
    expect_that!(has(&report, "shard s goes to a2"), eq(true));
    expect_that!(has(&report, "shard s goes to a0"), eq(true));
    expect_that!(report.done, gt(500));
    expect_that!(report.failed, le(1));
}
