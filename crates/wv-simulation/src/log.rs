//! A stand-in database's log and what the control side asks of it.
use crate::base::{Base, Entry, Outcome, Write};
use wv_wire_protocol::LogPosition;

impl Base {
    /// The control side's own calls.
    pub fn request(&mut self, text: &str) -> Option<wv_wire_protocol::DatabaseStatus> {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        match verb {
            "SUSPEND" => self.held = rest.parse().unwrap_or(0),
            "CONTINUE" => self.held = 0,
            "YIELD" if rest.parse().is_ok_and(|term: u64| term > self.term) => self.is_primary = false,
            _ => {}
        }
        let row = self.row();
        let row = row.lines().next().unwrap_or_default();
        wv_wire_protocol::parse_status(row.strip_prefix("ROW ").unwrap_or_default().as_bytes())
    }

    /// Writes go to the end of the log, and what is applied grows with them.
    pub fn append(&mut self, writes: Vec<Write>) {
        for write in writes {
            let pos = LogPosition { term: self.term, number: self.received().number + 1 };
            self.log.push(Entry { pos, write });
        }
        self.apply(self.log.len());
    }

    pub fn apply(&mut self, len: usize) {
        let len = len.min(self.log.len());
        for at in self.applied..len {
            let write = &self.log[at].write;
            self.rows.insert(write.thing.clone(), write.data.clone());
        }
        self.applied = self.applied.max(len);
    }

    /// The log is cut back to what another one begins with.
    pub fn cut_back(&mut self, log: &[Entry]) {
        self.log.truncate(log.len());
        let same = self.log.iter().zip(log).take_while(|(one, other)| one == other).count();
        if same < self.log.len() {
            self.log.truncate(same);
        }
        if self.applied > self.log.len() {
            (self.applied, self.rows) = (0, crate::base::first_rows());
            self.apply(self.log.len());
        }
    }

    pub fn received(&self) -> LogPosition {
        self.log.last().map_or(LogPosition { term: 1, number: 0 }, |entry| entry.pos)
    }

    pub fn applied_pos(&self) -> LogPosition {
        self.applied
            .checked_sub(1)
            .and_then(|at| self.log.get(at))
            .map_or(LogPosition { term: 1, number: 0 }, |entry| entry.pos)
    }

    pub(crate) fn has(&self, pos: LogPosition) -> bool {
        pos.number == 0 || self.log[..self.applied.min(self.log.len())].iter().any(|entry| entry.pos == pos)
    }

    pub(crate) fn idle(&self, state: u8) -> String {
        let pos = if self.is_primary { self.received() } else { self.applied_pos() };
        format!("IDLE {} {pos}\r\n", state as char)
    }

    pub fn complete(&self, rows: &str, stamp: &str, state: u8) -> String {
        format!("{rows}COMPLETE {stamp}\r\n{}", self.idle(state))
    }
}

/// What a stand-in on its own says to a text.
pub enum Answer {
    Text(String),
    Unknown,
}

impl Base {
    /// Takes a connection in.
    pub fn set_up(&mut self, conn: u64) -> String {
        self.conns.insert(conn, crate::Conn { state: b'I', ..Default::default() });
        self.idle(b'I')
    }

    /// Runs a text with nobody to replicate to: a commit stands at once.
    pub fn answer(&mut self, conn: u64, id: &str, text: &str) -> Answer {
        if !self.conns.contains_key(&conn) {
            return Answer::Unknown;
        }
        let stamp = format!("stamp.{}.{id}", self.id);
        let outcome = self.run(conn, text);
        let state = self.conns.get(&conn).map_or(b'I', |held| held.state);
        Answer::Text(match outcome {
            Outcome::Keep(write) => {
                let write = Write { tag: id.to_owned(), ..write };
                self.conns.get_mut(&conn).into_iter().for_each(|held| held.writes.push(write.clone()));
                self.complete("", &stamp, state)
            }
            Outcome::Say(said) => said,
            Outcome::Row => self.row(),
            Outcome::Read(rows) => self.complete(&rows, &stamp, state),
            Outcome::Commit(writes) => {
                let is_single = text != "COMMIT";
                let named = |write: Write| if is_single { Write { tag: id.to_owned(), ..write } } else { write };
                self.append(writes.into_iter().map(named).collect());
                self.complete("", &stamp, b'I')
            }
        })
    }
}
