//! Replacing a primary that leaves while a replica is silent that could hold what no other replica has.
//!
//! While a primary lives, what is acknowledged stands in its own log, whoever else has it. So a silent replica need not be
//! waited for once the primary itself has said where its log ends and can add nothing more: it is told to yield, and
//! answers with its row. A candidate that has received as much lacks nothing.
//!
//! Comes in: what blocks the choice, rows of the primary, confirmations of the fence. Goes out: `Look` and `Depose` for the
//! primary, `Confirm` for the fence. Invariants:
//! - a primary is told to yield only where no node in touch gives it new work any more, so that nothing is lost to clients
//!   that it would still have served, and only under a fence confirmed just before;
//! - it is told only if the candidate had received all of its log a moment before: a primary that has yielded sends
//!   nothing on, so a candidate that lacks something then would never catch up;
//! - its row counts as the end of its log only once it says that it is no primary any more, in the term in which it led.
use crate::step::{Step, CLAIM_US, PAUSE_FIRST_US, ROWS_US};
use crate::{Duty, Effect, Obstacle, StatusReply, View};
use wv_wire_protocol::{DatabaseStatus, LogPosition};

/// A primary that was told to yield, the term in which it led, and where its log ends once it has said so.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Deposed {
    primary: String,
    term: u64,
    /// The term under which it was ordered to yield, once it was.
    yield_term: Option<u64>,
    end: Option<LogPosition>,
}

impl Deposed {
    /// Whether this row of a replica is one of the primary that yielded, and of no later term than that.
    fn is_yielded(&self, status: &DatabaseStatus) -> bool {
        !status.is_primary && (status.term == self.term || Some(status.term) == self.yield_term)
    }
}

impl Duty {
    /// An attempt is blocked: where only silence is in the way, the primary is asked itself.
    pub(crate) fn blocked(&mut self, obstacle: Obstacle, view: &View<'_>) {
        let Obstacle::Silent { candidate, .. } = &obstacle else { return self.stall(obstacle, view.now) };
        let (Some(primary), true) = (view.lead, view.is_lead_past_drain) else { return self.stall(obstacle, view.now) };
        let candidate = candidate.clone();
        let end = self.deposed.as_ref().filter(|deposed| deposed.primary == primary).and_then(|deposed| deposed.end);
        if end.is_some_and(|end| self.has_received(&candidate, end)) {
            return self.confirm(candidate, view.now);
        }
        self.effects.push(Effect::Look { id: primary.to_owned() });
        self.enter(Step::Comparing { candidate, deadline: view.now + ROWS_US });
    }

    fn has_received(&self, candidate: &str, end: LogPosition) -> bool {
        self.rows.get(candidate).is_some_and(|reply| reply.is_ok_and(|status| status.received >= end))
    }

    /// The fence is confirmed, and then the candidate is named to the platform.
    pub(crate) fn confirm(&mut self, candidate: String, now: u64) {
        self.effects.push(Effect::Confirm);
        self.enter(Step::Confirming { candidate, deadline: now + CLAIM_US });
    }

    /// The primary's row, before it is told anything.
    pub(crate) fn compared(&mut self, candidate: String, reply: StatusReply, view: &View<'_>) {
        let Some(primary) = view.lead else { return self.give_up(view.now) };
        let Ok(status) = reply else {
            return self
                .stall(Obstacle::Silent { candidate, replica: primary.to_owned(), reply: reply.err() }, view.now);
        };
        let has_yielded =
            self.deposed.as_ref().is_some_and(|deposed| deposed.primary == primary && deposed.is_yielded(&status));
        // One that says it is a replica, and was not told so by this holder, may have been deposed by a promotion.
        let is_primary = (status.is_primary && status.term >= self.term_led(view)) || has_yielded;
        if !is_primary || !self.has_received(&candidate, status.received) {
            return self.primary_ahead(candidate, primary, status, view.now);
        }
        if !has_yielded {
            self.deposed =
                Some(Deposed { primary: primary.to_owned(), term: status.term, yield_term: None, end: None });
        }
        self.term = self.term.max(status.term);
        self.effects.push(Effect::Confirm);
        self.enter(Step::Deposing { candidate, deadline: view.now + CLAIM_US });
    }

    /// The newest term in which anybody is known to have led.
    fn term_led(&self, view: &View<'_>) -> u64 {
        let fenced = view.fenced.map_or(0, |(_, place)| place.term);
        fenced.max(self.rows.values().flatten().map(|status| status.term).max().unwrap_or(0))
    }

    /// The primary has something that the candidate lacks: what is under way gets there soon, and the attempt is made anew.
    fn primary_ahead(&mut self, candidate: String, primary: &str, status: DatabaseStatus, now: u64) {
        let received =
            self.rows.get(&candidate).and_then(|reply| reply.ok()).map_or(LogPosition::default(), |row| row.received);
        self.pause = PAUSE_FIRST_US;
        let ahead = primary.to_owned();
        self.stall(Obstacle::Behind { candidate, received, ahead, ahead_received: status.received }, now);
    }

    /// The fence stands: the primary is told.
    pub(crate) fn depose(&mut self, candidate: String, view: &View<'_>) {
        let Some(primary) = view.lead else { return self.give_up(view.now) };
        let term = self.term + 1;
        self.deposed.iter_mut().for_each(|deposed| deposed.yield_term = Some(term));
        self.effects.push(Effect::Depose { id: primary.to_owned(), term });
        self.enter(Step::Deposing { candidate, deadline: view.now + ROWS_US });
    }

    /// The primary's answer to that. Whoever has received all of its log leads on, whatever a silent one holds.
    pub(crate) fn yielded(&mut self, candidate: String, reply: StatusReply, view: &View<'_>) {
        let Some(primary) = view.lead else { return self.give_up(view.now) };
        let deposed = self.deposed.clone().filter(|deposed| deposed.primary == primary);
        let (Ok(status), Some(deposed)) = (reply, deposed) else { return self.give_up(view.now) };
        if !deposed.is_yielded(&status) {
            return self.give_up(view.now);
        }
        self.deposed = Some(Deposed { end: Some(status.received), ..deposed });
        if !self.has_received(&candidate, status.received) {
            return self.primary_ahead(candidate, primary, status, view.now);
        }
        self.confirm(candidate, view.now);
    }
}
