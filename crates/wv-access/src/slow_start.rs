//! Slow start of recovered databases: limits this node to its share of the request rate allowed for all nodes.
use crate::core::Core;
use crate::timer::Timer;
use wv_health::DatabaseKey;
use wv_slow_start::{RateInputs, SlowStart, SlowStartConfig};

/// Minimum time between two wake-ups of a pool's wait queue.
const MIN_WAKE_INTERVAL_US: u64 = 3_000;

impl Core {
    pub fn set_slow_start(&mut self, config: SlowStartConfig) {
        self.slow_start_config = config;
    }

    fn rate_inputs(&self, key: DatabaseKey) -> RateInputs {
        let capacity = self.health.database(key).map_or(1, |member| member.instance.capacity);
        let work_us = self.pools.get(&key).map_or_else(
            || wv_slow_start::LatencyEstimate::default().latency_us(),
            |pool| pool.service_time.latency_us(),
        );
        RateInputs { now_us: self.now, capacity, nodes: self.node_count, latency_us: work_us }
    }

    /// Limits new requests to a recovered database until its slow start is over.
    pub(crate) fn begin_slow_start(&mut self, key: DatabaseKey, outages: u32) {
        let is_running = self.slow_starts.get(&key).is_some_and(|slow_start| !slow_start.is_over(self.now));
        // A recovery seen here and reported by the control plane starts only one slow start.
        if !self.slow_start_config.is_enabled || is_running {
            return;
        }
        let cold_us = self.health.database(key).map_or(0, |member| member.instance.cold_left_us);
        self.slow_starts.insert(key, SlowStart::new(self.slow_start_config, outages, cold_us, self.now));
    }

    pub fn is_in_slow_start(&self, id: &str) -> bool {
        self.health
            .key(id)
            .is_some_and(|key| self.slow_starts.get(&key).is_some_and(|slow_start| !slow_start.is_over(self.now)))
    }

    pub(crate) fn end_finished_slow_starts(&mut self) {
        let now = self.now;
        self.slow_starts.retain(|_, slow_start| !slow_start.is_over(now));
    }

    pub(crate) fn can_start_request(&self, key: DatabaseKey) -> bool {
        self.slow_starts.get(&key).is_none_or(|slow_start| {
            // Idle transactions do not count as in flight.
            let in_flight =
                self.connections.values().filter(|db| db.key == key && !db.pending.is_empty()).count() as u32;
            slow_start.can_start(&self.rate_inputs(key), in_flight)
        })
    }

    pub(crate) fn note_request_started(&mut self, key: DatabaseKey) {
        if self.slow_starts.is_empty() {
            return;
        }
        let inputs = self.rate_inputs(key);
        self.slow_starts.get_mut(&key).into_iter().for_each(|slow_start| slow_start.record_start(&inputs));
    }

    /// Schedules a wake-up of the wait queue for when the next request may start.
    pub(crate) fn schedule_next_start(&mut self, key: DatabaseKey) {
        let inputs = self.rate_inputs(key);
        let Some(slow_start) = self.slow_starts.get(&key) else { return };
        // Requests held back by the in-flight limit are served by responses; the timer covers the rate limit.
        let at = slow_start.next_start_us(&inputs).max(inputs.now_us + MIN_WAKE_INTERVAL_US);
        // One pending wake-up serves the whole queue.
        let Some(pool) = self.pools.get_mut(&key).filter(|pool| pool.wake_at <= inputs.now_us) else { return };
        pool.wake_at = at;
        self.timers.schedule(at, Timer::SlowStart { key });
    }
}
