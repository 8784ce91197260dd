//! Since when databases leave, as this node knows, and the ages that go out with each word on them.
//!
//! Comes in: each word on a database, from itself or from another control node. Goes out: an age on each word that is
//! sent, reckoned at the moment of sending. Remembered: when each one that leaves first said so, and which ones were heard
//! in service in this life. Invariant: an age that goes out is no smaller than any that came in, or than the time since
//! this life first heard of the leave. One whose first word in this life is that it leaves may have said so to others long
//! ago, and may have been acknowledged: nobody here knows since when.
use crate::core::Core;
use std::collections::{BTreeMap, BTreeSet};
use wv_internal_protocol::{FeedUpdate, Instance, LeaveTime, Message, UNKNOWN_AGE_US};

/// A leave that turns out to be older by this much is told to followers anew.
const TELL_AGAIN_US: u64 = 50_000;

/// What access nodes gave a database last is over by this long after they stopped, but for long transactions.
const UNDER_WAY_US: u64 = 300_000;

/// From whom a word comes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Teller {
    Database,
    Peer,
}

/// What a control node keeps of leaves.
pub(crate) struct Drains {
    since: BTreeMap<String, LeaveTime>,
    in_service: BTreeSet<String>,
    /// How long after it said that it leaves access nodes give a database new work.
    new_work_us: u64,
}

impl Default for Drains {
    fn default() -> Drains {
        Drains {
            since: BTreeMap::new(),
            in_service: BTreeSet::new(),
            new_work_us: wv_internal_protocol::new_work_window_us(
                wv_internal_protocol::DEFAULT_DRAIN_US,
                wv_internal_protocol::DEFAULT_CONTACT_US,
            ),
        }
    }
}

impl Drains {
    /// Takes a word on a database that stands in the table as `held`, which may have waited here for `lag_us`. Returns whether
    /// its leave is older than was known.
    fn hear(&mut self, word: &Instance, held: &Instance, teller: Teller, (now, lag_us): (u64, u64)) -> bool {
        if !held.draining {
            self.since.remove(&held.id);
            if teller == Teller::Database || word.leaving_age_us == 0 {
                self.in_service.insert(held.id.clone());
            }
            return false;
        }
        if !word.draining {
            return false;
        }
        let is_known = self.in_service.contains(&held.id) || self.since.contains_key(&held.id);
        let age_us = match teller {
            Teller::Database if is_known => 0,
            Teller::Database => UNKNOWN_AGE_US,
            Teller::Peer => word.leaving_age_us,
        };
        let since = LeaveTime::from_age(now, age_us.saturating_add(lag_us));
        let known = self.since.entry(held.id.clone()).or_insert(since);
        let is_older = since.age_us(now) > known.age_us(now) + TELL_AGAIN_US;
        *known = (*known).min(since);
        is_older
    }

    fn age_us(&self, inst: &Instance, now: u64) -> u64 {
        match self.since.get(&inst.id).filter(|_| inst.draining) {
            Some(since) => since.age_us(now),
            None if !inst.draining && self.in_service.contains(&inst.id) => 0,
            None => UNKNOWN_AGE_US,
        }
    }

    /// Puts the ages of this moment into a message that is about to be sent.
    pub(crate) fn stamp(&self, msg: &mut Message, now: u64) {
        let stamp = |inst: &mut Instance| inst.leaving_age_us = self.age_us(inst, now);
        match msg {
            Message::Instance { instance: inst, .. } | Message::Update { update: FeedUpdate::Instance(inst), .. } => {
                stamp(inst)
            }
            Message::InstanceRange { instances: insts, .. } => insts.iter_mut().for_each(stamp),
            Message::Snapshot { updates: news, .. } => news.iter_mut().for_each(|news| {
                if let FeedUpdate::Instance(inst) = news {
                    stamp(inst);
                }
            }),
            _ => {}
        }
    }

    /// Whether access nodes give this database no new work by now.
    fn is_past_drain(&self, inst: &Instance, now: u64) -> bool {
        inst.gone || (inst.draining && self.age_us(inst, now) >= self.new_work_us + UNDER_WAY_US)
    }

    pub(crate) fn forget(&mut self, is_known: impl Fn(&str) -> bool) {
        self.since.retain(|id, _| is_known(id));
        self.in_service.retain(|id| is_known(id));
    }
}

impl Core {
    /// The platform's bound on work for a database that leaves, and the time after which calm machines are in touch.
    pub fn set_drain(&mut self, drain_us: u64, contact_us: u64) {
        self.drains.new_work_us = wv_internal_protocol::new_work_window_us(drain_us, contact_us);
    }

    /// Dates the leave of a database that the table has just been told of; followers hear of one that is older than known.
    pub(crate) fn date_leave(&mut self, word: &Instance, teller: Teller) {
        let Some(held) = self.table.get(&word.id).filter(|held| !held.gone) else { return };
        if self.drains.hear(word, held, teller, (self.now, self.contact.stalls.lag_us(self.now))) {
            let inst = held.clone();
            self.publish(FeedUpdate::Instance(inst));
        }
    }

    /// Databases that leave are told of whole where digests could pass for equal: they say nothing of ages.
    pub(crate) fn tell_leaves(&mut self, link: u64) {
        let leaving: Vec<Instance> = self.table.iter().filter(|inst| inst.draining && !inst.gone).cloned().collect();
        leaving
            .into_iter()
            .for_each(|inst| self.send(link, Message::Instance { requester: 0, request: 0, instance: inst }));
    }

    /// Whether a service's primary is given no new work by any access node in touch, as it leaves or is gone.
    pub(crate) fn is_past_drain(&self, id: &str) -> bool {
        self.table.get(id).is_some_and(|inst| self.drains.is_past_drain(inst, self.now))
    }
}
