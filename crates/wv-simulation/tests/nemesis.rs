//! Randomized fault schedules with fixed seeds: no check fails, and runs are deterministic.
use googletest::prelude::*;
use wv_simulation::nemesis::{check, generate, run, shrink_with, EventKind, FaultBound, Finding, Schedule};

/// The seeds are split over several tests so that these run in parallel.
const SCHEDULES_PER_TEST: u64 = 60;

fn run_seeds(first: u64) {
    for seed in first..first + SCHEDULES_PER_TEST {
        let schedule = generate(seed);
        let findings = check(&run(&schedule), schedule.fault_bound);
        expect_that!(findings, is_empty(), "seed {seed}, schedule\n{schedule}");
    }
}

#[gtest]
fn given_random_schedules_then_no_check_fails_seeds_from_20000() {
    run_seeds(20_000);
}

#[gtest]
fn given_random_schedules_then_no_check_fails_seeds_from_30000() {
    run_seeds(30_000);
}

#[gtest]
fn given_random_schedules_then_no_check_fails_seeds_from_40000() {
    run_seeds(40_000);
}

#[gtest]
fn given_random_schedules_then_no_check_fails_seeds_from_50000() {
    run_seeds(50_000);
}

#[gtest]
fn given_the_same_seed_twice_then_the_histories_are_equal() {
    for seed in 100..104 {
        let schedule = generate(seed);
        expect_that!(generate(seed) == schedule, eq(true), "seed {seed}");
        let (first, second) = (run(&schedule), run(&schedule));
        expect_that!(first.digest(), eq(second.digest()), "seed {seed}");
        expect_that!(first == second, eq(true), "seed {seed}");
    }
}

#[gtest]
fn given_many_seeds_then_every_event_kind_and_fault_bound_is_generated() {
    let schedules: Vec<Schedule> = (0..400).map(generate).collect();
    let kinds: std::collections::BTreeSet<EventKind> =
        schedules.iter().flat_map(|schedule| schedule.events.iter().map(|event| event.kind)).collect();
    expect_that!(kinds.len(), eq(40));
    for fault_bound in [FaultBound::WithinTolerance, FaultBound::BeyondTolerance, FaultBound::Unlimited] {
        expect_that!(
            schedules.iter().filter(|schedule| schedule.fault_bound == fault_bound).count(),
            gt(20),
            "{fault_bound:?}"
        );
    }
    // Faults overlap.
    let has_overlap = |schedule: &&Schedule| {
        let active_at =
            |at_ms: u64| schedule.events.iter().filter(|event| event.at_ms <= at_ms && at_ms < event.end_ms()).count();
        schedule.events.iter().any(|event| active_at(event.at_ms) > 2)
    };
    expect_that!(schedules.iter().filter(has_overlap).count(), gt(100));
}

#[gtest]
fn given_a_schedule_as_text_then_it_round_trips_and_parse_errors_name_the_line() {
    for seed in 0..200 {
        let schedule = generate(seed);
        expect_that!(Schedule::parse(&schedule.to_string()), ok(eq(&schedule)), "seed {seed}");
    }
    let head = "nemesis seed=1 access=2 core=3 thin=0 bound=within\n";
    for (text, expected) in [
        ("1.0 kill c0\n".to_owned(), "line 1: \"1.0 kill c0\": expected nemesis seed=N"),
        (format!("{head}x kill c0"), "line 2: \"x kill c0\": expected a time"),
        (format!("{head}# fine\n1.0 fly c0"), "line 3: \"1.0 fly c0\": expected an event kind, such as freeze"),
        (format!("{head}1.0 kill c0 for ever"), "expected seconds after for"),
        (format!("{head}1.0 slow c0 by much"), "expected a whole number after by"),
        ("nemesis core=0".to_owned(), "expected nemesis seed=N"),
        ("nemesis bound=no".to_owned(), "expected nemesis seed=N"),
        ("# nothing".to_owned(), "no line begins with nemesis"),
    ] {
        let error = Schedule::parse(&text).map(|_| ()).map_err(|error| error.to_string());
        expect_that!(error, err(contains_substring(expected)), "{text}");
    }
    // Unknown targets are ignored, so that shrunk schedules remain valid.
    let unknown_targets =
        Schedule::parse(&format!("{head}0.1 kill c9 for 0.1\n0.2 crash s9 for 0.1\n0.3 isolate nobody for 0.1"));
    expect_that!(unknown_targets.map(|schedule| check(&run(&schedule), schedule.fault_bound)), ok(is_empty()));
}

#[gtest]
fn given_a_failure_that_needs_two_events_then_the_schedule_shrinks_to_these_two() {
    let schedule = generate(4);
    let original = Schedule::parse(&format!("{schedule}9.500 kill c1 for 2.000\n9.800 lag s2 for 3.000 by 900"))
        .unwrap_or(schedule);
    let fails = |schedule: &Schedule| {
        let has = |kind| schedule.events.iter().any(|event| event.kind == kind && event.amount != 1);
        has(EventKind::Kill)
            && schedule.events.iter().any(|event| event.kind == EventKind::ReplicationLag && event.amount > 100)
    };
    let evaluate = |schedule: &Schedule| {
        let finding = Finding { check: "forged", text: String::new() };
        fails(schedule).then_some(finding).into_iter().collect::<Vec<_>>()
    };
    let (shrunk, finding) =
        shrink_with(&original, evaluate, |_| {}).unwrap_or((original.clone(), evaluate(&original)[0].clone()));
    expect_that!(finding.check, eq("forged"));
    expect_that!(shrunk.events.len(), eq(2));
    expect_that!(shrunk.events.iter().all(|event| event.at_ms <= 500 && event.duration_ms <= 40), eq(true), "{shrunk}");
    let none = shrink_with(&shrunk, |_| Vec::new(), |_| {});
    expect_that!(none.is_none(), eq(true));
}
