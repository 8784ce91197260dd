//! The effects of the model's steps.
use super::{closed, empty_disk, opened, Delivery, Node, Without, World, KEY, NAMES};
use std::rc::Rc;
use wv_consensus::{Candidate, ChangeOutcome, VoterSetChange, REPLACE_AFTER_US};
use wv_internal_protocol::{AcceptorState, Handover, Member, Message, VoterSet};

impl World {
    /// Queues the messages of a change; their receivers are resolved on delivery.
    fn send_messages(&mut self, at: usize, mut change: VoterSetChange, request: u64) -> Result<(), ChangeOutcome> {
        let msgs = change.tick(0)?;
        let hash = wv_model_checker::hash_of(&change);
        self.nodes[at].change = Some(Rc::new((change, request, hash)));
        for (addr, msg) in msgs {
            let to = NAMES.iter().position(|name| *name == addr).unwrap_or(0);
            let delivery = Delivery { from: at, to, msg };
            let hash = wv_model_checker::hash_of(&delivery);
            if self.deliveries.iter().all(|known| known.1 != hash) {
                self.deliveries.push(Rc::new((delivery, hash)));
            }
        }
        Ok(())
    }

    /// Like `Core::start_planned_change` in wv-control: the next set, or the same members again if a failed coordinator
    /// sealed the set.
    pub(super) fn plan(&mut self, at: usize, lost: Option<usize>) -> bool {
        let voters = self.voter_state(at).voters.clone();
        let ignores_catch_up = self.setup.without == Without::CaughtUp;
        let candidate = |(other, node): (usize, &Node)| Candidate {
            member: Member { addr: NAMES[other].to_owned(), disk: node.disk.voter_state.disk },
            zone: String::new(),
            is_up: node.is_up,
            is_ready: node.is_ready || ignores_catch_up,
            is_leaving: lost == Some(other),
        };
        let candidates: Vec<Candidate> = self.nodes.iter().enumerate().map(candidate).collect();
        let is_unreachable = |addr: &str| (0..self.nodes.len()).any(|at| NAMES[at] == addr && !self.nodes[at].is_up);
        let unreachable_us = |addr: &str| if is_unreachable(addr) { REPLACE_AFTER_US } else { 0 };
        let is_sealed = |at: usize| self.nodes[at].is_up && self.voter_state(at).sealed_set == voters.number;
        let was_sealed = (0..self.nodes.len()).any(is_sealed);
        let same = || VoterSet { number: voters.number + 1, members: voters.members.clone() };
        let Some(next) =
            wv_consensus::plan_successor(&voters, &candidates, unreachable_us).or_else(|| was_sealed.then(same))
        else {
            return false;
        };
        let fence =
            (((self.nodes[at].highest_fence_seen.max(self.voter_state(at).fence) >> 16) + 1) << 16) | (at as u64 + 1);
        self.send_messages(at, VoterSetChange::new(fence, fence, voters, next, 0), fence).is_ok()
    }

    /// Delivers a message, and its reply if `reply_arrives`.
    pub(super) fn deliver(&mut self, delivery: &Delivery, reply_arrives: bool) {
        let without = self.setup.without;
        let (at, me) = (delivery.to, NAMES[delivery.to]);
        let change = self.nodes[delivery.from].change.clone().filter(|_| self.nodes[delivery.from].is_up);
        let mut updated = change.as_ref().map(|change| change.0.clone());
        let active_request = change.as_ref().map_or(0, |change| change.1);
        let end = match delivery.msg.clone() {
            Message::PrepareSuccessor { request, voter_set: set, fence } => {
                let reply = self
                    .on_disk(at, |voter_state, store| voter_state.prepare_successor(store, me, set, fence))
                    .and_then(Result::ok);
                let apply = |change: &mut VoterSetChange| {
                    let prepared = reply?;
                    let next = prepared.successor.filter(|_| without != Without::AcceptedSuccessor);
                    change.handle_prepared(me, request, prepared.is_ok, prepared.fence, next)
                };
                updated.as_mut().filter(|_| reply_arrives).and_then(apply)
            }
            Message::Handover(Handover::Seal { request, set, fence, .. }) => {
                let reply = self
                    .on_disk(at, |voter_state, store| voter_state.seal(store, me, (set, fence)))
                    .and_then(Result::ok);
                let Some(is_ok) = reply.filter(|_| reply_arrives) else { return };
                // The voter's registers are stored at the coordinator before its reply counts.
                if is_ok && self.voter_state(delivery.from).voters.number == set {
                    self.copy_register(delivery.from, at);
                }
                updated.as_mut().and_then(|change| change.handle_sealed(me, request, is_ok))
            }
            Message::Handover(Handover::Fetch { request, set, next, .. }) => {
                let is_addressed = self.voter_state(at).is_successor_member(me, set, &next);
                let is_final = change.is_some_and(|change| change.0.is_handing_over(request));
                if !is_addressed || !is_final || self.voter_state(delivery.from).voters.number != set {
                    return;
                }
                self.copy_register(at, delivery.from);
                let is_complete =
                    self.on_disk(at, |voter_state, store| voter_state.mark_complete(store, set)).unwrap_or(false);
                updated
                    .iter_mut()
                    .filter(|_| reply_arrives && is_complete)
                    .for_each(|change| change.handle_fetched(me, request));
                None
            }
            Message::AcceptSuccessor { request, voter_set: set, fence, successor: next } => {
                let reply = self.on_disk(at, |voter_state, store| {
                    voter_state.fence = if without == Without::Fence { 0 } else { voter_state.fence };
                    voter_state.accept_successor(store, me, (set, fence), &next)
                });
                let is_ok = reply.and_then(Result::ok);
                let apply = |change: &mut VoterSetChange| change.handle_accepted(me, request, is_ok?);
                updated.as_mut().filter(|_| reply_arrives).and_then(apply)
            }
            _ => None,
        };
        if let Some(change) = updated.filter(|_| reply_arrives) {
            self.handle_reply(delivery.from, (change, active_request), end);
        }
    }

    fn handle_reply(&mut self, at: usize, (mut change, request): (VoterSetChange, u64), end: Option<ChangeOutcome>) {
        if self.setup.without == Without::Handover {
            // Skips sealing and handover.
            NAMES.iter().for_each(|name| {
                change.handle_sealed(name, request, true);
            });
            NAMES.iter().for_each(|name| change.handle_fetched(name, request));
        }
        match end {
            None => self.send_messages(at, change, request).unwrap_or_default(),
            Some(ChangeOutcome::Accepted(next)) => {
                let before = self.voter_state(at).voters.clone();
                self.nodes[at].change = None;
                self.learn_voters(at, &next, &before);
            }
            Some(ChangeOutcome::Aborted { highest_fence }) => {
                self.nodes[at].change = None;
                self.nodes[at].highest_fence_seen = self.nodes[at].highest_fence_seen.max(highest_fence);
            }
        }
    }

    pub(super) fn learn_voters(&mut self, at: usize, voters: &VoterSet, before: &VoterSet) {
        let me = NAMES[at];
        // Older sets are ignored, also by the voter state.
        let is_newer = voters.number > self.voter_state(at).voters.number;
        if is_newer
            && self
                .on_disk(at, |voter_state, store| voter_state.update_voters(store, me, voters, before))
                .unwrap_or(false)
        {
            self.nodes[at].change = None;
            self.nodes[at].copied_from.clear();
            self.nodes[at].is_ready = false;
        }
    }

    pub(super) fn inform(&mut self, from: usize, to: usize) {
        let voter_state = self.voter_state(from).clone();
        self.learn_voters(to, &voter_state.voters, &voter_state.previous);
    }

    fn copy_register(&mut self, to: usize, from: usize) {
        let copy: AcceptorState = self.nodes[from].disk.register.clone();
        if copy != AcceptorState::default() {
            self.on_disk(to, |_, store| store.adopt_newer(vec![(KEY.to_owned(), copy)])).expect("write succeeds");
        }
    }

    /// Like the catch-up in wv-control, with a whole comparison in one step.
    pub(super) fn catch_up(&mut self, at: usize, from: usize) {
        let is_member = self.voter_state(at).is_member(NAMES[at]);
        self.inform(at, from);
        if self.voter_state(from).voters.number > self.voter_state(at).voters.number {
            return self.inform(from, at);
        }
        let (voters, before) = (self.voter_state(at).voters.clone(), self.voter_state(at).previous.clone());
        let set = self.voter_state(from).installed_set;
        if set == 0 {
            return;
        }
        self.copy_register(at, from);
        if !is_member {
            // Only a voter of the newest set makes a candidate ready.
            self.nodes[at].is_ready |= self.voting_set(from) == voters.number;
            return;
        }
        if set == before.number {
            self.nodes[at].copied_from.insert(from);
        }
        let has_left = |other: &usize| {
            self.nodes[at].copied_from.contains(other)
                || (*other == at && self.voter_state(at).installed_set == before.number)
        };
        let count = (0..self.nodes.len()).filter(has_left).filter(|other| before.contains(NAMES[*other])).count();
        if set == voters.number || (before.number > 0 && count >= before.majority()) {
            self.on_disk(at, |voter_state, store| voter_state.install(store)).expect("write succeeds");
            self.nodes[at].copied_from.clear();
        }
    }

    pub(super) fn write(&mut self, at: usize) {
        let (ballot, number) = (self.ballot(), self.writer.number);
        let value = wv_consensus::register_value(number, vec![number as u8]);
        let is_accepted = self.on_disk(at, |_, store| store.accept(KEY, ballot, &value)).unwrap_or(false);
        if is_accepted {
            self.writer.accepted_by.insert(at);
        }
        if self.writer.accepted_by.len() >= self.writer.set.majority() {
            (self.writer.acknowledged, self.writer.number) = (number, number + 1);
            self.writer.accepted_by.clear();
        }
    }

    pub(super) fn fail(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        (node.is_up, node.is_ready, node.change, node.highest_fence_seen) = (false, false, None, 0);
        node.copied_from.clear();
    }

    pub(super) fn lose_disk(&mut self, at: usize) {
        if self.setup.without != Without::NewDiskId {
            self.nodes[at].disk = empty_disk(at, 20 + at as u64);
            return;
        }
        // The same member without its promises.
        let voter_state = self.voter_state(at).clone();
        let (mut store, files) = opened(&empty_disk(at, 1).files);
        let state =
            wv_consensus::VoterState { fence: 0, successor: None, sealed_set: 0, complete_set: 0, ..voter_state };
        store.put_local("local/seat", nanoserde::SerBin::serialize_bin(&state)).expect("write succeeds");
        self.nodes[at].disk = closed(store, files, state);
    }
}
