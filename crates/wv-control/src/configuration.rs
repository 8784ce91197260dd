//! HTTP calls of operators and databases. A configuration is stored by a majority before it is published.
use crate::core::{Core, CONFIGURATION_KEY};
use crate::proposal::{DecidedConfiguration, Proposal, ProposalStatus};
use crate::types::Operation;
use wv_consensus::{Completion, OperationOutcome};

impl Core {
    /// Handles a call of an operator or a database; the response follows as an effect under `token`.
    pub fn handle_call(&mut self, token: u64, method: &str, path: &str, body: Option<&[u8]>, now: u64) {
        if let Some((status, body)) = self.handle_head(method, path, now) {
            return self.respond(token, status, body);
        }
        // Without a majority the outcome of a proposal would be unknown, so the call is refused before it is started.
        let is_configuration = path.split('?').next().is_some_and(|path| path.trim_matches('/') == "configuration");
        if is_configuration && matches!(method, "PUT" | "GET") && !self.has_majority() && !self.is_starting() {
            return self.respond(token, 503, "{\"cause\":\"no majority of the voters is in contact\"}");
        }
        let segments: Vec<&str> = path.split('?').next().unwrap_or(path).trim_matches('/').split('/').collect();
        match (method, &segments[..]) {
            ("PUT", ["configuration"]) => self.put_configuration(token, body),
            ("GET", ["configuration"]) => {
                self.operations.insert(token, Operation::ReadConfiguration);
                self.proposer.start(token, CONFIGURATION_KEY, None, self.now);
                self.run_proposer();
            }
            ("PUT", ["instances", id]) if !id.is_empty() => self.put_instance(token, id, body),
            ("DELETE", ["instances", id]) if !id.is_empty() => self.delete_instance(token, id),
            ("GET", ["instances"]) => self.list_instances(token),
            ("GET", ["voters"]) => self.list_voters(token),
            ("GET", ["shards"]) => self.list_shards(token),
            ("GET", ["forecast" | "splits"]) => self.list_shard_status(token),
            (_, [part @ ("forecast" | "splits" | "things"), shard]) => {
                self.handle_shard_call(token, method, (part, shard), body)
            }
            (
                _,
                ["forecast" | "splits" | "shards"] | ["voters"] | ["configuration"] | ["instances"] | ["instances", _],
            ) => self.respond(token, 405, "{\"cause\":\"this method is not served here\"}"),
            _ => self.respond(token, 404, "{\"cause\":\"no such path\"}"),
        }
    }

    pub(crate) fn put_configuration(&mut self, token: u64, body: Option<&[u8]>) {
        let Some(body) = body.filter(|body| body.len() <= crate::core::BODY_MAX_BYTES) else {
            return self.respond(token, 413, "{\"cause\":\"the configuration body is too large\"}");
        };
        // An invalid configuration is rejected even if its version is old.
        let configuration = match self.parse_configuration(body) {
            Ok(configuration) => configuration,
            Err(error) => return self.respond(token, 400, error_body(&error.to_string())),
        };
        self.admit_configuration(token, &configuration, body);
    }

    pub(crate) fn on_operation_completed(&mut self, completion: Completion) {
        let Some(operation) = self.operations.remove(&completion.token) else { return };
        let operation = match operation {
            Operation::ClaimDuty(service, step) => return self.on_duty_claimed(service, step, completion.outcome),
            Operation::ConfirmPlatformCall(call) => return self.call_confirmed(*call, completion.outcome),
            Operation::ReadDuty(service, step) => return self.on_duty_read(service, step, completion.outcome),
            Operation::ConfirmDuty(service, step) => return self.on_duty_confirmed(service, step, completion.outcome),
            Operation::SweepRegister => return,
            Operation::ResetShardMap(token, shard) => return self.shard_map_reset(token, &shard, completion.outcome),
            Operation::ConfirmPlan(token, shard) => return self.plan_read(token, &shard, completion.outcome),
            Operation::WriteOwner(service) => return self.on_owner_written(&service, completion.outcome),
            Operation::ShardRegister(shard, op) => return self.register_op_done(shard, op, completion.outcome),
            operation => operation,
        };
        if completion.key == CONFIGURATION_KEY {
            if let OperationOutcome::Read(cell) | OperationOutcome::Written(cell) | OperationOutcome::Unchanged(cell) =
                &completion.outcome
            {
                let is_new = cell.version > self.committed_version;
                self.apply_committed(cell);
                if is_new && matches!(operation, Operation::Propose(_)) {
                    self.notify_committed(CONFIGURATION_KEY, completion.ballot);
                }
            }
        }
        match (operation, completion.outcome) {
            (Operation::Propose(proposal), OperationOutcome::Written(cell) | OperationOutcome::Unchanged(cell)) => {
                self.proposal_decided(completion.token, &proposal, &cell)
            }
            (Operation::ReadConfiguration, OperationOutcome::Read(cell))
                if cell.version == 0 && cell.bytes.is_empty() =>
            {
                self.respond(completion.token, 404, "{\"cause\":\"no configuration has been accepted yet\"}")
            }
            (Operation::ReadConfiguration, OperationOutcome::Read(cell)) => {
                match self.compressor.decompress(&DecidedConfiguration::read(&cell).body, crate::core::BODY_MAX_BYTES) {
                    Ok(body) => self.respond(completion.token, 200, body),
                    Err(error) => self.respond(completion.token, 500, error_body(&error.to_string())),
                }
            }
            (Operation::SyncConfiguration(period), outcome) => {
                self.on_configuration_read(period, matches!(outcome, OperationOutcome::Read(_)))
            }
            (_, _) => self.respond(completion.token, 503, "{\"cause\":\"no majority of the voters replied\"}"),
        }
    }

    /// Responds to a proposal by the current value of the register.
    fn proposal_decided(&mut self, token: u64, proposal: &Proposal, cell: &wv_internal_protocol::RegisterValue) {
        match DecidedConfiguration::read(cell).status(proposal) {
            // A proposal below the current version is acknowledged and has no effect.
            ProposalStatus::Accepted | ProposalStatus::Superseded => self.acknowledge_configuration(token),
            ProposalStatus::Conflict => {
                let text = format!("another configuration was accepted under number {}", proposal.number);
                let body = serde_json::json!({ "cause": text, "issue": proposal.number, "newest": cell.version });
                self.respond(token, 409, body.to_string());
            }
            ProposalStatus::Unknown => self.respond(token, 400, error_body("issue: numbers begin at 1")),
        }
    }

    /// A configuration was committed under this ballot: apply it if it is stored here, else read the register.
    pub(crate) fn handle_committed(&mut self, accepted: wv_internal_protocol::Ballot) {
        let value = self
            .store
            .get(CONFIGURATION_KEY)
            .filter(|register| register.accepted == accepted)
            .map(|register| register.value.clone());
        match value {
            Some(cell) => self.apply_committed(&cell),
            None => self.read_newest_configuration(),
        }
    }

    /// Applies a configuration that a majority has stored, unless it is older than the current one.
    pub(crate) fn apply_committed(&mut self, cell: &wv_internal_protocol::RegisterValue) {
        let decided = DecidedConfiguration::read(cell);
        let digest = decided.accepted.last().map_or(0, |proposal| proposal.digest);
        if cell.version >= self.committed_version {
            self.is_first_configuration = decided.accepted.len() == 1;
        }
        if cell.version == self.committed_version && digest != self.committed_digest {
            // Violates the agreement of the register.
            log::error!(
                "configuration {} was committed with two contents: {digest:x}, {:x}",
                cell.version,
                self.committed_digest
            );
        }
        if cell.version > self.committed_version && !cell.bytes.is_empty() {
            match self.compressor.decompress(&decided.body, crate::core::BODY_MAX_BYTES) {
                Ok(body) => self.apply_configuration(cell.version, decided.body, &body),
                Err(error) => {
                    (self.committed_version, self.committed_digest) = (cell.version, digest);
                    log::error!(
                        "cannot decompress committed configuration {}, keeping the previous one: {error}",
                        cell.version
                    );
                }
            }
        }
    }
}

pub(crate) fn error_body(text: &str) -> Vec<u8> {
    serde_json::json!({ "cause": text }).to_string().into_bytes()
}
