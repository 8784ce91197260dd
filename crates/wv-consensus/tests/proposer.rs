//! Tests of concurrent proposers with three voters: at most one value is written per version.
mod common;

use common::{set, Call, Cluster, VOTERS};
use googletest::prelude::*;
use wv_consensus::{register_value, MemoryFiles, OperationOutcome, Store, StoreState};
use wv_internal_protocol::{Ballot, RegisterReply, RegisterRequest, RegisterValue};

#[gtest]
fn given_two_concurrent_writers_of_one_version_then_one_is_written_and_the_other_unchanged() {
    // All rotations of the first six requests.
    for first in 0..6usize {
        let mut cluster = Cluster::new(2);
        cluster.start(0, 1, Some((7, 1)));
        cluster.start(1, 2, Some((7, 2)));
        cluster.calls.rotate_left(first);
        cluster.run_for(700_000);
        let outcomes = [cluster.outcome(1).cloned(), cluster.outcome(2).cloned()];
        let written: Vec<&RegisterValue> = outcomes
            .iter()
            .flatten()
            .filter_map(|outcome| if let OperationOutcome::Written(value) = outcome { Some(value) } else { None })
            .collect();
        expect_that!(written.len(), eq(1), "{outcomes:?}");
        let unchanged = outcomes.iter().flatten().find(|outcome| matches!(outcome, OperationOutcome::Unchanged(_)));
        expect_that!(unchanged, some(eq(&OperationOutcome::Unchanged(written[0].clone()))));
        let written = written[0].clone();
        expect_that!(cluster.read(0, 3), eq(&written));
        expect_that!(cluster.read(1, 4), eq(&written));
    }
}

#[gtest]
fn given_a_proposal_accepted_by_one_voter_then_the_next_proposer_completes_it_or_it_is_never_visible() {
    // Reads and updates without effect both return only values held by a majority.
    for (excluded, update) in (0..3usize).flat_map(|excluded| [(excluded, None), (excluded, Some((0, 9)))]) {
        let mut cluster = Cluster::new(2);
        cluster.start(0, 1, Some((5, 1)));
        // All voters promise, then the proposal reaches only the first voter.
        (0..3).for_each(|_| {
            let call = cluster.calls.pop_front().expect("a prepare");
            cluster.deliver(call);
        });
        let call = cluster.calls.pop_front().expect("a proposal");
        expect_that!(matches!(call.step, RegisterRequest::Accept { .. }), eq(true));
        cluster.deliver(call);
        cluster.calls.clear();
        // Another proposer reads without one of the voters; the value it returns must remain visible.
        let unreachable = VOTERS[excluded];
        cluster.start(1, 2, update);
        for _ in 0..60 {
            cluster.now += 10_000;
            let calls: Vec<Call> =
                std::mem::take(&mut cluster.calls).into_iter().filter(|call| call.to != unreachable).collect();
            calls.into_iter().for_each(|call| {
                if call.from == 1 {
                    cluster.deliver(call)
                }
            });
            cluster.collect(1);
        }
        let seen = match cluster.outcome(2) {
            Some(OperationOutcome::Read(value) | OperationOutcome::Unchanged(value)) => value.clone(),
            other => panic!("{other:?}"),
        };
        expect_that!(seen.version, eq(if excluded == 0 { 0 } else { 5 }), "without {unreachable}");
        cluster.calls.clear();
        // The first voter, which accepted the value first, loses its disk.
        cluster.stores[0] = Store::open(Box::new(MemoryFiles::default())).expect("store opens");
        cluster.stores[0].reset(StoreState::default()).expect("write succeeds");
        let again = if excluded == 0 { cluster.read(1, 3) } else { cluster.read_without(1, 3, "a") };
        expect_that!(again.version >= seen.version, eq(true), "without {unreachable}");
        expect_that!(cluster.read(1, 4), eq(&again));
    }
}

#[gtest]
fn given_a_reply_for_another_incarnation_request_or_register_then_it_is_ignored() {
    let mut cluster = Cluster::new(1);
    cluster.start(0, 1, Some((5, 1)));
    let (requester, request) = (cluster.calls[0].requester, cluster.calls[0].request);
    let current = || RegisterReply::Current { accepted: Ballot::default(), value: Some(RegisterValue::default()) };
    for voter in VOTERS {
        cluster.proposers[0].on_reply(voter, (requester + 1, request), "k", current(), cluster.now);
        cluster.proposers[0].on_reply(voter, (requester, request + 1), "k", current(), cluster.now);
        cluster.proposers[0].on_reply(voter, (requester, request), "other", current(), cluster.now);
        cluster.proposers[0].on_reply("nobody", (requester, request), "k", current(), cluster.now);
        // Repeated replies of one voter count once.
        cluster.proposers[0].on_reply("a", (requester, request), "k", current(), cluster.now);
        cluster.proposers[0].on_reply("a", (requester, request), "k", current(), cluster.now);
    }
    cluster.calls.clear();
    cluster.collect(0);
    expect_that!(cluster.calls.iter().any(|call| matches!(call.step, RegisterRequest::Accept { .. })), eq(false));
    cluster.proposers[0].on_reply("b", (requester, request), "k", current(), cluster.now);
    cluster.collect(0);
    expect_that!(cluster.calls.iter().any(|call| matches!(call.step, RegisterRequest::Accept { .. })), eq(true));
}

#[gtest]
fn given_many_concurrent_writers_at_different_nodes_then_all_finish_within_the_timeout() {
    let mut most = (0, 0, 0);
    for writers in [2usize, 8] {
        for round in 0..20u64 {
            let mut cluster = Cluster::new(writers);
            cluster.now += round * 7_777;
            let start = cluster.now;
            (0..writers).for_each(|at| cluster.start(at, at as u64, Some((10 + at as u64, at as u8))));
            cluster.run_for(890_000);
            let ends = (0..writers as u64)
                .filter(|token| cluster.outcome(*token).is_some_and(|end| *end != OperationOutcome::Unknown));
            expect_that!(ends.count(), eq(writers), "{writers} writers, round {round}");
            expect_that!(cluster.read(0, 99).version, eq(9 + writers as u64));
            most = most.max((writers, cluster.syncs, (cluster.now - start) as usize));
        }
    }
    println!("maximum for eight writers at eight nodes: {} syncs at the voters", most.1);
}

#[gtest]
fn given_operations_that_wait_at_one_node_then_they_are_decided_together() {
    let mut cluster = Cluster::new(1);
    (0..8u64).for_each(|at| cluster.start(0, at, Some((10 + at, at as u8))));
    cluster.run_for(100_000);
    expect_that!((0..8).filter(|token| cluster.outcome(*token).is_some()).count(), eq(8));
    // Two phases with three voters each, for the first operation and for the other seven together.
    expect_that!((cluster.syncs, cluster.messages), eq((12, 24)));
    expect_that!(cluster.read(0, 99).version, eq(17));
}

#[gtest]
fn given_a_single_writer_then_a_write_takes_two_round_trips_and_a_read_one_without_a_sync() {
    let mut cluster = Cluster::new(1);
    cluster.start(0, 1, Some((1, 1)));
    let start = cluster.now;
    while cluster.outcome(1).is_none() {
        cluster.run_for(1_000);
    }
    expect_that!((cluster.now - start, cluster.syncs), eq((2_000, 6)));
    cluster.calls.clear();
    let (start, syncs) = (cluster.now, cluster.syncs);
    cluster.start(0, 2, None);
    while cluster.outcome(2).is_none() {
        cluster.run_for(1_000);
    }
    expect_that!((cluster.now - start, cluster.syncs - syncs), eq((1_000, 0)));
}

#[gtest]
fn given_a_new_voter_set_then_active_attempts_restart_in_it_and_replies_of_the_old_set_are_ignored() {
    let mut cluster = Cluster::new(1);
    cluster.start(0, 1, Some((5, 1)));
    let old: Vec<Call> = std::mem::take(&mut cluster.calls).into_iter().collect();
    cluster.proposers[0].set_voters(set(2));
    cluster.now += 1;
    cluster.collect(0);
    let fresh = std::mem::take(&mut cluster.calls);
    old.into_iter().for_each(|call| cluster.deliver(call));
    expect_that!(cluster.calls.is_empty(), eq(true), "replies of the old set must not lead to a proposal");
    cluster.calls = fresh;
    cluster.run_for(100_000);
    expect_that!(cluster.outcome(1), some(eq(&OperationOutcome::Written(register_value(5, vec![1])))));
}
