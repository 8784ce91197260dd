//! Hash-slot maps of shards that are to be split, and the reports that nodes send about these shards.
use nanoserde::{DeBin, SerBin};

/// Number of hash slots of a shard.
pub const SLOT_COUNT: u16 = 1024;

/// Returns the non-empty part of the key between the first `{` and the next `}`, or the whole key if there is none.
fn hash_tag(key: &[u8]) -> &[u8] {
    let inner = key.iter().position(|byte| *byte == b'{').and_then(|start| {
        let rest = &key[start + 1..];
        rest.iter().position(|byte| *byte == b'}').map(|end| &rest[..end])
    });
    inner.filter(|inner| !inner.is_empty()).unwrap_or(key)
}

/// Keys with the same hash tag share a slot, so that a transaction can use them together.
pub fn slot_for_key(key: &[u8]) -> u16 {
    (crc32fast::hash(hash_tag(key)) % u32::from(SLOT_COUNT)) as u16
}

/// The hash slots `from` (inclusive) to `until` (exclusive) that are, or will be, at `target`.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct SlotRange {
    pub from: u16,
    pub until: u16,
    pub target: String,
}

impl SlotRange {
    pub fn contains(&self, slot: u16) -> bool {
        (self.from..self.until).contains(&slot)
    }
}

/// Variant names are part of the status output for operators.
#[derive(SerBin, DeBin, Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum SplitPhase {
    /// No split is in progress.
    #[default]
    Resting,
    /// Rows are copied while the source serves; nodes report the keys they write.
    Copying,
    /// Writes to the moving slots wait while the last rows are copied.
    Sealed,
}

/// Assignment of a shard's slots to services; the highest version is authoritative. The map is bound to one term of the
/// shard's log: a node sends primary work only over connections whose database reported exactly this term.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct SlotMap {
    pub shard: String,
    pub version: u64,
    /// 0 until the map of a new plan is bound to a term.
    pub term: u64,
    pub phase: SplitPhase,
    pub moving: Option<SlotRange>,
    /// The target's term under which copied rows are written.
    pub target_term: u64,
    pub moved: Vec<SlotRange>,
    /// The terms that the source and the target must leave, 0 for none.
    pub superseded_term: u64,
    pub superseded_target_term: u64,
    /// Deadline of the attempt, in microseconds since the Unix epoch.
    pub deadline_us: u64,
    /// Number of the current attempt; reports of dirty keys are valid for one attempt.
    pub attempt: u64,
    /// When slots last moved, and the number of attempts so far.
    pub last_moved_us: u64,
    pub attempt_count: u32,
}

impl SlotMap {
    /// Whether the map of a new plan waits for the promotion that ends the writes of nodes without the plan.
    pub fn is_awaiting_first_term(&self) -> bool {
        self.superseded_term > 0 && self.moving.is_none()
    }

    pub fn is_moving(&self, slot: u16) -> bool {
        self.moving.as_ref().is_some_and(|range| range.contains(slot))
    }

    /// Returns the service that has the slot according to this map.
    pub fn service_for(&self, slot: u16) -> &str {
        self.moved.iter().find(|range| range.contains(slot)).map_or(self.shard.as_str(), |range| range.target.as_str())
    }
}

/// Keys that a node writes, or has written, while they are being copied; reported before the write is sent.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct DirtyKeys {
    pub shard: String,
    /// The split attempt, and the incarnation of the reporting node.
    pub attempt: u64,
    pub incarnation: u64,
    pub serial: u64,
    pub keys: Vec<Vec<u8>>,
    /// The node sends no further writes to the moving slots.
    pub is_last: bool,
}

/// A sampled key: its hash, its slot, and the size of the largest row written to it.
#[derive(SerBin, DeBin, Clone, Copy, PartialEq, Eq, Debug)]
pub struct KeySample {
    pub hash: u64,
    pub slot: u16,
    pub bytes: u32,
}

/// A report by a node or an operator about a shard with a split plan: sampled keys, and names of keys stored there.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct ShardReport {
    pub shard: String,
    /// The incarnation of the reporting node.
    pub incarnation: u64,
    pub serial: u64,
    pub samples: Vec<KeySample>,
    pub keys: Vec<Vec<u8>>,
}
