//! What may happen while voters change.
use super::{Step, World, NAMES};
use std::hash::Hasher;
use wv_internal_protocol::{Handover, Message};

impl wv_model_checker::Model for World {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let up: Vec<usize> = (0..self.nodes.len()).filter(|at| self.nodes[*at].is_up).collect();
        let mut steps = Vec::new();
        for at in up.iter().copied() {
            let is_asked = self.voting_set(at) == self.writer.set.number && !self.writer.kept.contains(&at);
            steps.extend((self.writer.number <= self.setup.writes && is_asked).then_some(Step::Write(at)));
            let number = self.seat(at).voters.number;
            steps.extend((number > self.writer.set.number).then_some(Step::Switch(number)));
            steps.extend(self.nodes[at].change.is_some().then_some(Step::Abandon(at)));
            // Everyone that has a say may plan: the duty's holder may be two for a while.
            let is_planner =
                self.seat(at).successor_voting_set(NAMES[at]) > 0 && self.nodes[at].change.is_none() && self.plans > 0;
            steps.extend(is_planner.then_some(Step::Plan(at, None)));
            let doubted = up.iter().filter(|other| is_planner && self.doubts > 0 && **other != at);
            steps.extend(doubted.map(|other| Step::Plan(at, Some(*other))));
            for other in up.iter().copied().filter(|other| *other != at) {
                let (own, theirs) = (self.seat(at), self.seat(other));
                steps.extend((own.voters.number < theirs.voters.number).then_some(Step::Tell(other, at)));
                let is_lacking = match own.is_member(NAMES[at]) {
                    true => own.successor_voting_set(NAMES[at]) == 0,
                    false => !self.nodes[at].is_ready && self.voting_set(other) == own.voters.number,
                };
                steps.extend((is_lacking && theirs.installed_set > 0).then_some(Step::Take(at, other)));
            }
            steps.extend((self.falls > 0).then_some(Step::Fall(at)));
        }
        for at in (0..self.nodes.len()).filter(|at| !self.nodes[*at].is_up) {
            steps.extend((self.rises > 0).then_some(Step::Rise(at)));
            steps.extend((self.wipes > 0).then_some(Step::Wipe(at)));
        }
        for ask in self.asks.iter().filter(|ask| self.nodes[ask.0.to].is_up) {
            let request = match &ask.0.msg {
                Message::PrepareSuccessor { request, .. } | Message::AcceptSuccessor { request, .. } => *request,
                Message::Handover(Handover::Seal { request, .. } | Handover::Fetch { request, .. }) => *request,
                _ => 0,
            };
            let is_asked = self.nodes[ask.0.from].change.as_ref().is_some_and(|change| change.1 == request);
            steps.extend(is_asked.then(|| Step::Ask(ask.clone())));
            steps.extend((!is_asked || self.setup.is_lossy).then(|| Step::Mute(ask.clone())));
        }
        steps
    }

    fn take(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Write(at) => self.write(*at),
            Step::Switch(set) => {
                let known = self.nodes.iter().map(|node| &node.disk.seat.voters).find(|voters| voters.number == *set);
                self.writer.set = known.cloned().unwrap_or_default();
                self.writer.kept.clear();
            }
            Step::Plan(at, lost) => {
                self.plans -= 1;
                self.doubts -= u8::from(lost.is_some());
                self.plan(*at, *lost);
            }
            Step::Ask(ask) => self.asked(&ask.0, true),
            Step::Mute(ask) => self.asked(&ask.0, false),
            Step::Abandon(at) => self.nodes[*at].change = None,
            Step::Tell(from, to) => self.tell(*from, *to),
            Step::Take(at, from) => self.take_over(*at, *from),
            Step::Fall(at) => {
                self.falls -= 1;
                self.fall(*at);
            }
            Step::Rise(at) => {
                self.rises -= 1;
                self.nodes[*at].is_up = true;
            }
            Step::Wipe(at) => {
                self.wipes -= 1;
                self.wipe(*at);
                self.nodes[*at].is_up = true;
            }
        }
        Ok(())
    }

    fn digest(&self, hasher: &mut dyn Hasher) {
        for node in &self.nodes {
            hasher.write_u64(node.disk.hash);
            hasher.write_u64(node.change.as_ref().map_or(0, |change| change.2));
            wv_model_checker::hash_debug(&(node.is_up, node.met, &node.told, node.is_ready), hasher);
        }
        hasher.write_u64(self.asks.iter().fold(0, |sum, ask| sum ^ ask.1));
        wv_model_checker::hash_debug(&self.writer, hasher);
        hasher.write(&[self.plans, self.falls, self.rises, self.wipes, self.doubts]);
    }

    fn check(&self) -> Result<(), String> {
        self.is_kept()?;
        self.leads_on()
    }
}
