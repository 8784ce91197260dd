//! Databases that crash, go dark and come back.
use crate::world::{Ev, World, HOP};
use crate::MS;
use wv_access::ConnectionLoss;

impl World {
    /// It ends without a word; its connections are reset.
    pub fn crash(&mut self, base: usize) {
        self.bases[base].is_up = false;
        self.bases[base].conns.clear();
        self.bases[base].busy.clear();
        self.waiting.retain(|(at, _, _, _)| *at != base);
        self.end_conns(base, HOP, ConnectionLoss::Closed);
    }

    /// All its connections are reset; it goes on.
    pub fn reset_conns(&mut self, base: usize) {
        self.bases[base].conns.clear();
        self.bases[base].busy.clear();
        self.end_conns(base, HOP, ConnectionLoss::Closed);
    }

    /// Its machine says nothing any more.
    pub fn darken(&mut self, base: usize) {
        self.bases[base].is_dark = true;
        self.bases[base].conns.clear();
        self.waiting.retain(|(at, _, _, _)| *at != base);
        self.end_conns(base, 900 * MS, ConnectionLoss::Unreachable);
    }

    fn end_conns(&mut self, base: usize, after: u64, lost: ConnectionLoss) {
        let keys: Vec<(usize, u64)> =
            self.db_conns.iter().filter(|(_, at)| at.0 == base).map(|(key, _)| *key).collect();
        for (access, db) in keys {
            let life = self.access[access].life;
            self.put(after, Ev::DbEnd { access, db, lost, life });
        }
    }

    /// It comes back with its log; what it held suspended is forgotten.
    pub fn revive(&mut self, base: usize) {
        let held = &mut self.bases[base];
        (held.is_up, held.is_dark, held.held) = (true, false, 0);
        self.beat(base);
    }
}
