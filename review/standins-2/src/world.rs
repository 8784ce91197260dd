//! The databases of all services, with their logs, and what the platform does to them.
use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The way of a log entry from a primary to a replica in another zone, one way.
pub const NETWORK: Duration = Duration::from_micros(1400);

#[derive(Clone)]
pub struct Entry {
    pub term: u64,
    /// The id of the statement that wrote it; for a transaction that of its `COMMIT`.
    pub id: String,
    pub writes: Vec<(String, String)>,
    pub at: Instant,
}

pub struct Database {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: String,
    pub is_primary: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    pub suspended: u64,
    pub is_up: bool,
    /// Receives nothing from its primary.
    pub is_deaf: bool,
    pub sequence: u64,
    /// Raised by each crash; connections of an earlier life are closed.
    pub life: u64,
    pub streams: Vec<TcpStream>,
    pub connections: u32,
}

impl Database {
    pub fn position(&self) -> String {
        format!("{}.{}", self.log.last().map_or(1, |entry| entry.term), self.log.len())
    }

    pub fn row(&self) -> String {
        let role = if self.is_primary { "primary" } else { "replica" };
        let position = self.position();
        format!("ROW {role} {} {position} {} 0 0 {}\r\n", self.term, self.suspended, self.connections)
    }

    pub fn value(&self, key: &str) -> Option<&str> {
        let mut writes = self.log.iter().rev().flat_map(|entry| entry.writes.iter().rev());
        writes.find(|(written, _)| written == key).map(|(_, data)| data.as_str())
    }
}

#[derive(Default)]
pub struct State {
    pub databases: Vec<Database>,
    /// Highest fence that the platform has seen, by service.
    pub fences: BTreeMap<String, u64>,
    /// Calls that the platform got: service and database.
    pub calls: Vec<(String, String)>,
    /// Commits that a primary has answered: the statement's id, and its service.
    pub committed: BTreeMap<String, String>,
    /// Statements that clients have sent: id and text.
    pub sent: BTreeMap<String, String>,
    /// Statements with a client's id as the databases got them.
    pub run: Vec<(String, String)>,
    /// Per promotion: the database, and the answered commits that its log lacked.
    pub promotions: Vec<(String, Vec<String>)>,
    pub is_over: bool,
}

#[derive(Clone)]
pub struct World {
    state: Arc<Mutex<State>>,
    pub changed: Arc<Condvar>,
    pub record: Record,
}

impl World {
    pub fn new(record: Record) -> World {
        World { state: Arc::default(), changed: Arc::default(), record }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub fn add(&self, id: &str, service: &str, zone: &str, address: String, is_primary: bool) {
        self.lock().databases.push(Database {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            is_primary,
            term: 1,
            log: Vec::new(),
            suspended: 0,
            is_up: true,
            is_deaf: false,
            sequence: 0,
            life: 0,
            streams: Vec::new(),
            connections: 0,
        });
    }

    pub fn with<T>(&self, id: &str, change: impl FnOnce(&mut Database) -> T) -> Option<T> {
        let result = self.lock().databases.iter_mut().find(|database| database.id == id).map(change);
        self.changed.notify_all();
        result
    }

    pub fn primary(&self, service: &str) -> Option<String> {
        let state = self.lock();
        let mut leads = state.databases.iter().filter(|database| database.service == service && database.is_primary);
        leads.next().map(|database| database.id.clone())
    }

    /// The process of the database ends: its connections are closed, and its address refuses.
    pub fn crash(&self, id: &str) {
        self.record.line(&format!("database {id} crashes"));
        self.with(id, |database| {
            (database.is_up, database.life) = (false, database.life + 1);
            database.streams.drain(..).for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
        });
    }

    /// The database starts again with its log, as a replica if another one was promoted.
    pub fn start(&self, id: &str) {
        self.record.line(&format!("database {id} starts again"));
        let mut state = self.lock();
        let Some(at) = state.databases.iter().position(|database| database.id == id) else { return };
        let service = state.databases[at].service.clone();
        let leader =
            state.databases.iter().find(|other| other.service == service && other.is_primary && other.id != id);
        let led = leader.map(|leader| (leader.term, leader.log.clone()));
        let database = &mut state.databases[at];
        (database.is_up, database.suspended) = (true, 0);
        if let Some((term, log)) = led {
            (database.is_primary, database.term) = (false, term);
            cut_back(database, &log);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Ships logs: a replica that runs, hears and is not suspended gets each entry after the way over the network.
    pub fn replicate(self) {
        while !self.lock().is_over {
            let mut state = self.lock();
            let now = Instant::now();
            let mut has_moved = false;
            for from in 0..state.databases.len() {
                let primary = &state.databases[from];
                if !primary.is_primary || !primary.is_up {
                    continue;
                }
                let (service, term) = (primary.service.clone(), primary.term);
                let ripe = primary.log.iter().rposition(|entry| entry.at + NETWORK <= now).map_or(0, |last| last + 1);
                for to in 0..state.databases.len() {
                    let replica = &state.databases[to];
                    let is_receiving = replica.is_up && !replica.is_deaf && replica.suspended == 0;
                    if to == from || replica.service != service || replica.is_primary || !is_receiving {
                        continue;
                    }
                    let have = replica.log.len();
                    let missing: Vec<Entry> = state.databases[from].log.get(have..ripe).unwrap_or_default().to_vec();
                    has_moved |= !missing.is_empty();
                    state.databases[to].term = term;
                    state.databases[to].log.extend(missing);
                }
            }
            drop(state);
            if has_moved {
                self.changed.notify_all();
            }
            std::thread::sleep(Duration::from_micros(300));
        }
    }

    /// The named database leads the next term with what it has received and nothing more.
    pub fn promote(&self, id: &str) {
        let mut state = self.lock();
        let Some(at) = state.databases.iter().position(|database| database.id == id && database.is_up) else { return };
        if state.databases[at].is_primary {
            return;
        }
        let (service, log) = (state.databases[at].service.clone(), state.databases[at].log.clone());
        let of_service = |database: &&mut Database| database.service == service;
        let term = state.databases.iter_mut().filter(of_service).map(|database| database.term).max().unwrap_or(1) + 1;
        for database in state.databases.iter_mut().filter(of_service) {
            (database.is_primary, database.term, database.suspended) = (database.id == id, term, 0);
            cut_back(database, &log);
        }
        let held: BTreeSet<&str> = log.iter().map(|entry| entry.id.as_str()).collect();
        let of = |(commit, of): (&String, &String)| {
            (*of == service && !held.contains(commit.as_str())).then(|| commit.clone())
        };
        let lacking: Vec<String> = state.committed.iter().filter_map(of).collect();
        self.record.line(&format!(
            "database {id} leads term {term} of {service} with {} entries; it lacks {} answered commits",
            log.len(),
            lacking.len()
        ));
        state.promotions.push((id.to_owned(), lacking));
        drop(state);
        self.changed.notify_all();
    }
}

/// Cuts a log back to what it has in common with that of the leader.
fn cut_back(database: &mut Database, leader: &[Entry]) {
    let same =
        database.log.iter().zip(leader).take_while(|(own, led)| own.term == led.term && own.id == led.id).count();
    database.log.truncate(same);
}
