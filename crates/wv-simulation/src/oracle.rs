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
    /// Where each committed tag stands in the log.
    pub places: BTreeMap<String, (String, usize)>,
    /// How much of each service's log is acknowledged, by time.
    needs: BTreeMap<String, Vec<(u64, usize)>>,
}

impl Oracle {
    /// A read ran: every commit acknowledged before `since` must stand in what the database had applied.
    pub fn read_ran(&mut self, id: &str, base: &Base, since: u64) {
        self.reads += 1;
        let needs = self.needs.get(&base.service).map_or(&[][..], Vec::as_slice);
        let at = needs.partition_point(|(acked, _)| *acked < since);
        let need = at.checked_sub(1).map_or(0, |at| needs[at].1);
        if base.applied < need {
            self.broken.push(format!("STALE: {id} on {} has {} of {need}", base.id, base.applied));
        }
    }

    /// A client heard that its commit stands.
    pub fn ack(&mut self, tag: String, now: u64) {
        if let Some((service, place)) = self.places.get(&tag) {
            let needs = self.needs.entry(service.clone()).or_default();
            let need = needs.last().map_or(0, |(_, need)| *need).max(place + 1);
            needs.push((now, need));
        }
        self.acked.insert(tag, now);
    }

    /// Nothing acknowledged may be missing, doubled, or kept against a promise.
    pub fn judge(&mut self, log: &[crate::base::Entry]) {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        let own = |entry: &&crate::base::Entry| entry.write.tag != "-";
        log.iter().filter(own).for_each(|entry| *counts.entry(entry.write.tag.as_str()).or_default() += 1);
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
