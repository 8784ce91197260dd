//! Database faults, and the databases that replace removed ones.
use super::run::{Deferred, Runner};
use super::{Event, EventKind};
use crate::{Base, MS, S};

/// How long a database keeps serving after it starts to drain.
const DRAIN_US: u64 = crate::DRAIN;
/// Upper bound of the random extension of that time.
const EXTRA_DRAIN_MAX_US: u64 = 6 * S;

impl Runner {
    pub(super) fn apply_database_fault(&mut self, event: &Event, index: usize) {
        let is_up = self.world.bases[index].is_up && !self.world.bases[index].is_dark;
        match event.kind {
            EventKind::Crash => self.world.crash(index),
            EventKind::Unreachable => self.world.darken(index),
            EventKind::ReplicationLag => self.world.bases[index].apply_lag = event.amount * MS,
            EventKind::ResetConnections => self.world.reset_conns(index),
            // A database that is down cannot announce its removal.
            EventKind::Drain if is_up => {
                let delay_us = DRAIN_US + self.rng.below(EXTRA_DRAIN_MAX_US);
                self.world.bases[index].is_draining = true;
                self.world.beat(index);
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
        let index = self.world.bases.len();
        let mut base = Base::new("s", index);
        let source = self.world.bases.iter().filter(|candidate| !candidate.is_left).max_by_key(|candidate| {
            let is_primary = candidate.is_primary && candidate.is_up;
            (is_primary, candidate.received())
        });
        if let Some(source) = source {
            (base.log, base.term) = (source.log.clone(), source.term);
        }
        base.apply(base.log.len());
        self.world.bases.push(base);
        self.world.put(10 * MS, crate::world::Ev::Beat { base: index });
    }
}
