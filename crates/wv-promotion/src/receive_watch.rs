//! Makes the leader yield when it could acknowledge commits that a database may be promoted without.
//!
//! While a call is unresolved, the leader acknowledges a commit once the named database has received it, as the other
//! replicas are suspended. A restart ends a suspension. If the named database receives nothing and another replica is not
//! known to be suspended, that replica could acknowledge alone as soon as it is back; nothing is lost by making the
//! leader yield before, since no commit is acknowledged in this state anyway. The next call that the platform works on
//! provides a leader again.
//!
//! Input: the statuses of the databases, polled in rounds. Output: `QueryStatus` and `Yield`.
use crate::selection::replicas;
use crate::step::LEADER_POLL_INTERVAL_US;
use crate::{Effect, PromotionCoordinator, ServiceView, StatusReply};
use std::collections::BTreeMap;
use wv_wire_protocol::{DatabaseStatus, LogPosition};

/// Consecutive rounds after which the leader has to yield.
const ROUNDS_BEFORE_YIELD: u32 = 2;

/// What the rounds have shown so far.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct ReceiveWatch {
    next_round_at: u64,
    statuses: BTreeMap<String, DatabaseStatus>,
    /// The leader's position in the round before.
    leader_position: LogPosition,
    unsafe_rounds: u32,
}

impl ReceiveWatch {
    pub fn on_status(&mut self, id: &str, reply: StatusReply) {
        if let Ok(status) = reply {
            self.statuses.insert(id.to_owned(), status);
        }
    }

    /// Starts a round; returns whether the leader has to yield after the last one.
    fn next_round(&mut self, leader: &str, named: &str, unnamed: &[String], now: u64) -> bool {
        let statuses = std::mem::take(&mut self.statuses);
        self.next_round_at = now + LEADER_POLL_INTERVAL_US;
        let Some(primary) = statuses.get(leader).filter(|status| status.is_primary) else {
            self.unsafe_rounds = 0;
            return false;
        };
        let has_received = statuses.get(named).is_some_and(|status| status.received >= self.leader_position);
        let is_suspended = |id: &String| statuses.get(id).is_some_and(|status| status.suspended_term > 0);
        let is_safe = has_received || unnamed.iter().all(is_suspended);
        self.leader_position = primary.received;
        self.unsafe_rounds = if is_safe { 0 } else { self.unsafe_rounds + 1 };
        self.unsafe_rounds >= ROUNDS_BEFORE_YIELD
    }
}

impl PromotionCoordinator {
    /// Polls the leader and the named database; `unnamed` are the other replicas, which are suspended again besides.
    pub(crate) fn watch_receivers(&mut self, unnamed: &[String], view: &ServiceView<'_>) {
        let Some(leader) = view.leader.filter(|_| self.watch.next_round_at <= view.now) else { return };
        let Some(named) = self.unresolved.name_other_than(leader) else { return };
        if self.watch.next_round(leader, &named, unnamed, view.now) {
            self.has_leader_yielded = true;
            self.effects.push(Effect::Yield { id: leader.to_owned(), term: self.term + 1 });
        }
        for id in [leader.to_owned(), named] {
            self.effects.push(Effect::QueryStatus { id });
        }
    }

    /// Lets a leader that has yielded lead again, if nobody else may; returns whether the attempt goes on with that.
    ///
    /// A leader that yielded while calls were unresolved has every acknowledged commit, since the other replicas have been
    /// suspended. One that yielded for another reason may be named only if no replica has received more.
    pub(crate) fn restore_leader(&mut self, leader: &DatabaseStatus, view: &ServiceView<'_>) -> bool {
        if leader.is_primary {
            self.has_leader_yielded = false;
            return false;
        }
        self.has_leader_yielded |= !self.unresolved.is_empty();
        if !self.unresolved.is_empty() {
            return false;
        }
        let is_behind = |id: &String| {
            self.statuses.get(id).is_some_and(|reply| reply.is_ok_and(|status| status.received <= leader.received))
        };
        if self.has_leader_yielded || replicas(view).iter().all(is_behind) {
            self.present_fence(view);
        } else {
            self.abort_attempt(view.now);
        }
        true
    }
}
