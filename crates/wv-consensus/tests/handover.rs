//! Tests of sealing a voter set and handing its registers over.
use googletest::prelude::*;
use wv_consensus::{MemoryFiles, Store, VoterState};
use wv_internal_protocol::{Member, VoterSet};

fn set(number: u64, members: &[(&str, u64)]) -> VoterSet {
    let member = |(addr, disk): &(&str, u64)| Member { addr: (*addr).to_owned(), disk: *disk };
    VoterSet { number, members: members.iter().map(member).collect() }
}

fn open(files: &MemoryFiles, me: &str, is_first: bool, disk: u64) -> (Store, VoterState) {
    let mut store = Store::open(Box::new(files.clone())).expect("files in memory");
    let seeds: Vec<String> = ["a", "b", "c"].map(str::to_owned).to_vec();
    let voter_state = VoterState::open(&mut store, me, &seeds, is_first, disk).expect("files in memory");
    (store, voter_state)
}

fn flag<T, E>(result: Option<std::result::Result<T, E>>) -> Option<T> {
    result.and_then(std::result::Result::ok)
}

#[gtest]
fn given_a_sealed_voter_then_it_stops_voting_on_registers_even_after_a_restart_but_still_votes_on_the_successor() {
    let files = MemoryFiles::default();
    let (mut store, mut voter_state) = open(&files, "a", true, 0);
    expect_that!(voter_state.voting_set("a"), eq(1));
    expect_that!(
        flag(voter_state.prepare_successor(&mut store, "a", 1, 50)).map(|prepared| prepared.is_ok),
        some(eq(true))
    );
    // A lower fence or another set does not seal.
    expect_that!(flag(voter_state.seal(&mut store, "a", (1, 40))), some(eq(false)));
    expect_that!(voter_state.seal(&mut store, "a", (2, 60)).is_none(), eq(true));
    expect_that!(voter_state.voting_set("a"), eq(1));
    expect_that!(flag(voter_state.seal(&mut store, "a", (1, 50))), some(eq(true)));
    let (mut store, mut voter_state) = open(&files, "a", false, 0);
    expect_that!((voter_state.voting_set("a"), voter_state.successor_voting_set("a")), eq((0, 1)));
    let next = set(2, &[("a", 0), ("b", 0), ("d", 7)]);
    expect_that!(
        flag(voter_state.prepare_successor(&mut store, "a", 1, 60)).map(|prepared| prepared.is_ok),
        some(eq(true))
    );
    expect_that!(flag(voter_state.accept_successor(&mut store, "a", (1, 60), &next)), some(eq(true)));
    // The successor is accepted, but this disk was not handed all registers of the previous set: it must catch up
    // first.
    expect_that!(voter_state.update_voters(&mut store, "a", &next, &set(1, &[("a", 0)])).ok(), some(eq(true)));
    expect_that!((voter_state.voting_set("a"), voter_state.successor_voting_set("a")), eq((0, 0)));
    expect_that!(voter_state.install(&mut store).is_ok(), eq(true));
    expect_that!((voter_state.voting_set("a"), voter_state.successor_voting_set("a")), eq((2, 2)));
}

#[gtest]
fn given_a_disk_that_was_handed_all_registers_of_a_set_then_it_votes_in_the_next_set_only() {
    let first = set(1, &[("a", 0), ("b", 0), ("c", 0)]);
    let handed = |is_handed: bool| {
        let files = MemoryFiles::default();
        let (mut store, mut voter_state) = open(&files, "d", false, 7);
        voter_state.update_voters(&mut store, "d", &first, &VoterSet::default()).expect("files in memory");
        if is_handed {
            expect_that!(voter_state.mark_complete(&mut store, 2).ok(), some(eq(false)));
            expect_that!(voter_state.mark_complete(&mut store, 1).ok(), some(eq(true)));
        }
        open(&files, "d", false, 8)
    };
    let next = set(2, &[("a", 0), ("b", 0), ("d", 7)]);
    let (mut store, mut voter_state) = handed(true);
    expect_that!(voter_state.is_successor_member("d", 1, &next), eq(true));
    expect_that!(voter_state.is_successor_member("d", 2, &next), eq(false));
    // The same address with another disk is a different member.
    expect_that!(voter_state.is_successor_member("d", 1, &set(2, &[("a", 0), ("b", 0), ("d", 9)])), eq(false));
    voter_state.update_voters(&mut store, "d", &next, &first).expect("files in memory");
    expect_that!(voter_state.voting_set("d"), eq(2));
    // Nothing was handed over, or only for an earlier set.
    let (mut store, mut voter_state) = handed(false);
    voter_state.update_voters(&mut store, "d", &next, &first).expect("files in memory");
    expect_that!(voter_state.voting_set("d"), eq(0));
    let (mut store, mut voter_state) = handed(true);
    voter_state
        .update_voters(&mut store, "d", &set(3, &[("a", 0), ("b", 0), ("d", 7)]), &next)
        .expect("files in memory");
    expect_that!(voter_state.voting_set("d"), eq(0));
}

#[gtest]
fn given_a_voter_state_in_the_format_before_sealing_then_it_is_read() {
    let files = MemoryFiles::default();
    let (mut store, _) = open(&files, "a", true, 0);
    // Disk ID, newest set, previous set, installed set, fence, no accepted successor.
    let mut old = Vec::new();
    nanoserde::SerBin::ser_bin(&5u64, &mut old);
    nanoserde::SerBin::ser_bin(&set(4, &[("a", 5), ("b", 0), ("c", 0)]), &mut old);
    nanoserde::SerBin::ser_bin(&set(3, &[("a", 5), ("b", 0), ("x", 0)]), &mut old);
    nanoserde::SerBin::ser_bin(&4u64, &mut old);
    nanoserde::SerBin::ser_bin(&99u64, &mut old);
    nanoserde::SerBin::ser_bin(&None::<(u64, VoterSet)>, &mut old);
    store.put_local("local/seat", old).expect("files in memory");
    let (_, voter_state) = open(&files, "a", false, 1);
    expect_that!(
        (voter_state.disk, voter_state.voters.number, voter_state.previous.number, voter_state.fence),
        eq((5, 4, 3, 99))
    );
    expect_that!(voter_state.voting_set("a"), eq(4));
}
