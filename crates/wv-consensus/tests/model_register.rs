//! Checks interleavings of operations on one register with the real proposers and stores.
mod register_model;

use googletest::prelude::*;
use register_model::{Request, Setup, Verdict, Without, World};
use wv_internal_protocol::RegisterValue;
use wv_model_checker::{search, SearchLimits};

/// The verdict of `write_if_newer`: it keeps no digests, so a superseded write may have been applied.
fn verdict(value: &RegisterValue, number: u64, content: u8) -> Verdict {
    match value.version.cmp(&number) {
        std::cmp::Ordering::Less => Verdict::Unknown,
        std::cmp::Ordering::Greater => Verdict::Superseded,
        std::cmp::Ordering::Equal if value.bytes.first() == Some(&content) => Verdict::Applied,
        std::cmp::Ordering::Equal => Verdict::Rejected,
    }
}

fn setup(requests: &[&[Request]]) -> Setup {
    Setup {
        without: Without::Nothing,
        update: |number, content| wv_consensus::write_if_newer(wv_consensus::register_value(number, vec![content])),
        verdict,
        requests: requests.iter().map(|requests| requests.to_vec()).collect(),
        backoffs: 0,
        crashes: 0,
        restarts: 0,
        disk_losses: 0,
        has_late_replies: false,
    }
}

/// Limits the duration of the tests; `WV_MODEL_DEPTH` removes the limit.
const STATES: usize = 5_000;

fn expect_no_fault(name: &str, setup: Setup) {
    let seen = search(World::new(setup), SearchLimits::with_env_override(99, STATES));
    println!("{}", seen.summary(name));
    expect_that!(seen.violation.map(|found| found.fault), none(), "{name}");
}

/// Expects the fault, found by the given shortest path, without the guard.
fn expect_fault(without: Without, setup: Setup, fault: &str, expected_steps: &[&str]) {
    let requests: Vec<&[Request]> = setup.requests.iter().map(Vec::as_slice).collect();
    // With the guard there is no fault.
    let guarded = Setup { without: Without::Nothing, requests: setup.requests.clone(), ..setup };
    expect_no_fault(&format!("guarded: {requests:?}"), guarded);
    let seen = search(World::new(Setup { without, ..setup }), SearchLimits { depth: 99, states: 100_000 });
    println!("{}", seen.summary(&format!("without {without:?}")));
    let Some(found) = seen.violation else { panic!("{without:?} is not detected") };
    let steps: Vec<String> = found.steps.iter().map(|step| format!("{step:?}")).collect();
    expect_that!(found.fault, eq(fault));
    expect_that!(steps, eq(expected_steps));
}

const W: fn(u64, u8) -> Request = Request::Write;
const R: Request = Request::Read;

#[gtest]
fn given_two_writers_of_one_version_then_it_has_one_value_despite_lost_duplicate_or_late_messages() {
    expect_no_fault("two writers, a backoff", Setup { backoffs: 1, ..setup(&[&[W(1, 1)], &[W(1, 2)]]) });
    expect_no_fault("two writers, late replies", Setup { has_late_replies: true, ..setup(&[&[W(1, 1)], &[W(1, 2)]]) });
}

#[gtest]
fn given_three_writers_of_one_version_then_it_has_one_value() {
    expect_no_fault("three writers", setup(&[&[W(1, 1)], &[W(1, 2)], &[W(1, 3)]]));
}

#[gtest]
fn given_successive_versions_and_readers_then_a_value_read_once_is_seen_by_all_later_reads() {
    expect_no_fault("successive versions at two proposers, both read", setup(&[&[W(1, 1), R], &[W(2, 2), R]]));
    expect_no_fault("successive versions at one proposer, read at another", setup(&[&[W(1, 1), W(2, 2)], &[R, R]]));
    expect_no_fault("a write, reads, late replies", Setup { has_late_replies: true, ..setup(&[&[W(1, 1)], &[R, R]]) });
}

#[gtest]
fn given_cached_large_values_then_the_same_holds() {
    let update: fn(u64, u8) -> wv_consensus::UpdateFn =
        |number, content| wv_consensus::write_if_newer(wv_consensus::register_value(number, vec![content; 1_024]));
    expect_no_fault("large values", Setup { update, ..setup(&[&[W(1, 1), R], &[R, W(2, 2)]]) });
}

#[gtest]
fn given_a_proposer_that_restarts_then_replies_to_its_former_incarnation_do_not_count() {
    expect_no_fault(
        "a new incarnation repeats the write",
        Setup { crashes: 1, ..setup(&[&[W(1, 1), W(1, 1)], &[R, R]]) },
    );
    expect_no_fault(
        "a new incarnation and another writer",
        Setup { crashes: 1, ..setup(&[&[W(1, 1), W(1, 1)], &[W(1, 2)]]) },
    );
}

#[gtest]
fn given_a_voter_that_restarts_or_loses_its_disk_then_the_others_hold_the_acknowledged_writes() {
    let requests: &[&[Request]] = &[&[W(1, 1), R], &[W(1, 2)]];
    expect_no_fault("a restart and a lost disk", Setup { restarts: 1, disk_losses: 1, ..setup(requests) });
}

#[gtest]
fn given_voters_that_accept_below_their_promise_then_the_model_finds_it() {
    let steps = [
        "p0 writes 1:1",
        "p1 writes 1:2",
        "p0 prepares a",
        "p0 prepares b",
        "p1 prepares a",
        "p1 prepares b",
        "p1 proposes to a",
        "p0 proposes to a",
    ];
    expect_fault(Without::Promise, setup(&[&[W(1, 1)], &[W(1, 2)]]), "ballots of a decrease", &steps);
}

#[gtest]
fn given_a_promise_lost_in_a_restart_then_the_model_finds_it() {
    let steps = [
        "p0 writes 1:1",
        "p1 writes 1:2",
        "p0 prepares a",
        "p0 prepares b",
        "p1 prepares a",
        "p1 prepares b",
        "p0 proposes to c",
        "p1 proposes to a",
        "p1 proposes to c",
        "b restarts",
        "p0 proposes to b",
    ];
    let setup = Setup { restarts: 1, ..setup(&[&[W(1, 1)], &[W(1, 2)]]) };
    expect_fault(Without::DurablePromise, setup, "two values of version 1", &steps);
}

#[gtest]
fn given_reads_of_values_not_held_by_a_majority_then_the_model_finds_it() {
    let steps = [
        "p0 writes 1:1",
        "p1 reads",
        "p0 prepares a",
        "p0 prepares b",
        "p0 proposes to a",
        "p1 reads from a",
        "p1 reads from b",
        "p1 reads",
        "p1 reads from b",
        "p1 reads from c",
    ];
    let fault = "version 0 is returned to a read that started after version 1 was returned";
    expect_fault(Without::ConfirmedRead, setup(&[&[W(1, 1)], &[R, R]]), fault, &steps);
}

#[gtest]
fn given_two_incarnations_with_the_same_ballots_then_the_model_finds_it() {
    let steps = [
        "p0 writes 1:1",
        "p0 prepares a",
        "p0 prepares b",
        "p0 starts a new incarnation",
        "p0 writes 1:2",
        "p0 prepares a",
        "p0 prepares b",
    ];
    let setup = Setup { crashes: 1, ..setup(&[&[W(1, 1), W(1, 2)]]) };
    expect_fault(Without::UniqueBallots, setup, "one ballot with two values", &steps);
}

#[gtest]
fn given_proposers_that_ignore_accepted_values_then_the_model_finds_it() {
    let steps = [
        "p0 writes 1:1",
        "p1 writes 1:2",
        "p0 prepares a",
        "p0 prepares b",
        "p1 prepares a",
        "p0 proposes to b",
        "p1 prepares b",
        "p0 proposes to c",
        "p1 proposes to a",
        "p1 proposes to b",
    ];
    expect_fault(Without::AcceptedValues, setup(&[&[W(1, 1)], &[W(1, 2)]]), "two values of version 1", &steps);
}

#[gtest]
fn given_a_reply_that_counts_for_two_voters_then_the_model_finds_it() {
    let steps = ["p0 writes 1:1", "p0 prepares a", "p0 proposes to a", "p0 reads", "p0 reads from b"];
    let fault = "version 0 is returned to a read that started after version 1 was returned";
    expect_fault(Without::SingleVote, setup(&[&[W(1, 1), R]]), fault, &steps);
}

#[gtest]
fn given_a_lost_disk_that_keeps_voting_as_the_same_member_then_the_model_finds_it() {
    let steps = [
        "p0 writes 1:1",
        "p0 prepares a",
        "p0 prepares b",
        "p0 proposes to a",
        "p0 proposes to b",
        "p0 reads",
        "p0 reads from c",
        "a loses its disk",
        "p0 reads from a",
    ];
    let fault = "version 0 is returned to a read that started after version 1 was returned";
    expect_fault(Without::NewMember, Setup { disk_losses: 1, ..setup(&[&[W(1, 1), R]]) }, fault, &steps);
}
