//! When a configuration with split plans is acknowledged.
//!
//! From the acknowledgement of a plan on, no write to its shard may be unknown to the split. Access nodes that go by an
//! older configuration do not report what they write, so a configuration is acknowledged only once each of its planned
//! shards has a slot map: the map is completed after a promotion of the shard that began when the plan was in force, and
//! a node that was told of the promoted database was told of the plan before.
use crate::configuration::error_body;
use crate::core::Core;
use crate::shard_registers::{holds_complete_map, reset_map};
use crate::types::Operation;
use std::collections::BTreeSet;
use wv_consensus::OperationOutcome;

/// The planned shards whose slot maps a call still waits for.
pub(crate) struct PlanConfirmation {
    shards: BTreeSet<String>,
}

impl Core {
    /// Acknowledges a decided configuration once the plans in force have slot maps. The first configuration of all needs
    /// none: no node can have written under an older one.
    pub(crate) fn acknowledge_configuration(&mut self, token: u64) {
        let plans = self.configuration.iter().flat_map(|configuration| &configuration.shard_plans);
        let shards: BTreeSet<String> = plans.map(|plan| plan.shard.clone()).collect();
        if shards.is_empty() || self.is_first_configuration {
            return self.respond(token, 200, "{}");
        }
        self.plan_confirmations.insert(token, PlanConfirmation { shards: shards.clone() });
        for shard in shards {
            let read = self.allocate_id();
            self.operations.insert(read, Operation::ConfirmPlan(token, shard.clone()));
            self.proposer.start(read, &crate::shards::register_key("slots", &shard), None, self.now);
        }
        self.run_proposer();
    }

    /// The slot map of a planned shard was read from a majority.
    pub(crate) fn plan_read(&mut self, token: u64, shard: &str, outcome: OperationOutcome) {
        let Some(confirmation) = self.plan_confirmations.get_mut(&token) else { return };
        let OperationOutcome::Read(cell) = outcome else {
            return self.refuse_confirmation(token, "no majority of the voters replied");
        };
        if holds_complete_map(&cell) {
            confirmation.shards.remove(shard);
            if confirmation.shards.is_empty() {
                self.plan_confirmations.remove(&token);
                self.respond(token, 200, "{}");
            }
            return;
        }
        // A coordinator that missed the reset of the map learns of it here.
        if cell.bytes.is_empty() {
            self.announce_slots(reset_map(shard, cell.version));
        }
        self.refuse_confirmation(token, &format!("the plan of {shard} is not in force at all nodes yet, call again"));
    }

    fn refuse_confirmation(&mut self, token: u64, cause: &str) {
        self.plan_confirmations.remove(&token);
        self.respond(token, 503, error_body(cause));
    }
}
