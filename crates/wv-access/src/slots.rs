//! Shards that are planned to be split: which service has a slot, which connections a map binds to, what has to wait.
use crate::core::{Core, Map};
use crate::types::{Verb, What};
use std::rc::Rc;
use wv_health::Spot;
use wv_internal_protocol::{SlotMap, SplitPhase};

/// A plan that is this young may not have a map yet: its shard is served as before meanwhile.
const MAP_GRACE_US: u64 = 10_000_000;
/// Splits of what was split before are followed this far.
const MAX_SPLIT_HOPS: usize = 8;

/// What this node holds of one planned shard.
#[derive(Default)]
pub(crate) struct PlannedShard {
    pub map: SlotMap,
    /// The try whose holder knows that this node writes.
    pub acked_attempt: u64,
    pub dirty_keys: crate::split_reports::DirtyKeyTracker,
    pub key_sampler: crate::split_reports::KeySampler,
}

#[derive(Default)]
pub(crate) struct SlotState {
    pub shards: Map<String, PlannedShard>,
    /// The planned shards that have no map here, and since when they are known to be planned.
    pub shards_without_map: Map<String, u64>,
    /// Tells this process from those before it.
    pub incarnation: u64,
    pub is_report_due: bool,
}

/// What a request has to do with slots: the thing it names, and that thing's slot.
#[derive(Clone, Default)]
pub struct RequestKey {
    pub key: Vec<u8>,
    pub slot: Option<u16>,
    /// The bytes that it writes.
    pub write_bytes: u32,
}

impl Core {
    /// Set once, before anything is told: which life of this node it is.
    pub fn set_incarnation(&mut self, life: u64) {
        self.slots.incarnation = life;
    }

    pub(crate) fn has_planned_shards(&self) -> bool {
        !self.slots.shards.is_empty() || !self.slots.shards_without_map.is_empty()
    }

    /// The plans of a configuration that came into force.
    pub(crate) fn set_shard_plans(&mut self, conf: &wv_configuration::Conf) {
        let now = self.now;
        let slots = &mut self.slots;
        slots.shards_without_map.retain(|shard, _| conf.plans.iter().any(|plan| plan.shard == *shard));
        for plan in conf.plans.iter().filter(|plan| !slots.shards.contains_key(&plan.shard)) {
            slots.shards_without_map.entry(plan.shard.clone()).or_insert(now);
        }
    }

    /// Which service has this slot of `service`'s: the shard itself, or wherever splits have moved it.
    pub(crate) fn service_for_slot(&self, service: &str, slot: Option<u16>) -> Rc<str> {
        let mut place = service;
        for _ in 0..MAX_SPLIT_HOPS {
            let next = slot.and_then(|slot| self.slots.shards.get(place).map(|shard| shard.map.service_for(slot)));
            match next.filter(|next| *next != place) {
                Some(next) => place = next,
                None => break,
            }
        }
        Rc::from(place)
    }

    /// The service that the client's open request, or its transaction, belongs to.
    pub(crate) fn service_for_request(&self, id: u64) -> Option<Rc<str>> {
        let client = self.clients.get(&id)?;
        let route = client.request.route.as_ref()?;
        if !self.has_planned_shards() {
            return Some(Rc::from(route.service.as_str()));
        }
        let slot = client.txn.as_ref().and_then(|txn| txn.slot).or(client.request.named.slot);
        Some(self.service_for_slot(&route.service, slot))
    }

    /// Whether a transaction that began on one shard now names a thing of another.
    pub(crate) fn is_cross_shard(&self, id: u64) -> bool {
        let Some(client) = self.clients.get(&id).filter(|_| self.has_planned_shards()) else { return false };
        let (Some(route), Some(txn)) = (client.request.route.as_ref(), client.txn.as_ref()) else { return false };
        let slots = txn.slot.zip(client.request.named.slot);
        slots.is_some_and(|(first, next)| {
            first != next
                && self.service_for_slot(&route.service, Some(first))
                    != self.service_for_slot(&route.service, Some(next))
        })
    }

    /// Whether the request has to wait: a write to what moves while that is sealed, or while it is copied and the holder
    /// does not know yet that this node writes; the first write to a thing whose name is not kept yet; anything of the
    /// primary's while the map is missing.
    pub(crate) fn must_wait_for_split(&mut self, id: u64) -> bool {
        if !self.has_planned_shards() {
            return false;
        }
        let Some(service) = self.service_for_request(id) else { return false };
        let Some(client) = self.clients.get(&id) else { return false };
        let is_young = |since: &u64| *since + MAP_GRACE_US > self.now;
        if self.slots.shards_without_map.get(&*service).is_some_and(|since| !is_young(since)) {
            return client.request.kind() == 0;
        }
        let (named, is_write) = (&client.request.named, client.request.verb() == Verb::Write);
        let Some(shard) = self.slots.shards.get_mut(&*service).filter(|_| is_write) else { return false };
        let is_moving = named.slot.is_some_and(|slot| shard.map.is_moving(slot));
        let is_shut = is_moving
            && match shard.map.phase {
                SplitPhase::Resting => false,
                SplitPhase::Copying => shard.acked_attempt != shard.map.attempt,
                SplitPhase::Sealed => true,
            };
        let is_named = named.key.is_empty() || shard.key_sampler.require_acked(&named.key);
        self.slots.is_report_due |= !is_named && shard.key_sampler.is_report_due();
        is_shut || !is_named
    }

    /// What is written to a thing that is being copied is kept in mind before it is sent, and marked when it is over.
    pub(crate) fn track_split_write(&mut self, id: u64) {
        if self.slots.shards.is_empty() {
            return;
        }
        let Some(service) = self.service_for_request(id) else { return };
        let Some(client) = self.clients.get(&id) else { return };
        let (named, is_write) = (&client.request.named, client.request.verb() == Verb::Write);
        let Some(shard) = self.slots.shards.get_mut(&*service) else { return };
        let is_moving = named.slot.is_some_and(|slot| shard.map.is_moving(slot));
        if is_write && is_moving && shard.map.phase == SplitPhase::Copying {
            let txn = client.txn.as_ref().map(|txn| txn.at);
            shard.dirty_keys.track_write(&named.key, id, client.request.number, txn);
        }
    }

    /// The term that primary work at this spot is bound to; 0 where it is not bound.
    fn required_term(&self, spot: Spot) -> u64 {
        let Some(checker) = self.checks.checker(spot.service).filter(|_| !self.slots.shards.is_empty()) else {
            return 0;
        };
        let is_lead = checker.leader() == Some(spot.seat);
        self.slots.shards.get(&checker.service).filter(|_| is_lead).map_or(0, |shard| shard.map.term)
    }

    /// Whether databases at this spot are asked for their term when a connection stands.
    pub(crate) fn needs_term_query(&self, spot: Spot) -> bool {
        let Some(checker) = self.checks.checker(spot.service).filter(|_| self.has_planned_shards()) else {
            return false;
        };
        self.slots.shards.contains_key(&checker.service) || self.slots.shards_without_map.contains_key(&checker.service)
    }

    /// How a connection stands to the map: fit for use, too old for it, or newer than it.
    pub(crate) fn compare_term(&self, db: u64) -> std::cmp::Ordering {
        let Some(held) = self.dbs.get(&db) else { return std::cmp::Ordering::Less };
        let bound = self.required_term(held.spot);
        if bound == 0 {
            return std::cmp::Ordering::Equal;
        }
        held.term.cmp(&bound)
    }

    /// The lead or the map of a service changed: idle connections that no longer fit go, early ones may fit now.
    pub(crate) fn recheck_connections(&mut self, service: &str) {
        if self.slots.shards.is_empty() {
            return;
        }
        let Some(number) = self.checks.find(service) else { return };
        let spots: Vec<Spot> = self.pools.keys().filter(|spot| spot.service == number).copied().collect();
        for spot in spots {
            let Some(pool) = self.pools.get_mut(&spot) else { continue };
            let all: Vec<u64> = pool.idle.drain(..).chain(pool.early.drain(..)).collect();
            all.into_iter().for_each(|db| self.free_db(db));
        }
    }

    /// A database said under which term it is.
    pub(crate) fn note_reported_term(&mut self, db: u64, row: &[u8]) {
        // What it said as a replica is not what it leads under: such a connection fits no map.
        let lead = wv_wire_protocol::parse_status(row).filter(|status| status.is_primary);
        let term = lead.map_or(0, |status| status.term);
        self.dbs.get_mut(&db).into_iter().for_each(|held| held.term = term);
    }

    pub(crate) fn query_term(&mut self, db: u64) {
        let now = self.now;
        let Some(held) = self.dbs.get_mut(&db) else { return };
        wv_wire_protocol::write_query(&mut held.out, b"-", &[b"ENQUIRY"]);
        held.expects.push_back(crate::types::Expect { what: What::Probe, sent: now, is_fenced: false });
        self.acts.push(crate::Act::WriteDb(db));
    }

    /// A map came: what it takes from this node binds at once, and what waited for it goes on.
    pub(crate) fn apply_slot_map(&mut self, map: SlotMap) {
        let name = map.shard.clone();
        if self.slots.shards.get(&name).is_some_and(|shard| shard.map.version >= map.version) {
            return;
        }
        self.slots.shards_without_map.remove(&name);
        let shard = self.slots.shards.entry(name.clone()).or_default();
        let old = std::mem::replace(&mut shard.map, map);
        let map = &shard.map;
        // The holder hears that this node writes, or that it writes no more.
        let is_told = old.attempt != map.attempt || old.phase != map.phase;
        if map.phase != SplitPhase::Resting && is_told {
            shard.dirty_keys.request_report(map.phase == SplitPhase::Sealed);
            self.slots.is_report_due = true;
        }
        // Sightings of a target from before rows came to it say nothing of them.
        let gained: Vec<String> =
            map.moved.iter().filter(|range| !old.moved.contains(range)).map(|range| range.target.clone()).collect();
        for target in gained {
            let now = self.now;
            let service = self.checks.service(&target);
            self.checks.checker_mut(service).into_iter().for_each(|checker| checker.fenced.reset(now));
        }
        self.recheck_connections(&name);
    }
}
