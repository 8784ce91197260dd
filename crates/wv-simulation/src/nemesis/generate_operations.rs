//! Generates operator actions, and the fault that ends some schedules.
use super::generate::Generator;
use super::{Event, EventKind};

const OPERATOR_ACTIONS: [EventKind; 8] = [
    EventKind::Update,
    EventKind::Update,
    EventKind::ConcurrentUpdates,
    EventKind::ConcurrentUpdates,
    EventKind::UpdateBurst,
    EventKind::ResendUpdate,
    EventKind::ResendUpdate,
    EventKind::InvalidUpdate,
];

impl Generator {
    /// A random time, or one close to the start or end of an event.
    fn pick_time_ms(&mut self) -> u64 {
        let boundaries_ms: Vec<u64> =
            self.schedule.events.iter().flat_map(|event| [event.at_ms, event.end_ms()]).collect();
        match self.pick(&boundaries_ms).filter(|_| self.rng.chance(60)) {
            Some(boundary_ms) => (boundary_ms + self.rng.below(60)).saturating_sub(20),
            None => self.rng.below(self.length_ms + 1000),
        }
    }

    pub(super) fn add_operator_action(&mut self) {
        let (Some(kind), at_ms) = (self.pick(&OPERATOR_ACTIONS), self.pick_time_ms()) else { return };
        let names: Vec<String> = self.controls.iter().map(|entry| entry.0.clone()).collect();
        let mut targets: Vec<String> = (0..2).filter_map(|_| self.pick(&names)).collect();
        let amount = match kind {
            EventKind::ConcurrentUpdates => self.rng.below(12_000),
            EventKind::UpdateBurst => {
                targets = names;
                2 + self.rng.below(7)
            }
            EventKind::InvalidUpdate => self.rng.below(4),
            _ => 0,
        };
        if !matches!(kind, EventKind::ConcurrentUpdates | EventKind::UpdateBurst) {
            targets.truncate(1);
        }
        self.push(at_ms, kind, targets, 0, amount);
    }

    /// Right after an update, all control nodes lose power or are killed.
    pub(super) fn add_closing_fault(&mut self) {
        let at_ms = self.schedule.events.iter().map(Event::end_ms).max().unwrap_or(0) + 6000;
        let names: Vec<String> = self.controls.iter().map(|entry| entry.0.clone()).collect();
        let kind = [EventKind::PowerLoss, EventKind::Kill, EventKind::TornWrite][self.rng.below(3) as usize];
        let delay_ms = self.rng.below(30);
        let duration_ms = 200 + self.rng.below(800);
        self.push(at_ms, EventKind::Update, names[..1].to_vec(), 0, 0);
        self.push(at_ms + delay_ms, kind, names, duration_ms, 0);
    }
}
