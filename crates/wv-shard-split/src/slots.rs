//! Which slots a shard holds, and which of them a split moves.
use wv_internal_protocol::{SlotMap, SlotRange};

/// The initial slots that the shard still holds; splits move slots from the upper end.
pub fn held_slots(initial: (u16, u16), moved: &[SlotRange]) -> (u16, u16) {
    let until = moved.iter().map(|range| range.from).min().unwrap_or(initial.1);
    (initial.0, until.min(initial.1))
}

/// The upper half of the slots held, or `None` if only one is left.
pub fn slots_to_move(initial: (u16, u16), map: &SlotMap, target: &str) -> Option<SlotRange> {
    let (from, until) = held_slots(initial, &map.moved);
    let half = from + (until.saturating_sub(from)).div_ceil(2);
    (half < until && half > from).then(|| SlotRange { from: half, until, target: target.to_owned() })
}
