//! State of the promotion coordinator of one service, and its timers.
use crate::receive_watch::ReceiveWatch;
use crate::resume::ReplicaStatements;
use crate::step::{
    Purpose, Step, AGREEMENT_TIMEOUT_US, PROBE_DELAY_MAX_US, REGISTER_TIMEOUT_US, RETRY_DELAY_MAX_US,
    RETRY_DELAY_MIN_US, STATUS_TIMEOUT_US,
};
use crate::unresolved_calls::UnresolvedCalls;
use crate::{Effect, ServiceView, StatusReply};
use std::collections::BTreeMap;

/// Coordinates promotions of one service.
#[derive(Clone, Debug)]
pub struct PromotionCoordinator {
    pub(crate) step: Step,
    pub(crate) fence: Option<u64>,
    pub(crate) statuses: BTreeMap<String, StatusReply>,
    pub(crate) queried: Vec<String>,
    /// Replicas to resume in the end, and those that were suspended in this attempt.
    pub(crate) suspended: Vec<String>,
    pub(crate) suspended_in_attempt: Vec<String>,
    /// The replica that was not suspended was queried again after the others were suspended.
    pub(crate) was_requeried: bool,
    /// The previous attempt was abandoned: query replicas before suspending them.
    pub(crate) must_query_first: bool,
    pub(crate) purpose: Purpose,
    /// Calls that may still take effect, of this process and of earlier duty holders.
    pub(crate) unresolved: UnresolvedCalls,
    /// From when on unresolved calls are overdue.
    pub(crate) overdue_at: u64,
    /// The register lists calls under the fence of this node.
    pub(crate) has_recorded_calls: bool,
    pub(crate) statements: ReplicaStatements,
    pub(crate) watch: ReceiveWatch,
    /// The leader has yielded while calls were unresolved, and no other one is known.
    pub(crate) has_leader_yielded: bool,
    /// The calls of earlier duty holders are known.
    pub(crate) has_read_duty: bool,
    /// Replicas that did not answer in the last look may be suspended.
    pub(crate) has_unseen_replicas: bool,
    /// When to look once more for calls and suspensions of a predecessor that did not know yet that it was replaced.
    pub(crate) next_look_at: Option<u64>,
    pub(crate) term: u64,
    pub(crate) retry_delay_us: u64,
    /// A leaving primary that is being told to yield.
    pub(crate) demotion: Option<crate::demotion::Demotion>,
    was_closed_to_new_work: bool,
    was_duty_holder: bool,
    /// Identifies the current step, so that results of earlier steps can be ignored.
    step_number: u64,
    pub(crate) effects: Vec<Effect>,
}

impl Default for PromotionCoordinator {
    fn default() -> PromotionCoordinator {
        PromotionCoordinator {
            step: Step::Idle { until: 0 },
            fence: None,
            statuses: BTreeMap::new(),
            queried: Vec::new(),
            suspended: Vec::new(),
            suspended_in_attempt: Vec::new(),
            was_requeried: false,
            must_query_first: false,
            purpose: Purpose::ReplaceLeader,
            unresolved: UnresolvedCalls::default(),
            overdue_at: 0,
            has_recorded_calls: false,
            statements: ReplicaStatements::default(),
            watch: ReceiveWatch::default(),
            has_leader_yielded: false,
            has_read_duty: false,
            has_unseen_replicas: false,
            next_look_at: None,
            term: 0,
            retry_delay_us: RETRY_DELAY_MIN_US,
            demotion: None,
            was_closed_to_new_work: false,
            was_duty_holder: false,
            step_number: 1,
            effects: Vec::new(),
        }
    }
}

impl PromotionCoordinator {
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The number of the current step. An event counts only in the step that emitted its effect.
    pub fn step_number(&self) -> u64 {
        self.step_number
    }

    pub(crate) fn enter(&mut self, step: Step) {
        self.step_number += 1;
        self.step = step;
    }

    /// Whether this node has acted as the duty holder, so that its state must be dropped once another node takes over.
    pub fn is_active(&self) -> bool {
        self.was_duty_holder
    }

    pub fn is_idle(&self) -> bool {
        matches!(self.step, Step::Idle { .. })
    }

    pub fn tick(&mut self, view: &ServiceView<'_>) {
        if !view.is_duty_holder {
            // Another node holds the duty and finishes or reverts what was started here.
            if self.was_duty_holder {
                *self = PromotionCoordinator { step_number: self.step_number + 1, ..PromotionCoordinator::default() };
            }
            return;
        }
        self.was_duty_holder = true;
        let now = view.now;
        self.expire_calls(view);
        self.keep_unnamed_suspended(view);
        // Retry at once when the leader is closed to new work, which may unblock a planned switchover.
        let was_closed_to_new_work =
            std::mem::replace(&mut self.was_closed_to_new_work, view.is_leader_closed_to_new_work);
        let is_newly_closed_to_new_work = view.is_leader_closed_to_new_work && !was_closed_to_new_work;
        match self.step.clone() {
            Step::Idle { until } if until <= now && !self.has_read_duty => self.read_duty(now),
            Step::Idle { .. } if !self.has_read_duty => {}
            Step::Idle { until } if until <= now || is_newly_closed_to_new_work => self.start_if_needed(view),
            Step::ReadingDuty { deadline } if deadline <= now => self.enter_idle(now),
            Step::Settling { until } if until <= now => self.on_settled(view),
            Step::Probing { deadline } if deadline <= now => self.on_probe_failed(view),
            Step::AwaitingAgreement { .. } if view.is_leader_down => self.claim_fence(Purpose::ReplaceLeader, now),
            Step::AwaitingAgreement { deadline } if deadline <= now => self.enter_idle(now),
            Step::QueryingReplicas { deadline } if deadline <= now => self.on_replicas_queried(view),
            Step::SuspendingReplicas { deadline } if deadline <= now => self.on_replicas_suspended(view),
            Step::AwaitingLeader { .. } => self.poll_candidate(view),
            // The call was not confirmed in time, so it was not sent.
            Step::ConfirmingFence { deadline, .. } | Step::ConfirmingPromotion { deadline, .. } if deadline <= now => {
                self.drop_unsent_call();
                self.abort_attempt(now)
            }
            Step::ClaimingFence { deadline }
            | Step::PresentingFence { deadline }
            | Step::QueryingPrimary { deadline, .. }
            | Step::Demoting { deadline, .. }
                if deadline <= now =>
            {
                self.abort_attempt(now)
            }
            Step::ConfirmingResume { until, deadline } if deadline <= now => self.enter(Step::Idle { until }),
            // Without an answer the call may have succeeded: check whether the named database became the leader.
            Step::RequestingPromotion { deadline, candidate } if deadline <= now => self.on_no_answer(candidate, view),
            _ => {}
        }
    }

    fn start_if_needed(&mut self, view: &ServiceView<'_>) {
        if !self.unresolved.is_empty() || self.has_leader_yielded {
            return self.claim_fence(Purpose::ResolveCalls, view.now);
        }
        if self.resume_remaining(view) {
            return;
        }
        let Some(leader) = view.leader else { return };
        let database = view.databases.iter().find(|database| database.id == leader);
        let has_other = view.databases.iter().any(|database| database.id != leader && database.departed.is_none());
        if !has_other {
            return;
        }
        // A planned switchover starts at once; a leader reported as down is probed from here first.
        if view.is_switchover_requested || database.is_none_or(|database| database.is_draining) {
            self.claim_fence(Purpose::ReplaceLeader, view.now);
        } else if view.has_leader_stepped_down {
            self.claim_fence(Purpose::ResolveCalls, view.now);
        } else if !view.is_leader_suspected {
            self.retry_delay_us = RETRY_DELAY_MIN_US;
            self.look_again(view.now);
        } else {
            self.effects.push(Effect::QueryStatus { id: leader.to_owned() });
            self.enter(Step::Probing { deadline: view.now + STATUS_TIMEOUT_US });
        }
    }

    /// The probe failed: starts a promotion if other nodes agree that the leader is down.
    pub(crate) fn on_probe_failed(&mut self, view: &ServiceView<'_>) {
        if view.is_leader_down {
            return self.claim_fence(Purpose::ReplaceLeader, view.now);
        }
        self.enter(Step::AwaitingAgreement { deadline: view.now + AGREEMENT_TIMEOUT_US });
    }

    pub(crate) fn claim_fence(&mut self, purpose: Purpose, now: u64) {
        self.purpose = purpose;
        self.effects.push(Effect::ClaimFence);
        self.enter(Step::ClaimingFence { deadline: now + REGISTER_TIMEOUT_US });
    }

    /// Announces the leader. While calls that name another database are unresolved, replicas stay suspended.
    pub(crate) fn finish(&mut self, id: &str, term: Option<u64>, now: u64) {
        self.effects.push(Effect::AnnounceLeader { id: id.to_owned(), term: term.unwrap_or(self.term + 1) });
        self.term = term.unwrap_or(self.term + 1);
        self.demotion = None;
        self.has_leader_yielded = false;
        self.unresolved.expire(Some(id), now);
        // The promotion has ended the suspension of the new leader.
        self.suspended.retain(|suspended| suspended != id);
        self.conclude_attempt(now);
    }

    /// Ends an attempt that needs no other one soon.
    pub(crate) fn conclude_attempt(&mut self, now: u64) {
        (self.retry_delay_us, self.must_query_first) = (RETRY_DELAY_MIN_US, false);
        let until = now + RETRY_DELAY_MIN_US;
        if !self.has_open_matters() {
            return self.end_attempt(until, now);
        }
        self.resume_named(now);
        self.enter(Step::Idle { until });
    }

    pub(crate) fn enter_idle(&mut self, now: u64) {
        (self.retry_delay_us, self.must_query_first) = (RETRY_DELAY_MIN_US, false);
        self.enter(Step::Idle { until: now + RETRY_DELAY_MIN_US });
    }

    pub(crate) fn enter_idle_with_backoff(&mut self, now: u64) {
        self.retry_delay_us = (self.retry_delay_us * 2).min(PROBE_DELAY_MAX_US);
        self.enter(Step::Idle { until: now + self.retry_delay_us });
    }

    /// Abandons the attempt and schedules the next one. Replicas are resumed unless calls are unresolved.
    pub(crate) fn abort_attempt(&mut self, now: u64) {
        self.must_query_first = true;
        let until = now + self.retry_delay_us;
        self.retry_delay_us = (self.retry_delay_us * 2).min(RETRY_DELAY_MAX_US);
        if !self.has_open_matters() {
            return self.end_attempt(until, now);
        }
        self.resume_named(now);
        match self.unresolved.resolved_at() {
            Some(resolved_at) => self.settle(resolved_at),
            None => self.enter(Step::Idle { until }),
        }
    }
}
