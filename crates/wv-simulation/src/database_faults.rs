//! Database crashes, connection resets, unreachable hosts and recovery.
use crate::simulation::{Event, Simulation, LINK_DELAY_US};
use crate::MS;
use wv_access::ConnectionLoss;

impl Simulation {
    /// Ends the database process; its connections are reset.
    pub fn crash(&mut self, database: usize) {
        self.databases[database].is_up = false;
        self.databases[database].connections.clear();
        self.databases[database].busy.clear();
        self.pending_commits.retain(|(at, _, _, _)| *at != database);
        self.disconnect_all(database, LINK_DELAY_US, ConnectionLoss::Closed);
    }

    /// Resets all connections while the database keeps running.
    pub fn reset_connections(&mut self, database: usize) {
        self.databases[database].connections.clear();
        self.databases[database].busy.clear();
        self.disconnect_all(database, LINK_DELAY_US, ConnectionLoss::Closed);
    }

    /// Makes the database's host stop answering; connections time out.
    pub fn make_unreachable(&mut self, database: usize) {
        self.databases[database].is_unreachable = true;
        self.databases[database].connections.clear();
        self.pending_commits.retain(|(at, _, _, _)| *at != database);
        self.disconnect_all(database, 900 * MS, ConnectionLoss::Unreachable);
    }

    fn disconnect_all(&mut self, database: usize, after: u64, lost: ConnectionLoss) {
        let keys: Vec<(usize, u64)> =
            self.database_connections.iter().filter(|(_, at)| at.0 == database).map(|(key, _)| *key).collect();
        for (access, db) in keys {
            let incarnation = self.access[access].incarnation;
            self.schedule(after, Event::DbEnd { access, db, lost, incarnation });
        }
    }

    /// Brings the database back with its log. A restart ends its suspension, the end of an outage of its links does not.
    pub fn revive(&mut self, database: usize) {
        let instance = &mut self.databases[database];
        if !instance.is_up {
            instance.suspended = 0;
        }
        (instance.is_up, instance.is_unreachable) = (true, false);
        self.heartbeat(database);
    }
}
