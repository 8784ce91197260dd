//! Online shard splits: one state machine per planned shard, driven by events and time, that emits commands.
//!
//! Every slot map that revokes access is written after the shard's log has reached a newer term, and is bound to that
//! term. A node that missed the map holds only connections on which the database rejects writes.
mod copy_states;
mod key_list;
mod key_names;
mod row_copier;
mod slots;
mod split;
mod state;
mod status;
mod term_probe;
mod transitions;

pub use key_list::{decode_key_list, encode_key_list};
pub use key_names::{KeyNames, MAX_NAMES, NAME_CHUNKS};
pub use row_copier::{CopyContext, CopyOutcome, RowCopier};
pub use slots::{held_slots, slots_to_move};
pub use split::Split;

use wv_internal_protocol::SlotMap;
use wv_wire_protocol::{ErrorCode, LogPosition};

/// The configured split of one shard.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Plan {
    pub shard: String,
    pub target: String,
    /// Maximum copy rate before the moving slots are sealed.
    pub max_rows_per_s: u32,
    /// Maximum time that writes to moving slots are held back in one attempt.
    pub seal_timeout_us: u64,
}

/// Inputs to the state machine, read at each event.
pub struct View<'a> {
    pub now_us: u64,
    pub epoch_us: u64,
    /// Whether this node holds the split duty and is in contact with a majority.
    pub is_holder: bool,
    pub plan: Option<&'a Plan>,
    /// The primaries of source and target with their reported terms.
    pub source_leader: Option<(&'a str, u64)>,
    pub target_leader: Option<(&'a str, u64)>,
    /// Number of statements that the source's primary executes concurrently.
    pub capacity: u32,
    /// The time until which a due or requested split may run.
    pub deadline_us: Option<u64>,
    /// The slots that the shard started with.
    pub initial_slots: (u16, u16),
    pub estimated_rows: u64,
    /// Whether no configuration preceded the one in force, so that every access node knows the plan.
    pub is_first_configuration: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub enum Side {
    Source,
    Target,
}

/// The reply to one statement.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Reply {
    pub rows: Vec<Vec<u8>>,
    pub code: Option<ErrorCode>,
    pub position: Option<LogPosition>,
}

/// An action to perform; each but `Log` is answered by an event.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Command {
    /// Acquire the ballot, then read the slot map and the key names.
    Claim,
    /// Write the map under the ballot, confirm that the ballot is still held, and only then publish the map.
    Write(SlotMap),
    /// Run the statements in order on a dedicated connection, stopping at the first that fails.
    Run {
        token: u64,
        side: Side,
        id: String,
        statements: Vec<Vec<u8>>,
    },
    Log(String),
}

/// An input to the state machine, most of them results of commands.
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// The map stored on a majority and the known key names; `None` if the ballot was not acquired.
    Claimed(Option<(Option<SlotMap>, KeyNames)>),
    /// The written map with its version; `None` if the ballot was lost.
    Written(Option<SlotMap>),
    /// The replies up to the first failed statement; `None` if the connection failed or the last outcome is unknown.
    StatementsRun { token: u64, replies: Option<Vec<Reply>> },
    /// Keys that a node is about to write.
    WriteMarks { node: String, marks: wv_internal_protocol::DirtyKeys },
}
