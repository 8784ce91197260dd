//! Tests of the store under disk faults.
use googletest::prelude::*;
use wv_consensus::{register_value, DurableFiles, MemoryFiles, RegisterError, Store, StoreState, ThreadedFiles};
use wv_internal_protocol::Ballot;

fn opened(files: &MemoryFiles) -> Store {
    Store::open(Box::new(files.clone())).expect("store opens")
}

fn started(files: &MemoryFiles) -> Store {
    let mut store = opened(files);
    store.reset(StoreState { addr: "me".to_owned(), ..StoreState::default() }).expect("write succeeds");
    store
}

/// Accepts `value` under a ballot of this round.
fn put(store: &mut Store, key: &str, round: u64, value: Vec<u8>) -> Result<bool, RegisterError> {
    store.accept(key, Ballot { round, proposer: 1 }, &register_value(round, value))
}

fn value(store: &Store, key: &str) -> Option<Vec<u8>> {
    store.get(key).map(|held| held.value.bytes.clone())
}

#[gtest]
fn given_a_disk_that_rejects_writes_temporarily_then_only_the_accepted_writes_are_visible() {
    let files = MemoryFiles::default();
    let mut store = started(&files);
    expect_that!(put(&mut store, "a", 1, vec![1]), ok(eq(&true)));
    files.is_full.set(true);
    expect_that!(put(&mut store, "a", 2, vec![2]), err(anything()));
    expect_that!(value(&store, "a"), some(eq(&vec![1])));
    files.is_full.set(false);
    expect_that!(put(&mut store, "b", 1, vec![3]), ok(eq(&true)));
    let store = opened(&files);
    expect_that!((value(&store, "a"), value(&store, "b")), eq(&(Some(vec![1]), Some(vec![3]))));
}

#[gtest]
fn given_a_torn_slot_then_the_other_slot_and_the_log_hold_everything() {
    let files = MemoryFiles::default();
    let mut store = started(&files);
    expect_that!(put(&mut store, "a", 1, vec![1]), ok(eq(&true)));
    let before = files.files.borrow().clone();
    store.reset(StoreState { addr: "me".to_owned(), ..StoreState::default() }).expect("write succeeds");
    // Simulates a power loss with the new slot half written and the log not yet truncated.
    let newer: Vec<String> = files
        .files
        .borrow()
        .iter()
        .filter(|(name, body)| before.get(*name) != Some(body))
        .map(|(n, _)| n.clone())
        .collect();
    let mut torn = before.clone();
    for name in newer.iter().filter(|name| name.starts_with("slot")) {
        let body = files.files.borrow()[name].clone();
        torn.insert(name.clone(), body[..body.len() / 2].to_vec());
    }
    *files.files.borrow_mut() = torn;
    expect_that!(value(&opened(&files), "a"), some(eq(&vec![1])));
}

#[gtest]
fn given_a_slot_write_that_failed_but_took_effect_then_later_writes_are_not_hidden() {
    // Values large enough that the first and the third start a new slot.
    let (files, big) = (MemoryFiles::default(), |byte: u8| vec![byte; 700 << 10]);
    let mut store = started(&files);
    expect_that!(put(&mut store, "a", 1, big(1)), ok(eq(&true)));
    expect_that!(put(&mut store, "a", 2, big(2)), ok(eq(&true)));
    files.fails_after_write.set(true);
    expect_that!(put(&mut store, "a", 3, big(3)), err(anything()));
    files.fails_after_write.set(false);
    expect_that!(put(&mut store, "b", 1, vec![9]), ok(eq(&true)));
    expect_that!(put(&mut store, "c", 1, vec![8]), ok(eq(&true)));
    let store = opened(&files);
    expect_that!((value(&store, "b"), value(&store, "c")), eq(&(Some(vec![9]), Some(vec![8]))));
}

struct HangingFiles(std::sync::mpsc::Receiver<()>);

impl DurableFiles for HangingFiles {
    fn read(&self, _: &str) -> std::io::Result<Option<Vec<u8>>> {
        Ok(None)
    }

    fn write(&mut self, _: &str, _: &[u8]) -> std::io::Result<()> {
        self.0.recv().map_err(std::io::Error::other)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.write(name, bytes)
    }
}

#[gtest]
fn given_a_disk_that_hangs_then_writes_fail_at_once_and_are_not_queued() {
    let (release, hold) = std::sync::mpsc::channel();
    let (reader, writer) = (Box::new(MemoryFiles::default()), Box::new(HangingFiles(hold)));
    let mut files = ThreadedFiles::start(reader, writer, std::time::Duration::ZERO).expect("a thread");
    expect_that!(files.write("log", b"1").map_err(|error| error.kind()), err(eq(std::io::ErrorKind::TimedOut)));
    expect_that!(files.append("log", b"2").map_err(|error| error.kind()), err(eq(std::io::ErrorKind::TimedOut)));
    // The disk thread receives one write, not two.
    release.send(()).expect("it waits");
    drop(files);
    while release.send(()).is_ok() {
        std::thread::yield_now();
    }
    expect_that!(release.send(()).is_err(), eq(true));
}
