//! Easing databases back in: this node's share of what all together may start on one that returned.
use crate::core::Core;
use crate::timer::Timer;
use wv_health::Spot;
use wv_slow_start::{Ease, Plan, Scale};

/// The waiting line is not looked at more often than this.
const LATER_US: u64 = 3_000;

impl Core {
    pub fn set_ease(&mut self, plan: Plan) {
        self.slow_start_plan = plan;
    }

    fn scale(&self, spot: Spot) -> Scale {
        let capacity = self.checks.member(spot).map_or(1, |member| member.inst.capacity);
        let work_us =
            self.pools.get(&spot).map_or_else(|| wv_slow_start::Work::default().us(), |pool| pool.service_time.us());
        Scale { now: self.now, capacity, nodes: self.node_count, work_us }
    }

    /// The database has come back: what is started on it is held to what it bears until the span is over.
    pub(crate) fn ease_in(&mut self, spot: Spot, falls: u32) {
        let is_running = self.slow_starts.get(&spot).is_some_and(|held| !held.is_over(self.now));
        // The first word of a return counts, from whichever side it came.
        if !self.slow_start_plan.is_on || is_running {
            return;
        }
        let cold_us = self.checks.member(spot).map_or(0, |member| member.inst.cold_left_us);
        self.slow_starts.insert(spot, Ease::new(self.slow_start_plan, falls, cold_us, self.now));
    }

    /// Whether `id` is being eased in here.
    pub fn is_eased(&self, id: &str) -> bool {
        self.checks.spot(id).is_some_and(|spot| self.slow_starts.get(&spot).is_some_and(|held| !held.is_over(self.now)))
    }

    pub(crate) fn end_eases(&mut self) {
        let now = self.now;
        self.slow_starts.retain(|_, held| !held.is_over(now));
    }

    /// Whether new work may be started there now.
    pub(crate) fn may_start(&self, spot: Spot) -> bool {
        self.slow_starts.get(&spot).is_none_or(|held| {
            // Transactions at rest have nothing under way.
            let under_way = self.dbs.values().filter(|db| db.spot == spot && !db.pending.is_empty()).count() as u32;
            held.has(&self.scale(spot), under_way)
        })
    }

    pub(crate) fn started(&mut self, spot: Spot) {
        if self.slow_starts.is_empty() {
            return;
        }
        let scale = self.scale(spot);
        self.slow_starts.get_mut(&spot).into_iter().for_each(|held| held.take(&scale));
    }

    /// The waiting line is served again when the next start is due.
    pub(crate) fn start_later(&mut self, spot: Spot) {
        let scale = self.scale(spot);
        let Some(held) = self.slow_starts.get(&spot) else { return };
        // What is held back by statements under way is served by their returns; this is for the rest.
        let at = held.next(&scale).max(scale.now + LATER_US);
        // One wake-up at a time serves the whole line.
        let Some(pool) = self.pools.get_mut(&spot).filter(|pool| pool.wake_at <= scale.now) else { return };
        pool.wake_at = at;
        self.timers.schedule(at, Timer::SlowStart { spot });
    }
}
