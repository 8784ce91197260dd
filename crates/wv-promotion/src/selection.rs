//! Queries and suspends the replicas, and chooses the candidate.
use crate::step::{Purpose, Step, STATUS_TIMEOUT_US};
use crate::{choose_candidate, Choice, Effect, PromotionCoordinator, ServiceView, StatusError};

impl PromotionCoordinator {
    pub(crate) fn query_replicas(&mut self, view: &ServiceView<'_>) {
        self.statuses.clear();
        self.suspended_in_attempt.clear();
        self.was_requeried = false;
        self.queried = replicas(view);
        // A leader that is not down may have yielded while calls were unresolved.
        let is_resolving = self.purpose == Purpose::ResolveCalls && self.fence.is_some() && !view.is_leader_down;
        self.queried.extend(view.leader.filter(|_| is_resolving).map(str::to_owned));
        self.effects.extend(self.queried.iter().map(|id| Effect::QueryStatus { id: id.clone() }));
        self.enter(Step::QueryingReplicas { deadline: view.now + STATUS_TIMEOUT_US });
    }

    /// A leader that is down needs no receiving replica: all are suspended in one round, if the term is known. For a
    /// planned switchover they are queried first, so that the candidate can go on receiving.
    pub(crate) fn query_or_suspend(&mut self, view: &ServiceView<'_>) {
        let is_planned = view.is_switchover_requested
            || view.databases.iter().any(|database| Some(database.id.as_str()) == view.leader && database.is_draining);
        let is_resolving = self.purpose == Purpose::ResolveCalls || !self.unresolved.is_empty();
        if is_planned || is_resolving || self.must_query_first || view.term == 0 || !view.is_leader_down {
            return self.query_replicas(view);
        }
        self.statuses.clear();
        self.suspended_in_attempt.clear();
        (self.was_requeried, self.term) = (false, self.term.max(view.term));
        self.suspend_replicas(replicas(view), view);
    }

    /// Handles the queried statuses once all have arrived or timed out.
    pub(crate) fn on_replicas_queried(&mut self, view: &ServiceView<'_>) {
        let leader_status = view.leader.and_then(|leader| self.statuses.remove(leader));
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
        let is_suspended = |id: &String| {
            self.statuses.get(id).is_some_and(|reply| reply.is_ok_and(|status| status.suspended_term > 0))
        };
        if self.fence.is_none() {
            self.suspended = std::mem::take(&mut self.suspended).into_iter().filter(is_suspended).collect();
        } else {
            let suspended: Vec<String> = self.statuses.keys().filter(|id| is_suspended(id)).cloned().collect();
            suspended.into_iter().for_each(|id| self.note_suspended(id));
        }
        if let Some((id, status)) = new_leader {
            return self.finish(&id, status.ok().map(|status| status.term), view.now);
        }
        if self.fence.is_none() {
            return self.on_first_query(view);
        }
        if let Some(Ok(status)) = leader_status {
            if self.restore_leader(&status, view) {
                return;
            }
        }
        if self.is_done(view) {
            return self.conclude_attempt(view.now);
        }
        let Some(candidate) = self.accept_choice(self.choose(view), view) else { return };
        // The candidate keeps receiving, so that it has all commits that the old primary may still get acknowledged.
        let others: Vec<String> = replicas(view).into_iter().filter(|id| *id != candidate).collect();
        let queried = others.iter().filter(|id| self.statuses.get(*id).is_some_and(Result::is_ok)).cloned().collect();
        self.suspend_replicas(queried, view);
    }

    fn choose(&self, view: &ServiceView<'_>) -> Choice {
        choose_candidate(
            view.databases,
            view.leader,
            &self.statuses,
            view.sync_replicas,
            view.fenced_position,
            view.is_leader_down,
        )
    }

    pub(crate) fn suspend(&mut self, id: String, now: u64) {
        self.effects.push(Effect::Suspend { id: id.clone(), term: self.term + 1 });
        self.statements.on_suspend_sent(&id, now);
        self.note_suspended(id);
    }

    /// Notes a suspension, which has to be lifted in the end.
    pub(crate) fn note_suspended(&mut self, id: String) {
        if !self.suspended.contains(&id) {
            self.suspended.push(id);
        }
    }

    fn suspend_replicas(&mut self, ids: Vec<String>, view: &ServiceView<'_>) {
        self.queried = ids;
        if self.queried.is_empty() {
            return self.on_replicas_suspended(view);
        }
        for id in self.queried.clone() {
            if self.statements.may_resume_late(&id, view.now) {
                self.statuses.insert(id, Err(StatusError::Unreachable));
                continue;
            }
            self.statuses.remove(&id);
            self.suspended_in_attempt.push(id.clone());
            self.suspend(id, view.now);
        }
        if self.queried.iter().all(|id| self.statuses.contains_key(id)) {
            return self.on_replicas_suspended(view);
        }
        self.enter(Step::SuspendingReplicas { deadline: view.now + STATUS_TIMEOUT_US });
    }

    /// Chooses the candidate again once replicas are suspended or timed out.
    pub(crate) fn on_replicas_suspended(&mut self, view: &ServiceView<'_>) {
        let Some(candidate) = self.accept_choice(self.choose(view), view) else { return };
        // All replicas but the candidate must be suspended, as others may have received more since their status.
        let is_receiving = |id: &&String| **id != candidate && !self.suspended_in_attempt.contains(id);
        let unsuspended: Vec<String> = self.statuses.keys().filter(is_receiving).cloned().collect();
        if unsuspended.is_empty() {
            return self.confirm_promotion(candidate, view.now);
        }
        // A replica that keeps receiving may only seem behind because its status is older: query it once more.
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
}

pub(crate) fn replicas(view: &ServiceView<'_>) -> Vec<String> {
    view.databases
        .iter()
        .filter(|database| Some(database.id.as_str()) != view.leader && database.may_be_running())
        .map(|database| database.id.clone())
        .collect()
}
