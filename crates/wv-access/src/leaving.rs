//! Databases that leave: until when this node gives them new work, and what it does with work that is then still waiting.
//!
//! Invariant: no statement on its own, and no first statement of a transaction, is written to a database that is known here
//! to have said that it leaves longer ago than the bound (`wv_internal_protocol::new_work_window_us`). It is asked where a
//! database is chosen and once more when a transaction that was begun in advance stands.
use crate::core::Core;
use wv_health::Spot;
use wv_internal_protocol::{Instance, LeaveTime, StallDetector};

/// What an access node keeps of leaves beside each database's own.
pub(crate) struct Drain {
    /// The platform's own bound, from the acknowledgement of the leave on.
    pub bound_us: u64,
    pub stalls: StallDetector,
}

impl Default for Drain {
    fn default() -> Drain {
        Drain { bound_us: wv_internal_protocol::DEFAULT_DRAIN_US, stalls: StallDetector::default() }
    }
}

impl Core {
    /// The platform's bound on work for a database that leaves, and the time after which calm machines are in touch.
    pub fn set_drain(&mut self, drain_us: u64, contact_us: u64) {
        self.drain.bound_us = drain_us;
        self.checks.set_new_work(wv_internal_protocol::new_work_window_us(drain_us, contact_us));
    }

    /// Since when a database that is just told of may have been leaving.
    pub(crate) fn leaving_since(&self, inst: &Instance) -> LeaveTime {
        LeaveTime::from_age(self.now, inst.leaving_age_us.saturating_add(self.drain.stalls.lag_us(self.now)))
    }

    /// Whether what the client waits for is new work for a database: a statement on its own, or the first of a transaction.
    pub(crate) fn is_new_work(&self, client: u64) -> bool {
        let is_going_on =
            |client: &crate::types::Client| client.txn.as_ref().is_some_and(|txn| txn.has_completed_statement);
        self.clients.get(&client).is_some_and(|client| !is_going_on(client))
    }

    /// Whether that is new work, and its database has become one that gets none.
    pub(crate) fn is_too_late(&self, client: u64, spot: Spot) -> bool {
        self.is_new_work(client) && self.checks.is_past_drain(spot, self.now)
    }

    /// The transaction stands at a database that gets no new work by now: it is rolled back there and begun elsewhere.
    pub(crate) fn begin_elsewhere(&mut self, db: u64, client: u64) {
        let txn = self.clients.get_mut(&client).and_then(|client| client.txn.as_mut());
        txn.into_iter().for_each(|txn| txn.db = None);
        self.roll_back_db(db);
        self.retry(client, None);
    }
}
