//! The possible steps of the model and their effects.
use super::{
    closed, hashed, hashed_proposer, new_proposer, opened, DebugText, DeliveredReply, Delivery, Hashed, Request, Step,
    Without, World, KEY, NAMES, ORDERS,
};
use std::hash::Hasher;
use std::rc::Rc;
use wv_consensus::{Store, StoreState};
use wv_internal_protocol::{Ballot, RegisterReply, RegisterRequest};

/// Handles a request like `Core::vote` in wv-control.
fn handle_request(store: &mut Store, step: &RegisterRequest, without: Without) -> RegisterReply {
    let current_state = |store: &Store| store.get(KEY).cloned().unwrap_or_default();
    let current = |store: &Store, known: Ballot| {
        let current_state = current_state(store);
        let is_known = current_state.accepted == known && known != Ballot::default();
        RegisterReply::Current { accepted: current_state.accepted, value: (!is_known).then_some(current_state.value) }
    };
    let rejected = |store: &Store| RegisterReply::Rejected {
        promised: current_state(store).promised.max(current_state(store).accepted),
    };
    match step {
        RegisterRequest::Read { known } => current(store, *known),
        RegisterRequest::Prepare { ballot, known } => match store.promise(KEY, *ballot).expect("write succeeds") {
            true => current(store, *known),
            false => rejected(store),
        },
        RegisterRequest::Accept { ballot, value } => match store.accept(KEY, *ballot, value).expect("write succeeds") {
            true => RegisterReply::Accepted,
            false if without == Without::Promise => {
                let mut state = store.state().cloned().unwrap_or_default();
                let current_state = state.registers.entry(KEY.to_owned()).or_default();
                (current_state.accepted, current_state.value) = (*ballot, value.clone());
                store.reset(state).expect("write succeeds");
                RegisterReply::Accepted
            }
            false => rejected(store),
        },
    }
}

impl World {
    fn deliver(&mut self, delivery: &Delivery) -> Result<RegisterReply, String> {
        let disk = self.disks[delivery.to].clone().ok_or("request to a lost disk")?;
        let (mut store, files) = opened(&disk.value.files);
        let rank = |store: &Store| {
            store.get(KEY).map_or(Default::default(), |current_state| (current_state.promised, current_state.accepted))
        };
        let before = rank(&store);
        let vote = handle_request(&mut store, &delivery.step, self.setup.without);
        let after = rank(&store);
        self.disks[delivery.to] = Some(closed(&store, files));
        if after.0.max(after.1) < before.0.max(before.1) || after.1 < before.1 {
            return Err(format!("ballots of {} decrease", NAMES[delivery.to]));
        }
        Ok(vote)
    }

    fn handle_reply(&mut self, delivery: &Delivery, vote: RegisterReply) -> Result<(), String> {
        let (without, request) = (self.setup.without, (delivery.requester, delivery.request));
        let is_rejected = matches!(vote, RegisterReply::Rejected { .. });
        let vote = match (without, &delivery.step, vote) {
            (Without::AcceptedValues, RegisterRequest::Prepare { .. }, RegisterReply::Current { .. }) => {
                RegisterReply::Current { accepted: Ballot::default(), value: Some(Default::default()) }
            }
            (Without::ConfirmedRead, RegisterRequest::Read { .. }, RegisterReply::Current { accepted, value }) => {
                let newest = &mut self.proposers[delivery.from].newest;
                if newest.0 != delivery.request || newest.1 < accepted {
                    *newest = (delivery.request, accepted, value);
                }
                RegisterReply::Current { accepted: newest.1, value: newest.2.clone() }
            }
            (_, _, vote) => vote,
        };
        self.turn(delivery.from, |proposer_state, now| {
            proposer_state.on_reply(NAMES[delivery.to], request, KEY, vote.clone(), now);
            if without == Without::SingleVote {
                proposer_state.on_reply(NAMES[(delivery.to + 1) % NAMES.len()], request, KEY, vote, now);
            }
        })?;
        let proposer = &mut self.proposers[delivery.from];
        if is_rejected {
            proposer.is_backing_off = format!("{:?}", proposer.proposer_state.value).contains("BackingOff");
        }
        Ok(())
    }
}

impl wv_model_checker::Model for World {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (at, proposer) in self.proposers.iter().enumerate() {
            let operation = self.setup.requests[at].get(proposer.started).filter(|_| proposer.active.is_none());
            steps.extend(operation.map(|operation| Step::Start(at, *operation)));
            steps.extend((proposer.is_backing_off && self.backoffs > 0).then_some(Step::EndBackoff(at)));
            steps.extend((proposer.active.is_some() && self.crashes > 0).then_some(Step::Crash(at)));
        }
        for delivery in &self.deliveries {
            // Requests that neither change the disk nor produce a counted reply have no effect.
            let Some(changes_disk) = self.changes_disk(&delivery.value) else { continue };
            let (is_current, has_late_replies) = (self.is_current(&delivery.value), self.setup.has_late_replies);
            steps.extend((is_current && !has_late_replies).then(|| Step::Delivery(delivery.clone())));
            steps.extend((changes_disk || (is_current && has_late_replies)).then(|| Step::LoseReply(delivery.clone())));
        }
        let is_current = |reply: &&Rc<Hashed<DeliveredReply>>| self.is_current(&reply.value.delivery.value);
        steps.extend(self.replies.iter().filter(is_current).map(|reply| Step::Reply(reply.clone())));
        for at in 0..NAMES.len() {
            steps.extend((self.restarts > 0).then_some(Step::Restart(at)));
            steps.extend((self.disk_losses > 0).then_some(Step::LoseDisk(at)));
        }
        steps
    }

    fn apply(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Start(at, operation) => {
                let proposer = &mut self.proposers[*at];
                (proposer.started, proposer.active) =
                    (proposer.started + 1, Some((*operation, self.history.value.floor)));
                let (token, make) = (proposer.started as u64, self.setup.update);
                let update = match operation {
                    Request::Read => None,
                    Request::Write(number, content) => Some(make(*number, *content)),
                };
                self.turn(*at, |proposer_state, now| proposer_state.start(token, KEY, update, now))
            }
            Step::Delivery(delivery) => {
                let vote = self.deliver(&delivery.value)?;
                self.handle_reply(&delivery.value, vote)
            }
            Step::LoseReply(delivery) => {
                let vote = self.deliver(&delivery.value)?;
                let current = &delivery.value;
                let text =
                    format!("{:?}", (current.from, NAMES[current.to], current.requester, current.request, &vote));
                let reply = hashed(DeliveredReply { delivery: delivery.clone(), vote }, &DebugText(text));
                if self.setup.has_late_replies && self.replies.iter().all(|known| known.hashes != reply.hashes) {
                    self.replies.push(reply);
                }
                Ok(())
            }
            Step::Reply(reply) => self.handle_reply(&reply.value.delivery.value, reply.value.vote.clone()),
            Step::EndBackoff(at) => {
                self.backoffs -= 1;
                let proposer = &mut self.proposers[*at];
                proposer.is_backing_off = false;
                proposer.now = proposer.proposer_state.value.next_due_us().unwrap_or(proposer.now);
                self.turn(*at, |_, _| {})
            }
            Step::Crash(at) => {
                self.crashes -= 1;
                let without = self.setup.without;
                let proposer = &mut self.proposers[*at];
                (proposer.incarnation, proposer.active, proposer.is_backing_off) =
                    (proposer.incarnation + 1, None, false);
                proposer.proposer_state = hashed_proposer(new_proposer(*at, proposer.incarnation, without));
                Ok(())
            }
            Step::Restart(at) => {
                self.restarts -= 1;
                let Some(disk) = self.disks[*at].clone() else { return Ok(()) };
                let (mut store, files) = opened(&disk.value.files);
                if self.setup.without == Without::DurablePromise {
                    let mut state = store.state().cloned().unwrap_or_default();
                    state
                        .registers
                        .values_mut()
                        .for_each(|current_state| current_state.promised = current_state.accepted);
                    store.reset(state).expect("write succeeds");
                }
                self.disks[*at] = Some(closed(&store, files));
                Ok(())
            }
            Step::LoseDisk(at) => {
                self.disk_losses -= 1;
                let fresh = || {
                    let (mut store, files) = opened(&Default::default());
                    store.reset(StoreState::default()).expect("write succeeds");
                    closed(&store, files)
                };
                // A node without its disk comes back as a different member that votes in no set.
                self.disks[*at] = (self.setup.without == Without::NewMember).then(fresh);
                Ok(())
            }
        }
    }

    fn digest(&self, hasher: &mut dyn std::hash::Hasher) {
        for proposer in &self.proposers {
            let rest =
                (proposer.incarnation, proposer.started, &proposer.active, proposer.is_backing_off, &proposer.newest);
            wv_model_checker::hash_debug(&rest, hasher);
        }
        hasher.write(&[self.backoffs, self.crashes, self.restarts, self.disk_losses]);
        hasher.write_u64(self.history.hashes[0]);
        let in_order = |at: usize| {
            let mut hasher = std::hash::DefaultHasher::new();
            self.proposers.iter().for_each(|proposer| hasher.write_u64(proposer.proposer_state.hashes[at]));
            let mut disks = [0; 3];
            let hash = |disk: &Option<Rc<Hashed<_>>>| disk.as_ref().map_or(0, |disk| disk.hashes[0]);
            self.disks.iter().enumerate().for_each(|(voter, disk)| disks[ORDERS[at][voter]] = hash(disk));
            disks.iter().for_each(|disk| hasher.write_u64(*disk));
            // Unordered: the order in which messages were sent is irrelevant.
            hasher.write_u64(self.deliveries.iter().fold(0, |sum, delivery| sum ^ delivery.hashes[at]));
            hasher.write_u64(self.replies.iter().fold(0, |sum, reply| sum ^ reply.hashes[at]));
            hasher.finish()
        };
        hasher.write_u64((0..ORDERS.len()).map(in_order).min().unwrap_or(0));
    }
}
