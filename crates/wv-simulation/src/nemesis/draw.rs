//! Days drawn from a seed.
use super::{Bound, Day, Event, Kind};
use crate::Rng;

/// A machine that came back counts as lost for this long.
const CATCH_UP: u64 = 4000;

const CORE: [Kind; 19] = [
    Kind::Isolate,
    Kind::Deafen,
    Kind::Mute,
    Kind::Wall,
    Kind::OneWay,
    Kind::Part,
    Kind::Freeze,
    Kind::Slow,
    Kind::Kill,
    Kind::Power,
    Kind::Tear,
    Kind::Wipe,
    Kind::Replace,
    Kind::Quit,
    Kind::Stall,
    Kind::Full,
    Kind::Clock,
    Kind::Reset,
    Kind::Tear,
];
const ACCESS: [Kind; 9] = [
    Kind::Isolate,
    Kind::Deafen,
    Kind::Mute,
    Kind::Wall,
    Kind::OneWay,
    Kind::Freeze,
    Kind::Slow,
    Kind::Kill,
    Kind::Term,
];
const BASES: [Kind; 8] =
    [Kind::Crash, Kind::Dark, Kind::Lag, Kind::Drain, Kind::Leave, Kind::Break, Kind::Platform, Kind::Sluggish];
pub(super) struct Draw {
    pub(super) luck: Rng,
    pub(super) day: Day,
    pub(super) length: u64,
    /// Core machines that are lost, and when.
    lost: Vec<(String, u64, u64)>,
    /// How many the core bears, and how many disks were lost.
    bears: usize,
    disks: usize,
    /// Databases in trouble, and until when.
    bases: Vec<(u64, u64)>,
    pub(super) controls: Vec<(String, u64)>,
    next_control: usize,
    databases: Vec<(String, u64)>,
    next_base: usize,
}

/// The day of this seed.
pub fn draw(seed: u64) -> Day {
    let mut luck = Rng::new(seed.wrapping_add(1));
    (0..8).for_each(|_| {
        luck.below(2);
    });
    let core = [3, 3, 3, 4, 5, 5, 6, 7][luck.below(8) as usize];
    let bound = match luck.below(20) {
        0..=9 => Bound::Within,
        10..=16 => Bound::Beyond,
        _ => Bound::Wild,
    };
    let (access, thin) = (2 + luck.below(2) as usize, usize::from(luck.chance(25)));
    let day = Day { seed, access, core, thin, bound, events: Vec::new() };
    let set = (core - 1 + core % 2).min(7);
    let length = 2000 + luck.below(9000);
    let mut draw = Draw {
        controls: (0..core).map(|at| (format!("c{at}"), 0)).collect(),
        next_control: core + thin,
        databases: (0..3).map(|at| (format!("s{at}"), 0)).collect(),
        next_base: 3,
        bears: (set - 1) / 2,
        disks: 0,
        lost: Vec::new(),
        bases: Vec::new(),
        luck,
        day,
        length,
    };
    let troubles = 1 + draw.luck.below(8);
    let mut times: Vec<u64> = (0..troubles).map(|_| draw.luck.below(length)).collect();
    // Some come within moments of each other.
    if draw.luck.chance(40) {
        let first = times.first().copied().unwrap_or(0);
        times.iter_mut().for_each(|at| *at = first + draw.luck.below(1500));
    }
    times.sort_unstable();
    times.into_iter().for_each(|at| draw.trouble(at));
    let calls = 2 + draw.luck.below(10);
    (0..calls).for_each(|_| draw.call());
    if draw.luck.chance(30) {
        draw.closing_fault();
    }
    draw.day.events.sort_by_key(|event| event.at_ms);
    draw.day
}

impl Draw {
    pub(super) fn pick<T: Clone>(&mut self, from: &[T]) -> Option<T> {
        let at = self.luck.below(from.len() as u64) as usize;
        from.get(at).cloned()
    }

    pub(super) fn put(&mut self, at_ms: u64, kind: Kind, targets: Vec<String>, for_ms: u64, by: u64) {
        self.day.events.push(Event { at_ms, kind, targets, for_ms, by });
    }

    /// Short, middling or long.
    fn span(&mut self) -> u64 {
        let bound = [300, 1500, 1500, 5000][self.luck.below(4) as usize];
        20 + self.luck.below(bound)
    }

    fn trouble(&mut self, at: u64) {
        match self.luck.below(20) {
            0..=10 => self.core_trouble(at),
            11..=13 => self.access_trouble(at),
            14..=17 => self.base_trouble(at),
            18 => {
                let (kind, span) = ([Kind::Unheard, Kind::Echo][self.luck.below(2) as usize], self.span());
                self.put(at, kind, Vec::new(), span, 0);
            }
            _ => self.release(at),
        }
    }

    fn core_trouble(&mut self, at: u64) {
        let Some(kind) = self.pick(&CORE) else { return };
        let span = self.span();
        let there: Vec<String> = self.controls.iter().filter(|held| held.1 <= at).map(|held| held.0.clone()).collect();
        let Some(target) = self.pick(&there) else { return };
        let is_disk = matches!(kind, Kind::Wipe | Kind::Replace | Kind::Quit);
        let mut targets = vec![target.clone()];
        let others: Vec<String> = there.iter().filter(|name| **name != target).cloned().collect();
        match kind {
            Kind::Wall | Kind::OneWay | Kind::Reset => targets.extend(self.pick(&others)),
            Kind::Part if self.day.bound != Bound::Within => {
                let count = 1 + self.luck.below(others.len().max(1) as u64) as usize;
                targets = others.iter().take(count).cloned().collect();
            }
            _ => {}
        }
        let until = at + span + CATCH_UP;
        let is_same = |held: &(String, u64, u64)| held.0 == target && held.1 < until && at < held.2;
        if self.lost.iter().any(is_same) && (is_disk || self.day.bound == Bound::Within) {
            return;
        }
        let names: std::collections::BTreeSet<&String> =
            self.lost.iter().filter(|held| held.1 < until && at < held.2).map(|held| &held.0).collect();
        let is_over = match self.day.bound {
            Bound::Within => names.len() >= self.bears,
            Bound::Beyond => is_disk && self.disks >= self.bears,
            Bound::Wild => false,
        };
        if is_over {
            return;
        }
        self.disks += usize::from(is_disk);
        self.lost.push((target.clone(), at, until));
        if matches!(kind, Kind::Replace | Kind::Quit) {
            self.controls.retain(|held| held.0 != target);
            self.controls.push((format!("c{}", self.next_control), at + span + CATCH_UP));
            self.next_control += 1;
        }
        let by = match kind {
            Kind::Slow => 5 + self.luck.below(200),
            Kind::Clock => 1 + self.luck.below(20_000),
            _ => 0,
        };
        self.put(at, kind, targets, span, by);
    }

    fn access_trouble(&mut self, at: u64) {
        let (Some(kind), span) = (self.pick(&ACCESS), self.span()) else { return };
        let mut targets = vec![format!("a{}", self.luck.below(self.day.access as u64))];
        if matches!(kind, Kind::Wall | Kind::OneWay) {
            let far: Vec<String> = self.databases.iter().chain(&self.controls).map(|held| held.0.clone()).collect();
            targets.extend(self.pick(&far));
            if kind == Kind::OneWay && self.luck.chance(50) {
                targets.reverse();
            }
        }
        let by = if kind == Kind::Slow { 5 + self.luck.below(100) } else { 0 };
        self.put(at, kind, targets, span, by);
    }

    fn base_trouble(&mut self, at: u64) {
        let (Some(kind), span) = (self.pick(&BASES), self.span() + 500) else { return };
        if matches!(kind, Kind::Platform | Kind::Sluggish) {
            return self.put(at, kind, Vec::new(), span, 0);
        }
        let until = at + span + 10_000;
        let busy = self.bases.iter().filter(|held| held.0 < until && at < held.1).count();
        if busy > 0 && (self.day.bound == Bound::Within || self.luck.chance(50)) {
            return;
        }
        let there: Vec<String> = self.databases.iter().filter(|held| held.1 <= at).map(|held| held.0.clone()).collect();
        let Some(target) = self.pick(&there) else { return };
        self.strike_base(at, kind, target, span);
    }

    fn strike_base(&mut self, at: u64, kind: Kind, target: String, span: u64) {
        self.bases.push((at, at + span + 10_000));
        let by = if kind == Kind::Lag { 30 + self.luck.below(2000) } else { 0 };
        if matches!(kind, Kind::Drain | Kind::Leave) {
            self.databases.retain(|held| held.0 != target);
            self.databases.push((format!("s{}", self.next_base), at + span + 1000));
            self.next_base += 1;
        }
        self.put(at, kind, vec![target], span, by);
    }

    /// All databases are replaced, one after the other.
    fn release(&mut self, at: u64) {
        if self.bases.iter().any(|held| at < held.1) {
            return;
        }
        let all: Vec<String> = self.databases.iter().map(|held| held.0.clone()).collect();
        for (step, target) in (0..).zip(all) {
            let kind = if self.luck.chance(30) { Kind::Leave } else { Kind::Drain };
            self.strike_base(at + step * 9000, kind, target, 500 + self.length % 2000);
        }
    }
}
