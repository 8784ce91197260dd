//! The operations, the injected faults and the removed guard.
use super::Verdict;
use wv_internal_protocol::RegisterValue;

/// The guard to remove, to check that the model finds the fault it prevents.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Without {
    Nothing,
    /// A voter accepts ballots below its promise.
    Promise,
    /// A voter loses its promises on restart.
    DurablePromise,
    /// A read returns the newest value of a majority without making sure that a majority holds it.
    ConfirmedRead,
    /// All incarnations of a proposer use the same ballots and request IDs.
    UniqueBallots,
    /// A proposer ignores values accepted before.
    AcceptedValues,
    /// A voter's reply counts for another voter as well.
    SingleVote,
    /// A voter loses its disk and keeps voting as the same member.
    NewMember,
}

/// An operation requested by a caller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Request {
    Read,
    /// A version and its content.
    Write(u64, u8),
}

/// How operations become updates and outcomes become verdicts, and the numbers of faults.
pub struct Setup {
    pub without: Without,
    pub update: fn(u64, u8) -> wv_consensus::UpdateFn,
    pub verdict: fn(&RegisterValue, u64, u8) -> Verdict,
    pub requests: Vec<Vec<Request>>,
    /// Numbers of expired backoffs, proposer crashes, voter restarts and lost disks.
    pub backoffs: u8,
    pub crashes: u8,
    pub restarts: u8,
    pub disk_losses: u8,
    /// Replies may also be delayed. Otherwise each one is delivered at once or lost, which is equivalent for a proposer
    /// because replies to earlier requests are ignored.
    pub has_late_replies: bool,
}
