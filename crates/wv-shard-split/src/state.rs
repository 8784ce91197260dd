//! States of the split state machine.
use crate::term_probe::TermProbe;
use std::collections::BTreeMap;

/// The map to write once the databases have reached the required terms. The reason shown to operators contains the
/// variant names.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Goal {
    /// Complete the map of a new plan after a promotion of the source: from then on only nodes that know of the plan write.
    Fence,
    /// Bind the map to the current term of the source, which ends any attempt in progress.
    Bind,
    Begin,
    Seal,
    Finish,
}

#[derive(Clone, Debug)]
pub(crate) enum State {
    Resting {
        until_us: u64,
    },
    Claiming {
        deadline_us: u64,
    },
    /// Reading the current terms of source and target.
    Probing {
        goal: Goal,
        deadline_us: u64,
        probe: TermProbe,
    },
    /// Waiting until source and target have passed the terms that the map lists as superseded.
    AwaitingTerms {
        goal: Goal,
        deadline_us: u64,
        probe: TermProbe,
    },
    Writing {
        then: AfterWrite,
        deadline_us: u64,
    },
    Copying,
    /// Waiting for the last write marks of all writers, then for the remaining copies.
    Sealed {
        since_us: u64,
        has_last_marks: bool,
    },
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum AfterWrite {
    Rest,
    AwaitTerms(Goal),
    Copy,
    Seal,
}

/// Access nodes, by name and incarnation, that may write to moving slots, and whether their last marks have arrived.
pub(crate) type Writers = BTreeMap<(String, u64), bool>;
