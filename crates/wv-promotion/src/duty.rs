//! The duty of promotion for one service: what it remembers, and what time brings.
use crate::step::{Step, AGREE_US, CLAIM_US, PAUSE_FIRST_US, ROWS_US, WATCH_GAP_US, WATCH_US};
use crate::steps::replicas;
use crate::StatusReply;
use crate::{Effect, View};
use std::collections::BTreeMap;

/// The duty for one service.
#[derive(Clone, Debug)]
pub struct Duty {
    pub(crate) step: Step,
    pub(crate) fence: Option<u64>,
    pub(crate) rows: BTreeMap<String, StatusReply>,
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
    /// A primary that leaves and was told to yield.
    pub(crate) deposed: Option<crate::depose::Deposed>,
    was_past_drain: bool,
    was_holder: bool,
    /// Counts the steps: what was asked in an earlier one is answered too late.
    step_number: u64,
    pub(crate) effects: Vec<Effect>,
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
            deposed: None,
            was_past_drain: false,
            was_holder: false,
            step_number: 1,
            effects: Vec::new(),
        }
    }
}

impl Duty {
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The step under way, by number: an event counts only in the step whose effects it answers.
    pub fn step_number(&self) -> u64 {
        self.step_number
    }

    pub(crate) fn enter(&mut self, step: Step) {
        self.step_number += 1;
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
    pub fn candidate(&self) -> Option<&str> {
        match &self.step {
            Step::Posting { candidate, .. } | Step::Watching { candidate, .. } => Some(candidate),
            _ => None,
        }
    }

    pub fn tick(&mut self, view: &View<'_>) {
        if !view.is_holder {
            // Another node holds the duty: what was begun here is its to finish or to undo.
            if self.was_holder {
                *self = Duty { step_number: self.step_number + 1, ..Duty::default() };
            }
            return;
        }
        // A new holder looks once for what a predecessor left suspended.
        if !std::mem::replace(&mut self.was_holder, true) && self.is_resting() {
            self.suspended = replicas(view);
            return self.look_all(view);
        }
        let now = view.now;
        // What was in the way of a planned end may be none any more.
        let was_past_drain = std::mem::replace(&mut self.was_past_drain, view.is_lead_past_drain);
        let is_newly_past_drain = view.is_lead_past_drain && !was_past_drain;
        match self.step.clone() {
            Step::Rest { until } if until <= now || is_newly_past_drain => self.trigger(view),
            Step::Probing { deadline } if deadline <= now => self.probed_down(view),
            Step::Agreeing { .. } if view.is_lead_down => self.claim(now),
            Step::Agreeing { deadline } if deadline <= now => self.rest(now),
            Step::Looking { deadline } if deadline <= now => self.looked(view),
            Step::Suspending { deadline } if deadline <= now => self.settle(view),
            Step::Watching { next, deadline, candidate } => {
                if deadline <= now {
                    self.give_up(now);
                } else if view.lead == Some(candidate.as_str()) {
                    self.done(&candidate, None, now);
                } else if next <= now {
                    self.effects.push(Effect::Look { id: candidate.clone() });
                    self.step = Step::Watching { candidate, next: now + WATCH_GAP_US, deadline };
                }
            }
            Step::Claiming { deadline }
            | Step::Showing { deadline, .. }
            | Step::Fencing { deadline }
            | Step::Comparing { deadline, .. }
            | Step::Deposing { deadline, .. }
            | Step::Confirming { deadline, .. }
                if deadline <= now =>
            {
                self.give_up(now)
            }
            // Silence of the platform is no no: first it is looked at what came of the call.
            Step::Posting { deadline, candidate } if deadline <= now => self.watch(candidate, now),
            _ => {}
        }
    }

    fn trigger(&mut self, view: &View<'_>) {
        let Some(lead) = view.lead else { return };
        let database = view.databases.iter().find(|database| database.id == lead);
        let has_other = view.databases.iter().any(|database| database.id != lead && database.left.is_none());
        if !has_other {
            return;
        }
        // A planned end needs no second look; a lead that anyone calls down gets one from here.
        if view.is_raise_wanted || database.is_none_or(|database| database.is_draining) {
            self.claim(view.now);
        } else if !view.is_lead_doubted {
            self.pause = PAUSE_FIRST_US;
        } else {
            self.effects.push(Effect::Look { id: lead.to_owned() });
            self.enter(Step::Probing { deadline: view.now + ROWS_US });
        }
    }

    /// The holder cannot reach it either: with the others' agreement that is enough.
    pub(crate) fn probed_down(&mut self, view: &View<'_>) {
        if view.is_lead_down {
            return self.claim(view.now);
        }
        self.enter(Step::Agreeing { deadline: view.now + AGREE_US });
    }

    pub(crate) fn claim(&mut self, now: u64) {
        self.is_fencing = false;
        self.effects.push(Effect::Claim);
        self.enter(Step::Claiming { deadline: now + CLAIM_US });
    }

    pub(crate) fn look_all(&mut self, view: &View<'_>) {
        self.rows.clear();
        self.is_relooked = false;
        self.asked = replicas(view);
        self.effects.extend(self.asked.iter().map(|id| Effect::Look { id: id.clone() }));
        self.enter(Step::Looking { deadline: view.now + ROWS_US });
    }

    pub(crate) fn watch(&mut self, candidate: String, now: u64) {
        self.enter(Step::Watching { candidate, next: now + WATCH_GAP_US, deadline: now + WATCH_US });
    }

    pub(crate) fn done(&mut self, id: &str, term: Option<u64>, now: u64) {
        self.effects.push(Effect::Led { id: id.to_owned(), term: term.unwrap_or(self.term + 1) });
        self.term = term.unwrap_or(self.term + 1);
        self.deposed = None;
        self.release(Some(id));
        self.rest(now);
    }

    pub(crate) fn release(&mut self, but: Option<&str>) {
        for id in std::mem::take(&mut self.suspended) {
            if Some(id.as_str()) != but {
                self.effects.push(Effect::Continue { id });
            }
        }
    }
}
