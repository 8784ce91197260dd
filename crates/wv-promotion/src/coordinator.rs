//! State of the promotion coordinator of one service, and its timers.
use crate::events::replicas;
use crate::step::{
    Step, AGREEMENT_TIMEOUT_US, LEADER_POLL_INTERVAL_US, LEADER_TIMEOUT_US, REGISTER_TIMEOUT_US, RETRY_DELAY_MIN_US,
    STATUS_TIMEOUT_US,
};
use crate::StatusReply;
use crate::{Effect, ServiceView};
use std::collections::BTreeMap;

/// Coordinates promotions of one service.
#[derive(Clone, Debug)]
pub struct PromotionCoordinator {
    pub(crate) step: Step,
    pub(crate) fence: Option<u64>,
    pub(crate) statuses: BTreeMap<String, StatusReply>,
    pub(crate) queried: Vec<String>,
    pub(crate) suspended: Vec<String>,
    /// The replica that was not suspended was queried again after the others were suspended.
    pub(crate) was_requeried: bool,
    /// The previous attempt was abandoned: query replicas before suspending them.
    pub(crate) must_query_first: bool,
    /// The fence must be presented to the platform once the replicas were queried.
    pub(crate) must_present_fence: bool,
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
            was_requeried: false,
            must_query_first: false,
            must_present_fence: false,
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

    /// The database being promoted, once the platform was called.
    pub fn candidate(&self) -> Option<&str> {
        match &self.step {
            Step::RequestingPromotion { candidate, .. } | Step::AwaitingLeader { candidate, .. } => Some(candidate),
            _ => None,
        }
    }

    pub fn tick(&mut self, view: &ServiceView<'_>) {
        if !view.is_duty_holder {
            // Another node holds the duty and finishes or reverts what was started here.
            if self.was_duty_holder {
                *self = PromotionCoordinator { step_number: self.step_number + 1, ..PromotionCoordinator::default() };
            }
            return;
        }
        // A new duty holder checks once for replicas that its predecessor left suspended.
        if !std::mem::replace(&mut self.was_duty_holder, true) && self.is_idle() {
            self.suspended = replicas(view);
            return self.query_replicas(view);
        }
        let now = view.now;
        // Retry at once when the leader is closed to new work, which may unblock a planned switchover.
        let was_closed_to_new_work =
            std::mem::replace(&mut self.was_closed_to_new_work, view.is_leader_closed_to_new_work);
        let is_newly_closed_to_new_work = view.is_leader_closed_to_new_work && !was_closed_to_new_work;
        match self.step.clone() {
            Step::Idle { until } if until <= now || is_newly_closed_to_new_work => self.start_if_needed(view),
            Step::Probing { deadline } if deadline <= now => self.on_probe_failed(view),
            Step::AwaitingAgreement { .. } if view.is_leader_down => self.claim_fence(now),
            Step::AwaitingAgreement { deadline } if deadline <= now => self.enter_idle(now),
            Step::QueryingReplicas { deadline } if deadline <= now => self.on_replicas_queried(view),
            Step::SuspendingReplicas { deadline } if deadline <= now => self.on_replicas_suspended(view),
            Step::AwaitingLeader { next, deadline, candidate } => {
                if deadline <= now {
                    self.abort_attempt(now);
                } else if view.leader == Some(candidate.as_str()) {
                    self.finish(&candidate, None, now);
                } else if next <= now {
                    self.effects.push(Effect::QueryStatus { id: candidate.clone() });
                    self.step = Step::AwaitingLeader { candidate, next: now + LEADER_POLL_INTERVAL_US, deadline };
                }
            }
            Step::ClaimingFence { deadline }
            | Step::ConfirmingFence { deadline, .. }
            | Step::PresentingFence { deadline }
            | Step::QueryingPrimary { deadline, .. }
            | Step::Demoting { deadline, .. }
            | Step::ConfirmingPromotion { deadline, .. }
                if deadline <= now =>
            {
                self.abort_attempt(now)
            }
            // Without an answer the call may have succeeded: check whether the candidate became the leader.
            Step::RequestingPromotion { deadline, candidate } if deadline <= now => self.await_leader(candidate, now),
            _ => {}
        }
    }

    fn start_if_needed(&mut self, view: &ServiceView<'_>) {
        let Some(leader) = view.leader else { return };
        let database = view.databases.iter().find(|database| database.id == leader);
        let has_other = view.databases.iter().any(|database| database.id != leader && database.departed.is_none());
        if !has_other {
            return;
        }
        // A planned switchover starts at once; a leader reported as down is probed from here first.
        if view.is_switchover_requested || database.is_none_or(|database| database.is_draining) {
            self.claim_fence(view.now);
        } else if !view.is_leader_suspected {
            self.retry_delay_us = RETRY_DELAY_MIN_US;
        } else {
            self.effects.push(Effect::QueryStatus { id: leader.to_owned() });
            self.enter(Step::Probing { deadline: view.now + STATUS_TIMEOUT_US });
        }
    }

    /// The probe failed: starts a promotion if other nodes agree that the leader is down.
    pub(crate) fn on_probe_failed(&mut self, view: &ServiceView<'_>) {
        if view.is_leader_down {
            return self.claim_fence(view.now);
        }
        self.enter(Step::AwaitingAgreement { deadline: view.now + AGREEMENT_TIMEOUT_US });
    }

    pub(crate) fn claim_fence(&mut self, now: u64) {
        self.must_present_fence = false;
        self.effects.push(Effect::ClaimFence);
        self.enter(Step::ClaimingFence { deadline: now + REGISTER_TIMEOUT_US });
    }

    pub(crate) fn query_replicas(&mut self, view: &ServiceView<'_>) {
        self.statuses.clear();
        self.was_requeried = false;
        self.queried = replicas(view);
        self.effects.extend(self.queried.iter().map(|id| Effect::QueryStatus { id: id.clone() }));
        self.enter(Step::QueryingReplicas { deadline: view.now + STATUS_TIMEOUT_US });
    }

    pub(crate) fn await_leader(&mut self, candidate: String, now: u64) {
        self.enter(Step::AwaitingLeader {
            candidate,
            next: now + LEADER_POLL_INTERVAL_US,
            deadline: now + LEADER_TIMEOUT_US,
        });
    }

    pub(crate) fn finish(&mut self, id: &str, term: Option<u64>, now: u64) {
        self.effects.push(Effect::AnnounceLeader { id: id.to_owned(), term: term.unwrap_or(self.term + 1) });
        self.term = term.unwrap_or(self.term + 1);
        self.demotion = None;
        self.resume_suspended(Some(id));
        self.enter_idle(now);
    }

    pub(crate) fn resume_suspended(&mut self, except: Option<&str>) {
        for id in std::mem::take(&mut self.suspended) {
            if Some(id.as_str()) != except {
                self.effects.push(Effect::Continue { id });
            }
        }
    }
}
