//! What operators are drawn to do, and the fault that closes some days.
use super::draw::Draw;
use super::{Event, Kind};

const CALLS: [Kind; 8] =
    [Kind::Order, Kind::Order, Kind::Race, Kind::Race, Kind::Storm, Kind::Repeat, Kind::Repeat, Kind::Invalid];

impl Draw {
    /// Any moment, or one around the beginning or the end of a trouble.
    fn moment(&mut self) -> u64 {
        let ends: Vec<u64> = self.day.events.iter().flat_map(|event| [event.at_ms, event.end_ms()]).collect();
        match self.pick(&ends).filter(|_| self.luck.chance(60)) {
            Some(end) => (end + self.luck.below(60)).saturating_sub(20),
            None => self.luck.below(self.length + 1000),
        }
    }

    pub(super) fn call(&mut self) {
        let (Some(kind), at) = (self.pick(&CALLS), self.moment()) else { return };
        let names: Vec<String> = self.controls.iter().map(|held| held.0.clone()).collect();
        let mut targets: Vec<String> = (0..2).filter_map(|_| self.pick(&names)).collect();
        let by = match kind {
            Kind::Race => self.luck.below(12_000),
            Kind::Storm => {
                targets = names;
                2 + self.luck.below(7)
            }
            Kind::Invalid => self.luck.below(4),
            _ => 0,
        };
        if !matches!(kind, Kind::Race | Kind::Storm) {
            targets.truncate(1);
        }
        self.put(at, kind, targets, 0, by);
    }

    /// Right after an order, all machines lose power, or all processes are killed.
    pub(super) fn closing_fault(&mut self) {
        let at = self.day.events.iter().map(Event::end_ms).max().unwrap_or(0) + 6000;
        let names: Vec<String> = self.controls.iter().map(|held| held.0.clone()).collect();
        let kind = [Kind::Power, Kind::Kill, Kind::Tear][self.luck.below(3) as usize];
        let after = self.luck.below(30);
        let span = 200 + self.luck.below(800);
        self.put(at, Kind::Order, names[..1].to_vec(), 0, 0);
        self.put(at + after, kind, names, span, 0);
    }
}
