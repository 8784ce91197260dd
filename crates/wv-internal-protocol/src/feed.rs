//! Updates that control nodes publish to access nodes.
use crate::{Instance, Leader, Owner, SlotMap};
use nanoserde::{DeBin, SerBin};

#[derive(SerBin, DeBin, Clone, PartialEq, Debug)]
pub enum FeedUpdate {
    /// A complete compressed configuration.
    Configuration {
        version: u64,
        body: Vec<u8>,
    },
    /// The difference from configuration `base` to `version`.
    ConfigurationDelta {
        base: u64,
        version: u64,
        delta: Vec<u8>,
    },
    Instance(Instance),
    Leader(Leader),
    /// Number of live access nodes, among which the connection limits are divided.
    NodeCount(u32),
    /// The platform was asked to promote a database; a writer is expected within `max_wait_us`.
    Promoting {
        service: String,
        id: String,
        max_wait_us: u64,
    },
    /// The access node that handles a shard's primary work.
    Owner(Owner),
    /// A database has recovered from its `outages`th recent outage, and its load is to rise gradually.
    SlowStart {
        id: String,
        outages: u32,
    },
    /// Slot assignment of a shard that is planned to be split.
    Slots(SlotMap),
}
