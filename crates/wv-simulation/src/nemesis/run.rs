//! Runs a fault schedule against the simulated fleet, with operators and configuration reads in the background.
use super::operator::OperatorClients;
use super::route_probes::RouteProbes;
use super::shard_plan::PlanOperator;
use super::{Event, FaultBound, History, PlatformCall, Schedule, VersionObservation};
use crate::{Rng, Simulation, MS, S};
use std::collections::{BTreeMap, BTreeSet};

/// Keys of schedules with plans: for some ten seconds, most writes are the first to their key.
const KEY_COUNT: u64 = 2_000;
/// How often responses to operators and the state of nodes are polled.
const POLL_INTERVAL_US: u64 = 5 * MS;
const READ_INTERVAL_US: u64 = 300 * MS;
/// How often control nodes that failed to start are started again.
const RESTART_INTERVAL_US: u64 = 500 * MS;

/// A later step of an event, by the virtual time at which it is due.
#[derive(Clone, Debug)]
pub(super) enum Deferred {
    EndEvent(Event),
    /// The node's name, and whether it is removed permanently.
    KillProcess(String, bool),
    /// The platform has worked on all calls that came while it was slow.
    LateCallsDone,
    SendDelete(usize),
    StopDatabase(usize),
}

pub(super) struct Runner {
    pub sim: Simulation,
    pub rng: Rng,
    pub history: History,
    pub operators: OperatorClients,
    route_probes: RouteProbes,
    pub plan_operator: PlanOperator,
    pub pending: BTreeMap<(u64, u64), Deferred>,
    sequence: u64,
    /// Directed links that each active event blocks, by its time and text form.
    pub blocked_links: BTreeMap<(u64, String), Vec<(String, String)>>,
    /// Nodes stopped by an event; they are not restarted before it ends.
    pub stopped_nodes: BTreeSet<String>,
    /// Nodes that are never restarted.
    pub removed_nodes: BTreeSet<String>,
    /// DELETEs not acknowledged yet: index of the database, token of the call, and when it was sent.
    pub pending_deletes: Vec<(usize, u64, u64)>,
    /// The last configuration version observed, by access node and incarnation.
    observed: BTreeMap<(usize, u64), u64>,
    next_read_us: u64,
    next_restart_us: u64,
}

/// Runs a schedule and the recovery checks after it, and returns the history.
pub fn run(schedule: &Schedule) -> History {
    let tolerated_faults = (schedule.core_nodes.min(7) - 1) / 2;
    let has_version_changes = schedule.has_version_changes();
    let services = if has_version_changes { vec!["s", "t", "u"] } else { vec!["s"] };
    let services: Vec<String> = services.into_iter().map(str::to_owned).collect();
    let mut sim =
        Simulation::with_tolerance(schedule.access_nodes, schedule.core_nodes, &services, tolerated_faults.max(1));
    let mut operators = OperatorClients::new(schedule.seed);
    if has_version_changes {
        sim.key_count = KEY_COUNT;
        operators.sections.probed_service = Some("s");
    }
    let route_probes = if has_version_changes { RouteProbes::start(&mut sim) } else { RouteProbes::default() };
    sim.has_link_timeouts = true;
    sim.rng = Rng::new(schedule.seed ^ 0x5eed);
    (0..schedule.diskless_nodes).for_each(|_| {
        sim.add_diskless_control();
    });
    let mut runner = Runner {
        operators,
        route_probes,
        plan_operator: PlanOperator::default(),
        rng: Rng::new(schedule.seed),
        history: History::default(),
        pending: BTreeMap::new(),
        sequence: 0,
        blocked_links: BTreeMap::new(),
        stopped_nodes: BTreeSet::new(),
        removed_nodes: BTreeSet::new(),
        pending_deletes: Vec::new(),
        observed: BTreeMap::new(),
        next_read_us: 0,
        next_restart_us: 0,
        sim,
    };
    runner.advance(2 * S);
    runner.send_update("c0");
    runner.advance(S);
    runner.sim.start_load(4, "p");
    runner.sim.start_load(2, "b");
    runner.advance(2 * S);
    let start_us = runner.sim.now;
    for event in &schedule.events {
        let at_us = start_us + event.at_ms * MS;
        runner.advance(at_us.saturating_sub(runner.sim.now));
        runner.rng = Rng::new(schedule.seed ^ event.at_ms);
        runner.begin_event(event);
    }
    // Lets the events that are still active end.
    while let Some(((end_us, _), _)) = runner.pending.last_key_value() {
        let remaining_us = end_us.saturating_sub(runner.sim.now);
        runner.advance(remaining_us + POLL_INTERVAL_US);
    }
    runner.check_recovery(schedule.fault_bound);
    if schedule.fault_bound != FaultBound::Unlimited {
        runner.split_shard();
    }
    runner.finish()
}

impl Runner {
    pub(super) fn defer(&mut self, after_us: u64, action: Deferred) {
        self.sequence += 1;
        self.pending.insert((self.sim.now + after_us, self.sequence), action);
    }

    /// Advances the virtual time and performs the deferred actions that become due.
    pub(super) fn advance(&mut self, us: u64) {
        let end = self.sim.now + us;
        while self.sim.now < end {
            let due = self.pending.first_key_value().map_or(u64::MAX, |((at, _), _)| *at);
            let next = (self.sim.now + POLL_INTERVAL_US).min(end).min(due.max(self.sim.now));
            self.sim.run(next - self.sim.now);
            while let Some(entry) = self.pending.first_entry().filter(|entry| entry.key().0 <= self.sim.now) {
                let action = entry.remove();
                self.perform(action);
            }
            self.observe();
        }
    }

    /// Polls responses, records versions and primaries, and restarts control nodes that failed to start.
    fn observe(&mut self) {
        let now = self.sim.now;
        self.operators.poll(&mut self.sim, &mut self.history, &self.removed_nodes);
        self.route_probes.poll(&mut self.sim, &mut self.history);
        self.poll_plan();
        if self.next_read_us <= now {
            self.next_read_us = now + READ_INTERVAL_US;
            self.operators.read(&mut self.sim, &self.removed_nodes);
        }
        for (index, node) in self.sim.access.iter().enumerate() {
            let Some(core) = node.core.as_ref() else { continue };
            let version = core.held_configuration_version();
            if self.observed.insert((index, node.incarnation), version) != Some(version) {
                let observation =
                    VersionObservation { node: node.name.clone(), incarnation: node.incarnation, at_us: now, version };
                self.history.observed_versions.push(observation);
            }
        }
        for database in self.sim.databases.iter().filter(|database| database.is_primary && database.is_up) {
            let primary = (database.service.clone(), database.term, database.id.clone());
            if !self.history.primaries.contains(&primary) {
                self.history.primaries.push(primary);
            }
        }
        self.retry_deletes();
        if self.next_restart_us <= now {
            self.next_restart_us = now + RESTART_INTERVAL_US;
            let is_stopped = |index: &usize| self.sim.controls[*index].core.is_none();
            let is_intended = |index: &usize| {
                let name = &self.sim.controls[*index].name;
                self.stopped_nodes.contains(name) || self.removed_nodes.contains(name)
            };
            let stopped: Vec<usize> =
                (0..self.sim.controls.len()).filter(is_stopped).filter(|index| !is_intended(index)).collect();
            stopped.into_iter().for_each(|index| self.start_control(index));
        }
    }

    /// Repeats the DELETE of each removed database until it is acknowledged.
    fn retry_deletes(&mut self) {
        let now = self.sim.now;
        for (database, token, sent_us) in std::mem::take(&mut self.pending_deletes) {
            let is_acknowledged = self.sim.responses.get(&token).is_some_and(|ret| ret.0 / 100 == 2);
            match sent_us + 300 * MS <= now {
                _ if is_acknowledged => {}
                true => self.send_delete(database),
                false => self.pending_deletes.push((database, token, sent_us)),
            }
        }
    }

    pub(super) fn send_delete(&mut self, database: usize) {
        let path = format!("/instances/{}", self.sim.databases[database].id);
        let is_running = |index: &usize| self.sim.controls[*index].core.is_some();
        let running: Vec<usize> = (0..self.sim.controls.len()).filter(is_running).collect();
        let to = running.get(self.rng.below(running.len() as u64) as usize).copied();
        let token = to.map_or(0, |to| self.sim.call(to, "DELETE", &path, b""));
        self.pending_deletes.push((database, token, self.sim.now));
    }

    fn finish(mut self) -> History {
        self.sim.stop_load();
        self.advance(crate::SETTLE_US);
        let (done, failed) = self.sim.load_counts();
        (self.history.done, self.history.failed) = (done, failed);
        // Without a primary there is no log to compare with; the recovery checks report that case.
        let has_primary = self.sim.databases.iter().any(|database| database.is_primary);
        self.history.statement_violations = match has_primary {
            true => self.sim.check_rules(),
            false => std::mem::take(&mut self.sim.oracle.violations),
        };
        let moved = self.sim.slot_map("s").moved;
        if !moved.is_empty() {
            self.history.statement_violations.extend(self.sim.check_rows("s", "t", &moved));
        }
        let platform_calls = self.sim.promotion_calls.iter().zip(&self.sim.promotion_callers);
        let to_call =
            |((service, id, fence, code), (at, control, incarnation)): (&(String, String, u64, Option<u16>), &_)| {
                PlatformCall {
                    at_us: *at,
                    holder: (*control, *incarnation),
                    service: service.clone(),
                    instance_id: id.clone(),
                    fencing_token: *fence,
                    status: *code,
                }
            };
        self.history.platform_calls = platform_calls.map(to_call).collect();
        self.history.timeline = std::mem::take(&mut self.sim.event_log);
        self.history
    }
}
