//! Load generator: clients that run operations and retry them.
use crate::clients::Expectation;
use crate::oracle::EMBEDDED_QUERY;
use crate::simulation::{Event, Simulation};
use crate::{Rng, MS};
use std::collections::BTreeMap;

/// A client that runs operations one at a time and continues after failures.
pub struct LoadClient {
    client: usize,
    route: String,
    rng: Rng,
    statements: Vec<String>,
    next: usize,
    started_us: u64,
    tags: Vec<String>,
    outstanding: Option<String>,
    values: BTreeMap<String, String>,
    attempt: u64,
    pub statements_sent: u64,
    pub done: u32,
    pub failed: u32,
    pub slowest_us: u64,
    is_stopped: bool,
    is_aborting: bool,
}

const NOT_APPLIED_CODES: [&str; 6] = ["CONGESTED", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "OVERLOAD"];

impl Simulation {
    /// Starts `count` load clients on `route`, spread over the access nodes.
    pub fn start_load(&mut self, count: usize, route: &str) {
        for _ in 0..count {
            let at = self.loads.len();
            self.loads.push(LoadClient {
                client: usize::MAX,
                route: route.to_owned(),
                rng: Rng::new(at as u64 + 11),
                statements: Vec::new(),
                next: 0,
                started_us: 0,
                tags: Vec::new(),
                outstanding: None,
                values: BTreeMap::new(),
                attempt: 0,
                statements_sent: 0,
                done: 0,
                failed: 0,
                slowest_us: 0,
                is_stopped: false,
                is_aborting: false,
            });
            self.schedule(at as u64 * 7 * MS, Event::LoadStep { client: at, attempt: 0 });
        }
    }

    pub fn stop_load(&mut self) {
        self.loads.iter_mut().for_each(|load| load.is_stopped = true);
    }

    /// Completed and failed operations.
    pub fn load_counts(&self) -> (u32, u32) {
        self.loads.iter().fold((0, 0), |sum, load| (sum.0 + load.done, sum.1 + load.failed))
    }

    /// Completed and failed operations of one route.
    pub fn route_counts(&self, route: &str) -> (u32, u32) {
        let loads = self.loads.iter().filter(|load| load.route == route);
        loads.fold((0, 0), |sum, load| (sum.0 + load.done, sum.1 + load.failed))
    }

    pub fn slowest_us(&self, route: &str) -> u64 {
        self.loads.iter().filter(|load| load.route == route).map(|load| load.slowest_us).max().unwrap_or(0)
    }

    pub fn reset_slowest(&mut self) {
        self.loads.iter_mut().for_each(|load| load.slowest_us = 0);
    }

    pub(crate) fn on_load_disconnected(&mut self, at: usize) {
        let load = &mut self.loads[at];
        load.client = usize::MAX;
        if load.outstanding.take().is_some() {
            load.failed += 1;
            self.oracle.indeterminate += 1;
        }
        self.schedule_load(at, 50 * MS);
    }

    fn schedule_load(&mut self, at: usize, after: u64) {
        let load = &mut self.loads[at];
        load.attempt += 1;
        (load.statements, load.next, load.outstanding) = (Vec::new(), 0, None);
        load.tags.clear();
        let attempt = load.attempt;
        self.schedule(after, Event::LoadStep { client: at, attempt });
    }

    /// Sends the client's next statement, or starts its next operation.
    pub(crate) fn load_step(&mut self, at: usize, attempt: u64) {
        if self.loads[at].attempt != attempt {
            return;
        }
        let up: Vec<usize> = (0..self.access.len()).filter(|node| self.access[*node].core.is_some()).collect();
        let ready = |node: &usize| self.access[*node].core.as_ref().is_some_and(|core| core.is_ready());
        // Frozen nodes are left out: they do not answer a session's setup.
        let up: Vec<usize> = up.into_iter().filter(|node| ready(node) && !self.frozen_access.contains(node)).collect();
        if self.loads[at].client == usize::MAX || self.clients[self.loads[at].client].id.is_none() {
            if self.loads[at].is_stopped {
                return;
            }
            let Some(node) = up.get(at % up.len().max(1)).copied() else { return self.schedule_load(at, 100 * MS) };
            let route = self.loads[at].route.clone();
            let client = self.open_client(node, &route);
            self.clients[client].load = Some(at);
            self.loads[at].client = client;
            self.loads[at].values.clear();
            // Some sessions set values, which no other session's statements may see.
            if at.is_multiple_of(2) {
                self.send_line(client, &format!("QUERY v{at}x{attempt} ASSIGN tenant t{at}"));
                self.loads[at].values.insert("tenant".to_owned(), format!("t{at}"));
            }
            self.send_line(client, &format!("QUERY d{at}x{attempt} DEFINE s READ q{}", at % 3));
            self.take_lines(client);
        }
        if self.loads[at].statements.is_empty() {
            if self.loads[at].is_stopped {
                return;
            }
            self.plan_operation(at);
        }
        self.send_load_statement(at);
    }

    fn plan_operation(&mut self, at: usize) {
        let (now, key_count) = (self.now, self.key_count);
        let load = &mut self.loads[at];
        let kind = load.rng.below(100);
        let statements: Vec<&str> = match (load.route.starts_with('b'), kind) {
            (true, 0..=9) => vec!["BEGIN READ", "READ k", "READ k", "COMMIT"],
            (true, 10..=30) => vec!["EXECUTE s k"],
            (true, _) => vec!["READ k"],
            (_, 0..=24) => vec!["READ k"],
            (_, 25..=59) => vec!["WRITE k d"],
            (_, 60..=69) => vec!["BEGIN", "READ k", "ABORT"],
            (_, _) => vec!["BEGIN", "EXECUTE s k", "WRITE k d", "WRITE k d", "COMMIT"],
        };
        // All keys of a transaction share a hash tag, and so a slot.
        let key = |load: &mut LoadClient| format!("{{{}}}x", load.rng.below(key_count));
        let key = if key_count > 0 { key(load) } else { "k".to_owned() };
        load.statements = statements.into_iter().map(|text| text.replace(" k", &format!(" {key}"))).collect();
        (load.next, load.started_us) = (0, now);
    }

    fn send_load_statement(&mut self, at: usize) {
        let (now, key_count) = (self.now, self.key_count);
        let load = &mut self.loads[at];
        let Some(text) = load.statements.get(load.next).cloned() else { return };
        load.statements_sent += 1;
        let tag = format!("q{at}x{}", load.statements_sent);
        let is_txn = load.statements.len() > 1;
        if text == "BEGIN" || text == "BEGIN READ" {
            load.started_us = now;
        }
        let begun_us = if is_txn { load.started_us } else { now };
        let since = if load.route.starts_with('b') { begun_us.saturating_sub(1500 * MS) } else { begun_us };
        let mut text = text;
        if text.starts_with("WRITE") {
            load.tags.push(tag.clone());
            // With many keys, each write stores a distinct value.
            if let Some(start) = text.strip_suffix(" d").filter(|_| key_count > 0) {
                self.written_keys.extend(start.strip_prefix("WRITE ").map(str::to_owned));
                text = format!("{start} {tag}");
            }
            text.push_str(EMBEDDED_QUERY);
        }
        let statement = text.starts_with("EXECUTE").then(|| format!("q{}", at % 3));
        let expectation = Expectation { since, values: load.values.clone(), statement };
        let client = load.client;
        load.outstanding = Some(tag.clone());
        self.expectations.insert(tag.clone(), expectation);
        self.send_line(client, &format!("QUERY {tag} {text}"));
    }

    pub(crate) fn on_load_reply(&mut self, at: usize, lines: &[String]) {
        let now = self.now;
        let load = &mut self.loads[at];
        // Replies to the session's setup statements are ignored.
        if load.outstanding.is_none() || load.statements.is_empty() {
            return;
        }
        let outstanding = load.outstanding.take().unwrap_or_default();
        let stamps = lines.iter().filter_map(|line| line.strip_prefix("COMPLETE stamp."));
        if let Some(stamp) = stamps.into_iter().find(|stamp| !stamp.ends_with(&format!(".{outstanding}"))) {
            self.oracle.violations.push(format!("MIXED: {outstanding} received the reply stamp.{stamp}"));
        }
        let error = lines
            .iter()
            .find_map(|line| line.strip_prefix("ERROR "))
            .map(|rest| rest.split(' ').next().unwrap_or_default().to_owned());
        let state = lines.last().and_then(|line| line.split(' ').nth(1)).unwrap_or("I").to_owned();
        let text = load.statements[load.next].clone();
        if load.is_aborting {
            // This is the reply to the ABORT of a failed transaction.
            load.is_aborting = false;
            let pause = 100 * MS + load.rng.below(100) * MS;
            return self.schedule_load(at, pause);
        }
        let Some(code) = error else {
            load.next += 1;
            let is_over = load.next >= load.statements.len();
            if is_over {
                load.done += 1;
                load.slowest_us = load.slowest_us.max(now - load.started_us);
                let is_committed = text != "ABORT";
                let tags = std::mem::take(&mut load.tags);
                if is_committed {
                    tags.into_iter().for_each(|tag| {
                        self.oracle.record_ack(tag, now);
                    });
                }
                let pause = 20 * MS + self.loads[at].rng.below(60) * MS;
                return self.schedule_load(at, pause);
            }
            let (pause, attempt) = (load.rng.below(15) * MS, load.attempt);
            return self.schedule(pause, Event::LoadStep { client: at, attempt });
        };
        let tags = std::mem::take(&mut load.tags);
        if NOT_APPLIED_CODES.contains(&code.as_str()) {
            tags.into_iter().for_each(|tag| {
                self.oracle.rejected.insert(tag, now);
            });
        } else {
            self.oracle.indeterminate += 1;
        }
        let load = &mut self.loads[at];
        load.failed += 1;
        if state == "I" {
            let pause = 100 * MS + load.rng.below(100) * MS;
            return self.schedule_load(at, pause);
        }
        load.is_aborting = true;
        load.statements = vec!["ABORT".to_owned()];
        load.next = 0;
        self.send_load_statement(at);
    }
}
