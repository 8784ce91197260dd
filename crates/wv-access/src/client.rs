//! Clients: lines in, sessions kept here, statements opened.
use crate::core::Core;
use crate::timer::Timer;
use crate::types::{Act, Client, Fail, Request, Verb};
use wv_wire_protocol::{split_line, ClientLine, ErrorCode, Statement};

/// More of the word that names a client is not kept.
const WHO_MAX: usize = 128;
/// A client that does not read its returns is not read from beyond this.
const HELD_OUT_MAX: usize = 64 << 10;

impl Core {
    pub fn client_open(&mut self, now: u64) -> u64 {
        self.now = self.now.max(now);
        let id = self.fresh_id();
        let client = Client {
            database: None,
            who: String::new(),
            tenant: 0,
            hand: None,
            guest: None,
            inbuf: Vec::new(),
            out: Vec::new(),
            session: Default::default(),
            request: Request::default(),
            txn: None,
            awaited: None,
            is_closing: false,
            first_byte: self.now,
            tries_since: None,
        };
        self.clients.insert(id, client);
        let wait = self.conf.as_ref().map_or(3_000_000, |conf| conf.limits.setup_timeout_us);
        self.timers.put(self.now + wait, Timer::Setup { client: id });
        id
    }

    pub fn client_data(&mut self, id: u64, bytes: &[u8], now: u64) {
        self.now = self.now.max(now);
        let Some(client) = self.clients.get_mut(&id) else { return };
        // The first byte of whatever comes next is no later than this.
        if client.inbuf.is_empty() {
            client.first_byte = self.now;
        }
        client.inbuf.extend_from_slice(bytes);
        self.read_on(id);
    }

    /// Whether more may be read from this client now.
    pub fn wants_data(&self, id: u64) -> bool {
        self.clients
            .get(&id)
            .is_some_and(|client| client.inbuf.len() < wv_wire_protocol::MAX_MESSAGE_BYTES && !client.is_closing)
    }

    /// Takes whole lines until one opens a statement that has to wait.
    pub(crate) fn read_on(&mut self, id: u64) {
        let bound = self.conf.as_ref().map_or(wv_wire_protocol::MAX_MESSAGE_BYTES, |conf| conf.limits.max_line_bytes);
        let Some(client) = self.clients.get_mut(&id) else { return };
        let buf = std::mem::take(&mut client.inbuf);
        let mut at = 0;
        loop {
            let Some(client) = self.clients.get(&id) else { return };
            if client.request.is_open
                || client.awaited.is_some()
                || client.is_closing
                || client.out.len() > HELD_OUT_MAX
            {
                break;
            }
            let Some((line, len)) = split_line(&buf[at..]) else {
                if buf.len() - at > bound {
                    self.end_with(id, ErrorCode::Oversize, "a message is over the bound");
                }
                break;
            };
            at += len;
            if line.len() > bound {
                self.end_with(id, ErrorCode::Oversize, "a message is over the bound");
                break;
            }
            self.line(id, line);
        }
        if let Some(client) = self.clients.get_mut(&id) {
            // The buffer is kept for the next lines; what is done with is cut off its front.
            let mut rest = buf;
            rest.drain(..at);
            client.inbuf = rest;
        }
    }

    fn line(&mut self, id: u64, line: &[u8]) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let is_set_up = client.database.is_some();
        match ClientLine::parse(line) {
            ClientLine::Setup { database, login: who } if !is_set_up => {
                let who = &who[..who.len().min(WHO_MAX)];
                client.who = String::from_utf8_lossy(who).into_owned();
                let database = String::from_utf8_lossy(database).into_owned();
                match &self.conf {
                    // Just started: which databases there are is not known yet. The client is not sent away for it.
                    None => client.awaited = Some(database),
                    Some(conf) if conf.route(&database).is_none() => {
                        self.end_with(id, ErrorCode::NoDb, "no such database");
                    }
                    Some(_) => self.set_up(id, database),
                }
            }
            ClientLine::Query { id: query, text } if is_set_up => self.query(id, query, text),
            ClientLine::Release => self.close_client(id),
            ClientLine::Unknown if client.guest.is_some() => self.handle_internal_line(id, line),
            _ => self.end_with(id, ErrorCode::Malformed, "not understood"),
        }
    }

    fn set_up(&mut self, id: u64, database: String) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.database = Some(database);
        if !self.admit_session(id) {
            return self.end_with(id, ErrorCode::Congested, "too many sessions, come back after 1000 ms");
        }
        self.record_open(id);
        let Some(client) = self.clients.get_mut(&id) else { return };
        wv_wire_protocol::write_idle(&mut client.out, b'I', None);
        self.acts.push(Act::WriteClient(id));
    }

    /// The first configuration has come: clients that waited for it are taken in or sent away.
    pub(crate) fn set_up_awaited(&mut self) {
        let Some(conf) = self.conf.clone() else { return };
        let awaited: Vec<(u64, String)> =
            self.clients.iter_mut().filter_map(|(id, client)| client.awaited.take().map(|name| (*id, name))).collect();
        for (id, database) in awaited {
            if conf.route(&database).is_some() {
                self.set_up(id, database);
                self.read_on(id);
            } else {
                self.end_with(id, ErrorCode::NoDb, "no such database");
            }
        }
    }

    pub(crate) fn query(&mut self, id: u64, query: &[u8], text: &[u8]) {
        let conf = self.conf.clone();
        let Some(client) = self.clients.get_mut(&id) else { return };
        // A changed route binds from the next transaction on: an open one keeps its own.
        let route = client.txn.as_ref().map(|txn| txn.route.clone()).or_else(|| {
            client.database.as_ref().and_then(|name| conf.as_ref().and_then(|conf| conf.route(name).cloned()))
        });
        let Some(route) = route else { return self.end_with(id, ErrorCode::NoDb, "no such database") };
        let text_of = Statement::parse(text);
        // After a failure inside a transaction only its end is taken.
        if let Some(fail) = client.txn.as_ref().and_then(|txn| txn.fail) {
            match text_of {
                Statement::Abort | Statement::Commit => {}
                _ if fail == Fail::Untold => {
                    client.txn.iter_mut().for_each(|txn| txn.fail = Some(Fail::Told));
                    return self.own_error(id, ErrorCode::Aborted, "the transaction was rolled back");
                }
                _ => return self.own_error(id, ErrorCode::Malformed, "the transaction has failed"),
            }
        }
        match text_of {
            Statement::Begin { is_read_only } => self.begin(id, query, route, is_read_only),
            Statement::Abort => {
                self.end_txn(id);
                self.own_complete(id);
            }
            Statement::Commit => match client.txn.as_ref().map(|txn| txn.fail.is_some()) {
                None => self.own_error(id, ErrorCode::Malformed, "no transaction is open"),
                Some(true) => {
                    self.end_txn(id);
                    self.own_error(id, ErrorCode::Aborted, "the transaction was rolled back");
                }
                Some(false) => self.open_request(id, query, &[text], Verb::Commit, None, &route),
            },
            Statement::Read => self.open_request(id, query, &[text], Verb::Read, None, &route),
            Statement::Write => self.open_request(id, query, &[text], Verb::Write, None, &route),
            Statement::Assign { name, value } => {
                let is_kept = client.session.assign(name, value).is_ok();
                self.own_result(id, is_kept);
            }
            Statement::Define { name, kind, body } => {
                let shape = self.shapes.intern(kind, body);
                let is_kept = shape.is_some_and(|shape| client.session.define(name, shape).is_ok());
                self.own_result(id, is_kept);
            }
            Statement::Undefine { name } => {
                if client.session.undefine(name) {
                    self.own_complete(id);
                } else {
                    self.own_error(id, ErrorCode::Undefined, "no such name");
                }
            }
            Statement::Execute { name, arguments } => {
                let Some(shape) = client.session.statement_id(name) else {
                    return self.own_error(id, ErrorCode::Undefined, "no such name");
                };
                let verb = match self.shapes.get(shape) {
                    Some((wv_wire_protocol::StatementKind::Read, _)) => Verb::Read,
                    _ => Verb::Write,
                };
                let ours = format!("EXECUTE w{shape} ");
                self.open_request(id, query, &[ours.as_bytes(), arguments], verb, Some(shape), &route);
            }
            Statement::Unknown => self.own_error(id, ErrorCode::Malformed, "not understood"),
        }
    }
}
