//! One attempt at one register: what voters have said so far, and what follows from it.
use wv_internal_protocol::{AcceptorState, Ballot, RegisterReply, RegisterRequest, RegisterValue, VoterSet};

/// What a caller makes of what stands: a cell to write in its place, or none to leave it.
pub type Edit = Box<dyn Fn(&RegisterValue) -> Option<RegisterValue>>;

/// Rounds of one set; those of a later set are all above them.
const ROUNDS: u32 = 40;

/// The set in which a ballot was proposed; 0 for those from before rounds told it.
pub(crate) fn set_of(ballot: Ballot) -> u64 {
    ballot.round >> ROUNDS
}

/// The round below all of the set.
pub(crate) fn first_round(set: u64) -> u64 {
    set << ROUNDS
}

/// An edit that copies of an attempt share.
type Shared = std::rc::Rc<dyn Fn(&RegisterValue) -> Option<RegisterValue>>;

/// One caller's wish: a read where there is no edit.
#[derive(Clone)]
pub(crate) struct Op {
    pub token: u64,
    pub edit: Option<Shared>,
    pub limit: u64,
    /// What stood before the edit, and whether the edit changed it.
    pub before: RegisterValue,
    pub is_ours: bool,
}

impl std::fmt::Debug for Op {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "{} {} {:?} {}", self.token, self.edit.is_some(), self.before, self.is_ours)
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Copies are compared; nothing is promised.
    Looking,
    /// A majority is to take nothing below the ballot.
    Preparing,
    /// A majority is to keep the cell.
    Accepting { cell: RegisterValue },
    /// Another proposer was met: after a pause of random length it is tried again.
    Pausing { until: u64 },
}

/// What is to be done next.
pub(crate) enum Next {
    Wait,
    /// The register holds this, on a majority.
    Decided(Ballot, RegisterValue),
    /// Begin the next phase.
    Turn(Phase, Ballot),
    /// More was promised elsewhere: try above it.
    Met,
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub ops: Vec<Op>,
    pub request: u64,
    pub phase: Phase,
    pub ballot: Ballot,
    pub tries: u32,
    pub resend: u64,
    /// The newest copy that the asker had when the phase began; voters do not send that again.
    pub known: AcceptorState,
    copies: Vec<(String, AcceptorState)>,
    acks: Vec<String>,
}

impl Attempt {
    pub fn new(ops: Vec<Op>, known: AcceptorState) -> Attempt {
        Attempt {
            ops,
            request: 0,
            phase: Phase::Looking,
            ballot: Ballot::default(),
            tries: 0,
            resend: 0,
            known,
            copies: Vec::new(),
            acks: Vec::new(),
        }
    }

    pub fn is_read(&self) -> bool {
        self.ops.iter().all(|op| op.edit.is_none())
    }

    /// Whether no other proposer has been met yet, and none of our cells was proposed.
    pub fn is_first_round(&self) -> bool {
        self.tries == 0 && matches!(self.phase, Phase::Preparing)
    }

    /// Begins `phase` under `request`; what was said before counts no more, but for copies that hold the cell already.
    pub fn turn(&mut self, phase: Phase, ballot: Ballot, request: u64) {
        let has_it = |copy: &&(String, AcceptorState)| copy.1.accepted == ballot && ballot != Ballot::default();
        let is_repair = matches!((&self.phase, &phase), (Phase::Looking, Phase::Accepting { .. }));
        let acks = self.copies.iter().filter(|copy| is_repair && has_it(copy)).map(|(voter, _)| voter.clone());
        self.acks = acks.collect();
        self.copies.clear();
        (self.phase, self.ballot, self.request, self.resend) = (phase, ballot, request, 0);
    }

    /// What `voter` is still to be asked in this phase.
    pub fn step(&self, voter: &str) -> Option<RegisterRequest> {
        let has_copy = || self.copies.iter().any(|(known, _)| known == voter);
        match &self.phase {
            Phase::Looking => (!has_copy()).then_some(RegisterRequest::Read { known: self.known.accepted }),
            Phase::Preparing => {
                (!has_copy()).then_some(RegisterRequest::Prepare { ballot: self.ballot, known: self.known.accepted })
            }
            Phase::Accepting { cell } => (!self.acks.iter().any(|known| known == voter))
                .then(|| RegisterRequest::Accept { ballot: self.ballot, value: cell.clone() }),
            Phase::Pausing { .. } => None,
        }
    }

    /// Takes a vote in.
    pub fn hear(&mut self, voter: &str, vote: RegisterReply, voters: &VoterSet) -> Next {
        let majority = voters.majority();
        match (&self.phase, vote) {
            (Phase::Looking | Phase::Preparing, RegisterReply::Current { accepted, value: cell }) => {
                if self.copies.iter().any(|(known, _)| known == voter) {
                    return Next::Wait;
                }
                let cell = cell.unwrap_or_else(|| self.known.value.clone());
                self.copies.push((voter.to_owned(), AcceptorState { promised: accepted, accepted, value: cell }));
                if self.copies.len() < majority {
                    return Next::Wait;
                }
                if matches!(self.phase, Phase::Looking) {
                    self.looked(voters)
                } else {
                    self.prepared(voters)
                }
            }
            (Phase::Accepting { cell }, RegisterReply::Accepted) => {
                if !self.acks.iter().any(|known| known == voter) {
                    self.acks.push(voter.to_owned());
                }
                if self.acks.len() >= majority {
                    Next::Decided(self.ballot, cell.clone())
                } else {
                    Next::Wait
                }
            }
            (Phase::Preparing | Phase::Accepting { .. }, RegisterReply::Rejected { .. }) => Next::Met,
            _ => Next::Wait,
        }
    }

    fn newest(&self) -> AcceptorState {
        let newest = |best: AcceptorState, (_, copy): &(String, AcceptorState)| {
            if copy.is_newer_than(&best) {
                copy.clone()
            } else {
                best
            }
        };
        self.copies.iter().fold(AcceptorState::default(), newest)
    }

    /// A copy of this set that a majority holds alike is decided. One of an earlier set may have come by taking over,
    /// below a promise: a later proposal of that set may still turn up. Where nobody wrote, there is nothing to undo.
    fn is_agreed(&self, newest: &AcceptorState, voters: &VoterSet) -> bool {
        let is_same =
            |(_, copy): &&(String, AcceptorState)| copy.accepted == newest.accepted && copy.value == newest.value;
        let is_empty = newest.value == RegisterValue::default() && newest.accepted == Ballot::default();
        (is_empty || set_of(newest.accepted) == voters.number)
            && self.copies.iter().filter(is_same).count() >= voters.majority()
    }

    fn looked(&mut self, voters: &VoterSet) -> Next {
        let newest = self.newest();
        // Nothing is shown before a majority holds it, else a later reader could miss it.
        if self.is_agreed(&newest, voters) {
            return Next::Decided(newest.accepted, newest.value);
        }
        // A ballot has one cell for ever, so whoever sees it may help it along; nobody's proposal is disturbed by that.
        // Copies of an earlier set, or from before there were ballots, need a proposal in this one.
        if set_of(newest.accepted) != voters.number {
            return Next::Turn(Phase::Preparing, Ballot::default());
        }
        Next::Turn(Phase::Accepting { cell: newest.value }, newest.accepted)
    }

    /// A majority takes nothing older any more: what may have been decided is among what it told.
    fn prepared(&mut self, voters: &VoterSet) -> Next {
        let newest = self.newest();
        let mut cell = newest.value.clone();
        for op in &mut self.ops {
            op.before = cell.clone();
            let edited = op.edit.as_ref().and_then(|edit| edit(&cell));
            op.is_ours = edited.is_some();
            cell = edited.unwrap_or(cell);
        }
        // Nobody changes anything and a majority holds it already: no second round.
        if cell == newest.value && self.is_agreed(&newest, voters) {
            return Next::Decided(newest.accepted, cell);
        }
        Next::Turn(Phase::Accepting { cell }, self.ballot)
    }
}
