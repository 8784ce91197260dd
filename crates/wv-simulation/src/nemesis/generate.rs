//! Generates schedules from a seed. The order of random draws determines the schedule of each seed.
use super::{Event, EventKind, FaultBound, Schedule};
use crate::Rng;

/// A core node counts as unavailable for this long after its fault ends.
pub(super) const CATCH_UP_MS: u64 = 4000;

const CORE_FAULTS: [EventKind; 19] = [
    EventKind::Isolate,
    EventKind::DropInbound,
    EventKind::DropOutbound,
    EventKind::Partition,
    EventKind::OneWayPartition,
    EventKind::IsolateFromPeers,
    EventKind::Freeze,
    EventKind::Slow,
    EventKind::Kill,
    EventKind::PowerLoss,
    EventKind::TornWrite,
    EventKind::LoseDisk,
    EventKind::Replace,
    EventKind::Decommission,
    EventKind::DiskStall,
    EventKind::DiskFull,
    EventKind::ClockStep,
    EventKind::ResetLinks,
    EventKind::TornWrite,
];
const ACCESS_FAULTS: [EventKind; 9] = [
    EventKind::Isolate,
    EventKind::DropInbound,
    EventKind::DropOutbound,
    EventKind::Partition,
    EventKind::OneWayPartition,
    EventKind::Freeze,
    EventKind::Slow,
    EventKind::Kill,
    EventKind::Terminate,
];
const DATABASE_FAULTS: [EventKind; 8] = [
    EventKind::Crash,
    EventKind::Unreachable,
    EventKind::ReplicationLag,
    EventKind::Drain,
    EventKind::Deregister,
    EventKind::ResetConnections,
    EventKind::PlatformOutage,
    EventKind::SlowPromotion,
];
pub(super) struct Generator {
    pub(super) rng: Rng,
    pub(super) schedule: Schedule,
    pub(super) length_ms: u64,
    /// Unavailable core nodes, each with the start and end time.
    pub(super) unavailable: Vec<(String, u64, u64)>,
    /// How many core nodes may fail at once.
    pub(super) tolerated_faults: usize,
    disks_lost: usize,
    /// Start and end times of database faults.
    database_faults: Vec<(u64, u64)>,
    /// Control nodes and the time from which each is available; likewise for databases.
    pub(super) controls: Vec<(String, u64)>,
    next_control: usize,
    pub(super) databases: Vec<(String, u64)>,
    next_database: usize,
}

pub fn generate(seed: u64) -> Schedule {
    let mut rng = Rng::new(seed.wrapping_add(1));
    (0..8).for_each(|_| {
        rng.below(2);
    });
    let core_nodes = [3, 3, 3, 4, 5, 5, 6, 7][rng.below(8) as usize];
    let fault_bound = match rng.below(20) {
        0..=9 => FaultBound::WithinTolerance,
        10..=16 => FaultBound::BeyondTolerance,
        _ => FaultBound::Unlimited,
    };
    let (access_nodes, diskless_nodes) = (2 + rng.below(2) as usize, usize::from(rng.chance(25)));
    let schedule = Schedule { seed, access_nodes, core_nodes, diskless_nodes, fault_bound, events: Vec::new() };
    let voters = (core_nodes - 1 + core_nodes % 2).min(7);
    let length_ms = 2000 + rng.below(9000);
    let mut generator = Generator {
        controls: (0..core_nodes).map(|index| (format!("c{index}"), 0)).collect(),
        next_control: core_nodes + diskless_nodes,
        databases: (0..3).map(|index| (format!("s{index}"), 0)).collect(),
        next_database: 3,
        tolerated_faults: (voters - 1) / 2,
        disks_lost: 0,
        unavailable: Vec::new(),
        database_faults: Vec::new(),
        rng,
        schedule,
        length_ms,
    };
    let fault_count = 1 + generator.rng.below(8);
    let mut times: Vec<u64> = (0..fault_count).map(|_| generator.rng.below(length_ms)).collect();
    // Some schedules cluster their faults.
    if generator.rng.chance(40) {
        let first_ms = times.first().copied().unwrap_or(0);
        times.iter_mut().for_each(|at_ms| *at_ms = first_ms + generator.rng.below(1500));
    }
    times.sort_unstable();
    times.into_iter().for_each(|at_ms| generator.add_fault(at_ms));
    let action_count = 2 + generator.rng.below(10);
    (0..action_count).for_each(|_| generator.add_operator_action());
    if generator.rng.chance(30) {
        generator.add_closing_fault();
    }
    generator.add_late_promotion(seed);
    generator.add_version_changes(seed);
    generator.schedule.events.sort_by_key(|event| event.at_ms);
    generator.schedule
}

impl Generator {
    pub(super) fn pick<T: Clone>(&mut self, from: &[T]) -> Option<T> {
        let index = self.rng.below(from.len() as u64) as usize;
        from.get(index).cloned()
    }

    pub(super) fn push(&mut self, at_ms: u64, kind: EventKind, targets: Vec<String>, duration_ms: u64, amount: u64) {
        self.schedule.events.push(Event { at_ms, kind, targets, duration_ms, amount });
    }

    fn pick_duration_ms(&mut self) -> u64 {
        let max_ms = [300, 1500, 1500, 5000][self.rng.below(4) as usize];
        20 + self.rng.below(max_ms)
    }

    fn add_fault(&mut self, at_ms: u64) {
        match self.rng.below(20) {
            0..=10 => self.add_core_fault(at_ms),
            11..=13 => self.add_access_fault(at_ms),
            14..=17 => self.add_database_fault(at_ms),
            18 => {
                let (kind, duration_ms) = (
                    [EventKind::LostResponses, EventKind::DelayedDuplicates][self.rng.below(2) as usize],
                    self.pick_duration_ms(),
                );
                self.push(at_ms, kind, Vec::new(), duration_ms, 0);
            }
            _ => self.add_rolling_replacement(at_ms),
        }
    }

    fn add_core_fault(&mut self, at_ms: u64) {
        let Some(kind) = self.pick(&CORE_FAULTS) else { return };
        let duration_ms = self.pick_duration_ms();
        let ready: Vec<String> =
            self.controls.iter().filter(|node| node.1 <= at_ms).map(|node| node.0.clone()).collect();
        let Some(target) = self.pick(&ready) else { return };
        let loses_disk = matches!(kind, EventKind::LoseDisk | EventKind::Replace | EventKind::Decommission);
        let mut targets = vec![target.clone()];
        let others: Vec<String> = ready.iter().filter(|name| **name != target).cloned().collect();
        match kind {
            EventKind::Partition | EventKind::OneWayPartition | EventKind::ResetLinks => {
                targets.extend(self.pick(&others))
            }
            EventKind::IsolateFromPeers if self.schedule.fault_bound != FaultBound::WithinTolerance => {
                let count = 1 + self.rng.below(others.len().max(1) as u64) as usize;
                targets = others.iter().take(count).cloned().collect();
            }
            _ => {}
        }
        let until_ms = at_ms + duration_ms + CATCH_UP_MS;
        let is_same = |node: &(String, u64, u64)| node.0 == target && node.1 < until_ms && at_ms < node.2;
        if self.unavailable.iter().any(is_same)
            && (loses_disk || self.schedule.fault_bound == FaultBound::WithinTolerance)
        {
            return;
        }
        let names: std::collections::BTreeSet<&String> =
            self.unavailable.iter().filter(|node| node.1 < until_ms && at_ms < node.2).map(|node| &node.0).collect();
        let exceeds_bound = match self.schedule.fault_bound {
            FaultBound::WithinTolerance => names.len() >= self.tolerated_faults,
            FaultBound::BeyondTolerance => loses_disk && self.disks_lost >= self.tolerated_faults,
            FaultBound::Unlimited => false,
        };
        if exceeds_bound {
            return;
        }
        self.disks_lost += usize::from(loses_disk);
        self.unavailable.push((target.clone(), at_ms, until_ms));
        if matches!(kind, EventKind::Replace | EventKind::Decommission) {
            self.controls.retain(|node| node.0 != target);
            self.controls.push((format!("c{}", self.next_control), at_ms + duration_ms + CATCH_UP_MS));
            self.next_control += 1;
        }
        let amount = match kind {
            EventKind::Slow => 5 + self.rng.below(200),
            EventKind::ClockStep => 1 + self.rng.below(20_000),
            _ => 0,
        };
        self.push(at_ms, kind, targets, duration_ms, amount);
    }

    fn add_access_fault(&mut self, at_ms: u64) {
        let (Some(kind), duration_ms) = (self.pick(&ACCESS_FAULTS), self.pick_duration_ms()) else { return };
        let mut targets = vec![format!("a{}", self.rng.below(self.schedule.access_nodes as u64))];
        if matches!(kind, EventKind::Partition | EventKind::OneWayPartition) {
            let remote: Vec<String> = self.databases.iter().chain(&self.controls).map(|node| node.0.clone()).collect();
            targets.extend(self.pick(&remote));
            if kind == EventKind::OneWayPartition && self.rng.chance(50) {
                targets.reverse();
            }
        }
        let amount = if kind == EventKind::Slow { 5 + self.rng.below(100) } else { 0 };
        self.push(at_ms, kind, targets, duration_ms, amount);
    }

    fn add_database_fault(&mut self, at_ms: u64) {
        let (Some(kind), duration_ms) = (self.pick(&DATABASE_FAULTS), self.pick_duration_ms() + 500) else { return };
        if matches!(kind, EventKind::PlatformOutage | EventKind::SlowPromotion) {
            return self.push(at_ms, kind, Vec::new(), duration_ms, 0);
        }
        let until_ms = at_ms + duration_ms + 10_000;
        let active = self.database_faults.iter().filter(|fault| fault.0 < until_ms && at_ms < fault.1).count();
        if active > 0 && (self.schedule.fault_bound == FaultBound::WithinTolerance || self.rng.chance(50)) {
            return;
        }
        let ready: Vec<String> =
            self.databases.iter().filter(|node| node.1 <= at_ms).map(|node| node.0.clone()).collect();
        let Some(target) = self.pick(&ready) else { return };
        self.push_database_fault(at_ms, kind, target, duration_ms);
    }

    fn push_database_fault(&mut self, at_ms: u64, kind: EventKind, target: String, duration_ms: u64) {
        self.database_faults.push((at_ms, at_ms + duration_ms + 10_000));
        let amount = if kind == EventKind::ReplicationLag { 30 + self.rng.below(2000) } else { 0 };
        if matches!(kind, EventKind::Drain | EventKind::Deregister) {
            self.databases.retain(|node| node.0 != target);
            self.databases.push((format!("s{}", self.next_database), at_ms + duration_ms + 1000));
            self.next_database += 1;
        }
        self.push(at_ms, kind, vec![target], duration_ms, amount);
    }

    /// Replaces all databases, one after the other.
    fn add_rolling_replacement(&mut self, at_ms: u64) {
        if self.database_faults.iter().any(|fault| at_ms < fault.1) {
            return;
        }
        let all: Vec<String> = self.databases.iter().map(|node| node.0.clone()).collect();
        for (step, target) in (0..).zip(all) {
            let kind = if self.rng.chance(30) { EventKind::Deregister } else { EventKind::Drain };
            self.push_database_fault(at_ms + step * 9000, kind, target, 500 + self.length_ms % 2000);
        }
    }
}
