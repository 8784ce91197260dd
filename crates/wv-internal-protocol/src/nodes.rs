//! Access nodes as control nodes speak of them.
use nanoserde::{DeBin, SerBin};

/// A shard's owner, where it is reached, and the number of its ownership: the highest counts.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct Owner {
    pub service: String,
    pub node: String,
    pub place: String,
    pub number: u64,
}

/// An access node in session.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Session {
    pub node: String,
    /// Where other access nodes hand work over to it.
    pub place: String,
    /// Too young to be given anything, or on its way out.
    pub is_young: bool,
    pub is_leaving: bool,
}
