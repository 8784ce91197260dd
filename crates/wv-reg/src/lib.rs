//! The control state: a register written to and read from a majority of disks, highest version wins.
mod change;
mod files;
mod quorum;
mod seat;
mod store;
mod thread;

pub use change::{plan, Change, Core, End, AWAY_US};
pub use files::{DirFiles, Files, MemFiles};
pub use quorum::{Done, Outcome, Quorum};
pub use seat::{inspect, Claimed, Seat};
pub use store::{State, Store};
pub use thread::ThreadFiles;

#[derive(thiserror::Error, Debug)]
pub enum RegError {
    #[error("disk: {0}")]
    Disk(#[from] std::io::Error),
    #[error("nothing is kept on this disk yet")]
    Empty,
    #[error("no slot can be read: the disk counts as lost")]
    Unreadable,
    #[error("the value of {0} bytes does not fit the store")]
    Oversize(usize),
}

/// Registers under this stand on one disk alone and are no part of any quorum.
pub const LOCAL: &str = "local/";
/// No store grows over this; far under the smallest data folder.
pub const STORE_MAX: usize = 8 << 20;

/// The order of two copies of one register.
pub fn newer(left: &wv_inner::Cell, right: &wv_inner::Cell) -> bool {
    (left.version, left.tie) > (right.version, right.tie)
}

/// A cell whose tie word is drawn from its bytes, so that two writers of one version settle alike everywhere.
pub fn cell(version: u64, value: Vec<u8>) -> wv_inner::Cell {
    let tie = crc32fast::hash(&value);
    wv_inner::Cell { version, tie, value }
}
