//! Disk cost of changing a large configuration: `cargo run --release -p wv-consensus --example store`. Prints one line
//! per run: number of changes, bytes on disk (final and maximum), bytes written and microseconds per change with files
//! in memory, and microseconds to reopen.
use wv_consensus::{register_value, DurableFiles, MemoryFiles, Store, StoreState};
use wv_internal_protocol::Ballot;

/// Size of a compressed configuration with 2,000 routes.
const CONFIGURATION_BYTES: usize = 40 << 10;
const DUTY_COUNT: usize = 200;

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 1 }
}

fn disk_usage(files: &MemoryFiles) -> usize {
    files.files.borrow().values().map(Vec::len).sum()
}

fn measure(changes: u64) -> Result<(), wv_consensus::RegisterError> {
    let files = MemoryFiles::default();
    let mut store = Store::open(Box::new(files.clone()))?;
    store.reset(StoreState { addr: "10.0.0.1:80".to_owned(), ..StoreState::default() })?;
    for at in 0..DUTY_COUNT {
        store.accept(&format!("duty/service-{at}"), ballot(1), &register_value(1, vec![7; 24]))?;
    }
    let mut body: Vec<u8> = (0..CONFIGURATION_BYTES).map(|at| (at * 31 % 251) as u8).collect();
    let (written, start, mut most) = (files.written.get(), std::time::Instant::now(), 0);
    for change in 0..changes {
        let at = change as usize * 97 % CONFIGURATION_BYTES;
        body[at] = body[at].wrapping_add(1);
        // A voter's writes for one change: the promise, then the value.
        store.promise("conf", ballot(2 * change + 2))?;
        store.accept("conf", ballot(2 * change + 2), &register_value(change + 1, body.clone()))?;
        most = most.max(disk_usage(&files));
    }
    let spent = start.elapsed().as_micros() as u64 / changes.max(1);
    let each = (files.written.get() - written) as u64 / changes.max(1);
    let start = std::time::Instant::now();
    let size = Store::open(Box::new(files.copy()))?.size_bytes();
    let open = start.elapsed().as_micros();
    let log = files.read("log")?.map_or(0, |log| log.len());
    println!(
        "{changes} changes of a state of {size} bytes: {} on the disk, {most} at most, log {log}; \
         {each} written and {spent} us a change; {open} us to open",
        disk_usage(&files)
    );
    Ok(())
}

fn main() -> Result<(), wv_consensus::RegisterError> {
    [10, 1_000, 10_000].into_iter().try_for_each(measure)
}
