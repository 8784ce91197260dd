//! Consensus messages for registers: each value is agreed on by a majority of control nodes, ballot by ballot.
use nanoserde::{DeBin, SerBin};

/// A versioned register value. The tie breaker is derived from the bytes.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct RegisterValue {
    pub version: u64,
    pub tie_breaker: u32,
    pub bytes: Vec<u8>,
}

/// Orders the proposals for one register. `proposer` is random for each incarnation of a process and `round` increases
/// within it, so no two proposals share a ballot. The default is lower than every proposal's ballot.
#[derive(SerBin, DeBin, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Ballot {
    pub round: u64,
    pub proposer: u64,
}

/// A voter's state for one register: the lowest ballot it may still accept, and the last accepted ballot and value.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct AcceptorState {
    pub promised: Ballot,
    pub accepted: Ballot,
    pub value: RegisterValue,
}

impl AcceptorState {
    /// Compares by ballot, then by version: copies written before ballots were introduced all have the default ballot.
    pub fn is_newer_than(&self, other: &AcceptorState) -> bool {
        let rank = |state: &AcceptorState| (state.accepted, state.value.version, state.value.tie_breaker);
        rank(self) > rank(other)
    }
}

/// A proposer's request to a voter.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug)]
pub enum RegisterRequest {
    /// Reads the accepted value without a promise. `known` is the ballot of a value that the proposer already has.
    Read { known: Ballot },
    /// Asks for a promise to accept nothing below `ballot`, and for the accepted value.
    Prepare { ballot: Ballot, known: Ballot },
    /// Asks the voter to accept `value`, unless it has promised a higher ballot.
    Accept { ballot: Ballot, value: RegisterValue },
}

/// A voter's reply to a [`RegisterRequest`].
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug)]
pub enum RegisterReply {
    /// Replies to `Read` and `Prepare`; `value` is omitted if the proposer already has the one of `accepted`.
    Current {
        accepted: Ballot,
        value: Option<RegisterValue>,
    },
    Accepted,
    /// The voter has already promised a higher ballot.
    Rejected {
        promised: Ballot,
    },
}
