//! The voter's side of the registers, and the quorum's traffic.
use crate::core::Core;
use wv_internal_protocol::{Ballot, Message, RegisterReply, RegisterRequest};

impl Core {
    /// What a voter of `set` here says to a step; nobody else says anything. Nor does a disk that fails: that is no
    /// vote at all, neither for nor against. A refusal would only make the proposer try again, and never end while
    /// the disk is full.
    pub(crate) fn vote(&mut self, set: u64, key: &str, step: &RegisterRequest) -> Option<RegisterReply> {
        (set > 0 && self.seat.votes_in(&self.address) == set && !key.starts_with(crate::core::LOCAL)).then_some(())?;
        let noted = |error: wv_consensus::RegError| log::error!("register {key} not kept: {error}");
        match step {
            RegisterRequest::Read { known } => Some(self.told(key, *known)),
            RegisterRequest::Prepare { ballot, known } => {
                self.quorum.see(*ballot);
                let is_promised = self.store.promise(key, *ballot).map_err(noted).ok()?;
                Some(if is_promised { self.told(key, *known) } else { self.refused(key) })
            }
            RegisterRequest::Accept { ballot, value: cell } => {
                self.quorum.see(*ballot);
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
            let out = self.quorum.take_out();
            if out.is_empty() {
                break;
            }
            for (voter, msg) in out {
                if voter != self.address {
                    self.send_peer(&voter, msg);
                    continue;
                }
                let Message::RegisterRequest { requester: asker, request, voter_set: set, key, step } = msg else {
                    continue;
                };
                let vote = self.vote(set, &key, &step);
                let me = self.address.clone();
                vote.into_iter().for_each(|vote| self.quorum.voted(&me, (asker, request), &key, vote, self.now));
            }
        }
        let done = self.quorum.take_done();
        done.into_iter().for_each(|done| self.quorum_done(done));
        self.arm();
    }

    /// Pauses between proposals are shorter than this node's turns.
    fn arm(&mut self) {
        let due = self.quorum.next_due().filter(|due| *due < self.now + crate::core::TICK_US);
        let is_armed = |due: &u64| self.next_wake > self.now && self.next_wake <= *due;
        if let Some(due) = due.filter(|due| !is_armed(due)) {
            self.next_wake = due.max(self.now + 1);
            self.actions.push(crate::Action::Wake { delay_us: self.next_wake - self.now });
        }
    }

    /// The time that was asked for is over.
    pub fn wake(&mut self, now: u64) {
        self.at(now);
        self.run_platform_calls();
        self.run_quorum();
    }
}
