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
}
