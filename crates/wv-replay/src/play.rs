use crate::{Day, Event, ReplayError, What};
use wv_simulation::Simulation;

/// After the last event the fleet is given this long.
const AFTER_US: u64 = 3_000_000;
/// How often the states of databases are compared.
const STEP_US: u64 = 20_000;

/// One line of the timeline.
#[derive(Clone, PartialEq, Debug)]
pub struct Line {
    pub at_us: u64,
    pub text: String,
}

#[derive(Clone, PartialEq, Debug, Default)]
pub struct Report {
    pub lines: Vec<Line>,
    pub done: u32,
    pub failed: u32,
    pub unsure: usize,
    pub promotions: usize,
    pub broken: Vec<String>,
}

impl Report {
    pub fn is_sound(&self) -> bool {
        self.broken.is_empty()
    }

    /// The report as JSON, for other tools.
    pub fn json(&self) -> String {
        let lines: Vec<serde_json::Value> =
            self.lines.iter().map(|line| serde_json::json!({"at_us": line.at_us, "text": line.text})).collect();
        serde_json::json!({"timeline": lines, "done": self.done, "failed": self.failed, "unsure": self.unsure,
            "promotions": self.promotions, "broken": self.broken})
        .to_string()
    }

    pub fn text(&self) -> String {
        let mut out = String::new();
        for line in &self.lines {
            out.push_str(&format!("{:>10.3}  {}\n", line.at_us as f64 / 1e6, line.text));
        }
        out.push_str(&format!(
            "\noperations done {}, failed {}, without a clear return {}; promotions {}\n",
            self.done, self.failed, self.unsure, self.promotions
        ));
        match self.broken.len() {
            0 => out.push_str("no rule broken\n"),
            _ => self.broken.iter().for_each(|rule| out.push_str(&format!("BROKEN {rule}\n"))),
        }
        out
    }
}

struct Player {
    world: Simulation,
    clients: std::collections::BTreeMap<String, usize>,
    shown: Vec<String>,
    lines: Vec<Line>,
    start: u64,
    noted: usize,
}

/// Plays `day` up to `until_us`; with `service`, only lines that concern it are kept.
pub fn play(day: &Day, until_us: Option<u64>, service: Option<&str>) -> Result<Report, ReplayError> {
    if let Some(name) = service.filter(|name| !day.services.iter().any(|held| held == name)) {
        return Err(ReplayError::Unknown { line: 0, kind: "service", name: name.to_owned() });
    }
    let mut world = Simulation::with_services(day.access, day.control, &day.services);
    let plan = wv_slow_start::Plan { is_on: day.is_eased, ..wv_slow_start::Plan::default() };
    world.set_slow_start(plan);
    // The day's time begins when the fleet has found itself.
    world.run(2_000_000);
    let start = world.now;
    let mut player =
        Player { world, clients: Default::default(), shown: Vec::new(), lines: Vec::new(), start, noted: 0 };
    let end = day.events.last().map_or(0, |event| event.at_us) + AFTER_US;
    let end = until_us.map_or(end, |until| until.min(end));
    for event in day.events.iter().filter(|event| event.at_us <= end) {
        player.until(event.at_us);
        player.happen(day, event)?;
    }
    player.until(end);
    Ok(player.report(service, &day.services))
}

impl Player {
    fn line(&mut self, text: String) {
        let at_us = self.world.now - self.start;
        self.lines.push(Line { at_us, text });
    }

    fn until(&mut self, at_us: u64) {
        while self.world.now < self.start + at_us {
            let left = self.start + at_us - self.world.now;
            self.world.run(left.min(STEP_US));
            self.look();
        }
    }

    /// What changed since the last look becomes lines.
    fn look(&mut self) {
        let noted: Vec<(u64, String)> = self.world.event_log[self.noted..].to_vec();
        self.noted = self.world.event_log.len();
        let start = self.start;
        self.lines.extend(noted.into_iter().map(|(at, text)| Line { at_us: at.saturating_sub(start), text }));
        let shown = self.world.status_lines();
        let changed: Vec<String> = shown.iter().filter(|state| !self.shown.contains(state)).cloned().collect();
        changed.into_iter().for_each(|state| self.line(state));
        self.shown = shown;
        let heard: Vec<(String, Vec<String>)> = self
            .clients
            .iter()
            .map(|(name, at)| (name.clone(), *at))
            .collect::<Vec<_>>()
            .into_iter()
            .map(|(name, at)| (name, self.world.take_lines(at)))
            .collect();
        for (name, lines) in heard {
            lines.into_iter().for_each(|line| self.line(format!("{name} hears {line}")));
        }
    }

    fn database(&self, event: &Event, name: &str) -> Result<usize, ReplayError> {
        let id = format!("i-{name}");
        self.world.database_index(&id).ok_or(ReplayError::Unknown {
            line: event.line,
            kind: "database",
            name: name.to_owned(),
        })
    }

    fn node(&self, event: &Event, name: &str, kind: &'static str) -> Result<usize, ReplayError> {
        let letter = if kind == "access node" { 'a' } else { 'c' };
        let count = if letter == 'a' { self.world.access.len() } else { self.world.controls.len() };
        name.strip_prefix(letter)
            .and_then(|rest| rest.parse::<usize>().ok())
            .filter(|at| *at < count)
            .ok_or(ReplayError::Unknown { line: event.line, kind, name: name.to_owned() })
    }

    /// The name under which cuts know a node or a database.
    fn end(&self, event: &Event, name: &str) -> Result<String, ReplayError> {
        self.database(event, name).map(|at| self.world.databases[at].id.clone()).or_else(|_| {
            let kind = if name.starts_with('c') { "control node" } else { "access node" };
            self.node(event, name, kind).map(|_| name.to_owned())
        })
    }

    fn happen(&mut self, day: &Day, event: &Event) -> Result<(), ReplayError> {
        match &event.what {
            What::Say { name, text } => self.line(format!("{name} says {text}")),
            what => self.line(format!("day: {}", format!("{what:?}").to_lowercase())),
        }
        match &event.what {
            What::Conf(version) => self.put(&Simulation::config_for(*version, &day.services)),
            What::Put(body) => self.put(body.as_bytes()),
            What::Load { route, count } => self.world.start_load(*count, route),
            What::Stop => self.world.stop_load(),
            What::Crash(db) => self.database(event, db).map(|at| self.world.crash(at))?,
            What::Dark(db) => self.database(event, db).map(|at| self.world.make_unreachable(at))?,
            What::Revive(db) => self.database(event, db).map(|at| self.world.revive(at))?,
            What::Drain(db) => self.database(event, db).map(|at| self.world.databases[at].is_draining = true)?,
            What::Leave(db) => {
                let at = self.database(event, db)?;
                self.world.databases[at].is_removed = true;
                self.world.crash(at);
            }
            What::Deaf(db) => self.database(event, db).map(|at| self.world.databases[at].is_log_blocked = true)?,
            What::Hear(db) => self.database(event, db).map(|at| self.world.databases[at].is_log_blocked = false)?,
            What::Lag { db, ms } => {
                self.database(event, db).map(|at| self.world.databases[at].apply_lag_us = ms * 1000)?
            }
            What::Lose { db, count } => {
                self.database(event, db).map(|at| self.world.databases[at].lost_replies = *count)?
            }
            What::Congest { db, is_on } => {
                self.database(event, db).map(|at| self.world.databases[at].is_congested = *is_on)?;
            }
            What::Bears { db, count } => {
                self.database(event, db).map(|at| self.world.databases[at].busy_limit = Some(*count))?
            }
            What::Kill(name) if name.starts_with('a') => {
                self.node(event, name, "access node").map(|at| self.world.kill_access(at))?;
            }
            What::Kill(name) => self.node(event, name, "control node").map(|at| self.world.kill_control(at))?,
            What::Start(name) if name.starts_with('a') => {
                self.node(event, name, "access node").map(|at| self.world.start_access(at))?;
            }
            What::Start(name) => {
                self.node(event, name, "control node").map(|at| self.world.start_control(at, false))?;
            }
            What::Term(name) => self.node(event, name, "access node").map(|at| self.world.terminate_access(at))?,
            What::Wipe(name) => {
                let at = self.node(event, name, "control node")?;
                self.world.controls[at].files.files.borrow_mut().clear();
            }
            What::Cut(one, other) => {
                let pair = (self.end(event, one)?, self.end(event, other)?);
                self.world.dropped_links.insert(pair);
            }
            What::Join(one, other) => {
                let (one, other) = (self.end(event, one)?, self.end(event, other)?);
                self.world.dropped_links.remove(&(one.clone(), other.clone()));
                self.world.dropped_links.remove(&(other, one));
            }
            What::Platform { is_up } => self.world.is_platform_down = !is_up,
            What::Client { name, node, route } => {
                let at = self.node(event, node, "access node")?;
                let client = self.world.open_client(at, route);
                self.clients.insert(name.clone(), client);
            }
            What::Say { name, text } => {
                let unknown = ReplayError::Unknown { line: event.line, kind: "client", name: name.clone() };
                let client = self.clients.get(name).copied().ok_or(unknown)?;
                self.world.send_line(client, text);
            }
        }
        Ok(())
    }

    fn put(&mut self, body: &[u8]) {
        let up = (0..self.world.controls.len()).find(|at| self.world.controls[*at].core.is_some());
        let token = up.map_or(0, |at| self.world.call(at, "PUT", "/configuration", body));
        self.world.run(300_000);
        let status = self.world.responses.get(&token).map_or("no return".to_owned(), |ret| ret.0.to_string());
        self.line(format!("configuration: {status}"));
    }

    fn report(mut self, service: Option<&str>, services: &[String]) -> Report {
        let broken = self.world.check_rules();
        self.lines.sort_by_key(|line| line.at_us);
        let (done, failed) = self.world.load_counts();
        let others = services.iter().filter(|name| service.is_some_and(|wanted| wanted != name.as_str()));
        let hidden: Vec<String> = others.map(|name| format!("i-{name}")).collect();
        self.lines.retain(|line| !hidden.iter().any(|id| line.text.contains(id.as_str())));
        Report {
            lines: self.lines,
            done,
            failed,
            unsure: self.world.oracle.indeterminate,
            promotions: self.world.promotion_calls.iter().filter(|post| post.3 == Some(200)).count(),
            broken,
        }
    }
}
