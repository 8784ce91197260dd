//! Each check of the nemesis can fail: a forged history, or a fleet that was left broken, and the check that names it.
use googletest::prelude::*;
use wv_simulation::nemesis::{check, play, Answer, Bound, Calm, Day, History, Order, Post, Read, Seen, CHECKS};
use wv_simulation::{LogEntry, Oracle, Write};

fn order(number: u64, is_valid: bool, first_sent: u64) -> Order {
    Order { number, body: number.to_string().into_bytes(), is_valid, first_sent }
}

fn answer(order: usize, sent: u64, heard: u64, status: u16) -> Answer {
    Answer { order, control: "c0".to_owned(), sent, heard, status }
}

fn read(number: u64, order: Option<usize>, sent: u64, heard: u64) -> Read {
    Read { control: "c1".to_owned(), sent, heard, number, order }
}

fn seen(life: u64, at: u64, version: u64) -> Seen {
    Seen { node: "a0".to_owned(), life, at, version }
}

fn post(holder: usize, fence: u64, code: Option<u16>) -> Post {
    let (service, id) = ("s".to_owned(), "i-s1".to_owned());
    Post { at: 0, holder: (holder, 1), service, id, fence, code }
}

/// Two orders under number 5, one under 7, an invalid one under 8; the first and the third are taken.
fn sound() -> History {
    History {
        orders: vec![order(5, true, 10), order(5, true, 12), order(7, true, 40), order(8, false, 60)],
        answers: vec![
            answer(0, 10, 20, 200),
            answer(1, 12, 22, 409),
            answer(0, 30, 35, 200),
            answer(2, 40, 50, 200),
            answer(3, 60, 61, 400),
            answer(0, 70, 75, 503),
        ],
        reads: vec![read(5, Some(0), 21, 25), read(7, Some(2), 51, 55)],
        seen: vec![seen(1, 30, 5), seen(1, 60, 7), seen(2, 70, 0), seen(2, 80, 7)],
        posts: vec![post(0, 1, Some(200)), post(1, 2, None), post(1, 2, Some(200)), post(0, 1, Some(409))],
        leads: vec![("s".to_owned(), 1, "i-s0".to_owned()), ("s".to_owned(), 2, "i-s1".to_owned())],
        ..History::default()
    }
}

fn names(history: &History, bound: Bound) -> Vec<&'static str> {
    check(history, bound).into_iter().map(|finding| finding.check).collect()
}

#[gtest]
fn given_a_history_that_keeps_all_rules_then_nothing_is_found() {
    expect_that!(names(&sound(), Bound::Within), is_empty());
    expect_that!(names(&History::default(), Bound::Within), is_empty());
    // Two contents of an overtaken number may both be acknowledged: neither is in force.
    let mut history = sound();
    history.orders.extend([order(6, true, 80), order(6, true, 80)]);
    history.answers.extend([answer(4, 80, 85, 200), answer(5, 80, 85, 200)]);
    expect_that!(names(&history, Bound::Within), is_empty());
    // Put off is not refused.
    history.answers.extend([answer(2, 90, 91, 429), answer(2, 90, 91, 408), answer(2, 90, 91, 503)]);
    expect_that!(names(&history, Bound::Within), is_empty());
}

#[gtest]
fn given_a_forged_history_for_each_rule_then_that_rule_is_named() {
    let forge = |edit: fn(&mut History)| {
        let mut history = sound();
        edit(&mut history);
        names(&history, Bound::Wild)
    };
    let forged: Vec<(&str, Vec<&'static str>)> = vec![
        ("one-content", forge(|history| history.answers[1] = answer(1, 12, 22, 200))),
        ("two-verdicts", forge(|history| history.answers.push(answer(0, 80, 85, 409)))),
        ("refused-without-rival", forge(|history| history.answers[3] = answer(2, 40, 50, 409))),
        ("invalid-acknowledged", forge(|history| history.answers.push(answer(3, 70, 75, 200)))),
        ("refused-in-force", forge(|history| history.reads[0] = read(5, Some(1), 21, 25))),
        ("refused-in-force", forge(|history| history.reads.push(read(8, Some(3), 70, 75)))),
        ("read-unknown", forge(|history| history.reads.push(read(9, None, 70, 75)))),
        ("read-unknown", forge(|history| history.reads[1] = read(7, Some(2), 30, 35))),
        ("read-stale", forge(|history| history.reads.push(read(5, Some(0), 51, 55)))),
        ("read-stale", forge(|history| history.reads.push(read(5, Some(0), 56, 60)))),
        ("went-back", forge(|history| history.seen.push(seen(1, 90, 5)))),
        ("one-lead", forge(|history| history.leads.push(("s".to_owned(), 2, "i-s2".to_owned())))),
        ("fence", forge(|history| history.posts.push(post(0, 1, Some(200))))),
        ("fence", forge(|history| history.posts.push(post(0, 2, Some(200))))),
    ];
    for (rule, found) in &forged {
        expect_that!(found, contains(eq(rule)), "{rule}");
    }
    // None was forgotten.
    for (rule, _) in CHECKS {
        expect_that!(forged.iter().any(|(forged, _)| *forged == rule), eq(true), "{rule}");
    }
}

#[gtest]
fn given_rules_of_statements_then_the_oracle_names_each_and_so_does_the_check() {
    let log = |tags: &[&str]| -> Vec<LogEntry> {
        let write = |tag: &&str| Write { tag: (*tag).to_owned(), key: "k".to_owned(), value: "d".to_owned() };
        tags.iter()
            .map(|tag| LogEntry { pos: wv_wire_protocol::LogPosition { term: 1, number: 1 }, write: write(tag) })
            .collect()
    };
    let broken = |acked: &[&str], promised: &[&str], tags: &[&str]| {
        let mut oracle = Oracle::default();
        acked.iter().for_each(|tag| oracle.record_ack((*tag).to_owned(), 5));
        promised.iter().for_each(|tag| {
            oracle.rejected.insert((*tag).to_owned(), 5);
        });
        oracle.check_log(&log(tags));
        let history = History { statements: oracle.violations, ..History::default() };
        names(&history, Bound::Wild)
    };
    expect_that!(broken(&["q1"], &["q2"], &["q1"]), is_empty());
    expect_that!(broken(&["q1"], &[], &[]), elements_are![eq(&"LOST")]);
    expect_that!(broken(&["q1"], &[], &["q1", "q1"]), elements_are![eq(&"TWICE")]);
    expect_that!(broken(&[], &["q2"], &["q2"]), elements_are![eq(&"REFUSED")]);
    for rule in ["STALE", "PINNED", "MIXED"] {
        let history = History { statements: vec![format!("{rule}: q1")], ..History::default() };
        expect_that!(names(&history, Bound::Wild), elements_are![eq(&rule)]);
    }
    let calm = Calm { check: "not-served", text: String::new() };
    let history = History { calm: vec![calm], ..History::default() };
    expect_that!(names(&history, Bound::Beyond), elements_are![eq(&"not-served")]);
    expect_that!(names(&history, Bound::Wild), is_empty());
}

/// What is found of a fleet in which more was lost for ever than the day admits to.
fn left_broken(events: &str) -> Vec<&'static str> {
    let day = Day::parse(&format!("nemesis seed=3 access=2 core=3 thin=0 bound=within\n{events}"));
    day.map(|day| names(&play(&day), day.bound)).unwrap_or_default()
}

#[gtest]
fn given_a_fleet_that_lost_all_its_disks_then_the_calm_at_the_end_names_what_is_missing() {
    let found = left_broken("0.100 wipe c0 c1 c2 for 0.100\n0.300 order c0");
    for rule in ["late-acknowledged", "not-read", "not-settled", "order-open"] {
        expect_that!(found, contains(eq(&rule)), "{rule} in {found:?}");
    }
}

#[gtest]
fn given_nodes_that_hear_nothing_for_too_long_then_the_calm_at_the_end_names_what_is_late() {
    let found = left_broken("0.100 rift a0 c0 c1 c2");
    expect_that!(found, contains(eq(&"late-in-force")), "{found:?}");
    let found = left_broken("0.100 rift s0 a0 a1");
    expect_that!(found, contains(eq(&"not-served")), "{found:?}");
}
