//! The steps of a split, from its ballot to the map that points at the target.
use crate::raise::Looks;
use crate::{Copy, Event, Names, Order, View};
use std::collections::BTreeMap;
use wv_internal_protocol::{SlotMap, SplitPhase};

const OP_US: u64 = 1_500_000;
/// A lead that beats alone told of is looked at this often.
const BIND_US: u64 = 5_000_000;
/// After a try that was disturbed.
pub(crate) const PAUSE_US: u64 = 4_000_000;
/// How long a promotion that was asked for may take.
pub(crate) const RAISE_US: u64 = 12_000_000;
/// A plan this young may not be known to all nodes yet.
const YOUNG_US: u64 = 10_000_000;

/// What is to be written once the terms are right.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Goal {
    /// The map binds to the term that the source is in now; whatever was under way is over.
    Bind,
    Begin,
    Seal,
    Finish,
}

#[derive(Clone, Debug)]
pub(crate) enum Step {
    Rest {
        until: u64,
    },
    Claiming {
        limit: u64,
    },
    /// Looking under which terms both sides are, for what is to be written.
    Looking {
        goal: Goal,
        limit: u64,
        looks: Looks,
    },
    /// The map says which terms are to be left behind; they are waited for.
    Raising {
        goal: Goal,
        limit: u64,
        looks: Looks,
    },
    Writing {
        then: After,
        limit: u64,
    },
    Copying,
    /// Waiting for the last marks of those that wrote; then for the last copies.
    Sealed {
        since: u64,
        is_marked: bool,
    },
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum After {
    Rest,
    Raise(Goal),
    Copy,
    Seal,
}

/// One access node that may write to what moves, in one of its lives; and whether it said its last marks.
pub(crate) type Writers = BTreeMap<(String, u64), bool>;

/// The machine of one shard.
pub struct Split {
    pub(crate) step: Step,
    pub(crate) map: Option<SlotMap>,
    pub(crate) has_ballot: bool,
    /// The ballot was just taken: the map is written anew under it, so that others know whose it is.
    pub(crate) is_claimed: bool,
    pub names: Names,
    pub(crate) copy: Copy,
    pub(crate) writers: Writers,
    pub(crate) token: u64,
    pub(crate) orders: Vec<Order>,
    /// The lead that the map was bound under, as the feed tells of it.
    pub(crate) bound: Option<(String, u64)>,
    pub(crate) born: u64,
    /// Why nothing goes on, for operators.
    pub why: String,
}

impl Default for Split {
    fn default() -> Split {
        Split {
            step: Step::Rest { until: 0 },
            map: None,
            has_ballot: false,
            is_claimed: false,
            names: Names::default(),
            copy: Copy::default(),
            writers: Writers::new(),
            token: 0,
            orders: Vec::new(),
            bound: None,
            born: 0,
            why: String::new(),
        }
    }
}

impl Split {
    pub fn tick(&mut self, view: &View<'_>) {
        if !view.is_holder {
            // Another holds it: what was begun here is its to undo.
            if self.has_ballot || !matches!(self.step, Step::Rest { .. }) {
                *self = Split { token: self.token, ..Split::default() };
            }
            return;
        }
        if self.born == 0 {
            self.born = view.now;
        }
        let now = view.now;
        match &mut self.step {
            Step::Rest { until } if *until <= now => self.rest_on(view),
            Step::Claiming { limit } | Step::Writing { limit, .. } if *limit <= now => self.lose(now),
            Step::Looking { limit, goal: Goal::Bind, .. } if *limit <= now => self.step = Step::Rest { until: now },
            Step::Looking { limit, .. } if *limit <= now => self.pause(now, "the databases that lead do not answer"),
            Step::Raising { limit, goal, .. } if *limit <= now => {
                let why = format!("no promotion came for {goal:?}").to_lowercase();
                self.back(view, &why);
            }
            Step::Looking { looks, .. } | Step::Raising { looks, .. } => {
                let orders = looks.look(view, &mut self.token);
                self.orders.extend(orders);
            }
            Step::Copying => self.copy_on(view),
            Step::Sealed { .. } => self.seal_on(view),
            _ => {}
        }
    }

    /// Nothing is under way here: is there anything to do?
    fn rest_on(&mut self, view: &View<'_>) {
        let now = view.now;
        if view.plan.is_none()
            && self.map.as_ref().is_none_or(|map| map.phase == SplitPhase::Resting)
            && !self.has_ballot
        {
            return;
        }
        if !self.has_ballot {
            self.orders.push(Order::Claim);
            self.step = Step::Claiming { limit: now + OP_US };
            return;
        }
        // What a predecessor left half done, or an unplanned promotion, first: back to rest under the term that is.
        let is_left = self
            .map
            .as_ref()
            .is_none_or(|map| map.phase != SplitPhase::Resting || map.superseded_term + map.superseded_target_term > 0);
        let lead = view.source.map(|(id, term)| (id.to_owned(), term));
        if is_left || self.is_claimed || (lead != self.bound && lead.is_some()) {
            return self.look(Goal::Bind, now);
        }
        let Some(until) = view.wanted_until_us.filter(|_| view.plan.is_some()) else {
            self.step = Step::Rest { until: now + BIND_US.min(100_000) };
            return;
        };
        if until <= view.epoch_us {
            return;
        }
        let known = self.names.len() as u64;
        if self.names.is_full() || known * 100 < view.rows * 95 {
            return self.pause(now, &format!("{known} things are known by name, the shard holds about {}", view.rows));
        }
        if self.born + YOUNG_US > now {
            return;
        }
        self.look(Goal::Begin, now);
    }

    fn look(&mut self, goal: Goal, now: u64) {
        self.step = Step::Looking { goal, limit: now + OP_US, looks: Looks::default() };
    }

    pub(crate) fn pause(&mut self, now: u64, why: &str) {
        if self.why != why {
            self.orders.push(Order::Say(why.to_owned()));
        }
        self.why = why.to_owned();
        self.step = Step::Rest { until: now + PAUSE_US };
    }

    /// The ballot is another's, or nobody can say whose.
    pub(crate) fn lose(&mut self, now: u64) {
        *self = Split { token: self.token, born: self.born, why: self.why.clone(), ..Split::default() };
        self.step = Step::Rest { until: now + 300_000 };
    }

    /// The try is over before the cutover: nothing has changed for anyone, and marks are no longer needed.
    pub(crate) fn back(&mut self, view: &View<'_>, why: &str) {
        self.orders.push(Order::Say(format!("split called off: {why}")));
        self.why = why.to_owned();
        self.copy.restart();
        self.writers.clear();
        self.look(Goal::Bind, view.now);
    }

    pub(crate) fn write(&mut self, map: SlotMap, then: After, now: u64) {
        self.step = Step::Writing { then, limit: now + OP_US };
        self.orders.push(Order::Write(map));
    }

    pub fn event(&mut self, event: Event, view: &View<'_>) {
        let now = view.now;
        match event {
            Event::Claimed(None) if matches!(self.step, Step::Claiming { .. }) => self.lose(now),
            Event::Claimed(Some((map, names))) if matches!(self.step, Step::Claiming { .. }) => {
                (self.has_ballot, self.bound) = (true, None);
                self.map = map;
                self.is_claimed = true;
                self.names.merge(names);
                self.step = Step::Rest { until: 0 };
            }
            Event::Written(None) if matches!(self.step, Step::Writing { .. }) => self.lose(now),
            Event::Written(Some(map)) => {
                if let Step::Writing { then, .. } = self.step {
                    self.map = Some(map);
                    self.written(then, view);
                }
            }
            Event::Ran { token, replies } => self.ran(token, replies, view),
            Event::Marks { node, marks } => self.marked(node, marks),
            _ => {}
        }
    }
}
