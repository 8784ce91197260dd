//! How a disk that does not vote yet comes to hold what voters hold: digests over ranges of keys are compared, and only
//! what differs crosses, in parts.
use crate::{Ballot, Held, Voters};
use nanoserde::{DeBin, SerBin};

/// What one side holds of a register: its key, the ballot it was accepted under, its version and its tie word.
pub type Known = (String, Ballot, u64, u32);

#[derive(SerBin, DeBin, Clone, PartialEq, Debug)]
pub enum Takeover {
    /// How do your registers stand? `voters` is the newest set known to the asker; `sum` covers all that it holds.
    Compare { request: u64, voters: Voters, before: Voters, sum: u64 },
    /// A digest for each range of keys, none at all where the asker holds the same. `set` is the one in which the
    /// speaker voted last.
    Sums { request: u64, set: u64, sums: Vec<u64> },
    /// What the asker holds in ranges that differ.
    Lacking { request: u64, ranges: Vec<(u32, Vec<Known>)> },
    /// What is newer in them, the first ranges first; all of it where `is_whole`.
    Part { request: u64, cells: Vec<(String, Held)>, is_whole: bool },
}
