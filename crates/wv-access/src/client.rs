//! Client connections: parses lines, keeps session state and opens requests.
use crate::core::Core;
use crate::timer::Timer;
use crate::types::{Client, Effect, Request, TxnFailure, Verb};
use wv_wire_protocol::{is_overlong, split_line, ClientLine, ErrorCode, Statement};

/// Longer logins are truncated.
const LOGIN_MAX_BYTES: usize = 128;
/// Reading from a client pauses while more output than this is unsent.
const UNREAD_OUTPUT_MAX_BYTES: usize = 64 << 10;

impl Core {
    pub fn client_opened(&mut self, now: u64) -> u64 {
        self.now = self.now.max(now);
        let id = self.allocate_id();
        let client = Client {
            database: None,
            login: String::new(),
            tenant: 0,
            forwarded_session: None,
            forward_origin: None,
            inbuf: Vec::new(),
            out: Vec::new(),
            session: Default::default(),
            request: Request::default(),
            txn: None,
            pending_database: None,
            is_closing: false,
            first_byte_at: self.now,
            retry_window: None,
        };
        self.clients.insert(id, client);
        let timeout_us =
            self.configuration.as_ref().map_or(3_000_000, |configuration| configuration.limits.setup_timeout_us);
        self.timers.schedule(self.now + timeout_us, Timer::Setup { client: id });
        id
    }

    pub fn client_data(&mut self, id: u64, bytes: &[u8], now: u64) {
        self.advance_clock(now);
        let Some(client) = self.clients.get_mut(&id) else { return };
        // Start time of the next statement.
        if client.inbuf.is_empty() {
            client.first_byte_at = self.now;
        }
        client.inbuf.extend_from_slice(bytes);
        self.process_input(id);
    }

    /// Whether more may be read from this client now.
    pub fn wants_data(&self, id: u64) -> bool {
        self.clients
            .get(&id)
            .is_some_and(|client| client.inbuf.len() < wv_wire_protocol::MAX_MESSAGE_BYTES && !client.is_closing)
    }

    /// Processes complete lines until a statement has to wait for a database.
    pub(crate) fn process_input(&mut self, id: u64) {
        let max_line_bytes = self
            .configuration
            .as_ref()
            .map_or(wv_wire_protocol::MAX_MESSAGE_BYTES, |configuration| configuration.limits.max_line_bytes);
        let Some(client) = self.clients.get_mut(&id) else { return };
        let buf = std::mem::take(&mut client.inbuf);
        let mut at = 0;
        loop {
            let Some(client) = self.clients.get(&id) else { return };
            if client.request.is_open
                || client.pending_database.is_some()
                || client.is_closing
                // The lines of a forwarded request are processed at once, in the version that was checked.
                || (client.out.len() > UNREAD_OUTPUT_MAX_BYTES && client.forward_origin.is_none())
            {
                break;
            }
            let Some((line, len)) = split_line(&buf[at..]) else {
                if is_overlong(&buf[at..], max_line_bytes) {
                    self.close_with_error(id, ErrorCode::Oversize, "a message is over the bound");
                }
                break;
            };
            at += len;
            if line.len() > max_line_bytes {
                self.close_with_error(id, ErrorCode::Oversize, "a message is over the bound");
                break;
            }
            self.process_line(id, line);
        }
        if let Some(client) = self.clients.get_mut(&id) {
            // Reuses the buffer for the remaining input.
            let mut rest = buf;
            rest.drain(..at);
            client.inbuf = rest;
        }
    }

    fn process_line(&mut self, id: u64, line: &[u8]) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let is_set_up = client.database.is_some();
        match ClientLine::parse(line) {
            ClientLine::Setup { database, login } if !is_set_up => {
                let login = &login[..login.len().min(LOGIN_MAX_BYTES)];
                client.login = String::from_utf8_lossy(login).into_owned();
                // Configurations are JSON, so no database has a name that is not UTF-8.
                let Ok(database) = String::from_utf8(database.to_vec()) else {
                    return self.close_with_error(id, ErrorCode::NoDb, "no such database");
                };
                match &self.configuration {
                    // The databases are not known yet, so the client waits for the first configuration.
                    None => client.pending_database = Some(database),
                    Some(configuration) if configuration.route(&database).is_none() => {
                        self.close_with_error(id, ErrorCode::NoDb, "no such database");
                    }
                    Some(_) => self.complete_setup(id, database),
                }
            }
            ClientLine::Query { id: query, text } if is_set_up => self.query(id, query, text),
            ClientLine::Release => self.close_client(id),
            ClientLine::Unknown if client.forward_origin.is_some() => self.handle_internal_line(id, line),
            _ => self.close_with_error(id, ErrorCode::Malformed, "not understood"),
        }
    }

    fn complete_setup(&mut self, id: u64, database: String) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.database = Some(database);
        if !self.admit_session(id) {
            return self.close_with_error(id, ErrorCode::Congested, "too many sessions, come back after 1000 ms");
        }
        self.record_open(id);
        let Some(client) = self.clients.get_mut(&id) else { return };
        wv_wire_protocol::write_idle(&mut client.out, b'I', None);
        self.effects.push(Effect::WriteClient(id));
    }

    /// Completes or rejects the setups that waited for the first configuration.
    pub(crate) fn complete_pending_setups(&mut self) {
        let Some(configuration) = self.configuration.clone() else { return };
        let pending_setups: Vec<(u64, String)> = self
            .clients
            .iter_mut()
            .filter_map(|(id, client)| client.pending_database.take().map(|name| (*id, name)))
            .collect();
        for (id, database) in pending_setups {
            if configuration.route(&database).is_some() {
                self.complete_setup(id, database);
                self.process_input(id);
            } else {
                self.close_with_error(id, ErrorCode::NoDb, "no such database");
            }
        }
    }

    pub(crate) fn query(&mut self, id: u64, query: &[u8], text: &[u8]) {
        let configuration = self.configuration.clone();
        let Some(client) = self.clients.get_mut(&id) else { return };
        // A changed route applies from the next transaction on.
        let route = client.txn.as_ref().map(|txn| txn.route.clone()).or_else(|| {
            client
                .database
                .as_ref()
                .and_then(|name| configuration.as_ref().and_then(|configuration| configuration.route(name).cloned()))
        });
        let Some(route) = route else { return self.close_with_error(id, ErrorCode::NoDb, "no such database") };
        let statement = Statement::parse(text);
        // A failed transaction only accepts its end.
        if let Some(fail) = client.txn.as_ref().and_then(|txn| txn.failure) {
            match statement {
                Statement::Abort | Statement::Commit => {}
                _ if fail == TxnFailure::Unreported => {
                    client.txn.iter_mut().for_each(|txn| txn.failure = Some(TxnFailure::Reported));
                    return self.reply_error(id, ErrorCode::Aborted, "the transaction was rolled back");
                }
                _ => return self.reply_error(id, ErrorCode::Malformed, "the transaction has failed"),
            }
        }
        match statement {
            Statement::Begin { is_read_only } => self.begin_txn(id, query, route, is_read_only),
            Statement::Abort => {
                self.end_txn(id);
                self.reply_complete(id);
            }
            Statement::Commit => match client.txn.as_ref().map(|txn| txn.failure.is_some()) {
                None => self.reply_error(id, ErrorCode::Malformed, "no transaction is open"),
                Some(true) => {
                    self.end_txn(id);
                    self.reply_error(id, ErrorCode::Aborted, "the transaction was rolled back");
                }
                Some(false) => self.open_request(id, query, &[text], Verb::Commit, None, &route),
            },
            Statement::Read => self.open_request(id, query, &[text], Verb::Read, None, &route),
            Statement::Write => self.open_request(id, query, &[text], Verb::Write, None, &route),
            Statement::Assign { name, value } => {
                let is_ok = client.session.assign(name, value).is_ok();
                self.reply_result(id, is_ok);
            }
            Statement::Define { name, kind, body } => {
                let statement_id = self.statements.intern(kind, body);
                let is_ok = statement_id.is_some_and(|statement_id| client.session.define(name, statement_id).is_ok());
                self.reply_result(id, is_ok);
            }
            Statement::Undefine { name } => {
                if client.session.undefine(name) {
                    self.reply_complete(id);
                } else {
                    self.reply_error(id, ErrorCode::Undefined, "no such name");
                }
            }
            Statement::Execute { name, arguments } => {
                let Some(statement_id) = client.session.statement_id(name) else {
                    return self.reply_error(id, ErrorCode::Undefined, "no such name");
                };
                let verb = match self.statements.get(statement_id) {
                    Some((wv_wire_protocol::StatementKind::Read, _)) => Verb::Read,
                    _ => Verb::Write,
                };
                let command = format!("EXECUTE w{statement_id} ");
                self.open_request(id, query, &[command.as_bytes(), arguments], verb, Some(statement_id), &route);
            }
            Statement::Unknown => self.reply_error(id, ErrorCode::Malformed, "not understood"),
        }
    }
}
