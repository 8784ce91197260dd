//! Finds out what became of unresolved calls, and keeps what was promised for them meanwhile.
//!
//! An attempt that ends while its call is unresolved leaves the other replicas suspended and lets the named database
//! receive, so that whatever the present primary acknowledges is in the log of the database that may yet be promoted.
//! The next attempt names the same database again, if that is still the right choice. Otherwise the present primary is
//! named, which changes nothing but shows the platform a higher fence.
use crate::selection::replicas;
use crate::step::{Purpose, Step, OVERDUE_US, REGISTER_TIMEOUT_US, SECOND_LOOK_DELAY_US};
use crate::unresolved_calls::CallOutcome;
use crate::{BlockedReason, Choice, DutyState, Effect, PromotionCall, PromotionCoordinator, ServiceView, StatusError};

impl PromotionCoordinator {
    /// The calls that may still take effect, to be recorded in the register.
    pub fn unresolved_calls(&self) -> Vec<PromotionCall> {
        self.unresolved.list()
    }

    /// Reads the recorded calls once more some time after the start: a predecessor that did not know yet that it was
    /// replaced may have gone on in between.
    pub(crate) fn look_again(&mut self, now: u64) {
        if self.next_look_at.is_some_and(|at| at <= now) {
            self.read_duty(now);
        }
    }

    pub(crate) fn read_duty(&mut self, now: u64) {
        self.effects.push(Effect::ReadDuty);
        self.enter(Step::ReadingDuty { deadline: now + REGISTER_TIMEOUT_US });
    }

    pub fn has_unresolved_calls(&self) -> bool {
        !self.unresolved.is_empty()
    }

    /// Handles what earlier duty holders recorded; `None` if the register could not be read.
    pub(crate) fn on_duty_read(&mut self, state: Option<DutyState>, view: &ServiceView<'_>) {
        let Some(state) = state else { return self.enter_idle(view.now) };
        let is_first = !std::mem::replace(&mut self.has_read_duty, true);
        self.next_look_at = is_first.then_some(view.now + SECOND_LOOK_DELAY_US);
        // Nobody has claimed the duty since this node did, so nothing was done behind its back.
        if self.fence == Some(state.fence) && !self.has_unseen_replicas {
            return self.enter_idle(view.now);
        }
        self.unresolved.restore(state.recorded);
        self.expire_calls(view);
        // Predecessors may have left replicas suspended. Until a fence is claimed, nothing is decided here.
        self.fence = None;
        self.suspended = replicas(view);
        self.query_replicas(view);
    }

    /// Continues after the first query of a new duty holder. Replicas are resumed only under a fence of this node:
    /// until it claims one, a predecessor may still call the platform.
    pub(crate) fn on_first_query(&mut self, view: &ServiceView<'_>) {
        // One that refuses connections will restart, which ends a suspension.
        let is_seen = |id: &String| matches!(self.statuses.get(id), Some(Ok(_) | Err(StatusError::Refused)));
        self.has_unseen_replicas = !self.queried.iter().all(is_seen);
        if self.has_unseen_replicas {
            self.next_look_at = Some(view.now + SECOND_LOOK_DELAY_US);
        }
        if self.suspended.is_empty() {
            // Databases would be suspended for a call; this only says that an earlier build held the duty.
            self.unresolved.forget_unknown_subject();
        }
        if self.unresolved.is_empty() && self.suspended.is_empty() {
            return self.enter_idle(view.now);
        }
        self.claim_fence(Purpose::ResolveCalls, view.now);
    }

    /// Whether the present leader has to be replaced.
    fn is_replacement_wanted(&self, view: &ServiceView<'_>) -> bool {
        let is_leaving = |leader: &str| {
            view.databases.iter().find(|database| database.id == leader).is_none_or(|database| database.is_draining)
        };
        view.is_switchover_requested || view.is_leader_down || view.leader.is_some_and(is_leaving)
    }

    /// Whether the attempt has found out all that it was started for.
    pub(crate) fn is_done(&self, view: &ServiceView<'_>) -> bool {
        self.purpose == Purpose::ResolveCalls && !self.has_open_matters() && !self.is_replacement_wanted(view)
    }

    /// Whether replicas have to stay suspended after the attempt.
    pub(crate) fn has_open_matters(&self) -> bool {
        !self.unresolved.is_empty() || self.has_leader_yielded
    }

    /// Drops the calls that are resolved. Calls that name a leader which has yielded are not: it may lead again.
    pub(crate) fn expire_calls(&mut self, view: &ServiceView<'_>) {
        let leader = view.leader.filter(|_| !self.has_leader_yielded);
        self.unresolved.expire(leader, view.now);
    }

    /// The candidate, if it may be promoted. While calls are unresolved, only the database that they name may be: then
    /// the outcome is the same whichever call takes effect. If another one has received more, or it does not answer,
    /// the calls have to be resolved first.
    pub(crate) fn accept_choice(&mut self, choice: Choice, view: &ServiceView<'_>) -> Option<String> {
        match choice {
            Choice::Candidate(candidate) if !self.unresolved.names_other_than(&candidate) => return Some(candidate),
            // The database may be promoted in any case; the unavailable replica was suspended for that call.
            Choice::Blocked(BlockedReason::ReplicaUnavailable { candidate, .. })
                if self.unresolved.names(&candidate) && !self.unresolved.names_other_than(&candidate) =>
            {
                return Some(candidate)
            }
            Choice::Blocked(reason) if self.unresolved.is_empty() => self.handle_blocked(reason, view),
            _ => self.present_fence(view),
        }
        None
    }

    /// Shows the platform the fence by naming the present leader, so that it accepts no call under a lower fence
    /// afterwards. That changes nothing, except that a leader that has yielded leads again. The call is confirmed like
    /// any other, as another node may have a higher fence.
    pub(crate) fn present_fence(&mut self, view: &ServiceView<'_>) {
        let Some(leader) = view.leader else { return self.abort_attempt(view.now) };
        self.suspend_unnamed(view);
        self.record_call(leader, view.now);
        self.enter(Step::ConfirmingFence { leader: leader.to_owned(), deadline: view.now + REGISTER_TIMEOUT_US });
    }

    /// Records the call in the register before it is sent.
    pub(crate) fn record_call(&mut self, id: &str, now: u64) {
        let Some(fence) = self.fence else { return };
        if self.unresolved.is_empty() {
            self.overdue_at = now + OVERDUE_US;
        }
        self.unresolved.add(id, fence);
        self.has_recorded_calls = true;
        self.effects.push(Effect::RecordCall { id: id.to_owned() });
    }

    pub(crate) fn drop_unsent_call(&mut self) {
        self.fence.into_iter().for_each(|fence| self.unresolved.remove(fence));
    }

    pub(crate) fn on_fence_presented(&mut self, outcome: CallOutcome, view: &ServiceView<'_>) {
        let has_seen_fence = matches!(outcome, CallOutcome::Accepted | CallOutcome::Rejected);
        match self.unresolved.resolved_at().filter(|_| has_seen_fence) {
            Some(until) => self.settle(until),
            None => self.abort_attempt(view.now),
        }
    }

    /// Nobody knows whether the call will take effect: looks for the new leader for a while.
    pub(crate) fn on_no_answer(&mut self, candidate: String, view: &ServiceView<'_>) {
        self.resume_named(view.now);
        self.await_leader(candidate, view.now);
    }

    /// Waits until calls that the platform has accepted have taken effect.
    pub(crate) fn settle(&mut self, until: u64) {
        self.purpose = Purpose::ResolveCalls;
        self.enter(Step::Settling { until });
    }

    pub(crate) fn on_settled(&mut self, view: &ServiceView<'_>) {
        if !self.unresolved.is_empty() {
            return self.abort_attempt(view.now);
        }
        self.query_replicas(view);
    }

    /// Lets the databases that unresolved calls name receive again.
    pub(crate) fn resume_named(&mut self, now: u64) {
        let (named, rest): (Vec<String>, Vec<String>) =
            std::mem::take(&mut self.suspended).into_iter().partition(|id| self.unresolved.names(id));
        self.suspended = rest;
        named.into_iter().for_each(|id| self.resume(id, now));
    }

    /// Suspends the replicas that no unresolved call names once more: a restart ends a suspension, and new databases
    /// join. A call that is answered as usual does not need it.
    pub(crate) fn keep_unnamed_suspended(&mut self, view: &ServiceView<'_>) {
        let is_asking = matches!(self.step, Step::QueryingReplicas { .. } | Step::SuspendingReplicas { .. });
        if is_asking || view.now < self.overdue_at || !self.must_be_suspended("", view) {
            return;
        }
        // While calls are settling, the platform has answered, and a leader that yields now would not be named again.
        if !matches!(self.step, Step::Settling { .. }) {
            self.watch_receivers(&self.unnamed(view), view);
        }
        self.suspend_unnamed(view);
    }

    /// The replicas that must not receive.
    fn unnamed(&self, view: &ServiceView<'_>) -> Vec<String> {
        replicas(view).into_iter().filter(|id| self.must_be_suspended(id, view)).collect()
    }

    fn suspend_unnamed(&mut self, view: &ServiceView<'_>) {
        self.unnamed(view).into_iter().for_each(|id| self.suspend(id, view.now));
    }

    /// Whether the replica must not receive because calls that do not name it are unresolved. Before this node has
    /// claimed a fence, that is up to its predecessor.
    fn must_be_suspended(&self, id: &str, view: &ServiceView<'_>) -> bool {
        let has_calls = !self.unresolved.is_empty() && !self.unresolved.has_unknown_subject();
        has_calls && self.fence.is_some() && view.sync_replicas > 0 && !self.unresolved.names(id)
    }

    /// Suspends a database at once when it reports itself while it must not receive: it may have just started.
    pub fn on_database_reported(&mut self, id: &str, view: &ServiceView<'_>) {
        if view.is_duty_holder && view.leader != Some(id) && self.must_be_suspended(id, view) {
            self.suspend(id.to_owned(), view.now);
        }
    }
}
