//! Event handling of the promotion coordinator.
use crate::step::{Step, PROMOTION_CALL_TIMEOUT_US};
use crate::unresolved_calls::CallOutcome;
use crate::{Effect, Event, PromotionCoordinator, ServiceView};

impl PromotionCoordinator {
    fn is_step_expired(&self, now: u64) -> bool {
        self.step.deadline().is_some_and(|deadline| deadline <= now)
    }

    pub fn handle_event(&mut self, event: Event, view: &ServiceView<'_>) {
        let now = view.now;
        // What is known of a call counts whenever it arrives.
        match event {
            Event::LateAnswer { fence, status } => {
                return self.unresolved.on_outcome(fence, CallOutcome::from_status(status), view.leader, now);
            }
            Event::CallNotSent { fence } => return self.unresolved.remove(fence),
            Event::Resumed { id, reply } => return self.statements.on_resume_answered(&id, reply, now),
            _ => {}
        }
        if let Event::Status { id, reply } = &event {
            self.watch.on_status(id, *reply);
        }
        // Nothing is continued after the duty was lost. A process that was paused may handle results before its timers:
        // those that arrive after the deadline are ignored.
        if !view.is_duty_holder || self.is_step_expired(now) {
            return self.tick(view);
        }
        match (self.step.clone(), event) {
            (Step::Probing { .. }, Event::Status { id, reply }) if Some(id.as_str()) == view.leader => match reply {
                // The leader answers, or another one will be announced: probe less often while it is suspected.
                Ok(_) => self.enter_idle_with_backoff(now),
                Err(_) => self.on_probe_failed(view),
            },
            (Step::ReadingDuty { .. }, Event::DutyRead(state)) => self.on_duty_read(state, view),
            (Step::ConfirmingResume { until, .. }, Event::FenceConfirmed(is_confirmed)) => {
                self.on_resume_confirmed(is_confirmed, until, now)
            }
            (Step::ClaimingFence { .. }, Event::FenceClaimed(Some(claim))) => {
                self.fence = Some(claim.fence);
                self.unresolved.restore(claim.recorded);
                self.expire_calls(view);
                self.query_or_suspend(view);
            }
            (Step::ClaimingFence { .. }, Event::FenceClaimed(None)) => self.abort_attempt(now),
            (Step::PresentingFence { .. }, Event::PromotionReturned(status)) => {
                let outcome = self.note_answer(status, view);
                self.on_fence_presented(outcome, view);
            }
            (Step::QueryingReplicas { .. }, Event::Status { id, reply }) if self.queried.contains(&id) => {
                self.statuses.insert(id, reply);
                if self.statuses.len() >= self.queried.len() {
                    self.on_replicas_queried(view);
                }
            }
            (Step::SuspendingReplicas { .. }, Event::Status { id, reply }) if self.queried.contains(&id) => {
                if reply.is_ok() {
                    self.statements.on_suspend_answered(&id);
                }
                self.statuses.insert(id, reply);
                if self.queried.iter().all(|id| self.statuses.contains_key(id)) {
                    self.on_replicas_suspended(view);
                }
            }
            (Step::QueryingPrimary { candidate, .. }, Event::Status { id, reply })
                if Some(id.as_str()) == view.leader =>
            {
                self.on_primary_status(candidate, reply, view)
            }
            (Step::Demoting { candidate, .. }, Event::FenceConfirmed(true)) => self.demote(candidate, view),
            (Step::Demoting { candidate, .. }, Event::Status { id, reply }) if Some(id.as_str()) == view.leader => {
                self.on_primary_demoted(candidate, reply, view)
            }
            (Step::ConfirmingFence { leader, .. }, Event::FenceConfirmed(true)) => {
                if let Some(fence) = self.fence {
                    self.effects.push(Effect::RequestPromotion { id: leader, fence });
                    self.enter(Step::PresentingFence { deadline: now + PROMOTION_CALL_TIMEOUT_US });
                }
            }
            (Step::ConfirmingPromotion { candidate, .. }, Event::FenceConfirmed(true)) => {
                if let Some(fence) = self.fence {
                    self.effects.push(Effect::RequestPromotion { id: candidate.clone(), fence });
                    self.enter(Step::RequestingPromotion { candidate, deadline: now + PROMOTION_CALL_TIMEOUT_US });
                }
            }
            (Step::Demoting { .. }, Event::FenceConfirmed(false)) => self.abort_attempt(now),
            // Another node owns the fence, or the call was not sent because its confirmation had expired.
            (
                Step::ConfirmingFence { .. }
                | Step::ConfirmingPromotion { .. }
                | Step::PresentingFence { .. }
                | Step::RequestingPromotion { .. },
                Event::FenceConfirmed(false),
            ) => {
                self.drop_unsent_call();
                self.abort_attempt(now)
            }
            (Step::RequestingPromotion { candidate, .. }, Event::PromotionReturned(status)) => {
                match self.note_answer(status, view) {
                    CallOutcome::Accepted => self.await_leader(candidate, now),
                    CallOutcome::Unknown => self.on_no_answer(candidate, view),
                    CallOutcome::Rejected | CallOutcome::Refused => self.abort_attempt(now),
                }
            }
            (Step::AwaitingLeader { candidate, .. }, Event::Status { id, reply: Ok(status) })
                if id == candidate && status.is_primary =>
            {
                self.finish(&candidate, Some(status.term), now)
            }
            _ => {}
        }
    }

    /// Notes what the answer to the call of this attempt proves.
    fn note_answer(&mut self, status: Option<u16>, view: &ServiceView<'_>) -> CallOutcome {
        let outcome = CallOutcome::from_status(status);
        let fence = self.fence.unwrap_or_default();
        self.unresolved.on_outcome(fence, outcome, view.leader, view.now);
        outcome
    }
}
