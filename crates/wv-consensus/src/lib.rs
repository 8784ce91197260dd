//! Replicated control state: independent registers, each decided by a majority of disks through ballots. There is no
//! log and no leader.
pub mod anti_entropy;
mod attempt;
mod completion;
mod disk_format;
mod files;
mod handover;
mod proposer;
mod register_queue;
mod store;
mod threaded_files;
mod voter_set_change;
mod voter_state;

pub use attempt::UpdateFn;
pub use completion::{Completion, OperationOutcome};
pub use disk_format::StoreState;
pub use files::{Directory, DurableFiles, MemoryFiles, OsDirectory, OsFiles, SyncedDirectory};
pub use proposer::Proposer;
pub use store::Store;
pub use threaded_files::ThreadedFiles;
pub use voter_set_change::{plan_successor, Candidate, ChangeOutcome, VoterSetChange, REPLACE_AFTER_US};
pub use voter_state::{inspect_data_dir, PrepareResult, VoterState};

#[derive(thiserror::Error, Debug)]
pub enum RegisterError {
    #[error("disk I/O error: {0}")]
    Disk(#[from] std::io::Error),
    #[error("store is not initialized")]
    NotInitialized,
    #[error("no readable slot in the store")]
    Unreadable,
    #[error("register value of {0} bytes exceeds the size limit")]
    TooLarge(usize),
}

/// Keys with this prefix are stored on the local disk only and are not replicated.
pub const LOCAL_KEY_PREFIX: &str = "local/";
/// Upper bound on the total size of a store, far below the size of the smallest data folder.
pub const MAX_STORE_BYTES: usize = 8 << 20;

/// Builds a register value; its tie breaker is the checksum of its bytes.
pub fn register_value(version: u64, bytes: Vec<u8>) -> wv_internal_protocol::RegisterValue {
    let tie_breaker = crc32fast::hash(&bytes);
    wv_internal_protocol::RegisterValue { version, tie_breaker, bytes }
}

/// Returns an update that writes `value` over lower versions. If the register already holds it, it counts as written.
pub fn write_if_newer(value: wv_internal_protocol::RegisterValue) -> UpdateFn {
    Box::new(move |current| (current.version < value.version || *current == value).then(|| value.clone()))
}
