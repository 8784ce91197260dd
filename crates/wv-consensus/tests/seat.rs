//! Stories of disks that come back: at another address, or as a copy of what they were.
use googletest::prelude::*;
use wv_consensus::{MemoryFiles, Store, VoterState};
use wv_internal_protocol::{Member, VoterSet};

const SEEDS: [&str; 3] = ["a", "b", "c"];

fn seat(files: &MemoryFiles, me: &str, disk: u64) -> (VoterState, Store) {
    let mut store = Store::open(Box::new(files.clone())).expect("readable");
    let seeds = SEEDS.map(str::to_owned);
    let seat = VoterState::open(&mut store, me, &seeds, true, disk).expect("kept");
    (seat, store)
}

#[gtest]
fn given_a_disk_of_a_first_start_at_the_address_of_another_seed_then_it_is_nobody_there_and_nobody_at_home_again() {
    let files = MemoryFiles::default();
    let (old, _) = seat(&files, "a", 7);
    expect_that!((old.voting_set("a"), old.source_set("a")), eq((1, 1)));
    let (moved, _) = seat(&files, "b", 8);
    expect_that!((moved.voting_set("b"), moved.source_set("b")), eq((0, 0)));
    expect_that!((moved.disk, moved.voters.number), eq((8, 1)), "it knows of the set all the same");
    // What it was asked to keep meanwhile is not known: it stays another one.
    let (again, _) = seat(&files, "a", 9);
    expect_that!((again.disk, again.voting_set("a"), again.source_set("a")), eq((8, 0, 0)));
}

#[gtest]
fn given_a_numbered_disk_at_the_address_of_another_member_then_it_neither_votes_nor_tells_as_that_one() {
    let files = MemoryFiles::default();
    let (mut first, mut store) = seat(&files, "d", 7);
    let member = |addr: &str, disk| Member { addr: addr.to_owned(), disk };
    let next = VoterSet { number: 2, members: vec![member("a", 0), member("d", 7), member("e", 8)] };
    let before = VoterSet { number: 1, members: SEEDS.map(|addr| member(addr, 0)).to_vec() };
    expect_that!(first.update_voters(&mut store, "d", &next, &before), ok(eq(&true)));
    first.install(&mut store).expect("kept");
    expect_that!((first.voting_set("d"), first.source_set("d")), eq((2, 2)));
    let (moved, _) = seat(&files, "e", 9);
    expect_that!((moved.voting_set("e"), moved.source_set("e")), eq((0, 0)));
    let (home, _) = seat(&files, "d", 9);
    expect_that!((home.voting_set("d"), home.source_set("d")), eq((2, 2)));
}

#[gtest]
fn given_a_copy_of_an_earlier_state_and_a_set_that_has_moved_on_then_it_leaves_its_set_for_good_as_it_hears_of_that() {
    let files = MemoryFiles::default();
    seat(&files, "a", 7);
    let (mut copy, mut store) = seat(&files.copy(), "a", 9);
    let member = |addr: &str, disk| Member { addr: addr.to_owned(), disk };
    let next = VoterSet { number: 2, members: vec![member("a", 5), member("b", 0), member("c", 0)] };
    let before = copy.voters.clone();
    expect_that!(copy.voting_set("a"), eq(1));
    expect_that!(copy.update_voters(&mut store, "a", &next, &before), ok(eq(&true)));
    expect_that!(copy.voting_set("a"), eq(0));
    // Of the set that it left it may still tell what it held.
    expect_that!(copy.source_set("a"), eq(1));
}
