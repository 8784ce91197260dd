//! Consistency checks over what the simulated databases executed and what clients received.
use crate::Database;
use std::collections::BTreeMap;

/// The id of the query in `EMBEDDED_QUERY`, which no client sends as a message.
const EMBEDDED_ID: &str = "embedded";
/// A line feed and a query, which load clients put into the data of their writes. No database may execute it.
pub(crate) const EMBEDDED_QUERY: &str = "\nQUERY embedded WRITE k embedded";

#[derive(Default)]
pub struct Oracle {
    /// Tags of acknowledged commits, with the time of acknowledgement.
    pub acked: BTreeMap<String, u64>,
    /// Tags of writes that failed with a code that guarantees they were not applied.
    pub rejected: BTreeMap<String, u64>,
    /// Violations found so far.
    pub violations: Vec<String>,
    pub indeterminate: usize,
    pub executions: BTreeMap<String, u32>,
    pub reads: usize,
    /// Service and log index of each committed tag.
    pub log_positions: BTreeMap<String, (String, usize)>,
    /// Acknowledged length of each service's log over time.
    acked_lengths: BTreeMap<String, Vec<(u64, usize)>>,
}

impl Oracle {
    /// Checks that a read's database had applied all commits acknowledged before `since`.
    pub fn check_read(&mut self, id: &str, database: &Database, since: u64) {
        self.reads += 1;
        let lengths = self.acked_lengths.get(&database.service).map_or(&[][..], Vec::as_slice);
        let at = lengths.partition_point(|(acked, _)| *acked < since);
        let required = at.checked_sub(1).map_or(0, |at| lengths[at].1);
        if database.applied_len < required {
            self.violations.push(format!("STALE: {id} on {} has {} of {required}", database.id, database.applied_len));
        }
    }

    /// Records that a commit was acknowledged to its client.
    pub fn record_ack(&mut self, tag: String, now: u64) {
        if let Some((service, index)) = self.log_positions.get(&tag) {
            let lengths = self.acked_lengths.entry(service.clone()).or_default();
            let required = lengths.last().map_or(0, |(_, required)| *required).max(index + 1);
            lengths.push((now, required));
        }
        self.acked.insert(tag, now);
    }

    /// Checks that no acknowledged write is missing or duplicated, that no rejected write is in the log, and that no
    /// database executed a query from the data of a write.
    pub fn check_log(&mut self, log: &[crate::database::LogEntry]) {
        if self.executions.contains_key(EMBEDDED_ID) {
            self.violations.push(format!("UNASKED: {EMBEDDED_ID}"));
        }
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        let own = |entry: &&crate::database::LogEntry| entry.write.tag != "-";
        log.iter().filter(own).for_each(|entry| *counts.entry(entry.write.tag.as_str()).or_default() += 1);
        for tag in self.acked.keys().filter(|tag| !counts.contains_key(tag.as_str())) {
            self.violations.push(format!("LOST: {tag}"));
        }
        for (tag, _) in counts.iter().filter(|(_, count)| **count > 1) {
            self.violations.push(format!("TWICE: {tag}"));
        }
        for tag in self.rejected.keys().filter(|tag| counts.contains_key(tag.as_str())) {
            self.violations.push(format!("REFUSED: {tag}"));
        }
    }
}
