//! One database as this node sees it: its own words, and whether it answers.
use wv_internal_protocol::{Health, Instance, LeaveTime};

/// Agreeing sightings wanted before a database is isolated, and before it is let in again.
const DOWN_AGREE: u32 = 2;
const UP_AGREE: u32 = 2;
/// Pauses between looks at an isolated database.
const LOOK_FIRST_US: u64 = 100_000;
const LOOK_LAST_US: u64 = 800_000;
/// How long a primary's `READONLY` stands against what the control side last said.
const DOUBT_US: u64 = 400_000;

/// A database's leave as this node knows it.
#[derive(Clone, Copy, Debug)]
pub struct Leaving {
    pub since: LeaveTime,
    /// Statements and transactions begun there since.
    pub new_work: u64,
    /// It was said that some came too late.
    pub is_overdue_logged: bool,
}

impl Leaving {
    pub fn new(since: LeaveTime) -> Leaving {
        Leaving { since, new_work: 0, is_overdue_logged: false }
    }
}

#[derive(Debug)]
pub struct Member {
    pub inst: Instance,
    pub sight: Health,
    /// Since when the sight stands.
    pub since: u64,
    is_isolated: bool,
    agreeing: u32,
    /// When an isolated database may be looked at next.
    pub next_look: u64,
    look_gap: u64,
    pub(crate) doubted_until: u64,
    /// When the control side last told of it.
    pub touched: u64,
    /// Gone because a whole list left it out, not by a word on it.
    pub(crate) is_missing: bool,
    /// Set from the first word that it leaves until it is in service again.
    pub leaving: Option<Leaving>,
}

impl Member {
    pub(crate) fn new(inst: Instance, since: LeaveTime, now: u64) -> Member {
        Member {
            leaving: inst.draining.then(|| Leaving::new(since)),
            inst,
            sight: Health::Up,
            since: now,
            is_isolated: false,
            agreeing: 0,
            next_look: 0,
            look_gap: LOOK_FIRST_US,
            doubted_until: 0,
            touched: now,
            is_missing: false,
        }
    }

    /// Whether this copy is not older than the one held. What has left by its own word comes back only by a later one.
    pub(crate) fn is_news(&self, inst: &Instance) -> bool {
        let has_left = self.inst.gone && !self.is_missing && !inst.gone;
        inst.sequence > self.inst.sequence || (inst.sequence == self.inst.sequence && !has_left)
    }

    /// Takes what is told of it. A leave is dated by the earliest that anybody says, also by a word that is no news.
    pub(crate) fn tell(&mut self, inst: &Instance, since: LeaveTime, now: u64) {
        if self.is_news(inst) {
            (self.inst, self.touched, self.is_missing) = (inst.clone(), now, false);
        }
        if !self.inst.draining {
            self.leaving = None;
        } else if inst.draining {
            let leaving = self.leaving.get_or_insert(Leaving::new(since));
            leaving.since = leaving.since.min(since);
        }
    }

    /// Whether it said that it leaves longer ago than it may be given new work.
    pub fn is_past_drain(&self, new_work_us: u64, now: u64) -> bool {
        self.leaving.is_some_and(|leaving| leaving.since.age_us(now) >= new_work_us)
    }

    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Whether the last sighting was bad, though not yet confirmed by another.
    pub fn is_suspect(&self) -> bool {
        self.sight != Health::Up
    }

    /// A connection was set up or a statement returned. Returns whether the state changed.
    pub fn up(&mut self, is_setup: bool, now: u64) -> bool {
        if !self.is_isolated {
            if self.sight != Health::Up {
                (self.sight, self.since, self.agreeing) = (Health::Up, now, 0);
            }
            return false;
        }
        // From isolation only whole set-ups count: a late return on an old connection says nothing of now.
        if !is_setup {
            return false;
        }
        self.agreeing += 1;
        self.next_look = now;
        if self.agreeing < UP_AGREE {
            return false;
        }
        (self.is_isolated, self.sight, self.since, self.agreeing) = (false, Health::Up, now, 0);
        self.look_gap = LOOK_FIRST_US;
        true
    }

    /// A connection was refused or fell silent. Returns whether the state changed.
    pub fn down(&mut self, sight: Health, now: u64) -> bool {
        if self.is_isolated {
            self.agreeing = 0;
            self.next_look = now + self.look_gap;
            self.look_gap = (self.look_gap * 2).min(LOOK_LAST_US);
            if self.sight != sight {
                (self.sight, self.since) = (sight, now);
                return true;
            }
            return false;
        }
        if self.sight == sight {
            self.agreeing += 1;
        } else {
            (self.sight, self.since, self.agreeing) = (sight, now, 1);
        }
        if self.agreeing >= DOWN_AGREE {
            (self.is_isolated, self.agreeing) = (true, 0);
            self.next_look = now + self.look_gap;
            return true;
        }
        false
    }

    /// It has work and says nothing, which alone isolates nobody.
    pub fn silent(&mut self, now: u64) {
        if !self.is_isolated && self.sight == Health::Up {
            (self.sight, self.since, self.agreeing) = (Health::Unreachable, now, 1);
        }
    }

    pub fn looked(&mut self, now: u64) {
        self.next_look = now + self.look_gap;
    }

    /// It refused what only a primary runs.
    pub fn doubt(&mut self, now: u64) {
        self.doubted_until = now + DOUBT_US;
    }
}
