//! A single attempt to read or update one register: collects the voters' replies and decides the next phase.
use wv_internal_protocol::{AcceptorState, Ballot, RegisterReply, RegisterRequest, RegisterValue, VoterSet};

/// Maps the current value to the value to write, or to `None` to leave the register unchanged.
pub type UpdateFn = Box<dyn Fn(&RegisterValue) -> Option<RegisterValue>>;

/// Number of low bits of a round that count rounds within a voter set; the bits above hold the set's number.
const ROUND_BITS: u32 = 40;

/// Returns the number of the voter set in which a ballot was proposed, or 0 for rounds that do not encode a set.
pub(crate) fn voter_set_number(ballot: Ballot) -> u64 {
    ballot.round >> ROUND_BITS
}

/// Returns a round lower than every round proposed in the voter set.
pub(crate) fn base_round(set: u64) -> u64 {
    set << ROUND_BITS
}

type SharedUpdateFn = std::rc::Rc<dyn Fn(&RegisterValue) -> Option<RegisterValue>>;

/// One caller's operation; it is a read if there is no update.
#[derive(Clone)]
pub(crate) struct Operation {
    pub token: u64,
    pub update: Option<SharedUpdateFn>,
    pub deadline: u64,
    /// The value that the update was applied to, and whether the update wrote a value.
    pub previous: RegisterValue,
    pub is_applied: bool,
}

impl std::fmt::Debug for Operation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {} {:?} {}", self.token, self.update.is_some(), self.previous, self.is_applied)
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Collects the accepted values of a majority without asking for promises.
    Reading,
    /// Asks a majority to promise to accept nothing below the ballot.
    Preparing,
    /// Asks a majority to accept the value.
    Accepting { value: RegisterValue },
    /// Another proposer interfered: waits for a random time before the next try.
    BackingOff { until: u64 },
}

/// What to do after a reply.
pub(crate) enum Transition {
    Wait,
    /// The value is accepted by a majority.
    Decided(Ballot, RegisterValue),
    /// Enter the next phase.
    Enter(Phase, Ballot),
    /// A voter has promised a higher ballot: retry with a ballot above it.
    Conflict,
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub ops: Vec<Operation>,
    pub request_id: u64,
    pub phase: Phase,
    pub ballot: Ballot,
    pub conflicts: u32,
    pub resend_at: u64,
    /// The newest state known to the proposer when the phase began; voters omit this value from their replies.
    pub known: AcceptorState,
    states: Vec<(String, AcceptorState)>,
    acks: Vec<String>,
}

impl Attempt {
    pub fn new(ops: Vec<Operation>, known: AcceptorState) -> Attempt {
        Attempt {
            ops,
            request_id: 0,
            phase: Phase::Reading,
            ballot: Ballot::default(),
            conflicts: 0,
            resend_at: 0,
            known,
            states: Vec::new(),
            acks: Vec::new(),
        }
    }

    pub fn is_read(&self) -> bool {
        self.ops.iter().all(|op| op.update.is_none())
    }

    /// Whether no conflict has occurred yet and none of this proposer's values has been proposed.
    pub fn is_first_round(&self) -> bool {
        self.conflicts == 0 && matches!(self.phase, Phase::Preparing)
    }

    /// Enters `phase` under a new request ID. Replies to earlier requests are discarded, except that voters known to
    /// hold the value of `ballot` already count as having accepted it.
    pub fn enter(&mut self, phase: Phase, ballot: Ballot, request_id: u64) {
        let has_value = |state: &&(String, AcceptorState)| state.1.accepted == ballot && ballot != Ballot::default();
        let is_repair = matches!((&self.phase, &phase), (Phase::Reading, Phase::Accepting { .. }));
        let acks = self.states.iter().filter(|state| is_repair && has_value(state)).map(|(voter, _)| voter.clone());
        self.acks = acks.collect();
        self.states.clear();
        (self.phase, self.ballot, self.request_id, self.resend_at) = (phase, ballot, request_id, 0);
    }

    /// Returns the request that `voter` has not answered in this phase.
    pub fn request_for(&self, voter: &str) -> Option<RegisterRequest> {
        let has_replied = || self.states.iter().any(|(known, _)| known == voter);
        match &self.phase {
            Phase::Reading => (!has_replied()).then_some(RegisterRequest::Read { known: self.known.accepted }),
            Phase::Preparing => {
                (!has_replied()).then_some(RegisterRequest::Prepare { ballot: self.ballot, known: self.known.accepted })
            }
            Phase::Accepting { value } => (!self.acks.iter().any(|known| known == voter))
                .then(|| RegisterRequest::Accept { ballot: self.ballot, value: value.clone() }),
            Phase::BackingOff { .. } => None,
        }
    }

    /// Handles a voter's reply.
    pub fn handle_reply(&mut self, voter: &str, reply: RegisterReply, voters: &VoterSet) -> Transition {
        let majority = voters.majority();
        match (&self.phase, reply) {
            (Phase::Reading | Phase::Preparing, RegisterReply::Current { accepted, value }) => {
                if self.states.iter().any(|(known, _)| known == voter) {
                    return Transition::Wait;
                }
                let value = value.unwrap_or_else(|| self.known.value.clone());
                self.states.push((voter.to_owned(), AcceptorState { promised: accepted, accepted, value }));
                if self.states.len() < majority {
                    return Transition::Wait;
                }
                if matches!(self.phase, Phase::Reading) {
                    self.finish_read(voters)
                } else {
                    self.finish_prepare(voters)
                }
            }
            (Phase::Accepting { value }, RegisterReply::Accepted) => {
                if !self.acks.iter().any(|known| known == voter) {
                    self.acks.push(voter.to_owned());
                }
                if self.acks.len() >= majority {
                    Transition::Decided(self.ballot, value.clone())
                } else {
                    Transition::Wait
                }
            }
            (Phase::Preparing | Phase::Accepting { .. }, RegisterReply::Rejected { .. }) => Transition::Conflict,
            _ => Transition::Wait,
        }
    }

    fn newest(&self) -> AcceptorState {
        let newest = |newest: AcceptorState, (_, state): &(String, AcceptorState)| {
            if state.is_newer_than(&newest) {
                state.clone()
            } else {
                newest
            }
        };
        self.states.iter().fold(AcceptorState::default(), newest)
    }

    /// A value that a majority accepted under the same ballot of the current set is decided. A value from an earlier
    /// set may have been copied during catch-up, below a promise, so a later proposal of that set may still surface. A
    /// register that was never written has nothing to lose.
    fn is_decided(&self, newest: &AcceptorState, voters: &VoterSet) -> bool {
        let matches_newest =
            |(_, state): &&(String, AcceptorState)| state.accepted == newest.accepted && state.value == newest.value;
        let is_empty = newest.value == RegisterValue::default() && newest.accepted == Ballot::default();
        (is_empty || voter_set_number(newest.accepted) == voters.number)
            && self.states.iter().filter(matches_newest).count() >= voters.majority()
    }

    fn finish_read(&mut self, voters: &VoterSet) -> Transition {
        let newest = self.newest();
        // A read returns only values held by a majority, otherwise a later reader could miss them.
        if self.is_decided(&newest, voters) {
            return Transition::Decided(newest.accepted, newest.value);
        }
        // A ballot is bound to one value, so any proposer may complete it without disturbing others. Values from an
        // earlier set, or from before ballots were introduced, need a new proposal in the current set.
        if voter_set_number(newest.accepted) != voters.number {
            return Transition::Enter(Phase::Preparing, Ballot::default());
        }
        Transition::Enter(Phase::Accepting { value: newest.value }, newest.accepted)
    }

    /// A majority has promised to accept nothing older, so any value that may have been decided is among the replies.
    fn finish_prepare(&mut self, voters: &VoterSet) -> Transition {
        let newest = self.newest();
        let mut value = newest.value.clone();
        for op in &mut self.ops {
            op.previous = value.clone();
            let updated = op.update.as_ref().and_then(|update| update(&value));
            op.is_applied = updated.is_some();
            value = updated.unwrap_or(value);
        }
        // No update changes the value and a majority already holds it: the accept phase is not needed.
        if value == newest.value && self.is_decided(&newest, voters) {
            return Transition::Decided(newest.accepted, value);
        }
        Transition::Enter(Phase::Accepting { value }, self.ballot)
    }
}
