//! Resumes the replicas after an attempt.
//!
//! Replicas are resumed only under a fence that was confirmed just before: a node that was superseded would lift the
//! suspensions on which its successor's promotion rests. The same register operation records which calls are unresolved,
//! so that a later duty holder does not look for those that are resolved.
//!
//! A statement to a database may run although nobody waits for its answer any more: until `LATE_STATEMENT_US` after the
//! caller has given it up and closed the connection. So `CONTINUE` is sent until it is answered, once more after a
//! `SUSPEND` without an answer, and a `SUSPEND` does not count while a `CONTINUE` may still run after it.
use crate::step::{Purpose, Step, REGISTER_TIMEOUT_US};
use crate::{Effect, PromotionCoordinator, ServiceView, StatusError, StatusReply};
use std::collections::BTreeMap;

/// How long a statement may run after its connection was closed: a database drops dark connections after 3 s.
const LATE_STATEMENT_US: u64 = 4_000_000;
/// Bounds of the delay after which `CONTINUE` is sent again.
const RESUME_RETRY_MIN_US: u64 = 1_000_000;
const RESUME_RETRY_MAX_US: u64 = 8_000_000;

/// A `CONTINUE` that was sent.
#[derive(Clone, PartialEq, Eq, Debug)]
struct Resumption {
    sent_at: u64,
    retry_at: u64,
    is_answered: bool,
}

/// Statements that may still run at the replicas of a service.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct ReplicaStatements {
    resumptions: BTreeMap<String, Resumption>,
    /// When the last `SUSPEND` without an answer was sent.
    unanswered_suspends: BTreeMap<String, u64>,
}

impl ReplicaStatements {
    pub fn on_suspend_sent(&mut self, id: &str, now: u64) {
        self.unanswered_suspends.insert(id.to_owned(), now);
    }

    pub fn on_suspend_answered(&mut self, id: &str) {
        self.unanswered_suspends.remove(id);
        self.resumptions.remove(id);
    }

    fn on_resume_sent(&mut self, id: &str, now: u64) {
        let earlier = self.resumptions.get(id).filter(|resumption| !resumption.is_answered);
        let delay_us = earlier
            .map_or(RESUME_RETRY_MIN_US, |earlier| (2 * (earlier.retry_at - earlier.sent_at)).min(RESUME_RETRY_MAX_US));
        let resumption = Resumption { sent_at: now, retry_at: now + delay_us, is_answered: false };
        self.resumptions.insert(id.to_owned(), resumption);
    }

    /// Handles the answer to a `CONTINUE`. A database that refuses connections has stopped, which ends a suspension.
    pub fn on_resume_answered(&mut self, id: &str, reply: StatusReply, now: u64) {
        let is_resumed = match reply {
            Ok(status) => status.suspended_term == 0,
            Err(error) => error == StatusError::Refused,
        };
        if !is_resumed {
            return;
        }
        let late_suspend_until = self.unanswered_suspends.get(id).map(|sent_at| sent_at + LATE_STATEMENT_US);
        match (self.resumptions.get_mut(id), late_suspend_until.filter(|until| *until > now)) {
            (Some(resumption), Some(until)) => (resumption.is_answered, resumption.retry_at) = (true, until),
            _ => self.on_suspend_answered(id),
        }
    }

    /// Whether a `CONTINUE` may still run after a `SUSPEND` that is sent now.
    pub fn may_resume_late(&self, id: &str, now: u64) -> bool {
        self.resumptions
            .get(id)
            .is_some_and(|resumption| !resumption.is_answered && now < resumption.sent_at + LATE_STATEMENT_US)
    }

    /// The replicas of the service to which `CONTINUE` has to be sent again; others are forgotten.
    fn take_due(&mut self, view: &ServiceView<'_>) -> Vec<String> {
        let is_known = |id: &String| view.databases.iter().any(|database| database.id == *id);
        self.resumptions.retain(|id, _| is_known(id));
        self.unanswered_suspends.retain(|id, _| is_known(id));
        let due = self.resumptions.iter().filter(|(_, resumption)| resumption.retry_at <= view.now);
        due.map(|(id, _)| id.clone()).collect()
    }
}

impl PromotionCoordinator {
    /// Ends the attempt: resumes the replicas if any are suspended, then idles until the given time.
    pub(crate) fn end_attempt(&mut self, until: u64, now: u64) {
        if self.suspended.is_empty() && !self.has_recorded_calls {
            return self.enter(Step::Idle { until });
        }
        if self.fence.is_none() {
            return self.claim_fence(Purpose::ResolveCalls, now);
        }
        self.effects.push(Effect::RecordResolution);
        self.enter(Step::ConfirmingResume { until, deadline: now + REGISTER_TIMEOUT_US });
    }

    /// Continues once the fence was confirmed. If it was not, another node may rely on the suspensions: this node lifts
    /// them only after it has claimed a fence again.
    pub(crate) fn on_resume_confirmed(&mut self, is_confirmed: bool, until: u64, now: u64) {
        if is_confirmed {
            self.has_recorded_calls = false;
            for id in std::mem::take(&mut self.suspended) {
                self.resume(id, now);
            }
        } else {
            self.fence = None;
        }
        self.enter(Step::Idle { until });
    }

    pub(crate) fn resume(&mut self, id: String, now: u64) {
        self.statements.on_resume_sent(&id, now);
        self.effects.push(Effect::Continue { id });
    }

    /// Starts to resume replicas that are still suspended, or may be; `false` if there are none.
    pub(crate) fn resume_remaining(&mut self, view: &ServiceView<'_>) -> bool {
        let due = self.statements.take_due(view);
        due.into_iter().for_each(|id| self.note_suspended(id));
        if self.suspended.is_empty() && !self.has_recorded_calls {
            return false;
        }
        self.end_attempt(view.now, view.now);
        true
    }
}
