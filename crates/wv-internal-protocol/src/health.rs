//! Database health as observed by one node, and the leader of a service.
use nanoserde::{DeBin, SerBin};

/// The known leader of a service; `term` is 0 if it is known only from heartbeats.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct Leader {
    pub service: String,
    pub id: String,
    pub term: u64,
}

#[derive(SerBin, DeBin, Clone, Copy, PartialEq, Eq, Debug)]
pub enum Health {
    Up,
    Refused,
    Unreachable,
    /// The database has outstanding work and does not respond; it has not been probed yet.
    Suspected,
    /// This node no longer observes the database.
    Unknown,
}

/// One node's health report on one database.
///
/// `Up` is reported once and holds until it changes. Other states and reports on leaders are repeated.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug)]
pub struct HealthReport {
    pub id: String,
    pub health: Health,
    /// How long `health` has been observed.
    pub health_age_us: u64,
    /// Time since anything was received from the database, `u64::MAX` if nothing was.
    pub last_heard_age_us: u64,
    /// The latest position in a primary's log that this node read under a fence, as `TERM.NUMBER`.
    pub fenced_position: String,
    /// Time since the statement that read `fenced_position` was sent.
    pub fenced_age_us: u64,
}
