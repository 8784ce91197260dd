//! What each step of a change does, with the code that it stands for.
use super::{closed, opened, wiped, Ask, Node, Without, World, KEY, NAMES};
use std::rc::Rc;
use wv_consensus::{Candidate, ChangeOutcome, VoterSetChange, REPLACE_AFTER_US};
use wv_internal_protocol::{AcceptorState, Handover, Member, Message, VoterSet};

impl World {
    /// Keeps what an attempt wants to send; who is asked is found out when it arrives.
    fn drive(&mut self, at: usize, mut change: VoterSetChange, request: u64) -> Result<(), ChangeOutcome> {
        let msgs = change.tick(0)?;
        let hash = wv_model_checker::hash_of(&change);
        self.nodes[at].change = Some(Rc::new((change, request, hash)));
        for (addr, msg) in msgs {
            let to = NAMES.iter().position(|name| *name == addr).unwrap_or(0);
            let ask = Ask { from: at, to, msg };
            let hash = wv_model_checker::hash_of(&ask);
            if self.asks.iter().all(|known| known.1 != hash) {
                self.asks.push(Rc::new((ask, hash)));
            }
        }
        Ok(())
    }

    /// As `wv_control::Core::plan_change`: the next set, or the same one again where a predecessor sealed it and went.
    pub(super) fn plan(&mut self, at: usize, lost: Option<usize>) -> bool {
        let voters = self.seat(at).voters.clone();
        let is_open = self.setup.without == Without::Ready;
        let core = |(other, node): (usize, &Node)| Candidate {
            member: Member { addr: NAMES[other].to_owned(), disk: node.disk.seat.disk },
            zone: String::new(),
            is_up: node.is_up,
            is_ready: node.is_ready || is_open,
            is_leaving: lost == Some(other),
        };
        let cores: Vec<Candidate> = self.nodes.iter().enumerate().map(core).collect();
        let is_away = |addr: &str| (0..self.nodes.len()).any(|at| NAMES[at] == addr && !self.nodes[at].is_up);
        let away_us = |addr: &str| if is_away(addr) { REPLACE_AFTER_US } else { 0 };
        let is_sealed = |at: usize| self.nodes[at].is_up && self.seat(at).sealed_set == voters.number;
        let is_begun = (0..self.nodes.len()).any(is_sealed);
        let same = || VoterSet { number: voters.number + 1, members: voters.members.clone() };
        let Some(next) = wv_consensus::plan_successor(&voters, &cores, away_us).or_else(|| is_begun.then(same)) else {
            return false;
        };
        let fence = (((self.nodes[at].met.max(self.seat(at).fence) >> 16) + 1) << 16) | (at as u64 + 1);
        self.drive(at, VoterSetChange::new(fence, fence, voters, next, 0), fence).is_ok()
    }

    /// What was asked arrives; `true` and what was told to a planner that hears it.
    pub(super) fn asked(&mut self, ask: &Ask, is_heard: bool) {
        let without = self.setup.without;
        let (at, me) = (ask.to, NAMES[ask.to]);
        let change = self.nodes[ask.from].change.clone().filter(|_| self.nodes[ask.from].is_up);
        let mut heard = change.as_ref().map(|change| change.0.clone());
        let asking = change.as_ref().map_or(0, |change| change.1);
        let end = match ask.msg.clone() {
            Message::PrepareSuccessor { request, voter_set: set, fence } => {
                let word =
                    self.on_disk(at, |seat, store| seat.prepare_successor(store, me, set, fence)).and_then(Result::ok);
                let hear = |change: &mut VoterSetChange| {
                    let claimed = word?;
                    let next = claimed.successor.filter(|_| without != Without::Accepted);
                    change.handle_prepared(me, request, claimed.is_ok, claimed.fence, next)
                };
                heard.as_mut().filter(|_| is_heard).and_then(hear)
            }
            Message::Handover(Handover::Seal { request, set, fence, .. }) => {
                let word = self.on_disk(at, |seat, store| seat.seal(store, me, (set, fence))).and_then(Result::ok);
                let Some(is_ok) = word.filter(|_| is_heard) else { return };
                // What it holds stands at the planner before it counts.
                if is_ok && self.seat(ask.from).voters.number == set {
                    self.adopt(ask.from, at);
                }
                heard.as_mut().and_then(|change| change.handle_sealed(me, request, is_ok))
            }
            Message::Handover(Handover::Fetch { request, set, next, .. }) => {
                let is_meant = self.seat(at).is_successor_member(me, set, &next);
                let is_final = change.is_some_and(|change| change.0.is_handing_over(request));
                if !is_meant || !is_final || self.seat(ask.from).voters.number != set {
                    return;
                }
                self.adopt(at, ask.from);
                let is_whole = self.on_disk(at, |seat, store| seat.mark_complete(store, set)).unwrap_or(false);
                heard.iter_mut().filter(|_| is_heard && is_whole).for_each(|change| change.handle_fetched(me, request));
                None
            }
            Message::AcceptSuccessor { request, voter_set: set, fence, successor: next } => {
                let word = self.on_disk(at, |seat, store| {
                    seat.fence = if without == Without::Fence { 0 } else { seat.fence };
                    seat.accept_successor(store, me, (set, fence), &next)
                });
                let is_ok = word.and_then(Result::ok);
                let hear = |change: &mut VoterSetChange| change.handle_accepted(me, request, is_ok?);
                heard.as_mut().filter(|_| is_heard).and_then(hear)
            }
            _ => None,
        };
        if let Some(change) = heard.filter(|_| is_heard) {
            self.heard(ask.from, (change, asking), end);
        }
    }

    fn heard(&mut self, at: usize, (mut change, request): (VoterSetChange, u64), end: Option<ChangeOutcome>) {
        if self.setup.without == Without::Handover {
            // As if all had been sealed and had it: the next step follows at once.
            NAMES.iter().for_each(|name| {
                change.handle_sealed(name, request, true);
            });
            NAMES.iter().for_each(|name| change.handle_fetched(name, request));
        }
        match end {
            None => self.drive(at, change, request).unwrap_or_default(),
            Some(ChangeOutcome::Accepted(next)) => {
                let before = self.seat(at).voters.clone();
                self.nodes[at].change = None;
                self.learn(at, &next, &before);
            }
            Some(ChangeOutcome::Aborted { highest_fence }) => {
                self.nodes[at].change = None;
                self.nodes[at].met = self.nodes[at].met.max(highest_fence);
            }
        }
    }

    pub(super) fn learn(&mut self, at: usize, voters: &VoterSet, before: &VoterSet) {
        let me = NAMES[at];
        // Old news are none, also to the seat itself.
        let is_news = voters.number > self.seat(at).voters.number;
        if is_news && self.on_disk(at, |seat, store| seat.update_voters(store, me, voters, before)).unwrap_or(false) {
            self.nodes[at].change = None;
            self.nodes[at].told.clear();
            self.nodes[at].is_ready = false;
        }
    }

    pub(super) fn tell(&mut self, from: usize, to: usize) {
        let seat = self.seat(from).clone();
        self.learn(to, &seat.voters, &seat.previous);
    }

    fn adopt(&mut self, to: usize, from: usize) {
        let copy: AcceptorState = self.nodes[from].disk.held.clone();
        if copy != AcceptorState::default() {
            self.on_disk(to, |_, store| store.adopt_newer(vec![(KEY.to_owned(), copy)])).expect("kept");
        }
    }

    /// As `Core::take_over` with its answers: one comparison from its beginning to its end.
    pub(super) fn take_over(&mut self, at: usize, from: usize) {
        let is_member = self.seat(at).is_member(NAMES[at]);
        self.tell(at, from);
        if self.seat(from).voters.number > self.seat(at).voters.number {
            return self.tell(from, at);
        }
        let (voters, before) = (self.seat(at).voters.clone(), self.seat(at).previous.clone());
        let set = self.seat(from).installed_set;
        if set == 0 {
            return;
        }
        self.adopt(at, from);
        if !is_member {
            // Only from one that votes in the newest set; others have left theirs.
            self.nodes[at].is_ready |= self.voting_set(from) == voters.number;
            return;
        }
        if set == before.number {
            self.nodes[at].told.insert(from);
        }
        let has_left = |other: &usize| {
            self.nodes[at].told.contains(other) || (*other == at && self.seat(at).installed_set == before.number)
        };
        let count = (0..self.nodes.len()).filter(has_left).filter(|other| before.contains(NAMES[*other])).count();
        if set == voters.number || (before.number > 0 && count >= before.majority()) {
            self.on_disk(at, |seat, store| seat.install(store)).expect("kept");
            self.nodes[at].told.clear();
        }
    }

    pub(super) fn write(&mut self, at: usize) {
        let (ballot, number) = (self.ballot(), self.writer.number);
        let cell = wv_consensus::register_value(number, vec![number as u8]);
        let is_kept = self.on_disk(at, |_, store| store.accept(KEY, ballot, &cell)).unwrap_or(false);
        if is_kept {
            self.writer.kept.insert(at);
        }
        if self.writer.kept.len() >= self.writer.set.majority() {
            (self.writer.acknowledged, self.writer.number) = (number, number + 1);
            self.writer.kept.clear();
        }
    }

    pub(super) fn fall(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        (node.is_up, node.is_ready, node.change, node.met) = (false, false, None, 0);
        node.told.clear();
    }

    pub(super) fn wipe(&mut self, at: usize) {
        if self.setup.without != Without::Disk {
            self.nodes[at].disk = wiped(at, 20 + at as u64);
            return;
        }
        // The same member, and what it promised is gone.
        let seat = self.seat(at).clone();
        let (mut store, files) = opened(&wiped(at, 1).files);
        let kept = wv_consensus::VoterState { fence: 0, successor: None, sealed_set: 0, complete_set: 0, ..seat };
        store.put_local("local/seat", nanoserde::SerBin::serialize_bin(&kept)).expect("kept");
        self.nodes[at].disk = closed(store, files, kept);
    }
}
