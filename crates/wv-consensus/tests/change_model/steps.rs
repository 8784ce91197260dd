//! The possible steps of the model.
use super::{Step, World, NAMES};
use std::hash::Hasher;
use wv_internal_protocol::{Handover, Message};

impl wv_model_checker::Model for World {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let up: Vec<usize> = (0..self.nodes.len()).filter(|at| self.nodes[*at].is_up).collect();
        let mut steps = Vec::new();
        for at in up.iter().copied() {
            let is_current = self.voting_set(at) == self.writer.set.number && !self.writer.accepted_by.contains(&at);
            steps.extend((self.writer.number <= self.setup.writes && is_current).then_some(Step::Write(at)));
            let number = self.voter_state(at).voters.number;
            steps.extend((number > self.writer.set.number).then_some(Step::Switch(number)));
            steps.extend(self.nodes[at].change.is_some().then_some(Step::Abort(at)));
            // Every member may plan: two nodes may hold the duty for a while.
            let is_planner = self.voter_state(at).successor_voting_set(NAMES[at]) > 0
                && self.nodes[at].change.is_none()
                && self.plans > 0;
            steps.extend(is_planner.then_some(Step::Plan(at, None)));
            let doubted = up.iter().filter(|other| is_planner && self.false_suspicions > 0 && **other != at);
            steps.extend(doubted.map(|other| Step::Plan(at, Some(*other))));
            for other in up.iter().copied().filter(|other| *other != at) {
                let (own, theirs) = (self.voter_state(at), self.voter_state(other));
                steps.extend((own.voters.number < theirs.voters.number).then_some(Step::Inform(other, at)));
                let needs_catch_up = match own.is_member(NAMES[at]) {
                    true => own.successor_voting_set(NAMES[at]) == 0,
                    false => !self.nodes[at].is_ready && self.voting_set(other) == own.voters.number,
                };
                steps.extend((needs_catch_up && theirs.installed_set > 0).then_some(Step::CatchUp(at, other)));
            }
            steps.extend((self.failures > 0).then_some(Step::Fail(at)));
        }
        for at in (0..self.nodes.len()).filter(|at| !self.nodes[*at].is_up) {
            steps.extend((self.restarts > 0).then_some(Step::Restart(at)));
            steps.extend((self.disk_losses > 0).then_some(Step::LoseDisk(at)));
        }
        for delivery in self.deliveries.iter().filter(|delivery| self.nodes[delivery.0.to].is_up) {
            let request = match &delivery.0.msg {
                Message::PrepareSuccessor { request, .. } | Message::AcceptSuccessor { request, .. } => *request,
                Message::Handover(Handover::Seal { request, .. } | Handover::Fetch { request, .. }) => *request,
                _ => 0,
            };
            let is_current = self.nodes[delivery.0.from].change.as_ref().is_some_and(|change| change.1 == request);
            steps.extend(is_current.then(|| Step::Deliver(delivery.clone())));
            steps.extend((!is_current || self.setup.loses_replies).then(|| Step::LoseReply(delivery.clone())));
        }
        steps
    }

    fn apply(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Write(at) => self.write(*at),
            Step::Switch(set) => {
                let known =
                    self.nodes.iter().map(|node| &node.disk.voter_state.voters).find(|voters| voters.number == *set);
                self.writer.set = known.cloned().unwrap_or_default();
                self.writer.accepted_by.clear();
            }
            Step::Plan(at, lost) => {
                self.plans -= 1;
                self.false_suspicions -= u8::from(lost.is_some());
                self.plan(*at, *lost);
            }
            Step::Deliver(delivery) => self.deliver(&delivery.0, true),
            Step::LoseReply(delivery) => self.deliver(&delivery.0, false),
            Step::Abort(at) => self.nodes[*at].change = None,
            Step::Inform(from, to) => self.inform(*from, *to),
            Step::CatchUp(at, from) => self.catch_up(*at, *from),
            Step::Fail(at) => {
                self.failures -= 1;
                self.fail(*at);
            }
            Step::Restart(at) => {
                self.restarts -= 1;
                self.nodes[*at].is_up = true;
            }
            Step::LoseDisk(at) => {
                self.disk_losses -= 1;
                self.lose_disk(*at);
                self.nodes[*at].is_up = true;
            }
        }
        Ok(())
    }

    fn digest(&self, hasher: &mut dyn Hasher) {
        for node in &self.nodes {
            hasher.write_u64(node.disk.hash);
            hasher.write_u64(node.change.as_ref().map_or(0, |change| change.2));
            wv_model_checker::hash_debug(
                &(node.is_up, node.highest_fence_seen, &node.copied_from, node.is_ready),
                hasher,
            );
        }
        hasher.write_u64(self.deliveries.iter().fold(0, |sum, delivery| sum ^ delivery.1));
        wv_model_checker::hash_debug(&self.writer, hasher);
        hasher.write(&[self.plans, self.failures, self.restarts, self.disk_losses, self.false_suspicions]);
    }

    fn check(&self) -> Result<(), String> {
        self.acknowledged_writes_are_kept()?;
        self.can_make_progress()
    }
}
