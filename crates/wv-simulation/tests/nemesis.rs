//! Days of the nemesis with fixed seeds: whatever comes together, no rule is broken; and the same seed gives the same day.
use googletest::prelude::*;
use wv_simulation::nemesis::{check, draw, play, shrink_by, Bound, Day, Finding, Kind};

/// Days that each story plays; the stories run side by side.
const DAYS: u64 = 60;

fn hunt(first: u64) {
    for seed in first..first + DAYS {
        let day = draw(seed);
        let findings = check(&play(&day), day.bound);
        expect_that!(findings, is_empty(), "seed {seed}, the day\n{day}");
    }
}

#[gtest]
fn given_days_of_any_troubles_then_no_rule_is_broken_one() {
    hunt(20_000);
}

#[gtest]
fn given_days_of_any_troubles_then_no_rule_is_broken_two() {
    hunt(30_000);
}

#[gtest]
fn given_days_of_any_troubles_then_no_rule_is_broken_three() {
    hunt(40_000);
}

#[gtest]
fn given_days_of_any_troubles_then_no_rule_is_broken_four() {
    hunt(50_000);
}

#[gtest]
fn given_one_seed_twice_then_everybody_writes_down_the_same() {
    for seed in 100..104 {
        let day = draw(seed);
        expect_that!(draw(seed) == day, eq(true), "seed {seed}");
        let (one, two) = (play(&day), play(&day));
        expect_that!(one.digest(), eq(two.digest()), "seed {seed}");
        expect_that!(one == two, eq(true), "seed {seed}");
    }
}

#[gtest]
fn given_many_seeds_then_each_kind_of_trouble_and_each_bound_is_drawn() {
    let days: Vec<Day> = (0..400).map(draw).collect();
    let kinds: std::collections::BTreeSet<Kind> =
        days.iter().flat_map(|day| day.events.iter().map(|event| event.kind)).collect();
    expect_that!(kinds.len(), eq(34));
    for bound in [Bound::Within, Bound::Beyond, Bound::Wild] {
        expect_that!(days.iter().filter(|day| day.bound == bound).count(), gt(20), "{bound:?}");
    }
    // Several at a time.
    let overlaps = |day: &&Day| {
        let is_in = |at: u64| day.events.iter().filter(|event| event.at_ms <= at && at < event.end_ms()).count();
        day.events.iter().any(|event| is_in(event.at_ms) > 2)
    };
    expect_that!(days.iter().filter(overlaps).count(), gt(100));
}

#[gtest]
fn given_a_day_as_text_then_it_is_read_back_whole_and_what_is_wrong_is_named() {
    for seed in 0..200 {
        let day = draw(seed);
        expect_that!(Day::parse(&day.to_string()), ok(eq(&day)), "seed {seed}");
    }
    let head = "nemesis seed=1 access=2 core=3 thin=0 bound=within\n";
    for (text, wanted) in [
        ("1.0 kill c0\n".to_owned(), "line 1: \"1.0 kill c0\": expected nemesis seed=N"),
        (format!("{head}x kill c0"), "line 2: \"x kill c0\": expected a time"),
        (format!("{head}# fine\n1.0 fly c0"), "line 3: \"1.0 fly c0\": expected a kind of trouble"),
        (format!("{head}1.0 kill c0 for ever"), "expected seconds after for"),
        (format!("{head}1.0 slow c0 by much"), "expected a whole number after by"),
        ("nemesis core=0".to_owned(), "expected nemesis seed=N"),
        ("nemesis bound=no".to_owned(), "expected nemesis seed=N"),
        ("# nothing".to_owned(), "no line begins with nemesis"),
    ] {
        let error = Day::parse(&text).map(|_| ()).map_err(|error| error.to_string());
        expect_that!(error, err(contains_substring(wanted)), "{text}");
    }
    // A target that the day does not have is passed over: days stay playable while they are made short.
    let odd = Day::parse(&format!("{head}0.1 kill c9 for 0.1\n0.2 crash s9 for 0.1\n0.3 isolate nobody for 0.1"));
    expect_that!(odd.map(|day| check(&play(&day), day.bound)), ok(is_empty()));
}

#[gtest]
fn given_a_rule_that_needs_two_events_then_the_day_is_made_short_to_just_these() {
    let day = draw(4);
    let long = Day::parse(&format!("{day}9.500 kill c1 for 2.000\n9.800 lag s2 for 3.000 by 900")).unwrap_or(day);
    let is_broken = |day: &Day| {
        let has = |kind| day.events.iter().any(|event| event.kind == kind && event.by != 1);
        has(Kind::Kill) && day.events.iter().any(|event| event.kind == Kind::Lag && event.by > 100)
    };
    let judge = |day: &Day| {
        let found = Finding { check: "forged", text: String::new() };
        is_broken(day).then_some(found).into_iter().collect::<Vec<_>>()
    };
    let (short, found) = shrink_by(&long, judge, |_| {}).unwrap_or((long.clone(), judge(&long)[0].clone()));
    expect_that!(found.check, eq("forged"));
    expect_that!(short.events.len(), eq(2));
    expect_that!(short.events.iter().all(|event| event.at_ms <= 500 && event.for_ms <= 40), eq(true), "{short}");
    let none = shrink_by(&short, |_| Vec::new(), |_| {});
    expect_that!(none.is_none(), eq(true));
}
