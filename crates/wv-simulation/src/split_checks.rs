//! Shard splits: windvalve's own statements at databases, and checks on rows after a split.
use crate::connection::Connection;
use crate::database::{LogEntry, Outcome, Write};
use crate::simulation::{Event, Simulation, LINK_DELAY_US};
use crate::MS;
use std::collections::BTreeMap;
use wv_internal_protocol::{SlotMap, SlotRange};
use wv_shard_split::Reply;
use wv_wire_protocol::{split_line, DatabaseLine};

const STATEMENT_US: u64 = MS / 2;

impl Simulation {
    /// Sends a control node's own statements: the connection opens now, the statements arrive later.
    pub(crate) fn send_control_statements(&mut self, control: usize, run: u64, id: &str, statements: &[Vec<u8>]) {
        let name = self.controls[control].name.clone();
        let is_open = |at: &usize| {
            let database = &self.databases[*at];
            database.is_up && !database.is_unreachable && !self.is_disconnected(&name, &database.id)
        };
        let Some(database) = self.database_index(id).filter(is_open) else {
            // Without a connection no statement was sent, which an empty list of replies reports.
            return self.schedule(100 * MS, Event::StatementsDone { control, run, replies: Some(Vec::new()) });
        };
        self.next_connection_id += 1;
        let connection_id = self.next_connection_id;
        self.databases[database].connections.insert(connection_id, Connection { state: b'I', ..Connection::default() });
        let statements = statements.to_vec();
        let is_copy = statements.last().is_some_and(|text| text == b"COMMIT");
        self.schedule(
            if is_copy { self.copy_delay_us } else { self.statements_delay_us },
            Event::RunStatements { control, run, database, connection_id, statements },
        );
    }

    pub(crate) fn run_control_statements(
        &mut self,
        control: usize,
        run: u64,
        database: usize,
        connection_id: u64,
        statements: &[Vec<u8>],
    ) {
        let mut replies = Vec::new();
        for text in statements {
            let Some(reply) = self.run_control_statement(database, connection_id, &String::from_utf8_lossy(text))
            else {
                return self.schedule(LINK_DELAY_US, Event::StatementsDone { control, run, replies: None });
            };
            let is_over = reply.code.is_some();
            replies.push(reply);
            if is_over {
                break;
            }
        }
        // Closing the connection rolls back an open transaction.
        self.databases[database].connections.remove(&connection_id);
        let wait = LINK_DELAY_US + STATEMENT_US * statements.len() as u64;
        self.schedule(wait, Event::StatementsDone { control, run, replies: Some(replies) });
    }

    fn run_control_statement(&mut self, database: usize, connection_id: u64, text: &str) -> Option<Reply> {
        if !self.databases[database].is_up || !self.databases[database].connections.contains_key(&connection_id) {
            return None;
        }
        let output = match self.databases[database].execute(connection_id, text) {
            Outcome::Reply(output) => output,
            Outcome::Status => self.databases[database].status_lines(),
            Outcome::Read(rows) => self.databases[database].complete_lines(&rows, "own", b'T'),
            Outcome::Buffer(write) => {
                let write = Write { tag: "-".to_owned(), ..write };
                self.databases[database]
                    .connections
                    .get_mut(&connection_id)
                    .into_iter()
                    .for_each(|connection| connection.writes.push(write.clone()));
                self.databases[database].complete_lines("", "own", b'T')
            }
            Outcome::Commit(writes) => {
                self.databases[database].append(writes);
                let len = self.databases[database].log.len();
                // Acknowledged once a replica has received it, as any commit.
                let others: Vec<usize> = (0..self.databases.len()).filter(|at| *at != database).collect();
                others.iter().for_each(|to| self.replicate(database, *to, len));
                let service = self.databases[database].service.clone();
                let has_received =
                    |at: &&usize| self.databases[**at].service == service && self.databases[**at].log.len() >= len;
                others.iter().find(has_received)?;
                self.databases[database].complete_lines("", "own", b'I')
            }
        };
        let mut reply = Reply::default();
        let mut rest = output.as_bytes();
        while let Some((line, len)) = split_line(rest) {
            match DatabaseLine::parse(line) {
                DatabaseLine::Row(row) => reply.rows.push(row.to_vec()),
                DatabaseLine::Error(code, _) => reply.code = Some(code),
                DatabaseLine::Idle(_, pos) => reply.position = pos,
                _ => {}
            }
            rest = &rest[len..];
        }
        Some(reply)
    }

    /// The newest slot map of `shard` at any control node.
    pub fn slot_map(&self, shard: &str) -> SlotMap {
        let cores = self.controls.iter().filter_map(|control| control.core.as_ref());
        let maps = cores.filter_map(|core| core.slot_map(shard));
        maps.max_by_key(|map| map.version).unwrap_or_default()
    }

    fn current_primary(&self, service: &str) -> Option<&crate::Database> {
        self.databases
            .iter()
            .filter(|database| database.service == service && database.is_primary)
            .max_by_key(|database| database.term)
    }

    /// Checks that each row, at the database that now has its slot, holds the last written value (the target's writes
    /// follow the source's), and that the target has no client writes to slots that the source still has.
    pub fn check_rows(&self, source: &str, target: &str, moved: &[SlotRange]) -> Vec<String> {
        let (Some(source), Some(target)) = (self.current_primary(source), self.current_primary(target)) else {
            return Vec::new();
        };
        let is_moved =
            |key: &str| moved.iter().any(|range| range.contains(wv_internal_protocol::slot_for_key(key.as_bytes())));
        let clients = |database: &crate::Database| -> Vec<LogEntry> {
            database.log.iter().filter(|entry| entry.write.tag != "-").cloned().collect()
        };
        let mut broken = Vec::new();
        let mut last: BTreeMap<String, LogEntry> = BTreeMap::new();
        for entry in clients(source) {
            last.insert(entry.write.key.clone(), entry);
        }
        for entry in clients(target) {
            if !is_moved(&entry.write.key) {
                broken.push(format!("ASTRAY: {} of {} at the target", entry.write.tag, entry.write.key));
            }
            last.insert(entry.write.key.clone(), entry);
        }
        for (key, LogEntry { pos, write }) in &last {
            let database = if is_moved(key) { target } else { source };
            let row = database.rows.get(key);
            if row != Some(&write.value) {
                let position = format!("{}.{}", pos.term, pos.number);
                broken.push(format!(
                    "ROW: {key} is {row:?} at {}, last written {} at {position}",
                    database.id, write.value
                ));
            }
        }
        broken
    }
}
