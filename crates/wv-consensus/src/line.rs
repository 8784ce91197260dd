//! All operations on one register at one node: one attempt at a time, and those that wait for the next one.
use crate::attempt::{Attempt, Op, Phase};

#[derive(Clone, Debug, Default)]
pub(crate) struct Line {
    pub active: Option<Attempt>,
    pub waiting: Vec<Op>,
}

impl Line {
    pub fn count(&self) -> usize {
        self.waiting.len() + self.active.as_ref().map_or(0, |attempt| attempt.ops.len())
    }

    /// Takes out what is over its limit; an attempt that nobody waits for is given up.
    pub fn expire(&mut self, now: u64) -> Vec<Op> {
        let split = |ops: Vec<Op>| -> (Vec<Op>, Vec<Op>) { ops.into_iter().partition(|op| op.limit <= now) };
        let (mut late, rest) = split(std::mem::take(&mut self.waiting));
        self.waiting = rest;
        if let Some(attempt) = self.active.as_mut() {
            let (over, rest) = split(std::mem::take(&mut attempt.ops));
            attempt.ops = rest;
            late.extend(over);
        }
        self.active = self.active.take().filter(|attempt| !attempt.ops.is_empty());
        late
    }

    /// Whether its pause is over.
    pub fn is_rested(&self, now: u64) -> bool {
        self.active.as_ref().is_some_and(|attempt| matches!(attempt.phase, Phase::Pausing { until } if until <= now))
    }

    /// When its attempt is next to be looked at.
    pub fn next_due(&self) -> Option<u64> {
        self.active.as_ref().map(|attempt| match attempt.phase {
            Phase::Pausing { until } => until,
            _ => attempt.resend,
        })
    }
}
