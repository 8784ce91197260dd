//! Faults of the platform.
use super::run::{Deferred, Runner};
use crate::MS;

/// Delay of a slow platform for which the schedule names none: longer than an attempt at a promotion.
const SLOW_PLATFORM_DEFAULT_MS: u64 = 6_000;

impl Runner {
    /// From now on the platform works on each call `delay_ms` after it came.
    pub(super) fn begin_slow_platform(&mut self, delay_ms: u64) {
        let delay_ms = Some(delay_ms).filter(|delay_ms| *delay_ms > 0).unwrap_or(SLOW_PLATFORM_DEFAULT_MS);
        self.sim.platform_delay_us = delay_ms * MS;
    }

    /// The trouble is over only once the platform has worked on all calls that came while it was slow.
    pub(super) fn end_slow_platform(&mut self) {
        self.sim.platform_delay_us = 0;
        let remaining_us = self.sim.platform_busy_until_us.saturating_sub(self.sim.now);
        self.defer(remaining_us, Deferred::LateCallsDone);
    }
}
