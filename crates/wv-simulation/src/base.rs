//! A stand-in database: log, sessions, and the answers that the protocol page gives.
use crate::conn::Conn;
use std::collections::{BTreeMap, BTreeSet};
use wv_wire_protocol::{split_word, ErrorCode, LogPosition};

/// A write: the query id of the try that made it (`-` for windvalve's own), and the row.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Write {
    pub tag: String,
    pub thing: String,
    pub data: String,
}

/// One committed write at its place.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub pos: LogPosition,
    pub write: Write,
}

/// What a text leads to beyond its direct answer.
pub enum Outcome {
    Say(String),
    /// A write that waits for its transaction's commit.
    Keep(Write),
    /// A commit of these, answered once enough replicas have it.
    Commit(Vec<Write>),
    /// A read ran on this many applied entries.
    Read(String),
    /// Replication is stopped or let go on.
    Row,
}

pub struct Base {
    pub id: String,
    pub service: String,
    pub addr: String,
    pub zone: String,
    pub is_primary: bool,
    pub is_up: bool,
    pub is_dark: bool,
    pub is_deaf: bool,
    pub is_draining: bool,
    pub is_left: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    pub applied: usize,
    /// What stands of each thing in what is applied.
    pub rows: BTreeMap<String, String>,
    pub held: u64,
    pub apply_lag: u64,
    /// How long a statement takes it.
    pub work_us: u64,
    pub falls: u32,
    pub sequence: u64,
    pub conns: BTreeMap<u64, Conn>,
    /// Returns still to be lost after the statement ran.
    pub lose: u32,
    pub is_congested: bool,
    /// Connections and statements it takes at once before it falls over, while it recovers.
    pub bears: Option<usize>,
    pub setups: u64,
    pub most_busy: usize,
    pub busy: BTreeSet<u64>,
}

/// An address of its own, also among hundreds of services.
fn addr(service: &str, at: usize) -> String {
    let hash = service.bytes().fold(0x811c_9dc5u32, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193));
    let [one, two, three, _] = hash.to_le_bytes();
    format!("10.{one}.{two}.{three}:{}", 5001 + at)
}

/// One thing stands there from the start.
pub(crate) fn first_rows() -> BTreeMap<String, String> {
    BTreeMap::from([("k".to_owned(), "0".to_owned())])
}

impl Base {
    pub fn new(service: &str, at: usize) -> Base {
        Base {
            id: format!("i-{service}{at}"),
            service: service.to_owned(),
            addr: addr(service, at),
            zone: format!("z{at}"),
            is_primary: at == 0,
            is_up: true,
            is_dark: false,
            is_deaf: false,
            is_draining: false,
            is_left: false,
            term: 1,
            log: Vec::new(),
            applied: 0,
            rows: first_rows(),
            held: 0,
            apply_lag: 20_000,
            work_us: 3000,
            falls: 0,
            sequence: 0,
            conns: BTreeMap::new(),
            lose: 0,
            is_congested: false,
            bears: None,
            setups: 0,
            most_busy: 0,
            busy: BTreeSet::new(),
        }
    }

    fn error(&mut self, conn: u64, code: ErrorCode, is_fatal: bool) -> Outcome {
        let state = self.conns.get_mut(&conn).map_or(b'I', |held| {
            if is_fatal && held.state == b'T' {
                held.state = b'E';
            }
            held.state
        });
        Outcome::Say(format!("ERROR {} no\r\n{}", code.as_str(), self.idle(state)))
    }

    pub fn row(&self) -> String {
        let role = if self.is_primary { "primary" } else { "replica" };
        let row = format!(
            "ROW {role} {} {} {} 0 {} {}\r\n",
            self.term,
            self.received(),
            self.held,
            self.busy.len(),
            self.conns.len()
        );
        self.complete(&row, "-", b'I')
    }

    /// Runs one text on a connection.
    pub fn run(&mut self, conn: u64, text: &str) -> Outcome {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        let Some(state) = self.conns.get(&conn).map(|held| held.state) else { return Outcome::Say(String::new()) };
        if state == b'E' && verb != "ABORT" && verb != "COMMIT" {
            return self.error(conn, ErrorCode::Malformed, false);
        }
        if verb == "MINPOS" {
            let (word, more) = split_word(rest.as_bytes());
            let pos = LogPosition::parse(word).unwrap_or_default();
            if !self.has(pos) {
                return self.error(conn, ErrorCode::Lagging, true);
            }
            let more = String::from_utf8_lossy(more).into_owned();
            return self.run(conn, &more);
        }
        let is_plain = self.conns.get(&conn).is_some_and(|held| held.is_plain);
        let is_old = self.conns.get(&conn).is_some_and(|held| held.is_deposed);
        let is_deposed = state == b'T' && is_plain && (!self.is_primary || is_old);
        match verb {
            "BEGIN" if rest.is_empty() && (!self.is_primary || is_old) => self.error(conn, ErrorCode::ReadOnly, true),
            "BEGIN" => self.set(conn, |held| (held.state, held.is_plain) = (b'T', rest.is_empty())),
            "ABORT" => self.set(conn, |held| {
                held.state = b'I';
                held.writes.clear();
            }),
            "COMMIT" => {
                let Some(held) = self.conns.get_mut(&conn) else { return Outcome::Row };
                let writes = std::mem::take(&mut held.writes);
                let is_failed = std::mem::replace(&mut held.state, b'I') == b'E';
                if is_failed {
                    return self.error(conn, ErrorCode::Aborted, false);
                }
                if is_deposed && !writes.is_empty() {
                    return self.error(conn, ErrorCode::ReadOnly, false);
                }
                Outcome::Commit(writes)
            }
            _ if is_deposed => self.error(conn, ErrorCode::ReadOnly, true),
            "ASSIGN" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                self.set(conn, |held| {
                    held.values.insert(name.to_owned(), value.to_owned());
                })
            }
            "CLEAR" => self.set(conn, |held| {
                held.values.clear();
                held.defined.clear();
            }),
            "DEFINE" => {
                let mut words = rest.split(' ');
                let mut word = || words.next().unwrap_or_default().to_owned();
                let (name, kind, shape) = (word(), word(), word());
                self.set(conn, |held| {
                    held.defined.insert(name, (kind == "WRITE", shape));
                })
            }
            "EXECUTE" => {
                let (name, row) = rest.split_once(' ').unwrap_or((rest, ""));
                match self.conns.get(&conn).and_then(|held| held.defined.get(name)).map(|held| held.0) {
                    Some(true) => self.write(conn, state, row),
                    Some(false) => self.read(row),
                    None => self.error(conn, ErrorCode::Undefined, true),
                }
            }
            "READ" | "WRITE" if self.is_congested => self.error(conn, ErrorCode::Congested, true),
            "READ" => self.read(rest),
            "WRITE" => self.write(conn, state, rest),
            "ENQUIRY" => Outcome::Row,
            "SUSPEND" => {
                self.held = rest.parse().unwrap_or(0);
                Outcome::Row
            }
            "CONTINUE" => {
                self.held = 0;
                Outcome::Row
            }
            _ => self.error(conn, ErrorCode::Malformed, true),
        }
    }

    fn set(&mut self, conn: u64, change: impl FnOnce(&mut Conn)) -> Outcome {
        let state = self.conns.get_mut(&conn).map_or(b'I', |held| {
            change(held);
            held.state
        });
        Outcome::Say(self.complete("", "-", state))
    }

    fn read(&self, thing: &str) -> Outcome {
        let row = self.rows.get(thing).map(|data| format!("ROW {data}\r\n"));
        Outcome::Read(row.unwrap_or_default())
    }

    fn write(&mut self, conn: u64, state: u8, row: &str) -> Outcome {
        if !self.is_primary || self.conns.get(&conn).is_some_and(|held| held.is_deposed) {
            return self.error(conn, ErrorCode::ReadOnly, true);
        }
        let (thing, data) = row.split_once(' ').unwrap_or((row, ""));
        let write = Write { tag: String::new(), thing: thing.to_owned(), data: data.to_owned() };
        if state == b'T' {
            return Outcome::Keep(write);
        }
        Outcome::Commit(vec![write])
    }
}
