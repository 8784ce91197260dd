//! Plays a recording on a simulated fleet while nodes are dropped.
use crate::recording::{RecordedAction, Recording, RecordingError};
use crate::recording_report::{DropOutcome, RecordingReport, ReportContext};
use std::collections::BTreeMap;
use wv_simulation::{Simulation, MS, S};

/// Time that the fleet runs before the recording starts, so that it can form.
const WARM_UP_US: u64 = 4 * S;
const POLL_INTERVAL_US: u64 = 20 * MS;
/// A takeover that takes longer than this counts as failed.
const TAKEOVER_TIMEOUT_US: u64 = 20 * S;
/// Maximum number of names of one kind listed in an error.
const MAX_NAMES_LISTED: usize = 24;

/// A node to drop, and when to restart it.
#[derive(Clone, PartialEq, Debug)]
pub struct NodeDrop {
    pub node: String,
    pub at_us: u64,
    pub restart_us: Option<u64>,
}

impl std::str::FromStr for NodeDrop {
    type Err = RecordingError;

    /// Parses `NODE@SECONDS` or `NODE@SECONDS:SECONDS`; the second time is that of the restart.
    fn from_str(text: &str) -> Result<NodeDrop, RecordingError> {
        let error =
            || RecordingError::InvalidDrop(text.to_owned(), "expected NODE@SECONDS or NODE@SECONDS:SECONDS".to_owned());
        let (node, times) = text.rsplit_once('@').ok_or_else(error)?;
        let us = |word: &str| -> Result<u64, RecordingError> {
            let seconds: f64 = word.parse().map_err(|_| error())?;
            (0.0..=1e6).contains(&seconds).then_some((seconds * 1e6) as u64).ok_or_else(error)
        };
        let (at, restart) = times.split_once(':').map_or((times, None), |(at, restart)| (at, Some(restart)));
        let drop = NodeDrop { node: node.to_owned(), at_us: us(at)?, restart_us: restart.map(us).transpose()? };
        (drop.restart_us.is_none_or(|at| at > drop.at_us) && !drop.node.is_empty()).then_some(drop).ok_or_else(error)
    }
}

#[derive(Clone, Debug)]
pub struct PlaybackOptions {
    pub drops: Vec<NodeDrop>,
    pub control_nodes: usize,
    pub from_us: u64,
    pub until_us: u64,
    pub seed: u64,
    /// Execution time of a statement at a database.
    pub statement_us: u64,
    /// Maximum 99th percentile latency of browse requests.
    pub browse_limit_us: Option<u64>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum DropTarget {
    Access(usize),
    Control(usize),
    Database(usize),
}

struct Player<'a> {
    sim: Simulation,
    nodes: Vec<String>,
    options: &'a PlaybackOptions,
    start_us: u64,
    drops: Vec<DropOutcome>,
}

/// Plays `recording`; the same recording and options always give the same report.
pub fn play_recording(recording: &Recording, options: &PlaybackOptions) -> Result<RecordingReport, RecordingError> {
    let nodes = recording.nodes();
    let mut services: Vec<String> = Vec::new();
    for event in &recording.events {
        if let RecordedAction::Open { service, .. } = &event.action {
            if !services.contains(service) {
                services.push(service.clone());
            }
        }
    }
    services.sort();
    if nodes.is_empty() || services.is_empty() {
        return Err(RecordingError::Invalid("the recording has no nodes or no sessions".to_owned()));
    }
    let mut sim = Simulation::with_services(nodes.len(), options.control_nodes, &services);
    (sim.key_count, sim.rng) = (10_000, wv_simulation::Rng::new(options.seed));
    sim.databases.iter_mut().for_each(|database| database.statement_us = options.statement_us);
    sim.run(2 * S);
    let token = sim.call(0, "PUT", "/configuration", &Simulation::configuration_for(1, &services));
    sim.run(WARM_UP_US - 2 * S);
    if sim.responses.get(&token).map(|ret| ret.0) != Some(200) {
        return Err(RecordingError::Invalid("the simulated fleet did not accept its configuration".to_owned()));
    }
    let start_us = sim.now;
    let mut player = Player { sim, nodes, options, start_us, drops: Vec::new() };
    let targets: Vec<(NodeDrop, DropTarget)> = options
        .drops
        .iter()
        .map(|drop| Ok((drop.clone(), player.find(drop)?)))
        .collect::<Result<_, RecordingError>>()?;
    let end = player.schedule_traffic(recording, &services)?;
    player.run(&targets, end);
    let kind_names = recording.header.get("kinds").cloned().unwrap_or_default();
    let run = std::mem::take(&mut player.sim.workload);
    let violations = player.sim.check_rules();
    let promotions = player.sim.promotion_calls.iter().filter(|post| post.3 == Some(200)).count();
    let unclear = player.sim.oracle.indeterminate;
    let (nodes, drops, browse_limit_us) = (player.nodes, player.drops, options.browse_limit_us);
    let context = ReportContext { nodes, start_us, drops, kind_names, browse_limit_us };
    Ok(RecordingReport::new(run, context, violations, promotions, unclear))
}

impl Player<'_> {
    fn find(&self, drop: &NodeDrop) -> Result<DropTarget, RecordingError> {
        let name = drop.node.as_str();
        let numbered = |letter: char, count: usize| {
            name.strip_prefix(letter).and_then(|rest| rest.parse::<usize>().ok()).filter(|at| *at < count)
        };
        let access = self.nodes.iter().position(|node| node == name).map(DropTarget::Access);
        let database = || self.sim.database_index(&format!("i-{name}")).map(DropTarget::Database);
        let found =
            access.or_else(database).or_else(|| numbered('c', self.sim.controls.len()).map(DropTarget::Control));
        found.ok_or_else(|| {
            let databases = self.sim.databases.iter().map(|database| &database.id[2..]).collect::<Vec<&str>>();
            let text = format!(
                "unknown node {name:?}; access nodes: {}, control nodes: c0 to c{}, databases: {}",
                self.nodes[..self.nodes.len().min(MAX_NAMES_LISTED)].join(" "),
                self.sim.controls.len().saturating_sub(1),
                databases[..databases.len().min(MAX_NAMES_LISTED)].join(" ")
            );
            RecordingError::InvalidDrop(format!("{}@{}", drop.node, drop.at_us as f64 / 1e6), text)
        })
    }

    /// Schedules all sessions and requests of the selected interval; returns when the last request expires.
    fn schedule_traffic(&mut self, recording: &Recording, services: &[String]) -> Result<u64, RecordingError> {
        let deadlines = recording.header.get("deadlines").map(String::as_str).unwrap_or("3000,1000");
        let mut words = deadlines.split(',').map(|word| word.parse::<u64>().ok());
        let (Some(Some(browse)), Some(Some(work))) = (words.next(), words.next()) else {
            return Err(RecordingError::Invalid(format!("line 1: deadlines={deadlines}: expected MS,MS")));
        };
        let (from, until) = (self.options.from_us, self.options.until_us);
        let mut traffic = wv_simulation::Workload::default();
        let mut sessions: BTreeMap<&str, (usize, bool)> = BTreeMap::new();
        let (mut opens, mut closes, mut end) = (Vec::new(), Vec::new(), self.start_us);
        let node_of = |client: &str| {
            let node = client.split_once('/').map_or(self.nodes[0].as_str(), |(node, _)| node);
            self.nodes.iter().position(|known| known == node)
        };
        for event in recording.events.iter().filter(|event| event.at_us < until) {
            // Sessions opened before the interval are open at its start.
            let at = self.start_us + event.at_us.saturating_sub(from);
            match &event.action {
                RecordedAction::Open { is_bounded, service, .. } => {
                    let missing = || RecordingError::Invalid(format!("{}: node not listed on line 1", event.client));
                    let node = node_of(&event.client).ok_or_else(missing)?;
                    let route = if *is_bounded { "b" } else { "p" };
                    let is_first = services.first() == Some(service);
                    let host = if is_first { route.to_owned() } else { format!("{route}.{service}") };
                    let session = traffic.add_session(node, &host, *is_bounded);
                    sessions.insert(&event.client, (session, *is_bounded));
                    opens.push((at, session));
                }
                RecordedAction::Close => {
                    if let Some((session, _)) = sessions.remove(event.client.as_str()) {
                        closes.push((at, session));
                    }
                }
                RecordedAction::Request(kind) if event.at_us >= from => {
                    if let Some((session, is_bounded)) = sessions.get(event.client.as_str()).copied() {
                        let limit = at + if is_bounded { browse } else { work } * MS;
                        traffic.add_request(at, session, *kind, limit);
                        end = end.max(limit);
                    }
                }
                RecordedAction::Request(_) => {}
            }
        }
        self.sim.play_workload(traffic, &opens, &closes);
        Ok(end)
    }

    fn run(&mut self, targets: &[(NodeDrop, DropTarget)], end: u64) {
        let from = self.options.from_us;
        let mut due: Vec<(u64, bool, &(NodeDrop, DropTarget))> = Vec::new();
        for target in targets {
            due.push((self.start_us + target.0.at_us.saturating_sub(from), true, target));
            let restart = target.0.restart_us.map(|at| self.start_us + at.saturating_sub(from));
            due.extend(restart.map(|at| (at, false, target)));
        }
        due.sort_by_key(|(at, ..)| *at);
        for (at, is_drop, (drop, target)) in due {
            self.run_until(at);
            match is_drop {
                true => self.drop(&drop.node, *target),
                false => self.restart(*target),
            }
        }
        self.run_until(end + S);
    }

    /// Runs the simulation and records when dropped nodes have been taken over.
    fn run_until(&mut self, at: u64) {
        while self.sim.now < at {
            let is_pending = self.drops.iter().any(|outcome| outcome.taken_over_us.is_none());
            let step = if is_pending { POLL_INTERVAL_US } else { at - self.sim.now };
            self.sim.run(step.min(at - self.sim.now));
            let now = self.sim.now;
            let taken_over: Vec<bool> = self.drops.iter().map(|outcome| self.is_taken_over(outcome)).collect();
            for (outcome, is_over) in self.drops.iter_mut().zip(taken_over) {
                if outcome.taken_over_us.is_none() && (is_over || outcome.dropped_us + TAKEOVER_TIMEOUT_US <= now) {
                    outcome.taken_over_us = Some(if is_over { now } else { u64::MAX });
                }
            }
        }
    }

    fn drop(&mut self, node: &str, target: DropTarget) {
        let (mut access_node, mut service) = (None, None);
        match target {
            DropTarget::Access(which) => {
                access_node = Some(which);
                self.sim.kill_access(which);
            }
            DropTarget::Control(which) => self.sim.kill_control(which),
            DropTarget::Database(which) => {
                let database = &self.sim.databases[which];
                service = database.is_primary.then(|| database.service.clone());
                self.sim.crash(which);
            }
        }
        let dropped_us = self.sim.now;
        self.drops.push(DropOutcome { node: node.to_owned(), dropped_us, taken_over_us: None, access_node, service });
    }

    fn restart(&mut self, target: DropTarget) {
        match target {
            DropTarget::Access(which) => self.sim.start_access(which),
            DropTarget::Control(which) => self.sim.start_control(which, false),
            DropTarget::Database(which) => self.sim.revive(which),
        }
    }

    /// Whether the sessions of a lost access node have moved, the service of a lost primary has a primary again, and
    /// every running access node follows a running control node.
    fn is_taken_over(&self, outcome: &DropOutcome) -> bool {
        let mut primaries = self.sim.databases.iter().filter(|database| database.is_primary && database.is_up);
        let has_primary = outcome.service.as_ref().is_none_or(|name| primaries.any(|primary| primary.service == *name));
        has_primary && self.sim.is_access_connected() && self.sim.has_moved_sessions(outcome.access_node)
    }
}
