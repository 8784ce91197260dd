//! Admission of proposed configurations. Checks against existing state use values read from a majority, never only this
//! node's view.
use crate::configuration::error_body;
use crate::core::Core;
use crate::proposal::{accept, digest, Proposal};
use crate::types::Operation;
use std::collections::BTreeSet;
use wv_consensus::OperationOutcome;
use wv_internal_protocol::SlotMap;

/// Pending proposals are refused after this time, before callers time out after one second.
const PROPOSAL_TIMEOUT_US: u64 = 800_000;
const MAX_PENDING_PROPOSALS: usize = 32;

const NO_MAJORITY_REPLY: &str = "{\"cause\":\"no majority of the voters replied\"}";

/// A proposal that waits for registers to be read.
pub(crate) struct PendingProposal {
    token: u64,
    body: Vec<u8>,
    /// Shards whose plan it makes or removes and whose slot maps are still being reset; `None` until this node has caught
    /// up.
    shards: Option<BTreeSet<String>>,
    deadline: u64,
}

impl Core {
    /// Proposes a valid configuration, after resetting the slot maps of shards whose plan it makes or removes: while a
    /// shard has no plan, nodes write to it without reports, so nothing of an earlier plan may hold for a later one.
    pub(crate) fn admit_configuration(
        &mut self,
        token: u64,
        configuration: &wv_configuration::Configuration,
        body: &[u8],
    ) {
        if self.pending_proposals.len() >= MAX_PENDING_PROPOSALS {
            return self.respond(token, 503, NO_MAJORITY_REPLY);
        }
        let deadline = self.now + PROPOSAL_TIMEOUT_US;
        let pending = |shards| PendingProposal { token, body: body.to_vec(), shards, deadline };
        if !self.is_caught_up() {
            return self.pending_proposals.push(pending(None));
        }
        let mut changed = self.dropped_plans(configuration);
        changed.extend(self.new_plans(configuration));
        if changed.is_empty() {
            return self.propose(token, configuration.version, body);
        }
        self.pending_proposals.push(pending(Some(changed.clone())));
        for shard in changed {
            let reset = self.allocate_id();
            self.operations.insert(reset, Operation::ResetShardMap(token, shard.clone()));
            let key = crate::shards::register_key("slots", &shard);
            self.proposer.start(reset, &key, Some(crate::shard_registers::reset_unless_moved()), self.now);
        }
        self.run_proposer();
    }

    /// Shards with a plan or moved slots that the configuration has no plan for.
    fn dropped_plans(&self, configuration: &wv_configuration::Configuration) -> BTreeSet<String> {
        let is_kept = |shard: &&String| configuration.shard_plans.iter().any(|plan| plan.shard == **shard);
        let planned = self.configuration.iter().flat_map(|current| current.shard_plans.iter().map(|plan| &plan.shard));
        let moved = self.feed.slots().values().filter(|map| !map.moved.is_empty()).map(|map| &map.shard);
        let is_newer = configuration.version > self.committed_version;
        planned.chain(moved).filter(|shard| is_newer && !is_kept(shard)).cloned().collect()
    }

    /// Shards that the configuration in force has no plan for and the proposed one has.
    fn new_plans(&self, configuration: &wv_configuration::Configuration) -> BTreeSet<String> {
        let Some(current) = self.configuration.as_ref() else { return BTreeSet::new() };
        let is_new = |shard: &&String| current.shard_plans.iter().all(|plan| plan.shard != **shard);
        let planned = configuration.shard_plans.iter().map(|plan| &plan.shard);
        planned.filter(|shard| configuration.version > self.committed_version && is_new(shard)).cloned().collect()
    }

    /// The slot map of a shard whose plan is made or removed was reset on a majority.
    pub(crate) fn shard_map_reset(&mut self, token: u64, shard: &str, outcome: OperationOutcome) {
        if let OperationOutcome::Written(cell) = &outcome {
            self.announce_slots(crate::shard_registers::reset_map(shard, cell.version));
        }
        let Some(at) = self.pending_proposals.iter().position(|pending| pending.token == token) else { return };
        let map = match outcome {
            OperationOutcome::Written(cell) | OperationOutcome::Unchanged(cell) if cell.bytes.is_empty() => {
                Some(SlotMap::default())
            }
            OperationOutcome::Unchanged(cell) => nanoserde::DeBin::deserialize_bin(&cell.bytes).ok(),
            _ => None,
        };
        let Some(map) = map else {
            self.pending_proposals.swap_remove(at);
            return self.respond(token, 503, NO_MAJORITY_REPLY);
        };
        // Moved slots can only be located through the plan.
        if !map.moved.is_empty() {
            self.pending_proposals.swap_remove(at);
            let text = format!("shardPlans: slots of {shard} have moved, so its plan cannot be removed");
            return self.respond(token, 400, error_body(&text));
        }
        let left = self.pending_proposals[at].shards.get_or_insert_default();
        left.remove(shard);
        if left.is_empty() {
            let pending = self.pending_proposals.swap_remove(at);
            match self.parse_configuration(&pending.body) {
                Ok(configuration) => self.propose(token, configuration.version, &pending.body),
                Err(error) => self.respond(token, 400, error_body(&error.to_string())),
            }
        }
    }

    /// Responds while no configuration is known here. Only a node that has caught up can tell that there is none.
    pub(crate) fn respond_no_configuration(&mut self, token: u64) {
        if self.is_caught_up() {
            return self.respond(token, 404, error_body("no configuration has been accepted yet"));
        }
        self.respond(token, 503, NO_MAJORITY_REPLY)
    }

    fn propose(&mut self, token: u64, number: u64, body: &[u8]) {
        let proposal = Proposal { number, digest: digest(body) };
        self.operations.insert(token, Operation::Propose(proposal));
        self.proposer.start(
            token,
            crate::core::CONFIGURATION_KEY,
            Some(accept(proposal, self.compressor.compress(body))),
            self.now,
        );
        self.run_proposer();
    }

    /// Continues the proposals that waited for this node to catch up.
    pub(crate) fn resume_pending(&mut self) {
        let is_waiting = |pending: &PendingProposal| pending.shards.is_none();
        let (due, rest) = std::mem::take(&mut self.pending_proposals).into_iter().partition(is_waiting);
        self.pending_proposals = rest;
        let due: Vec<PendingProposal> = due;
        due.into_iter().for_each(|pending| self.put_configuration(pending.token, Some(&pending.body)));
    }

    /// Refuses all pending proposals after contact was lost, so that callers try another node.
    pub(crate) fn refuse_pending(&mut self) {
        let refused = std::mem::take(&mut self.pending_proposals);
        refused.into_iter().for_each(|pending| self.respond(pending.token, 503, NO_MAJORITY_REPLY));
    }

    pub(crate) fn expire_pending(&mut self) {
        let now = self.now;
        let (expired, rest) =
            std::mem::take(&mut self.pending_proposals).into_iter().partition(|pending| pending.deadline <= now);
        self.pending_proposals = rest;
        let expired: Vec<PendingProposal> = expired;
        expired.into_iter().for_each(|pending| self.respond(pending.token, 503, NO_MAJORITY_REPLY));
    }
}
