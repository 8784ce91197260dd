//! What an event does to a database, and who comes in its place.
use super::play::{Player, Todo};
use super::{Event, Kind};
use crate::{Base, MS, S};

/// How long a database that leaves serves on: as long as it may be given work, and at times many seconds longer.
const SERVES_ON: u64 = crate::DRAIN;
const SERVES_LONGER: u64 = 6 * S;

impl Player {
    pub(super) fn strike_base(&mut self, event: &Event, at: usize) {
        let is_up = self.world.bases[at].is_up && !self.world.bases[at].is_dark;
        match event.kind {
            Kind::Crash => self.world.crash(at),
            Kind::Dark => self.world.darken(at),
            Kind::Lag => self.world.bases[at].apply_lag = event.by * MS,
            Kind::Break => self.world.reset_conns(at),
            // One that is down says nothing.
            Kind::Drain if is_up => {
                let serves_on = SERVES_ON + self.luck.below(SERVES_LONGER);
                self.world.bases[at].is_draining = true;
                self.world.beat(at);
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
        let at = self.world.bases.len();
        let mut base = Base::new("s", at);
        let source = self.world.bases.iter().filter(|held| !held.is_left).max_by_key(|held| {
            let is_lead = held.is_primary && held.is_up;
            (is_lead, held.received())
        });
        if let Some(source) = source {
            (base.log, base.term) = (source.log.clone(), source.term);
        }
        base.apply(base.log.len());
        self.world.bases.push(base);
        self.world.put(10 * MS, crate::world::Ev::Beat { base: at });
    }
}
