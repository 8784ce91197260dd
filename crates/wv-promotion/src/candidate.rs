//! Chooses the database to promote.
use crate::{Database, StatusError, StatusReply};
use std::collections::BTreeMap;
use wv_wire_protocol::LogPosition;

/// A fenced position counts only if it is newer by this much than the start of a replica's refusal.
const REFUSAL_MARGIN_US: u64 = 500_000;

#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Choice {
    /// This database has received every commit that may have been acknowledged.
    Candidate(String),
    /// There is no candidate, or a database may hold an acknowledged commit that the best candidate lacks.
    Blocked(BlockedReason),
}

/// Why no database of a service can be promoted.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum BlockedReason {
    /// No eligible database returned its status.
    NoCandidate,
    /// `ahead` has received more than `candidate`.
    CandidateBehind { candidate: String, received: LogPosition, ahead: String, ahead_received: LogPosition },
    /// `replica` did not return its status and may hold commits that `candidate` lacks.
    ReplicaUnavailable { candidate: String, replica: String, error: Option<StatusError> },
}

impl std::fmt::Display for BlockedReason {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BlockedReason::NoCandidate => write!(out, "no eligible replica returned its status"),
            BlockedReason::CandidateBehind { candidate, received, ahead, ahead_received } => {
                write!(out, "candidate {candidate} has received up to {received}, but {ahead} up to {ahead_received}")
            }
            BlockedReason::ReplicaUnavailable { candidate, replica, error } => {
                write!(
                    out,
                    "replica {replica} returned no status ({error:?}) and may hold commits that {candidate} lacks"
                )
            }
        }
    }
}

/// Chooses the database with the highest received position, unless another one may have received more.
pub fn choose_candidate(
    databases: &[Database],
    leader: Option<&str>,
    statuses: &BTreeMap<String, StatusReply>,
    sync_replicas: u32,
    fenced_position: Option<(u64, LogPosition)>,
    is_leader_down: bool,
) -> Choice {
    let furthest = |may_drain: bool| {
        statuses
            .iter()
            .filter_map(|(id, status)| status.ok().map(|status| (id, status.received)))
            .filter(|(id, _)| {
                let is_eligible = |database: &Database| {
                    database.id == **id && database.departed.is_none() && (may_drain || !database.is_draining)
                };
                databases.iter().any(is_eligible)
            })
            .max_by_key(|(id, received)| (*received, std::cmp::Reverse(id.as_str())))
    };
    let is_behind = |best: &(&String, LogPosition)| {
        sync_replicas > 0 && statuses.values().flatten().any(|status| status.received > best.1)
    };
    // If a draining replica received more, wait until another one catches up. With the leader down that cannot happen,
    // so the draining replica is promoted itself and later replaced as any draining leader.
    let best = furthest(false)
        .filter(|best| !is_behind(best))
        .or_else(|| is_leader_down.then(|| furthest(true)).flatten().filter(|best| !is_behind(best)));
    let Some((id, received)) = best else { return Choice::Blocked(candidate_behind(furthest(false), statuses)) };
    let is_unavailable = |database: &&Database| {
        Some(database.id.as_str()) != leader && statuses.get(&database.id).is_none_or(Result::is_err)
    };
    // The replica went down before the time of a fenced position that the candidate has reached: the candidate has all
    // commits acknowledged until then, and the replica cannot have received later ones.
    let cannot_be_ahead = |database: &Database| {
        // The successor of a departed database has its log, so the status of the successor counts instead.
        let successor = database.departed.as_ref().and_then(|departed| departed.successor.as_ref());
        if successor.and_then(|successor| statuses.get(successor)).is_some_and(Result::is_ok) {
            return true;
        }
        // A departed database may keep receiving until it has stopped.
        let down_for_us = match &database.departed {
            Some(departed) => departed.stopped_for_us,
            None => database.refused_for_us.filter(|_| statuses.get(&database.id) == Some(&Err(StatusError::Refused))),
        };
        down_for_us.is_some_and(|down_for_us| {
            fenced_position.is_some_and(|(age_us, position)| {
                down_for_us > age_us.saturating_add(REFUSAL_MARGIN_US) && received >= position
            })
        })
    };
    let unavailable = databases
        .iter()
        .filter(|_| sync_replicas > 0)
        .filter(is_unavailable)
        .find(|database| !cannot_be_ahead(database));
    if let Some(database) = unavailable {
        let error = statuses.get(&database.id).and_then(|reply| reply.err());
        return Choice::Blocked(BlockedReason::ReplicaUnavailable {
            candidate: id.clone(),
            replica: database.id.clone(),
            error,
        });
    }
    Choice::Candidate(id.clone())
}

/// Why the best eligible database cannot be promoted.
fn candidate_behind(best: Option<(&String, LogPosition)>, statuses: &BTreeMap<String, StatusReply>) -> BlockedReason {
    let received = |(id, reply): (&String, &StatusReply)| reply.ok().map(|status| (status.received, id.clone()));
    let furthest = statuses.iter().filter_map(received).max();
    match (best, furthest) {
        (Some((candidate, received)), Some((ahead_received, ahead))) => {
            BlockedReason::CandidateBehind { candidate: candidate.clone(), received, ahead, ahead_received }
        }
        _ => BlockedReason::NoCandidate,
    }
}
