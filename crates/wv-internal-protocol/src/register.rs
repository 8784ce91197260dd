//! Registers as control nodes speak of them: a value by agreement of a majority, one ballot after the other.
use nanoserde::{DeBin, SerBin};

/// A register's value under its version. The tie word is drawn from the bytes.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct Cell {
    pub version: u64,
    pub tie: u32,
    pub value: Vec<u8>,
}

/// The order of proposals for one register. `who` is drawn at random for each life of a process and `round` rises in
/// it, so that no two proposals ever share a ballot. The default is below all of them.
#[derive(SerBin, DeBin, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Ballot {
    pub round: u64,
    pub who: u64,
}

/// What one voter keeps of a register: the ballot below which it takes nothing more, and what it accepted last.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct Held {
    pub promised: Ballot,
    pub accepted: Ballot,
    pub cell: Cell,
}

impl Held {
    /// The order of two copies. Those of disks from before there were ballots all have the lowest one: among them the
    /// highest version counts, as it did then.
    pub fn is_newer(&self, other: &Held) -> bool {
        let rank = |held: &Held| (held.accepted, held.cell.version, held.cell.tie);
        rank(self) > rank(other)
    }
}

/// What a proposer asks of a voter.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug)]
pub enum Step {
    /// What do you hold? Nothing is promised. `known` is a ballot whose cell the asker has.
    Look { known: Ballot },
    /// Take nothing below this ballot any more, and say what you hold.
    Prepare { ballot: Ballot, known: Ballot },
    /// Keep this, unless more was promised.
    Accept { ballot: Ballot, cell: Cell },
}

/// What a voter says to it.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug)]
pub enum Vote {
    /// To a look or a promise; no cell where the asker has that of `accepted`.
    Holds {
        accepted: Ballot,
        cell: Option<Cell>,
    },
    Accepted,
    /// More was promised already.
    Refused {
        promised: Ballot,
    },
}
