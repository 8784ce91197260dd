//! Simulated database: log, connections and protocol replies.
use crate::connection::Connection;
use std::collections::{BTreeMap, BTreeSet};
use wv_wire_protocol::{split_word, ErrorCode, LogPosition};

/// A row write, tagged with the query id of the statement (`-` for windvalve's own statements).
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Write {
    pub tag: String,
    pub key: String,
    pub value: String,
}

/// A committed write and its log position.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    pub pos: LogPosition,
    pub write: Write,
}

/// What the caller has to do after a statement was executed.
pub enum Outcome {
    Reply(String),
    /// A write to buffer until its transaction commits.
    Buffer(Write),
    /// Writes to commit; acknowledged once enough replicas have received them.
    Commit(Vec<Write>),
    /// The rows of a read.
    Read(String),
    /// The reply is the database's status.
    Status,
}

pub struct Database {
    pub id: String,
    pub service: String,
    pub addr: String,
    pub zone: String,
    pub is_primary: bool,
    pub is_up: bool,
    pub is_unreachable: bool,
    pub is_log_blocked: bool,
    pub is_draining: bool,
    pub is_removed: bool,
    pub term: u64,
    pub log: Vec<LogEntry>,
    pub applied_len: usize,
    /// Rows by key, as of the applied part of the log.
    pub rows: BTreeMap<String, String>,
    pub suspended: u64,
    /// How late the statements of control nodes run, longer than these wait; 0 for at once.
    pub control_delay_us: u64,
    pub apply_lag_us: u64,
    pub statement_us: u64,
    pub overload_crashes: u32,
    pub sequence: u64,
    pub connections: BTreeMap<u64, Connection>,
    /// Number of further statements that run but whose replies are lost.
    pub lost_replies: u32,
    pub is_congested: bool,
    /// Concurrent statements above which the database crashes.
    pub busy_limit: Option<usize>,
    pub setup_count: u64,
    pub peak_busy: usize,
    pub busy: BTreeSet<u64>,
}

/// A distinct address for each database, also with hundreds of services.
fn addr(service: &str, at: usize) -> String {
    let hash = service.bytes().fold(0x811c_9dc5u32, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193));
    let [one, two, three, _] = hash.to_le_bytes();
    format!("10.{one}.{two}.{three}:{}", 5001 + at)
}

/// The rows of an empty log: the single key `k`.
pub(crate) fn first_rows() -> BTreeMap<String, String> {
    BTreeMap::from([("k".to_owned(), "0".to_owned())])
}

impl Database {
    pub fn new(service: &str, at: usize) -> Database {
        Database {
            id: format!("i-{service}{at}"),
            service: service.to_owned(),
            addr: addr(service, at),
            zone: format!("z{at}"),
            is_primary: at == 0,
            is_up: true,
            is_unreachable: false,
            is_log_blocked: false,
            is_draining: false,
            is_removed: false,
            term: 1,
            log: Vec::new(),
            applied_len: 0,
            rows: first_rows(),
            suspended: 0,
            control_delay_us: 0,
            apply_lag_us: 20_000,
            statement_us: 3000,
            overload_crashes: 0,
            sequence: 0,
            connections: BTreeMap::new(),
            lost_replies: 0,
            is_congested: false,
            busy_limit: None,
            setup_count: 0,
            peak_busy: 0,
            busy: BTreeSet::new(),
        }
    }

    fn error(&mut self, connection_id: u64, code: ErrorCode, is_fatal: bool) -> Outcome {
        let state = self.connections.get_mut(&connection_id).map_or(b'I', |connection| {
            if is_fatal && connection.state == b'T' {
                connection.state = b'E';
            }
            connection.state
        });
        Outcome::Reply(format!("ERROR {} no\r\n{}", code.as_str(), self.idle_line(state)))
    }

    pub fn status_lines(&self) -> String {
        let role = if self.is_primary { "primary" } else { "replica" };
        let row = format!(
            "ROW {role} {} {} {} 0 {} {}\r\n",
            self.term,
            self.received_position(),
            self.suspended,
            self.busy.len(),
            self.connections.len()
        );
        self.complete_lines(&row, "-", b'I')
    }

    pub fn execute(&mut self, connection_id: u64, text: &str) -> Outcome {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        let Some(state) = self.connections.get(&connection_id).map(|connection| connection.state) else {
            return Outcome::Reply(String::new());
        };
        if state == b'E' && verb != "ABORT" && verb != "COMMIT" {
            return self.error(connection_id, ErrorCode::Malformed, false);
        }
        if verb == "MINPOS" {
            let (word, remaining) = split_word(rest.as_bytes());
            let pos = LogPosition::parse(word).unwrap_or_default();
            if !self.has_applied(pos) {
                return self.error(connection_id, ErrorCode::Lagging, true);
            }
            let remaining = String::from_utf8_lossy(remaining).into_owned();
            return self.execute(connection_id, &remaining);
        }
        let is_read_write = self.connections.get(&connection_id).is_some_and(|connection| connection.is_read_write);
        let was_demoted = self.connections.get(&connection_id).is_some_and(|connection| connection.is_deposed);
        let is_deposed = state == b'T' && is_read_write && (!self.is_primary || was_demoted);
        match verb {
            "BEGIN" if rest.is_empty() && (!self.is_primary || was_demoted) => {
                self.error(connection_id, ErrorCode::ReadOnly, true)
            }
            "BEGIN" => self.update_connection(connection_id, |connection| {
                (connection.state, connection.is_read_write) = (b'T', rest.is_empty())
            }),
            "ABORT" => self.update_connection(connection_id, |connection| {
                connection.state = b'I';
                connection.writes.clear();
            }),
            "COMMIT" => {
                let Some(connection) = self.connections.get_mut(&connection_id) else { return Outcome::Status };
                let writes = std::mem::take(&mut connection.writes);
                let is_failed = std::mem::replace(&mut connection.state, b'I') == b'E';
                if is_failed {
                    return self.error(connection_id, ErrorCode::Aborted, false);
                }
                if is_deposed && !writes.is_empty() {
                    return self.error(connection_id, ErrorCode::ReadOnly, false);
                }
                Outcome::Commit(writes)
            }
            _ if is_deposed => self.error(connection_id, ErrorCode::ReadOnly, true),
            "ASSIGN" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                self.update_connection(connection_id, |connection| {
                    connection.values.insert(name.to_owned(), value.to_owned());
                })
            }
            "CLEAR" => self.update_connection(connection_id, |connection| {
                connection.values.clear();
                connection.prepared.clear();
            }),
            "DEFINE" => {
                let mut words = rest.split(' ');
                let mut word = || words.next().unwrap_or_default().to_owned();
                let (name, kind, shape) = (word(), word(), word());
                self.update_connection(connection_id, |connection| {
                    connection.prepared.insert(name, (kind == "WRITE", shape));
                })
            }
            "EXECUTE" => {
                let (name, row) = rest.split_once(' ').unwrap_or((rest, ""));
                match self
                    .connections
                    .get(&connection_id)
                    .and_then(|connection| connection.prepared.get(name))
                    .map(|connection| connection.0)
                {
                    Some(true) => self.write(connection_id, state, row),
                    Some(false) => self.read(row),
                    None => self.error(connection_id, ErrorCode::Undefined, true),
                }
            }
            "READ" | "WRITE" if self.is_congested => self.error(connection_id, ErrorCode::Congested, true),
            "READ" => self.read(rest),
            "WRITE" => self.write(connection_id, state, rest),
            "ENQUIRY" => Outcome::Status,
            "SUSPEND" | "CONTINUE" => {
                self.control_request(text);
                Outcome::Status
            }
            _ => self.error(connection_id, ErrorCode::Malformed, true),
        }
    }

    fn update_connection(&mut self, connection_id: u64, change: impl FnOnce(&mut Connection)) -> Outcome {
        let state = self.connections.get_mut(&connection_id).map_or(b'I', |connection| {
            change(connection);
            connection.state
        });
        Outcome::Reply(self.complete_lines("", "-", state))
    }

    fn read(&self, key: &str) -> Outcome {
        let row = self.rows.get(key).map(|data| format!("ROW {data}\r\n"));
        Outcome::Read(row.unwrap_or_default())
    }

    fn write(&mut self, connection_id: u64, state: u8, row: &str) -> Outcome {
        if !self.is_primary || self.connections.get(&connection_id).is_some_and(|connection| connection.is_deposed) {
            return self.error(connection_id, ErrorCode::ReadOnly, true);
        }
        let (key, data) = row.split_once(' ').unwrap_or((row, ""));
        let write = Write { tag: String::new(), key: key.to_owned(), value: data.to_owned() };
        if state == b'T' {
            return Outcome::Buffer(write);
        }
        Outcome::Commit(vec![write])
    }
}
