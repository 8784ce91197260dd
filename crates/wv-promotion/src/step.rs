//! The steps of a promotion, and how long each may take.

/// How long databases may take to give their rows.
pub(crate) const ROWS_US: u64 = 450_000;
/// How long the holder's own failed look stands while others come to agree.
pub(crate) const AGREE_US: u64 = 800_000;
pub(crate) const CLAIM_US: u64 = 1_200_000;
pub(crate) const POST_US: u64 = 1_500_000;
/// Between looks at a candidate that is on its way to lead.
pub(crate) const WATCH_GAP_US: u64 = 300_000;
pub(crate) const WATCH_US: u64 = 2_500_000;
/// After an attempt that led nowhere.
pub(crate) const PAUSE_FIRST_US: u64 = 150_000;
/// Between looks at a lead that some doubt and that answers.
pub(crate) const PAUSE_UP_US: u64 = 500_000;
pub(crate) const PAUSE_LAST_US: u64 = 1_200_000;

#[derive(Clone, PartialEq, Debug)]
pub(crate) enum Step {
    Rest {
        until: u64,
    },
    /// The holder's own look at a lead that another calls down.
    Probing {
        deadline: u64,
    },
    /// From here it is down as well; others have still to agree.
    Agreeing {
        deadline: u64,
    },
    Claiming {
        deadline: u64,
    },
    /// The fence is confirmed, to be shown to the platform.
    Showing {
        lead: String,
        deadline: u64,
    },
    /// A predecessor may have a call under way: the platform is shown the new fence first.
    Fencing {
        deadline: u64,
    },
    Looking {
        deadline: u64,
    },
    Suspending {
        deadline: u64,
    },
    /// The primary's own row is asked for, as a silent replica is in the way.
    Comparing {
        candidate: String,
        deadline: u64,
    },
    /// The primary is told to yield, once the fence is confirmed.
    Deposing {
        candidate: String,
        deadline: u64,
    },
    Confirming {
        candidate: String,
        deadline: u64,
    },
    Posting {
        candidate: String,
        deadline: u64,
    },
    Watching {
        candidate: String,
        next: u64,
        deadline: u64,
    },
}

impl Step {
    /// From then on nothing that was asked for in it counts any more.
    pub(crate) fn deadline(&self) -> Option<u64> {
        match self {
            Step::Rest { .. } => None,
            Step::Probing { deadline }
            | Step::Agreeing { deadline }
            | Step::Claiming { deadline }
            | Step::Fencing { deadline }
            | Step::Looking { deadline }
            | Step::Suspending { deadline }
            | Step::Showing { deadline, .. }
            | Step::Comparing { deadline, .. }
            | Step::Deposing { deadline, .. }
            | Step::Confirming { deadline, .. }
            | Step::Posting { deadline, .. }
            | Step::Watching { deadline, .. } => Some(*deadline),
        }
    }
}
