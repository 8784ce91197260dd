//! Promotion of a new leader: one state machine per service, with events and time as input and effects as output. It
//! runs on the duty holder, the node that is responsible for promotions of the service.
mod candidate;
mod coordinator;
mod demotion;
mod events;
mod leader_wait;
mod receive_watch;
mod resolution;
mod resume;
mod selection;
mod step;
mod unresolved_calls;

pub use candidate::{choose_candidate, BlockedReason, Choice};
pub use coordinator::PromotionCoordinator;
pub use unresolved_calls::PromotionCall;

use wv_wire_protocol::{DatabaseStatus, LogPosition};

/// A database of the service.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Database {
    pub id: String,
    pub is_draining: bool,
    /// For how long every reporting access node has had its connections refused, if all report so.
    pub refused_for_us: Option<u64>,
    /// Set if it departed under the current leader. Its received position still counts, and until it stops it may go on
    /// receiving.
    pub departed: Option<DepartedDatabase>,
}

/// A departed database: for how long it is known to have stopped, and the database that took over its address and log.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct DepartedDatabase {
    pub stopped_for_us: Option<u64>,
    pub successor: Option<String>,
}

impl Database {
    /// Whether it may still receive log records and report its status.
    pub fn may_be_running(&self) -> bool {
        self.departed.as_ref().is_none_or(|departed| departed.stopped_for_us.is_none())
    }
}

/// The state of the service that the coordinator reads on every tick and event.
pub struct ServiceView<'a> {
    pub now: u64,
    pub is_duty_holder: bool,
    pub leader: Option<&'a str>,
    pub sync_replicas: u32,
    pub databases: &'a [Database],
    /// A healthy leader is to be replaced under a newer term.
    pub is_switchover_requested: bool,
    /// At least one node reports the leader as unhealthy, which starts a probe but no promotion.
    pub is_leader_suspected: bool,
    /// The leader is leaving or gone, and no connected access node gives it new work any more.
    pub is_leader_closed_to_new_work: bool,
    /// The leader has reported for a while that it is a replica.
    pub has_leader_stepped_down: bool,
    /// Enough nodes agree that the leader is down.
    pub is_leader_down: bool,
    /// The newest known term, 0 for none.
    pub term: u64,
    /// The newest fenced position of the leader and its age.
    pub fenced_position: Option<(u64, LogPosition)>,
}

/// An action for the caller. `Yield`, `AnnounceLeader` and `ReportBlocked` are not answered by an event.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Effect {
    /// Read which calls are recorded in the register.
    ReadDuty,
    /// Claim the next fence in the register.
    ClaimFence,
    /// Confirm with a majority that this node still owns the fence.
    ConfirmFence,
    /// The same, and record there that the platform will be asked to promote this database. A call that may be sent
    /// is always recorded, so that a later duty holder learns of it.
    RecordCall {
        id: String,
    },
    /// The same, and record which calls are still unresolved.
    RecordResolution,
    QueryStatus {
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
    /// Tell the primary that is being replaced to yield; it answers with its status.
    Demote {
        id: String,
        term: u64,
    },
    /// Ask the platform to promote a database, which also presents the fence.
    RequestPromotion {
        id: String,
        fence: u64,
    },
    /// Announce the leader to all nodes.
    AnnounceLeader {
        id: String,
        term: u64,
    },
    /// Report to operators why this attempt was abandoned.
    ReportBlocked(BlockedReason),
}

/// Why a database did not return its status.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StatusError {
    /// The connection was refused.
    Refused,
    Unreachable,
}

pub type StatusReply = Result<DatabaseStatus, StatusError>;

/// The state of the duty's register.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct DutyState {
    pub fence: u64,
    /// The calls that the register lists.
    pub recorded: Vec<PromotionCall>,
}

/// The result of an effect.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Event {
    /// The result of `ReadDuty`, `None` if the register could not be read.
    DutyRead(Option<DutyState>),
    /// The claimed fence, `None` if another node claimed it or no majority answered.
    FenceClaimed(Option<DutyState>),
    /// The result of `ConfirmFence`, `RecordCall` or `RecordResolution`. Also `false` if a confirmed call was not sent after all.
    FenceConfirmed(bool),
    /// The result of `QueryStatus`, `Suspend` or `Demote`.
    Status { id: String, reply: StatusReply },
    /// The HTTP status returned by the platform, `None` if it did not answer.
    PromotionReturned(Option<u16>),
    /// The same for a call of an earlier step.
    LateAnswer { fence: u64, status: Option<u16> },
    /// The result of `Continue`, in whatever step.
    Resumed { id: String, reply: StatusReply },
    /// A call of an earlier step was never sent.
    CallNotSent { fence: u64 },
}
