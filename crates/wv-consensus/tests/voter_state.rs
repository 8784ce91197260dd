//! Tests of voter states whose disk comes back at another address or from an outdated copy.
use googletest::prelude::*;
use wv_consensus::{MemoryFiles, Store, VoterState};
use wv_internal_protocol::{Member, VoterSet};

const SEEDS: [&str; 3] = ["a", "b", "c"];

fn voter_state(files: &MemoryFiles, me: &str, disk: u64) -> (VoterState, Store) {
    let mut store = Store::open(Box::new(files.clone())).expect("store opens");
    let seeds = SEEDS.map(str::to_owned);
    let voter_state = VoterState::open(&mut store, me, &seeds, true, disk).expect("write succeeds");
    (voter_state, store)
}

#[gtest]
fn given_a_disk_of_an_initial_start_at_the_address_of_another_seed_then_it_is_not_a_member_there_or_back_at_its_own() {
    let files = MemoryFiles::default();
    let (old, _) = voter_state(&files, "a", 7);
    expect_that!((old.voting_set("a"), old.source_set("a")), eq((1, 1)));
    let (moved, _) = voter_state(&files, "b", 8);
    expect_that!((moved.voting_set("b"), moved.source_set("b")), eq((0, 0)));
    expect_that!((moved.disk, moved.voters.number), eq((8, 1)), "it knows of the set all the same");
    // Writes it missed meanwhile are unknown, so it remains a different member.
    let (again, _) = voter_state(&files, "a", 9);
    expect_that!((again.disk, again.voting_set("a"), again.source_set("a")), eq((8, 0, 0)));
}

#[gtest]
fn given_a_disk_with_an_id_at_the_address_of_another_member_then_it_neither_votes_nor_serves_registers_there() {
    let files = MemoryFiles::default();
    let (mut first, mut store) = voter_state(&files, "d", 7);
    let member = |addr: &str, disk| Member { addr: addr.to_owned(), disk };
    let next = VoterSet { number: 2, members: vec![member("a", 0), member("d", 7), member("e", 8)] };
    let before = VoterSet { number: 1, members: SEEDS.map(|addr| member(addr, 0)).to_vec() };
    expect_that!(first.update_voters(&mut store, "d", &next, &before), ok(eq(&true)));
    first.install(&mut store).expect("write succeeds");
    expect_that!((first.voting_set("d"), first.source_set("d")), eq((2, 2)));
    let (moved, _) = voter_state(&files, "e", 9);
    expect_that!((moved.voting_set("e"), moved.source_set("e")), eq((0, 0)));
    let (home, _) = voter_state(&files, "d", 9);
    expect_that!((home.voting_set("d"), home.source_set("d")), eq((2, 2)));
}

#[gtest]
fn given_an_outdated_copy_of_a_disk_that_learns_of_the_next_set_then_it_stops_voting_in_its_own() {
    let files = MemoryFiles::default();
    voter_state(&files, "a", 7);
    let (mut copy, mut store) = voter_state(&files.copy(), "a", 9);
    let member = |addr: &str, disk| Member { addr: addr.to_owned(), disk };
    let next = VoterSet { number: 2, members: vec![member("a", 5), member("b", 0), member("c", 0)] };
    let before = copy.voters.clone();
    expect_that!(copy.voting_set("a"), eq(1));
    expect_that!(copy.update_voters(&mut store, "a", &next, &before), ok(eq(&true)));
    expect_that!(copy.voting_set("a"), eq(0));
    // It may still serve the registers of the set it has left.
    expect_that!(copy.source_set("a"), eq(1));
}
