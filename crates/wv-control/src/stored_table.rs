//! The table of databases on disk, used as hints after a restart until heartbeats arrive.
use crate::core::{Core, LOCAL_KEY_PREFIX};
use wv_internal_protocol::{FeedUpdate, Instance, Leader};

/// Larger tables are not stored; heartbeats restore them soon after a restart.
const TABLE_MAX_BYTES: usize = 1 << 20;

/// A database as stored on disk. The age of its leave is not stored, as it is unknown after a restart.
#[derive(nanoserde::SerBin, nanoserde::DeBin)]
struct StoredInstance {
    id: String,
    service: String,
    addr: String,
    zone: String,
    capacity: u32,
    draining: bool,
    cold_us: u64,
    primary: bool,
    sequence: u64,
    gone: bool,
}

impl From<&Instance> for StoredInstance {
    fn from(instance: &Instance) -> StoredInstance {
        StoredInstance {
            id: instance.id.clone(),
            service: instance.service.clone(),
            addr: instance.address.clone(),
            zone: instance.zone.clone(),
            capacity: instance.capacity,
            draining: instance.draining,
            cold_us: instance.cold_left_us,
            primary: instance.primary,
            sequence: instance.sequence,
            gone: instance.gone,
        }
    }
}

impl From<StoredInstance> for Instance {
    fn from(stored: StoredInstance) -> Instance {
        Instance {
            id: stored.id,
            service: stored.service,
            address: stored.addr,
            zone: stored.zone,
            capacity: stored.capacity,
            draining: stored.draining,
            cold_left_us: stored.cold_us,
            primary: stored.primary,
            sequence: stored.sequence,
            gone: stored.gone,
            leaving_age_us: wv_internal_protocol::UNKNOWN_AGE_US,
        }
    }
}

#[derive(nanoserde::SerBin, nanoserde::DeBin, Default)]
struct StoredTable {
    instances: Vec<StoredInstance>,
    leaders: Vec<Leader>,
    nodes: u32,
}

fn table_key() -> String {
    format!("{LOCAL_KEY_PREFIX}table")
}

impl Core {
    /// Writes the table to disk if it changed.
    pub(crate) fn store_table(&mut self) {
        if !std::mem::take(&mut self.is_table_unsaved) {
            return;
        }
        let needed = self.required_departures();
        let stored = StoredTable {
            instances: self
                .table
                .iter()
                .filter(|instance| !instance.gone || needed.contains(&instance.id))
                .map(StoredInstance::from)
                .collect(),
            leaders: self.feed.leaders().cloned().collect(),
            nodes: self.published_node_count,
        };
        let value = nanoserde::SerBin::serialize_bin(&stored);
        if value.len() <= TABLE_MAX_BYTES {
            if let Err(error) = self.store.put_local(&table_key(), value) {
                log::warn!("cannot store the table of databases, keeping the previous one: {error}");
            }
        }
    }

    /// Loads hints only: each connection names the id it expects, and databases fence their own leadership.
    pub(crate) fn load_table(&mut self) {
        self.load_owners();
        let stored: Option<StoredTable> = self
            .store
            .get(&table_key())
            .and_then(|register| nanoserde::DeBin::deserialize_bin(&register.value.bytes).ok());
        let Some(stored) = stored else { return };
        // Until the other nodes have had time to return, connections are shared among as many nodes as before the
        // restart: shares computed over the few nodes already back would overload the databases once all return.
        self.stored_node_count = stored.nodes;
        // A departed database may have held records that no other one has, so departures are restored as well.
        let (gone, here): (Vec<Instance>, Vec<Instance>) =
            stored.instances.into_iter().map(Instance::from).partition(|instance: &Instance| instance.gone);
        for instance in gone {
            self.departures.insert(instance.id.clone(), Default::default());
            self.table.merge(Instance { gone: false, ..instance.clone() });
            self.table.merge(instance);
        }
        for instance in here {
            if !instance.primary {
                self.leadership.replicas.insert(instance.id.clone());
            }
            let changed = self.table.merge(instance);
            changed.into_iter().for_each(|instance| self.publish(FeedUpdate::Instance(instance)));
        }
        stored.leaders.into_iter().for_each(|leader| self.publish(FeedUpdate::Leader(leader)));
    }
}
