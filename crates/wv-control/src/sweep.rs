//! Registers of services and plans that are gone: their values are dropped, their versions stay, so that a fence never
//! goes back when a name returns.
use crate::core::Core;
use wv_internal_protocol::{AcceptorState, RegisterValue, SlotMap};

/// The key of the duty of sweeping.
const DUTY: &str = "sweep";
const SWEEP_US: u64 = 10_000_000;
/// A name that the configuration has lacked for this long is gone.
const GONE_US: u64 = 120_000_000;
/// So many registers are emptied at once.
const BATCH: usize = 16;

/// Whose register it is: a service's, or a plan's.
fn owner(key: &str) -> Option<(bool, &str)> {
    let (part, name) = key.split_once('/')?;
    match part {
        "duty" | "own" => Some((false, name)),
        "slots" | "fill" | "fresh" => Some((true, name)),
        part if part.starts_with("things-") => Some((true, name)),
        _ => None,
    }
}

/// Slots that have moved are found only through their map: it outlives even its plan.
fn has_moved(key: &str, held: &AcceptorState) -> bool {
    let map = <SlotMap as nanoserde::DeBin>::deserialize_bin(&held.value.bytes);
    key.starts_with("slots/") && map.map_or(true, |map| !map.moved.is_empty())
}

impl Core {
    /// The holder of the duty empties what nothing refers to any more.
    pub(crate) fn run_sweep(&mut self) {
        if self.swept + SWEEP_US > self.now || !self.roster.is_duty_holder(DUTY) || !self.is_caught_up() {
            return;
        }
        self.swept = self.now;
        let Some(conf) = self.conf.as_ref() else { return };
        let is_named = |is_plan: bool, name: &str| {
            let is_plan_named = || conf.shard_plans.iter().any(|plan| plan.shard == name);
            if is_plan {
                is_plan_named()
            } else {
                conf.services.contains_key(name)
            }
        };
        let is_gone = |(key, held): &(&str, &AcceptorState)| {
            let is_left = owner(key).is_some_and(|(is_plan, name)| !is_named(is_plan, name));
            is_left && !held.value.bytes.is_empty() && !has_moved(key, held)
        };
        let gone: std::collections::BTreeSet<String> =
            self.store.iter().filter(is_gone).map(|(key, _)| key.to_owned()).collect();
        let now = self.now;
        self.unnamed.retain(|key, _| gone.contains(key));
        gone.into_iter().for_each(|key| {
            self.unnamed.entry(key).or_insert(now);
        });
        let is_over = |(_, since): &(&String, &u64)| **since + GONE_US <= now;
        let due: Vec<String> = self.unnamed.iter().filter(is_over).take(BATCH).map(|(key, _)| key.clone()).collect();
        for key in due {
            self.unnamed.remove(&key);
            let token = self.fresh_id();
            // Whoever claims it at the same time finds the next version either way.
            let edit: wv_consensus::UpdateFn = Box::new(|held| {
                let version = ((held.version >> 16) + 1) << 16;
                (!held.bytes.is_empty())
                    .then(|| RegisterValue { version: version.max(held.version + 1), ..RegisterValue::default() })
            });
            self.waiting.insert(token, crate::types::Waiting::Swept);
            self.quorum.start(token, &key, Some(edit), self.now);
        }
    }
}
