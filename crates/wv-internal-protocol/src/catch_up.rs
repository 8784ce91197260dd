//! Synchronization of a disk that is not yet a voter: digests of key ranges are compared, and only differing registers
//! are sent, in batches.
use crate::{AcceptorState, Ballot, VoterSet};
use nanoserde::{DeBin, SerBin};

/// A register without its value: key, ballot under which it was accepted, version and tie breaker.
pub type RegisterSummary = (String, Ballot, u64, u32);

#[derive(SerBin, DeBin, Clone, PartialEq, Debug)]
pub enum CatchUp {
    /// Requests digests. `voters` is the newest set known to the requester; `digest` covers all of its registers.
    Compare { request: u64, voters: VoterSet, previous: VoterSet, digest: u64 },
    /// One digest per key range, empty if the requester's digest matches. `set` is the voter set in which the sender
    /// last voted.
    Digests { request: u64, set: u64, digests: Vec<u64> },
    /// The requester's registers in the differing ranges.
    CompareRanges { request: u64, ranges: Vec<(u32, Vec<RegisterSummary>)> },
    /// Registers that are newer than the requester's, in range order; `is_complete` is false if more remain.
    NewerRegisters { request: u64, registers: Vec<(String, AcceptorState)>, is_complete: bool },
}
