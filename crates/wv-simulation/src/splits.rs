//! Planned shards in the world: own texts at databases, and what must be true of rows after a split.
use crate::base::{Outcome, Write};
use crate::conn::Conn;
use crate::world::{Ev, World, HOP};
use crate::MS;
use std::collections::BTreeMap;
use wv_internal_protocol::{SlotMap, SlotRange};
use wv_shard_split::Reply;
use wv_wire_protocol::{split_line, DatabaseLine};

/// How long a text takes.
const TEXT_US: u64 = MS / 2;

impl World {
    /// Own texts leave the control node: the connection stands from now on, the texts arrive a little later.
    pub(crate) fn run_texts(&mut self, control: usize, run: u64, id: &str, texts: &[String]) {
        let name = self.controls[control].name.clone();
        let is_open = |at: &usize| {
            let base = &self.bases[*at];
            base.is_up && !base.is_dark && !self.is_cut(&name, &base.id)
        };
        let Some(base) = self.base(id).filter(is_open) else {
            // Nothing was sent.
            return self.put(100 * MS, Ev::Ran { control, run, replies: Some(Vec::new()) });
        };
        self.next_conn += 1;
        let conn = self.next_conn;
        self.bases[base].conns.insert(conn, Conn { state: b'I', ..Conn::default() });
        let texts = texts.to_vec();
        let is_copy = texts.last().is_some_and(|text| text == "COMMIT");
        self.put(if is_copy { self.copy_us } else { self.run_us }, Ev::Run { control, run, base, conn, texts });
    }

    pub(crate) fn run_now(&mut self, control: usize, run: u64, base: usize, conn: u64, texts: &[String]) {
        let mut replies = Vec::new();
        for text in texts {
            let Some(reply) = self.run_text(base, conn, text) else {
                return self.put(HOP, Ev::Ran { control, run, replies: None });
            };
            let is_over = reply.code.is_some();
            replies.push(reply);
            if is_over {
                break;
            }
        }
        // Its end rolls back whatever is open.
        self.bases[base].conns.remove(&conn);
        let wait = HOP + TEXT_US * texts.len() as u64;
        self.put(wait, Ev::Ran { control, run, replies: Some(replies) });
    }

    fn run_text(&mut self, base: usize, conn: u64, text: &str) -> Option<Reply> {
        if !self.bases[base].is_up || !self.bases[base].conns.contains_key(&conn) {
            return None;
        }
        let said = match self.bases[base].run(conn, text) {
            Outcome::Say(said) => said,
            Outcome::Row => self.bases[base].row(),
            Outcome::Read(rows) => self.bases[base].complete(&rows, "own", b'T'),
            Outcome::Keep(write) => {
                let write = Write { tag: "-".to_owned(), ..write };
                self.bases[base].conns.get_mut(&conn).into_iter().for_each(|held| held.writes.push(write.clone()));
                self.bases[base].complete("", "own", b'T')
            }
            Outcome::Commit(writes) => {
                self.bases[base].append(writes);
                let len = self.bases[base].log.len();
                // Answered once a replica has it, as any commit.
                let others: Vec<usize> = (0..self.bases.len()).filter(|at| *at != base).collect();
                others.iter().for_each(|to| self.replicate(base, *to, len));
                let service = self.bases[base].service.clone();
                let has_it = |at: &&usize| self.bases[**at].service == service && self.bases[**at].log.len() >= len;
                others.iter().find(has_it)?;
                self.bases[base].complete("", "own", b'I')
            }
        };
        let mut reply = Reply::default();
        let mut rest = said.as_bytes();
        while let Some((line, len)) = split_line(rest) {
            match DatabaseLine::parse(line) {
                DatabaseLine::Row(row) => reply.rows.push(String::from_utf8_lossy(row).into_owned()),
                DatabaseLine::Error(code, _) => reply.code = Some(code),
                DatabaseLine::Idle(_, pos) => reply.position = pos,
                _ => {}
            }
            rest = &rest[len..];
        }
        Some(reply)
    }

    /// The slot map of `shard` as the newest control node tells it.
    pub fn slot_map(&self, shard: &str) -> SlotMap {
        let cores = self.controls.iter().filter_map(|control| control.core.as_ref());
        let maps = cores.filter_map(|core| core.slot_map(shard));
        maps.max_by_key(|map| map.version).unwrap_or_default()
    }

    fn lead_of(&self, service: &str) -> Option<&crate::Base> {
        self.bases.iter().filter(|base| base.service == service && base.is_primary).max_by_key(|base| base.term)
    }

    /// Every thing's row, where its slot now stands, is what its last write left: first those of the source's log,
    /// then those of the target's. Nothing of a client's stands in the target that the source still has.
    pub fn judge_rows(&self, source: &str, target: &str, moved: &[SlotRange]) -> Vec<String> {
        let (Some(source), Some(target)) = (self.lead_of(source), self.lead_of(target)) else { return Vec::new() };
        let is_moved = |thing: &str| {
            moved.iter().any(|range| range.contains(wv_internal_protocol::slot_for_key(thing.as_bytes())))
        };
        let clients = |base: &crate::Base| -> Vec<Write> {
            base.log.iter().map(|entry| entry.write.clone()).filter(|write| write.tag != "-").collect()
        };
        let mut broken = Vec::new();
        let mut last: BTreeMap<String, Write> = BTreeMap::new();
        for write in clients(source) {
            last.insert(write.thing.clone(), write);
        }
        for write in clients(target) {
            if !is_moved(&write.thing) {
                broken.push(format!("ASTRAY: {} of {} at the target", write.tag, write.thing));
            }
            last.insert(write.thing.clone(), write);
        }
        for (thing, write) in &last {
            let base = if is_moved(thing) { target } else { source };
            let row = base.rows.get(thing);
            if row != Some(&write.data) {
                broken.push(format!("ROW: {thing} is {row:?} at {}, last written {}", base.id, write.data));
            }
        }
        broken
    }
}
