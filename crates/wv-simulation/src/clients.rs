//! Client sessions driven line by line.
use crate::simulation::{Event, Simulation};
use crate::S;
use std::collections::BTreeMap;

pub(crate) struct Client {
    pub(crate) node: usize,
    pub(crate) id: Option<u64>,
    buf: Vec<u8>,
    received: Vec<String>,
    pub(crate) load: Option<usize>,
    /// Index of the workload session that this client belongs to.
    pub(crate) session: Option<usize>,
}

/// The session state that a statement's client expects at the database.
#[derive(Clone, Default)]
pub(crate) struct Expectation {
    /// The read must observe all commits acknowledged before this time.
    pub(crate) since: u64,
    pub(crate) values: BTreeMap<String, String>,
    pub(crate) statement: Option<String>,
}

impl Simulation {
    /// Opens a session on an access node for `database`.
    pub fn open_client(&mut self, node: usize, database: &str) -> usize {
        let id = self.with_access(node, |core, now| core.client_opened(now));
        self.clients.push(Client { node, id, buf: Vec::new(), received: Vec::new(), load: None, session: None });
        let at = self.clients.len() - 1;
        if let Some(id) = id {
            self.client_of.insert((node, id), at);
        }
        self.send_line(at, &format!("SETUP {database} u{at}"));
        at
    }

    pub fn send_line(&mut self, client: usize, line: &str) {
        if self.frozen_access.contains(&self.clients[client].node) {
            return self.deferred_events.push(Event::ClientLine { client, line: line.to_owned() });
        }
        let (node, id) = (self.clients[client].node, self.clients[client].id);
        let bytes = format!("{line}\r\n").into_bytes();
        if let Some(id) = id {
            self.with_access(node, |core, now| core.client_data(id, &bytes, now));
        }
    }

    /// Closes the client's connection.
    pub fn close_client(&mut self, client: usize) {
        let node = self.clients[client].node;
        if let Some(id) = self.clients[client].id.take() {
            self.client_of.remove(&(node, id));
            self.with_access(node, |core, now| core.client_closed(id, now));
        }
    }

    /// Takes the lines received since the last call.
    pub fn take_lines(&mut self, client: usize) -> Vec<String> {
        std::mem::take(&mut self.clients[client].received)
    }

    pub fn is_client_closed(&self, client: usize) -> bool {
        self.clients[client].id.is_none()
    }

    pub(crate) fn on_client_data(&mut self, node: usize, id: u64, bytes: &[u8]) {
        let Some(at) = self.client_of.get(&(node, id)).copied() else { return };
        self.clients[at].buf.extend_from_slice(bytes);
        while let Some((line, len)) = wv_wire_protocol::split_line(&self.clients[at].buf) {
            let line = String::from_utf8_lossy(line).into_owned();
            self.clients[at].buf.drain(..len);
            self.clients[at].received.push(line.clone());
            if let (Some(load), true) = (self.clients[at].load, line.starts_with("IDLE")) {
                let lines = self.take_lines(at);
                self.on_load_reply(load, &lines);
            }
            if let (Some(session), true) = (self.clients[at].session, line.starts_with("IDLE")) {
                let lines = self.take_lines(at);
                self.on_session_reply(session, &lines);
            }
        }
    }

    pub(crate) fn on_client_closed(&mut self, node: usize, id: u64) {
        let Some(at) = self.client_of.remove(&(node, id)) else { return };
        self.clients[at].id = None;
        if let Some(load) = self.clients[at].load {
            self.on_load_disconnected(load);
        }
        if let Some(session) = self.clients[at].session {
            self.on_session_disconnected(session);
        }
    }

    pub(crate) fn check_read(&mut self, database: usize, id: &str) {
        if let Some(expectation) = self.expectations.get(id) {
            self.oracle.check_read(id, &self.databases[database], expectation.since);
        }
    }

    /// Checks that session values and prepared statements on the connection are those of the statement's client.
    pub(crate) fn check_session(&mut self, database: usize, connection_id: u64, id: &str, text: &str) {
        let Some(expectation) = self.expectations.get(id).cloned() else { return };
        let Some(connection) = self.databases[database].connections.get(&connection_id) else { return };
        if connection.values != expectation.values {
            self.oracle.violations.push(format!("PINNED: {id} ran with session values {:?}", connection.values));
        }
        let name = text.strip_prefix("EXECUTE ").and_then(|rest| rest.split(' ').next());
        if let Some(statement) = name.and_then(|name| connection.prepared.get(name)).map(|(_, statement)| statement) {
            if expectation.statement.as_ref() != Some(statement) {
                self.oracle.violations.push(format!("PINNED: {id} ran statement {statement}"));
            }
        }
    }
}

/// Time for all load clients to finish their operations after `stop_load`.
pub const SETTLE_US: u64 = 3 * S;
