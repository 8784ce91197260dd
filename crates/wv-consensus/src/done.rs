//! What comes of an operation on a register.
use wv_internal_protocol::{Ballot, RegisterValue};

#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// What stands, on a majority.
    Read(RegisterValue),
    /// The edit changed the register; this stands now, on a majority. Edits that were made at once share it.
    Written(RegisterValue),
    /// The edit left it as it was; this stands, on a majority.
    Held(RegisterValue),
    /// No majority answered in time: the edit may have been made or not.
    Unsure,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Done {
    pub token: u64,
    pub key: String,
    pub outcome: Outcome,
    /// Under which ballot that stands, and what the edit was made of.
    pub accepted: Ballot,
    pub before: RegisterValue,
}

impl Done {
    pub(crate) fn unsure(token: u64, key: &str) -> Done {
        let (accepted, before) = Default::default();
        Done { token, key: key.to_owned(), outcome: Outcome::Unsure, accepted, before }
    }
}
