//! Splitting a shard while it serves: one machine per planned shard; events and time go in, orders come out.
//!
//! Every map that takes something from nodes is written after the shard's log has come to a newer term, and binds to
//! that term. A node that missed the map is left with connections that the database refuses writes on.
mod copy;
mod copying;
mod machine;
mod names;
mod raise;
mod show;
mod slots;
mod steps;

pub use copy::{Bounds, Copy, Outcome};
pub use machine::Split;
pub use names::{Names, CHUNKS, NAMES_MAX};
pub use slots::{held, moving};

use wv_internal_protocol::SlotMap;
use wv_wire_protocol::{ErrorCode, LogPosition};

/// What is planned for one shard.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Plan {
    pub shard: String,
    pub target: String,
    /// How many rows a second are copied at the most while the source serves all.
    pub pace: u32,
    /// Writes to what moves wait no longer than this in one try.
    pub seal_us: u64,
}

/// What the machine reads at each turn.
pub struct View<'a> {
    pub now: u64,
    pub epoch_us: u64,
    /// The key of this split is held here, and a majority is in fresh contact.
    pub is_holder: bool,
    pub plan: Option<&'a Plan>,
    /// The databases that lead source and target, with the terms told of them.
    pub source: Option<(&'a str, u64)>,
    pub target: Option<(&'a str, u64)>,
    /// Statements that the source's database works on at once.
    pub capacity: u32,
    /// A split is due or was requested, and until when it may run.
    pub wanted_until_us: Option<u64>,
    /// The slots that the shard was given at first.
    pub first: (u16, u16),
    /// The rows that the shard is thought to hold.
    pub rows: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub enum Side {
    Source,
    Target,
}

/// One statement's return.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Reply {
    pub rows: Vec<String>,
    pub code: Option<ErrorCode>,
    pub pos: Option<LogPosition>,
}

/// What the machine wants done; each but `Say` comes back as an event.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Order {
    /// Take the ballot, then read the map and the names.
    Claim,
    /// Write the map under the ballot, make sure that the ballot still stands, and only then tell everyone.
    Write(SlotMap),
    /// Run these texts one after the other on a connection of their own, up to the first that fails.
    Run {
        token: u64,
        side: Side,
        id: String,
        texts: Vec<String>,
    },
    Say(String),
}

/// What came of an order.
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// The map as it stands on a majority, and the names known; none where the ballot could not be had.
    Claimed(Option<(Option<SlotMap>, Names)>),
    /// The map as written, with its number; none where another holds the ballot.
    Written(Option<SlotMap>),
    /// The replies up to the first that failed; none where the connection did not stand.
    Ran { token: u64, replies: Option<Vec<Reply>> },
    /// Things that a node is about to write to.
    Marks { node: String, marks: wv_internal_protocol::DirtyKeys },
}
