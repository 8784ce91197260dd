//! The duty of promotion, one machine per service: events and time in, effects out.
mod choice;
mod depose;
mod duty;
mod step;
mod steps;

pub use choice::{choose_candidate, Choice, Obstacle};
pub use duty::Duty;

use wv_wire_protocol::{DatabaseStatus, LogPosition};

/// A database of the service as the duty sees it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Database {
    pub id: String,
    pub is_draining: bool,
    /// Whoever looks at it from an access node says its connections are refused, and has said so for this long.
    pub refused_us: Option<u64>,
    /// It left since the present lead came to lead. What it had received counts; it may serve on, and receive, until it ends.
    pub left: Option<Left>,
}

/// A database that left: for how long it is known to have ended, and which one took over its place and with it its log.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Left {
    pub ended_us: Option<u64>,
    pub heir: Option<String>,
}

impl Database {
    /// Whether it may still receive, and say what it has.
    pub fn is_asked(&self) -> bool {
        self.left.as_ref().is_none_or(|left| left.ended_us.is_none())
    }
}

/// What the duty reads at each turn.
pub struct View<'a> {
    pub now: u64,
    pub is_holder: bool,
    pub lead: Option<&'a str>,
    pub sync_replicas: u32,
    pub databases: &'a [Database],
    /// The lead is to be left behind by a newer term, though nothing is wrong with it.
    pub is_raise_wanted: bool,
    /// Some node says the lead is down: reason enough to look, not to act.
    pub is_lead_doubted: bool,
    /// The lead leaves or is gone, and no access node in touch gives it new work any more.
    pub is_lead_past_drain: bool,
    /// Agreeing sightings of several nodes say the lead is down.
    pub is_lead_down: bool,
    /// The newest term that anyone has seen, 0 for none.
    pub term: u64,
    /// The newest fenced sighting of the lead: how long ago, and its place.
    pub fenced: Option<(u64, LogPosition)>,
}

/// What the duty wants done; each but `Led` and `Stalled` comes back as an event.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Effect {
    /// Take the fence in the register.
    Claim,
    /// Make sure at a majority that the fence is still ours.
    Confirm,
    Look {
        id: String,
    },
    Suspend {
        id: String,
        term: u64,
    },
    Continue {
        id: String,
    },
    Yield {
        id: String,
        term: u64,
    },
    /// The same for the primary that is about to be replaced, which answers with its row.
    Depose {
        id: String,
        term: u64,
    },
    Post {
        id: String,
        fence: u64,
    },
    /// Tell all who leads now.
    Led {
        id: String,
        term: u64,
    },
    /// Tell the operators why this attempt led nowhere. Nothing comes back of it.
    Stalled(Obstacle),
}

/// How a database that was asked gave no row.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Silent {
    /// Its machine says that nothing listens there.
    Refused,
    Dark,
}

pub type StatusReply = Result<DatabaseStatus, Silent>;

/// What came of an effect.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Event {
    /// The fence, and whether another node held the duty before.
    Claimed(Option<(u64, bool)>),
    Confirmed(bool),
    /// What came of a `Look`, `Suspend` or `Depose`.
    Row {
        id: String,
        reply: StatusReply,
    },
    /// The platform's return; `None` for silence.
    Posted(Option<u16>),
}
