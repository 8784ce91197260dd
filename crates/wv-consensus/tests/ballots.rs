//! Tests of a store's promises and accepted values, including across restarts and with the older on-disk format.
use googletest::prelude::*;
use wv_consensus::{register_value, MemoryFiles, Store, StoreState, VoterState};
use wv_internal_protocol::{AcceptorState, Ballot};

fn ballot(round: u64, proposer: u64) -> Ballot {
    Ballot { round, proposer }
}

fn opened(files: &MemoryFiles) -> Store {
    Store::open(Box::new(files.clone())).expect("store opens")
}

fn started(files: &MemoryFiles) -> Store {
    let mut store = opened(files);
    store.reset(StoreState::default()).expect("write succeeds");
    store
}

fn bytes(files: &MemoryFiles) -> usize {
    files.files.borrow().values().map(Vec::len).sum()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len() / 2).filter_map(|at| u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()).collect()
}

#[gtest]
fn given_a_promise_then_nothing_below_it_is_accepted_or_promised_even_after_a_restart() {
    let files = MemoryFiles::default();
    let mut store = started(&files);
    expect_that!(store.promise("k", ballot(5, 1)), ok(eq(&true)));
    let mut store = opened(&files);
    expect_that!(store.promise("k", ballot(4, 9)), ok(eq(&false)));
    expect_that!(store.promise("k", ballot(5, 1)), ok(eq(&true)), "a repeated prepare request");
    expect_that!(store.accept("k", ballot(4, 9), &register_value(1, vec![1])), ok(eq(&false)));
    expect_that!(store.accept("k", ballot(5, 0), &register_value(1, vec![1])), ok(eq(&false)));
    expect_that!(store.accept("k", ballot(5, 1), &register_value(1, vec![2])), ok(eq(&true)));
    // An accepted value binds like a promise, and accepting it again writes nothing.
    let mut store = opened(&files);
    expect_that!(store.promise("k", ballot(4, 9)), ok(eq(&false)));
    let before = bytes(&files);
    expect_that!(store.accept("k", ballot(5, 1), &register_value(1, vec![2])), ok(eq(&true)));
    expect_that!(bytes(&files), eq(before));
    // A lower version under a higher ballot is accepted: versions are up to the callers.
    expect_that!(store.accept("k", ballot(6, 1), &register_value(0, vec![3])), ok(eq(&true)));
    expect_that!(opened(&files).get("k").map(|current| current.value.bytes.clone()), some(eq(&vec![3])));
}

#[gtest]
fn given_copies_for_a_disk_that_does_not_vote_then_only_newer_ones_are_stored_in_one_write() {
    let files = MemoryFiles::default();
    let mut store = started(&files);
    store.accept("a", ballot(7, 1), &register_value(1, vec![1])).expect("write succeeds");
    let copy = |round: u64, value: u8| AcceptorState {
        accepted: ballot(round, 2),
        value: register_value(9, vec![value]),
        ..AcceptorState::default()
    };
    let copies = vec![("a".to_owned(), copy(6, 2)), ("b".to_owned(), copy(3, 3)), ("c".to_owned(), copy(4, 4))];
    files.is_full.set(true);
    expect_that!(store.adopt_newer(copies.clone()), err(anything()));
    files.is_full.set(false);
    expect_that!(store.adopt_newer(copies.clone()), ok(eq(&2)));
    expect_that!(store.adopt_newer(copies), ok(eq(&0)));
    let mut store = opened(&files);
    let values: Vec<(String, Vec<u8>)> =
        store.iter().map(|(key, current)| (key.to_owned(), current.value.bytes.clone())).collect();
    let expected = [("a", vec![1]), ("b", vec![3]), ("c", vec![4])].map(|(key, value)| (key.to_owned(), value));
    expect_that!(values, eq(&expected.to_vec()));
    // A copied value binds like an accepted one.
    expect_that!(store.promise("b", ballot(3, 1)), ok(eq(&false)));
}

/// The files of an initial voter in the format from before ballots: a slot, an older slot, and a log with two entries.
fn legacy_disk() -> MemoryFiles {
    let files = MemoryFiles::default();
    let all = [
        (
            "slot-a",
            "33010000b37a52c902000000000000000b0000000000000031302e312e302e313a383000000000000000000300000000\
             0000000a000000000000006c6f63616c2f736561740100000000000000ba0a5aed8a0000000000000000000000000000\
             00010000000000000003000000000000000b0000000000000031302e312e302e313a383000000000000000000b000000\
             0000000031302e312e302e323a383000000000000000000b0000000000000031302e312e302e333a3830000000000000\
             00000000000000000000000000000000000001000000000000000000000000000000000400000000000000636f6e6606\
             00000000000000c423e17c0b000000000000007b226973737565223a367d0600000000000000647574792f7307000100\
             00000000e8a5554e0b0000000000000031302e312e302e323a3830",
        ),
        (
            "slot-b",
            "2b0000008321cda001000000000000000b0000000000000031302e312e302e313a383000000000000000000000000000000000",
        ),
        (
            "log",
            "33000000dc45672402000000000000000400000000000000636f6e6609000000000000000b3f79fb0b00000000000000\
             7b226973737565223a397d2c00000026f9bfd1020000000000000005000000000000006f776e2f730300000000000000\
             1d80bc550300000000000000010203",
        ),
    ];
    all.iter().for_each(|(name, hex)| {
        files.files.borrow_mut().insert((*name).to_owned(), unhex(hex));
    });
    files
}

#[gtest]
fn given_a_disk_in_the_format_before_ballots_then_it_is_read_completely_and_keeps_its_vote() {
    let files = legacy_disk();
    let mut store = opened(&files);
    let current = |store: &Store, key: &str| store.get(key).map(|current| (current.accepted, current.value.version));
    expect_that!(current(&store, "conf"), some(eq((Ballot::default(), 9))));
    expect_that!(current(&store, "duty/s"), some(eq((Ballot::default(), 0x1_0007))));
    expect_that!(current(&store, "own/s"), some(eq((Ballot::default(), 3))));
    let voter_state = VoterState::open(&mut store, "10.1.0.1:80", &[], false, 5).expect("write succeeds");
    expect_that!((voter_state.voting_set("10.1.0.1:80"), voter_state.voters.members.len()), eq((1, 3)));
    // Opening upgrades the files; the old log entries, if they were still there, have no effect.
    let log = legacy_disk().files.borrow()["log"].clone();
    expect_that!(store.accept("conf", ballot(1, 1), &register_value(10, vec![1])), ok(eq(&true)));
    let mut combined = files.files.borrow()["log"].clone();
    combined.splice(0..0, log);
    files.files.borrow_mut().insert("log".to_owned(), combined);
    expect_that!(current(&opened(&files), "conf"), some(eq((ballot(1, 1), 10))));
}

#[gtest]
fn given_a_power_loss_while_an_older_format_is_upgraded_then_no_data_is_lost() {
    let complete_slot = {
        let files = legacy_disk();
        opened(&files);
        let slot = files.files.borrow()["slot-b"].clone();
        slot
    };
    // Tries every prefix of the new slot; the log must not be truncated before the slot is complete.
    for len in 0..=complete_slot.len() {
        let files = legacy_disk();
        files.files.borrow_mut().insert("slot-b".to_owned(), complete_slot[..len].to_vec());
        let store = opened(&files);
        expect_that!(store.get("conf").map(|current| current.value.version), some(eq(9)), "{len} bytes");
        expect_that!(store.get("own/s").map(|current| current.value.version), some(eq(3)), "{len} bytes");
    }
}

#[gtest]
fn given_thousands_of_changes_then_disk_usage_and_bytes_written_per_change_are_bounded() {
    let mut figures = Vec::new();
    for changes in [10u64, 1_000, 10_000] {
        let files = MemoryFiles::default();
        let mut store = started(&files);
        // 400 unchanged registers and one of 40 KiB beside the one that changes.
        let rest = (0..400).map(|at| {
            (
                format!("duty/{at}"),
                AcceptorState {
                    accepted: ballot(1, 1),
                    value: register_value(1, vec![0; 20]),
                    ..AcceptorState::default()
                },
            )
        });
        store.adopt_newer(rest.collect()).expect("write succeeds");
        store.accept("conf", ballot(1, 1), &register_value(1, vec![7; 40 << 10])).expect("write succeeds");
        let before = files.written.get();
        (2..changes + 2).for_each(|round| {
            expect_that!(store.accept("duty/7", ballot(round, 1), &register_value(round, vec![1; 20])), ok(eq(&true)));
        });
        let (written, size) = (files.written.get() - before, store.size_bytes());
        expect_that!(bytes(&files), le(3 * size + (512 << 10)), "{changes} changes");
        // The record plus a share of the compactions.
        expect_that!(written as u64 / changes, le(500), "{changes} changes");
        figures.push((changes, bytes(&files), written as u64 / changes, size));
        expect_that!(opened(&files).get("duty/7").map(|current| current.value.version), some(eq(changes + 1)));
    }
    println!("changes, bytes on disk, bytes written a change, state: {figures:?}");
}
