//! The voter side of register operations, and transport for the proposer.
use crate::core::Core;
use wv_internal_protocol::{Ballot, Message, RegisterReply, RegisterRequest};

impl Core {
    /// Answers a register step if this node votes in `set`. A disk error yields no answer: a rejection would make the
    /// proposer retry for as long as the disk is full.
    pub(crate) fn answer_register_step(
        &mut self,
        set: u64,
        key: &str,
        step: &RegisterRequest,
    ) -> Option<RegisterReply> {
        (set > 0
            && self.voter_state.voting_set(&self.address) == set
            && !key.starts_with(crate::core::LOCAL_KEY_PREFIX))
        .then_some(())?;
        let log_not_stored = |error: wv_consensus::RegisterError| {
            log::error!("cannot store register {key}, not replying to the proposer: {error}")
        };
        match step {
            RegisterRequest::Read { known } => Some(self.current_value(key, *known)),
            RegisterRequest::Prepare { ballot, known } => {
                self.proposer.observe_ballot(*ballot);
                let is_promised = self.store.promise(key, *ballot).map_err(log_not_stored).ok()?;
                Some(if is_promised { self.current_value(key, *known) } else { self.rejection(key) })
            }
            RegisterRequest::Accept { ballot, value: cell } => {
                self.proposer.observe_ballot(*ballot);
                let is_kept = self.store.accept(key, *ballot, cell).map_err(log_not_stored).ok()?;
                Some(if is_kept { RegisterReply::Accepted } else { self.rejection(key) })
            }
        }
    }

    /// The current value, omitted if the requester has it. Under the lowest ballot it is always sent: copies that
    /// predate ballots may differ.
    fn current_value(&self, key: &str, known: Ballot) -> RegisterReply {
        let state = self.store.get(key).cloned().unwrap_or_default();
        let is_known = state.accepted == known && known != Ballot::default();
        RegisterReply::Current { accepted: state.accepted, value: (!is_known).then_some(state.value) }
    }

    fn rejection(&self, key: &str) -> RegisterReply {
        let promised = self.store.get(key).map_or(Ballot::default(), |state| state.promised.max(state.accepted));
        RegisterReply::Rejected { promised }
    }

    /// Sends the proposer's messages, and handles completed operations.
    pub(crate) fn run_proposer(&mut self) {
        loop {
            // An operation that has advanced sends its next step at once instead of at the next tick.
            self.proposer.tick(self.now);
            let out = self.proposer.take_messages();
            if out.is_empty() {
                break;
            }
            for (voter, message) in out {
                if voter != self.address {
                    self.send_peer(&voter, message);
                    continue;
                }
                let Message::RegisterRequest { requester, request, voter_set: set, key, step } = message else {
                    continue;
                };
                let vote = self.answer_register_step(set, &key, &step);
                let me = self.address.clone();
                vote.into_iter()
                    .for_each(|vote| self.proposer.on_reply(&me, (requester, request), &key, vote, self.now));
            }
        }
        let completions = self.proposer.take_completions();
        completions.into_iter().for_each(|completion| self.on_operation_completed(completion));
        self.schedule_wake();
    }

    /// Schedules a wake-up for pauses between proposals that end before the next tick.
    fn schedule_wake(&mut self) {
        let due = self.proposer.next_due_us().filter(|due| *due < self.now + crate::core::TICK_US);
        let is_armed = |due: &u64| self.next_wake > self.now && self.next_wake <= *due;
        if let Some(due) = due.filter(|due| !is_armed(due)) {
            self.next_wake = due.max(self.now + 1);
            self.effects.push(crate::Effect::Wake { delay_us: self.next_wake - self.now });
        }
    }

    /// Called when a scheduled wake-up is due.
    pub fn wake(&mut self, now: u64) {
        self.advance_clock(now);
        self.run_platform_calls();
        self.run_proposer();
    }
}
