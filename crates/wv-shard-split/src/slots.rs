//! Which slots a shard holds, and which of them a split moves.
use wv_internal_protocol::{SlotMap, SlotRange};

/// What is left of the slots that the shard was given at first: splits take them from the upper end.
pub fn held(first: (u16, u16), moved: &[SlotRange]) -> (u16, u16) {
    let until = moved.iter().map(|range| range.from).min().unwrap_or(first.1);
    (first.0, until.min(first.1))
}

/// The upper half of what is left; nothing where that is a single slot.
pub fn moving(first: (u16, u16), map: &SlotMap, target: &str) -> Option<SlotRange> {
    let (from, until) = held(first, &map.moved);
    let half = from + (until.saturating_sub(from)).div_ceil(2);
    (half < until && half > from).then(|| SlotRange { from: half, until, target: target.to_owned() })
}
