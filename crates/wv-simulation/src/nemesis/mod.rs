//! The fleet under any trouble: days drawn from a seed, played with the real logic, their histories checked, and
//! days that break a rule made short.
mod bases;
mod calm;
mod check;
mod draw;
mod draw_calls;
mod history;
mod operator;
mod play;
mod shrink;
mod text;
mod trouble;

pub use check::{check, Finding, CHECKS};
pub use draw::draw;
pub use history::{Answer, Calm, History, Order, Post, Read, Seen};
pub use play::play;
pub use shrink::{shrink, shrink_by};
pub use text::DayError;

/// How much is asked of the fleet.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Bound {
    /// No more is lost at once than the core bears: all promises hold.
    Within,
    /// More is down at once, yet no more disks are lost than the core bears: safety, and all of it after the end.
    Beyond,
    /// Anything: safety alone.
    Wild,
}

/// What befalls the fleet, or is asked of it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Kind {
    /// A node is cut off from all others; in one direction only.
    Isolate,
    Deafen,
    Mute,
    /// Two ends, both ways or from the first to the second.
    Wall,
    OneWay,
    /// Both ways, and for ever: never drawn, as no fleet can be well after it; it proves that checks can fail.
    Rift,
    /// Those named are cut off from all other control nodes.
    Part,
    Freeze,
    /// By so many milliseconds each event.
    Slow,
    Kill,
    /// A loss of power; in the middle of the next write.
    Power,
    Tear,
    /// The disk is lost; the machine is gone for good and another one comes; planned, after a SIGTERM.
    Wipe,
    Replace,
    Quit,
    Stall,
    Full,
    /// The time of day steps by so many milliseconds, backwards for odd ones.
    Clock,
    Reset,
    /// An access node is told to end, killed after a while, and comes back.
    Term,
    Crash,
    Dark,
    Lag,
    /// A database leaves in order, or says so only by its DELETE; another one comes.
    Drain,
    Leave,
    Break,
    Platform,
    Sluggish,
    /// One order; two contents under one number so many microseconds apart; so many orders at once.
    Order,
    Race,
    Storm,
    /// An order that was sent before, again.
    Repeat,
    Invalid,
    /// Operators hear no answers; what they send arrives once more, late.
    Unheard,
    Echo,
}

/// One event: what, whom it befalls, for how long, and by how much.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub kind: Kind,
    pub targets: Vec<String>,
    pub for_ms: u64,
    pub by: u64,
}

/// A day of the nemesis.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Day {
    pub seed: u64,
    pub access: usize,
    /// Control nodes with a disk, and those without.
    pub core: usize,
    pub thin: usize,
    pub bound: Bound,
    pub events: Vec<Event>,
}

impl Event {
    pub fn end_ms(&self) -> u64 {
        self.at_ms + self.for_ms
    }
}

impl Kind {
    /// What is asked of the fleet rather than done to it.
    pub fn is_call(self) -> bool {
        matches!(self, Kind::Order | Kind::Race | Kind::Storm | Kind::Repeat | Kind::Invalid)
    }

    /// Whether it may cost a database's clients or its service, but no node.
    pub fn is_base(self) -> bool {
        use Kind::{Break, Crash, Dark, Drain, Lag, Leave, Platform, Sluggish};
        matches!(self, Crash | Dark | Lag | Drain | Leave | Break | Platform | Sluggish)
    }
}
