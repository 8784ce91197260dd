//! Log replication from primaries to replicas.
use crate::simulation::{Event, Simulation};
use crate::MS;

impl Simulation {
    pub(crate) fn replicate(&mut self, from: usize, to: usize, len: usize) {
        let (source, target) = (&self.databases[from], &self.databases[to]);
        let is_receiving = target.is_up
            && !target.is_unreachable
            && !target.is_log_blocked
            && target.suspended == 0
            && !target.is_primary;
        let is_linked =
            !self.is_disconnected(&source.id, &target.id) && source.service == target.service && !target.is_removed;
        if !is_receiving || !is_linked || !source.is_primary || !source.is_up || target.log.len() >= len {
            return;
        }
        // Logs are truncated at each promotion, so a replica's log is a prefix of the primary's.
        let missing = source.log[target.log.len().min(source.log.len())..len.min(source.log.len())].to_vec();
        let lag = self.databases[to].apply_lag_us;
        self.databases[to].log.extend(missing);
        self.schedule(lag, Event::Apply { database: to, len });
        // A commit is acknowledged once one replica has received it.
        let received = self.databases[to].received_position();
        self.acknowledge(from, received);
    }

    pub(crate) fn is_replica_of(&self, database: usize, other: usize) -> bool {
        let (one, other_database) = (&self.databases[database], &self.databases[other]);
        database != other && one.service == other_database.service && !other_database.is_removed
    }

    /// Sends the primary's missing log entries to a replica, also while there are no writes.
    pub(crate) fn catch_up(&mut self, database: usize) {
        let is_primary_of = |at: &usize| self.databases[*at].is_primary && self.is_replica_of(*at, database);
        let primary = (0..self.databases.len()).filter(is_primary_of).max_by_key(|at| self.databases[*at].term);
        if let Some(from) = primary.filter(|from| self.databases[*from].log.len() > self.databases[database].log.len())
        {
            let len = self.databases[from].log.len();
            self.schedule(2 * MS, Event::Replicate { from, to: database, len });
        }
    }
}
