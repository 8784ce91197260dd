//! Stories of one disk under ballots: what it promised it keeps, also through a restart and from an older format.
use googletest::prelude::*;
use wv_consensus::{register_value, MemoryFiles, Store, StoreState, VoterState};
use wv_internal_protocol::{AcceptorState, Ballot};

fn ballot(round: u64, who: u64) -> Ballot {
    Ballot { round, proposer: who }
}

fn opened(files: &MemoryFiles) -> Store {
    Store::open(Box::new(files.clone())).expect("readable")
}

fn started(files: &MemoryFiles) -> Store {
    let mut store = opened(files);
    store.reset(StoreState::default()).expect("kept");
    store
}

fn bytes(files: &MemoryFiles) -> usize {
    files.files.borrow().values().map(Vec::len).sum()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len() / 2).filter_map(|at| u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()).collect()
}

#[gtest]
fn given_a_promise_then_nothing_below_it_is_taken_nor_promised_also_after_a_restart() {
    let files = MemoryFiles::default();
    let mut store = started(&files);
    expect_that!(store.promise("k", ballot(5, 1)), ok(eq(&true)));
    let mut store = opened(&files);
    expect_that!(store.promise("k", ballot(4, 9)), ok(eq(&false)));
    expect_that!(store.promise("k", ballot(5, 1)), ok(eq(&true)), "the same proposal said again");
    expect_that!(store.accept("k", ballot(4, 9), &register_value(1, vec![1])), ok(eq(&false)));
    expect_that!(store.accept("k", ballot(5, 0), &register_value(1, vec![1])), ok(eq(&false)));
    expect_that!(store.accept("k", ballot(5, 1), &register_value(1, vec![2])), ok(eq(&true)));
    // What was accepted binds like a promise, and a second copy of it is no change.
    let mut store = opened(&files);
    expect_that!(store.promise("k", ballot(4, 9)), ok(eq(&false)));
    let before = bytes(&files);
    expect_that!(store.accept("k", ballot(5, 1), &register_value(1, vec![2])), ok(eq(&true)));
    expect_that!(bytes(&files), eq(before));
    // A lower version under a higher ballot stands: ballots decide, versions are the callers' own.
    expect_that!(store.accept("k", ballot(6, 1), &register_value(0, vec![3])), ok(eq(&true)));
    expect_that!(opened(&files).get("k").map(|held| held.value.bytes.clone()), some(eq(&vec![3])));
}

#[gtest]
fn given_copies_for_a_disk_that_does_not_vote_then_only_newer_ones_are_kept_and_all_in_one_write() {
    let files = MemoryFiles::default();
    let mut store = started(&files);
    store.accept("a", ballot(7, 1), &register_value(1, vec![1])).expect("kept");
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
        store.iter().map(|(key, held)| (key.to_owned(), held.value.bytes.clone())).collect();
    let expected = [("a", vec![1]), ("b", vec![3]), ("c", vec![4])].map(|(key, value)| (key.to_owned(), value));
    expect_that!(values, eq(&expected.to_vec()));
    // A copy binds like an acceptance.
    expect_that!(store.promise("b", ballot(3, 1)), ok(eq(&false)));
}

/// The files of a first voter as they were written before registers had ballots: a slot, an older one, and a log with
/// two entries after it.
fn old_disk() -> MemoryFiles {
    let files = MemoryFiles::default();
    let all = [
        ("slot-a", "33010000b37a52c902000000000000000b0000000000000031302e312e302e313a3830000000000000000003000000000000000a000000000000006c6f63616c2f736561740100000000000000ba0a5aed8a000000000000000000000000000000010000000000000003000000000000000b0000000000000031302e312e302e313a383000000000000000000b0000000000000031302e312e302e323a383000000000000000000b0000000000000031302e312e302e333a383000000000000000000000000000000000000000000000000001000000000000000000000000000000000400000000000000636f6e660600000000000000c423e17c0b000000000000007b226973737565223a367d0600000000000000647574792f730700010000000000e8a5554e0b0000000000000031302e312e302e323a3830"),
        ("slot-b", "2b0000008321cda001000000000000000b0000000000000031302e312e302e313a383000000000000000000000000000000000"),
        ("log", "33000000dc45672402000000000000000400000000000000636f6e6609000000000000000b3f79fb0b000000000000007b226973737565223a397d2c00000026f9bfd1020000000000000005000000000000006f776e2f7303000000000000001d80bc550300000000000000010203"),
    ];
    all.iter().for_each(|(name, hex)| {
        files.files.borrow_mut().insert((*name).to_owned(), unhex(hex));
    });
    files
}

#[gtest]
fn given_a_disk_of_the_format_before_ballots_then_all_of_it_is_read_on_and_it_votes_as_before() {
    let files = old_disk();
    let mut store = opened(&files);
    let held = |store: &Store, key: &str| store.get(key).map(|held| (held.accepted, held.value.version));
    expect_that!(held(&store, "conf"), some(eq((Ballot::default(), 9))));
    expect_that!(held(&store, "duty/s"), some(eq((Ballot::default(), 0x1_0007))));
    expect_that!(held(&store, "own/s"), some(eq((Ballot::default(), 3))));
    let seat = VoterState::open(&mut store, "10.1.0.1:80", &[], false, 5).expect("kept");
    expect_that!((seat.voting_set("10.1.0.1:80"), seat.voters.members.len()), eq((1, 3)));
    // It is written in the present format at once; its old log, were it still there, says nothing any more.
    let log = old_disk().files.borrow()["log"].clone();
    expect_that!(store.accept("conf", ballot(1, 1), &register_value(10, vec![1])), ok(eq(&true)));
    let mut kept = files.files.borrow()["log"].clone();
    kept.splice(0..0, log);
    files.files.borrow_mut().insert("log".to_owned(), kept);
    expect_that!(held(&opened(&files), "conf"), some(eq((ballot(1, 1), 10))));
}

#[gtest]
fn given_an_old_disk_that_loses_power_as_it_is_written_anew_then_nothing_of_it_is_lost() {
    let whole = {
        let files = old_disk();
        opened(&files);
        let slot = files.files.borrow()["slot-b"].clone();
        slot
    };
    // Every length to which the new slot may have come; the log may be emptied only after the whole of it.
    for len in 0..=whole.len() {
        let files = old_disk();
        files.files.borrow_mut().insert("slot-b".to_owned(), whole[..len].to_vec());
        let store = opened(&files);
        expect_that!(store.get("conf").map(|held| held.value.version), some(eq(9)), "{len} bytes");
        expect_that!(store.get("own/s").map(|held| held.value.version), some(eq(3)), "{len} bytes");
    }
}

#[gtest]
fn given_thousands_of_changes_then_the_files_stay_within_a_few_times_the_state_and_a_change_costs_its_own_bytes() {
    let mut figures = Vec::new();
    for changes in [10u64, 1_000, 10_000] {
        let files = MemoryFiles::default();
        let mut store = started(&files);
        // Four hundred registers at rest, and one of forty thousand bytes beside the one that changes.
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
        store.adopt_newer(rest.collect()).expect("kept");
        store.accept("conf", ballot(1, 1), &register_value(1, vec![7; 40 << 10])).expect("kept");
        let before = files.written.get();
        (2..changes + 2).for_each(|round| {
            expect_that!(store.accept("duty/7", ballot(round, 1), &register_value(round, vec![1; 20])), ok(eq(&true)));
        });
        let (written, size) = (files.written.get() - before, store.size_bytes());
        expect_that!(bytes(&files), le(3 * size + (512 << 10)), "{changes} changes");
        // Its record, and its part of what folding writes: no more than the records themselves.
        expect_that!(written as u64 / changes, le(500), "{changes} changes");
        figures.push((changes, bytes(&files), written as u64 / changes, size));
        expect_that!(opened(&files).get("duty/7").map(|held| held.value.version), some(eq(changes + 1)));
    }
    println!("changes, bytes on disk, bytes written a change, state: {figures:?}");
}
