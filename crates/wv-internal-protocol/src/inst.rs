//! Databases as they describe themselves.
use nanoserde::{DeBin, SerBin};

/// A database as its beats describe it.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct Inst {
    pub id: String,
    pub service: String,
    pub addr: String,
    pub zone: String,
    pub capacity: u32,
    pub draining: bool,
    pub cold_us: u64,
    pub primary: bool,
    /// Rises with each beat.
    pub sequence: u64,
    pub gone: bool,
    /// Put in as it is sent: how long ago the database may have said that it leaves, at the most, as the speaker knows. 0
    /// where it was heard in service by a process that still runs, `LONG_AGO_US` where nobody knows.
    pub leaving_us: u64,
}
