//! What follows from terms, written maps, marks and copies.
use crate::machine::{After, Goal, Split, Step, RAISE_US};
use crate::raise::Looks;
use crate::{moving, Copy, Reply, View};
use wv_internal_protocol::{SlotMap, SplitPhase};

/// Tries in one window.
const TRIES_MAX: u32 = 8;
/// A try is not begun, and nothing sealed, with less time than this left in the window.
pub(crate) const LEAST_US: u64 = 5_000_000;

impl Split {
    pub(crate) fn ran(&mut self, token: u64, replies: Option<Vec<Reply>>, view: &View<'_>) {
        let is_look = match &mut self.step {
            Step::Looking { looks, .. } | Step::Raising { looks, .. } => looks.ran(token, &replies),
            _ => false,
        };
        match self.step.clone() {
            Step::Looking { goal, looks, .. } if is_look => self.looked(goal, &looks, view),
            Step::Raising { goal, looks, .. } if is_look => self.raised(goal, &looks, view),
            Step::Copying | Step::Sealed { .. } => self.copied(token, replies, view),
            _ => {}
        }
    }

    fn looked(&mut self, goal: Goal, looks: &Looks, view: &View<'_>) {
        let (now, held) = (view.now, self.map.clone().unwrap_or_default());
        let shard = view.plan.map_or(held.shard.clone(), |plan| plan.shard.clone());
        if looks.source == 0 || (goal == Goal::Begin && looks.target == 0) {
            return;
        }
        if goal == Goal::Bind {
            self.bound = view.source.map(|(id, term)| (id.to_owned(), term));
            let is_same = held.term == looks.source
                && held.phase == SplitPhase::Resting
                && held.superseded_term + held.superseded_target_term == 0;
            if is_same && !std::mem::take(&mut self.is_claimed) {
                self.step = Step::Rest { until: now };
                return;
            }
            let map = SlotMap {
                shard,
                term: looks.source,
                phase: SplitPhase::Resting,
                moving: None,
                target_term: 0,
                superseded_term: 0,
                superseded_target_term: 0,
                ..held
            };
            return self.write(map, After::Rest, now);
        }
        // Promoted since the map was bound: that comes first.
        if looks.source != held.term {
            self.bound = None;
            self.step = Step::Rest { until: now };
            return;
        }
        let Some(plan) = view.plan else { return self.lose(now) };
        let until_us = view.wanted_until_us.unwrap_or(0);
        if held.attempt_count >= TRIES_MAX && held.deadline_us == until_us {
            return self.pause(now, "given up for this window after too many tries");
        }
        let Some(range) = moving(view.first, &held, &plan.target) else {
            return self.pause(now, "a single slot is left here");
        };
        if until_us < view.epoch_us + LEAST_US {
            return self.pause(now, "the window is over");
        }
        (self.copy, self.why) = (Copy::default(), String::new());
        self.writers.clear();
        let map = SlotMap {
            moving: Some(range),
            superseded_term: held.term,
            // Copies of whoever tried before may still be on their way to the target: its old term is left behind too.
            superseded_target_term: looks.target,
            deadline_us: until_us,
            attempt: held.version,
            attempt_count: held.attempt_count + 1,
            ..held
        };
        self.write(map, After::Raise(Goal::Begin), now);
    }

    /// A map was written that wants terms left behind; both sides have said where they are.
    fn raised(&mut self, goal: Goal, looks: &Looks, view: &View<'_>) {
        let Some(held) = self.map.clone() else { return self.lose(view.now) };
        if looks.source <= held.superseded_term || looks.target <= held.superseded_target_term {
            return;
        }
        self.bound = None;
        let next = SlotMap { term: looks.source, superseded_term: 0, superseded_target_term: 0, ..held };
        match goal {
            Goal::Begin => {
                let map = SlotMap { phase: SplitPhase::Copying, target_term: looks.target, ..next };
                self.write(map, After::Copy, view.now);
            }
            Goal::Seal if looks.target != next.target_term => self.back(view, "the target was promoted"),
            Goal::Seal => self.write(SlotMap { phase: SplitPhase::Sealed, ..next }, After::Seal, view.now),
            Goal::Finish => {
                let moved = next.moved.iter().cloned().chain(next.moving.clone()).collect();
                let map = SlotMap {
                    phase: SplitPhase::Resting,
                    moving: None,
                    target_term: 0,
                    moved,
                    last_moved_us: view.epoch_us,
                    attempt_count: 0,
                    ..next
                };
                self.write(map, After::Rest, view.now);
            }
            Goal::Bind => {}
        }
    }

    pub(crate) fn written(&mut self, then: After, view: &View<'_>) {
        let now = view.now;
        self.is_claimed = false;
        match then {
            After::Rest => {
                let is_moved = self.map.as_ref().is_some_and(|map| map.last_moved_us == view.epoch_us);
                if is_moved {
                    self.orders.push(crate::Order::Say("split done".to_owned()));
                }
                // After a try that led nowhere there is time for whatever was in the way.
                let until = if self.why.is_empty() { now } else { now + crate::machine::PAUSE_US };
                self.step = Step::Rest { until };
            }
            After::Raise(goal) => self.step = Step::Raising { goal, limit: now + RAISE_US, looks: Looks::default() },
            After::Copy => {
                self.bind(view);
                self.want_all();
                self.step = Step::Copying;
            }
            After::Seal => {
                self.bind(view);
                self.step = Step::Sealed { since: now, is_marked: false };
            }
        }
    }

    /// The feed tells of another lead, or another term of it, than the map was bound under.
    pub(crate) fn is_unbound(&self, view: &View<'_>) -> bool {
        view.source
            .is_some_and(|(id, term)| self.bound.as_ref().is_none_or(|held| (held.0.as_str(), held.1) != (id, term)))
    }

    fn bind(&mut self, view: &View<'_>) {
        self.bound = view.source.map(|(id, term)| (id.to_owned(), term));
    }
}
