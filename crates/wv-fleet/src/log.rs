//! A stand-in database's log and what the control side asks of it.
use crate::base::Base;
use wv_wire::Pos;

impl Base {
    /// The control side's own calls.
    pub fn ask(&mut self, text: &str) -> Option<wv_wire::Status> {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        match verb {
            "SUSPEND" => self.held = rest.parse().unwrap_or(0),
            "CONTINUE" => self.held = 0,
            _ => {}
        }
        let row = self.row();
        let row = row.lines().next().unwrap_or_default();
        wv_wire::parse_status(row.strip_prefix("ROW ").unwrap_or_default().as_bytes())
    }

    pub fn received(&self) -> Pos {
        self.log.last().map_or(Pos { term: 1, number: 0 }, |entry| entry.pos)
    }

    pub fn applied_pos(&self) -> Pos {
        self.applied
            .checked_sub(1)
            .and_then(|at| self.log.get(at))
            .map_or(Pos { term: 1, number: 0 }, |entry| entry.pos)
    }

    pub(crate) fn has(&self, pos: Pos) -> bool {
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
