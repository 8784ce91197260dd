//! What a control node recalls of the databases after a restart: hints from its own disk until beats come.
use crate::core::{Core, LOCAL};
use wv_internal_protocol::{FeedUpdate, Instance, Leader};

/// More than this is not kept; beats bring the rest within moments.
const KEPT_MAX: usize = 1 << 20;

/// A database as it stands on disk. How long ago it said that it leaves is not kept: after a restart nobody knows.
#[derive(nanoserde::SerBin, nanoserde::DeBin)]
struct KeptInst {
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

impl From<&Instance> for KeptInst {
    fn from(inst: &Instance) -> KeptInst {
        KeptInst {
            id: inst.id.clone(),
            service: inst.service.clone(),
            addr: inst.address.clone(),
            zone: inst.zone.clone(),
            capacity: inst.capacity,
            draining: inst.draining,
            cold_us: inst.cold_left_us,
            primary: inst.primary,
            sequence: inst.sequence,
            gone: inst.gone,
        }
    }
}

impl From<KeptInst> for Instance {
    fn from(kept: KeptInst) -> Instance {
        Instance {
            id: kept.id,
            service: kept.service,
            address: kept.addr,
            zone: kept.zone,
            capacity: kept.capacity,
            draining: kept.draining,
            cold_left_us: kept.cold_us,
            primary: kept.primary,
            sequence: kept.sequence,
            gone: kept.gone,
            leaving_age_us: wv_internal_protocol::UNKNOWN_AGE_US,
        }
    }
}

#[derive(nanoserde::SerBin, nanoserde::DeBin, Default)]
struct Kept {
    insts: Vec<KeptInst>,
    leads: Vec<Leader>,
    nodes: u32,
}

fn key() -> String {
    format!("{LOCAL}table")
}

impl Core {
    /// Puts the table on this disk when it changed.
    pub(crate) fn keep_table(&mut self) {
        if !std::mem::take(&mut self.is_table_unsaved) {
            return;
        }
        let needed = self.needed();
        let kept = Kept {
            insts: self
                .table
                .iter()
                .filter(|inst| !inst.gone || needed.contains(&inst.id))
                .map(KeptInst::from)
                .collect(),
            leads: self.feed.leads().cloned().collect(),
            nodes: self.published_node_count,
        };
        let value = nanoserde::SerBin::serialize_bin(&kept);
        if value.len() <= KEPT_MAX {
            if let Err(error) = self.store.put_local(&key(), value) {
                log::warn!("the table of databases is not kept: {error}");
            }
        }
    }

    /// Hints only: each connection names the id it expects, and the databases themselves fence their lead.
    pub(crate) fn recall_table(&mut self) {
        self.recall_owners();
        let kept: Option<Kept> =
            self.store.get(&key()).and_then(|held| nanoserde::DeBin::deserialize_bin(&held.value.bytes).ok());
        let Some(kept) = kept else { return };
        // Until all had time to come back the nodes share the connections as before: all returning at once,
        // each with a share counted over the few that are already here, would overrun the databases.
        self.stored_node_count = kept.nodes;
        // One that left may have held what nobody else does, also if this node has only just come back.
        let (gone, here): (Vec<Instance>, Vec<Instance>) =
            kept.insts.into_iter().map(Instance::from).partition(|inst: &Instance| inst.gone);
        for inst in gone {
            self.departures.insert(inst.id.clone(), Default::default());
            self.table.offer(Instance { gone: false, ..inst.clone() });
            self.table.offer(inst);
        }
        for inst in here {
            if !inst.primary {
                self.leadership.replicas.insert(inst.id.clone());
            }
            let changed = self.table.offer(inst);
            changed.into_iter().for_each(|inst| self.publish(FeedUpdate::Instance(inst)));
        }
        kept.leads.into_iter().for_each(|lead| self.publish(FeedUpdate::Leader(lead)));
    }
}
