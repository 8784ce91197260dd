//! What the rules say, judged on what the stand-ins saw.
use crate::Base;
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Oracle {
    /// Tags whose commit was acknowledged to a client, and when.
    pub acked: BTreeMap<String, u64>,
    /// Tags whose client was promised that nothing is kept.
    pub promised: BTreeMap<String, u64>,
    /// Broken rules, as found.
    pub broken: Vec<String>,
    pub unsure: usize,
    pub runs: BTreeMap<String, u32>,
    pub reads: usize,
}

impl Oracle {
    /// A read ran: every commit acknowledged before `since` must stand in what the database had applied.
    pub fn read_ran(&mut self, id: &str, base: &Base, since: u64) {
        self.reads += 1;
        let applied = &base.log[..base.applied.min(base.log.len())];
        let missing = self
            .acked
            .iter()
            .filter(|(_, at)| **at < since)
            .find(|(tag, _)| !applied.iter().any(|entry| entry.tag == **tag));
        if let Some((tag, _)) = missing {
            self.broken.push(format!("STALE: {id} on {} misses {tag}", base.id));
        }
    }

    /// Nothing acknowledged may be missing, doubled, or kept against a promise.
    pub fn judge(&mut self, log: &[crate::base::Entry]) {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        log.iter().for_each(|entry| *counts.entry(entry.tag.as_str()).or_default() += 1);
        for tag in self.acked.keys().filter(|tag| !counts.contains_key(tag.as_str())) {
            self.broken.push(format!("LOST: {tag}"));
        }
        for (tag, _) in counts.iter().filter(|(_, count)| **count > 1) {
            self.broken.push(format!("TWICE: {tag}"));
        }
        for tag in self.promised.keys().filter(|tag| counts.contains_key(tag.as_str())) {
            self.broken.push(format!("REFUSED: {tag}"));
        }
    }
}
