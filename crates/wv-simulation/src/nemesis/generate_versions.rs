//! Nodes that go by different versions: routes, partners and split plans that change while control or access nodes stand
//! still, once or in series. These are drawn from a generator of their own, so that the other events of a seed do not
//! depend on them.
use super::generate::{Generator, CATCH_UP_MS};
use super::{EventKind, FaultBound};
use crate::Rng;

/// How many of a hundred schedules have such changes.
const SHARE_PERCENT: u64 = 30;
const CHANGES_MAX: u64 = 6;
const STILL_MAX_MS: u64 = 5_000;

impl Generator {
    pub(super) fn add_version_changes(&mut self, seed: u64) {
        let mut rng = Rng::new(seed ^ 0x7e25);
        (0..8).for_each(|_| {
            rng.below(2);
        });
        if !rng.chance(SHARE_PERCENT) {
            return;
        }
        let target = |rng: &mut Rng| vec![format!("c{}", rng.below(3))];
        let first = target(&mut rng);
        self.push(0, EventKind::MovePartners, first, 0, 0);
        for _ in 0..2 + rng.below(CHANGES_MAX - 1) {
            let at_ms = rng.below(self.length_ms);
            let kind = match rng.below(10) {
                0..=3 => EventKind::MoveRoute,
                4..=6 => EventKind::MakePlan,
                7..=8 => EventKind::WithdrawPlan,
                _ => EventKind::MovePartners,
            };
            let sent_to = target(&mut rng);
            self.push(at_ms, kind, sent_to, 0, 0);
            if rng.chance(75) {
                self.add_still_nodes(&mut rng, at_ms);
            }
        }
    }

    /// Nodes that stand still from around the change on, up to three in series.
    fn add_still_nodes(&mut self, rng: &mut Rng, change_ms: u64) {
        let mut at_ms = (change_ms + rng.below(200)).saturating_sub(150);
        for _ in 0..1 + rng.below(3) {
            let still_ms = 50 + rng.below(STILL_MAX_MS);
            let is_control = rng.chance(60);
            let name = match is_control {
                true => format!("c{}", rng.below(3)),
                false => format!("a{}", rng.below(self.schedule.access_nodes as u64)),
            };
            if !is_control || self.reserve_control(&name, at_ms, at_ms + still_ms + CATCH_UP_MS) {
                self.push(at_ms, EventKind::Freeze, vec![name], still_ms, 0);
            }
            at_ms += rng.below(still_ms + 500);
        }
    }

    /// Marks a control node as unavailable, unless the schedule's bound does not allow another one.
    fn reserve_control(&mut self, name: &str, from_ms: u64, until_ms: u64) -> bool {
        let overlaps = |node: &&(String, u64, u64)| node.1 < until_ms && from_ms < node.2;
        let names: std::collections::BTreeSet<&String> =
            self.unavailable.iter().filter(overlaps).map(|node| &node.0).collect();
        let is_unavailable = names.iter().any(|other| *other == name);
        let is_within = self.schedule.fault_bound == FaultBound::WithinTolerance;
        if is_unavailable || (is_within && names.len() >= self.tolerated_faults) {
            return false;
        }
        self.unavailable.push((name.to_owned(), from_ms, until_ms));
        true
    }
}
