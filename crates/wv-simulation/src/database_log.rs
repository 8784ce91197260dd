//! Log of a simulated database, and its replies to control nodes.
use crate::database::{Database, LogEntry, Outcome, Write};
use wv_wire_protocol::LogPosition;

impl Database {
    /// Executes a statement of a control node and returns the database's status.
    pub fn control_request(&mut self, text: &str) -> Option<wv_wire_protocol::DatabaseStatus> {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        match verb {
            // Only a term above the newest suspends a replica.
            "SUSPEND" => {
                let term = rest.parse().ok().filter(|term: &u64| *term > self.term && !self.is_primary);
                self.suspended = term.unwrap_or(self.suspended);
            }
            "CONTINUE" => self.suspended = 0,
            "YIELD" if rest.parse().is_ok_and(|term: u64| term > self.term) => self.is_primary = false,
            _ => {}
        }
        let row = self.status_lines();
        let row = row.lines().next().unwrap_or_default();
        wv_wire_protocol::parse_status(row.strip_prefix("ROW ").unwrap_or_default().as_bytes())
    }

    /// Appends writes to the log and applies them.
    pub fn append(&mut self, writes: Vec<Write>) {
        for write in writes {
            let pos = LogPosition { term: self.term, number: self.received_position().number + 1 };
            self.log.push(LogEntry { pos, write });
        }
        self.apply(self.log.len());
    }

    pub fn apply(&mut self, len: usize) {
        let len = len.min(self.log.len());
        for at in self.applied_len..len {
            let write = &self.log[at].write;
            self.rows.insert(write.key.clone(), write.value.clone());
        }
        self.applied_len = self.applied_len.max(len);
    }

    /// Truncates the log to its common prefix with `log`.
    pub fn truncate_to(&mut self, log: &[LogEntry]) {
        self.log.truncate(log.len());
        let same = self.log.iter().zip(log).take_while(|(one, other)| one == other).count();
        if same < self.log.len() {
            self.log.truncate(same);
        }
        if self.applied_len > self.log.len() {
            (self.applied_len, self.rows) = (0, crate::database::first_rows());
            self.apply(self.log.len());
        }
    }

    pub fn received_position(&self) -> LogPosition {
        self.log.last().map_or(LogPosition { term: 1, number: 0 }, |entry| entry.pos)
    }

    pub fn applied_position(&self) -> LogPosition {
        self.applied_len
            .checked_sub(1)
            .and_then(|at| self.log.get(at))
            .map_or(LogPosition { term: 1, number: 0 }, |entry| entry.pos)
    }

    pub(crate) fn has_applied(&self, pos: LogPosition) -> bool {
        pos.number == 0 || self.log[..self.applied_len.min(self.log.len())].iter().any(|entry| entry.pos == pos)
    }

    pub(crate) fn idle_line(&self, state: u8) -> String {
        let pos = if self.is_primary { self.received_position() } else { self.applied_position() };
        format!("IDLE {} {pos}\r\n", state as char)
    }

    pub fn complete_lines(&self, rows: &str, stamp: &str, state: u8) -> String {
        format!("{rows}COMPLETE {stamp}\r\n{}", self.idle_line(state))
    }
}

/// Reply of a database that runs without a simulation.
pub enum StandaloneReply {
    Text(String),
    UnknownConnection,
}

impl Database {
    /// Opens a connection.
    pub fn set_up(&mut self, connection_id: u64) -> String {
        self.connections.insert(connection_id, crate::Connection { state: b'I', ..Default::default() });
        self.idle_line(b'I')
    }

    /// Executes a statement without replication: commits are acknowledged at once.
    pub fn execute_standalone(&mut self, connection_id: u64, id: &str, text: &str) -> StandaloneReply {
        if !self.connections.contains_key(&connection_id) {
            return StandaloneReply::UnknownConnection;
        }
        let stamp = format!("stamp.{}.{id}", self.id);
        let outcome = self.execute(connection_id, text);
        let state = self.connections.get(&connection_id).map_or(b'I', |connection| connection.state);
        StandaloneReply::Text(match outcome {
            Outcome::Buffer(write) => {
                let write = Write { tag: id.to_owned(), ..write };
                self.connections
                    .get_mut(&connection_id)
                    .into_iter()
                    .for_each(|connection| connection.writes.push(write.clone()));
                self.complete_lines("", &stamp, state)
            }
            Outcome::Reply(reply) => reply,
            Outcome::Status => self.status_lines(),
            Outcome::Read(rows) => self.complete_lines(&rows, &stamp, state),
            Outcome::Commit(writes) => {
                let is_single = text != "COMMIT";
                let with_tag = |write: Write| if is_single { Write { tag: id.to_owned(), ..write } } else { write };
                self.append(writes.into_iter().map(with_tag).collect());
                self.complete_lines("", &stamp, b'I')
            }
        })
    }
}
