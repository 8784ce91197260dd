//! Database connections: matches received lines with pending replies.
use crate::core::Core;
use crate::types::{Effect, Pending, Reply, Verb};
use wv_wire_protocol::{is_overlong, split_line, write_line, DatabaseLine, ErrorCode, LogPosition};

/// Responses up to this size are buffered until complete, so that interrupted reads can be retried.
const BUFFERED_RESPONSE_MAX_BYTES: usize = 64 << 10;
/// A client with more unsent output is disconnected.
const CLIENT_OUTPUT_MAX_BYTES: usize = 4 << 20;

impl Core {
    /// The connection is open: sends `SETUP` with the expected instance id.
    pub fn db_opened(&mut self, db: u64, now: u64) {
        self.advance_clock(now);
        let Some(connection) = self.connections.get_mut(&db) else { return };
        let service =
            self.health.service(connection.key.service).map(|checker| checker.service.clone()).unwrap_or_default();
        write_line(&mut connection.out, &[b"SETUP", service.as_bytes(), b"windvalve", connection.id.as_bytes()]);
        connection.pending.push_back(Pending { kind: Reply::Setup, sent_at: self.now, is_fenced: false });
        self.effects.push(Effect::WriteDb(db));
    }

    pub fn db_data(&mut self, db: u64, bytes: &[u8], now: u64) {
        self.advance_clock(now);
        let Some(connection) = self.connections.get_mut(&db) else { return };
        if let Some(pool) = self.pools.get_mut(&connection.key) {
            pool.last_data_at = self.now;
        }
        let mut buf = std::mem::take(&mut connection.inbuf);
        let whole = if buf.is_empty() {
            bytes
        } else {
            buf.extend_from_slice(bytes);
            &buf[..]
        };
        let mut at = 0;
        while let Some((line, len)) = split_line(&whole[at..]) {
            at += len;
            self.connections.get_mut(&db).into_iter().for_each(|conn| conn.has_trailing_bytes = at < whole.len());
            self.db_line(db, line, &whole[at - len..at]);
            if !self.connections.contains_key(&db) {
                return;
            }
        }
        let rest = &whole[at..];
        if is_overlong(rest, wv_wire_protocol::MAX_MESSAGE_BYTES) {
            return self.fail_db(db);
        }
        let rest = rest.to_vec();
        if let Some(connection) = self.connections.get_mut(&db) {
            connection.inbuf = rest;
        }
    }

    fn db_line(&mut self, db: u64, line: &[u8], raw: &[u8]) {
        let Some(connection) = self.connections.get_mut(&db) else { return };
        let Some(reply) = connection.pending.front().copied() else { return self.fail_db(db) };
        match (DatabaseLine::parse(line), reply.kind) {
            (DatabaseLine::Idle(state, position), _) => {
                connection.pending.pop_front();
                // Surplus data may be a duplicate reply; no later user of the connection may receive it.
                connection.is_tainted |= connection.has_trailing_bytes && connection.pending.is_empty();
                let code = connection.error.take();
                self.finish(db, reply, code, state, position);
            }
            (DatabaseLine::Error(code, _), Reply::Setup) => self.setup_failed(db, code),
            (DatabaseLine::Error(code, text), _) => {
                connection.error = Some(code);
                if let Reply::Request { client, sequence } = reply.kind {
                    let client = self.clients.get_mut(&client).filter(|client| client.request.sequence == sequence);
                    if let Some(client) = client {
                        client.request.response.clear();
                        client.request.response.extend_from_slice(text);
                    }
                }
            }
            // Responses to client statements always carry a stamp; without one, the connection is out of sync.
            (DatabaseLine::Complete(b"-"), Reply::Request { .. }) => self.fail_db(db),
            // A stamp here belongs to a client statement: the reply to the internal one was lost.
            (DatabaseLine::Complete(tag), Reply::Sync | Reply::Abort | Reply::Probe) if tag != b"-" => self.fail_db(db),
            (received @ (DatabaseLine::Row(_) | DatabaseLine::Complete(_)), Reply::Request { client, sequence }) => {
                // A stamp is a single word; a space means that two lines were merged.
                if let DatabaseLine::Complete(stamp) = received {
                    connection.has_stamp = !stamp.is_empty() && !stamp.contains(&b' ');
                }
                let receiver = self.clients.get_mut(&client).filter(|receiver| receiver.request.sequence == sequence);
                let Some(receiver) = receiver else { return };
                receiver.request.response.extend_from_slice(raw);
                if receiver.request.response.len() > BUFFERED_RESPONSE_MAX_BYTES {
                    receiver.request.is_streamed = true;
                    let response = std::mem::take(&mut receiver.request.response);
                    receiver.out.extend_from_slice(&response);
                    self.effects.push(Effect::WriteClient(client));
                    if receiver.out.len() > CLIENT_OUTPUT_MAX_BYTES {
                        self.close_client(client);
                    }
                }
            }
            (DatabaseLine::Row(row), Reply::Probe) => self.note_reported_term(db, row),
            (DatabaseLine::Row(_) | DatabaseLine::Complete(_), _) => {}
            (DatabaseLine::Unknown, _) => self.fail_db(db),
        }
    }

    /// Closes a connection that violated the protocol.
    pub(crate) fn fail_db(&mut self, db: u64) {
        self.effects.push(Effect::CloseDb(db));
        self.remove_db(db).into_iter().for_each(|connection| self.connection_lost(connection));
        self.serve_all_queues();
    }

    fn setup_failed(&mut self, db: u64, code: ErrorCode) {
        self.effects.push(Effect::CloseDb(db));
        let Some(connection) = self.remove_db(db) else { return };
        let key = connection.key;
        self.back_off_opening(key);
        let waiting = self.pools.get_mut(&key).and_then(|pool| pool.waiting.pop_front());
        // The instance accepts no connection or another one has its address: dispatch elsewhere.
        if let Some(id) = waiting {
            if let Some(client) = self.clients.get_mut(&id).filter(|client| client.request.queue == Some(key)) {
                client.request.refused_by.push(key);
                self.retry(id, Some(code));
            }
        }
        if code == ErrorCode::WrongNode {
            if let Some(member) = self.health.database_mut(key) {
                member.on_failure(wv_internal_protocol::Health::Refused, self.now);
            }
        }
    }

    fn finish(&mut self, db: u64, reply: Pending, code: Option<ErrorCode>, state: u8, position: Option<LogPosition>) {
        let Some(connection) = self.connections.get_mut(&db) else { return };
        let key = connection.key;
        match reply.kind {
            Reply::Setup => {
                connection.phase = crate::types::Phase::Busy;
                if let Some(pool) = self.pools.get_mut(&key) {
                    pool.opening = pool.opening.saturating_sub(1);
                    (pool.open_failures, pool.open_not_before) = (0, 0);
                }
                let is_back = self.health.database_mut(key).is_some_and(|member| member.on_success(true, self.now));
                if is_back {
                    let id = self.connections.get(&db).map(|connection| connection.id.as_str()).unwrap_or_default();
                    log::info!("saw {id} up");
                    self.begin_slow_start(key, 1);
                    self.is_health_report_due = true;
                    self.dispatch_unplaced();
                }
                // The probe of an isolated instance succeeded; frees its connection for further probes.
                if self.health.database(key).is_some_and(|member| member.is_isolated()) {
                    return self.discard_db(db);
                }
                if self.needs_term_query(key) {
                    return self.query_term(db);
                }
                self.release_db(db);
            }
            Reply::Probe => {
                connection.is_tainted |= code.is_some();
                self.release_db(db);
            }
            Reply::Sync => connection.is_tainted |= code.is_some(),
            Reply::Begin { client, sequence } => self.begin_returned(db, client, sequence, code, state),
            Reply::Abort => {
                connection.is_tainted |= state != b'I';
                self.release_db(db);
            }
            Reply::Request { client, sequence } => {
                let has_stamp = std::mem::take(&mut connection.has_stamp);
                // The session values were wrong or the reply is incomplete, so the result is unreliable.
                if connection.is_tainted || (code.is_none() && !has_stamp) {
                    self.fail_db(db);
                    return self.request_lost(client, sequence);
                }
                let class = self.clients.get(&client).map_or(0, |client| client.request.route_class());
                if let Some(pool) = self.pools.get_mut(&key) {
                    pool.slowest[class].record(self.now.saturating_sub(reply.sent_at));
                    pool.last_returned_sent_at = pool.last_returned_sent_at.max(reply.sent_at);
                    pool.service_time.record(self.now.saturating_sub(reply.sent_at));
                }
                if code.is_none() && reply.is_fenced {
                    if let (Some(position), Some(checker)) = (position, self.health.service_mut(key.service)) {
                        checker.fenced_positions.record(reply.sent_at, position);
                    }
                }
                if let Some(member) = self.health.database_mut(key).filter(|member| member.is_suspect()) {
                    member.on_success(false, self.now);
                }
                self.finish_request(db, (client, sequence), code, state, position);
            }
        }
    }

    fn finish_request(
        &mut self,
        db: u64,
        (id, sequence): (u64, u64),
        code: Option<ErrorCode>,
        state: u8,
        position: Option<LogPosition>,
    ) {
        if code == Some(ErrorCode::ReadOnly) {
            self.taint_leader(db);
        }
        let (now, is_last) = (self.now, self.connections.get(&db).is_some_and(|conn| conn.pending.is_empty()));
        let key = self.connections.get(&db).map(|connection| connection.key);
        let Some(client) =
            self.clients.get_mut(&id).filter(|client| client.request.is_open && client.request.sequence == sequence)
        else {
            return self.discard_db(db);
        };
        let (verb, is_txn) = (client.request.verb(), client.txn.is_some());
        client.request.db = None;
        let Some(code) = code else {
            let is_over = !is_txn || verb == Verb::Commit;
            if is_over && is_last {
                self.release_db(db);
            }
            return self.complete_request(id, state, position);
        };
        if code == ErrorCode::ReadOnly {
            key.and_then(|key| self.health.database_mut(key)).into_iter().for_each(|member| member.on_readonly(now));
        }
        let text = std::mem::take(&mut client.request.response);
        client.request.refused_by.extend(key);
        if !is_txn {
            if is_last {
                self.release_db(db);
            }
            return if code.is_not_executed() { self.retry(id, Some(code)) } else { self.fail(id, code, text, b'I') };
        }
        // The transaction has no completed statement, so it can restart elsewhere.
        let is_first = client.txn.as_ref().is_some_and(|txn| !txn.has_completed_statement);
        if verb == Verb::Commit || (code.is_not_executed() && is_first) {
            client.txn.iter_mut().for_each(|txn| txn.db = None);
            self.roll_back_db(db);
            return match (verb, code.is_not_executed()) {
                (Verb::Commit, _) => self.fail(id, code, text, b'I'),
                _ => self.retry(id, Some(code)),
            };
        }
        if state == b'I' {
            client.txn.iter_mut().for_each(|txn| txn.db = None);
            self.release_db(db);
        }
        self.fail(id, code, text, state);
    }
}
