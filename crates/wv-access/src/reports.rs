//! What this node tells the holder of a planned shard's split: marks, sampled things, names. One report of a kind is on
//! its way at a time, and is sent again until it is taken.
use crate::core::Core;
use wv_internal_protocol::{Message, ShardReport, SplitPhase, WriteMarks};
use wv_shard_forecast::{hash, slot_for_key, KeySample, Sample};

const AGAIN_US: u64 = 700_000;
/// Marks and names of one report.
const NAMES_MAX: usize = 1024;
/// Fill reports follow each other no sooner.
const FILL_GAP_US: u64 = 3_000_000;
/// Names that are remembered as kept; beyond that they are told again.
const KEPT_MAX: usize = 131_072;
/// So long after its end a write that got no clear answer may still take effect.
const LATE_US: u64 = 5_000_000;
/// The whole sample is told again this often: a holder may have been lost before it wrote it.
const RETELL_US: u64 = 600_000_000;

/// A write that was marked, and whether it may still take effect.
struct Open {
    thing: String,
    client: u64,
    /// The request alone, or the transaction from its first byte on.
    number: u64,
    txn: Option<u64>,
    settled: Option<u64>,
    is_unclear: bool,
}

#[derive(Default)]
pub(crate) struct Marking {
    names: std::collections::BTreeSet<String>,
    open: Vec<Open>,
    is_wanted: bool,
    is_last: bool,
    serial: u64,
    /// On its way since when.
    sent: Option<(u64, WriteMarks)>,
}

impl Marking {
    /// A write is about to be sent.
    pub fn begin(&mut self, thing: &[u8], client: u64, number: u64, txn: Option<u64>) {
        let thing = String::from_utf8_lossy(thing).into_owned();
        self.open.push(Open { thing, client, number, txn, settled: None, is_unclear: false });
    }

    /// What this client has sent may or may not have taken effect, or may yet.
    pub fn blur(&mut self, client: u64) {
        self.open.iter_mut().filter(|open| open.client == client).for_each(|open| open.is_unclear = true);
    }

    /// A word is due even without marks: that this node writes, or that these were its last.
    pub fn tell(&mut self, is_last: bool) {
        (self.is_wanted, self.is_last) = (true, is_last);
        // What may still take effect at the database is copied once more after it no longer can.
        if is_last {
            self.names.extend(self.open.iter().map(|open| open.thing.clone()));
        }
    }

    /// A copy may have been made before the write took effect: what has come to its end is marked, and once more when a
    /// late effect of one that got no clear answer is out of the question.
    fn settle(&mut self, now: u64, is_open: impl Fn(&Open) -> bool) {
        let mut again = Vec::new();
        self.open.retain_mut(|open| {
            let is_late = open.settled.is_some_and(|at| at + LATE_US <= now);
            let is_done = open.settled.is_none() && !is_open(open);
            if is_done {
                open.settled = Some(now);
            }
            if is_done || is_late {
                again.push(open.thing.clone());
            }
            open.is_unclear && !is_late || open.settled.is_none()
        });
        self.is_wanted |= !again.is_empty();
        self.names.extend(again);
    }
}

#[derive(Default)]
pub(crate) struct Filling {
    sample: Sample,
    entries: std::collections::BTreeMap<u64, KeySample>,
    names: std::collections::BTreeSet<String>,
    /// Names that the holder keeps, as it said.
    kept: hashbrown::HashSet<u64, ahash::RandomState>,
    is_awaited: bool,
    serial: u64,
    sent: Option<(u64, ShardReport)>,
    next: u64,
    retold: u64,
}

impl Filling {
    pub fn note(&mut self, thing: &[u8], bytes: Option<u32>) {
        let hash = hash(thing);
        if let Some(bytes) = bytes {
            let entry = KeySample { hash, slot: slot_for_key(thing), bytes };
            if self.sample.offer(entry) {
                self.entries.insert(hash, entry);
            }
        }
        if !self.kept.contains(&hash) {
            self.names.insert(String::from_utf8_lossy(thing).into_owned());
        }
    }

    /// Whether the thing's name is kept, so that a split will not miss it; if not, it is told at once.
    pub fn knows(&mut self, thing: &[u8]) -> bool {
        let is_kept = self.kept.contains(&hash(thing));
        if !is_kept {
            self.is_awaited = true;
            self.names.insert(String::from_utf8_lossy(thing).into_owned());
        }
        is_kept
    }

    /// Whether a report waits to be sent, and not just for the next round.
    pub fn is_due(&self) -> bool {
        self.is_awaited && self.sent.is_none()
    }
}

impl Core {
    /// The reports that are due. At the start of a session all that is on its way is sent again.
    pub fn take_reports(&mut self, is_start: bool) -> Vec<Message> {
        let (now, life) = (self.now, self.slots.life);
        self.slots.is_due = false;
        let mut msgs = Vec::new();
        let clients = &self.clients;
        let is_open = |open: &Open| {
            clients.get(&open.client).is_some_and(|client| match open.txn {
                Some(at) => client.txn.as_ref().is_some_and(|txn| txn.first_byte_at == at),
                None => client.request.is_open && client.request.sequence == open.number,
            })
        };
        for (name, shard) in self.slots.shards.iter_mut() {
            let (marks, attempt) = (&mut shard.marks, shard.map.attempt);
            let is_lost = |at: u64| is_start || at + AGAIN_US <= now;
            marks.settle(now, is_open);
            // What was meant for an earlier try is of no use to anyone, its names are.
            if let Some((_, old)) = marks.sent.take_if(|(_, sent)| sent.attempt != attempt) {
                marks.names.extend(old.keys);
            }
            if marks.sent.is_none() && marks.is_wanted && shard.map.phase != SplitPhase::Resting {
                marks.serial += 1;
                let names: Vec<String> = marks.names.iter().take(NAMES_MAX).cloned().collect();
                names.iter().for_each(|name| {
                    marks.names.remove(name);
                });
                marks.is_wanted = !marks.names.is_empty();
                let is_last = marks.is_last && shard.map.phase == SplitPhase::Sealed && marks.names.is_empty();
                let (shard, serial) = (name.clone(), marks.serial);
                marks.sent = Some((0, WriteMarks { shard, attempt, incarnation: life, serial, keys: names, is_last }));
            }
            if let Some((at, sent)) = marks.sent.as_mut().filter(|(at, _)| *at == 0 || is_lost(*at)) {
                *at = now;
                msgs.push(Message::DirtyKeys(sent.clone()));
            }
            let fill = &mut shard.fill;
            if fill.retold + RETELL_US <= now {
                fill.retold = now;
                fill.entries.extend(fill.sample.entries().map(|entry| (entry.hash, entry)));
            }
            let has_news = !fill.entries.is_empty() || !fill.names.is_empty();
            if fill.sent.is_none() && has_news && (fill.next <= now || fill.is_awaited) {
                fill.serial += 1;
                fill.next = now + FILL_GAP_US;
                let names: Vec<String> = fill.names.iter().take(NAMES_MAX).cloned().collect();
                names.iter().for_each(|name| {
                    fill.names.remove(name);
                });
                fill.is_awaited = fill.is_awaited && !fill.names.is_empty();
                let entries = std::mem::take(&mut fill.entries).into_values().collect();
                fill.sent = Some((
                    0,
                    ShardReport {
                        shard: name.clone(),
                        incarnation: life,
                        serial: fill.serial,
                        samples: entries,
                        keys: names,
                    },
                ));
            }
            if let Some((at, sent)) = fill.sent.as_mut().filter(|(at, _)| *at == 0 || is_lost(*at)) {
                *at = now;
                msgs.push(Message::KeySamples(sent.clone()));
            }
        }
        msgs
    }

    /// The holder has taken marks: this node may write to what moves, as far as they said so.
    pub fn marked(&mut self, shard: &str, attempt: u64, (life, serial): (u64, u64), now: u64) {
        self.now = self.now.max(now);
        let Some(held) = self.slots.shards.get_mut(shard) else { return };
        let is_own = life == self.slots.life;
        let is_it = is_own
            && held.marks.sent.as_ref().is_some_and(|(_, sent)| sent.serial == serial && sent.attempt == attempt);
        if is_it {
            held.marks.sent = None;
            held.joined = attempt;
            self.slots.is_due |= held.marks.is_wanted;
        }
        self.dispatch_unplaced();
    }

    /// The names of a report are kept: writes that waited for them go on.
    pub fn filled(&mut self, shard: &str, (life, serial): (u64, u64), now: u64) {
        self.now = self.now.max(now);
        if life != self.slots.life {
            return;
        }
        let Some(fill) = self.slots.shards.get_mut(shard).map(|held| &mut held.fill) else { return };
        let Some((_, sent)) = fill.sent.take_if(|(_, sent)| sent.serial == serial) else { return };
        if fill.kept.len() >= KEPT_MAX {
            fill.kept.clear();
        }
        fill.kept.extend(sent.keys.iter().map(|name| hash(name.as_bytes())));
        self.slots.is_due |= fill.is_due();
        self.dispatch_unplaced();
    }

    /// A request came back well: what it wrote counts once its commit has.
    pub(crate) fn note_done(&mut self, id: u64, is_commit: bool) {
        if self.slots.shards.is_empty() {
            return;
        }
        let Some(service) = self.service_of(id) else { return };
        let Some(client) = self.clients.get_mut(&id) else { return };
        let (named, verb) = (client.request.target_key.clone(), client.request.verb());
        let mut done: Vec<(Vec<u8>, Option<u32>)> = Vec::new();
        match (client.txn.as_mut(), verb) {
            (Some(txn), crate::types::Verb::Write) => txn.writes.push((named.thing, named.bytes)),
            (Some(txn), _) if is_commit => {
                done.extend(std::mem::take(&mut txn.writes).into_iter().map(|(thing, bytes)| (thing, Some(bytes))));
            }
            (None, crate::types::Verb::Write) => done.push((named.thing, Some(named.bytes))),
            (_, crate::types::Verb::Read) if client.request.response.starts_with(b"ROW") => {
                done.push((named.thing, None))
            }
            _ => {}
        }
        let Some(shard) = self.slots.shards.get_mut(&*service) else { return };
        done.iter().for_each(|(thing, bytes)| shard.fill.note(thing, *bytes));
    }
}
