//! Guards against checks that cannot fail: each one must report a matching history or unrecoverable fleet.
use googletest::prelude::*;
use wv_simulation::nemesis::{
    check, run, ConfigurationRead, ConfigurationUpdate, FaultBound, History, PlatformCall, RecoveryFailure,
    RouteSighting, Schedule, UpdateResponse, VersionObservation, CHECKS,
};
use wv_simulation::{LogEntry, Oracle, Write};

fn update(version: u64, is_valid: bool, first_sent_us: u64) -> ConfigurationUpdate {
    let body = version.to_string().into_bytes();
    ConfigurationUpdate { version, body, is_valid, first_sent_us, ..ConfigurationUpdate::default() }
}

fn response(update: usize, sent_us: u64, received_us: u64, status: u16) -> UpdateResponse {
    UpdateResponse { update, control: "c0".to_owned(), sent_us, received_us, status }
}

fn read(version: u64, update: Option<usize>, sent_us: u64, received_us: u64) -> ConfigurationRead {
    ConfigurationRead { control: "c1".to_owned(), sent_us, received_us, version, update }
}

fn observed(incarnation: u64, at_us: u64, version: u64) -> VersionObservation {
    VersionObservation { node: "a0".to_owned(), incarnation, at_us, version }
}

fn platform_call(holder: usize, fencing_token: u64, status: Option<u16>) -> PlatformCall {
    let (service, instance_id) = ("s".to_owned(), "i-s1".to_owned());
    PlatformCall { at_us: 0, holder: (holder, 1), service, instance_id, fencing_token, status }
}

/// Two updates with version 5, one with 7 and an invalid one with 8; the first and the third are acknowledged.
fn valid_history() -> History {
    History {
        updates: vec![update(5, true, 10), update(5, true, 12), update(7, true, 40), update(8, false, 60)],
        responses: vec![
            response(0, 10, 20, 200),
            response(1, 12, 22, 409),
            response(0, 30, 35, 200),
            response(2, 40, 50, 200),
            response(3, 60, 61, 400),
            response(0, 70, 75, 503),
        ],
        reads: vec![read(5, Some(0), 21, 25), read(7, Some(2), 51, 55)],
        observed_versions: vec![observed(1, 30, 5), observed(1, 60, 7), observed(2, 70, 0), observed(2, 80, 7)],
        platform_calls: vec![
            platform_call(0, 1, Some(200)),
            platform_call(1, 2, None),
            platform_call(1, 2, Some(200)),
            platform_call(0, 1, Some(409)),
        ],
        primaries: vec![("s".to_owned(), 1, "i-s0".to_owned()), ("s".to_owned(), 2, "i-s1".to_owned())],
        ..History::default()
    }
}

/// Two versions lead the routes of the probes to `s` and then to `u`; reads through one node, a second apart, are
/// answered by these services.
fn sight(history: &mut History, services: &[&str]) {
    for (update, service) in [(0, "s"), (2, "u")] {
        history.updates[update].probed_service = Some(service.to_owned());
    }
    for (at_s, service) in (1..).zip(services) {
        let (sent_us, node, service) = (at_s * 1_000_000, "a0".to_owned(), (*service).to_owned());
        history.route_sightings.push(RouteSighting {
            node,
            incarnation: 1,
            sent_us,
            received_us: sent_us + 5,
            service,
        });
    }
}

fn failed_checks(history: &History, fault_bound: FaultBound) -> Vec<&'static str> {
    check(history, fault_bound).into_iter().map(|finding| finding.check).collect()
}

#[gtest]
fn given_a_valid_history_then_no_check_fails() {
    expect_that!(failed_checks(&valid_history(), FaultBound::WithinTolerance), is_empty());
    expect_that!(failed_checks(&History::default(), FaultBound::WithinTolerance), is_empty());
    // Two contents of a superseded version may both be acknowledged, as neither is in force.
    let mut history = valid_history();
    history.updates.extend([update(6, true, 80), update(6, true, 80)]);
    history.responses.extend([response(4, 80, 85, 200), response(5, 80, 85, 200)]);
    expect_that!(failed_checks(&history, FaultBound::WithinTolerance), is_empty());
    sight(&mut history, &["s", "s", "u", "u"]);
    expect_that!(failed_checks(&history, FaultBound::WithinTolerance), is_empty());
    // Retryable statuses are not rejections.
    history.responses.extend([response(2, 90, 91, 429), response(2, 90, 91, 408), response(2, 90, 91, 503)]);
    expect_that!(failed_checks(&history, FaultBound::WithinTolerance), is_empty());
}

#[gtest]
fn given_a_history_that_violates_a_check_then_that_check_fails() {
    let check_edited = |edit: fn(&mut History)| {
        let mut history = valid_history();
        edit(&mut history);
        failed_checks(&history, FaultBound::Unlimited)
    };
    let cases: Vec<(&str, Vec<&'static str>)> = vec![
        ("one-content", check_edited(|history| history.responses[1] = response(1, 12, 22, 200))),
        ("two-verdicts", check_edited(|history| history.responses.push(response(0, 80, 85, 409)))),
        ("refused-without-rival", check_edited(|history| history.responses[3] = response(2, 40, 50, 409))),
        ("invalid-acknowledged", check_edited(|history| history.responses.push(response(3, 70, 75, 200)))),
        ("refused-in-force", check_edited(|history| history.reads[0] = read(5, Some(1), 21, 25))),
        ("refused-in-force", check_edited(|history| history.reads.push(read(8, Some(3), 70, 75)))),
        ("read-unknown", check_edited(|history| history.reads.push(read(9, None, 70, 75)))),
        ("read-unknown", check_edited(|history| history.reads[1] = read(7, Some(2), 30, 35))),
        ("read-stale", check_edited(|history| history.reads.push(read(5, Some(0), 51, 55)))),
        ("read-stale", check_edited(|history| history.reads.push(read(5, Some(0), 56, 60)))),
        ("went-back", check_edited(|history| history.observed_versions.push(observed(1, 90, 5)))),
        ("route-went-back", check_edited(|history| sight(history, &["s", "u", "s"]))),
        ("one-lead", check_edited(|history| history.primaries.push(("s".to_owned(), 2, "i-s2".to_owned())))),
        ("fence", check_edited(|history| history.platform_calls.push(platform_call(0, 1, Some(200))))),
        ("fence", check_edited(|history| history.platform_calls.push(platform_call(0, 2, Some(200))))),
    ];
    for (check, found) in &cases {
        expect_that!(found, contains(eq(check)), "{check}");
    }
    // Every check has a case.
    for (check, _) in CHECKS {
        expect_that!(cases.iter().any(|(case, _)| *case == check), eq(true), "{check}");
    }
}

#[gtest]
fn given_statement_violations_or_recovery_failures_then_findings_carry_their_names() {
    let log = |tags: &[&str]| -> Vec<LogEntry> {
        let write = |tag: &&str| Write { tag: (*tag).to_owned(), key: "k".to_owned(), value: "d".to_owned() };
        tags.iter()
            .map(|tag| LogEntry { pos: wv_wire_protocol::LogPosition { term: 1, number: 1 }, write: write(tag) })
            .collect()
    };
    let violations = |acknowledged: &[&str], rejected: &[&str], tags: &[&str]| {
        let mut oracle = Oracle::default();
        acknowledged.iter().for_each(|tag| oracle.record_ack((*tag).to_owned(), 5));
        rejected.iter().for_each(|tag| {
            oracle.rejected.insert((*tag).to_owned(), 5);
        });
        oracle.check_log(&log(tags));
        let history = History { statement_violations: oracle.violations, ..History::default() };
        failed_checks(&history, FaultBound::Unlimited)
    };
    expect_that!(violations(&["q1"], &["q2"], &["q1"]), is_empty());
    expect_that!(violations(&["q1"], &[], &[]), elements_are![eq(&"LOST")]);
    expect_that!(violations(&["q1"], &[], &["q1", "q1"]), elements_are![eq(&"TWICE")]);
    expect_that!(violations(&[], &["q2"], &["q2"]), elements_are![eq(&"REFUSED")]);
    for check in ["STALE", "PINNED", "MIXED", "ROW", "ASTRAY"] {
        let history = History { statement_violations: vec![format!("{check}: q1")], ..History::default() };
        expect_that!(failed_checks(&history, FaultBound::Unlimited), elements_are![eq(&check)]);
    }
    let failure = RecoveryFailure { check: "not-served", text: String::new() };
    let history = History { recovery_failures: vec![failure], ..History::default() };
    expect_that!(failed_checks(&history, FaultBound::BeyondTolerance), elements_are![eq(&"not-served")]);
    expect_that!(failed_checks(&history, FaultBound::Unlimited), is_empty());
}

/// The checks that fail after events that exceed the fault bound of the schedule for good.
fn run_unrecoverable(events: &str) -> Vec<&'static str> {
    let schedule = Schedule::parse(&format!("nemesis seed=3 access=2 core=3 thin=0 bound=within\n{events}"));
    schedule.map(|schedule| failed_checks(&run(&schedule), schedule.fault_bound)).unwrap_or_default()
}

#[gtest]
fn given_a_fleet_that_lost_all_disks_then_the_recovery_checks_fail() {
    let found = run_unrecoverable("0.100 wipe c0 c1 c2 for 0.100\n0.300 order c0");
    for check in ["late-acknowledged", "not-read", "not-settled", "order-open"] {
        expect_that!(found, contains(eq(&check)), "{check} in {found:?}");
    }
}

#[gtest]
fn given_a_partition_that_never_heals_then_the_recovery_checks_fail() {
    let found = run_unrecoverable("0.100 rift a0 c0 c1 c2");
    expect_that!(found, contains(eq(&"late-in-force")), "{found:?}");
    let found = run_unrecoverable("0.100 rift s0 a0 a1");
    expect_that!(found, contains(eq(&"not-served")), "{found:?}");
}
