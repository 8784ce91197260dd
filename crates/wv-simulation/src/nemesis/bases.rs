//! What an event does to a database, and who comes in its place.
use super::play::{Player, Todo};
use super::{Event, Kind};
use crate::{Database, MS, S};

/// How long a database that leaves serves on: as long as it may be given work, and at times many seconds longer.
const SERVES_ON: u64 = crate::DRAIN_BOUND_US;
const SERVES_LONGER: u64 = 6 * S;

impl Player {
    pub(super) fn strike_base(&mut self, event: &Event, at: usize) {
        let is_up = self.world.databases[at].is_up && !self.world.databases[at].is_unreachable;
        match event.kind {
            Kind::Crash => self.world.crash(at),
            Kind::Dark => self.world.make_unreachable(at),
            Kind::Lag => self.world.databases[at].apply_lag_us = event.by * MS,
            Kind::Break => self.world.reset_connections(at),
            // One that is down says nothing.
            Kind::Drain if is_up => {
                let serves_on = SERVES_ON + self.luck.below(SERVES_LONGER);
                self.world.databases[at].is_draining = true;
                self.world.heartbeat(at);
                self.later(serves_on, Todo::Delete(at));
                self.later(serves_on + 30 * MS, Todo::Gone(at));
            }
            Kind::Leave if is_up => {
                self.later(0, Todo::Delete(at));
                self.later(SERVES_ON, Todo::Gone(at));
            }
            _ => {}
        }
    }

    /// A database comes in place of one that left, with the log of whoever leads.
    pub(super) fn join_base(&mut self) {
        let at = self.world.databases.len();
        let mut base = Database::new("s", at);
        let source = self.world.databases.iter().filter(|held| !held.is_removed).max_by_key(|held| {
            let is_lead = held.is_primary && held.is_up;
            (is_lead, held.received_position())
        });
        if let Some(source) = source {
            (base.log, base.term) = (source.log.clone(), source.term);
        }
        base.apply(base.log.len());
        self.world.databases.push(base);
        self.world.schedule(10 * MS, crate::simulation::Event::Heartbeat { database: at });
    }
}
