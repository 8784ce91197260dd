//! Selects the leader of a service from control-plane announcements, ordered by term, and observed health.
use crate::ServiceHealth;
use wv_internal_protocol::Leader;

impl ServiceHealth {
    /// Applies a leader announcement of the control plane. A different leader under an older term may come from a node
    /// that missed the newer term: it is kept as the fallback while the current leader serves as writer on this node.
    /// Returns whether the announced leader is now in use.
    pub fn apply_leader(&mut self, leader: &Leader, now: u64) -> bool {
        let is_older = |current: &&Leader| current.id != leader.id && current.term > leader.term;
        if self.leader.as_ref().filter(is_older).is_some() {
            self.fallback_leader = Some(leader.clone());
            return self.try_fallback_leader(now);
        }
        let term = self.leader.as_ref().filter(|current| current.id == leader.id).map_or(0, |current| current.term);
        (self.leader, self.fallback_leader) = (Some(Leader { term: term.max(leader.term), ..leader.clone() }), None);
        // A new announcement overrides an earlier read-only error of this database.
        self.databases_mut()
            .filter(|database| database.instance.id == leader.id)
            .for_each(|database| database.writer_suspect_until = 0);
        true
    }

    /// Swaps the leader and the fallback if the leader is not a reachable writer and the fallback is healthy, so that
    /// neither an outdated announcement nor a missed term persists. Returns whether they were swapped.
    pub fn try_fallback_leader(&mut self, now: u64) -> bool {
        let is_healthy = |leader: &&Leader| {
            let database =
                self.databases().find(|(_, database)| database.instance.id == leader.id).map(|(_, database)| database);
            database.is_some_and(|database| {
                !database.instance.gone && !database.is_isolated() && database.writer_suspect_until <= now
            })
        };
        let should_swap =
            self.fallback_leader.as_ref().filter(is_healthy).is_some() && self.reachable_writer(now).is_none();
        if should_swap {
            std::mem::swap(&mut self.leader, &mut self.fallback_leader);
        }
        should_swap
    }
}
