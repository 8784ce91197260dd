use crate::{Seat, Silent, Word};
use std::collections::BTreeMap;
use wv_wire::Pos;

/// A sighting of the primary must be younger than a replica's refusal by this much before it proves anything.
const MARGIN_US: u64 = 500_000;

#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// This one has received everything that may have been acknowledged.
    Nominee(String),
    /// A replica could hold an acknowledged commit that the best one lacks.
    Blocked,
}

/// The highest received place among `rows` leads on, unless a replica that gave no row may know more.
pub fn nominate(
    seats: &[Seat],
    lead: Option<&str>,
    rows: &BTreeMap<String, Word>,
    sync_replicas: u32,
    fenced: Option<(u64, Pos)>,
) -> Verdict {
    let best = rows
        .iter()
        .filter_map(|(id, status)| status.ok().map(|status| (id, status.received)))
        .filter(|(id, _)| seats.iter().any(|seat| seat.id == **id && !seat.is_draining))
        .max_by_key(|(id, received)| (*received, std::cmp::Reverse(id.as_str())));
    let Some((id, received)) = best else { return Verdict::Blocked };
    let is_behind = rows.values().flatten().any(|status| status.received > received);
    // A draining replica that received more keeps the rest waiting until the others caught up.
    if is_behind && sync_replicas > 0 {
        return Verdict::Blocked;
    }
    let is_silent = |seat: &&Seat| Some(seat.id.as_str()) != lead && rows.get(&seat.id).is_none_or(Result::is_err);
    // Still refused, and refused since before a fenced sighting of the primary that the best one has reached: all that was
    // acknowledged before stands there, and nothing since can have been acknowledged by one that was down.
    let is_harmless = |seat: &Seat| {
        let is_refused = rows.get(&seat.id) == Some(&Err(Silent::Refused));
        is_refused
            && seat.refused_us.is_some_and(|refused| {
                fenced.is_some_and(|(ago, place)| refused > ago.saturating_add(MARGIN_US) && received >= place)
            })
    };
    if sync_replicas > 0 && seats.iter().filter(is_silent).any(|seat| !is_harmless(seat)) {
        return Verdict::Blocked;
    }
    Verdict::Nominee(id.clone())
}
