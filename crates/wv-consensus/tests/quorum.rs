//! Stories of several proposers and three voters, message by message: one number, one content.
mod common;

use common::{set, Call, Room, VOTERS};
use googletest::prelude::*;
use wv_consensus::{register_value, MemoryFiles, OperationOutcome, Store, StoreState};
use wv_internal_protocol::{Ballot, RegisterReply, RegisterRequest, RegisterValue};

#[gtest]
fn given_two_writers_of_one_number_that_both_read_before_either_writes_then_one_is_written_and_the_other_held() {
    // Every order in which the six first calls arrive, up to where both have promises.
    for first in 0..6usize {
        let mut room = Room::new(2);
        room.start(0, 1, Some((7, 1)));
        room.start(1, 2, Some((7, 2)));
        room.calls.rotate_left(first);
        room.settle(700_000);
        let outcomes = [room.outcome(1).cloned(), room.outcome(2).cloned()];
        let written: Vec<&RegisterValue> = outcomes
            .iter()
            .flatten()
            .filter_map(|outcome| if let OperationOutcome::Written(cell) = outcome { Some(cell) } else { None })
            .collect();
        expect_that!(written.len(), eq(1), "{outcomes:?}");
        let held = outcomes.iter().flatten().find(|outcome| matches!(outcome, OperationOutcome::Unchanged(_)));
        expect_that!(held, some(eq(&OperationOutcome::Unchanged(written[0].clone()))));
        let written = written[0].clone();
        expect_that!(room.read(0, 3), eq(&written));
        expect_that!(room.read(1, 4), eq(&written));
    }
}

#[gtest]
fn given_a_writer_cut_off_with_its_proposal_at_one_voter_then_whoever_comes_next_takes_it_over_or_never_sees_it() {
    // Both a read and an edit that leaves all as it is show only what a majority holds.
    for (with, edit) in (0..3usize).flat_map(|with| [(with, None), (with, Some((0, 9)))]) {
        let mut room = Room::new(2);
        room.start(0, 1, Some((5, 1)));
        // All promise; then its proposal reaches the first voter alone.
        (0..3).for_each(|_| {
            let call = room.calls.pop_front().expect("a prepare");
            room.deliver(call);
        });
        let call = room.calls.pop_front().expect("a proposal");
        expect_that!(matches!(call.step, RegisterRequest::Accept { .. }), eq(true));
        room.deliver(call);
        room.calls.clear();
        // Another reads without one of the voters: what it saw once is seen ever after.
        let lost = VOTERS[with];
        room.start(1, 2, edit);
        for _ in 0..60 {
            room.now += 10_000;
            let calls: Vec<Call> = std::mem::take(&mut room.calls).into_iter().filter(|call| call.to != lost).collect();
            calls.into_iter().for_each(|call| {
                if call.from == 1 {
                    room.deliver(call)
                }
            });
            room.collect(1);
        }
        let seen = match room.outcome(2) {
            Some(OperationOutcome::Read(cell) | OperationOutcome::Unchanged(cell)) => cell.clone(),
            other => panic!("{other:?}"),
        };
        expect_that!(seen.version, eq(if with == 0 { 0 } else { 5 }), "without {lost}");
        room.calls.clear();
        // The first voter, which had it first, goes with its disk.
        room.stores[0] = Store::open(Box::new(MemoryFiles::default())).expect("readable");
        room.stores[0].reset(StoreState::default()).expect("kept");
        let again = if with == 0 { room.read(1, 3) } else { room.read_without(1, 3, "a") };
        expect_that!(again.version >= seen.version, eq(true), "without {lost}");
        expect_that!(room.read(1, 4), eq(&again));
    }
}

#[gtest]
fn given_an_answer_of_another_life_or_request_or_register_then_it_counts_for_nothing() {
    let mut room = Room::new(1);
    room.start(0, 1, Some((5, 1)));
    let (asker, request) = (room.calls[0].asker, room.calls[0].request);
    let holds = || RegisterReply::Current { accepted: Ballot::default(), value: Some(RegisterValue::default()) };
    for voter in VOTERS {
        room.quorums[0].on_reply(voter, (asker + 1, request), "k", holds(), room.now);
        room.quorums[0].on_reply(voter, (asker, request + 1), "k", holds(), room.now);
        room.quorums[0].on_reply(voter, (asker, request), "other", holds(), room.now);
        room.quorums[0].on_reply("nobody", (asker, request), "k", holds(), room.now);
        // The same voter twice is one voter.
        room.quorums[0].on_reply("a", (asker, request), "k", holds(), room.now);
        room.quorums[0].on_reply("a", (asker, request), "k", holds(), room.now);
    }
    room.calls.clear();
    room.collect(0);
    expect_that!(room.calls.iter().any(|call| matches!(call.step, RegisterRequest::Accept { .. })), eq(false));
    room.quorums[0].on_reply("b", (asker, request), "k", holds(), room.now);
    room.collect(0);
    expect_that!(room.calls.iter().any(|call| matches!(call.step, RegisterRequest::Accept { .. })), eq(true));
}

#[gtest]
fn given_many_writers_at_once_at_different_nodes_then_all_end_well_within_what_a_caller_waits() {
    let mut most = (0, 0, 0);
    for writers in [2usize, 8] {
        for round in 0..20u64 {
            let mut room = Room::new(writers);
            room.now += round * 7_777;
            let start = room.now;
            (0..writers).for_each(|at| room.start(at, at as u64, Some((10 + at as u64, at as u8))));
            room.settle(890_000);
            let ends = (0..writers as u64)
                .filter(|token| room.outcome(*token).is_some_and(|end| *end != OperationOutcome::Unknown));
            expect_that!(ends.count(), eq(writers), "{writers} writers, round {round}");
            expect_that!(room.read(0, 99).version, eq(9 + writers as u64));
            most = most.max((writers, room.syncs, (room.now - start) as usize));
        }
    }
    println!("most of eight writers at eight nodes: {} syncs at the voters", most.1);
}

#[gtest]
fn given_orders_that_wait_at_one_node_then_they_are_decided_together() {
    let mut room = Room::new(1);
    (0..8u64).for_each(|at| room.start(0, at, Some((10 + at, at as u8))));
    room.settle(100_000);
    expect_that!((0..8).filter(|token| room.outcome(*token).is_some()).count(), eq(8));
    // Two rounds at three voters each: the first alone, the seven others in one.
    expect_that!((room.syncs, room.messages), eq((12, 24)));
    expect_that!(room.read(0, 99).version, eq(17));
}

#[gtest]
fn given_one_writer_alone_then_it_takes_two_round_trips_and_a_read_one_without_any_sync() {
    let mut room = Room::new(1);
    room.start(0, 1, Some((1, 1)));
    let start = room.now;
    while room.outcome(1).is_none() {
        room.settle(1_000);
    }
    expect_that!((room.now - start, room.syncs), eq((2_000, 6)));
    room.calls.clear();
    let (start, syncs) = (room.now, room.syncs);
    room.start(0, 2, None);
    while room.outcome(2).is_none() {
        room.settle(1_000);
    }
    expect_that!((room.now - start, room.syncs - syncs), eq((1_000, 0)));
}

#[gtest]
fn given_a_set_that_is_left_behind_then_what_is_under_way_begins_again_in_the_next_one_and_old_answers_count_no_more() {
    let mut room = Room::new(1);
    room.start(0, 1, Some((5, 1)));
    let old: Vec<Call> = std::mem::take(&mut room.calls).into_iter().collect();
    room.quorums[0].set_voters(set(2));
    room.now += 1;
    room.collect(0);
    let fresh = std::mem::take(&mut room.calls);
    old.into_iter().for_each(|call| room.deliver(call));
    expect_that!(room.calls.is_empty(), eq(true), "nothing is proposed on what the old set said");
    room.calls = fresh;
    room.settle(100_000);
    expect_that!(room.outcome(1), some(eq(&OperationOutcome::Written(register_value(5, vec![1])))));
}
