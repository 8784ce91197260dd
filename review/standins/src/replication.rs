//! How the logs of the primaries reach their replicas.
use crate::fleet::{Entry, Fleet};
use std::sync::Arc;

impl Fleet {
    /// Carries the logs of the primaries to their replicas, for ever.
    pub fn replicate(self: &Arc<Fleet>) {
        let fleet = self.clone();
        std::thread::spawn(move || loop {
            crate::sleep_ms(2);
            let mut state = fleet.lock();
            let leads: Vec<(String, Vec<Entry>)> = state
                .databases
                .iter()
                .filter(|db| db.is_primary && db.is_running)
                .map(|db| (db.service.clone(), db.log.clone()))
                .collect();
            for db in state.databases.iter_mut() {
                let may_receive = db.is_running && !db.is_primary && !db.is_deaf && db.suspended == 0;
                let log = leads.iter().find(|(service, _)| *service == db.service).map(|(_, log)| log);
                if let Some(log) = log.filter(|log| may_receive && log.len() != db.log.len()) {
                    db.follow(log);
                }
            }
            drop(state);
            fleet.changed.notify_all();
        });
    }
}
