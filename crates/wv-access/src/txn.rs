//! Client transactions from `BEGIN` to their end.
use crate::core::Core;
use crate::timer::Timer;
use crate::types::{Txn, TxnFailure};
use std::rc::Rc;
use wv_configuration::Route;
use wv_wire_protocol::ErrorCode;

impl Core {
    pub(crate) fn begin_txn(&mut self, id: u64, query: &[u8], route: Rc<Route>, is_read_only: bool) {
        let (now, configuration_version) = (self.now, self.configuration_version().unwrap_or(0));
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.txn.is_some() {
            return self.reply_error(id, ErrorCode::Malformed, "a transaction is open");
        }
        let at = client.first_byte_at;
        client.txn = Some(Txn {
            route,
            configuration_version,
            begin_id: query.to_vec(),
            is_read_only,
            is_primary_only: true,
            first_byte_at: at,
            db: None,
            forwarded_session: None,
            has_completed_statement: false,
            may_have_written: false,
            slot: None,
            writes: Vec::new(),
            recording_index: None,
            failure: None,
            idle_since: now,
        });
        self.reply_complete(id);
        self.start_idle_timer(id);
    }

    /// Ends the client's transaction: rolls back its connection and returns it to the pool.
    pub(crate) fn end_txn(&mut self, id: u64) {
        let txn = self.clients.get_mut(&id).and_then(|client| client.txn.take());
        let Some(txn) = txn else { return };
        txn.db.into_iter().for_each(|db| self.roll_back_db(db));
        txn.forwarded_session.into_iter().for_each(|session| self.abort_forwarded_txn(session));
    }

    /// Fails the open request and rolls back its transaction.
    pub(crate) fn roll_back_txn(&mut self, id: u64, code: ErrorCode, text: &str) {
        let txn = self.clients.get_mut(&id).and_then(|client| client.txn.as_mut());
        let (db, session) = txn.map_or((None, None), |txn| (txn.db.take(), txn.forwarded_session.take()));
        db.into_iter().for_each(|db| self.roll_back_db(db));
        session.into_iter().for_each(|session| self.abort_forwarded_txn(session));
        self.fail(id, code, text, b'E');
    }

    /// Rolls back a transaction that was idle too long; the client's next statement reports it.
    pub(crate) fn expire_idle_txn(&mut self, id: u64, since: u64) {
        let Some(client) = self.clients.get_mut(&id).filter(|client| !client.request.is_open) else { return };
        let Some(txn) = client.txn.as_mut().filter(|txn| txn.idle_since == since && txn.failure.is_none()) else {
            return;
        };
        txn.failure = Some(TxnFailure::Unreported);
        let (db, session) = (txn.db.take(), txn.forwarded_session.take());
        db.into_iter().for_each(|db| self.roll_back_db(db));
        session.into_iter().for_each(|session| self.abort_forwarded_txn(session));
    }

    /// Starts the idle timer of the client's transaction.
    pub(crate) fn start_idle_timer(&mut self, id: u64) {
        let (now, wait) = (
            self.now,
            self.configuration.as_ref().map_or(3_000_000, |configuration| configuration.limits.txn_idle_timeout_us),
        );
        if let Some(txn) = self.clients.get_mut(&id).and_then(|client| client.txn.as_mut()) {
            txn.idle_since = now;
            self.timers.schedule(now + wait, Timer::TxnIdle { client: id, since: now });
        }
    }
}
