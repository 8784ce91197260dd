//! Slot maps of shards that are planned to be split, and what nodes report of such shards.
use nanoserde::{DeBin, SerBin};

/// How many hash slots a shard has before it is ever split.
pub const SLOTS: u16 = 1024;

/// What counts for the slot: what stands between the first `{` and the `}` after it, if anything does.
fn tag(thing: &[u8]) -> &[u8] {
    let inner = thing.iter().position(|byte| *byte == b'{').and_then(|start| {
        let rest = &thing[start + 1..];
        rest.iter().position(|byte| *byte == b'}').map(|end| &rest[..end])
    });
    inner.filter(|inner| !inner.is_empty()).unwrap_or(thing)
}

/// Things with one tag share a slot, so that one transaction's things can stay together.
pub fn slot(thing: &[u8]) -> u16 {
    (crc32fast::hash(tag(thing)) % u32::from(SLOTS)) as u16
}

/// Hash slots `from` (with) to `until` (without) that stand or are to stand at `target`.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct Range {
    pub from: u16,
    pub until: u16,
    pub target: String,
}

impl Range {
    pub fn holds(&self, slot: u16) -> bool {
        (self.from..self.until).contains(&slot)
    }
}

/// How far a split is.
#[derive(SerBin, DeBin, Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Phase {
    /// Nothing is under way.
    #[default]
    Resting,
    /// Rows are copied while the source serves; nodes mark what they write to.
    Copying,
    /// Writes to what moves wait; the last copies are made.
    Sealed,
}

/// Where the slots of a shard stand. The highest number counts. It binds to one term of the shard's log: a node that
/// holds it sends primary work only over connections whose database said that it is in just this term.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct SlotMap {
    pub shard: String,
    pub number: u64,
    /// 0: not bound yet, since the plan is young.
    pub term: u64,
    pub phase: Phase,
    pub moving: Option<Range>,
    /// The target's term under which copies are written.
    pub target_term: u64,
    pub moved: Vec<Range>,
    /// The terms that the source and the target are to leave behind, 0 for none.
    pub raise: u64,
    pub raise_target: u64,
    /// Until when it may go on, in microseconds since the epoch.
    pub until_us: u64,
    /// Which try this is: marks are made for one try.
    pub attempt: u64,
    /// When the last slots moved, and how many tries it has taken.
    pub moved_us: u64,
    pub tries: u32,
}

impl SlotMap {
    /// Whether a write to this slot is part of what moves.
    pub fn is_moving(&self, slot: u16) -> bool {
        self.moving.as_ref().is_some_and(|range| range.holds(slot))
    }

    /// Which service has the slot, as this map tells.
    pub fn place(&self, slot: u16) -> &str {
        self.moved.iter().find(|range| range.holds(slot)).map_or(self.shard.as_str(), |range| range.target.as_str())
    }
}

/// Things that a node writes to, or has written to, while they are being copied; told before the write is sent.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct Marks {
    pub shard: String,
    /// The try for which they were made, and the life of the node that made them.
    pub attempt: u64,
    pub life: u64,
    pub serial: u64,
    pub names: Vec<String>,
    /// The node sends no more writes to what moves, and these were its last.
    pub is_last: bool,
}

/// One sampled thing: its hash, its slot, and the largest row that was written to it.
#[derive(SerBin, DeBin, Clone, Copy, PartialEq, Eq, Debug)]
pub struct Entry {
    pub hash: u64,
    pub slot: u16,
    pub bytes: u32,
}

/// What a node, or an operator, tells of a planned shard: sampled things, and names of things that stand there.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct Fill {
    pub shard: String,
    /// The life of the node that made it.
    pub life: u64,
    pub serial: u64,
    pub entries: Vec<Entry>,
    pub names: Vec<String>,
}
