//! Randomized fault injection: schedules generated from a seed run against the real node logic, their histories are
//! checked for violations, and failing schedules are shrunk.
mod bodies;
mod check;
mod databases;
mod faults;
mod format;
mod generate;
mod generate_operations;
mod generate_promotions;
mod generate_versions;
mod history;
mod operator;
mod platform;
mod recovery;
mod route_check;
mod route_probes;
mod run;
mod shard_plan;
mod shrink;

pub use check::{check, Finding, CHECKS};
pub use format::ScheduleError;
pub use generate::generate;
pub use history::{
    ConfigurationRead, ConfigurationUpdate, History, PlatformCall, RecoveryFailure, RouteSighting, UpdateResponse,
    VersionObservation,
};
pub use run::run;
pub use shrink::{shrink, shrink_with};

/// How many faults a schedule may combine, and so which guarantees are checked.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum FaultBound {
    /// Concurrent faults stay within the fault tolerance of the core: safety and liveness are checked.
    WithinTolerance,
    /// More nodes may be down at once, but no more disks are lost than tolerated: safety throughout, and liveness
    /// after the last fault ends.
    BeyondTolerance,
    /// Any combination of faults: only safety is checked.
    Unlimited,
}

/// A fault or an operator action.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum EventKind {
    /// Cuts the targets off from all other endpoints, in both directions.
    Isolate,
    DropInbound,
    DropOutbound,
    /// Cuts the links between the first target and the others, in both directions.
    Partition,
    /// Cuts the links from the first target to the others.
    OneWayPartition,
    /// A partition that never heals. Not generated, as no fleet recovers from it; tests use it to make checks fail.
    PermanentPartition,
    /// Cuts the targets off from all other control nodes.
    IsolateFromPeers,
    Freeze,
    /// Delays each event of the node by `amount` milliseconds.
    Slow,
    Kill,
    PowerLoss,
    /// Power loss in the middle of the next disk write.
    TornWrite,
    LoseDisk,
    /// The node is lost permanently and a new one joins.
    Replace,
    /// The node is shut down by SIGTERM and a new one joins.
    Decommission,
    DiskStall,
    DiskFull,
    /// Steps the wall clock by `amount` milliseconds, backwards if odd.
    ClockStep,
    ResetLinks,
    /// Sends SIGTERM to an access node, kills it after the grace period and restarts it.
    Terminate,
    Crash,
    Unreachable,
    ReplicationLag,
    /// A database drains before its DELETE; a new one joins.
    Drain,
    /// A database sends its DELETE without draining; a new one joins.
    Deregister,
    ResetConnections,
    PlatformOutage,
    /// The platform works on each call `amount` milliseconds after it came.
    SlowPromotion,
    /// The platform works on calls, but its answers are lost.
    LostPlatformAnswers,
    /// A replica receives nothing.
    ReplicationStopped,
    /// Sends one configuration update.
    Update,
    /// Sends two different updates with one version, `amount` microseconds apart.
    ConcurrentUpdates,
    /// Sends `amount` updates at once, at most 8.
    UpdateBurst,
    /// Sends an earlier update again.
    ResendUpdate,
    InvalidUpdate,
    /// The routes of the probes lead to another service from now on.
    MoveRoute,
    /// Partners are named from now on, or no longer.
    MovePartners,
    /// The shard has a split plan from now on.
    MakePlan,
    /// The shard has no split plan from now on.
    WithdrawPlan,
    /// Operators lose responses.
    LostResponses,
    /// Requests of operators are delivered a second time after a delay.
    DelayedDuplicates,
}

#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub kind: EventKind,
    pub targets: Vec<String>,
    pub duration_ms: u64,
    /// Magnitude; the unit depends on the kind.
    pub amount: u64,
}

/// A fault schedule and the size of the fleet that it runs against.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub access_nodes: usize,
    /// Control nodes with a disk.
    pub core_nodes: usize,
    /// Control nodes without a disk.
    pub diskless_nodes: usize,
    pub fault_bound: FaultBound,
    pub events: Vec<Event>,
}

impl Schedule {
    pub(crate) fn has_version_changes(&self) -> bool {
        self.events.iter().any(|event| event.kind.is_version_change())
    }
}

impl Event {
    pub fn end_ms(&self) -> u64 {
        self.at_ms + self.duration_ms
    }
}

impl EventKind {
    /// Whether the event is an operator action rather than a fault.
    pub fn is_operator_action(self) -> bool {
        use EventKind::{ConcurrentUpdates, InvalidUpdate, ResendUpdate, Update, UpdateBurst};
        matches!(self, Update | ConcurrentUpdates | UpdateBurst | ResendUpdate | InvalidUpdate)
            || self.is_version_change()
    }

    /// Whether the event changes routes, partners or split plans.
    pub fn is_version_change(self) -> bool {
        use EventKind::{MakePlan, MovePartners, MoveRoute, WithdrawPlan};
        matches!(self, MoveRoute | MovePartners | MakePlan | WithdrawPlan)
    }

    /// Whether the event affects databases or the platform, but no node.
    pub fn is_database_event(self) -> bool {
        use EventKind::{Crash, Deregister, Drain, PlatformOutage, ReplicationLag, ResetConnections, SlowPromotion};
        use EventKind::{LostPlatformAnswers, ReplicationStopped, Unreachable};
        matches!(
            self,
            Crash
                | Unreachable
                | ReplicationLag
                | Drain
                | Deregister
                | ResetConnections
                | PlatformOutage
                | SlowPromotion
                | LostPlatformAnswers
                | ReplicationStopped
        )
    }
}
