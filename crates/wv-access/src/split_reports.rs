//! Reports to the node that coordinates a shard split: dirty keys, key samples and key names. At most one report of
//! each kind is in flight per shard; it is resent until acknowledged.
use crate::core::Core;
use wv_internal_protocol::{DirtyKeys, Message, ShardReport, SplitPhase};
use wv_shard_forecast::{hash, slot_for_key, KeySample, Sample};

const RESEND_INTERVAL_US: u64 = 350_000;
/// Maximum number of keys in one report.
const MAX_KEYS_PER_REPORT: usize = 1024;
/// Minimum time between two sample reports, unless a write waits for one.
const MIN_SAMPLE_REPORT_INTERVAL_US: u64 = 3_000_000;
/// Maximum number of acknowledged keys to remember; when it is reached the set is cleared and keys are reported again.
const MAX_ACKED_KEYS: usize = 131_072;
/// A write with an unknown outcome may still take effect this long after its request ended.
const LATE_EFFECT_WINDOW_US: u64 = 5_000_000;
/// The full sample is resent at this interval, in case the coordinator failed before it persisted the sample.
const FULL_SAMPLE_INTERVAL_US: u64 = 600_000_000;

/// A write to a key that is being copied.
struct TrackedWrite {
    key: Vec<u8>,
    client: u64,
    request_number: u64,
    /// Arrival time of the transaction's first byte, which identifies it; `None` for a single statement.
    txn_started_at: Option<u64>,
    finished_at: Option<u64>,
    is_outcome_unknown: bool,
}

#[derive(Default)]
pub(crate) struct DirtyKeyTracker {
    keys: std::collections::BTreeSet<Vec<u8>>,
    writes: Vec<TrackedWrite>,
    is_report_due: bool,
    is_final: bool,
    serial: u64,
    /// The unacknowledged report and when it was last sent, 0 if not yet.
    in_flight: Option<(u64, DirtyKeys)>,
}

impl DirtyKeyTracker {
    /// Must be called before the write is sent to the database.
    pub fn track_write(&mut self, key: &[u8], client: u64, number: u64, txn: Option<u64>) {
        self.writes.push(TrackedWrite {
            key: key.to_vec(),
            client,
            request_number: number,
            txn_started_at: txn,
            finished_at: None,
            is_outcome_unknown: false,
        });
    }

    /// Writes of this client may or may not have taken effect, or may still do so.
    pub fn mark_outcome_unknown(&mut self, client: u64) {
        self.writes.iter_mut().filter(|write| write.client == client).for_each(|write| write.is_outcome_unknown = true);
    }

    /// Makes a report due even without dirty keys: it tells that this node writes, or that this is its last report.
    pub fn request_report(&mut self, is_last: bool) {
        (self.is_report_due, self.is_final) = (true, is_last);
        // Keys of unfinished writes are copied again once those writes can no longer take effect.
        if is_last {
            self.keys.extend(self.writes.iter().map(|write| write.key.clone()));
        }
    }

    /// Marks the keys of finished writes dirty, since they may have been copied before the write took effect. Writes
    /// with an unknown outcome are marked again once `LATE_EFFECT_WINDOW_US` is over.
    fn collect_finished(&mut self, now: u64, is_open: impl Fn(&TrackedWrite) -> bool) {
        let mut again = Vec::new();
        self.writes.retain_mut(|write| {
            let is_late = write.finished_at.is_some_and(|at| at + LATE_EFFECT_WINDOW_US <= now);
            let is_done = write.finished_at.is_none() && !is_open(write);
            if is_done {
                write.finished_at = Some(now);
            }
            if is_done || is_late {
                again.push(write.key.clone());
            }
            write.is_outcome_unknown && !is_late || write.finished_at.is_none()
        });
        self.is_report_due |= !again.is_empty();
        self.keys.extend(again);
    }
}

#[derive(Default)]
pub(crate) struct KeySampler {
    sample: Sample,
    pending_samples: std::collections::BTreeMap<u64, KeySample>,
    pending_keys: std::collections::BTreeSet<Vec<u8>>,
    /// Hashes of the keys that the coordinator has persisted.
    acked_keys: hashbrown::HashSet<u64, ahash::RandomState>,
    is_write_waiting: bool,
    serial: u64,
    in_flight: Option<(u64, ShardReport)>,
    next_report_at: u64,
    last_full_report_at: u64,
}

impl KeySampler {
    pub fn record(&mut self, key: &[u8], bytes: Option<u32>) {
        let hash = hash(key);
        if let Some(bytes) = bytes {
            let entry = KeySample { hash, slot: slot_for_key(key), bytes };
            if self.sample.insert(entry) {
                self.pending_samples.insert(hash, entry);
            }
        }
        if !self.acked_keys.contains(&hash) {
            self.pending_keys.insert(key.to_vec());
        }
    }

    /// Returns whether the coordinator has persisted the key, so that a split will not miss it. If not, reports it at
    /// once.
    pub fn require_acked(&mut self, key: &[u8]) -> bool {
        let is_acked = self.acked_keys.contains(&hash(key));
        if !is_acked {
            self.is_write_waiting = true;
            self.pending_keys.insert(key.to_vec());
        }
        is_acked
    }

    /// Whether a report has to be sent now because a write waits for its acknowledgement.
    pub fn is_report_due(&self) -> bool {
        self.is_write_waiting && self.in_flight.is_none()
    }
}

impl Core {
    /// Returns the reports that are due. At the start of a session all unacknowledged reports are resent.
    pub fn take_split_reports(&mut self, is_start: bool) -> Vec<Message> {
        let (now, incarnation) = (self.now, self.slots.incarnation);
        self.slots.is_report_due = false;
        let mut messages = Vec::new();
        let clients = &self.clients;
        let is_open = |write: &TrackedWrite| {
            clients.get(&write.client).is_some_and(|client| match write.txn_started_at {
                Some(at) => client.txn.as_ref().is_some_and(|txn| txn.first_byte_at == at),
                None => client.request.is_open && client.request.sequence == write.request_number,
            })
        };
        for (name, shard) in self.slots.shards.iter_mut() {
            let (dirty, attempt) = (&mut shard.dirty_keys, shard.map.attempt);
            let is_lost = |at: u64| is_start || at + RESEND_INTERVAL_US <= now;
            dirty.collect_finished(now, is_open);
            // A report for an earlier attempt is obsolete, but its keys are still dirty.
            if let Some((_, old)) = dirty.in_flight.take_if(|(_, sent)| sent.attempt != attempt) {
                dirty.keys.extend(old.keys);
            }
            if dirty.in_flight.is_none() && dirty.is_report_due && shard.map.phase != SplitPhase::Resting {
                dirty.serial += 1;
                let keys: Vec<Vec<u8>> = dirty.keys.iter().take(MAX_KEYS_PER_REPORT).cloned().collect();
                keys.iter().for_each(|key| {
                    dirty.keys.remove(key);
                });
                dirty.is_report_due = !dirty.keys.is_empty();
                let is_last = dirty.is_final && shard.map.phase == SplitPhase::Sealed && dirty.keys.is_empty();
                let (shard, serial) = (name.clone(), dirty.serial);
                dirty.in_flight = Some((0, DirtyKeys { shard, attempt, incarnation, serial, keys, is_last }));
            }
            if let Some((at, sent)) = dirty.in_flight.as_mut().filter(|(at, _)| *at == 0 || is_lost(*at)) {
                *at = now;
                messages.push(Message::DirtyKeys(sent.clone()));
            }
            let sampler = &mut shard.key_sampler;
            if sampler.last_full_report_at + FULL_SAMPLE_INTERVAL_US <= now {
                sampler.last_full_report_at = now;
                sampler.pending_samples.extend(sampler.sample.entries().map(|entry| (entry.hash, entry)));
            }
            let has_updates = !sampler.pending_samples.is_empty() || !sampler.pending_keys.is_empty();
            if sampler.in_flight.is_none() && has_updates && (sampler.next_report_at <= now || sampler.is_write_waiting)
            {
                sampler.serial += 1;
                sampler.next_report_at = now + MIN_SAMPLE_REPORT_INTERVAL_US;
                let keys: Vec<Vec<u8>> = sampler.pending_keys.iter().take(MAX_KEYS_PER_REPORT).cloned().collect();
                keys.iter().for_each(|key| {
                    sampler.pending_keys.remove(key);
                });
                sampler.is_write_waiting = sampler.is_write_waiting && !sampler.pending_keys.is_empty();
                let samples = std::mem::take(&mut sampler.pending_samples).into_values().collect();
                let (shard, serial) = (name.clone(), sampler.serial);
                sampler.in_flight = Some((0, ShardReport { shard, incarnation, serial, samples, keys }));
            }
            if let Some((at, sent)) = sampler.in_flight.as_mut().filter(|(at, _)| *at == 0 || is_lost(*at)) {
                *at = now;
                messages.push(Message::ShardReport(sent.clone()));
            }
        }
        messages
    }

    /// The coordinator has taken a dirty-key report: writes to moving slots may proceed for that attempt.
    pub fn dirty_keys_acked(&mut self, shard: &str, attempt: u64, (incarnation, serial): (u64, u64), now: u64) {
        self.advance_clock(now);
        let Some(shard) = self.slots.shards.get_mut(shard) else { return };
        let is_own = incarnation == self.slots.incarnation;
        let in_flight = shard.dirty_keys.in_flight.as_ref();
        if is_own && in_flight.is_some_and(|(_, sent)| sent.serial == serial && sent.attempt == attempt) {
            shard.dirty_keys.in_flight = None;
            shard.acked_attempt = attempt;
            self.slots.is_report_due |= shard.dirty_keys.is_report_due;
        }
        self.dispatch_unplaced();
    }

    /// The coordinator has persisted the keys of a report: writes that waited for them proceed.
    pub fn shard_report_acked(&mut self, shard: &str, (incarnation, serial): (u64, u64), now: u64) {
        self.advance_clock(now);
        if incarnation != self.slots.incarnation {
            return;
        }
        let Some(sampler) = self.slots.shards.get_mut(shard).map(|shard| &mut shard.key_sampler) else { return };
        let Some((_, sent)) = sampler.in_flight.take_if(|(_, sent)| sent.serial == serial) else { return };
        if sampler.acked_keys.len() >= MAX_ACKED_KEYS {
            sampler.acked_keys.clear();
        }
        sampler.acked_keys.extend(sent.keys.iter().map(|key| hash(key)));
        self.slots.is_report_due |= sampler.is_report_due();
        self.dispatch_unplaced();
    }

    /// Samples the keys of a successful request; writes of a transaction are sampled at its commit.
    pub(crate) fn note_request_succeeded(&mut self, id: u64, is_commit: bool) {
        if self.slots.shards.is_empty() {
            return;
        }
        let Some(service) = self.service_for_request(id) else { return };
        let Some(client) = self.clients.get_mut(&id) else { return };
        let (target_key, verb) = (client.request.target_key.clone(), client.request.verb());
        let mut done: Vec<(Vec<u8>, Option<u32>)> = Vec::new();
        match (client.txn.as_mut(), verb) {
            (Some(txn), crate::types::Verb::Write) => txn.writes.push((target_key.key, target_key.write_bytes)),
            (Some(txn), _) if is_commit => {
                done.extend(std::mem::take(&mut txn.writes).into_iter().map(|(key, bytes)| (key, Some(bytes))));
            }
            (None, crate::types::Verb::Write) => done.push((target_key.key, Some(target_key.write_bytes))),
            (_, crate::types::Verb::Read) if client.request.response.starts_with(b"ROW") => {
                done.push((target_key.key, None))
            }
            _ => {}
        }
        let Some(shard) = self.slots.shards.get_mut(&*service) else { return };
        done.iter().for_each(|(key, bytes)| shard.key_sampler.record(key, *bytes));
    }
}
