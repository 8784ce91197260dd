//! What clients are told: own returns, passed returns, and what to say after trouble.
use crate::core::Core;
use crate::types::{Act, Db, Fail, Verb, What};
use wv_wire_protocol::{write_error, write_idle, ErrorCode, LogPosition};

impl Core {
    fn state_of(&self, id: u64) -> u8 {
        let txn = self.clients.get(&id).and_then(|client| client.txn.as_ref());
        txn.map_or(b'I', |txn| if txn.fail.is_some() { b'E' } else { b'T' })
    }

    pub(crate) fn own_complete(&mut self, id: u64) {
        let state = self.state_of(id);
        if let Some(client) = self.clients.get_mut(&id) {
            client.out.extend_from_slice(b"COMPLETE -\r\n");
            write_idle(&mut client.out, state, None);
            self.acts.push(Act::WriteClient(id));
        }
    }

    pub(crate) fn own_error(&mut self, id: u64, code: ErrorCode, text: &str) {
        let state = self.state_of(id);
        if let Some(client) = self.clients.get_mut(&id) {
            write_error(&mut client.out, code, text, state);
            self.acts.push(Act::WriteClient(id));
        }
    }

    pub(crate) fn own_result(&mut self, id: u64, is_kept: bool) {
        if is_kept {
            self.own_complete(id);
        } else {
            self.own_error(id, ErrorCode::Oversize, "the session holds too much");
        }
    }

    /// An error after which the session is closed.
    pub(crate) fn end_with(&mut self, id: u64, code: ErrorCode, text: &str) {
        if let Some(client) = self.clients.get_mut(&id) {
            wv_wire_protocol::write_line(&mut client.out, &[b"ERROR", code.as_str().as_bytes(), text.as_bytes()]);
            client.is_closing = true;
            self.close_client(id);
        }
    }

    /// Ends the open request with the database's own success.
    pub(crate) fn pass(&mut self, id: u64, state: u8, pos: Option<LogPosition>) {
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
                txn.is_begun = true;
                if state == b'E' {
                    txn.fail = Some(Fail::Told);
                }
                state
            }
        };
        if verb == Verb::Commit {
            client.txn = None;
        }
        if client.txn.is_none() {
            client.tries_since = None;
        }
        client.out.extend_from_slice(&client.request.ret);
        write_idle(&mut client.out, state, pos);
        self.acts.push(Act::WriteClient(id));
        self.after_request(id);
    }

    /// Ends the open request with an error; `state` as the client is to see it.
    pub(crate) fn fail(&mut self, id: u64, code: ErrorCode, text: &str, state: u8) {
        if !code.is_not_executed() {
            self.slots.shards.values_mut().for_each(|shard| shard.dirty_keys.mark_outcome_unknown(id));
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.request.is_open = false;
        let tenant = client.tenant;
        self.release_request(tenant);
        let now = self.now;
        let Some(client) = self.clients.get_mut(&id) else { return };
        let begun = client.txn.as_ref().map_or(client.request.at, |txn| txn.at);
        client.tries_since = Some((client.tries_since.map_or(begun, |(first, _)| first), now));
        // Rows went out already: nothing but a cut says clearly that the rest does not come.
        if client.request.is_streamed {
            return self.close_client(id);
        }
        match state {
            b'I' => client.txn = None,
            b'E' => client.txn.iter_mut().for_each(|txn| txn.fail = Some(Fail::Told)),
            _ => {}
        }
        write_error(&mut client.out, code, text, state);
        self.acts.push(Act::WriteClient(id));
        self.after_request(id);
    }

    fn after_request(&mut self, id: u64) {
        self.rest(id);
        // What the client sent ahead is taken now.
        if self.clients.get(&id).is_some_and(|client| !client.inbuf.is_empty()) {
            self.read_on(id);
        }
    }

    /// Nothing has run and nothing can in time: a promise, and when to come back.
    pub(crate) fn refuse(&mut self, id: u64) {
        let Some(client) = self.clients.get(&id) else { return };
        let code = client.request.last_code.filter(|code| code.is_not_executed()).unwrap_or(ErrorCode::Congested);
        // A browser that came back after its whole aim would be late for sure; a failover is over sooner than that.
        let wait_ms = client.request.route.as_ref().map_or(100, |route| (route.target_us / 1000).clamp(20, 200));
        let wait_ms = self.retry_after_ms(id).unwrap_or(wait_ms);
        let Some(client) = self.clients.get(&id) else { return };
        let state = if client.txn.is_some() { b'E' } else { b'I' };
        self.fail(id, code, &format!("not run, retry after {wait_ms} ms"), state);
    }

    /// A connection with returns outstanding is gone: says to each client what may be said.
    pub(crate) fn strand(&mut self, held: Db) {
        let begun = held.expects.iter().find_map(|expect| match expect.what {
            What::Begin { client, number } => Some((client, number)),
            _ => None,
        });
        // Only a BEGIN was on its way: nothing of the client's was sent, it can begin elsewhere.
        if let Some((id, number)) = begun {
            let is_waiting =
                |client: &&mut crate::types::Client| client.request.is_open && client.request.number == number;
            if let Some(client) = self.clients.get_mut(&id).filter(is_waiting) {
                client.txn.iter_mut().for_each(|txn| txn.db = None);
                self.retry(id, None);
            }
            return;
        }
        if let Some(client) = held.holder {
            if let Some(txn) = self.clients.get_mut(&client).and_then(|client| client.txn.as_mut()) {
                txn.db = None;
                // At rest: the next statement hears of it.
                txn.fail = txn.fail.or(Some(Fail::Untold));
            }
        }
        let requests = held.expects.iter().filter_map(|expect| match expect.what {
            What::Request { client, number } => Some((client, number)),
            _ => None,
        });
        for (client, number) in requests {
            self.strand_request(client, number);
        }
    }

    pub(crate) fn strand_request(&mut self, id: u64, number: u64) {
        let is_open = |client: &crate::types::Client| client.request.is_open && client.request.number == number;
        let Some(client) = self.clients.get_mut(&id).filter(|client| is_open(client)) else { return };
        client.request.db = None;
        client.request.ret.clear();
        let (verb, is_txn) = (client.request.verb(), client.txn.is_some());
        let is_begun = client.txn.as_ref().is_some_and(|txn| txn.is_begun);
        let may_have_written = client.txn.as_ref().is_some_and(|txn| txn.may_have_written);
        match (verb, is_txn) {
            // A commit that left may have happened; it is never sent again.
            (Verb::Commit, _) if may_have_written => {
                self.fail(id, ErrorCode::Indeterm, "the commit's return was lost", b'I')
            }
            // Nothing was written, so nothing is kept, whatever became of the commit.
            (Verb::Commit, _) => self.fail(id, ErrorCode::Aborted, "the connection was lost", b'I'),
            // Nothing of it was returned yet, and its end rolled back what ran: it begins elsewhere.
            (_, true) if !is_begun => {
                client.txn.iter_mut().for_each(|txn| (txn.db, txn.fail) = (None, None));
                self.retry(id, None);
            }
            // The connection's end rolled the transaction back.
            (_, true) => self.fail(id, ErrorCode::Aborted, "the connection was lost", b'E'),
            (Verb::Write, false) => self.fail(id, ErrorCode::Indeterm, "the write's return was lost", b'I'),
            (Verb::Read, false) => self.retry(id, None),
        }
    }

    /// A statement is over its limit.
    pub(crate) fn expire(&mut self, id: u64, number: u64) {
        let Some(client) = self.clients.get(&id) else { return };
        if !client.request.is_open || client.request.number != number {
            return;
        }
        if client.request.hand.is_some() {
            return self.expire_hand(id);
        }
        let Some(db) = client.request.db else { return self.refuse(id) };
        // Its return may still come: the connection can serve nobody else.
        self.acts.push(Act::CloseDb(db));
        let held = self.forget_db(db);
        if client_is_single_read(self, id) {
            return self.fail(id, ErrorCode::Expired, "over the route's limit", b'I');
        }
        held.into_iter().for_each(|held| self.strand(held));
        // Whatever became of the connection: at its limit each request is answered.
        self.strand_request(id, number);
    }
}

fn client_is_single_read(core: &Core, id: u64) -> bool {
    core.clients.get(&id).is_some_and(|client| client.txn.is_none() && client.request.verb() == Verb::Read)
}
