//! Events of a promotion under way.
use crate::step::{Step, CLAIM_US, PAUSE_FIRST_US, PAUSE_LAST_US, PAUSE_UP_US, POST_US, ROWS_US};
use crate::{choose_candidate, Choice, Duty, Effect, Event, Obstacle, View};

impl Duty {
    fn is_over(&self, now: u64) -> bool {
        self.step.deadline().is_some_and(|deadline| deadline <= now)
    }

    pub fn event(&mut self, event: Event, view: &View<'_>) {
        let now = view.now;
        // What was begun under a contact that is lost is not gone on with. And a node that stood still hears the answers
        // first and looks at its clock afterwards: they come too late.
        if !view.is_holder || self.is_over(now) {
            return self.tick(view);
        }
        match (self.step.clone(), event) {
            (Step::Probing { .. }, Event::Row { id, reply }) if Some(id.as_str()) == view.lead => match reply {
                // It lives, or does not lead and beats will tell who does: the doubt of some nodes is looked into more
                // and more rarely.
                Ok(_) => self.rest_longer(now),
                Err(_) => self.probed_down(view),
            },
            (Step::Claiming { .. }, Event::Claimed(Some((fence, is_succession)))) => {
                self.fence = Some(fence);
                // The call of a predecessor may have gone through: before anybody is named to the platform, be it only to
                // show it the fence, it is looked at who leads.
                self.is_fencing = view.lead.is_some() && is_succession;
                if self.is_fencing {
                    self.look_all(view);
                } else {
                    self.look_or_suspend(view);
                }
            }
            (Step::Claiming { .. }, Event::Claimed(None)) => self.give_up(now),
            // Whatever the return, the fence was seen, or the next call's return will say that it was not.
            (Step::Fencing { .. }, Event::Posted(Some(_))) => self.look_all(view),
            (Step::Fencing { .. }, Event::Posted(None)) => self.give_up(now),
            (Step::Looking { .. }, Event::Row { id, reply }) if self.asked.contains(&id) => {
                self.rows.insert(id, reply);
                if self.rows.len() >= self.asked.len() {
                    self.looked(view);
                }
            }
            (Step::Suspending { .. }, Event::Row { id, reply }) if self.asked.contains(&id) => {
                self.rows.insert(id, reply);
                if self.asked.iter().all(|id| self.rows.contains_key(id)) {
                    self.settle(view);
                }
            }
            (Step::Comparing { candidate, .. }, Event::Row { id, reply }) if Some(id.as_str()) == view.lead => {
                self.compared(candidate, reply, view)
            }
            (Step::Deposing { candidate, .. }, Event::Confirmed(true)) => self.depose(candidate, view),
            (Step::Deposing { candidate, .. }, Event::Row { id, reply }) if Some(id.as_str()) == view.lead => {
                self.yielded(candidate, reply, view)
            }
            (Step::Showing { lead, .. }, Event::Confirmed(true)) => {
                if let Some(fence) = self.fence {
                    self.effects.push(Effect::Post { id: lead, fence });
                    self.enter(Step::Fencing { deadline: now + POST_US });
                }
            }
            (Step::Confirming { candidate, .. }, Event::Confirmed(true)) => {
                if let Some(fence) = self.fence {
                    self.effects.push(Effect::Post { id: candidate.clone(), fence });
                    self.enter(Step::Posting { candidate, deadline: now + POST_US });
                }
            }
            // Another has it; or a call was not made, because its confirmation was over when its turn came.
            (
                Step::Showing { .. }
                | Step::Deposing { .. }
                | Step::Confirming { .. }
                | Step::Fencing { .. }
                | Step::Posting { .. },
                Event::Confirmed(false),
            ) => self.give_up(now),
            (Step::Posting { candidate, .. }, Event::Posted(code)) => match code {
                Some(200..=299) | None => self.watch(candidate, now),
                _ => self.give_up(now),
            },
            (Step::Watching { candidate, .. }, Event::Row { id, reply: Ok(status) })
                if id == candidate && status.is_primary =>
            {
                self.done(&candidate, Some(status.term), now)
            }
            _ => {}
        }
    }

    /// A lead that is down gets nothing acknowledged by being left a replica: all are suspended in one round, where
    /// the term is known. A planned end looks first, so that the candidate can go on receiving.
    fn look_or_suspend(&mut self, view: &View<'_>) {
        let is_planned = view.is_raise_wanted
            || view.databases.iter().any(|database| Some(database.id.as_str()) == view.lead && database.is_draining);
        if is_planned || self.is_cautious || view.term == 0 || !view.is_lead_down {
            return self.look_all(view);
        }
        self.rows.clear();
        (self.is_relooked, self.term) = (false, self.term.max(view.term));
        self.suspend(replicas(view), view);
    }

    /// Rows of all replicas are in, or late.
    pub(crate) fn looked(&mut self, view: &View<'_>) {
        let newest =
            self.rows.values().flatten().map(|status| status.term.max(status.suspended_term)).max().unwrap_or(0);
        self.term = self.term.max(newest);
        // Only a place in a log proves a term: terms of suspensions and of calls may never have come to be, and a rightful
        // primary must not be told to yield for them.
        let known = view.fenced.map_or(0, |(_, place)| place.term);
        // One that leads already ends the matter: a predecessor's call went through. Without a fence of one's own only a
        // term counts that is newer than any that was seen.
        let least = if self.fence.is_some() { known } else { known.max(view.term) + 1 };
        let is_led = |reply: &crate::StatusReply| reply.is_ok_and(|status| status.is_primary && status.term >= least);
        let led = self.rows.iter().find(|(_, reply)| is_led(reply)).map(|(id, reply)| (id.clone(), *reply));
        if self.fence.is_some() {
            // A primary of a term that is over is told so.
            let is_stray =
                |reply: &crate::StatusReply| reply.is_ok_and(|status| status.is_primary && status.term < known);
            let strays = self.rows.iter().filter(|(_, reply)| is_stray(reply)).map(|(id, _)| id.clone());
            self.effects.extend(strays.map(|id| Effect::Yield { id, term: known }));
        }
        if self.fence.is_none() {
            let held = |id: &String| {
                self.rows.get(id).is_some_and(|reply| reply.is_ok_and(|status| status.suspended_term > 0))
            };
            self.suspended = std::mem::take(&mut self.suspended).into_iter().filter(held).collect();
        }
        if let Some((id, status)) = led {
            return self.done(&id, status.ok().map(|status| status.term), view.now);
        }
        // The fence is not ours: this was a new holder's look at what was left behind.
        let Some(_) = self.fence else {
            self.release(None);
            return self.rest(view.now);
        };
        // To show the fence is a call like any other: not once somebody has a higher one.
        if let Some(lead) = view.lead.filter(|_| std::mem::take(&mut self.is_fencing)) {
            self.effects.push(Effect::Confirm);
            self.enter(Step::Showing { lead: lead.to_owned(), deadline: view.now + CLAIM_US });
            return;
        }
        let lead = view.lead;
        let choice =
            choose_candidate(view.databases, lead, &self.rows, view.sync_replicas, view.fenced, view.is_lead_down);
        let candidate = match choice {
            Choice::Candidate(candidate) => candidate,
            Choice::Blocked(obstacle) => return self.blocked(obstacle, view),
        };
        // The candidate goes on receiving: what the old primary can still get acknowledged then stands in its log.
        let others: Vec<String> = replicas(view).into_iter().filter(|id| *id != candidate).collect();
        let asked = others.iter().filter(|id| self.rows.get(*id).is_some_and(Result::is_ok)).cloned().collect();
        self.suspend(asked, view);
    }

    fn suspend(&mut self, ids: Vec<String>, view: &View<'_>) {
        self.asked = ids;
        if self.asked.is_empty() {
            return self.settle(view);
        }
        for id in self.asked.clone() {
            self.rows.remove(&id);
            self.effects.push(Effect::Suspend { id: id.clone(), term: self.term + 1 });
            self.suspended.push(id);
        }
        self.enter(Step::Suspending { deadline: view.now + ROWS_US });
    }

    /// All others are suspended: whoever has received most leads on.
    pub(crate) fn settle(&mut self, view: &View<'_>) {
        match choose_candidate(
            view.databases,
            view.lead,
            &self.rows,
            view.sync_replicas,
            view.fenced,
            view.is_lead_down,
        ) {
            // Only the one that was left receiving may have grown since its row; any other must be suspended.
            Choice::Candidate(candidate) => {
                let loose: Vec<String> =
                    self.rows.keys().filter(|id| **id != candidate && !self.suspended.contains(id)).cloned().collect();
                if loose.is_empty() {
                    return self.confirm(candidate, view.now);
                }
                // While the primary lives the one left receiving is ahead again at once: its row is only older.
                if !std::mem::replace(&mut self.is_relooked, true) {
                    loose.iter().for_each(|id| {
                        self.rows.remove(id);
                        self.effects.push(Effect::Look { id: id.clone() });
                    });
                    self.asked = loose;
                    self.enter(Step::Suspending { deadline: view.now + ROWS_US });
                    return;
                }
                self.suspend(loose, view);
            }
            Choice::Blocked(obstacle) => self.blocked(obstacle, view),
        }
    }

    pub(crate) fn rest(&mut self, now: u64) {
        (self.pause, self.is_cautious) = (PAUSE_FIRST_US, false);
        self.enter(Step::Rest { until: now + PAUSE_FIRST_US });
    }

    pub(crate) fn rest_longer(&mut self, now: u64) {
        self.pause = (self.pause * 2).min(PAUSE_UP_US);
        self.enter(Step::Rest { until: now + self.pause });
    }

    pub(crate) fn stall(&mut self, obstacle: Obstacle, now: u64) {
        self.effects.push(Effect::Stalled(obstacle));
        self.give_up(now);
    }

    /// Nothing is left suspended behind an attempt that led nowhere.
    pub(crate) fn give_up(&mut self, now: u64) {
        self.release(None);
        self.is_cautious = true;
        self.enter(Step::Rest { until: now + self.pause });
        self.pause = (self.pause * 2).min(PAUSE_LAST_US);
    }
}

pub(crate) fn replicas(view: &View<'_>) -> Vec<String> {
    view.databases
        .iter()
        .filter(|database| Some(database.id.as_str()) != view.lead && database.is_asked())
        .map(|database| database.id.clone())
        .collect()
}
