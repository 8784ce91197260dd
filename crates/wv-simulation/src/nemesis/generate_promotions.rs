//! Promotions that come late: a slow platform, a primary that crashes for a moment, and then, while the promotion is on
//! its way, replicas that receive nothing or restart and duty holders that end. These are drawn from a generator of
//! their own, so that the other events of a seed do not depend on them.
use super::generate::Generator;
use super::{Event, EventKind, FaultBound};
use crate::Rng;

/// How many of a hundred schedules have such a promotion.
const SHARE_PERCENT: u64 = 30;
/// Bounds of the platform's delay. The longest one exceeds the time for which an answer is awaited.
const PLATFORM_DELAY_MIN_MS: u64 = 2_000;
const PLATFORM_DELAY_MAX_MS: u64 = 36_000;
const CRASH_MAX_MS: u64 = 3_000;

impl Generator {
    pub(super) fn add_late_promotion(&mut self, seed: u64) {
        let mut rng = Rng::new(seed ^ 0x1a7e);
        (0..8).for_each(|_| {
            rng.below(2);
        });
        // A database that leaves ends with its log here. If the platform works on no call until both the leader and the
        // database that is to replace it have ended, nobody can lead: recovery is not promised then.
        let is_leave = |event: &Event| matches!(event.kind, EventKind::Drain | EventKind::Deregister);
        let has_leaves = self.schedule.events.iter().any(is_leave);
        if !rng.chance(SHARE_PERCENT) || (has_leaves && self.schedule.fault_bound != FaultBound::Unlimited) {
            return;
        }
        let at_ms = rng.below(self.length_ms);
        // Most delays are a few attempts long.
        let max_ms = if rng.chance(80) { 16_000 } else { PLATFORM_DELAY_MAX_MS };
        let delay_ms = PLATFORM_DELAY_MIN_MS + rng.below(max_ms - PLATFORM_DELAY_MIN_MS);
        let slow_ms = 1_000 + rng.below(delay_ms + 4_000);
        self.push(at_ms, EventKind::SlowPromotion, Vec::new(), slow_ms, delay_ms);
        if rng.chance(25) {
            self.push(at_ms, EventKind::LostPlatformAnswers, Vec::new(), 500 + rng.below(slow_ms), 0);
        }
        let crash_at_ms = at_ms + 200;
        let crash_ms = 500 + rng.below(CRASH_MAX_MS);
        self.push(crash_at_ms, EventKind::Crash, vec!["s0".to_owned()], crash_ms, 0);
        let replicas: Vec<String> =
            self.databases.iter().map(|database| database.0.clone()).filter(|name| name != "s0").take(2).collect();
        for name in replicas {
            let fault_at_ms = crash_at_ms + crash_ms + rng.below(6_000);
            let kind = match rng.below(10) {
                0..=5 => EventKind::ReplicationStopped,
                6..=7 => EventKind::Crash,
                8 => EventKind::Unreachable,
                _ => EventKind::ResetConnections,
            };
            // Both replicas at once are more than a service of three promises to serve through.
            if self.schedule.fault_bound != FaultBound::WithinTolerance || rng.chance(50) {
                self.push(fault_at_ms, kind, vec![name], 200 + rng.below(delay_ms), 0);
            }
        }
        if self.schedule.fault_bound != FaultBound::WithinTolerance && rng.chance(60) {
            let node = format!("c{}", rng.below(3));
            let kill_at_ms = crash_at_ms + 300 + rng.below(4_000);
            self.push(kill_at_ms, EventKind::Kill, vec![node], 100 + rng.below(2_000), 0);
        }
    }
}
