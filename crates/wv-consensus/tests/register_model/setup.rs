//! What callers want, what may go wrong, and which guard is left out.
use super::Verdict;
use wv_internal_protocol::RegisterValue;

/// A guard that is taken out, to see that the model finds what it guards against.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Without {
    Nothing,
    /// A voter takes what is below its promise.
    Promise,
    /// A disk forgets its promises at a restart.
    KeptPromise,
    /// A read shows the newest copy of a majority, wherever else it stands.
    SettledRead,
    /// Both lives of a proposer use the same ballots and requests.
    OwnBallots,
    /// A proposer passes over what was accepted before.
    Copies,
    /// A voter's word counts for its neighbour as well.
    OneVote,
    /// A voter forgets all when its disk is lost and votes on as the same member.
    Member,
}

/// What a caller wants at a proposer, one wish after the other.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Wish {
    Read,
    /// This content under this number.
    Write(u64, u8),
}

/// How wishes become edits, and what an answer says to an order; the bounds of what may go wrong.
pub struct Setup {
    pub without: Without,
    pub edit: fn(u64, u8) -> wv_consensus::UpdateFn,
    pub verdict: fn(&RegisterValue, u64, u8) -> Verdict,
    pub wishes: Vec<Vec<Wish>>,
    /// Pauses that end, ends of a proposer's life, restarts with the disk and disks that are lost, at most.
    pub rests: u8,
    pub crashes: u8,
    pub restarts: u8,
    pub wipes: u8,
    /// Answers arrive at any later time too; without that each is heard at once or never, which is the same to a
    /// proposer, as answers to what it asks no more count for nothing.
    pub is_late: bool,
}
