//! The voter's side of the registers, and the quorum's traffic.
use crate::core::Core;
use wv_internal_protocol::{Ballot, Message, RegisterReply, RegisterRequest};

impl Core {
    /// What a voter of `set` here says to a step; nobody else says anything. Nor does a disk that fails: that is no
    /// vote at all, neither for nor against. A refusal would only make the proposer try again, and never end while
    /// the disk is full.
    pub(crate) fn vote(&mut self, set: u64, key: &str, step: &RegisterRequest) -> Option<RegisterReply> {
        (set > 0 && self.seat.voting_set(&self.me) == set && !key.starts_with(crate::core::LOCAL_KEY_PREFIX))
            .then_some(())?;
        let noted = |error: wv_consensus::RegisterError| log::error!("register {key} not kept: {error}");
        match step {
            RegisterRequest::Read { known } => Some(self.told(key, *known)),
            RegisterRequest::Prepare { ballot, known } => {
                self.quorum.observe_ballot(*ballot);
                let is_promised = self.store.promise(key, *ballot).map_err(noted).ok()?;
                Some(if is_promised { self.told(key, *known) } else { self.refused(key) })
            }
            RegisterRequest::Accept { ballot, value: cell } => {
                self.quorum.observe_ballot(*ballot);
                let is_kept = self.store.accept(key, *ballot, cell).map_err(noted).ok()?;
                Some(if is_kept { RegisterReply::Accepted } else { self.refused(key) })
            }
        }
    }

    /// What is held here, without the cell where the asker has it. Copies of disks from before there were ballots are
    /// told whole: under the lowest ballot they may differ.
    fn told(&self, key: &str, known: Ballot) -> RegisterReply {
        let held = self.store.get(key).cloned().unwrap_or_default();
        let is_known = held.accepted == known && known != Ballot::default();
        RegisterReply::Current { accepted: held.accepted, value: (!is_known).then_some(held.value) }
    }

    fn refused(&self, key: &str) -> RegisterReply {
        let promised = self.store.get(key).map_or(Ballot::default(), |held| held.promised.max(held.accepted));
        RegisterReply::Rejected { promised }
    }

    /// Carries the quorum's messages and takes up what is done.
    pub(crate) fn run_quorum(&mut self) {
        loop {
            // Whatever moved on sends its next step at once, not at the next turn.
            self.quorum.tick(self.now);
            let out = self.quorum.take_messages();
            if out.is_empty() {
                break;
            }
            for (voter, msg) in out {
                if voter != self.me {
                    self.send_peer(&voter, msg);
                    continue;
                }
                let Message::RegisterRequest { requester: asker, request, voter_set: set, key, step } = msg else {
                    continue;
                };
                let vote = self.vote(set, &key, &step);
                let me = self.me.clone();
                vote.into_iter().for_each(|vote| self.quorum.on_reply(&me, (asker, request), &key, vote, self.now));
            }
        }
        let done = self.quorum.take_completions();
        done.into_iter().for_each(|done| self.quorum_done(done));
        self.arm();
    }

    /// Pauses between proposals are shorter than this node's turns.
    fn arm(&mut self) {
        let due = self.quorum.next_due_us().filter(|due| *due < self.now + crate::core::TURN_US);
        let is_armed = |due: &u64| self.armed > self.now && self.armed <= *due;
        if let Some(due) = due.filter(|due| !is_armed(due)) {
            self.armed = due.max(self.now + 1);
            self.acts.push(crate::Act::Wake { us: self.armed - self.now });
        }
    }

    /// The time that was asked for is over.
    pub fn wake(&mut self, now: u64) {
        self.at(now);
        self.run_calls();
        self.run_quorum();
    }
}
