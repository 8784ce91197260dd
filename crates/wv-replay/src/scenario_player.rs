//! Plays a scenario on a simulated fleet and reports its timeline.
use crate::{Action, Event, ReplayError, Scenario};
use wv_simulation::Simulation;

/// Time that the fleet keeps running after the last event.
const SETTLE_US: u64 = 3_000_000;
/// Interval at which database states are compared.
const POLL_INTERVAL_US: u64 = 20_000;

#[derive(Clone, PartialEq, Debug)]
pub struct TimelineEntry {
    pub at_us: u64,
    pub text: String,
}

#[derive(Clone, PartialEq, Debug, Default)]
pub struct ScenarioReport {
    pub timeline: Vec<TimelineEntry>,
    pub completed: u32,
    pub failed: u32,
    /// Operations whose outcome is unknown.
    pub indeterminate: usize,
    pub promotions: usize,
    pub violations: Vec<String>,
}

impl ScenarioReport {
    pub fn is_ok(&self) -> bool {
        self.violations.is_empty()
    }

    pub fn to_json(&self) -> String {
        let timeline: Vec<serde_json::Value> =
            self.timeline.iter().map(|entry| serde_json::json!({"at_us": entry.at_us, "text": entry.text})).collect();
        serde_json::json!({"timeline": timeline, "done": self.completed, "failed": self.failed,
            "unsure": self.indeterminate, "promotions": self.promotions, "broken": self.violations})
        .to_string()
    }

    pub fn to_text(&self) -> String {
        let mut out = String::new();
        for entry in &self.timeline {
            out.push_str(&format!("{:>10.3}  {}\n", entry.at_us as f64 / 1e6, entry.text));
        }
        out.push_str(&format!(
            "\noperations done {}, failed {}, without a clear return {}; promotions {}\n",
            self.completed, self.failed, self.indeterminate, self.promotions
        ));
        match self.violations.len() {
            0 => out.push_str("no rule broken\n"),
            _ => self.violations.iter().for_each(|violation| out.push_str(&format!("BROKEN {violation}\n"))),
        }
        out
    }
}

struct Player {
    sim: Simulation,
    clients: std::collections::BTreeMap<String, usize>,
    states: Vec<String>,
    timeline: Vec<TimelineEntry>,
    start_us: u64,
    /// Number of entries of the event log that are in the timeline.
    consumed: usize,
}

/// Plays `scenario` up to `until_us`; with `service`, only timeline entries that concern it are kept.
pub fn play_scenario(
    scenario: &Scenario,
    until_us: Option<u64>,
    service: Option<&str>,
) -> Result<ScenarioReport, ReplayError> {
    if let Some(name) = service.filter(|name| !scenario.services.iter().any(|known| known == name)) {
        return Err(ReplayError::Unknown { line: 0, kind: "service", name: name.to_owned() });
    }
    let mut sim = Simulation::with_services(scenario.access_nodes, scenario.control_nodes, &scenario.services);
    let plan = wv_slow_start::SlowStartConfig {
        is_enabled: scenario.is_slow_start_on,
        ..wv_slow_start::SlowStartConfig::default()
    };
    sim.set_slow_start(plan);
    // Scenario time starts once the fleet has formed.
    sim.run(2_000_000);
    let start_us = sim.now;
    let mut player =
        Player { sim, clients: Default::default(), states: Vec::new(), timeline: Vec::new(), start_us, consumed: 0 };
    let end = scenario.events.last().map_or(0, |event| event.at_us) + SETTLE_US;
    let end = until_us.map_or(end, |until| until.min(end));
    for event in scenario.events.iter().filter(|event| event.at_us <= end) {
        player.run_until(event.at_us);
        player.apply(&scenario.services, event)?;
    }
    player.run_until(end);
    Ok(player.report(service, &scenario.services))
}

impl Player {
    fn record(&mut self, text: String) {
        let at_us = self.sim.now - self.start_us;
        self.timeline.push(TimelineEntry { at_us, text });
    }

    fn run_until(&mut self, at_us: u64) {
        while self.sim.now < self.start_us + at_us {
            let left = self.start_us + at_us - self.sim.now;
            self.sim.run(left.min(POLL_INTERVAL_US));
            self.record_changes();
        }
    }

    /// Adds all changes since the last call to the timeline.
    fn record_changes(&mut self) {
        let entries: Vec<(u64, String)> = self.sim.event_log[self.consumed..].to_vec();
        self.consumed = self.sim.event_log.len();
        let start = self.start_us;
        self.timeline
            .extend(entries.into_iter().map(|(at, text)| TimelineEntry { at_us: at.saturating_sub(start), text }));
        let states = self.sim.status_lines();
        let changed: Vec<String> = states.iter().filter(|state| !self.states.contains(state)).cloned().collect();
        changed.into_iter().for_each(|state| self.record(state));
        self.states = states;
        for (name, client) in self.clients.clone() {
            let lines = self.sim.take_lines(client);
            lines.into_iter().for_each(|line| self.record(format!("{name} hears {line}")));
        }
    }

    fn database(&self, event: &Event, name: &str) -> Result<usize, ReplayError> {
        let id = format!("i-{name}");
        self.sim.database_index(&id).ok_or(ReplayError::Unknown {
            line: event.line,
            kind: "database",
            name: name.to_owned(),
        })
    }

    fn node(&self, event: &Event, name: &str, kind: &'static str) -> Result<usize, ReplayError> {
        let letter = if kind == "access node" { 'a' } else { 'c' };
        let count = if letter == 'a' { self.sim.access.len() } else { self.sim.controls.len() };
        name.strip_prefix(letter)
            .and_then(|rest| rest.parse::<usize>().ok())
            .filter(|at| *at < count)
            .ok_or(ReplayError::Unknown { line: event.line, kind, name: name.to_owned() })
    }

    /// The identifier of a node or database in the set of cut connections.
    fn endpoint(&self, event: &Event, name: &str) -> Result<String, ReplayError> {
        self.database(event, name).map(|at| self.sim.databases[at].id.clone()).or_else(|_| {
            let kind = if name.starts_with('c') { "control node" } else { "access node" };
            self.node(event, name, kind).map(|_| name.to_owned())
        })
    }

    fn apply(&mut self, services: &[String], event: &Event) -> Result<(), ReplayError> {
        match &event.action {
            Action::Say { name, text } => self.record(format!("{name} says {text}")),
            action => self.record(format!("day: {}", format!("{action:?}").to_lowercase())),
        }
        match &event.action {
            Action::Conf(version) => self.put_configuration(&Simulation::configuration_for(*version, services)),
            Action::Put(body) => self.put_configuration(body.as_bytes()),
            Action::Load { route, count } => self.sim.start_load(*count, route),
            Action::Stop => self.sim.stop_load(),
            Action::Crash(db) => self.database(event, db).map(|at| self.sim.crash(at))?,
            Action::Dark(db) => self.database(event, db).map(|at| self.sim.make_unreachable(at))?,
            Action::Revive(db) => self.database(event, db).map(|at| self.sim.revive(at))?,
            Action::Drain(db) => self.database(event, db).map(|at| self.sim.databases[at].is_draining = true)?,
            Action::Leave(db) => {
                let at = self.database(event, db)?;
                self.sim.databases[at].is_removed = true;
                self.sim.crash(at);
            }
            Action::Deaf(db) => self.database(event, db).map(|at| self.sim.databases[at].is_log_blocked = true)?,
            Action::Hear(db) => self.database(event, db).map(|at| self.sim.databases[at].is_log_blocked = false)?,
            Action::Lag { db, ms } => {
                self.database(event, db).map(|at| self.sim.databases[at].apply_lag_us = ms * 1000)?
            }
            Action::Lose { db, count } => {
                self.database(event, db).map(|at| self.sim.databases[at].lost_replies = *count)?
            }
            Action::Congest { db, is_on } => {
                self.database(event, db).map(|at| self.sim.databases[at].is_congested = *is_on)?;
            }
            Action::Bears { db, count } => {
                self.database(event, db).map(|at| self.sim.databases[at].busy_limit = Some(*count))?
            }
            Action::Kill(name) if name.starts_with('a') => {
                self.node(event, name, "access node").map(|at| self.sim.kill_access(at))?;
            }
            Action::Kill(name) => self.node(event, name, "control node").map(|at| self.sim.kill_control(at))?,
            Action::Start(name) if name.starts_with('a') => {
                self.node(event, name, "access node").map(|at| self.sim.start_access(at))?;
            }
            Action::Start(name) => {
                self.node(event, name, "control node").map(|at| self.sim.start_control(at, false))?;
            }
            Action::Term(name) => self.node(event, name, "access node").map(|at| self.sim.terminate_access(at))?,
            Action::Wipe(name) => {
                let at = self.node(event, name, "control node")?;
                self.sim.controls[at].files.files.borrow_mut().clear();
            }
            Action::Cut(one, other) => {
                let pair = (self.endpoint(event, one)?, self.endpoint(event, other)?);
                self.sim.dropped_links.insert(pair);
            }
            Action::Join(one, other) => {
                let (one, other) = (self.endpoint(event, one)?, self.endpoint(event, other)?);
                self.sim.dropped_links.remove(&(one.clone(), other.clone()));
                self.sim.dropped_links.remove(&(other, one));
            }
            Action::Platform { is_up } => self.sim.is_platform_down = !is_up,
            Action::Client { name, node, route } => {
                let at = self.node(event, node, "access node")?;
                let client = self.sim.open_client(at, route);
                self.clients.insert(name.clone(), client);
            }
            Action::Say { name, text } => {
                let unknown = ReplayError::Unknown { line: event.line, kind: "client", name: name.clone() };
                let client = self.clients.get(name).copied().ok_or(unknown)?;
                self.sim.send_line(client, text);
            }
        }
        Ok(())
    }

    fn put_configuration(&mut self, body: &[u8]) {
        let running = (0..self.sim.controls.len()).find(|at| self.sim.controls[*at].core.is_some());
        let token = running.map_or(0, |at| self.sim.call(at, "PUT", "/configuration", body));
        self.sim.run(300_000);
        let status = self.sim.responses.get(&token).map_or("no return".to_owned(), |ret| ret.0.to_string());
        self.record(format!("configuration: {status}"));
    }

    fn report(mut self, service: Option<&str>, services: &[String]) -> ScenarioReport {
        let violations = self.sim.check_rules();
        self.timeline.sort_by_key(|entry| entry.at_us);
        let (completed, failed) = self.sim.load_counts();
        let others = services.iter().filter(|name| service.is_some_and(|wanted| wanted != name.as_str()));
        let hidden: Vec<String> = others.map(|name| format!("i-{name}")).collect();
        self.timeline.retain(|entry| !hidden.iter().any(|id| entry.text.contains(id.as_str())));
        ScenarioReport {
            timeline: self.timeline,
            completed,
            failed,
            indeterminate: self.sim.oracle.indeterminate,
            promotions: self.sim.promotion_calls.iter().filter(|post| post.3 == Some(200)).count(),
            violations,
        }
    }
}
