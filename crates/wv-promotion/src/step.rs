//! Steps of a promotion and their timeouts.

/// Time for databases to return their status.
pub(crate) const STATUS_TIMEOUT_US: u64 = 450_000;
/// Time for other nodes to agree after the duty holder's own probe of the leader failed.
pub(crate) const AGREEMENT_TIMEOUT_US: u64 = 800_000;
pub(crate) const REGISTER_TIMEOUT_US: u64 = 1_200_000;
pub(crate) const PROMOTION_CALL_TIMEOUT_US: u64 = 1_500_000;
/// Interval between status queries of a candidate that is being promoted.
pub(crate) const LEADER_POLL_INTERVAL_US: u64 = 300_000;
pub(crate) const LEADER_TIMEOUT_US: u64 = 2_500_000;
/// A call that is unresolved for longer is overdue.
pub(crate) const OVERDUE_US: u64 = 1_000_000;
/// Delay of a new duty holder's second look, longer than a predecessor takes to learn that it was replaced.
pub(crate) const SECOND_LOOK_DELAY_US: u64 = 6_000_000;
/// Bounds of the delay after an abandoned attempt.
pub(crate) const RETRY_DELAY_MIN_US: u64 = 150_000;
pub(crate) const RETRY_DELAY_MAX_US: u64 = 1_200_000;
/// Upper bound of the delay between probes of a suspected leader that answers.
pub(crate) const PROBE_DELAY_MAX_US: u64 = 500_000;

#[derive(Clone, PartialEq, Debug)]
pub(crate) enum Step {
    Idle {
        until: u64,
    },
    /// A new duty holder reads which calls its predecessors recorded.
    ReadingDuty {
        deadline: u64,
    },
    /// The duty holder probes a leader that other nodes report as down.
    Probing {
        deadline: u64,
    },
    /// The probe failed; other nodes have yet to agree.
    AwaitingAgreement {
        deadline: u64,
    },
    ClaimingFence {
        deadline: u64,
    },
    /// The fence is being confirmed before it is presented to the platform.
    ConfirmingFence {
        leader: String,
        deadline: u64,
    },
    /// The new fence is presented to the platform, so that it rejects calls under lower fences.
    PresentingFence {
        deadline: u64,
    },
    /// Calls that the platform accepted before it saw the newest fence take effect by this time.
    Settling {
        until: u64,
    },
    /// The fence is being confirmed before replicas are resumed.
    ConfirmingResume {
        until: u64,
        deadline: u64,
    },
    QueryingReplicas {
        deadline: u64,
    },
    SuspendingReplicas {
        deadline: u64,
    },
    /// The primary's own status is queried because a replica is unavailable.
    QueryingPrimary {
        candidate: String,
        deadline: u64,
    },
    /// The fence is being confirmed, and then the primary is told to yield.
    Demoting {
        candidate: String,
        deadline: u64,
    },
    ConfirmingPromotion {
        candidate: String,
        deadline: u64,
    },
    RequestingPromotion {
        candidate: String,
        deadline: u64,
    },
    AwaitingLeader {
        candidate: String,
        next: u64,
        deadline: u64,
    },
}

/// Why a fence is claimed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Purpose {
    ReplaceLeader,
    /// To find out what became of unresolved calls, and to resume replicas that a predecessor left suspended.
    ResolveCalls,
}

impl Step {
    /// Results that arrive from this time on are ignored.
    pub(crate) fn deadline(&self) -> Option<u64> {
        match self {
            Step::Idle { .. } | Step::Settling { .. } => None,
            Step::ReadingDuty { deadline }
            | Step::Probing { deadline }
            | Step::AwaitingAgreement { deadline }
            | Step::ClaimingFence { deadline }
            | Step::PresentingFence { deadline }
            | Step::QueryingReplicas { deadline }
            | Step::SuspendingReplicas { deadline }
            | Step::ConfirmingFence { deadline, .. }
            | Step::ConfirmingResume { deadline, .. }
            | Step::QueryingPrimary { deadline, .. }
            | Step::Demoting { deadline, .. }
            | Step::ConfirmingPromotion { deadline, .. }
            | Step::RequestingPromotion { deadline, .. }
            | Step::AwaitingLeader { deadline, .. } => Some(*deadline),
        }
    }
}
