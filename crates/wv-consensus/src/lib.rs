//! The control state: registers decided by a majority of disks, one ballot after the other; no log, no leader.
mod attempt;
mod change;
mod done;
mod files;
mod line;
pub mod parts;
mod quorum;
mod record;
mod seal;
mod seat;
mod store;
mod thread;

pub use attempt::Edit;
pub use change::{plan, Change, Core, End, AWAY_US};
pub use done::{Done, Outcome};
pub use files::{Dir, DirFiles, Files, Folder, MemFiles, Synced};
pub use quorum::Quorum;
pub use record::State;
pub use seat::{inspect, Claimed, Seat};
pub use store::Store;
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

/// A cell whose tie word is drawn from its bytes.
pub fn cell(version: u64, value: Vec<u8>) -> wv_internal_protocol::RegisterValue {
    let tie = crc32fast::hash(&value);
    wv_internal_protocol::RegisterValue { version, tie_breaker: tie, bytes: value }
}

/// The edit that puts `cell` where nothing of its version or above stands; said again it finds itself there.
pub fn raise(cell: wv_internal_protocol::RegisterValue) -> Edit {
    Box::new(move |held| (held.version < cell.version || *held == cell).then(|| cell.clone()))
}
