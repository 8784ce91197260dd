//! Draining databases: how long this node sends them new work, and where waiting work goes after that.
//!
//! Invariant: no single statement and no first statement of a transaction is sent to a database that, as far as this
//! node knows, began to drain longer ago than the window (`wv_internal_protocol::new_work_window_us`). This is checked
//! when a database is chosen, and again when the response to a `BEGIN` sent ahead of the first statement arrives.
use crate::core::Core;
use wv_health::DatabaseKey;
use wv_internal_protocol::{Instance, LeaveTime, StallDetector};

/// Drain state of the node; the state of each database is kept with the database.
pub(crate) struct DrainState {
    /// The platform's drain timeout, counted from the acknowledgement of the drain.
    pub platform_drain_us: u64,
    pub stall_detector: StallDetector,
}

impl Default for DrainState {
    fn default() -> DrainState {
        DrainState {
            platform_drain_us: wv_internal_protocol::DEFAULT_DRAIN_US,
            stall_detector: StallDetector::default(),
        }
    }
}

impl Core {
    /// Sets the platform's drain timeout and the time within which connected nodes are in contact.
    pub fn set_drain_timeouts(&mut self, drain_us: u64, contact_us: u64) {
        self.drain.platform_drain_us = drain_us;
        self.health.set_new_work_us(wv_internal_protocol::new_work_window_us(drain_us, contact_us));
    }

    /// The earliest time at which the reported database may have begun to drain.
    pub(crate) fn drain_start(&self, instance: &Instance) -> LeaveTime {
        LeaveTime::from_age(
            self.now,
            instance.leaving_age_us.saturating_add(self.drain.stall_detector.lag_us(self.now)),
        )
    }

    /// Whether the client's request is new work for a database: a single statement, or the first one of a transaction.
    pub(crate) fn is_new_work(&self, client: u64) -> bool {
        let has_begun =
            |client: &crate::types::Client| client.txn.as_ref().is_some_and(|txn| txn.has_completed_statement);
        self.clients.get(&client).is_some_and(|client| !has_begun(client))
    }

    /// Whether the request is new work and the database's window for new work is over.
    pub(crate) fn is_past_drain_window(&self, client: u64, key: DatabaseKey) -> bool {
        self.is_new_work(client) && self.health.is_closed_to_new_work(key, self.now)
    }

    /// Rolls back a transaction that has only begun, and begins it on another database.
    pub(crate) fn restart_txn_elsewhere(&mut self, db: u64, client: u64) {
        let txn = self.clients.get_mut(&client).and_then(|client| client.txn.as_mut());
        txn.into_iter().for_each(|txn| txn.db = None);
        self.roll_back_db(db);
        self.retry(client, None);
    }
}
