use crate::{Database, Silent, StatusReply};
use std::collections::BTreeMap;
use wv_wire_protocol::LogPosition;

/// A sighting of the primary must be younger than a replica's refusal by this much before it proves anything.
const MARGIN_US: u64 = 500_000;

#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Choice {
    /// This one has received everything that may have been acknowledged.
    Candidate(String),
    /// A replica could hold an acknowledged commit that the best one lacks.
    Blocked(Obstacle),
}

/// What keeps every database of a service from being named to the platform.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Obstacle {
    /// None that may lead has given its row.
    NoCandidate,
    /// `ahead` has received more than `candidate`.
    Behind { candidate: String, received: LogPosition, ahead: String, ahead_received: LogPosition },
    /// `replica` gave no row, and could hold what `candidate` lacks.
    Silent { candidate: String, replica: String, reply: Option<Silent> },
}

impl std::fmt::Display for Obstacle {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Obstacle::NoCandidate => write!(out, "no replica that may lead gave its row"),
            Obstacle::Behind { candidate, received, ahead, ahead_received } => {
                write!(out, "{candidate} has received {received}, {ahead} {ahead_received}")
            }
            Obstacle::Silent { candidate, replica, reply } => {
                write!(out, "{replica} gives no row ({reply:?}) and could hold what {candidate} lacks")
            }
        }
    }
}

/// The highest received place among `rows` leads on, unless a replica that gave no row may know more.
pub fn choose_candidate(
    databases: &[Database],
    lead: Option<&str>,
    rows: &BTreeMap<String, StatusReply>,
    sync_replicas: u32,
    fenced: Option<(u64, LogPosition)>,
    is_lead_down: bool,
) -> Choice {
    let furthest = |may_drain: bool| {
        rows.iter()
            .filter_map(|(id, status)| status.ok().map(|status| (id, status.received)))
            .filter(|(id, _)| {
                let is_fit = |database: &Database| {
                    database.id == **id && database.left.is_none() && (may_drain || !database.is_draining)
                };
                databases.iter().any(is_fit)
            })
            .max_by_key(|(id, received)| (*received, std::cmp::Reverse(id.as_str())))
    };
    let is_behind = |best: &(&String, LogPosition)| {
        sync_replicas > 0 && rows.values().flatten().any(|status| status.received > best.1)
    };
    // A draining replica that received more keeps the rest waiting until the others caught up. From a lead that is
    // down they never will: then it leads itself, and is replaced as any lead that drains.
    let best = furthest(false)
        .filter(|best| !is_behind(best))
        .or_else(|| is_lead_down.then(|| furthest(true)).flatten().filter(|best| !is_behind(best)));
    let Some((id, received)) = best else { return Choice::Blocked(behind(furthest(false), rows)) };
    let is_silent =
        |database: &&Database| Some(database.id.as_str()) != lead && rows.get(&database.id).is_none_or(Result::is_err);
    // Still refused, and refused since before a fenced sighting of the primary that the best one has reached: all that was
    // acknowledged before stands there, and nothing since can have been acknowledged by one that was down.
    let is_harmless = |database: &Database| {
        // Who took over the place of one that left has its log, and has told what stands in it.
        let heir = database.left.as_ref().and_then(|left| left.heir.as_ref());
        if heir.and_then(|heir| rows.get(heir)).is_some_and(Result::is_ok) {
            return true;
        }
        // To say that one leaves is not to end: it may go on receiving for many seconds.
        let refused = match &database.left {
            Some(left) => left.ended_us,
            None => database.refused_us.filter(|_| rows.get(&database.id) == Some(&Err(Silent::Refused))),
        };
        refused.is_some_and(|refused| {
            fenced.is_some_and(|(ago, place)| refused > ago.saturating_add(MARGIN_US) && received >= place)
        })
    };
    let silent =
        databases.iter().filter(|_| sync_replicas > 0).filter(is_silent).find(|database| !is_harmless(database));
    if let Some(database) = silent {
        let reply = rows.get(&database.id).and_then(|reply| reply.err());
        return Choice::Blocked(Obstacle::Silent { candidate: id.clone(), replica: database.id.clone(), reply });
    }
    Choice::Candidate(id.clone())
}

/// Why the best of those that may lead is not good enough.
fn behind(best: Option<(&String, LogPosition)>, rows: &BTreeMap<String, StatusReply>) -> Obstacle {
    let received = |(id, reply): (&String, &StatusReply)| reply.ok().map(|status| (status.received, id.clone()));
    let furthest = rows.iter().filter_map(received).max();
    match (best, furthest) {
        (Some((candidate, received)), Some((ahead_received, ahead))) => {
            Obstacle::Behind { candidate: candidate.clone(), received, ahead, ahead_received }
        }
        _ => Obstacle::NoCandidate,
    }
}
