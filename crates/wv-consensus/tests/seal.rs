//! Stories of one disk as its set is sealed and handed over.
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
    let seat = VoterState::open(&mut store, me, &seeds, is_first, disk).expect("files in memory");
    (store, seat)
}

fn flag<T, E>(kept: Option<std::result::Result<T, E>>) -> Option<T> {
    kept.and_then(std::result::Result::ok)
}

#[gtest]
fn given_a_sealed_voter_then_it_votes_no_more_in_its_set_also_after_a_restart_and_yet_has_a_say_on_the_next() {
    let files = MemoryFiles::default();
    let (mut store, mut seat) = open(&files, "a", true, 0);
    expect_that!(seat.voting_set("a"), eq(1));
    expect_that!(flag(seat.prepare_successor(&mut store, "a", 1, 50)).map(|claimed| claimed.is_ok), some(eq(true)));
    // A lower fence seals nothing; nor does one for another set.
    expect_that!(flag(seat.seal(&mut store, "a", (1, 40))), some(eq(false)));
    expect_that!(seat.seal(&mut store, "a", (2, 60)).is_none(), eq(true));
    expect_that!(seat.voting_set("a"), eq(1));
    expect_that!(flag(seat.seal(&mut store, "a", (1, 50))), some(eq(true)));
    let (mut store, mut seat) = open(&files, "a", false, 0);
    expect_that!((seat.voting_set("a"), seat.successor_voting_set("a")), eq((0, 1)));
    let next = set(2, &[("a", 0), ("b", 0), ("d", 7)]);
    expect_that!(flag(seat.prepare_successor(&mut store, "a", 1, 60)).map(|claimed| claimed.is_ok), some(eq(true)));
    expect_that!(flag(seat.accept_successor(&mut store, "a", (1, 60), &next)), some(eq(true)));
    // Settled, but this disk was not handed all of the set before: it sits in the next one only once it has taken over.
    expect_that!(seat.update_voters(&mut store, "a", &next, &set(1, &[("a", 0)])).ok(), some(eq(true)));
    expect_that!((seat.voting_set("a"), seat.successor_voting_set("a")), eq((0, 0)));
    expect_that!(seat.install(&mut store).is_ok(), eq(true));
    expect_that!((seat.voting_set("a"), seat.successor_voting_set("a")), eq((2, 2)));
}

#[gtest]
fn given_a_disk_that_was_handed_all_of_a_set_then_it_votes_in_the_next_at_once_and_in_no_other() {
    let first = set(1, &[("a", 0), ("b", 0), ("c", 0)]);
    let handed = |is_handed: bool| {
        let files = MemoryFiles::default();
        let (mut store, mut seat) = open(&files, "d", false, 7);
        seat.update_voters(&mut store, "d", &first, &VoterSet::default()).expect("files in memory");
        if is_handed {
            expect_that!(seat.mark_complete(&mut store, 2).ok(), some(eq(false)));
            expect_that!(seat.mark_complete(&mut store, 1).ok(), some(eq(true)));
        }
        open(&files, "d", false, 8)
    };
    let next = set(2, &[("a", 0), ("b", 0), ("d", 7)]);
    let (mut store, mut seat) = handed(true);
    expect_that!(seat.is_successor_member("d", 1, &next), eq(true));
    expect_that!(seat.is_successor_member("d", 2, &next), eq(false));
    // The same address with another disk is another member.
    expect_that!(seat.is_successor_member("d", 1, &set(2, &[("a", 0), ("b", 0), ("d", 9)])), eq(false));
    seat.update_voters(&mut store, "d", &next, &first).expect("files in memory");
    expect_that!(seat.voting_set("d"), eq(2));
    // Nobody handed it anything; or it was the set before that one.
    let (mut store, mut seat) = handed(false);
    seat.update_voters(&mut store, "d", &next, &first).expect("files in memory");
    expect_that!(seat.voting_set("d"), eq(0));
    let (mut store, mut seat) = handed(true);
    seat.update_voters(&mut store, "d", &set(3, &[("a", 0), ("b", 0), ("d", 7)]), &next).expect("files in memory");
    expect_that!(seat.voting_set("d"), eq(0));
}

#[gtest]
fn given_a_seat_as_disks_had_it_before_sets_were_sealed_then_it_is_read_on() {
    let files = MemoryFiles::default();
    let (mut store, _) = open(&files, "a", true, 0);
    // The disk's number, the newest set, the one before it, the set whose registers are held, the fence, nothing accepted.
    let mut old = Vec::new();
    nanoserde::SerBin::ser_bin(&5u64, &mut old);
    nanoserde::SerBin::ser_bin(&set(4, &[("a", 5), ("b", 0), ("c", 0)]), &mut old);
    nanoserde::SerBin::ser_bin(&set(3, &[("a", 5), ("b", 0), ("x", 0)]), &mut old);
    nanoserde::SerBin::ser_bin(&4u64, &mut old);
    nanoserde::SerBin::ser_bin(&99u64, &mut old);
    nanoserde::SerBin::ser_bin(&None::<(u64, VoterSet)>, &mut old);
    store.put_local("local/seat", old).expect("files in memory");
    let (_, seat) = open(&files, "a", false, 1);
    expect_that!((seat.disk, seat.voters.number, seat.previous.number, seat.fence), eq((5, 4, 3, 99)));
    expect_that!(seat.voting_set("a"), eq(4));
}
