//! Checks that leaving databases are drained: once a leave has been acknowledged for longer than the bound, no access
//! node without faults sends new work to the database.
//!
//! New work is a statement outside a transaction or the first statement of one; later statements of it are not.
use crate::partitions::NodeId;
use crate::simulation::Simulation;
use crate::S;
use std::collections::BTreeMap;

/// How long a database may still receive new work after its leave was acknowledged.
pub const DRAIN_BOUND_US: u64 = 7 * S;
/// An access node is subject to the check once it and all control nodes have been without faults for this long.
pub const FAULT_FREE_US: u64 = 4 * S;

#[derive(Default)]
pub(crate) struct DrainTracker {
    /// Pending calls that report a database as leaving or removed, by token.
    calls: BTreeMap<u64, String>,
    /// When the first such call was acknowledged, by database.
    acknowledged: BTreeMap<String, u64>,
    /// When each process or one of its links last had a fault, by name.
    last_fault: BTreeMap<String, u64>,
    /// Databases with a violation already reported.
    reported: std::collections::BTreeSet<String>,
}

/// The database that a call reports as leaving or removed.
fn leaving_database(method: &str, path: &str, body: &[u8]) -> Option<String> {
    let id = path.strip_prefix("/instances/")?;
    let is_draining = || {
        let heartbeat: Option<serde_json::Value> = serde_json::from_slice(body).ok();
        heartbeat.is_some_and(|heartbeat| heartbeat["state"] == "draining")
    };
    (method == "DELETE" || (method == "PUT" && is_draining())).then(|| id.to_owned())
}

impl Simulation {
    pub(crate) fn track_call(&mut self, token: u64, method: &str, path: &str, body: &[u8]) {
        if let Some(id) = leaving_database(method, path, body) {
            self.drain_tracker.calls.insert(token, id);
        }
    }

    pub(crate) fn track_response(&mut self, token: u64, status: u16) {
        let now = self.now;
        if let Some(id) = self.drain_tracker.calls.remove(&token).filter(|_| status == 200) {
            self.drain_tracker.acknowledged.entry(id).or_insert(now);
        }
    }

    pub(crate) fn record_fault(&mut self, name: &str) {
        let now = self.now;
        self.drain_tracker.last_fault.insert(name.to_owned(), now);
    }

    pub(crate) fn node_name(&self, node: NodeId) -> String {
        match node {
            NodeId::Access(at) => self.access[at].name.clone(),
            NodeId::Control(at) => self.controls[at].name.clone(),
        }
    }

    /// Whether an access node and all control nodes have been without faults for `FAULT_FREE_US`.
    fn is_fault_free(&self, access: usize) -> bool {
        let name = &self.access[access].name;
        let is_relevant = |other: &str| other == name || self.controls.iter().any(|control| control.name == other);
        let is_between = |(one, other): &(String, String)| is_relevant(one) || is_relevant(other);
        let is_recent = |(name, at): (&String, &u64)| is_relevant(name) && *at + FAULT_FREE_US > self.now;
        let is_slow =
            self.event_delays.iter().any(|(node, (delay, _))| *delay > 0 && is_relevant(&self.node_name(*node)));
        let is_frozen = self.frozen_access.contains(&access) || !self.frozen_controls.is_empty();
        !is_slow
            && !is_frozen
            && !self.drain_tracker.last_fault.iter().any(is_recent)
            && !self.partitions.keys().any(is_between)
            && !self.dropped_links.iter().chain(&self.dropped_one_way).any(is_between)
    }

    /// Called for each client statement that reaches a database.
    pub(crate) fn check_drain(&mut self, database: usize, connection_id: u64, id: &str) {
        let instance = &mut self.databases[database];
        let is_new = instance.connections.get_mut(&connection_id).is_some_and(|connection| {
            let is_continued = std::mem::replace(&mut connection.has_run_statement, true);
            connection.state == b'I' || !is_continued
        });
        let database_id = instance.id.clone();
        let Some(acknowledged) = self.drain_tracker.acknowledged.get(&database_id).copied().filter(|_| is_new) else {
            return;
        };
        let Some((access, _)) = self.connection_owner(database, connection_id) else { return };
        let elapsed_us = self.now - acknowledged;
        if elapsed_us > DRAIN_BOUND_US
            && self.is_fault_free(access)
            && self.drain_tracker.reported.insert(database_id.clone())
        {
            let (name, ms) = (&self.access[access].name, elapsed_us / 1000);
            let text = format!(
                "DRAIN_BOUND_US: {id} of {name} reaches {database_id} {ms} ms after its leave was acknowledged"
            );
            self.oracle.violations.push(text);
        }
    }
}
