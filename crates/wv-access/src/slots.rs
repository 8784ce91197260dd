//! Shards that are planned to be split: which service has a slot, which connections a map binds to, what has to wait.
use crate::core::{Core, Map};
use crate::types::{Reply, Verb};
use std::rc::Rc;
use wv_health::Spot;
use wv_internal_protocol::{SlotMap, SplitPhase};

/// A plan that is this young may not have a map yet: its shard is served as before meanwhile.
const YOUNG_US: u64 = 10_000_000;
/// Splits of what was split before are followed this far.
const HOPS_MAX: usize = 8;

/// What this node holds of one planned shard.
#[derive(Default)]
pub(crate) struct Shard {
    pub map: SlotMap,
    /// The try whose holder knows that this node writes.
    pub joined: u64,
    pub marks: crate::reports::Marking,
    pub fill: crate::reports::Filling,
}

#[derive(Default)]
pub(crate) struct Slots {
    pub shards: Map<String, Shard>,
    /// The planned shards that have no map here, and since when they are known to be planned.
    pub awaited: Map<String, u64>,
    /// Tells this process from those before it.
    pub life: u64,
    pub is_due: bool,
}

/// What a request has to do with slots: the thing it names, and that thing's slot.
#[derive(Clone, Default)]
pub struct Named {
    pub thing: Vec<u8>,
    pub slot: Option<u16>,
    /// The bytes that it writes.
    pub bytes: u32,
}

impl Core {
    /// Set once, before anything is told: which life of this node it is.
    pub fn set_life(&mut self, life: u64) {
        self.slots.life = life;
    }

    pub(crate) fn has_slots(&self) -> bool {
        !self.slots.shards.is_empty() || !self.slots.awaited.is_empty()
    }

    /// The plans of a configuration that came into force.
    pub(crate) fn set_plans(&mut self, conf: &wv_configuration::Conf) {
        let now = self.now;
        let slots = &mut self.slots;
        slots.awaited.retain(|shard, _| conf.plans.iter().any(|plan| plan.shard == *shard));
        for plan in conf.plans.iter().filter(|plan| !slots.shards.contains_key(&plan.shard)) {
            slots.awaited.entry(plan.shard.clone()).or_insert(now);
        }
    }

    /// Which service has this slot of `service`'s: the shard itself, or wherever splits have moved it.
    pub(crate) fn place_of(&self, service: &str, slot: Option<u16>) -> Rc<str> {
        let mut place = service;
        for _ in 0..HOPS_MAX {
            let next = slot.and_then(|slot| self.slots.shards.get(place).map(|shard| shard.map.service_for(slot)));
            match next.filter(|next| *next != place) {
                Some(next) => place = next,
                None => break,
            }
        }
        Rc::from(place)
    }

    /// The service that the client's open request, or its transaction, belongs to.
    pub(crate) fn service_of(&self, id: u64) -> Option<Rc<str>> {
        let client = self.clients.get(&id)?;
        let route = client.request.route.as_ref()?;
        if !self.has_slots() {
            return Some(Rc::from(route.service.as_str()));
        }
        let slot = client.txn.as_ref().and_then(|txn| txn.slot).or(client.request.target_key.slot);
        Some(self.place_of(&route.service, slot))
    }

    /// Whether a transaction that began on one shard now names a thing of another.
    pub(crate) fn is_across(&self, id: u64) -> bool {
        let Some(client) = self.clients.get(&id).filter(|_| self.has_slots()) else { return false };
        let (Some(route), Some(txn)) = (client.request.route.as_ref(), client.txn.as_ref()) else { return false };
        let slots = txn.slot.zip(client.request.target_key.slot);
        slots.is_some_and(|(first, next)| {
            first != next && self.place_of(&route.service, Some(first)) != self.place_of(&route.service, Some(next))
        })
    }

    /// Whether the request has to wait: a write to what moves while that is sealed, or while it is copied and the holder
    /// does not know yet that this node writes; the first write to a thing whose name is not kept yet; anything of the
    /// primary's while the map is missing.
    pub(crate) fn is_gated(&mut self, id: u64) -> bool {
        if !self.has_slots() {
            return false;
        }
        let Some(service) = self.service_of(id) else { return false };
        let Some(client) = self.clients.get(&id) else { return false };
        let is_young = |since: &u64| *since + YOUNG_US > self.now;
        if self.slots.awaited.get(&*service).is_some_and(|since| !is_young(since)) {
            return client.request.route_class() == 0;
        }
        let (named, is_write) = (&client.request.target_key, client.request.verb() == Verb::Write);
        let Some(shard) = self.slots.shards.get_mut(&*service).filter(|_| is_write) else { return false };
        let is_moving = named.slot.is_some_and(|slot| shard.map.is_moving(slot));
        let is_shut = is_moving
            && match shard.map.phase {
                SplitPhase::Resting => false,
                SplitPhase::Copying => shard.joined != shard.map.attempt,
                SplitPhase::Sealed => true,
            };
        let is_named = named.thing.is_empty() || shard.fill.knows(&named.thing);
        self.slots.is_due |= !is_named && shard.fill.is_due();
        is_shut || !is_named
    }

    /// What is written to a thing that is being copied is kept in mind before it is sent, and marked when it is over.
    pub(crate) fn mark(&mut self, id: u64) {
        if self.slots.shards.is_empty() {
            return;
        }
        let Some(service) = self.service_of(id) else { return };
        let Some(client) = self.clients.get(&id) else { return };
        let (named, is_write) = (&client.request.target_key, client.request.verb() == Verb::Write);
        let Some(shard) = self.slots.shards.get_mut(&*service) else { return };
        let is_moving = named.slot.is_some_and(|slot| shard.map.is_moving(slot));
        if is_write && is_moving && shard.map.phase == SplitPhase::Copying {
            let txn = client.txn.as_ref().map(|txn| txn.first_byte_at);
            shard.marks.begin(&named.thing, id, client.request.sequence, txn);
        }
    }

    /// The term that primary work at this spot is bound to; 0 where it is not bound.
    fn bound(&self, spot: Spot) -> u64 {
        let Some(checker) = self.checks.checker(spot.service).filter(|_| !self.slots.shards.is_empty()) else {
            return 0;
        };
        let is_lead = checker.leader() == Some(spot.seat);
        self.slots.shards.get(&checker.service).filter(|_| is_lead).map_or(0, |shard| shard.map.term)
    }

    /// Whether databases at this spot are asked for their term when a connection stands.
    pub(crate) fn is_probed(&self, spot: Spot) -> bool {
        let Some(checker) = self.checks.checker(spot.service).filter(|_| self.has_slots()) else { return false };
        self.slots.shards.contains_key(&checker.service) || self.slots.awaited.contains_key(&checker.service)
    }

    /// How a connection stands to the map: fit for use, too old for it, or newer than it.
    pub(crate) fn fitness(&self, db: u64) -> std::cmp::Ordering {
        let Some(held) = self.dbs.get(&db) else { return std::cmp::Ordering::Less };
        let bound = self.bound(held.spot);
        if bound == 0 {
            return std::cmp::Ordering::Equal;
        }
        held.term.cmp(&bound)
    }

    /// The lead or the map of a service changed: idle connections that no longer fit go, early ones may fit now.
    pub(crate) fn refit(&mut self, service: &str) {
        if self.slots.shards.is_empty() {
            return;
        }
        let Some(number) = self.checks.find(service) else { return };
        let spots: Vec<Spot> = self.pools.keys().filter(|spot| spot.service == number).copied().collect();
        for spot in spots {
            let Some(pool) = self.pools.get_mut(&spot) else { continue };
            let all: Vec<u64> = pool.idle.drain(..).chain(pool.newer_term.drain(..)).collect();
            all.into_iter().for_each(|db| self.release_db(db));
        }
    }

    /// A database said under which term it is.
    pub(crate) fn probed(&mut self, db: u64, row: &[u8]) {
        // What it said as a replica is not what it leads under: such a connection fits no map.
        let lead = wv_wire_protocol::parse_status(row).filter(|status| status.is_primary);
        let term = lead.map_or(0, |status| status.term);
        self.dbs.get_mut(&db).into_iter().for_each(|held| held.term = term);
    }

    pub(crate) fn probe(&mut self, db: u64) {
        let now = self.now;
        let Some(held) = self.dbs.get_mut(&db) else { return };
        wv_wire_protocol::write_query(&mut held.out, b"-", &[b"ENQUIRY"]);
        held.pending.push_back(crate::types::Pending { kind: Reply::Probe, sent_at: now, is_fenced: false });
        self.effects.push(crate::Effect::WriteDb(db));
    }

    /// A map came: what it takes from this node binds at once, and what waited for it goes on.
    pub(crate) fn take_slots(&mut self, map: SlotMap) {
        let name = map.shard.clone();
        if self.slots.shards.get(&name).is_some_and(|shard| shard.map.version >= map.version) {
            return;
        }
        self.slots.awaited.remove(&name);
        let shard = self.slots.shards.entry(name.clone()).or_default();
        let old = std::mem::replace(&mut shard.map, map);
        let map = &shard.map;
        // The holder hears that this node writes, or that it writes no more.
        let is_told = old.attempt != map.attempt || old.phase != map.phase;
        if map.phase != SplitPhase::Resting && is_told {
            shard.marks.tell(map.phase == SplitPhase::Sealed);
            self.slots.is_due = true;
        }
        // Sightings of a target from before rows came to it say nothing of them.
        let gained: Vec<String> =
            map.moved.iter().filter(|range| !old.moved.contains(range)).map(|range| range.target.clone()).collect();
        for target in gained {
            let now = self.now;
            let service = self.checks.service(&target);
            self.checks.checker_mut(service).into_iter().for_each(|checker| checker.fenced.reset(now));
        }
        self.refit(&name);
    }
}
