//! Plans of shard splits and their slot maps, as configurations and the feed announce them.
use crate::core::Core;
use crate::slots::PlannedShard;
use wv_internal_protocol::{SlotMap, SplitPhase};

impl Core {
    /// Takes over the shard plans of a new configuration. A shard without a plan is served as any other service; if the
    /// plan is made again, all that was tracked under the earlier one is tracked anew.
    pub(crate) fn set_shard_plans(&mut self, configuration: &wv_configuration::Configuration) {
        let slots = &mut self.slots;
        let is_planned = |shard: &str| configuration.shard_plans.iter().any(|plan| plan.shard == shard);
        let is_withdrawn = |(name, shard): (&String, &PlannedShard)| {
            (!is_planned(name) && shard.map.moved.is_empty()).then(|| name.clone())
        };
        let withdrawn: Vec<String> = slots.shards.iter().filter_map(is_withdrawn).collect();
        for name in withdrawn {
            let shard = slots.shards.remove(&name);
            slots.unplanned_maps.extend(shard.map(|shard| (name, shard.map)));
        }
        slots.shards_without_map.retain(|shard| is_planned(shard));
        for plan in &configuration.shard_plans {
            match self.slots.unplanned_maps.remove(&plan.shard) {
                Some(map) => self.activate_slot_map(map),
                None if self.slots.shards.contains_key(&plan.shard) => {}
                None => _ = self.slots.shards_without_map.insert(plan.shard.clone()),
            }
        }
    }

    /// Finds the keys of requests that were opened before their shard had a plan and have not been sent.
    fn resolve_open_keys(&mut self) {
        for client in self.clients.values_mut().filter(|client| client.request.is_open) {
            let request = &mut client.request;
            if request.target_key.key.is_empty() {
                request.target_key = crate::request::target_key_of(&request.text, request.statement_id.is_some());
            }
        }
    }

    /// Applies a newer slot map; it takes effect at once. Without a plan it is only kept, unless slots have moved.
    pub(crate) fn apply_slot_map(&mut self, map: SlotMap) {
        let slots = &mut self.slots;
        let known = slots.shards.get(&map.shard).map(|shard| &shard.map).or(slots.unplanned_maps.get(&map.shard));
        if known.is_some_and(|known| known.version >= map.version) {
            return;
        }
        let is_planned = slots.shards_without_map.remove(&map.shard) || slots.shards.contains_key(&map.shard);
        if is_planned || !map.moved.is_empty() {
            self.activate_slot_map(map);
        } else {
            slots.unplanned_maps.insert(map.shard.clone(), map);
        }
    }

    fn activate_slot_map(&mut self, map: SlotMap) {
        let name = map.shard.clone();
        let is_new = !self.slots.shards.contains_key(&name);
        let shard = self.slots.shards.entry(name.clone()).or_default();
        // The map was reset, because the plan is new: names that were acknowledged under an earlier plan may be gone.
        if map.term == 0 {
            *shard = PlannedShard::default();
        }
        let old = std::mem::replace(&mut shard.map, map);
        let map = &shard.map;
        // Tells the coordinator that this node writes, or that it no longer does.
        let has_changed = old.attempt != map.attempt || old.phase != map.phase;
        if map.phase != SplitPhase::Resting && has_changed {
            shard.dirty_keys.request_report(map.phase == SplitPhase::Sealed);
            self.slots.is_report_due = true;
        }
        // Positions seen on a target before it received the rows do not cover them.
        let gained: Vec<String> =
            map.moved.iter().filter(|range| !old.moved.contains(range)).map(|range| range.target.clone()).collect();
        for target in gained {
            let now = self.now;
            let service = self.health.intern_service(&target);
            self.health.service_mut(service).into_iter().for_each(|checker| checker.fenced_positions.reset(now));
        }
        if is_new {
            self.resolve_open_keys();
        }
        self.recheck_connections(&name);
    }
}
