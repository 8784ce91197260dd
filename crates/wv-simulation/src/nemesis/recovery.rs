//! Operator actions of a schedule, and the checks that the fleet recovers after the last fault.
use super::run::Runner;
use super::{Event, EventKind, FaultBound, RecoveryFailure};
use crate::{MS, S};

/// Time for nodes to reestablish contact after the last fault.
const CONTACT_TIMEOUT_US: u64 = 4 * S;
/// Limit for the acknowledgement of an update sent to a running control node.
const ACKNOWLEDGE_TIMEOUT_US: u64 = S;
/// Time for all access nodes to apply an acknowledged version.
const APPLY_TIMEOUT_US: u64 = 3 * S;

impl Runner {
    /// Creates a valid update and sends it, first to the named control node.
    pub(super) fn send_update(&mut self, name: &str) -> usize {
        let (now, version) = (self.sim.now, self.operators.next_version());
        let update = self.operators.create_update(&mut self.history, version, 0, now);
        self.send_to(update, name, 0);
        update
    }

    fn send_to(&mut self, update: usize, name: &str, delay_us: u64) {
        let index = match self.find_node(name) {
            Some(crate::NodeId::Control(index)) => index,
            _ => 0,
        };
        let at_us = self.sim.now + delay_us;
        self.operators.send(update, index, at_us);
    }

    pub(super) fn perform_operator_action(&mut self, event: &Event) {
        let now = self.sim.now;
        let target = |index: usize| event.targets.get(index).or(event.targets.first()).cloned().unwrap_or_default();
        match event.kind {
            EventKind::Update => {
                self.send_update(&target(0));
            }
            EventKind::ConcurrentUpdates => {
                let version = self.operators.next_version();
                for variant in 0..2u64 {
                    let update = self.operators.create_update(&mut self.history, version, variant, now);
                    self.send_to(update, &target(variant as usize), variant * event.amount);
                }
            }
            EventKind::UpdateBurst => {
                for index in 0..event.amount.min(8) as usize {
                    self.send_update(&event.targets[index % event.targets.len().max(1)].clone());
                }
            }
            EventKind::ResendUpdate => {
                let is_valid_update = |index: &usize| self.history.updates[*index].is_valid;
                let sent: Vec<usize> = (0..self.history.updates.len()).filter(is_valid_update).collect();
                let index = self.rng.below(sent.len() as u64) as usize;
                if let Some(update) = sent.get(index).copied() {
                    self.send_to(update, &target(0), 0);
                }
            }
            EventKind::InvalidUpdate => {
                let update = self.operators.create_invalid_update(&mut self.history, event.amount, now);
                self.send_to(update, &target(0), 0);
            }
            kind if kind.is_version_change() => self.change_sections(kind, &target(0)),
            _ => {}
        }
    }

    fn change_sections(&mut self, kind: EventKind, name: &str) {
        let sections = &mut self.operators.sections;
        match kind {
            EventKind::MoveRoute => {
                let is_moved = sections.probed_service == Some("u");
                sections.probed_service = Some(if is_moved { "s" } else { "u" });
            }
            EventKind::MovePartners => sections.has_partners = !sections.has_partners,
            EventKind::MakePlan => sections.has_plan = true,
            _ => sections.has_plan = false,
        }
        let had_plan = self.plan_operator.has_plan();
        let has_plan = sections.has_plan;
        let update = self.send_update(name);
        match (had_plan, has_plan) {
            (false, true) => self.plan_operator.plan_made(update),
            (true, false) => self.plan_operator.plan_withdrawn(),
            _ => {}
        }
    }

    fn record_failure(&mut self, check: &'static str, text: String) {
        self.history.recovery_failures.push(RecoveryFailure { check, text });
    }

    /// Checks that the fleet recovers once all faults have ended; unlimited faults promise no recovery.
    pub(super) fn check_recovery(&mut self, fault_bound: FaultBound) {
        self.sim.log_event("nemesis: all faults ended");
        self.advance(CONTACT_TIMEOUT_US);
        let is_running = |index: &usize| self.sim.controls[*index].core.is_some();
        let running: Vec<usize> = (0..self.sim.controls.len()).filter(is_running).collect();
        if fault_bound == FaultBound::Unlimited {
            running.into_iter().for_each(|index| self.operators.read_from(&mut self.sim, index));
            return self.advance(2 * S);
        }
        self.check_plan();
        for index in &running {
            let name = self.sim.controls[*index].name.clone();
            let (started_us, update) = (self.sim.now, self.send_update(&name));
            while self.history.acknowledgements(update).next().is_none()
                && self.sim.now < started_us + ACKNOWLEDGE_TIMEOUT_US
            {
                self.advance(10 * MS);
            }
            if self.history.acknowledgements(update).next().is_none() {
                let statuses: Vec<u16> = self
                    .history
                    .responses
                    .iter()
                    .filter(|response| response.update == update)
                    .map(|response| response.status)
                    .collect();
                self.record_failure(
                    "late-acknowledged",
                    format!("update sent to {name} was not acknowledged, response statuses {statuses:?}"),
                );
            }
        }
        self.advance(APPLY_TIMEOUT_US);
        let newest_version = self.history.newest_acknowledged(self.sim.now);
        self.check_convergence(&running, newest_version);
        self.check_service();
        let unfinished_updates = self.operators.unfinished_updates();
        if let Some(update) = unfinished_updates.first().map(|update| &self.history.updates[*update]) {
            let text = format!(
                "{} updates are still unfinished, the first has version {}",
                unfinished_updates.len(),
                update.version
            );
            self.record_failure("order-open", text);
        }
    }

    /// Checks that all nodes have the newest version and agree on one voter set.
    fn check_convergence(&mut self, running: &[usize], newest_version: u64) {
        let stale: Vec<String> = self
            .sim
            .access
            .iter()
            .filter(|node| {
                node.core
                    .as_ref()
                    .is_none_or(|core| core.held_configuration_version() < newest_version || !core.is_ready())
            })
            .map(|node| {
                let state = node.core.as_ref().map(|core| (core.held_configuration_version(), core.is_ready()));
                format!("{} {state:?} at {:?}", node.name, node.session)
            })
            .collect();
        if !stale.is_empty() {
            self.record_failure(
                "late-in-force",
                format!("version {newest_version} is acknowledged but not in force: {}", stale.join(", ")),
            );
        }
        let reads_before = self.history.reads.len();
        running.iter().for_each(|index| self.operators.read_from(&mut self.sim, *index));
        self.advance(S);
        let reads_completed = self.history.reads.len() - reads_before;
        if reads_completed < running.len() {
            self.record_failure(
                "not-read",
                format!("{reads_completed} of {} nodes answered a configuration read", running.len()),
            );
        }
        let tokens: Vec<u64> = running.iter().map(|index| self.sim.call(*index, "GET", "/voters", b"")).collect();
        self.advance(200 * MS);
        let voter_sets: Vec<String> = tokens
            .iter()
            .map(|token| {
                self.sim.responses.get(token).map_or(String::new(), |ret| String::from_utf8_lossy(&ret.1).into())
            })
            .collect();
        let set_numbers: std::collections::BTreeSet<Option<u64>> =
            voter_sets.iter().map(|voter_set| voter_set_number(voter_set)).collect();
        let voters = voter_sets.iter().map(|voter_set| voter_set.matches("\"votes\"").count()).max().unwrap_or(0);
        let members = voter_sets.iter().map(|voter_set| voter_set.matches("\"address\"").count()).max().unwrap_or(0);
        // The voters must tolerate as many further losses as a set of all running core nodes would.
        let core = running.iter().filter(|index| self.sim.controls[**index].has_disk).count().min(7);
        let tolerated_faults = core.saturating_sub(1) / 2;
        if set_numbers.len() != 1 || members % 2 == 0 || voters < members / 2 + 1 + tolerated_faults {
            self.record_failure(
                "not-settled",
                format!("voter sets {set_numbers:?}, {voters} of {members} members vote: {}", voter_sets.join(" ")),
            );
        }
    }

    /// Checks that no replica is left suspended, and that clients are served on both routes.
    fn check_service(&mut self) {
        let databases = self.sim.databases.iter().filter(|database| database.is_up && !database.is_removed);
        let suspended: Vec<String> =
            databases.filter(|database| database.suspended > 0).map(|database| database.id.clone()).collect();
        if !suspended.is_empty() {
            self.record_failure("left-suspended", format!("replicas still suspended: {}", suspended.join(", ")));
        }
        let before = [self.sim.route_counts("p"), self.sim.route_counts("b")];
        self.advance(2 * S);
        let after = [self.sim.route_counts("p"), self.sim.route_counts("b")];
        for (route, (before, after)) in ["p", "b"].iter().zip(before.iter().zip(after.iter())) {
            let (done, failed) = (after.0 - before.0, after.1 - before.1);
            if done < 10 || failed > done / 4 {
                let states = self.sim.status_lines().join("; ");
                self.record_failure(
                    "not-served",
                    format!("route {route}: {done} operations succeeded and {failed} failed within 2 s; {states}"),
                );
            }
        }
    }
}

fn voter_set_number(text: &str) -> Option<u64> {
    serde_json::from_str::<serde_json::Value>(text).ok()?["number"].as_u64()
}
