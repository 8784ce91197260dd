//! Sends requests on database connections and tracks the pending replies.
use crate::core::Core;
use crate::timer::Timer;
use crate::types::{Effect, Pending, Phase, Reply, Verb};
use wv_wire_protocol::{write_query, ErrorCode, LogPosition};

/// Bounds of the time after which a response is overdue.
const OVERDUE_MIN_US: u64 = 100_000;
const OVERDUE_MAX_US: u64 = 600_000;
/// Interval of overdue checks while the database sends nothing at all.
const OVERDUE_RECHECK_US: u64 = 50_000;

impl Core {
    /// Syncs the connection with the session, then sends the request or the `BEGIN` that precedes it.
    pub(crate) fn send_request(&mut self, id: u64, db: u64, min_position: Option<LogPosition>, is_wrapped: bool) {
        let now = self.now;
        let (Some(client), Some(connection)) = (self.clients.get_mut(&id), self.connections.get_mut(&db)) else {
            return;
        };
        let request = &mut client.request;
        (request.db, request.queue, request.is_wrapped_in_txn) = (Some(db), None, is_wrapped);
        request.response.clear();
        let key = connection.key;
        connection.phase = Phase::Busy;
        connection.phase_since = now;
        let count = wv_session_state::sync_connection(
            &mut connection.out,
            &mut connection.session_state,
            &client.session,
            request.statement_id,
            &self.statements,
        );
        let sync = Pending { kind: Reply::Sync, sent_at: now, is_fenced: false };
        connection.pending.extend(std::iter::repeat_n(sync, count));
        let begin = |is_fenced| Pending {
            kind: Reply::Begin { client: id, sequence: request.sequence },
            sent_at: now,
            is_fenced,
        };
        let minpos_prefix = min_position.map(|position| format!("MINPOS {position} ")).unwrap_or_default();
        // If BEGIN fails, a pipelined statement would run outside the transaction, so it waits for the reply.
        match client.txn.as_mut() {
            Some(txn) if txn.db.is_none() => {
                // Read-only transactions are not fenced by the database, so primary routes use plain ones.
                txn.is_primary_only = min_position.is_none();
                if txn.is_primary_only {
                    write_query(&mut connection.out, b"-", &[b"BEGIN"]);
                } else {
                    write_query(
                        &mut connection.out,
                        &txn.begin_id,
                        &[&[minpos_prefix.as_bytes(), b"BEGIN READ"].concat()],
                    );
                }
                connection.pending.push_back(begin(txn.is_primary_only));
                txn.db = Some(db);
                connection.txn_client = Some(id);
                self.effects.push(Effect::WriteDb(db));
            }
            None if is_wrapped => {
                write_query(&mut connection.out, b"-", &[b"BEGIN"]);
                connection.pending.push_back(begin(true));
                self.effects.push(Effect::WriteDb(db));
            }
            _ => self.send_statement(id, db, &minpos_prefix),
        }
        self.note_request_started(key);
    }

    fn send_statement(&mut self, id: u64, db: u64, minpos_prefix: &str) {
        let now = self.now;
        if let Some(key) = self.connections.get(&db).map(|connection| connection.key).filter(|_| self.is_new_work(id)) {
            self.count_new_work_while_draining(key);
        }
        self.track_split_write(id);
        let (Some(client), Some(connection)) = (self.clients.get_mut(&id), self.connections.get_mut(&db)) else {
            return;
        };
        let request = &client.request;
        if minpos_prefix.is_empty() {
            write_query(&mut connection.out, &request.query_id, &[&request.text]);
        } else {
            write_query(
                &mut connection.out,
                &request.query_id,
                &[&[minpos_prefix.as_bytes(), &request.text[..]].concat()],
            );
        }
        // Only statements that a deposed primary would refuse prove the current log position.
        let is_fenced = match (request.verb(), client.txn.as_mut()) {
            (Verb::Commit, txn) => txn.is_some_and(|txn| txn.may_have_written),
            (verb, Some(txn)) => {
                txn.may_have_written |= verb == Verb::Write;
                txn.is_primary_only
            }
            (Verb::Write, None) => true,
            (Verb::Read, None) => request.is_wrapped_in_txn,
        };
        let can_be_retried = match (request.verb(), client.txn.as_ref()) {
            (Verb::Read, _) => true,
            (Verb::Write, txn) => txn.is_some(),
            (Verb::Commit, txn) => txn.is_some_and(|txn| !txn.may_have_written),
        };
        if can_be_retried {
            let slowest =
                self.pools.get(&connection.key).map(|pool| pool.slowest[request.route_class()]).unwrap_or_default();
            let wait = slowest.overdue_us().clamp(OVERDUE_MIN_US, OVERDUE_MAX_US);
            self.timers.schedule(now + wait, Timer::Overdue { client: id, sequence: request.sequence });
        }
        let kind = Reply::Request { client: id, sequence: request.sequence };
        connection.pending.push_back(Pending { kind, sent_at: now, is_fenced });
        if request.is_wrapped_in_txn && client.txn.is_none() {
            write_query(&mut connection.out, b"-", &[b"ABORT"]);
            connection.pending.push_back(Pending { kind: Reply::Abort, sent_at: now, is_fenced: false });
        }
        self.effects.push(Effect::WriteDb(db));
    }

    /// The database has answered statements sent later, so this response is lost. Requests without lasting effects are
    /// retried before their deadline.
    pub(crate) fn check_overdue(&mut self, id: u64, sequence: u64) {
        let Some(client) = self.clients.get(&id) else { return };
        if !client.request.is_open || client.request.sequence != sequence || client.request.is_streamed {
            return;
        }
        let Some(db) = client.request.db else { return };
        let Some(connection) = self.connections.get(&db) else { return };
        let sent = connection.pending.front().map_or(self.now, |reply| reply.sent_at);
        let is_alive = self.pools.get(&connection.key).is_some_and(|pool| pool.last_returned_sent_at > sent);
        if !is_alive {
            self.timers.schedule(self.now + OVERDUE_RECHECK_US, Timer::Overdue { client: id, sequence });
            return;
        }
        let key = connection.key;
        self.effects.push(Effect::CloseDb(db));
        self.remove_db(db).into_iter().for_each(|connection| self.connection_lost(connection));
        self.serve_queue(key);
    }

    /// `BEGIN` was answered: sends the statement, or dispatches the request elsewhere.
    pub(crate) fn begin_returned(&mut self, db: u64, id: u64, sequence: u64, code: Option<ErrorCode>, state: u8) {
        let Some(connection) = self.connections.get(&db) else { return };
        let (key, is_clean) = (connection.key, !connection.is_tainted);
        let is_open = self.clients.get(&id).is_some_and(|client| {
            client.request.is_open && client.request.sequence == sequence && client.request.db == Some(db)
        });
        if !is_open {
            // The client has closed; a rollback may already be pending.
            if connection.pending.is_empty() {
                self.roll_back_db(db);
            }
            return;
        }
        if code.is_none() && state == b'T' && is_clean && self.is_past_drain_window(id, key) {
            return self.restart_txn_elsewhere(db, id);
        }
        if code.is_none() && state == b'T' && is_clean {
            return self.send_statement(id, db, "");
        }
        if !is_clean {
            // The session values could not be set, and no client statement was sent.
            self.connections.get_mut(&db).into_iter().for_each(|connection| connection.txn_client = None);
            self.clients.get_mut(&id).and_then(|client| client.txn.as_mut()).into_iter().for_each(|txn| txn.db = None);
            self.fail_db(db);
            return self.retry(id, None);
        }
        if code == Some(ErrorCode::ReadOnly) {
            self.taint_leader(db);
        }
        self.note_not_executed(id, key, code.unwrap_or(ErrorCode::Failed));
        if state == b'I' {
            self.release_db(db);
        } else {
            self.roll_back_db(db);
        }
        self.retry(id, code);
    }

    /// Records that this instance did not execute the request.
    pub(crate) fn note_not_executed(&mut self, id: u64, key: wv_health::DatabaseKey, code: ErrorCode) {
        let now = self.now;
        if code == ErrorCode::ReadOnly {
            self.health.database_mut(key).into_iter().for_each(|member| member.on_readonly(now));
        }
        if let Some(client) = self.clients.get_mut(&id) {
            client.request.db = None;
            client.request.refused_by.push(key);
            client.txn.iter_mut().for_each(|txn| txn.db = None);
        }
    }
}
