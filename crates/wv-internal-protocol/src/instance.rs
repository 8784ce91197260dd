//! Database instances as they report themselves in heartbeats.
use nanoserde::{DeBin, SerBin};

#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct Instance {
    pub id: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub capacity: u32,
    pub draining: bool,
    pub cold_left_us: u64,
    pub primary: bool,
    /// Increases with each heartbeat.
    pub sequence: u64,
    pub gone: bool,
    /// Set by the sender of the message: an upper bound on the time since the database announced that it is leaving.
    /// In service: 0 if a running process has received its heartbeat. `UNKNOWN_AGE_US` if the time is not known.
    pub leaving_age_us: u64,
}
