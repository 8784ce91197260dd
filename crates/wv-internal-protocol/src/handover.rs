//! How a set of voters hands all that it holds to the next one before that is settled.
use crate::{Held, Known, Voters};
use nanoserde::{DeBin, SerBin};

#[derive(SerBin, DeBin, Clone, PartialEq, Debug)]
pub enum Handover {
    /// From here on the voter votes no more in the registers of `set`. `sum` covers all that the one that asks holds.
    Seal { request: u64, set: u64, fence: u64, sum: u64 },
    /// Digests over ranges of what is final now, none at all where the one that asks holds the same; `ok` false where a
    /// higher fence was seen.
    Sealed { request: u64, ok: bool, sums: Vec<u64> },
    /// A sealed majority of `set` has told all, and it stands at the speaker: a member of `next` is to have it as well.
    Fetch { request: u64, set: u64, next: Voters, sums: Vec<u64> },
    /// What the asker holds in some ranges that differ, and which others do. `is_member`: it asks as a member of the next
    /// set, else as the one that seals.
    Lacking { request: u64, set: u64, is_member: bool, ranges: Vec<(u32, Vec<Known>)>, others: Vec<u32> },
    /// What is newer in them. Ranges of which something is left, and the others, come back to be asked for again.
    Rest { request: u64, set: u64, is_member: bool, cells: Vec<(String, Held)>, left: Vec<u32> },
    /// All of it stands on this disk.
    Fetched { request: u64 },
}
