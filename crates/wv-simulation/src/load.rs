//! A load of clients that work and try again by themselves.
use crate::clients::Said;
use crate::world::{Ev, World};
use crate::{Luck, MS};
use std::collections::BTreeMap;

/// One client at work: operations one after the other, tried again after a promise.
pub struct Load {
    client: usize,
    route: String,
    luck: Luck,
    texts: Vec<String>,
    at: usize,
    begun: u64,
    tags: Vec<String>,
    asked: Option<String>,
    values: BTreeMap<String, String>,
    life: u64,
    pub said: u64,
    pub done: u32,
    pub failed: u32,
    pub slowest_us: u64,
    is_stopped: bool,
    is_broken: bool,
}

const PROMISES: [&str; 6] = ["CONGESTED", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "OVERLOAD"];

impl World {
    /// Starts `count` clients at work on `route`, spread over the access nodes.
    pub fn load(&mut self, count: usize, route: &str) {
        for _ in 0..count {
            let at = self.loads.len();
            self.loads.push(Load {
                client: usize::MAX,
                route: route.to_owned(),
                luck: Luck::new(at as u64 + 11),
                texts: Vec::new(),
                at: 0,
                begun: 0,
                tags: Vec::new(),
                asked: None,
                values: BTreeMap::new(),
                life: 0,
                said: 0,
                done: 0,
                failed: 0,
                slowest_us: 0,
                is_stopped: false,
                is_broken: false,
            });
            self.put(at as u64 * 7 * MS, Ev::Step { client: at, life: 0 });
        }
    }

    pub fn stop_load(&mut self) {
        self.loads.iter_mut().for_each(|load| load.is_stopped = true);
    }

    /// Operations done, and those that failed for good.
    pub fn load_done(&self) -> (u32, u32) {
        self.loads.iter().fold((0, 0), |sum, load| (sum.0 + load.done, sum.1 + load.failed))
    }

    /// The same for one route.
    pub fn route_done(&self, route: &str) -> (u32, u32) {
        let loads = self.loads.iter().filter(|load| load.route == route);
        loads.fold((0, 0), |sum, load| (sum.0 + load.done, sum.1 + load.failed))
    }

    pub fn slowest(&self, route: &str) -> u64 {
        self.loads.iter().filter(|load| load.route == route).map(|load| load.slowest_us).max().unwrap_or(0)
    }

    /// Forgets how slow the slowest operation was.
    pub fn loads_reset(&mut self) {
        self.loads.iter_mut().for_each(|load| load.slowest_us = 0);
    }

    pub(crate) fn cut_off(&mut self, at: usize) {
        let load = &mut self.loads[at];
        load.client = usize::MAX;
        if load.asked.take().is_some() {
            load.failed += 1;
            self.oracle.unsure += 1;
        }
        self.again(at, 50 * MS);
    }

    fn again(&mut self, at: usize, after: u64) {
        let load = &mut self.loads[at];
        load.life += 1;
        (load.texts, load.at, load.asked) = (Vec::new(), 0, None);
        load.tags.clear();
        let life = load.life;
        self.put(after, Ev::Step { client: at, life });
    }

    /// The next statement of a working client, or its next operation.
    pub(crate) fn step(&mut self, at: usize, life: u64) {
        if self.loads[at].life != life {
            return;
        }
        let up: Vec<usize> = (0..self.access.len()).filter(|node| self.access[*node].core.is_some()).collect();
        let ready = |node: &usize| self.access[*node].core.as_ref().is_some_and(|core| core.is_ready());
        // A session begins once its node has answered: what is said to one that stands still is not yet heard.
        let up: Vec<usize> = up.into_iter().filter(|node| ready(node) && !self.frozen.contains(node)).collect();
        if self.loads[at].client == usize::MAX || self.clients[self.loads[at].client].id.is_none() {
            if self.loads[at].is_stopped {
                return;
            }
            let Some(node) = up.get(at % up.len().max(1)).copied() else { return self.again(at, 100 * MS) };
            let route = self.loads[at].route.clone();
            let client = self.client(node, &route);
            self.clients[client].load = Some(at);
            self.loads[at].client = client;
            self.loads[at].values.clear();
            // Some sessions carry values, which must never be met by another's statement.
            if at.is_multiple_of(2) {
                self.say(client, &format!("QUERY v{at}x{life} ASSIGN tenant t{at}"));
                self.loads[at].values.insert("tenant".to_owned(), format!("t{at}"));
            }
            self.say(client, &format!("QUERY d{at}x{life} DEFINE s READ q{}", at % 3));
            self.take(client);
        }
        if self.loads[at].texts.is_empty() {
            if self.loads[at].is_stopped {
                return;
            }
            self.plan(at);
        }
        self.request(at);
    }

    fn plan(&mut self, at: usize) {
        let (now, things) = (self.now, self.things);
        let load = &mut self.loads[at];
        let kind = load.luck.below(100);
        let texts: Vec<&str> = match (load.route.starts_with('b'), kind) {
            (true, 0..=9) => vec!["BEGIN READ", "READ k", "READ k", "COMMIT"],
            (true, 10..=30) => vec!["EXECUTE s k"],
            (true, _) => vec!["READ k"],
            (_, 0..=24) => vec!["READ k"],
            (_, 25..=59) => vec!["WRITE k d"],
            (_, 60..=69) => vec!["BEGIN", "READ k", "ABORT"],
            (_, _) => vec!["BEGIN", "EXECUTE s k", "WRITE k d", "WRITE k d", "COMMIT"],
        };
        // The things of one transaction share a tag, and so a slot.
        let thing = |load: &mut Load| format!("{{{}}}x", load.luck.below(things));
        let thing = if things > 0 { thing(load) } else { "k".to_owned() };
        load.texts = texts.into_iter().map(|text| text.replace(" k", &format!(" {thing}"))).collect();
        (load.at, load.begun) = (0, now);
    }

    fn request(&mut self, at: usize) {
        let (now, things) = (self.now, self.things);
        let load = &mut self.loads[at];
        let Some(text) = load.texts.get(load.at).cloned() else { return };
        load.said += 1;
        let tag = format!("q{at}x{}", load.said);
        let is_txn = load.texts.len() > 1;
        if text == "BEGIN" || text == "BEGIN READ" {
            load.begun = now;
        }
        let first_byte = if is_txn { load.begun } else { now };
        let since = if load.route.starts_with('b') { first_byte.saturating_sub(1500 * MS) } else { first_byte };
        let mut text = text;
        if text.starts_with("WRITE") {
            load.tags.push(tag.clone());
            // Each write leaves a row of its own.
            if let Some(start) = text.strip_suffix(" d").filter(|_| things > 0) {
                text = format!("{start} {tag}");
            }
        }
        let shape = text.starts_with("EXECUTE").then(|| format!("q{}", at % 3));
        let said = Said { since, values: load.values.clone(), shape };
        let client = load.client;
        load.asked = Some(tag.clone());
        self.saids.insert(tag.clone(), said);
        self.say(client, &format!("QUERY {tag} {text}"));
    }

    pub(crate) fn returned(&mut self, at: usize, lines: &[String]) {
        let now = self.now;
        let load = &mut self.loads[at];
        // Returns to what was said at the start of the session need no care.
        if load.asked.is_none() || load.texts.is_empty() {
            return;
        }
        let asked = load.asked.take().unwrap_or_default();
        let stamps = lines.iter().filter_map(|line| line.strip_prefix("COMPLETE stamp."));
        if let Some(stamp) = stamps.into_iter().find(|stamp| !stamp.ends_with(&format!(".{asked}"))) {
            self.oracle.broken.push(format!("MIXED: {asked} is answered by {stamp}"));
        }
        let error = lines
            .iter()
            .find_map(|line| line.strip_prefix("ERROR "))
            .map(|rest| rest.split(' ').next().unwrap_or_default().to_owned());
        let state = lines.last().and_then(|line| line.split(' ').nth(1)).unwrap_or("I").to_owned();
        let text = load.texts[load.at].clone();
        if load.is_broken {
            // The end of a failed transaction.
            load.is_broken = false;
            let pause = 100 * MS + load.luck.below(100) * MS;
            return self.again(at, pause);
        }
        let Some(code) = error else {
            load.at += 1;
            let is_over = load.at >= load.texts.len();
            if is_over {
                load.done += 1;
                load.slowest_us = load.slowest_us.max(now - load.begun);
                let is_kept = text != "ABORT";
                let tags = std::mem::take(&mut load.tags);
                if is_kept {
                    tags.into_iter().for_each(|tag| {
                        self.oracle.ack(tag, now);
                    });
                }
                let pause = 20 * MS + self.loads[at].luck.below(60) * MS;
                return self.again(at, pause);
            }
            let (pause, life) = (load.luck.below(15) * MS, load.life);
            return self.put(pause, Ev::Step { client: at, life });
        };
        let tags = std::mem::take(&mut load.tags);
        if PROMISES.contains(&code.as_str()) {
            tags.into_iter().for_each(|tag| {
                self.oracle.promised.insert(tag, now);
            });
        } else {
            self.oracle.unsure += 1;
        }
        let load = &mut self.loads[at];
        load.failed += 1;
        if state == "I" {
            let pause = 100 * MS + load.luck.below(100) * MS;
            return self.again(at, pause);
        }
        load.is_broken = true;
        load.texts = vec!["ABORT".to_owned()];
        load.at = 0;
        self.request(at);
    }
}
