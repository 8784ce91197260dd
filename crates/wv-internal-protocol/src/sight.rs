//! How databases look from one node, and who leads.
use nanoserde::{DeBin, SerBin};

/// Who leads a service, as far as the control side knows; `term` 0 where only beats told it.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct Lead {
    pub service: String,
    pub id: String,
    pub term: u64,
}

/// How a database looks from one node.
#[derive(SerBin, DeBin, Clone, Copy, PartialEq, Eq, Debug)]
pub enum Sight {
    Up,
    Refused,
    Dark,
    /// It has work and says nothing; not yet looked at.
    Silent,
    /// This node has no view of it any more.
    Unseen,
}

/// One node's word on one database; `since_us` says how long the sighting has stood. Good words are told once and
/// stand until they change; bad ones, and those on who leads, are told again and again.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug)]
pub struct Sighting {
    pub id: String,
    pub sight: Sight,
    pub since_us: u64,
    /// How long ago anything came from it, `u64::MAX` where nothing did.
    pub heard_ago_us: u64,
    /// The newest place in a primary's log this node saw under a fence, as `TERM.NUMBER`.
    pub fenced: String,
    /// How long ago the statement that showed it was sent.
    pub fenced_ago_us: u64,
}
