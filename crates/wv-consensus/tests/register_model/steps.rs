//! What may happen to the register, and what it does to the disks.
use super::{
    closed, kept, kept_quorum, opened, quorum, Answer, Call, Kept, Shown, Step, Wish, Without, World, KEY, NAMES,
    ORDERS,
};
use std::hash::Hasher;
use std::rc::Rc;
use wv_consensus::{Store, StoreState};
use wv_internal_protocol::{Ballot, RegisterReply, RegisterRequest as Ask};

/// What a voter's disk says to a step, as `Core::vote` does.
fn vote(store: &mut Store, ask: &Ask, without: Without) -> RegisterReply {
    let held = |store: &Store| store.get(KEY).cloned().unwrap_or_default();
    let told = |store: &Store, known: Ballot| {
        let held = held(store);
        let is_known = held.accepted == known && known != Ballot::default();
        RegisterReply::Current { accepted: held.accepted, value: (!is_known).then_some(held.value) }
    };
    let refused = |store: &Store| RegisterReply::Rejected { promised: held(store).promised.max(held(store).accepted) };
    match ask {
        Ask::Read { known } => told(store, *known),
        Ask::Prepare { ballot, known } => match store.promise(KEY, *ballot).expect("kept") {
            true => told(store, *known),
            false => refused(store),
        },
        Ask::Accept { ballot, value: cell } => match store.accept(KEY, *ballot, cell).expect("kept") {
            true => RegisterReply::Accepted,
            false if without == Without::Promise => {
                let mut state = store.state().cloned().unwrap_or_default();
                let held = state.registers.entry(KEY.to_owned()).or_default();
                (held.accepted, held.value) = (*ballot, cell.clone());
                store.reset(state).expect("kept");
                RegisterReply::Accepted
            }
            false => refused(store),
        },
    }
}

impl World {
    fn called(&mut self, call: &Call) -> Result<RegisterReply, String> {
        let disk = self.disks[call.to].clone().ok_or("a lost disk is asked")?;
        let (mut store, files) = opened(&disk.value.files);
        let rank = |store: &Store| store.get(KEY).map_or(Default::default(), |held| (held.promised, held.accepted));
        let before = rank(&store);
        let vote = vote(&mut store, &call.ask, self.setup.without);
        let after = rank(&store);
        self.disks[call.to] = Some(closed(&store, files));
        if after.0.max(after.1) < before.0.max(before.1) || after.1 < before.1 {
            return Err(format!("ballots of {} fall", NAMES[call.to]));
        }
        Ok(vote)
    }

    fn heard(&mut self, call: &Call, vote: RegisterReply) -> Result<(), String> {
        let (without, request) = (self.setup.without, (call.asker, call.request));
        let is_refused = matches!(vote, RegisterReply::Rejected { .. });
        let vote = match (without, &call.ask, vote) {
            (Without::Copies, Ask::Prepare { .. }, RegisterReply::Current { .. }) => {
                RegisterReply::Current { accepted: Ballot::default(), value: Some(Default::default()) }
            }
            (Without::SettledRead, Ask::Read { .. }, RegisterReply::Current { accepted, value: cell }) => {
                let best = &mut self.proposers[call.from].best;
                if best.0 != call.request || best.1 < accepted {
                    *best = (call.request, accepted, cell);
                }
                RegisterReply::Current { accepted: best.1, value: best.2.clone() }
            }
            (_, _, vote) => vote,
        };
        self.turn(call.from, |quorum, now| {
            quorum.on_reply(NAMES[call.to], request, KEY, vote.clone(), now);
            if without == Without::OneVote {
                quorum.on_reply(NAMES[(call.to + 1) % NAMES.len()], request, KEY, vote, now);
            }
        })?;
        let proposer = &mut self.proposers[call.from];
        if is_refused {
            proposer.is_pausing = format!("{:?}", proposer.quorum.value).contains("BackingOff");
        }
        Ok(())
    }
}

impl wv_model_checker::Model for World {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (at, proposer) in self.proposers.iter().enumerate() {
            let wish = self.setup.wishes[at].get(proposer.begun).filter(|_| proposer.open.is_none());
            steps.extend(wish.map(|wish| Step::Start(at, *wish)));
            steps.extend((proposer.is_pausing && self.rests > 0).then_some(Step::Rest(at)));
            steps.extend((proposer.open.is_some() && self.crashes > 0).then_some(Step::Crash(at)));
        }
        for call in &self.calls {
            // What neither changes the disk nor counts when it is heard changes nothing.
            let Some(is_felt) = self.is_felt(&call.value) else { continue };
            let (is_asked, is_late) = (self.is_asked(&call.value), self.setup.is_late);
            steps.extend((is_asked && !is_late).then(|| Step::Call(call.clone())));
            steps.extend((is_felt || (is_asked && is_late)).then(|| Step::Mute(call.clone())));
        }
        let is_asked = |answer: &&Rc<Kept<Answer>>| self.is_asked(&answer.value.call.value);
        steps.extend(self.answers.iter().filter(is_asked).map(|answer| Step::Hear(answer.clone())));
        for at in 0..NAMES.len() {
            steps.extend((self.restarts > 0).then_some(Step::Restart(at)));
            steps.extend((self.wipes > 0).then_some(Step::Wipe(at)));
        }
        steps
    }

    fn take(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Start(at, wish) => {
                let proposer = &mut self.proposers[*at];
                (proposer.begun, proposer.open) = (proposer.begun + 1, Some((*wish, self.ledger.value.floor)));
                let (token, make) = (proposer.begun as u64, self.setup.edit);
                let edit = match wish {
                    Wish::Read => None,
                    Wish::Write(number, content) => Some(make(*number, *content)),
                };
                self.turn(*at, |quorum, now| quorum.start(token, KEY, edit, now))
            }
            Step::Call(call) => {
                let vote = self.called(&call.value)?;
                self.heard(&call.value, vote)
            }
            Step::Mute(call) => {
                let vote = self.called(&call.value)?;
                let told = &call.value;
                let text = format!("{:?}", (told.from, NAMES[told.to], told.asker, told.request, &vote));
                let answer = kept(Answer { call: call.clone(), vote }, &Shown(text));
                if self.setup.is_late && self.answers.iter().all(|known| known.hashes != answer.hashes) {
                    self.answers.push(answer);
                }
                Ok(())
            }
            Step::Hear(answer) => self.heard(&answer.value.call.value, answer.value.vote.clone()),
            Step::Rest(at) => {
                self.rests -= 1;
                let proposer = &mut self.proposers[*at];
                proposer.is_pausing = false;
                proposer.now = proposer.quorum.value.next_due_us().unwrap_or(proposer.now);
                self.turn(*at, |_, _| {})
            }
            Step::Crash(at) => {
                self.crashes -= 1;
                let without = self.setup.without;
                let proposer = &mut self.proposers[*at];
                (proposer.lives, proposer.open, proposer.is_pausing) = (proposer.lives + 1, None, false);
                proposer.quorum = kept_quorum(quorum(*at, proposer.lives, without));
                Ok(())
            }
            Step::Restart(at) => {
                self.restarts -= 1;
                let Some(disk) = self.disks[*at].clone() else { return Ok(()) };
                let (mut store, files) = opened(&disk.value.files);
                if self.setup.without == Without::KeptPromise {
                    let mut state = store.state().cloned().unwrap_or_default();
                    state.registers.values_mut().for_each(|held| held.promised = held.accepted);
                    store.reset(state).expect("kept");
                }
                self.disks[*at] = Some(closed(&store, files));
                Ok(())
            }
            Step::Wipe(at) => {
                self.wipes -= 1;
                let fresh = || {
                    let (mut store, files) = opened(&Default::default());
                    store.reset(StoreState::default()).expect("kept");
                    closed(&store, files)
                };
                // What comes back without its disk is another member, and votes in no set that it was no member of.
                self.disks[*at] = (self.setup.without == Without::Member).then(fresh);
                Ok(())
            }
        }
    }

    fn digest(&self, hasher: &mut dyn std::hash::Hasher) {
        for proposer in &self.proposers {
            let rest = (proposer.lives, proposer.begun, &proposer.open, proposer.is_pausing, &proposer.best);
            wv_model_checker::hash_debug(&rest, hasher);
        }
        hasher.write(&[self.rests, self.crashes, self.restarts, self.wipes]);
        hasher.write_u64(self.ledger.hashes[0]);
        let in_order = |at: usize| {
            let mut hasher = std::hash::DefaultHasher::new();
            self.proposers.iter().for_each(|proposer| hasher.write_u64(proposer.quorum.hashes[at]));
            let mut disks = [0; 3];
            let hash = |disk: &Option<Rc<Kept<_>>>| disk.as_ref().map_or(0, |disk| disk.hashes[0]);
            self.disks.iter().enumerate().for_each(|(voter, disk)| disks[ORDERS[at][voter]] = hash(disk));
            disks.iter().for_each(|disk| hasher.write_u64(*disk));
            // Sets: in which order things were sent matters to nobody.
            hasher.write_u64(self.calls.iter().fold(0, |sum, call| sum ^ call.hashes[at]));
            hasher.write_u64(self.answers.iter().fold(0, |sum, answer| sum ^ answer.hashes[at]));
            hasher.finish()
        };
        hasher.write_u64((0..ORDERS.len()).map(in_order).min().unwrap_or(0));
    }
}
