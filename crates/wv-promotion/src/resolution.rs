//! Finds out what became of unresolved calls, and keeps what was promised for them meanwhile.
//!
//! An attempt that ends while its call is unresolved leaves the other replicas suspended and lets the named database
//! receive, so that whatever the present primary acknowledges is in the log of the database that may yet be promoted.
//! The next attempt names the same database again. If that one does not answer, the present primary is named, which
//! changes nothing but shows the platform a higher fence.
use crate::selection::replicas;
use crate::step::{Purpose, Step, REGISTER_TIMEOUT_US, SECOND_LOOK_DELAY_US};
use crate::unresolved_calls::CallOutcome;
use crate::{Effect, PromotionCall, PromotionCoordinator, ServiceView};

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

    /// Handles the calls that earlier duty holders recorded; `None` if the register could not be read.
    pub(crate) fn on_duty_read(&mut self, recorded: Option<Vec<PromotionCall>>, view: &ServiceView<'_>) {
        let Some(recorded) = recorded else { return self.enter_idle(view.now) };
        let is_first = !std::mem::replace(&mut self.has_read_duty, true);
        self.next_look_at = is_first.then_some(view.now + SECOND_LOOK_DELAY_US);
        self.unresolved.restore(recorded);
        self.unresolved.expire(view.leader, view.now);
        // Predecessors may have left replicas suspended. Until a fence is claimed, nothing is decided here.
        self.fence = None;
        self.suspended = replicas(view);
        self.query_replicas(view);
    }

    /// Continues after the first query of a new duty holder. Replicas are resumed only under a fence of this node:
    /// until it claims one, a predecessor may still call the platform.
    pub(crate) fn on_first_query(&mut self, view: &ServiceView<'_>) {
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
        self.purpose == Purpose::ResolveCalls && self.unresolved.is_empty() && !self.is_replacement_wanted(view)
    }

    /// The database to name when the fence is presented: the one that all unresolved calls name, if it answers, so
    /// that the outcome is the same whichever call takes effect; otherwise the present leader.
    fn subject_to_present(&self, view: &ServiceView<'_>) -> Option<String> {
        let is_only_subject = |id: &&String| self.unresolved.names(id) && !self.unresolved.names_other_than(id);
        let has_answered = |id: &&String| self.statuses.get(*id).is_some_and(Result::is_ok);
        let named = self.statuses.keys().filter(is_only_subject).find(has_answered);
        named.cloned().or_else(|| view.leader.map(str::to_owned))
    }

    /// Shows the platform the fence by naming a database, so that it accepts no call under a lower fence afterwards.
    /// The call is confirmed like any other, as another node may have a higher fence.
    pub(crate) fn present_fence(&mut self, view: &ServiceView<'_>) {
        let Some(subject) = self.subject_to_present(view) else { return self.abort_attempt(view.now) };
        self.suspend_unnamed_again(view);
        self.record_call(&subject);
        self.enter(Step::ConfirmingFence { subject, deadline: view.now + REGISTER_TIMEOUT_US });
    }

    /// Records the call in the register before it is sent.
    pub(crate) fn record_call(&mut self, id: &str) {
        let Some(fence) = self.fence else { return };
        self.unresolved.add(id, fence);
        self.effects.push(Effect::RecordCall { id: id.to_owned() });
    }

    pub(crate) fn drop_unsent_call(&mut self) {
        self.fence.into_iter().for_each(|fence| self.unresolved.remove(fence));
    }

    pub(crate) fn on_fence_presented(&mut self, subject: String, outcome: CallOutcome, view: &ServiceView<'_>) {
        match outcome {
            CallOutcome::Accepted if Some(subject.as_str()) != view.leader => {
                self.await_leader(subject, false, view.now)
            }
            CallOutcome::Accepted | CallOutcome::Rejected => match self.unresolved.resolved_at() {
                Some(until) => self.settle(until),
                None => self.abort_attempt(view.now),
            },
            CallOutcome::Refused => self.abort_attempt(view.now),
            CallOutcome::Unknown => self.on_no_answer(subject, view),
        }
    }

    /// Nobody knows whether the call will take effect: looks for a new leader for a while.
    pub(crate) fn on_no_answer(&mut self, subject: String, view: &ServiceView<'_>) {
        if Some(subject.as_str()) == view.leader {
            return self.abort_attempt(view.now);
        }
        self.resume_named();
        self.await_leader(subject, true, view.now);
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
    pub(crate) fn resume_named(&mut self) {
        let (named, rest) = std::mem::take(&mut self.suspended).into_iter().partition(|id| self.unresolved.names(id));
        self.suspended = rest;
        let named: Vec<String> = named;
        self.effects.extend(named.into_iter().map(|id| Effect::Continue { id }));
    }

    /// Suspends the replicas that no unresolved call names once more: a restart ends a suspension.
    pub(crate) fn suspend_unnamed_again(&mut self, view: &ServiceView<'_>) {
        if self.unresolved.has_unknown_subject() || view.sync_replicas == 0 {
            return;
        }
        let term = self.term + 1;
        let unnamed: Vec<String> = replicas(view).into_iter().filter(|id| !self.unresolved.names(id)).collect();
        for id in unnamed {
            self.effects.push(Effect::Suspend { id: id.clone(), term });
            self.note_suspended(id);
        }
    }
}
