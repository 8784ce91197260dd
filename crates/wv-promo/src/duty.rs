use crate::steps::replicas;
use crate::Word;
use crate::{Order, View};
use std::collections::BTreeMap;

/// How long databases may take to give their rows.
pub(crate) const ROWS_US: u64 = 450_000;
/// How long the holder's own failed look stands while others come to agree.
const AGREE_US: u64 = 800_000;
pub(crate) const CLAIM_US: u64 = 1_200_000;
pub(crate) const POST_US: u64 = 1_500_000;
/// Between looks at a nominee that is on its way to lead.
const WATCH_GAP_US: u64 = 300_000;
const WATCH_US: u64 = 2_500_000;
/// After an attempt that led nowhere.
pub(crate) const PAUSE_FIRST_US: u64 = 150_000;
/// Between looks at a lead that some doubt and that answers.
pub(crate) const PAUSE_UP_US: u64 = 500_000;
pub(crate) const PAUSE_LAST_US: u64 = 1_200_000;

#[derive(Clone, PartialEq, Debug)]
pub(crate) enum Step {
    Rest {
        until: u64,
    },
    /// The holder's own look at a lead that another calls down.
    Probing {
        limit: u64,
    },
    /// From here it is down as well; others have still to agree.
    Agreeing {
        limit: u64,
    },
    Claiming {
        limit: u64,
    },
    /// The fence is confirmed, to be shown to the platform.
    Showing {
        lead: String,
        limit: u64,
    },
    /// A predecessor may have a call under way: the platform is shown the new fence first.
    Fencing {
        limit: u64,
    },
    Looking {
        limit: u64,
    },
    Suspending {
        limit: u64,
    },
    Confirming {
        nominee: String,
        limit: u64,
    },
    Posting {
        nominee: String,
        limit: u64,
    },
    Watching {
        nominee: String,
        next: u64,
        limit: u64,
    },
}

/// The duty for one service.
#[derive(Clone, Debug)]
pub struct Duty {
    pub(crate) step: Step,
    pub(crate) fence: Option<u64>,
    pub(crate) rows: BTreeMap<String, Word>,
    pub(crate) asked: Vec<String>,
    pub(crate) suspended: Vec<String>,
    /// The one left receiving was looked at once more after the others were suspended.
    pub(crate) is_relooked: bool,
    /// The last attempt that suspended unseen led nowhere: look first.
    pub(crate) is_cautious: bool,
    /// The look under way comes before the platform is shown the new fence.
    pub(crate) is_fencing: bool,
    pub(crate) term: u64,
    pub(crate) pause: u64,
    was_holder: bool,
    /// Counts the steps: what was asked in an earlier one is answered too late.
    turn: u64,
    pub(crate) orders: Vec<Order>,
}

impl Default for Duty {
    fn default() -> Duty {
        Duty {
            step: Step::Rest { until: 0 },
            fence: None,
            rows: BTreeMap::new(),
            asked: Vec::new(),
            suspended: Vec::new(),
            is_relooked: false,
            is_cautious: false,
            is_fencing: false,
            term: 0,
            pause: PAUSE_FIRST_US,
            was_holder: false,
            turn: 1,
            orders: Vec::new(),
        }
    }
}

impl Duty {
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// The step under way, by number: an event counts only in the step whose orders it answers.
    pub fn turn(&self) -> u64 {
        self.turn
    }

    pub(crate) fn enter(&mut self, step: Step) {
        self.turn += 1;
        self.step = step;
    }

    /// Something may have to be undone when another comes to hold it.
    pub fn is_engaged(&self) -> bool {
        self.was_holder
    }

    pub fn is_resting(&self) -> bool {
        matches!(self.step, Step::Rest { .. })
    }

    /// The database on its way to lead, once the platform was called.
    pub fn nominee(&self) -> Option<&str> {
        match &self.step {
            Step::Posting { nominee, .. } | Step::Watching { nominee, .. } => Some(nominee),
            _ => None,
        }
    }

    pub fn tick(&mut self, view: &View<'_>) {
        if !view.is_holder {
            // Another node holds the duty: what was begun here is its to finish or to undo.
            if self.was_holder {
                *self = Duty { turn: self.turn + 1, ..Duty::default() };
            }
            return;
        }
        // A new holder looks once for what a predecessor left suspended.
        if !std::mem::replace(&mut self.was_holder, true) && self.is_resting() {
            self.suspended = replicas(view);
            return self.look_all(view);
        }
        let now = view.now;
        match self.step.clone() {
            Step::Rest { until } if until <= now => self.trigger(view),
            Step::Probing { limit } if limit <= now => self.probed_down(view),
            Step::Agreeing { .. } if view.is_lead_down => self.claim(now),
            Step::Agreeing { limit } if limit <= now => self.rest(now),
            Step::Looking { limit } if limit <= now => self.looked(view),
            Step::Suspending { limit } if limit <= now => self.settle(view),
            Step::Watching { next, limit, nominee } => {
                if limit <= now {
                    self.give_up(now);
                } else if view.lead == Some(nominee.as_str()) {
                    self.done(&nominee, None, now);
                } else if next <= now {
                    self.orders.push(Order::Look { id: nominee.clone() });
                    self.step = Step::Watching { nominee, next: now + WATCH_GAP_US, limit };
                }
            }
            Step::Claiming { limit }
            | Step::Showing { limit, .. }
            | Step::Fencing { limit }
            | Step::Confirming { limit, .. }
                if limit <= now =>
            {
                self.give_up(now)
            }
            // Silence of the platform is no no: first it is looked at what came of the call.
            Step::Posting { limit, nominee } if limit <= now => self.watch(nominee, now),
            _ => {}
        }
    }

    fn trigger(&mut self, view: &View<'_>) {
        let Some(lead) = view.lead else { return };
        let seat = view.seats.iter().find(|seat| seat.id == lead);
        let has_other = view.seats.iter().any(|seat| seat.id != lead && seat.left.is_none());
        if !has_other {
            return;
        }
        // A planned end needs no second look; a lead that anyone calls down gets one from here.
        if view.is_raise_wanted || seat.is_none_or(|seat| seat.is_draining) {
            self.claim(view.now);
        } else if !view.is_lead_doubted {
            self.pause = PAUSE_FIRST_US;
        } else {
            self.orders.push(Order::Look { id: lead.to_owned() });
            self.enter(Step::Probing { limit: view.now + ROWS_US });
        }
    }

    /// The holder cannot reach it either: with the others' agreement that is enough.
    pub(crate) fn probed_down(&mut self, view: &View<'_>) {
        if view.is_lead_down {
            return self.claim(view.now);
        }
        self.enter(Step::Agreeing { limit: view.now + AGREE_US });
    }

    pub(crate) fn claim(&mut self, now: u64) {
        self.is_fencing = false;
        self.orders.push(Order::Claim);
        self.enter(Step::Claiming { limit: now + CLAIM_US });
    }

    pub(crate) fn look_all(&mut self, view: &View<'_>) {
        self.rows.clear();
        self.is_relooked = false;
        self.asked = replicas(view);
        self.orders.extend(self.asked.iter().map(|id| Order::Look { id: id.clone() }));
        self.enter(Step::Looking { limit: view.now + ROWS_US });
    }

    pub(crate) fn watch(&mut self, nominee: String, now: u64) {
        self.enter(Step::Watching { nominee, next: now + WATCH_GAP_US, limit: now + WATCH_US });
    }

    pub(crate) fn done(&mut self, id: &str, term: Option<u64>, now: u64) {
        self.orders.push(Order::Led { id: id.to_owned(), term: term.unwrap_or(self.term + 1) });
        self.term = term.unwrap_or(self.term + 1);
        self.release(Some(id));
        self.rest(now);
    }

    pub(crate) fn release(&mut self, but: Option<&str>) {
        for id in std::mem::take(&mut self.suspended) {
            if Some(id.as_str()) != but {
                self.orders.push(Order::Continue { id });
            }
        }
    }
}
