//! The databases of all services: their logs, who leads, and how a log reaches the replicas.
use crate::record::Record;
use std::collections::{BTreeMap, HashSet};
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

/// One commit: its place in the log, the try that it belongs to, and what it writes.
#[derive(Clone, PartialEq, Debug)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub id: String,
    pub writes: Vec<(String, String)>,
}

pub struct Db {
    pub id: String,
    pub service: String,
    pub address: String,
    pub is_primary: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    pub rows: BTreeMap<String, String>,
    /// Does not receive until CONTINUE, a promotion or a restart.
    pub suspended: u64,
    pub is_running: bool,
    /// The log does not reach this replica.
    pub is_deaf: bool,
    /// Has said DELETE, or is gone: sends no more beats.
    pub is_silent: bool,
    sequence: u64,
    is_changed: bool,
    /// Rises when the lead is lost: what began before is over.
    pub reign: u64,
    pub streams: BTreeMap<u64, TcpStream>,
}

impl Db {
    pub fn position(&self) -> String {
        self.log.last().map_or(format!("{}.0", self.term.min(1)), |entry| format!("{}.{}", entry.term, entry.number))
    }

    pub fn last(&self) -> (u64, u64) {
        self.log.last().map_or((1, 0), |entry| (entry.term, entry.number))
    }

    pub fn status(&self) -> String {
        let role = if self.is_primary { "primary" } else { "replica" };
        format!("ROW {role} {} {} {} 0 0 {}", self.term, self.position(), self.suspended, self.streams.len())
    }

    fn apply(&mut self, entry: Entry) {
        for (key, data) in &entry.writes {
            self.rows.insert(key.clone(), data.clone());
        }
        self.log.push(entry);
    }

    fn cut_back(&mut self, len: usize) {
        if len < self.log.len() {
            let rest: Vec<Entry> = self.log.drain(..).take(len).collect();
            self.rows.clear();
            rest.into_iter().for_each(|entry| self.apply(entry));
        }
    }

    /// Takes over the log of another database; what is not in it is cut back.
    pub(crate) fn follow(&mut self, log: &[Entry]) {
        let same = self.log.iter().zip(log).take_while(|(own, other)| own == other).count();
        self.cut_back(same);
        log[same..].iter().cloned().for_each(|entry| self.apply(entry));
    }
}

/// A promotion that took effect: when, who, and the tries in its log then.
pub struct Promotion {
    pub at_ms: u64,
    pub id: String,
    pub service: String,
    pub tries: HashSet<String>,
}

/// A client's statement that a database ran.
pub struct Run {
    pub at_ms: u64,
    pub service: String,
    pub id: String,
}

pub struct State {
    pub databases: Vec<Db>,
    pub promotions: Vec<Promotion>,
    pub runs: Vec<Run>,
}

pub struct Fleet {
    state: Mutex<State>,
    pub changed: Condvar,
    pub record: Arc<Record>,
}

impl Fleet {
    pub fn new(record: Arc<Record>) -> Arc<Fleet> {
        let state = State { databases: Vec::new(), promotions: Vec::new(), runs: Vec::new() };
        Arc::new(Fleet { state: Mutex::new(state), changed: Condvar::new(), record })
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Adds a database that runs, with the log of another one that was at its address, if any.
    pub fn add(&self, id: &str, service: &str, address: &str, is_primary: bool, log: &[Entry], term: u64) {
        let mut db = Db {
            id: id.to_owned(),
            service: service.to_owned(),
            address: address.to_owned(),
            is_primary,
            term,
            log: Vec::new(),
            rows: BTreeMap::new(),
            suspended: 0,
            is_running: true,
            is_deaf: false,
            is_silent: false,
            sequence: 0,
            is_changed: false,
            reign: 0,
            streams: BTreeMap::new(),
        };
        db.follow(log);
        self.lock().databases.push(db);
        self.record.tell(&format!("{id} of {service} starts at {address}"));
    }

    pub fn with<T>(&self, id: &str, run: impl FnOnce(&mut Db) -> T) -> Option<T> {
        let mut state = self.lock();
        let found = state.databases.iter_mut().find(|db| db.id == id).map(run);
        self.changed.notify_all();
        found
    }

    pub fn is_running(&self, id: &str) -> bool {
        self.with(id, |db| db.is_running).unwrap_or(false)
    }

    pub fn primary(&self, service: &str) -> Option<String> {
        let state = self.lock();
        let is_lead = |db: &&Db| db.service == service && db.is_primary && db.is_running;
        state.databases.iter().find(is_lead).map(|db| db.id.clone())
    }

    /// The process is killed: its connections are cut, its port resets. The log stays.
    pub fn crash(&self, id: &str) {
        self.with(id, |db| {
            db.is_running = false;
            db.streams.values().for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
            db.streams.clear();
        });
        self.record.tell(&format!("{id} is down"));
    }

    pub fn note_run(&self, id: &str, query: &str) {
        let mut state = self.lock();
        let service = state.databases.iter().find(|db| db.id == id).map(|db| db.service.clone()).unwrap_or_default();
        state.runs.push(Run { at_ms: self.record.ms(), service, id: query.to_owned() });
    }

    /// A crashed database returns with its log, as a replica if another one was promoted.
    pub fn restart(&self, id: &str) {
        self.with(id, |db| {
            (db.is_running, db.suspended, db.is_deaf, db.is_changed) = (true, 0, false, true);
        });
        self.record.tell(&format!("{id} is back"));
    }

    pub fn stop_beats(&self, id: &str) {
        self.with(id, |db| db.is_silent = true);
    }

    /// The body of the next beat, if one is due.
    pub fn next_beat(&self, id: &str) -> Option<String> {
        self.with(id, |db| {
            if db.is_silent || !db.is_running {
                return None;
            }
            db.sequence += 1;
            let role = if db.is_primary { "primary" } else { "replica" };
            Some(format!(
                "{{\"destination\":\"{}\",\"address\":\"{}\",\"zone\":\"here\",\"issue\":\"v1\",\"capacity\":5,\"state\":\"in_service\",\"coldLeftMs\":0,\"dbRole\":\"{role}\",\"sequence\":{}}}",
                db.service, db.address, db.sequence
            ))
        })?
    }

    pub fn take_change(&self, id: &str) -> bool {
        self.with(id, |db| std::mem::take(&mut db.is_changed)).unwrap_or(false)
    }

    /// The named database leads the next term with what it has received and nothing more; others are cut back.
    pub fn promote(&self, service: &str, id: &str) {
        let mut state = self.lock();
        let Some(new) = state.databases.iter().find(|db| db.id == id && db.is_running) else { return };
        let log = new.log.clone();
        let of_service = |db: &&mut Db| db.service == service;
        let term = state.databases.iter().filter(|db| db.service == service).map(|db| db.term).max().unwrap_or(0) + 1;
        for db in state.databases.iter_mut().filter(of_service) {
            if db.is_primary && db.id != id {
                (db.is_primary, db.reign) = (false, db.reign + 1);
                db.is_changed = true;
            }
            let same = db.log.iter().zip(&log).take_while(|(own, other)| own == other).count();
            db.cut_back(same);
            (db.term, db.suspended) = (term, 0);
            if db.id == id {
                (db.is_primary, db.is_changed) = (true, true);
            }
        }
        let at_ms = self.record.ms();
        let tries = log.iter().map(|entry| entry.id.clone()).collect();
        state.promotions.push(Promotion { at_ms, id: id.to_owned(), service: service.to_owned(), tries });
        let position = state.databases.iter().find(|db| db.id == id).map(Db::position).unwrap_or_default();
        self.record.tell(&format!("{id} leads {service} in term {term}, log up to {position}"));
        self.changed.notify_all();
    }

    /// Adds a commit to a primary's log and returns its place.
    pub fn commit(db: &mut Db, id: &str, writes: Vec<(String, String)>) -> (u64, u64) {
        let place = (db.term, db.last().1 + 1);
        db.apply(Entry { term: place.0, number: place.1, id: id.to_owned(), writes });
        place
    }
}
