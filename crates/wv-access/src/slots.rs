//! Shards with a planned split: which service holds a slot, which connections match the slot map, which requests wait.
use crate::core::{Core, Map};
use crate::types::{Reply, Verb};
use std::rc::Rc;
use wv_health::DatabaseKey;
use wv_internal_protocol::{SlotMap, SplitPhase};

/// Maximum length of a chain of splits that is followed.
const MAX_SPLIT_HOPS: usize = 8;

/// State of one shard with a planned split.
#[derive(Default)]
pub(crate) struct PlannedShard {
    pub map: SlotMap,
    /// The first term that a connection reported under a map without a term. Connections of other terms wait for a map
    /// that names theirs.
    first_reported_term: u64,
    /// The split attempt whose coordinator knows that this node writes.
    pub acked_attempt: u64,
    pub dirty_keys: crate::split_reports::DirtyKeyTracker,
    pub key_sampler: crate::split_reports::KeySampler,
}

#[derive(Default)]
pub(crate) struct SlotState {
    pub shards: Map<String, PlannedShard>,
    /// Planned shards whose slot map has not arrived. Their slots may have moved, so none of their requests is sent.
    pub shards_without_map: std::collections::BTreeSet<String>,
    /// Slot maps of shards that the configuration has no plan for.
    pub unplanned_maps: Map<String, SlotMap>,
    /// Distinguishes this process from earlier ones of the same node.
    pub incarnation: u64,
    pub is_report_due: bool,
}

/// The key that a request names, and the key's slot.
#[derive(Clone, Default)]
pub struct RequestKey {
    pub key: Vec<u8>,
    pub slot: Option<u16>,
    /// Size of the written value.
    pub write_bytes: u32,
}

impl Core {
    /// Must be set once, before any message is sent.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.slots.incarnation = incarnation;
    }

    pub(crate) fn has_planned_shards(&self) -> bool {
        !self.slots.shards.is_empty() || !self.slots.shards_without_map.is_empty()
    }

    /// The service that holds this slot of `service`: the shard itself, or the one that splits have moved it to.
    pub(crate) fn service_for_slot(&self, service: &str, slot: Option<u16>) -> Rc<str> {
        let mut target = service;
        for _ in 0..MAX_SPLIT_HOPS {
            let next = slot.and_then(|slot| self.slots.shards.get(target).map(|shard| shard.map.service_for(slot)));
            match next.filter(|next| *next != target) {
                Some(next) => target = next,
                None => break,
            }
        }
        Rc::from(target)
    }

    /// The service that the client's open request, or its transaction, belongs to.
    pub(crate) fn service_for_request(&self, id: u64) -> Option<Rc<str>> {
        let client = self.clients.get(&id)?;
        let route = client.request.route.as_ref()?;
        if !self.has_planned_shards() {
            return Some(Rc::from(route.service.as_str()));
        }
        let slot = client.txn.as_ref().and_then(|txn| txn.slot).or(client.request.target_key.slot);
        Some(self.service_for_slot(&route.service, slot))
    }

    /// Whether a transaction that began on one shard now names a key of another.
    pub(crate) fn is_cross_shard(&self, id: u64) -> bool {
        let Some(client) = self.clients.get(&id).filter(|_| self.has_planned_shards()) else { return false };
        let (Some(route), Some(txn)) = (client.request.route.as_ref(), client.txn.as_ref()) else { return false };
        let slots = txn.slot.zip(client.request.target_key.slot);
        slots.is_some_and(|(first, next)| {
            first != next
                && self.service_for_slot(&route.service, Some(first))
                    != self.service_for_slot(&route.service, Some(next))
        })
    }

    /// Whether the request has to wait: any request while the slot map is missing; a write to a moving slot while it is
    /// sealed, or while it is copied and the coordinator does not yet know that this node writes; the first write to a
    /// key that the coordinator has not yet persisted.
    pub(crate) fn must_wait_for_split(&mut self, id: u64) -> bool {
        if !self.has_planned_shards() {
            return false;
        }
        let Some(service) = self.service_for_request(id) else { return false };
        let Some(client) = self.clients.get(&id) else { return false };
        if self.slots.shards_without_map.contains(&*service) {
            return true;
        }
        let (target_key, is_write) = (&client.request.target_key, client.request.verb() == Verb::Write);
        let Some(shard) = self.slots.shards.get_mut(&*service).filter(|_| is_write) else { return false };
        let is_moving = target_key.slot.is_some_and(|slot| shard.map.is_moving(slot));
        let is_blocked = is_moving
            && match shard.map.phase {
                SplitPhase::Resting => false,
                SplitPhase::Copying => shard.acked_attempt != shard.map.attempt,
                SplitPhase::Sealed => true,
            };
        let is_key_acked = target_key.key.is_empty() || shard.key_sampler.require_acked(&target_key.key);
        self.slots.is_report_due |= !is_key_acked && shard.key_sampler.is_report_due();
        is_blocked || !is_key_acked
    }

    /// Tracks a write to a key that is being copied, so that the key is reported as dirty when the write is finished.
    pub(crate) fn track_split_write(&mut self, id: u64) {
        if self.slots.shards.is_empty() {
            return;
        }
        let Some(service) = self.service_for_request(id) else { return };
        let Some(client) = self.clients.get(&id) else { return };
        let (target_key, is_write) = (&client.request.target_key, client.request.verb() == Verb::Write);
        let Some(shard) = self.slots.shards.get_mut(&*service) else { return };
        let is_moving = target_key.slot.is_some_and(|slot| shard.map.is_moving(slot));
        if is_write && is_moving && shard.map.phase == SplitPhase::Copying {
            let txn = client.txn.as_ref().map(|txn| txn.first_byte_at);
            shard.dirty_keys.track_write(&target_key.key, id, client.request.sequence, txn);
        }
    }

    /// The planned shard that the database leads.
    fn planned_shard_of_leader(&self, key: DatabaseKey) -> Option<&PlannedShard> {
        let checker = self.health.service(key.service).filter(|_| !self.slots.shards.is_empty())?;
        let is_leader = checker.leader() == Some(key.index);
        self.slots.shards.get(&checker.service).filter(|_| is_leader)
    }

    /// Whether a new connection to `key` has to query the database's term.
    pub(crate) fn needs_term_query(&self, key: DatabaseKey) -> bool {
        let Some(checker) = self.health.service(key.service).filter(|_| self.has_planned_shards()) else {
            return false;
        };
        self.slots.shards.contains_key(&checker.service) || self.slots.shards_without_map.contains(&checker.service)
    }

    /// Compares a connection's term with the one that the slot map requires: equal, older or newer.
    pub(crate) fn compare_term(&self, db: u64) -> std::cmp::Ordering {
        let Some(connection) = self.connections.get(&db) else { return std::cmp::Ordering::Less };
        let Some(shard) = self.planned_shard_of_leader(connection.key) else { return std::cmp::Ordering::Equal };
        match shard.map.term.max(shard.first_reported_term) {
            // No term is known yet; a connection that has not reported one may be of any.
            0 => connection.term.cmp(&1).min(std::cmp::Ordering::Equal),
            required => connection.term.cmp(&required),
        }
    }

    /// Rechecks unused connections after the leader or slot map of a service changed: outdated ones are closed, and
    /// those ahead of the map may have become usable.
    pub(crate) fn recheck_connections(&mut self, service: &str) {
        if self.slots.shards.is_empty() {
            return;
        }
        let Some(number) = self.health.service_index(service) else { return };
        let keys: Vec<DatabaseKey> = self.pools.keys().filter(|key| key.service == number).copied().collect();
        for key in keys {
            let Some(pool) = self.pools.get_mut(&key) else { continue };
            let all: Vec<u64> = pool.idle.drain(..).chain(pool.newer_term.drain(..)).collect();
            all.into_iter().for_each(|db| self.release_db(db));
        }
    }

    /// Stores the term that a database reported for a connection.
    pub(crate) fn note_reported_term(&mut self, db: u64, row: &[u8]) {
        // A replica's term is not one that it leads in; term 0 matches no slot map.
        let primary = wv_wire_protocol::parse_status(row).filter(|status| status.is_primary);
        let term = primary.map_or(0, |status| status.term);
        let Some(connection) = self.connections.get_mut(&db) else { return };
        connection.term = term;
        let key = connection.key;
        if self.planned_shard_of_leader(key).is_none_or(|shard| shard.map.term.max(shard.first_reported_term) > 0) {
            return;
        }
        let service = self.health.service(key.service).map(|checker| checker.service.as_str()).unwrap_or_default();
        self.slots.shards.get_mut(service).into_iter().for_each(|shard| shard.first_reported_term = term);
    }

    pub(crate) fn query_term(&mut self, db: u64) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&db) else { return };
        wv_wire_protocol::write_query(&mut connection.out, b"-", &[b"ENQUIRY"]);
        connection.pending.push_back(crate::types::Pending { kind: Reply::Probe, sent_at: now, is_fenced: false });
        self.effects.push(crate::Effect::WriteDb(db));
    }
}
