//! Results of operations on registers.
use wv_internal_protocol::{Ballot, RegisterValue};

#[derive(Clone, Debug, PartialEq)]
pub enum OperationOutcome {
    /// The value held by a majority.
    Read(RegisterValue),
    /// The update changed the register to this value, which is held by a majority. Updates decided in one proposal
    /// share it.
    Written(RegisterValue),
    /// The update left the register unchanged; this value is held by a majority.
    Unchanged(RegisterValue),
    /// No majority replied in time: the update may or may not have been applied.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    pub token: u64,
    pub key: String,
    pub outcome: OperationOutcome,
    /// The ballot of the outcome's value, and the value that the update was applied to.
    pub ballot: Ballot,
    pub previous: RegisterValue,
}

impl Completion {
    pub(crate) fn unknown(token: u64, key: &str) -> Completion {
        let (ballot, previous) = Default::default();
        Completion { token, key: key.to_owned(), outcome: OperationOutcome::Unknown, ballot, previous }
    }
}
