//! Connections to databases: their lines are matched with what was sent.
use crate::core::Core;
use crate::types::{Act, Expect, Verb, What};
use wv_wire_protocol::{split_line, DatabaseLine, ErrorCode, LogPosition};

/// Returns up to this size are held until complete, so that an unfinished read can be offered again.
const HELD_RET_MAX: usize = 64 << 10;
/// A client that reads this much too slowly is cut.
const SLOW_OUT_MAX: usize = 4 << 20;

impl Core {
    /// The connection stands: set it up under the expected id.
    pub fn db_opened(&mut self, db: u64, now: u64) {
        self.now = self.now.max(now);
        let Some(held) = self.dbs.get_mut(&db) else { return };
        let service = self.checks.service(held.spot.service).map(|checker| checker.service.clone()).unwrap_or_default();
        wv_wire_protocol::write_line(&mut held.out, &[b"SETUP", service.as_bytes(), b"windvalve", held.id.as_bytes()]);
        held.expects.push_back(Expect { what: What::Setup, sent: self.now, is_fenced: false });
        self.acts.push(Act::WriteDb(db));
    }

    pub fn db_data(&mut self, db: u64, bytes: &[u8], now: u64) {
        self.now = self.now.max(now);
        let Some(held) = self.dbs.get_mut(&db) else { return };
        if let Some(pool) = self.pools.get_mut(&held.spot) {
            pool.heard = self.now;
        }
        let mut buf = std::mem::take(&mut held.inbuf);
        let whole = if buf.is_empty() {
            bytes
        } else {
            buf.extend_from_slice(bytes);
            &buf[..]
        };
        let mut at = 0;
        while let Some((line, len)) = split_line(&whole[at..]) {
            at += len;
            self.dbs.get_mut(&db).into_iter().for_each(|held| held.has_more = at < whole.len());
            self.db_line(db, line, &whole[at - len..at]);
            if !self.dbs.contains_key(&db) {
                return;
            }
        }
        let rest = &whole[at..];
        if rest.len() > wv_wire_protocol::MAX_MESSAGE_BYTES {
            return self.break_db(db);
        }
        let rest = rest.to_vec();
        if let Some(held) = self.dbs.get_mut(&db) {
            held.inbuf = rest;
        }
    }

    fn db_line(&mut self, db: u64, line: &[u8], raw: &[u8]) {
        let Some(held) = self.dbs.get_mut(&db) else { return };
        let Some(expect) = held.expects.front().copied() else { return self.break_db(db) };
        match (DatabaseLine::parse(line), expect.what) {
            (DatabaseLine::Idle(state, pos), _) => {
                held.expects.pop_front();
                // More than was asked for: this may be the second answer to something, and what follows the right one.
                // Nothing of it is to meet whoever uses the connection next.
                held.is_doubtful |= held.has_more && held.expects.is_empty();
                let code = held.code.take();
                self.finish(db, expect, code, state, pos);
            }
            (DatabaseLine::Error(code, _), What::Setup) => self.setup_refused(db, code),
            (DatabaseLine::Error(code, text), _) => {
                held.code = Some(code);
                if let What::Request { client, number } = expect.what {
                    let client = self.clients.get_mut(&client).filter(|client| client.request.number == number);
                    if let Some(client) = client {
                        client.request.ret.clear();
                        client.request.ret.extend_from_slice(text);
                    }
                }
            }
            // Responses to client statements always carry a stamp; without one, the connection is out of sync.
            (DatabaseLine::Complete(b"-"), What::Request { .. }) => self.break_db(db),
            // Nor do own statements have one: theirs was lost, and this is the client's.
            (DatabaseLine::Complete(text), What::Sync | What::Abort | What::Probe) if text != b"-" => self.break_db(db),
            (told @ (DatabaseLine::Row(_) | DatabaseLine::Complete(_)), What::Request { client, number }) => {
                // A torn line and the next one read as one: a stamp is a single word.
                if let DatabaseLine::Complete(stamp) = told {
                    held.is_stamped = !stamp.is_empty() && !stamp.contains(&b' ');
                }
                let Some(held) = self.clients.get_mut(&client).filter(|held| held.request.number == number) else {
                    return;
                };
                held.request.ret.extend_from_slice(raw);
                if held.request.ret.len() > HELD_RET_MAX {
                    held.request.is_streamed = true;
                    let ret = std::mem::take(&mut held.request.ret);
                    held.out.extend_from_slice(&ret);
                    self.acts.push(Act::WriteClient(client));
                    if held.out.len() > SLOW_OUT_MAX {
                        self.close_client(client);
                    }
                }
            }
            (DatabaseLine::Row(row), What::Probe) => self.note_reported_term(db, row),
            (DatabaseLine::Row(_) | DatabaseLine::Complete(_), _) => {}
            (DatabaseLine::Unknown, _) => self.break_db(db),
        }
    }

    /// What it says makes no sense: nothing on it can be trusted.
    pub(crate) fn break_db(&mut self, db: u64) {
        self.acts.push(Act::CloseDb(db));
        self.forget_db(db).into_iter().for_each(|held| self.strand(held));
        self.serve_waiting_anywhere();
    }

    fn setup_refused(&mut self, db: u64, code: ErrorCode) {
        self.acts.push(Act::CloseDb(db));
        let Some(held) = self.forget_db(db) else { return };
        self.hold_opening(held.spot);
        let waiting = self.pools.get_mut(&held.spot).and_then(|pool| pool.waiting.pop_front());
        // It lives but takes no connection, or another database has its place: who waits goes elsewhere.
        if let Some(id) = waiting {
            if let Some(client) = self.clients.get_mut(&id).filter(|client| client.request.queued == Some(held.spot)) {
                client.request.refused.push(held.spot);
                self.retry(id, Some(code));
            }
        }
        if code == ErrorCode::WrongNode {
            if let Some(member) = self.checks.database_mut(held.spot) {
                member.on_failure(wv_internal_protocol::Health::Refused, self.now);
            }
        }
    }

    fn finish(&mut self, db: u64, expect: Expect, code: Option<ErrorCode>, state: u8, pos: Option<LogPosition>) {
        let Some(held) = self.dbs.get_mut(&db) else { return };
        let spot = held.spot;
        match expect.what {
            What::Setup => {
                held.phase = crate::types::Phase::Busy;
                if let Some(pool) = self.pools.get_mut(&spot) {
                    pool.opening = pool.opening.saturating_sub(1);
                    (pool.fails, pool.not_before) = (0, 0);
                }
                let is_back = self.checks.database_mut(spot).is_some_and(|member| member.on_success(true, self.now));
                if is_back {
                    let id = self.dbs.get(&db).map(|held| held.id.as_str()).unwrap_or_default();
                    log::info!("saw {id} up");
                    self.begin_slow_start(spot, 1);
                    self.sights_due = true;
                    self.serve_stranded();
                }
                // One good look of those that are wanted: it makes room for the next, where shares are small.
                if self.checks.database(spot).is_some_and(|member| member.is_isolated()) {
                    return self.drop_db(db);
                }
                if self.needs_term_query(spot) {
                    return self.query_term(db);
                }
                self.free_db(db);
            }
            What::Probe => {
                held.is_doubtful |= code.is_some();
                self.free_db(db);
            }
            What::Sync => held.is_doubtful |= code.is_some(),
            What::Begin { client, number } => self.begun(db, client, number, code, state),
            What::Abort => {
                held.is_doubtful |= state != b'I';
                self.free_db(db);
            }
            What::Request { client, number } => {
                let is_stamped = std::mem::take(&mut held.is_stamped);
                // Run with other values than the client's, torn, or not surely its own: nobody may believe it.
                if held.is_doubtful || (code.is_none() && !is_stamped) {
                    self.break_db(db);
                    return self.strand_request(client, number);
                }
                let kind = self.clients.get(&client).map_or(0, |client| client.request.kind());
                if let Some(pool) = self.pools.get_mut(&spot) {
                    pool.slowest[kind].record(self.now.saturating_sub(expect.sent));
                    pool.returned = pool.returned.max(expect.sent);
                    pool.work.record(self.now.saturating_sub(expect.sent));
                }
                if code.is_none() && expect.is_fenced {
                    if let (Some(pos), Some(checker)) = (pos, self.checks.service_mut(spot.service)) {
                        checker.fenced_positions.record(expect.sent, pos);
                    }
                }
                if let Some(member) = self.checks.database_mut(spot).filter(|member| member.is_suspect()) {
                    member.on_success(false, self.now);
                }
                self.finish_request(db, (client, number), code, state, pos);
            }
        }
    }

    fn finish_request(
        &mut self,
        db: u64,
        (id, number): (u64, u64),
        code: Option<ErrorCode>,
        state: u8,
        pos: Option<LogPosition>,
    ) {
        if code == Some(ErrorCode::ReadOnly) {
            self.distrust(db);
        }
        let (now, is_last) = (self.now, self.dbs.get(&db).is_some_and(|held| held.expects.is_empty()));
        let spot = self.dbs.get(&db).map(|held| held.spot);
        let Some(client) =
            self.clients.get_mut(&id).filter(|held| held.request.is_open && held.request.number == number)
        else {
            return self.drop_db(db);
        };
        let (verb, is_txn) = (client.request.verb(), client.txn.is_some());
        client.request.db = None;
        let Some(code) = code else {
            let is_over = !is_txn || verb == Verb::Commit;
            if is_over && is_last {
                self.free_db(db);
            }
            return self.pass(id, state, pos);
        };
        if code == ErrorCode::ReadOnly {
            spot.and_then(|spot| self.checks.database_mut(spot)).into_iter().for_each(|member| member.on_readonly(now));
        }
        let text = String::from_utf8_lossy(&client.request.ret).into_owned();
        client.request.ret.clear();
        client.request.refused.extend(spot);
        if !is_txn {
            if is_last {
                self.free_db(db);
            }
            return if code.is_not_executed() { self.retry(id, Some(code)) } else { self.fail(id, code, &text, b'I') };
        }
        // The transaction never began, or its first statement was refused unrun: it can begin elsewhere.
        let is_first = client.txn.as_ref().is_some_and(|txn| !txn.is_begun);
        if verb == Verb::Commit || (code.is_not_executed() && is_first) {
            client.txn.iter_mut().for_each(|txn| txn.db = None);
            self.abort_db(db);
            return match (verb, code.is_not_executed()) {
                (Verb::Commit, _) => self.fail(id, code, &text, b'I'),
                _ => self.retry(id, Some(code)),
            };
        }
        if state == b'I' {
            client.txn.iter_mut().for_each(|txn| txn.db = None);
            self.free_db(db);
        }
        self.fail(id, code, &text, state);
    }
}
