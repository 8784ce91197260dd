//! Copying rows from source to target: batches under the terms that the map names, and what is to be copied again.
use crate::{Order, Reply, Side};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wv_wire_protocol::parse_status;

const BATCH: usize = 32;
/// Connections that copy at once: while the source serves all, and while writes to what moves wait.
const RUNS: usize = 4;
const RUNS_SEALED: usize = 8;
/// After a look that showed the source full of other work.
const SURGE_US: u64 = 500_000;
/// So many batches in a row that failed are a disturbance.
const FAILS_MAX: u32 = 12;
const FAIL_PAUSE_US: u64 = 100_000;

/// What came of a batch, beyond itself.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Outcome {
    Going,
    /// A database is not under the term that the map names, or nothing can be copied any more.
    Disturbed,
}

struct Batch {
    names: Vec<String>,
    is_writing: bool,
}

/// The copying of one try.
#[derive(Default)]
pub struct Copy {
    /// In the order in which they came to be wanted: things that are written again and again hold up no others.
    queue: VecDeque<String>,
    queued: BTreeSet<String>,
    batches: BTreeMap<u64, Batch>,
    fails: u32,
    next: u64,
    pub copied: u64,
    pub surges: u64,
}

/// Under which terms, and how hard.
pub struct Bounds<'a> {
    pub now: u64,
    pub source: &'a str,
    pub target: &'a str,
    pub term: u64,
    pub target_term: u64,
    pub capacity: u32,
    pub pace: u32,
    pub is_sealed: bool,
}

impl Copy {
    /// The thing is to be copied, also if a batch with it is under way: that one may have read it too early.
    pub fn want(&mut self, name: &str) {
        if self.queued.insert(name.to_owned()) {
            self.queue.push_back(name.to_owned());
        }
    }

    pub fn left(&self) -> usize {
        self.queue.len() + self.batches.values().map(|batch| batch.names.len()).sum::<usize>()
    }

    pub fn is_done(&self) -> bool {
        self.queue.is_empty() && self.batches.is_empty()
    }

    /// Whatever is under way comes to nothing.
    pub fn restart(&mut self) {
        (self.queue, self.queued, self.batches, self.fails) = Default::default();
    }

    /// Nothing is under way: what is left can be counted.
    pub fn is_idle(&self) -> bool {
        self.batches.is_empty()
    }

    /// Starts the batches that may be started now.
    pub fn start(&mut self, bounds: &Bounds<'_>, next_token: &mut u64) -> Vec<Order> {
        let runs = if bounds.is_sealed { RUNS_SEALED } else { RUNS };
        let mut orders = Vec::new();
        while self.batches.len() < runs && !self.queue.is_empty() && (self.next <= bounds.now || bounds.is_sealed) {
            let names = self.next_names();
            // All that is left is under way already: of two batches with one thing the older read may be written last.
            if names.is_empty() {
                break;
            }
            *next_token += 1;
            // Inside a plain transaction only a database that leads reads; its end rolls back.
            let reads = names.iter().map(|name| format!("READ {name}"));
            let texts = ["ENQUIRY".to_owned(), "BEGIN".to_owned()].into_iter().chain(reads).chain(["ABORT".to_owned()]);
            orders.push(Order::Run {
                token: *next_token,
                side: Side::Source,
                id: bounds.source.to_owned(),
                texts: texts.collect(),
            });
            let pause = names.len() as u64 * 1_000_000 / u64::from(bounds.pace.max(1));
            self.next = self.next.max(bounds.now) + pause;
            self.batches.insert(*next_token, Batch { names, is_writing: false });
        }
        orders
    }

    /// Those wanted first of which no copy is under way.
    fn next_names(&mut self) -> Vec<String> {
        let busy: BTreeSet<&String> = self.batches.values().flat_map(|batch| &batch.names).collect();
        let free: Vec<String> = self.queue.iter().filter(|name| !busy.contains(name)).take(BATCH).cloned().collect();
        free.iter().for_each(|name| {
            self.queued.remove(name);
        });
        let queued = &self.queued;
        self.queue.retain(|name| queued.contains(name));
        free
    }

    /// A batch's replies came, or none did.
    pub fn ran(&mut self, token: u64, replies: Option<Vec<Reply>>, bounds: &Bounds<'_>) -> (Outcome, Vec<Order>) {
        let Some(batch) = self.batches.remove(&token) else { return (Outcome::Going, Vec::new()) };
        let texts = batch.names.len() + 3;
        let wanted = if batch.is_writing { bounds.target_term } else { bounds.term };
        let status = replies.as_ref().and_then(|replies| replies.first()?.rows.first().cloned());
        let status = status.and_then(|row| parse_status(row.as_bytes()));
        // Another term says that somebody was promoted: what was copied may have been cut back.
        if status.is_some_and(|status| !status.is_primary || status.term != wanted) {
            return (Outcome::Disturbed, Vec::new());
        }
        // Nothing came back of a batch that may have been sent to be committed: it may still be, over newer copies. Only
        // a newer term of the target keeps it out.
        if batch.is_writing && replies.is_none() {
            return (Outcome::Disturbed, Vec::new());
        }
        let whole =
            replies.filter(|replies| replies.len() == texts && replies.iter().all(|reply| reply.code.is_none()));
        let Some(replies) = whole else { return (self.failed(batch, bounds.now), Vec::new()) };
        self.fails = 0;
        if batch.is_writing {
            self.copied += batch.names.len() as u64;
            return (Outcome::Going, Vec::new());
        }
        if !bounds.is_sealed && status.is_some_and(|status| status.busy_connections >= bounds.capacity.max(1)) {
            self.surges += 1;
            self.next = self.next.max(bounds.now + SURGE_US);
        }
        let rows = batch.names.iter().zip(&replies[2..]).filter_map(|(name, reply)| Some((name, reply.rows.first()?)));
        let writes: Vec<String> = rows.map(|(name, row)| format!("WRITE {name} {row}")).collect();
        // What the source has no row of needs none at the target.
        let written: Vec<String> = writes.iter().filter_map(|text| text.split(' ').nth(1).map(str::to_owned)).collect();
        if written.is_empty() {
            return (Outcome::Going, Vec::new());
        }
        let texts = ["ENQUIRY".to_owned(), "BEGIN".to_owned()].into_iter().chain(writes).chain(["COMMIT".to_owned()]);
        let order = Order::Run { token, side: Side::Target, id: bounds.target.to_owned(), texts: texts.collect() };
        self.batches.insert(token, Batch { names: written, is_writing: true });
        (Outcome::Going, vec![order])
    }

    /// Copying twice does no harm before the cutover.
    fn failed(&mut self, batch: Batch, now: u64) -> Outcome {
        batch.names.iter().for_each(|name| self.want(name));
        self.fails += 1;
        self.next = self.next.max(now + FAIL_PAUSE_US);
        if self.fails > FAILS_MAX {
            return Outcome::Disturbed;
        }
        Outcome::Going
    }
}
