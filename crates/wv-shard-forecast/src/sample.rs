//! Bottom-k sample of the written keys: the k smallest hashes with their row sizes. Inserting a key again, or merging
//! another node's report of it, is idempotent.
use std::collections::BTreeMap;
pub use wv_internal_protocol::KeySample;

/// Number of sampled keys (k). The relative standard error of a count is about `1 / sqrt(k)`.
pub const SAMPLE_CAPACITY: usize = 2048;

#[derive(Clone, Default, PartialEq, Debug)]
pub struct Sample {
    /// Slot and row size by hash.
    entries: BTreeMap<u64, (u16, u32)>,
}

impl Sample {
    /// Inserts a written key. Returns whether the sample changed, in which case the key is worth reporting.
    pub fn insert(&mut self, entry: KeySample) -> bool {
        if let Some((_, bytes)) = self.entries.get_mut(&entry.hash) {
            // The order of reports is unknown, so the larger row size wins.
            let is_larger = entry.bytes > *bytes;
            *bytes = entry.bytes.max(*bytes);
            return is_larger;
        }
        let is_sampled = self.entries.len() < SAMPLE_CAPACITY
            || self.entries.last_key_value().is_some_and(|(last, _)| entry.hash < *last);
        if is_sampled {
            self.entries.insert(entry.hash, (entry.slot, entry.bytes));
            if self.entries.len() > SAMPLE_CAPACITY {
                self.entries.pop_last();
            }
        }
        is_sampled
    }

    /// Merges the entries of another sample and returns how many of them changed this one.
    pub fn merge(&mut self, entries: impl IntoIterator<Item = KeySample>) -> usize {
        entries.into_iter().filter(|entry| self.insert(*entry)).count()
    }

    pub fn entries(&self) -> impl Iterator<Item = KeySample> + '_ {
        self.entries.iter().map(|(hash, (slot, bytes))| KeySample { hash: *hash, slot: *slot, bytes: *bytes })
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of keys that each sampled key represents.
    fn scale(&self) -> f64 {
        let last = self.entries.last_key_value().map_or(0, |(last, _)| *last);
        // With fewer than k keys the sample is complete.
        if self.entries.len() < SAMPLE_CAPACITY || last == 0 {
            return 1.0;
        }
        let total = (self.entries.len() as f64 - 1.0) / (last as f64 / u64::MAX as f64);
        total / self.entries.len() as f64
    }

    /// Estimates the number of distinct keys in the selected slots and the total size of their rows in bytes.
    pub fn estimate_totals(&self, is_selected: impl Fn(u16) -> bool) -> (u64, u64) {
        let selected = self.entries.values().filter(|(slot, _)| is_selected(*slot));
        let (rows, bytes) = selected.fold((0u64, 0u64), |sum, (_, bytes)| (sum.0 + 1, sum.1 + u64::from(*bytes)));
        let scale = self.scale();
        ((rows as f64 * scale).round() as u64, (bytes as f64 * scale).round() as u64)
    }

    /// The relative standard error of the estimated number of keys.
    pub fn relative_error(&self) -> f64 {
        if self.entries.len() < SAMPLE_CAPACITY {
            return 0.0;
        }
        1.0 / (SAMPLE_CAPACITY as f64 - 2.0).sqrt()
    }
}
