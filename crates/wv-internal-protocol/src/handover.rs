//! Transfer of all register state from one voter set to the next, completed before the next set takes effect.
use crate::{AcceptorState, RegisterSummary, VoterSet};
use nanoserde::{DeBin, SerBin};

#[derive(SerBin, DeBin, Clone, PartialEq, Debug)]
pub enum Handover {
    /// Stops the receiver from voting in the registers of `set`. `digest` covers all registers of the requester.
    Seal { request: u64, set: u64, fence: u64, digest: u64 },
    /// Digests of key ranges of the sealed state, empty if the requester's digest matches; `ok` is false if the voter
    /// has seen a higher fence.
    Sealed { request: u64, ok: bool, digests: Vec<u64> },
    /// Asks a member of `next` to copy the state that the sender has collected from a sealed majority of `set`.
    Fetch { request: u64, set: u64, next: VoterSet, digests: Vec<u64> },
    /// The requester's registers in some of the differing ranges, and the numbers of the other differing ranges.
    /// `is_member` is true if the requester is a member of the next set, false if it is the node that seals.
    CompareRanges {
        request: u64,
        set: u64,
        is_member: bool,
        ranges: Vec<(u32, Vec<RegisterSummary>)>,
        other_ranges: Vec<u32>,
    },
    /// Registers in those ranges that are newer than the requester's. `remaining_ranges` must be requested again: the
    /// ranges that did not fit completely, and `other_ranges`.
    NewerRegisters {
        request: u64,
        set: u64,
        is_member: bool,
        registers: Vec<(String, AcceptorState)>,
        remaining_ranges: Vec<u32>,
    },
    /// The complete state is durable on the sender's disk.
    Fetched { request: u64 },
}
