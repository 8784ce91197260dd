//! A client's transaction from its `BEGIN` to its end.
use crate::core::Core;
use crate::timer::Timer;
use crate::types::{Fail, Txn};
use std::rc::Rc;
use wv_configuration::Route;
use wv_wire_protocol::ErrorCode;

impl Core {
    pub(crate) fn begin(&mut self, id: u64, query: &[u8], route: Rc<Route>, only_reads: bool) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.txn.is_some() {
            return self.own_error(id, ErrorCode::Malformed, "a transaction is open");
        }
        let at = client.first_byte;
        client.txn = Some(Txn {
            route,
            begin_id: query.to_vec(),
            only_reads,
            is_plain: true,
            at,
            db: None,
            hand: None,
            is_begun: false,
            may_have_written: false,
            slot: None,
            written: Vec::new(),
            recorded: None,
            fail: None,
            rests_since: now,
        });
        self.own_complete(id);
        self.rest(id);
    }

    /// Lets go of the client's transaction: its connection rolls back and returns to the pool.
    pub(crate) fn end_txn(&mut self, id: u64) {
        let txn = self.clients.get_mut(&id).and_then(|client| client.txn.take());
        let Some(txn) = txn else { return };
        txn.db.into_iter().for_each(|db| self.abort_db(db));
        txn.hand.into_iter().for_each(|hand| self.abort_forwarded_txn(hand));
    }

    /// Ends the open request with an error, and what its transaction has done with it.
    pub(crate) fn roll_back(&mut self, id: u64, code: ErrorCode, text: &str) {
        let txn = self.clients.get_mut(&id).and_then(|client| client.txn.as_mut());
        let (db, hand) = txn.map_or((None, None), |txn| (txn.db.take(), txn.hand.take()));
        db.into_iter().for_each(|db| self.abort_db(db));
        hand.into_iter().for_each(|hand| self.abort_forwarded_txn(hand));
        self.fail(id, code, text, b'E');
    }

    /// A transaction that rests too long is rolled back behind; the client hears of it with its next statement.
    pub(crate) fn txn_idle(&mut self, id: u64, since: u64) {
        let Some(client) = self.clients.get_mut(&id).filter(|client| !client.request.is_open) else { return };
        let Some(txn) = client.txn.as_mut().filter(|txn| txn.rests_since == since && txn.fail.is_none()) else {
            return;
        };
        txn.fail = Some(Fail::Untold);
        let (db, hand) = (txn.db.take(), txn.hand.take());
        db.into_iter().for_each(|db| self.abort_db(db));
        hand.into_iter().for_each(|hand| self.abort_forwarded_txn(hand));
    }

    /// The session goes back to rest inside its transaction.
    pub(crate) fn rest(&mut self, id: u64) {
        let (now, wait) = (self.now, self.conf.as_ref().map_or(3_000_000, |conf| conf.limits.txn_idle_timeout_us));
        if let Some(txn) = self.clients.get_mut(&id).and_then(|client| client.txn.as_mut()) {
            txn.rests_since = now;
            self.timers.put(now + wait, Timer::TxnIdle { client: id, since: now });
        }
    }
}
