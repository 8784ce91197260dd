//! Database faults, and the databases that replace removed ones.
use super::run::{Deferred, Runner};
use super::{Event, EventKind};
use crate::{Database, MS, S};

/// How long a database keeps serving after it starts to drain.
const DRAIN_US: u64 = crate::DRAIN_BOUND_US;
/// Upper bound of the random extension of that time.
const EXTRA_DRAIN_MAX_US: u64 = 6 * S;

impl Runner {
    pub(super) fn apply_database_fault(&mut self, event: &Event, index: usize) {
        let is_up = self.sim.databases[index].is_up && !self.sim.databases[index].is_unreachable;
        match event.kind {
            EventKind::Crash => self.sim.crash(index),
            EventKind::Unreachable => self.sim.make_unreachable(index),
            EventKind::ReplicationLag => self.sim.databases[index].apply_lag_us = event.amount * MS,
            EventKind::ReplicationStopped => self.sim.databases[index].is_log_blocked = true,
            EventKind::ResetConnections => self.sim.reset_connections(index),
            // A database that is down cannot announce its removal.
            EventKind::Drain if is_up => {
                let delay_us = DRAIN_US + self.rng.below(EXTRA_DRAIN_MAX_US);
                self.sim.databases[index].is_draining = true;
                self.sim.heartbeat(index);
                self.defer(delay_us, Deferred::SendDelete(index));
                self.defer(delay_us + 30 * MS, Deferred::StopDatabase(index));
            }
            EventKind::Deregister if is_up => {
                self.defer(0, Deferred::SendDelete(index));
                self.defer(DRAIN_US, Deferred::StopDatabase(index));
            }
            _ => {}
        }
    }

    /// Adds a database with a copy of the log of the primary, or else of the most recent database.
    pub(super) fn add_database(&mut self) {
        let index = self.sim.databases.len();
        let mut database = Database::new("s", index);
        let source = self.sim.databases.iter().filter(|candidate| !candidate.is_removed).max_by_key(|candidate| {
            let is_primary = candidate.is_primary && candidate.is_up;
            (is_primary, candidate.received_position())
        });
        if let Some(source) = source {
            (database.log, database.term) = (source.log.clone(), source.term);
        }
        database.apply(database.log.len());
        self.sim.databases.push(database);
        self.sim.schedule(10 * MS, crate::simulation::Event::Heartbeat { database: index });
    }
}
