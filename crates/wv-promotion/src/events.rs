//! Event handling of the promotion coordinator.
use crate::step::{
    Step, PROBE_DELAY_MAX_US, PROMOTION_CALL_TIMEOUT_US, REGISTER_TIMEOUT_US, RETRY_DELAY_MAX_US, RETRY_DELAY_MIN_US,
    STATUS_TIMEOUT_US,
};
use crate::{choose_candidate, BlockedReason, Choice, Effect, Event, PromotionCoordinator, ServiceView};

impl PromotionCoordinator {
    fn is_step_expired(&self, now: u64) -> bool {
        self.step.deadline().is_some_and(|deadline| deadline <= now)
    }

    pub fn handle_event(&mut self, event: Event, view: &ServiceView<'_>) {
        let now = view.now;
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
            (Step::ClaimingFence { .. }, Event::FenceClaimed(Some((fence, is_succession)))) => {
                self.fence = Some(fence);
                // The previous duty holder's call may have succeeded: query who leads before calling the platform.
                self.must_present_fence = view.leader.is_some() && is_succession;
                if self.must_present_fence {
                    self.query_replicas(view);
                } else {
                    self.query_or_suspend(view);
                }
            }
            (Step::ClaimingFence { .. }, Event::FenceClaimed(None)) => self.abort_attempt(now),
            // After any answer the platform knows the fence, or the next call will be rejected.
            (Step::PresentingFence { .. }, Event::PromotionReturned(Some(_))) => self.query_replicas(view),
            (Step::PresentingFence { .. }, Event::PromotionReturned(None)) => self.abort_attempt(now),
            (Step::QueryingReplicas { .. }, Event::Status { id, reply }) if self.queried.contains(&id) => {
                self.statuses.insert(id, reply);
                if self.statuses.len() >= self.queried.len() {
                    self.on_replicas_queried(view);
                }
            }
            (Step::SuspendingReplicas { .. }, Event::Status { id, reply }) if self.queried.contains(&id) => {
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
            // Another node owns the fence, or the call was not sent because its confirmation had expired.
            (
                Step::ConfirmingFence { .. }
                | Step::Demoting { .. }
                | Step::ConfirmingPromotion { .. }
                | Step::PresentingFence { .. }
                | Step::RequestingPromotion { .. },
                Event::FenceConfirmed(false),
            ) => self.abort_attempt(now),
            (Step::RequestingPromotion { candidate, .. }, Event::PromotionReturned(code)) => match code {
                Some(200..=299) | None => self.await_leader(candidate, now),
                _ => self.abort_attempt(now),
            },
            (Step::AwaitingLeader { candidate, .. }, Event::Status { id, reply: Ok(status) })
                if id == candidate && status.is_primary =>
            {
                self.finish(&candidate, Some(status.term), now)
            }
            _ => {}
        }
    }

    /// A leader that is down needs no receiving replica: all are suspended in one round, if the term is known. For a
    /// planned switchover they are queried first, so that the candidate can go on receiving.
    fn query_or_suspend(&mut self, view: &ServiceView<'_>) {
        let is_planned = view.is_switchover_requested
            || view.databases.iter().any(|database| Some(database.id.as_str()) == view.leader && database.is_draining);
        if is_planned || self.must_query_first || view.term == 0 || !view.is_leader_down {
            return self.query_replicas(view);
        }
        self.statuses.clear();
        (self.was_requeried, self.term) = (false, self.term.max(view.term));
        self.suspend_replicas(replicas(view), view);
    }

    /// Handles the queried statuses once all have arrived or timed out.
    pub(crate) fn on_replicas_queried(&mut self, view: &ServiceView<'_>) {
        let newest =
            self.statuses.values().flatten().map(|status| status.term.max(status.suspended_term)).max().unwrap_or(0);
        self.term = self.term.max(newest);
        // Only a log position proves that a term was led. Terms of suspensions and calls may never have started, and a
        // valid primary must not be told to yield for them.
        let known = view.fenced_position.map_or(0, |(_, position)| position.term);
        // A replica that leads ends the attempt. Without a fence of this node, its term must be newer than any known.
        let min_term = if self.fence.is_some() { known } else { known.max(view.term) + 1 };
        let is_leader =
            |reply: &crate::StatusReply| reply.is_ok_and(|status| status.is_primary && status.term >= min_term);
        let new_leader =
            self.statuses.iter().find(|(_, reply)| is_leader(reply)).map(|(id, reply)| (id.clone(), *reply));
        if self.fence.is_some() {
            // Primaries of older terms are told to yield.
            let is_stale =
                |reply: &crate::StatusReply| reply.is_ok_and(|status| status.is_primary && status.term < known);
            let stale = self.statuses.iter().filter(|(_, reply)| is_stale(reply)).map(|(id, _)| id.clone());
            self.effects.extend(stale.map(|id| Effect::Yield { id, term: known }));
        }
        if self.fence.is_none() {
            let is_suspended = |id: &String| {
                self.statuses.get(id).is_some_and(|reply| reply.is_ok_and(|status| status.suspended_term > 0))
            };
            self.suspended = std::mem::take(&mut self.suspended).into_iter().filter(is_suspended).collect();
        }
        if let Some((id, status)) = new_leader {
            return self.finish(&id, status.ok().map(|status| status.term), view.now);
        }
        // Without a fence this was the initial query of a new duty holder.
        let Some(_) = self.fence else {
            self.resume_suspended(None);
            return self.enter_idle(view.now);
        };
        // Presenting the fence is confirmed like any call, as another node may have a higher one.
        if let Some(leader) = view.leader.filter(|_| std::mem::take(&mut self.must_present_fence)) {
            self.effects.push(Effect::ConfirmFence);
            self.enter(Step::ConfirmingFence { leader: leader.to_owned(), deadline: view.now + REGISTER_TIMEOUT_US });
            return;
        }
        let leader = view.leader;
        let choice = choose_candidate(
            view.databases,
            leader,
            &self.statuses,
            view.sync_replicas,
            view.fenced_position,
            view.is_leader_down,
        );
        let candidate = match choice {
            Choice::Candidate(candidate) => candidate,
            Choice::Blocked(reason) => return self.handle_blocked(reason, view),
        };
        // The candidate keeps receiving, so that it has all commits that the old primary may still get acknowledged.
        let others: Vec<String> = replicas(view).into_iter().filter(|id| *id != candidate).collect();
        let queried = others.iter().filter(|id| self.statuses.get(*id).is_some_and(Result::is_ok)).cloned().collect();
        self.suspend_replicas(queried, view);
    }

    fn suspend_replicas(&mut self, ids: Vec<String>, view: &ServiceView<'_>) {
        self.queried = ids;
        if self.queried.is_empty() {
            return self.on_replicas_suspended(view);
        }
        for id in self.queried.clone() {
            self.statuses.remove(&id);
            self.effects.push(Effect::Suspend { id: id.clone(), term: self.term + 1 });
            self.suspended.push(id);
        }
        self.enter(Step::SuspendingReplicas { deadline: view.now + STATUS_TIMEOUT_US });
    }

    /// Chooses the candidate again once replicas are suspended or timed out.
    pub(crate) fn on_replicas_suspended(&mut self, view: &ServiceView<'_>) {
        match choose_candidate(
            view.databases,
            view.leader,
            &self.statuses,
            view.sync_replicas,
            view.fenced_position,
            view.is_leader_down,
        ) {
            // All replicas but the candidate must be suspended, as others may have received more since their status.
            Choice::Candidate(candidate) => {
                let unsuspended: Vec<String> = self
                    .statuses
                    .keys()
                    .filter(|id| **id != candidate && !self.suspended.contains(id))
                    .cloned()
                    .collect();
                if unsuspended.is_empty() {
                    return self.confirm_promotion(candidate, view.now);
                }
                // A replica that keeps receiving may only seem behind because its status is older: query it once
                // more.
                if !std::mem::replace(&mut self.was_requeried, true) {
                    unsuspended.iter().for_each(|id| {
                        self.statuses.remove(id);
                        self.effects.push(Effect::QueryStatus { id: id.clone() });
                    });
                    self.queried = unsuspended;
                    self.enter(Step::SuspendingReplicas { deadline: view.now + STATUS_TIMEOUT_US });
                    return;
                }
                self.suspend_replicas(unsuspended, view);
            }
            Choice::Blocked(reason) => self.handle_blocked(reason, view),
        }
    }

    pub(crate) fn enter_idle(&mut self, now: u64) {
        (self.retry_delay_us, self.must_query_first) = (RETRY_DELAY_MIN_US, false);
        self.enter(Step::Idle { until: now + RETRY_DELAY_MIN_US });
    }

    pub(crate) fn enter_idle_with_backoff(&mut self, now: u64) {
        self.retry_delay_us = (self.retry_delay_us * 2).min(PROBE_DELAY_MAX_US);
        self.enter(Step::Idle { until: now + self.retry_delay_us });
    }

    pub(crate) fn report_blocked(&mut self, reason: BlockedReason, now: u64) {
        self.effects.push(Effect::ReportBlocked(reason));
        self.abort_attempt(now);
    }

    /// Resumes suspended replicas and schedules the next attempt.
    pub(crate) fn abort_attempt(&mut self, now: u64) {
        self.resume_suspended(None);
        self.must_query_first = true;
        self.enter(Step::Idle { until: now + self.retry_delay_us });
        self.retry_delay_us = (self.retry_delay_us * 2).min(RETRY_DELAY_MAX_US);
    }
}

pub(crate) fn replicas(view: &ServiceView<'_>) -> Vec<String> {
    view.databases
        .iter()
        .filter(|database| Some(database.id.as_str()) != view.leader && database.may_be_running())
        .map(|database| database.id.clone())
        .collect()
}
