//! Events of a promotion under way.
use crate::duty::{replicas, Step, CLAIM_US, POST_US, ROWS_US};
use crate::{nominate, Duty, Event, Order, Verdict, View};

impl Duty {
    pub fn event(&mut self, event: Event, view: &View<'_>) {
        let now = view.now;
        match (self.step.clone(), event) {
            (Step::Probing { .. }, Event::Row { id, word }) if Some(id.as_str()) == view.lead => match word {
                // It lives, or does not lead and beats will tell who does: the doubt of some nodes is looked into more
                // and more rarely.
                Ok(_) => self.rest_longer(now),
                Err(_) => self.probed_down(view),
            },
            (Step::Claiming { .. }, Event::Claimed(Some((fence, is_succession)))) => {
                self.fence = Some(fence);
                match view.lead.filter(|_| is_succession) {
                    Some(lead) => {
                        self.orders.push(Order::Post { id: lead.to_owned(), fence });
                        self.step = Step::Fencing { limit: now + POST_US };
                    }
                    None => self.look_or_suspend(view),
                }
            }
            (Step::Claiming { .. }, Event::Claimed(None)) => self.give_up(now),
            // Whatever the return, the fence was seen, or the next call's return will say that it was not.
            (Step::Fencing { .. }, Event::Posted(Some(_))) => self.look_all(view),
            (Step::Fencing { .. }, Event::Posted(None)) => self.give_up(now),
            (Step::Looking { .. }, Event::Row { id, word }) if self.asked.contains(&id) => {
                self.rows.insert(id, word);
                if self.rows.len() >= self.asked.len() {
                    self.looked(view);
                }
            }
            (Step::Suspending { .. }, Event::Row { id, word }) if self.asked.contains(&id) => {
                self.rows.insert(id, word);
                if self.asked.iter().all(|id| self.rows.contains_key(id)) {
                    self.settle(view);
                }
            }
            (Step::Confirming { nominee, .. }, Event::Confirmed(true)) => {
                if let Some(fence) = self.fence {
                    self.orders.push(Order::Post { id: nominee.clone(), fence });
                    self.step = Step::Posting { nominee, limit: now + POST_US };
                }
            }
            (Step::Confirming { .. }, Event::Confirmed(false)) => self.give_up(now),
            (Step::Posting { nominee, .. }, Event::Posted(code)) => match code {
                Some(200..=299) | None => self.watch(nominee, now),
                _ => self.give_up(now),
            },
            (Step::Watching { nominee, .. }, Event::Row { id, word: Ok(status) })
                if id == nominee && status.is_primary =>
            {
                self.done(&nominee, Some(status.term), now)
            }
            _ => {}
        }
    }

    /// A lead that is down gets nothing acknowledged by being left a replica: all are suspended in one round, where
    /// the term is known. A planned end looks first, so that the nominee can go on receiving.
    fn look_or_suspend(&mut self, view: &View<'_>) {
        let is_planned = view.is_raise_wanted
            || view.seats.iter().any(|seat| Some(seat.id.as_str()) == view.lead && seat.is_draining);
        if is_planned || self.is_cautious || view.term == 0 || !view.is_lead_down {
            return self.look_all(view);
        }
        self.rows.clear();
        (self.is_relooked, self.term) = (false, self.term.max(view.term));
        self.suspend(replicas(view), view);
    }

    /// Rows of all replicas are in, or late.
    pub(crate) fn looked(&mut self, view: &View<'_>) {
        let newest = self.rows.values().flatten().map(|status| status.term.max(status.held)).max().unwrap_or(0);
        self.term = self.term.max(newest);
        // The fence is not ours: this was a new holder's look at what was left behind.
        let Some(_) = self.fence else {
            let held = |id: &String| self.rows.get(id).is_some_and(|word| word.is_ok_and(|status| status.held > 0));
            self.suspended = std::mem::take(&mut self.suspended).into_iter().filter(held).collect();
            self.release(None);
            return self.rest(view.now);
        };
        // A primary of a term that is over is told so. Only a place in a log proves a term: terms of suspensions and
        // of calls may never have come to be, and a rightful primary must not be told to yield for them.
        let known = view.fenced.map_or(0, |(_, place)| place.term);
        let is_stray = |word: &crate::Word| word.is_ok_and(|status| status.is_primary && status.term < known);
        let strays = self.rows.iter().filter(|(_, word)| is_stray(word)).map(|(id, _)| id.clone());
        self.orders.extend(strays.map(|id| Order::Yield { id, term: known }));
        // One that leads already ends the matter: a predecessor's call went through.
        let is_led = |word: &crate::Word| word.is_ok_and(|status| status.is_primary && status.term >= known);
        let led = self.rows.iter().find(|(_, word)| is_led(word));
        if let Some((id, status)) = led.map(|(id, status)| (id.clone(), *status)) {
            return self.done(&id, status.ok().map(|status| status.term), view.now);
        }
        let lead = view.lead;
        let verdict = nominate(view.seats, lead, &self.rows, view.sync_replicas, view.fenced, view.is_lead_down);
        let Verdict::Nominee(nominee) = verdict else { return self.give_up(view.now) };
        // The nominee goes on receiving: what the old primary can still get acknowledged then stands in its log.
        let others: Vec<String> = replicas(view).into_iter().filter(|id| *id != nominee).collect();
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
            self.orders.push(Order::Suspend { id: id.clone(), term: self.term + 1 });
            self.suspended.push(id);
        }
        self.step = Step::Suspending { limit: view.now + ROWS_US };
    }

    /// All others are suspended: whoever has received most leads on.
    pub(crate) fn settle(&mut self, view: &View<'_>) {
        match nominate(view.seats, view.lead, &self.rows, view.sync_replicas, view.fenced, view.is_lead_down) {
            // Only the one that was left receiving may have grown since its row; any other must be suspended.
            Verdict::Nominee(nominee) => {
                let loose: Vec<String> =
                    self.rows.keys().filter(|id| **id != nominee && !self.suspended.contains(id)).cloned().collect();
                if loose.is_empty() {
                    self.orders.push(Order::Confirm);
                    self.step = Step::Confirming { nominee, limit: view.now + CLAIM_US };
                    return;
                }
                // While the primary lives the one left receiving is ahead again at once: its row is only older.
                if !std::mem::replace(&mut self.is_relooked, true) {
                    loose.iter().for_each(|id| {
                        self.rows.remove(id);
                        self.orders.push(Order::Look { id: id.clone() });
                    });
                    self.asked = loose;
                    self.step = Step::Suspending { limit: view.now + ROWS_US };
                    return;
                }
                self.suspend(loose, view);
            }
            Verdict::Blocked => self.give_up(view.now),
        }
    }
}
