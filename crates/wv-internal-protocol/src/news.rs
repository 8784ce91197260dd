//! What the feed carries.
use crate::{Inst, Lead, Owner, SlotMap};
use nanoserde::{DeBin, SerBin};

/// One change that the feed carries.
#[derive(SerBin, DeBin, Clone, PartialEq, Debug)]
pub enum News {
    /// A whole configuration, packed.
    Conf {
        version: u64,
        body: Vec<u8>,
    },
    /// What makes it of the one before, for whoever holds that.
    ConfChange {
        base: u64,
        version: u64,
        change: Vec<u8>,
    },
    Inst(Inst),
    Lead(Lead),
    /// How many access nodes are live; pools share the connection bounds by it.
    Nodes(u32),
    /// The platform was called to promote: a writer is near, for at most this long.
    Promoting {
        service: String,
        id: String,
        us: u64,
    },
    /// Through which access node a shard's primary work goes.
    Owner(Owner),
    /// A database has come back from a fall, its `falls`th lately: all ease it in.
    Ease {
        id: String,
        falls: u32,
    },
    /// Where the slots of a planned shard stand.
    Slots(SlotMap),
}
