//! Copies rows from source to target in batches, only under the terms recorded in the slot map, and requeues keys that
//! must be copied again.
use crate::{Command, Reply, Side};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wv_wire_protocol::parse_status;

const MAX_BATCH_ROWS: usize = 32;
/// Maximum number of concurrent batches before and after the moving slots are sealed.
const MAX_BATCHES: usize = 4;
const MAX_BATCHES_SEALED: usize = 8;
/// Pause after the source reported all its capacity in use.
const BUSY_SOURCE_PAUSE_US: u64 = 500_000;
/// The attempt is aborted after more consecutive failed batches than this.
const MAX_FAILED_BATCHES: u32 = 12;
const FAILED_BATCH_PAUSE_US: u64 = 100_000;

/// Whether the attempt continues after a batch.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CopyOutcome {
    Continue,
    /// A database is not under the term recorded in the map, or copying keeps failing.
    Abort,
}

struct Batch {
    keys: Vec<Vec<u8>>,
    is_writing: bool,
}

/// Row copies of one split attempt.
#[derive(Default)]
pub struct RowCopier {
    /// First in, first out, so that frequently written keys do not starve others.
    queue: VecDeque<Vec<u8>>,
    queued: BTreeSet<Vec<u8>>,
    batches: BTreeMap<u64, Batch>,
    failed_batches: u32,
    next_us: u64,
    pub copied_rows: u64,
    pub busy_source_pauses: u64,
}

/// The databases, terms and limits that apply to copying.
pub struct CopyContext<'a> {
    pub now_us: u64,
    pub source: &'a str,
    pub target: &'a str,
    pub source_term: u64,
    pub target_term: u64,
    pub capacity: u32,
    pub max_rows_per_s: u32,
    pub is_sealed: bool,
}

impl RowCopier {
    /// Queues a key even if a batch in flight contains it: that batch may have read the row before the latest write.
    pub fn enqueue(&mut self, key: &[u8]) {
        if self.queued.insert(key.to_vec()) {
            self.queue.push_back(key.to_vec());
        }
    }

    pub fn remaining(&self) -> usize {
        self.queue.len() + self.batches.values().map(|batch| batch.keys.len()).sum::<usize>()
    }

    pub fn is_done(&self) -> bool {
        self.queue.is_empty() && self.batches.is_empty()
    }

    /// Clears the queue and ignores replies to batches in flight.
    pub fn reset(&mut self) {
        (self.queue, self.queued, self.batches, self.failed_batches) = Default::default();
    }

    /// Whether no batch is in flight.
    pub fn is_idle(&self) -> bool {
        self.batches.is_empty()
    }

    /// Starts as many batches as the limits allow.
    pub fn start_batches(&mut self, context: &CopyContext<'_>, next_token: &mut u64) -> Vec<Command> {
        let max_batches = if context.is_sealed { MAX_BATCHES_SEALED } else { MAX_BATCHES };
        let mut commands = Vec::new();
        while self.batches.len() < max_batches
            && !self.queue.is_empty()
            && (self.next_us <= context.now_us || context.is_sealed)
        {
            let keys = self.next_keys();
            // All queued keys are in flight. With one key in two batches, the older read could be written last.
            if keys.is_empty() {
                break;
            }
            *next_token += 1;
            // Only a primary serves reads in a plain transaction; ABORT ends it without writing.
            let reads = keys.iter().map(|key| [b"READ ", &key[..]].concat());
            commands.push(Command::Run {
                token: *next_token,
                side: Side::Source,
                id: context.source.to_owned(),
                statements: transaction(reads, b"ABORT"),
            });
            let pause = keys.len() as u64 * 1_000_000 / u64::from(context.max_rows_per_s.max(1));
            self.next_us = self.next_us.max(context.now_us) + pause;
            self.batches.insert(*next_token, Batch { keys, is_writing: false });
        }
        commands
    }

    /// The next keys in queue order that are not in a batch in flight.
    fn next_keys(&mut self) -> Vec<Vec<u8>> {
        let in_flight: BTreeSet<&Vec<u8>> = self.batches.values().flat_map(|batch| &batch.keys).collect();
        let keys: Vec<Vec<u8>> =
            self.queue.iter().filter(|key| !in_flight.contains(key)).take(MAX_BATCH_ROWS).cloned().collect();
        keys.iter().for_each(|key| {
            self.queued.remove(key);
        });
        let queued = &self.queued;
        self.queue.retain(|key| queued.contains(key));
        keys
    }

    /// Handles the replies to a batch, `None` if its outcome is unknown.
    pub fn on_replies(
        &mut self,
        token: u64,
        replies: Option<Vec<Reply>>,
        context: &CopyContext<'_>,
    ) -> (CopyOutcome, Vec<Command>) {
        let Some(batch) = self.batches.remove(&token) else { return (CopyOutcome::Continue, Vec::new()) };
        let statements = batch.keys.len() + 3;
        let expected_term = if batch.is_writing { context.target_term } else { context.source_term };
        let status = replies.as_ref().and_then(|replies| replies.first()?.rows.first().cloned());
        let status = status.and_then(|row| parse_status(&row));
        // Another term means that a promotion happened: copied rows may have been truncated.
        if status.is_some_and(|status| !status.is_primary || status.term != expected_term) {
            return (CopyOutcome::Abort, Vec::new());
        }
        // The commit may have been sent and could still overwrite newer copies; only a newer term of the target
        // prevents that.
        if batch.is_writing && replies.is_none() {
            return (CopyOutcome::Abort, Vec::new());
        }
        let complete =
            replies.filter(|replies| replies.len() == statements && replies.iter().all(|reply| reply.code.is_none()));
        let Some(replies) = complete else { return (self.on_batch_failed(batch, context.now_us), Vec::new()) };
        self.failed_batches = 0;
        if batch.is_writing {
            self.copied_rows += batch.keys.len() as u64;
            return (CopyOutcome::Continue, Vec::new());
        }
        if !context.is_sealed && status.is_some_and(|status| status.busy_connections >= context.capacity.max(1)) {
            self.busy_source_pauses += 1;
            self.next_us = self.next_us.max(context.now_us + BUSY_SOURCE_PAUSE_US);
        }
        // Keys without a row at the source are not written to the target.
        let found =
            batch.keys.into_iter().zip(&replies[2..]).filter_map(|(key, reply)| Some((key, reply.rows.first()?)));
        let (keys, rows): (Vec<Vec<u8>>, Vec<&Vec<u8>>) = found.unzip();
        if keys.is_empty() {
            return (CopyOutcome::Continue, Vec::new());
        }
        let writes = keys.iter().zip(rows).map(|(key, row)| [b"WRITE ", &key[..], b" ", &row[..]].concat());
        let statements = transaction(writes, b"COMMIT");
        let command = Command::Run { token, side: Side::Target, id: context.target.to_owned(), statements };
        self.batches.insert(token, Batch { keys, is_writing: true });
        (CopyOutcome::Continue, vec![command])
    }

    /// Requeues the keys of a failed batch; copying a row again before the cutover is safe.
    fn on_batch_failed(&mut self, batch: Batch, now_us: u64) -> CopyOutcome {
        batch.keys.iter().for_each(|key| self.enqueue(key));
        self.failed_batches += 1;
        self.next_us = self.next_us.max(now_us + FAILED_BATCH_PAUSE_US);
        if self.failed_batches > MAX_FAILED_BATCHES {
            return CopyOutcome::Abort;
        }
        CopyOutcome::Continue
    }
}

/// A query of the database's status, then a transaction of `statements` that ends with `end`.
fn transaction(statements: impl Iterator<Item = Vec<u8>>, end: &[u8]) -> Vec<Vec<u8>> {
    [b"ENQUIRY".to_vec(), b"BEGIN".to_vec()].into_iter().chain(statements).chain([end.to_vec()]).collect()
}
