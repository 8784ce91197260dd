//! Waits for the named database to lead once the platform was called.
use crate::step::{Step, LEADER_POLL_INTERVAL_US, LEADER_TIMEOUT_US};
use crate::{Effect, PromotionCoordinator, ServiceView};

impl PromotionCoordinator {
    /// The database being promoted, once the platform was called.
    pub fn candidate(&self) -> Option<&str> {
        match &self.step {
            Step::RequestingPromotion { candidate, .. } | Step::AwaitingLeader { candidate, .. } => Some(candidate),
            _ => None,
        }
    }

    pub(crate) fn await_leader(&mut self, candidate: String, now: u64) {
        self.enter(Step::AwaitingLeader {
            candidate,
            next: now + LEADER_POLL_INTERVAL_US,
            deadline: now + LEADER_TIMEOUT_US,
        });
    }

    /// Polls the candidate, and ends the attempt if it leads, if its call was refused, or after a while.
    pub(crate) fn poll_candidate(&mut self, view: &ServiceView<'_>) {
        let Step::AwaitingLeader { candidate, next, deadline } = self.step.clone() else { return };
        let now = view.now;
        if view.leader == Some(candidate.as_str()) {
            return self.finish(&candidate, None, now);
        }
        if deadline <= now || self.unresolved.is_empty() {
            return self.abort_attempt(now);
        }
        if next > now {
            return;
        }
        self.effects.push(Effect::QueryStatus { id: candidate.clone() });
        self.step = Step::AwaitingLeader { candidate, next: now + LEADER_POLL_INTERVAL_US, deadline };
    }
}
