//! The operations on one register at one node: at most one active attempt, and operations waiting for the next one.
use crate::attempt::{Attempt, Operation, Phase};

#[derive(Clone, Debug, Default)]
pub(crate) struct RegisterQueue {
    pub active: Option<Attempt>,
    pub waiting: Vec<Operation>,
}

impl RegisterQueue {
    pub fn count(&self) -> usize {
        self.waiting.len() + self.active.as_ref().map_or(0, |attempt| attempt.ops.len())
    }

    /// Removes expired operations; an attempt without operations is dropped.
    pub fn expire(&mut self, now: u64) -> Vec<Operation> {
        let split = |ops: Vec<Operation>| -> (Vec<Operation>, Vec<Operation>) {
            ops.into_iter().partition(|op| op.deadline <= now)
        };
        let (mut expired, rest) = split(std::mem::take(&mut self.waiting));
        self.waiting = rest;
        if let Some(attempt) = self.active.as_mut() {
            let (expired_active, rest) = split(std::mem::take(&mut attempt.ops));
            attempt.ops = rest;
            expired.extend(expired_active);
        }
        self.active = self.active.take().filter(|attempt| !attempt.ops.is_empty());
        expired
    }

    /// Whether the backoff is over.
    pub fn is_backoff_over(&self, now: u64) -> bool {
        self.active.as_ref().is_some_and(|attempt| matches!(attempt.phase, Phase::BackingOff { until } if until <= now))
    }

    /// Returns the time at which the attempt needs attention.
    pub fn next_due_us(&self) -> Option<u64> {
        self.active.as_ref().map(|attempt| match attempt.phase {
            Phase::BackingOff { until } => until,
            _ => attempt.resend_at,
        })
    }
}
