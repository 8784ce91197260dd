//! Sending: what goes out on a connection, and what is then expected back.
use crate::core::Core;
use crate::timer::Timer;
use crate::types::{Act, Expect, Phase, Verb, What};
use wv_wire_protocol::{write_query, ErrorCode, LogPosition};

/// A return is overdue no sooner and no later than this.
const OVERDUE_MIN_US: u64 = 100_000;
const OVERDUE_MAX_US: u64 = 600_000;
/// How soon an overdue return is looked at again while its database says nothing at all.
const OVERDUE_AGAIN_US: u64 = 50_000;

impl Core {
    /// Brings the connection in line with the session and sends the open request, or first what begins around it.
    pub(crate) fn send(&mut self, id: u64, db: u64, minpos: Option<LogPosition>, is_wrapped: bool) {
        let now = self.now;
        let (Some(client), Some(held)) = (self.clients.get_mut(&id), self.dbs.get_mut(&db)) else { return };
        let request = &mut client.request;
        (request.db, request.queued, request.is_wrapped) = (Some(db), None, is_wrapped);
        request.ret.clear();
        let spot = held.spot;
        held.phase = Phase::Busy;
        held.since = now;
        let count = wv_session_state::sync_connection(
            &mut held.out,
            &mut held.tie,
            &client.session,
            request.shape,
            &self.shapes,
        );
        let sync = Expect { what: What::Sync, sent: now, is_fenced: false };
        held.expects.extend(std::iter::repeat_n(sync, count));
        let begin = |is_plain| Expect {
            what: What::Begin { client: id, number: request.number },
            sent: now,
            is_fenced: is_plain,
        };
        let mark = minpos.map(|pos| format!("MINPOS {pos} ")).unwrap_or_default();
        // A refused BEGIN leaves the connection outside: what is sent behind it unseen would run on its own.
        // So the statement waits until the transaction stands.
        match client.txn.as_mut() {
            Some(txn) if txn.db.is_none() => {
                // Read-only transactions are not fenced by the database: on primary routes they run as plain ones.
                txn.is_plain = minpos.is_none();
                if txn.is_plain {
                    write_query(&mut held.out, b"-", &[b"BEGIN"]);
                } else {
                    write_query(&mut held.out, &txn.begin_id, &[&[mark.as_bytes(), b"BEGIN READ"].concat()]);
                }
                held.expects.push_back(begin(txn.is_plain));
                txn.db = Some(db);
                held.holder = Some(id);
                self.acts.push(Act::WriteDb(db));
            }
            None if is_wrapped => {
                write_query(&mut held.out, b"-", &[b"BEGIN"]);
                held.expects.push_back(begin(true));
                self.acts.push(Act::WriteDb(db));
            }
            _ => self.send_text(id, db, &mark),
        }
        self.note_request_started(spot);
    }

    fn send_text(&mut self, id: u64, db: u64, mark: &str) {
        let now = self.now;
        if let Some(spot) = self.dbs.get(&db).map(|held| held.spot).filter(|_| self.is_new_work(id)) {
            self.count_new_work_while_draining(spot);
        }
        self.track_split_write(id);
        let (Some(client), Some(held)) = (self.clients.get_mut(&id), self.dbs.get_mut(&db)) else { return };
        let request = &client.request;
        if mark.is_empty() {
            write_query(&mut held.out, &request.id, &[&request.text]);
        } else {
            write_query(&mut held.out, &request.id, &[&[mark.as_bytes(), &request.text[..]].concat()]);
        }
        // Only what a deposed primary would have refused tells where the log really stands.
        let is_fenced = match (request.verb(), client.txn.as_mut()) {
            (Verb::Commit, txn) => txn.is_some_and(|txn| txn.may_have_written),
            (verb, Some(txn)) => {
                txn.may_have_written |= verb == Verb::Write;
                txn.is_plain
            }
            (Verb::Write, None) => true,
            (Verb::Read, None) => request.is_wrapped,
        };
        let may_be_given_up = match (request.verb(), client.txn.as_ref()) {
            (Verb::Read, _) => true,
            (Verb::Write, txn) => txn.is_some(),
            (Verb::Commit, txn) => txn.is_some_and(|txn| !txn.may_have_written),
        };
        if may_be_given_up {
            let slowest = self.pools.get(&held.spot).map(|pool| pool.slowest[request.kind()]).unwrap_or_default();
            let wait = slowest.overdue_us().clamp(OVERDUE_MIN_US, OVERDUE_MAX_US);
            self.timers.put(now + wait, Timer::Overdue { client: id, number: request.number });
        }
        let what = What::Request { client: id, number: request.number };
        held.expects.push_back(Expect { what, sent: now, is_fenced });
        if request.is_wrapped && client.txn.is_none() {
            write_query(&mut held.out, b"-", &[b"ABORT"]);
            held.expects.push_back(Expect { what: What::Abort, sent: now, is_fenced: false });
        }
        self.acts.push(Act::WriteDb(db));
    }

    /// The database has returned what was sent after this, and this not: its return is lost. Where nothing of the
    /// try can be kept, the client need not wait for the limit to hear so.
    pub(crate) fn overdue(&mut self, id: u64, number: u64) {
        let Some(client) = self.clients.get(&id) else { return };
        if !client.request.is_open || client.request.number != number || client.request.is_streamed {
            return;
        }
        let Some(db) = client.request.db else { return };
        let Some(held) = self.dbs.get(&db) else { return };
        let sent = held.expects.front().map_or(self.now, |expect| expect.sent);
        let is_alive = self.pools.get(&held.spot).is_some_and(|pool| pool.returned > sent);
        if !is_alive {
            self.timers.put(self.now + OVERDUE_AGAIN_US, Timer::Overdue { client: id, number });
            return;
        }
        let spot = held.spot;
        self.acts.push(Act::CloseDb(db));
        self.forget_db(db).into_iter().for_each(|held| self.strand(held));
        self.serve_waiting(spot);
    }

    /// `BEGIN` returned: the statement follows, or goes elsewhere unrun.
    pub(crate) fn begun(&mut self, db: u64, id: u64, number: u64, code: Option<ErrorCode>, state: u8) {
        let Some(held) = self.dbs.get(&db) else { return };
        let (spot, is_clean) = (held.spot, !held.is_doubtful);
        let is_open = self.clients.get(&id).is_some_and(|client| {
            client.request.is_open && client.request.number == number && client.request.db == Some(db)
        });
        if !is_open {
            // Its client left meanwhile; an end may already be on its way.
            if held.expects.is_empty() {
                self.abort_db(db);
            }
            return;
        }
        if code.is_none() && state == b'T' && is_clean && self.is_past_drain_window(id, spot) {
            return self.restart_txn_elsewhere(db, id);
        }
        if code.is_none() && state == b'T' && is_clean {
            return self.send_text(id, db, "");
        }
        if !is_clean {
            // Its values are not what they should be; nothing of the client's was sent there.
            self.dbs.get_mut(&db).into_iter().for_each(|held| held.holder = None);
            self.clients.get_mut(&id).and_then(|client| client.txn.as_mut()).into_iter().for_each(|txn| txn.db = None);
            self.break_db(db);
            return self.retry(id, None);
        }
        if code == Some(ErrorCode::ReadOnly) {
            self.distrust(db);
        }
        self.refused_unrun(id, spot, code.unwrap_or(ErrorCode::Failed));
        if state == b'I' {
            self.free_db(db);
        } else {
            self.abort_db(db);
        }
        self.retry(id, code);
    }

    /// Notes that this database did not run the request.
    pub(crate) fn refused_unrun(&mut self, id: u64, spot: wv_health::DatabaseKey, code: ErrorCode) {
        let now = self.now;
        if code == ErrorCode::ReadOnly {
            self.checks.database_mut(spot).into_iter().for_each(|member| member.on_readonly(now));
        }
        if let Some(client) = self.clients.get_mut(&id) {
            client.request.db = None;
            client.request.refused.push(spot);
            client.txn.iter_mut().for_each(|txn| txn.db = None);
        }
    }
}
