//! Responses to clients: local replies, database responses, and errors after lost connections.
use crate::core::Core;
use crate::types::{DbConnection, Effect, Reply, TxnFailure, Verb};
use wv_wire_protocol::{write_error, write_idle, ErrorCode, LogPosition};

impl Core {
    fn client_state(&self, id: u64) -> u8 {
        let txn = self.clients.get(&id).and_then(|client| client.txn.as_ref());
        txn.map_or(b'I', |txn| if txn.failure.is_some() { b'E' } else { b'T' })
    }

    pub(crate) fn reply_complete(&mut self, id: u64) {
        let state = self.client_state(id);
        if let Some(client) = self.clients.get_mut(&id) {
            client.out.extend_from_slice(b"COMPLETE -\r\n");
            write_idle(&mut client.out, state, None);
            self.effects.push(Effect::WriteClient(id));
        }
    }

    pub(crate) fn reply_error(&mut self, id: u64, code: ErrorCode, text: &str) {
        let state = self.client_state(id);
        if let Some(client) = self.clients.get_mut(&id) {
            write_error(&mut client.out, code, text.as_bytes(), state);
            self.effects.push(Effect::WriteClient(id));
        }
    }

    pub(crate) fn reply_result(&mut self, id: u64, is_ok: bool) {
        if is_ok {
            self.reply_complete(id);
        } else {
            self.reply_error(id, ErrorCode::Oversize, "the session holds too much");
        }
    }

    /// Sends an error and closes the session.
    pub(crate) fn close_with_error(&mut self, id: u64, code: ErrorCode, text: &str) {
        if let Some(client) = self.clients.get_mut(&id) {
            wv_wire_protocol::write_line(&mut client.out, &[b"ERROR", code.as_str().as_bytes(), text.as_bytes()]);
            client.is_closing = true;
            self.close_client(id);
        }
    }

    /// Completes the open request with the response of the database.
    pub(crate) fn complete_request(&mut self, id: u64, state: u8, position: Option<LogPosition>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.request.is_open = false;
        let (tenant, is_commit) = (client.tenant, client.request.verb() == Verb::Commit);
        self.release_request(tenant);
        self.note_request_succeeded(id, is_commit);
        let Some(client) = self.clients.get_mut(&id) else { return };
        let verb = client.request.verb();
        let state = match client.txn.as_mut() {
            None => b'I',
            Some(_) if verb == Verb::Commit => b'I',
            Some(txn) => {
                txn.has_completed_statement = true;
                if state == b'E' {
                    txn.failure = Some(TxnFailure::Reported);
                }
                state
            }
        };
        if verb == Verb::Commit {
            client.txn = None;
        }
        if client.txn.is_none() {
            client.retry_window = None;
        }
        client.out.extend_from_slice(&client.request.response);
        write_idle(&mut client.out, state, position);
        self.effects.push(Effect::WriteClient(id));
        self.after_request(id);
    }

    /// Fails the open request; `state` is the session state reported to the client.
    pub(crate) fn fail(&mut self, id: u64, code: ErrorCode, text: impl AsRef<[u8]>, state: u8) {
        if !code.is_not_executed() {
            self.slots.shards.values_mut().for_each(|shard| shard.dirty_keys.mark_outcome_unknown(id));
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.request.is_open = false;
        let tenant = client.tenant;
        self.release_request(tenant);
        let now = self.now;
        let Some(client) = self.clients.get_mut(&id) else { return };
        let begun = client.txn.as_ref().map_or(client.request.opened_at, |txn| txn.first_byte_at);
        client.retry_window = Some((client.retry_window.map_or(begun, |(first, _)| first), now));
        // Rows were already sent, so only closing the connection shows that the result is incomplete.
        if client.request.is_streamed {
            return self.close_client(id);
        }
        match state {
            b'I' => client.txn = None,
            b'E' => client.txn.iter_mut().for_each(|txn| txn.failure = Some(TxnFailure::Reported)),
            _ => {}
        }
        write_error(&mut client.out, code, text.as_ref(), state);
        self.effects.push(Effect::WriteClient(id));
        self.after_request(id);
    }

    fn after_request(&mut self, id: u64) {
        self.start_idle_timer(id);
        // Processes input that the client has pipelined.
        if self.clients.get(&id).is_some_and(|client| !client.inbuf.is_empty()) {
            self.process_input(id);
        }
    }

    /// Rejects a request that was not executed, with a retry hint.
    pub(crate) fn refuse_request(&mut self, id: u64) {
        let Some(client) = self.clients.get(&id) else { return };
        let code = client.request.last_code.filter(|code| code.is_not_executed()).unwrap_or(ErrorCode::Congested);
        // A delay above the route's target would make the retry late; failovers take less than that.
        let wait_ms = client.request.route.as_ref().map_or(100, |route| (route.target_us / 1000).clamp(20, 200));
        let wait_ms = self.retry_after_ms(id).unwrap_or(wait_ms);
        let Some(client) = self.clients.get(&id) else { return };
        let state = if client.txn.is_some() { b'E' } else { b'I' };
        self.fail(id, code, format!("not run, retry after {wait_ms} ms"), state);
    }

    /// Resolves the pending requests of a lost connection.
    pub(crate) fn connection_lost(&mut self, connection: DbConnection) {
        let begun = connection.pending.iter().find_map(|reply| match reply.kind {
            Reply::Begin { client, sequence } => Some((client, sequence)),
            _ => None,
        });
        // Only BEGIN was sent, so the transaction can start on another connection.
        if let Some((id, sequence)) = begun {
            let is_waiting =
                |client: &&mut crate::types::Client| client.request.is_open && client.request.sequence == sequence;
            if let Some(client) = self.clients.get_mut(&id).filter(is_waiting) {
                client.txn.iter_mut().for_each(|txn| txn.db = None);
                self.retry(id, None);
            }
            return;
        }
        if let Some(client) = connection.txn_client {
            if let Some(txn) = self.clients.get_mut(&client).and_then(|client| client.txn.as_mut()) {
                txn.db = None;
                // No request is open: the next statement reports the failure.
                txn.failure = txn.failure.or(Some(TxnFailure::Unreported));
            }
        }
        let requests = connection.pending.iter().filter_map(|reply| match reply.kind {
            Reply::Request { client, sequence } => Some((client, sequence)),
            _ => None,
        });
        for (client, sequence) in requests {
            self.request_lost(client, sequence);
        }
    }

    pub(crate) fn request_lost(&mut self, id: u64, sequence: u64) {
        let is_open = |client: &crate::types::Client| client.request.is_open && client.request.sequence == sequence;
        let Some(client) = self.clients.get_mut(&id).filter(|client| is_open(client)) else { return };
        client.request.db = None;
        client.request.response.clear();
        let (verb, is_txn) = (client.request.verb(), client.txn.is_some());
        let is_begun = client.txn.as_ref().is_some_and(|txn| txn.has_completed_statement);
        let may_have_written = client.txn.as_ref().is_some_and(|txn| txn.may_have_written);
        match (verb, is_txn) {
            // The commit may have been executed and must not be repeated.
            (Verb::Commit, _) if may_have_written => {
                self.fail(id, ErrorCode::Indeterm, "the commit's return was lost", b'I')
            }
            // Nothing was written, so the commit's outcome does not matter.
            (Verb::Commit, _) => self.fail(id, ErrorCode::Aborted, "the connection was lost", b'I'),
            // No statement has completed and the database has rolled back: restart on another connection.
            (_, true) if !is_begun => {
                client.txn.iter_mut().for_each(|txn| (txn.db, txn.failure) = (None, None));
                self.retry(id, None);
            }
            // The database rolled the transaction back when the connection closed.
            (_, true) => self.fail(id, ErrorCode::Aborted, "the connection was lost", b'E'),
            (Verb::Write, false) => self.fail(id, ErrorCode::Indeterm, "the write's return was lost", b'I'),
            (Verb::Read, false) => self.retry(id, None),
        }
    }

    /// A statement has reached its deadline.
    pub(crate) fn expire_request(&mut self, id: u64, sequence: u64) {
        let Some(client) = self.clients.get(&id) else { return };
        if !client.request.is_open || client.request.sequence != sequence {
            return;
        }
        if client.request.forwarded_session.is_some() {
            return self.expire_forwarded_request(id);
        }
        let Some(db) = client.request.db else { return self.refuse_request(id) };
        // A late response may still arrive, so the connection cannot be reused.
        self.effects.push(Effect::CloseDb(db));
        let connection = self.remove_db(db);
        if is_single_read(self, id) {
            return self.fail(id, ErrorCode::Expired, "over the route's limit", b'I');
        }
        connection.into_iter().for_each(|connection| self.connection_lost(connection));
        // A request is always answered at its deadline.
        self.request_lost(id, sequence);
    }
}

fn is_single_read(core: &Core, id: u64) -> bool {
    core.clients.get(&id).is_some_and(|client| client.txn.is_none() && client.request.verb() == Verb::Read)
}
