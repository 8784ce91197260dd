//! Access node sessions and shard ownership.
use nanoserde::{DeBin, SerBin};

/// The access node that owns a shard. The entry with the highest epoch is valid.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct Owner {
    pub service: String,
    pub node: String,
    pub forwarding_address: String,
    pub epoch: u64,
}

/// An access node that has a session with a control node.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Session {
    pub node: String,
    /// Address at which the node accepts sessions forwarded by other access nodes.
    pub forwarding_address: String,
    /// The session is too recent for the node to own a shard.
    pub is_new: bool,
    pub is_leaving: bool,
}
