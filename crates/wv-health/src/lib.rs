//! Health and routing state of databases, from the configuration, the instance feed and this node's own connections.
mod database;
mod fenced_positions;
mod leader;
mod service;

pub use database::DatabaseHealth;
pub use fenced_positions::FencedPositions;
pub use service::{ServiceHealth, State};

/// Identifies a database within this node by the index of its service and its index in that service.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct DatabaseKey {
    pub service: u16,
    pub index: u16,
}

/// A database updated within this time is not marked as missing, as the snapshot may predate the update.
const SNAPSHOT_GRACE_US: u64 = 3_000_000;

/// Health of all services known to this node.
pub struct HealthTable {
    new_work_us: u64,
    services: Vec<ServiceHealth>,
    service_indexes: hashbrown::HashMap<String, u16, ahash::RandomState>,
    keys: hashbrown::HashMap<String, DatabaseKey, ahash::RandomState>,
}

impl Default for HealthTable {
    fn default() -> HealthTable {
        HealthTable {
            new_work_us: wv_internal_protocol::new_work_window_us(
                wv_internal_protocol::DEFAULT_DRAIN_US,
                wv_internal_protocol::DEFAULT_CONTACT_US,
            ),
            services: Vec::new(),
            service_indexes: Default::default(),
            keys: Default::default(),
        }
    }
}

impl HealthTable {
    /// Sets how long a database still receives new work after it announced that it is leaving.
    pub fn set_new_work_us(&mut self, new_work_us: u64) {
        self.new_work_us = new_work_us;
        self.services.iter_mut().for_each(|health| health.new_work_us = new_work_us);
    }

    /// The index of a service, which is added if it is unknown.
    pub fn intern_service(&mut self, name: &str) -> u16 {
        if let Some(index) = self.service_indexes.get(name) {
            return *index;
        }
        let index = self.services.len() as u16;
        self.services.push(ServiceHealth::new(name, self.new_work_us));
        self.service_indexes.insert(name.to_owned(), index);
        index
    }

    pub fn service_index(&self, name: &str) -> Option<u16> {
        self.service_indexes.get(name).copied()
    }

    pub fn service(&self, service: u16) -> Option<&ServiceHealth> {
        self.services.get(service as usize)
    }

    pub fn service_mut(&mut self, service: u16) -> Option<&mut ServiceHealth> {
        self.services.get_mut(service as usize)
    }

    pub fn iter(&self) -> impl Iterator<Item = (u16, &ServiceHealth)> {
        self.services.iter().enumerate().map(|(index, health)| (index as u16, health))
    }

    pub fn database(&self, key: DatabaseKey) -> Option<&DatabaseHealth> {
        self.service(key.service)?.database(key.index)
    }

    pub fn database_mut(&mut self, key: DatabaseKey) -> Option<&mut DatabaseHealth> {
        self.service_mut(key.service)?.database_mut(key.index)
    }

    pub fn key(&self, id: &str) -> Option<DatabaseKey> {
        self.keys.get(id).copied()
    }

    /// Applies an instance update from the feed; `since` is the time at which a leaving database announced it.
    pub fn apply_instance(
        &mut self,
        instance: &wv_internal_protocol::Instance,
        since: wv_internal_protocol::LeaveTime,
        now: u64,
    ) -> Option<DatabaseKey> {
        // An unknown database that is gone needs no entry. The update of a gone database may lack its service.
        if instance.gone {
            let key = self.key(&instance.id)?;
            let known = &self.database(key)?.instance;
            let sequence = known.sequence.max(instance.sequence);
            let gone = wv_internal_protocol::Instance { gone: true, sequence, ..known.clone() };
            self.service_mut(key.service)?.upsert(Some(key.index), &gone, since, now);
            return Some(key);
        }
        let service = self.intern_service(&instance.service);
        let known = self.key(&instance.id).filter(|key| key.service == service);
        let health = self.services.get_mut(service as usize)?;
        let (index, freed) = health.upsert(known.map(|key| key.index), instance, since, now)?;
        if let Some(id) = freed {
            self.keys.remove(&id);
        }
        let key = DatabaseKey { service, index };
        self.keys.insert(instance.id.clone(), key);
        Some(key)
    }

    /// Whether a leaving database no longer receives new work.
    pub fn is_closed_to_new_work(&self, key: DatabaseKey, now: u64) -> bool {
        self.service(key.service).is_some_and(|health| health.is_closed_to_new_work(key.index, now))
    }

    pub fn apply_leader(&mut self, leader: &wv_internal_protocol::Leader, now: u64) -> bool {
        let service = self.intern_service(&leader.service);
        self.services.get_mut(service as usize).is_some_and(|health| health.apply_leader(leader, now))
    }

    /// Switches services to their fallback leader where the current one stopped leading; returns these services.
    pub fn apply_fallback_leaders(&mut self, now: u64) -> Vec<String> {
        let switched =
            self.services.iter_mut().filter_map(|health| health.try_fallback_leader(now).then_some(&health.service));
        switched.cloned().collect()
    }

    /// Marks databases that are missing from a full snapshot as gone, except those that were updated recently.
    pub fn mark_missing(&mut self, ids: &hashbrown::HashSet<&str>, now: u64) {
        let is_absent =
            |database: &&mut DatabaseHealth| !database.instance.gone && !ids.contains(database.instance.id.as_str());
        let is_old = |database: &&mut DatabaseHealth| database.updated_at + SNAPSHOT_GRACE_US <= now;
        let databases = self.services.iter_mut().flat_map(ServiceHealth::databases_mut);
        databases
            .filter(is_absent)
            .filter(is_old)
            .for_each(|database| (database.instance.gone, database.is_missing_from_snapshot) = (true, true));
    }
}
