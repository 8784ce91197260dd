//! A bottom-k sample of the things written: the k smallest hashes with what each adds. Taking in the same thing
//! again, or another node's report of it, changes nothing.
use std::collections::BTreeMap;
pub use wv_internal_protocol::KeySample;

/// How many things the sample keeps; the standard error of a count is one over the root of it.
pub const KEPT: usize = 2048;

#[derive(Clone, Default, PartialEq, Debug)]
pub struct Sample {
    kept: BTreeMap<u64, (u16, u32)>,
}

impl Sample {
    /// Takes a written thing in. `true` where that changed the sample, so that others want to hear of it.
    pub fn offer(&mut self, entry: KeySample) -> bool {
        if let Some((_, bytes)) = self.kept.get_mut(&entry.hash) {
            // The larger row counts: of two reports nobody knows which came later.
            let is_larger = entry.bytes > *bytes;
            *bytes = entry.bytes.max(*bytes);
            return is_larger;
        }
        let is_low = self.kept.len() < KEPT || self.kept.last_key_value().is_some_and(|(last, _)| entry.hash < *last);
        if is_low {
            self.kept.insert(entry.hash, (entry.slot, entry.bytes));
            if self.kept.len() > KEPT {
                self.kept.pop_last();
            }
        }
        is_low
    }

    /// Takes in what another sample holds; what of it was news.
    pub fn merge(&mut self, entries: impl IntoIterator<Item = KeySample>) -> usize {
        entries.into_iter().filter(|entry| self.offer(*entry)).count()
    }

    pub fn entries(&self) -> impl Iterator<Item = KeySample> + '_ {
        self.kept.iter().map(|(hash, (slot, bytes))| KeySample { hash: *hash, slot: *slot, bytes: *bytes })
    }

    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// How many things each sampled one stands for.
    fn scale(&self) -> f64 {
        let last = self.kept.last_key_value().map_or(0, |(last, _)| *last);
        // Below k the sample is the whole.
        if self.kept.len() < KEPT || last == 0 {
            return 1.0;
        }
        let all = (self.kept.len() as f64 - 1.0) / (last as f64 / u64::MAX as f64);
        all / self.kept.len() as f64
    }

    /// Distinct things written whose slot is meant, and what their rows hold.
    pub fn totals(&self, is_meant: impl Fn(u16) -> bool) -> (u64, u64) {
        let meant = self.kept.values().filter(|(slot, _)| is_meant(*slot));
        let (rows, bytes) = meant.fold((0u64, 0u64), |sum, (_, bytes)| (sum.0 + 1, sum.1 + u64::from(*bytes)));
        let scale = self.scale();
        ((rows as f64 * scale).round() as u64, (bytes as f64 * scale).round() as u64)
    }

    /// The standard error of a count of all things, as a share of it.
    pub fn error(&self) -> f64 {
        if self.kept.len() < KEPT {
            return 0.0;
        }
        1.0 / (KEPT as f64 - 2.0).sqrt()
    }
}
