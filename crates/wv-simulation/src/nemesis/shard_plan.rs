//! The operator of a planned shard: lists what was written before each plan was acknowledged, and splits the shard at the
//! end.
use super::run::Runner;
use super::RecoveryFailure;
use crate::{MS, S};

/// Time for a plan to come into force, and for a split, once all faults have ended.
const PLAN_TIMEOUT_US: u64 = 25 * S;
const SPLIT_TIMEOUT_US: u64 = 90 * S;
const CALL_TIMEOUT_US: u64 = S;

/// Which plan was acknowledged, and the list for it that is not acknowledged yet.
#[derive(Default)]
pub(super) struct PlanOperator {
    /// Index of the first update with the present plan.
    planned_by: Option<usize>,
    has_list: bool,
    pending_list: Option<String>,
    /// The outstanding call, when it was sent, and where the next one goes.
    call: Option<(u64, u64)>,
    control: usize,
}

impl PlanOperator {
    pub fn plan_made(&mut self, update: usize) {
        *self = PlanOperator { planned_by: Some(update), control: self.control, ..PlanOperator::default() };
    }

    pub fn has_plan(&self) -> bool {
        self.planned_by.is_some()
    }

    pub fn plan_withdrawn(&mut self) {
        *self = PlanOperator { control: self.control, ..PlanOperator::default() };
    }
}

impl Runner {
    /// Lists all keys that were sent by the time the plan was acknowledged.
    pub(super) fn poll_plan(&mut self) {
        let Some(first) = self.plan_operator.planned_by else { return };
        let is_acknowledged =
            || (first..self.history.updates.len()).any(|at| self.history.acknowledgements(at).next().is_some());
        if !self.plan_operator.has_list && is_acknowledged() {
            let keys: Vec<&str> = self.sim.written_keys.iter().map(String::as_str).collect();
            (self.plan_operator.pending_list, self.plan_operator.has_list) = (Some(keys.join("\n")), true);
        }
        if let Some(list) = self.plan_operator.pending_list.clone() {
            if self.call_until_acknowledged("/things/s", list.as_bytes()) {
                self.plan_operator.pending_list = None;
            }
        }
    }

    /// Sends a call to one node after the other; returns whether it is acknowledged.
    fn call_until_acknowledged(&mut self, path: &str, body: &[u8]) -> bool {
        let now = self.sim.now;
        if let Some((token, sent_us)) = self.plan_operator.call {
            match self.sim.responses.get(&token) {
                Some((200, _)) => {
                    self.plan_operator.call = None;
                    return true;
                }
                None if sent_us + CALL_TIMEOUT_US > now => return false,
                Some((503, _)) if sent_us + 100 * MS > now => return false,
                _ => self.plan_operator.call = None,
            }
        }
        // The holder is among the nodes; the others redirect to it.
        self.plan_operator.control = (self.plan_operator.control + 1) % self.sim.controls.len();
        let token = self.sim.call(self.plan_operator.control, "PUT", path, body);
        self.plan_operator.call = (token > 0).then_some((token, now));
        false
    }

    fn advance_until(&mut self, timeout_us: u64, is_done: impl Fn(&mut Runner) -> bool) -> bool {
        let end = self.sim.now + timeout_us;
        while !is_done(self) && self.sim.now < end {
            self.advance(20 * MS);
        }
        is_done(self)
    }

    /// Waits until the plan in force, if there is one, is acknowledged and listed.
    pub(super) fn check_plan(&mut self) {
        let is_open =
            |runner: &mut Runner| !runner.plan_operator.has_list || runner.plan_operator.pending_list.is_some();
        if self.plan_operator.planned_by.is_some() && !self.advance_until(PLAN_TIMEOUT_US, |runner| !is_open(runner)) {
            let text = format!("the plan or its list is not acknowledged, listed: {}", self.plan_operator.has_list);
            self.history.recovery_failures.push(RecoveryFailure { check: "plan-open", text });
        }
    }

    /// Splits the shard if it has a plan.
    pub(super) fn split_shard(&mut self) {
        if self.plan_operator.planned_by.is_none() || !self.plan_operator.has_list {
            return;
        }
        let is_split = self.advance_until(SPLIT_TIMEOUT_US, |runner| {
            let is_moved = !runner.sim.slot_map("s").moved.is_empty();
            if !is_moved {
                runner.call_until_acknowledged("/splits/s", b"");
            }
            is_moved
        });
        if !is_split {
            let map = self.sim.slot_map("s");
            let text = format!("phase {:?}, term {}, left behind {}", map.phase, map.term, map.superseded_term);
            self.history.recovery_failures.push(RecoveryFailure { check: "not-split", text });
        }
        self.advance(2 * S);
    }
}
