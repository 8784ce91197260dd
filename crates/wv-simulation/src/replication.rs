//! How the log of a primary reaches its replicas.
use crate::world::{Ev, World};
use crate::MS;

impl World {
    pub(crate) fn replicate(&mut self, from: usize, to: usize, len: usize) {
        let (source, target) = (&self.bases[from], &self.bases[to]);
        let is_receiving = target.is_up && !target.is_dark && !target.is_deaf && target.held == 0 && !target.is_primary;
        let is_linked = !self.is_cut(&source.id, &target.id) && source.service == target.service && !target.is_left;
        if !is_receiving || !is_linked || !source.is_primary || !source.is_up || target.log.len() >= len {
            return;
        }
        // Cut back at each promotion, a replica's log is always the beginning of the primary's.
        let missing = source.log[target.log.len().min(source.log.len())..len.min(source.log.len())].to_vec();
        let lag = self.bases[to].apply_lag;
        self.bases[to].log.extend(missing);
        self.put(lag, Ev::Apply { base: to, len });
        // One replica that has received is enough for the acknowledgement.
        let received = self.bases[to].received();
        self.acknowledge(from, received);
    }

    pub(crate) fn is_replica_of(&self, base: usize, other: usize) -> bool {
        let (one, other_base) = (&self.bases[base], &self.bases[other]);
        base != other && one.service == other_base.service && !other_base.is_left
    }

    /// A replica that received nothing for a while has the primary's log within moments, also where nothing is written.
    pub(crate) fn catch_up(&mut self, base: usize) {
        let is_lead = |at: &usize| self.bases[*at].is_primary && self.is_replica_of(*at, base);
        let lead = (0..self.bases.len()).filter(is_lead).max_by_key(|at| self.bases[*at].term);
        if let Some(from) = lead.filter(|from| self.bases[*from].log.len() > self.bases[base].log.len()) {
            let len = self.bases[from].log.len();
            self.put(2 * MS, Ev::Replicate { from, to: base, len });
        }
    }
}
