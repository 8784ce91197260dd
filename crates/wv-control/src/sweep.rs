//! Empties the registers of services and plans that no longer exist. Their versions are kept, so that fences never
//! decrease when a name is reused.
use crate::core::Core;
use wv_internal_protocol::{AcceptorState, RegisterValue, SlotMap};

const SWEEP_DUTY: &str = "sweep";
const SWEEP_INTERVAL_US: u64 = 10_000_000;
/// A register is emptied after its name has been missing from the configuration for this long.
const ORPHAN_RETENTION_US: u64 = 120_000_000;
const MAX_REGISTERS_PER_SWEEP: usize = 16;

/// The name that a register belongs to, and whether it is a plan's rather than a service's.
fn register_owner(key: &str) -> Option<(bool, &str)> {
    let (part, name) = key.split_once('/')?;
    match part {
        "duty" | "own" => Some((false, name)),
        "slots" | "fill" | "fresh" => Some((true, name)),
        part if part.starts_with("things-") => Some((true, name)),
        _ => None,
    }
}

/// Moved slots can only be located through the slot map, so such a map is kept even without a plan.
fn has_moved(key: &str, state: &AcceptorState) -> bool {
    let decode = || <SlotMap as nanoserde::DeBin>::deserialize_bin(&state.value.bytes);
    key.starts_with("slots/") && decode().map_or(true, |map| !map.moved.is_empty())
}

impl Core {
    /// Empties orphaned registers if this node holds the sweep duty.
    pub(crate) fn run_sweep(&mut self) {
        if self.last_sweep + SWEEP_INTERVAL_US > self.now
            || !self.membership.is_duty_holder(SWEEP_DUTY)
            || !self.is_caught_up()
        {
            return;
        }
        self.last_sweep = self.now;
        let Some(configuration) = self.configuration.as_ref() else { return };
        let is_named = |is_plan: bool, name: &str| {
            let is_plan_named = || configuration.shard_plans.iter().any(|plan| plan.shard == name);
            if is_plan {
                is_plan_named()
            } else {
                configuration.services.contains_key(name)
            }
        };
        let is_gone = |(key, state): &(&str, &AcceptorState)| {
            let is_orphaned = register_owner(key).is_some_and(|(is_plan, name)| !is_named(is_plan, name));
            is_orphaned && !state.value.bytes.is_empty() && !has_moved(key, state)
        };
        let gone: std::collections::BTreeSet<String> =
            self.store.iter().filter(is_gone).map(|(key, _)| key.to_owned()).collect();
        let now = self.now;
        self.orphaned_since.retain(|key, _| gone.contains(key));
        gone.into_iter().for_each(|key| {
            self.orphaned_since.entry(key).or_insert(now);
        });
        let is_expired = |(_, since): &(&String, &u64)| **since + ORPHAN_RETENTION_US <= now;
        let due: Vec<String> = self
            .orphaned_since
            .iter()
            .filter(is_expired)
            .take(MAX_REGISTERS_PER_SWEEP)
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.orphaned_since.remove(&key);
            let token = self.allocate_id();
            // Starts a new ballot, so a concurrent claim gets a higher version in either order.
            let edit: wv_consensus::UpdateFn = Box::new(|current| {
                let version = ((current.version >> 16) + 1) << 16;
                (!current.bytes.is_empty())
                    .then(|| RegisterValue { version: version.max(current.version + 1), ..RegisterValue::default() })
            });
            self.operations.insert(token, crate::types::Operation::SweepRegister);
            self.proposer.start(token, &key, Some(edit), self.now);
        }
    }
}
