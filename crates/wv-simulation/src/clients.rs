//! Clients of the world, spoken for line by line.
use crate::world::{Ev, World};
use crate::S;
use std::collections::BTreeMap;

pub(crate) struct Client {
    pub(crate) node: usize,
    pub(crate) id: Option<u64>,
    buf: Vec<u8>,
    heard: Vec<String>,
    pub(crate) load: Option<usize>,
    /// The session of the hour that it is.
    pub(crate) session: Option<usize>,
}

/// What a statement's client holds, for the stand-ins to be judged by.
#[derive(Clone, Default)]
pub(crate) struct Said {
    /// Commits acknowledged before this must be seen by the read.
    pub(crate) since: u64,
    pub(crate) values: BTreeMap<String, String>,
    pub(crate) shape: Option<String>,
}

impl World {
    /// A session on an access node, set up for `database`.
    pub fn client(&mut self, node: usize, database: &str) -> usize {
        let id = self.with_access(node, |core, now| core.client_opened(now));
        self.clients.push(Client { node, id, buf: Vec::new(), heard: Vec::new(), load: None, session: None });
        let at = self.clients.len() - 1;
        if let Some(id) = id {
            self.client_of.insert((node, id), at);
        }
        self.say(at, &format!("SETUP {database} u{at}"));
        at
    }

    /// One line from a client.
    pub fn say(&mut self, client: usize, line: &str) {
        if self.frozen.contains(&self.clients[client].node) {
            return self.held_back.push(Ev::Say { client, line: line.to_owned() });
        }
        let (node, id) = (self.clients[client].node, self.clients[client].id);
        let bytes = format!("{line}\r\n").into_bytes();
        if let Some(id) = id {
            self.with_access(node, |core, now| core.client_data(id, &bytes, now));
        }
    }

    /// The client breaks off.
    pub fn leave(&mut self, client: usize) {
        let node = self.clients[client].node;
        if let Some(id) = self.clients[client].id.take() {
            self.client_of.remove(&(node, id));
            self.with_access(node, |core, now| core.client_closed(id, now));
        }
    }

    /// The lines a client has heard since the last time.
    pub fn take(&mut self, client: usize) -> Vec<String> {
        std::mem::take(&mut self.clients[client].heard)
    }

    pub fn is_closed(&self, client: usize) -> bool {
        self.clients[client].id.is_none()
    }

    pub(crate) fn client_heard(&mut self, node: usize, id: u64, bytes: &[u8]) {
        let Some(at) = self.client_of.get(&(node, id)).copied() else { return };
        self.clients[at].buf.extend_from_slice(bytes);
        while let Some((line, len)) = wv_wire_protocol::split_line(&self.clients[at].buf) {
            let line = String::from_utf8_lossy(line).into_owned();
            self.clients[at].buf.drain(..len);
            self.clients[at].heard.push(line.clone());
            if let (Some(load), true) = (self.clients[at].load, line.starts_with("IDLE")) {
                let lines = self.take(at);
                self.returned(load, &lines);
            }
            if let (Some(session), true) = (self.clients[at].session, line.starts_with("IDLE")) {
                let lines = self.take(at);
                self.answered(session, &lines);
            }
        }
    }

    pub(crate) fn client_closed(&mut self, node: usize, id: u64) {
        let Some(at) = self.client_of.remove(&(node, id)) else { return };
        self.clients[at].id = None;
        if let Some(load) = self.clients[at].load {
            self.cut_off(load);
        }
        if let Some(session) = self.clients[at].session {
            self.hour_cut(session);
        }
    }

    pub(crate) fn judge_read(&mut self, base: usize, id: &str) {
        if let Some(said) = self.saids.get(id) {
            self.oracle.read_ran(id, &self.bases[base], said.since);
        }
    }

    /// The session values and prepared shapes on the connection must be those of the statement's client.
    pub(crate) fn check_session(&mut self, base: usize, conn: u64, id: &str, text: &str) {
        let Some(said) = self.saids.get(id).cloned() else { return };
        let Some(held) = self.bases[base].conns.get(&conn) else { return };
        if held.values != said.values {
            self.oracle.broken.push(format!("PINNED: {id} met values {:?}", held.values));
        }
        let name = text.strip_prefix("EXECUTE ").and_then(|rest| rest.split(' ').next());
        if let Some(shape) = name.and_then(|name| held.defined.get(name)).map(|(_, shape)| shape) {
            if said.shape.as_ref() != Some(shape) {
                self.oracle.broken.push(format!("PINNED: {id} ran shape {shape}"));
            }
        }
    }
}

/// Long enough for any load to come to rest.
pub const REST: u64 = 3 * S;
