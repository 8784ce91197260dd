//! Replaces a leaving primary while an unavailable replica may be ahead of all other replicas.
//!
//! While the primary is running, its own log contains every acknowledged commit. The primary is told to yield, after
//! which it appends nothing, and answers with the end of its log. A candidate that has received the log up to there
//! lacks no acknowledged commit, whatever the unavailable replica holds.
//!
//! Input: the reason why the choice is blocked, statuses of the primary and confirmations of the fence. Output:
//! `QueryStatus` and `Demote` for the primary, `ConfirmFence` for the fence. Invariants:
//! - the primary is told to yield only if no connected access node gives it new work, so that clients lose no service,
//!   and only under a fence that was confirmed just before;
//! - it is told to yield only if the candidate had received its whole log in the preceding query: a demoted primary
//!   sends no more log records, so the candidate could not catch up afterwards;
//! - its status counts as the end of its log only once it reports that it is no longer primary, in the term in which it
//!   led or the one under which it was told to yield.
use crate::step::{Step, REGISTER_TIMEOUT_US, RETRY_DELAY_MIN_US, STATUS_TIMEOUT_US};
use crate::{BlockedReason, Effect, PromotionCoordinator, ServiceView, StatusReply};
use wv_wire_protocol::{DatabaseStatus, LogPosition};

/// A primary that is being demoted and the term in which it led.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Demotion {
    primary: String,
    term: u64,
    /// The term under which it was told to yield, once it was told.
    yield_term: Option<u64>,
    /// The end of its log, once it has reported it.
    log_end: Option<LogPosition>,
}

impl Demotion {
    /// Whether `status` is that of the demoted primary, and of no later term.
    fn is_demoted_primary(&self, status: &DatabaseStatus) -> bool {
        !status.is_primary && (status.term == self.term || Some(status.term) == self.yield_term)
    }
}

impl PromotionCoordinator {
    /// Handles a blocked attempt. If only an unavailable replica blocks it, the primary itself is queried.
    pub(crate) fn handle_blocked(&mut self, reason: BlockedReason, view: &ServiceView<'_>) {
        let BlockedReason::ReplicaUnavailable { candidate, .. } = &reason else {
            return self.report_blocked(reason, view.now);
        };
        let (Some(primary), true) = (view.leader, view.is_leader_closed_to_new_work) else {
            return self.report_blocked(reason, view.now);
        };
        let candidate = candidate.clone();
        let log_end =
            self.demotion.as_ref().filter(|demotion| demotion.primary == primary).and_then(|demotion| demotion.log_end);
        if log_end.is_some_and(|log_end| self.has_received(&candidate, log_end)) {
            return self.confirm_promotion(candidate, view.now);
        }
        self.effects.push(Effect::QueryStatus { id: primary.to_owned() });
        self.enter(Step::QueryingPrimary { candidate, deadline: view.now + STATUS_TIMEOUT_US });
    }

    pub(crate) fn report_blocked(&mut self, reason: BlockedReason, now: u64) {
        self.effects.push(Effect::ReportBlocked(reason));
        self.abort_attempt(now);
    }

    fn has_received(&self, candidate: &str, log_end: LogPosition) -> bool {
        self.statuses.get(candidate).is_some_and(|reply| reply.is_ok_and(|status| status.received >= log_end))
    }

    /// Confirms the fence and records the call before the platform is asked to promote the candidate.
    pub(crate) fn confirm_promotion(&mut self, candidate: String, now: u64) {
        self.record_call(&candidate, now);
        self.enter(Step::ConfirmingPromotion { candidate, deadline: now + REGISTER_TIMEOUT_US });
    }

    /// Handles the primary's status before it is told to yield.
    pub(crate) fn on_primary_status(&mut self, candidate: String, reply: StatusReply, view: &ServiceView<'_>) {
        let Some(primary) = view.leader else { return self.abort_attempt(view.now) };
        let Ok(status) = reply else {
            return self.report_blocked(
                BlockedReason::ReplicaUnavailable { candidate, replica: primary.to_owned(), error: reply.err() },
                view.now,
            );
        };
        let was_demoted = self
            .demotion
            .as_ref()
            .is_some_and(|demotion| demotion.primary == primary && demotion.is_demoted_primary(&status));
        // A replica that was not demoted by this duty holder may have been replaced by another promotion.
        let is_primary = (status.is_primary && status.term >= self.newest_leader_term(view)) || was_demoted;
        if !is_primary || !self.has_received(&candidate, status.received) {
            return self.abort_candidate_behind(candidate, primary, status, view.now);
        }
        if !was_demoted {
            self.demotion =
                Some(Demotion { primary: primary.to_owned(), term: status.term, yield_term: None, log_end: None });
        }
        self.term = self.term.max(status.term);
        self.effects.push(Effect::ConfirmFence);
        self.enter(Step::Demoting { candidate, deadline: view.now + REGISTER_TIMEOUT_US });
    }

    /// The newest term in which a database is known to have led.
    fn newest_leader_term(&self, view: &ServiceView<'_>) -> u64 {
        let fenced_term = view.fenced_position.map_or(0, |(_, position)| position.term);
        fenced_term.max(self.statuses.values().flatten().map(|status| status.term).max().unwrap_or(0))
    }

    /// Abandons the attempt as the candidate lacks log records of the primary; retries soon, once they have arrived.
    fn abort_candidate_behind(&mut self, candidate: String, primary: &str, status: DatabaseStatus, now: u64) {
        let received = self
            .statuses
            .get(&candidate)
            .and_then(|reply| reply.ok())
            .map_or(LogPosition::default(), |status| status.received);
        self.retry_delay_us = RETRY_DELAY_MIN_US;
        let ahead = primary.to_owned();
        self.report_blocked(
            BlockedReason::CandidateBehind { candidate, received, ahead, ahead_received: status.received },
            now,
        );
    }

    /// Tells the primary to yield after the fence was confirmed.
    pub(crate) fn demote(&mut self, candidate: String, view: &ServiceView<'_>) {
        let Some(primary) = view.leader else { return self.abort_attempt(view.now) };
        let term = self.term + 1;
        self.demotion.iter_mut().for_each(|demotion| demotion.yield_term = Some(term));
        self.effects.push(Effect::Demote { id: primary.to_owned(), term });
        self.enter(Step::Demoting { candidate, deadline: view.now + STATUS_TIMEOUT_US });
    }

    /// Handles the primary's answer to the demotion. A candidate that has received its whole log may be promoted.
    pub(crate) fn on_primary_demoted(&mut self, candidate: String, reply: StatusReply, view: &ServiceView<'_>) {
        let Some(primary) = view.leader else { return self.abort_attempt(view.now) };
        let demotion = self.demotion.clone().filter(|demotion| demotion.primary == primary);
        let (Ok(status), Some(demotion)) = (reply, demotion) else { return self.abort_attempt(view.now) };
        if !demotion.is_demoted_primary(&status) {
            return self.abort_attempt(view.now);
        }
        self.demotion = Some(Demotion { log_end: Some(status.received), ..demotion });
        if !self.has_received(&candidate, status.received) {
            return self.abort_candidate_behind(candidate, primary, status, view.now);
        }
        self.confirm_promotion(candidate, view.now);
    }
}
