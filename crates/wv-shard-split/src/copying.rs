//! A split while rows are copied, and while the last of them are.
use crate::copy::{Bounds, Outcome};
use crate::machine::{After, Goal, Split, Step};
use crate::steps::LEAST_US;
use crate::{Reply, View};
use wv_internal_protocol::{DirtyKeys, SlotMap, SplitPhase};

/// So few things left to copy are copied while writes to them wait.
const LEFT_MAX: usize = 64;
/// How long the last marks are waited for before everything is copied again.
const MARKS_US: u64 = 1_500_000;

impl Split {
    pub(crate) fn want_all(&mut self) {
        let Some(map) = &self.map else { return };
        let moving = self.names.iter().filter(|name| map.is_moving(slot(name)));
        moving.for_each(|name| self.copy.want(name));
    }

    fn bounds<'a>(&self, view: &View<'a>) -> Option<Bounds<'a>> {
        let map = self.map.as_ref()?;
        Some(Bounds {
            now: view.now,
            source: view.source?.0,
            target: view.target?.0,
            term: map.term,
            target_term: map.target_term,
            capacity: view.capacity,
            pace: view.plan?.pace,
            is_sealed: map.phase == SplitPhase::Sealed,
        })
    }

    pub(crate) fn copied(&mut self, token: u64, replies: Option<Vec<Reply>>, view: &View<'_>) {
        let Some(bounds) = self.bounds(view) else { return };
        let (outcome, orders) = self.copy.ran(token, replies, &bounds);
        self.orders.extend(orders);
        if outcome == Outcome::Disturbed {
            return self.back(view, "a database was promoted or cannot be copied from or to");
        }
        self.tick(view);
    }

    fn start_copies(&mut self, view: &View<'_>) {
        let Some(bounds) = self.bounds(view) else { return };
        let orders = self.copy.start(&bounds, &mut self.token);
        self.orders.extend(orders);
    }

    pub(crate) fn copy_on(&mut self, view: &View<'_>) {
        let Some(map) = self.map.clone() else { return self.lose(view.now) };
        if self.is_unbound(view) {
            return self.back(view, "another database leads the source");
        }
        let is_over =
            map.deadline_us < view.epoch_us + LEAST_US || view.wanted_until_us.is_none() || view.plan.is_none();
        if is_over {
            return self.back(view, "the window is over");
        }
        if self.copy.left() <= LEFT_MAX && self.copy.is_idle() {
            return self.write(SlotMap { superseded_term: map.term, ..map }, After::Raise(Goal::Seal), view.now);
        }
        self.start_copies(view);
    }

    pub(crate) fn seal_on(&mut self, view: &View<'_>) {
        let Step::Sealed { since, is_marked } = self.step else { return };
        let Some(map) = self.map.clone() else { return self.lose(view.now) };
        if self.is_unbound(view) {
            return self.back(view, "another database leads the source");
        }
        if since + view.plan.map_or(0, |plan| plan.seal_us) < view.now {
            return self.back(view, "the last copies took too long");
        }
        if !is_marked {
            let is_told = self.writers.values().all(|is_last| *is_last);
            let is_late = since + MARKS_US < view.now;
            if !is_told && !is_late {
                return;
            }
            // Whoever did not say its last marks may have written anywhere, and now can no more.
            if !is_told {
                self.want_all();
            }
            self.step = Step::Sealed { since, is_marked: true };
        }
        if self.copy.is_done() {
            let map = SlotMap { superseded_term: map.term, superseded_target_term: map.target_term, ..map };
            return self.write(map, After::Raise(Goal::Finish), view.now);
        }
        self.start_copies(view);
    }

    /// A node is about to write to these, or has said its last ones.
    pub(crate) fn marked(&mut self, node: String, marks: DirtyKeys) {
        for name in &marks.keys {
            self.names.add(name);
        }
        let Some(map) = &self.map else { return };
        let moving: Vec<&String> = marks.keys.iter().filter(|name| map.is_moving(slot(name))).collect();
        moving.into_iter().for_each(|name| self.copy.want(name));
        let is_current = marks.attempt == map.attempt;
        let key = (node, marks.incarnation);
        if is_current && map.phase == SplitPhase::Copying {
            self.writers.entry(key).or_insert(false);
        } else if is_current && map.phase == SplitPhase::Sealed && marks.is_last {
            self.writers.insert(key, true);
        }
    }
}

fn slot(name: &str) -> u16 {
    wv_internal_protocol::slot_for_key(name.as_bytes())
}
