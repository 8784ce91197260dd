use crate::Fenced;
use wv_inner::{Inst, Lead, Sight};

/// Agreeing sightings wanted before a database is isolated, and before it is let in again.
const DOWN_AGREE: u32 = 2;
const UP_AGREE: u32 = 2;
/// Pauses between looks at an isolated database.
const LOOK_FIRST_US: u64 = 100_000;
const LOOK_LAST_US: u64 = 800_000;
/// How long a primary's `READONLY` stands against what the control side last said.
const DOUBT_US: u64 = 400_000;
/// A seat of a database that left is given to another only after this long.
const SEAT_KEPT_US: u64 = 60_000_000;
const SEATS_MAX: usize = 1024;

/// The routing states of the design.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    Writer,
    Online,
    /// No new work; open transactions finish.
    SoftDraining,
    /// In the maintenance set until it is healthy again.
    Isolated,
    Gone,
}

#[derive(Debug)]
pub struct Member {
    pub inst: Inst,
    pub sight: Sight,
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
    /// Since when this node has known that it leaves.
    pub leaving_since: Option<u64>,
    /// Statements and transactions begun there since, and whether it was said that some came too late.
    pub new_work_while_leaving: u64,
    pub is_overdue_logged: bool,
}

impl Member {
    fn new(inst: Inst, now: u64) -> Member {
        let leaving_since = inst.draining.then_some(now);
        Member {
            inst,
            sight: Sight::Up,
            since: now,
            is_isolated: false,
            agreeing: 0,
            next_look: 0,
            look_gap: LOOK_FIRST_US,
            doubted_until: 0,
            touched: now,
            is_missing: false,
            leaving_since,
            new_work_while_leaving: 0,
            is_overdue_logged: false,
        }
    }

    /// Whether this copy is not older than the one held. What has left by its own word comes back only by a later one.
    fn is_news(&self, inst: &Inst) -> bool {
        let has_left = self.inst.gone && !self.is_missing && !inst.gone;
        inst.sequence > self.inst.sequence || (inst.sequence == self.inst.sequence && !has_left)
    }

    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Whether the last sighting was bad, though not yet confirmed by another.
    pub fn is_suspect(&self) -> bool {
        self.sight != Sight::Up
    }

    /// A connection was set up or a statement returned. Returns whether the state changed.
    pub fn up(&mut self, is_setup: bool, now: u64) -> bool {
        if !self.is_isolated {
            if self.sight != Sight::Up {
                (self.sight, self.since, self.agreeing) = (Sight::Up, now, 0);
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
        (self.is_isolated, self.sight, self.since, self.agreeing) = (false, Sight::Up, now, 0);
        self.look_gap = LOOK_FIRST_US;
        true
    }

    /// A connection was refused or fell silent. Returns whether the state changed.
    pub fn down(&mut self, sight: Sight, now: u64) -> bool {
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
        if !self.is_isolated && self.sight == Sight::Up {
            (self.sight, self.since, self.agreeing) = (Sight::Dark, now, 1);
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

pub struct Checker {
    pub service: String,
    members: Vec<Member>,
    pub(crate) lead: Option<Lead>,
    /// One of an older term that was told of since.
    pub(crate) spare: Option<Lead>,
    pub fenced: Fenced,
}

impl Checker {
    pub fn new(service: &str) -> Checker {
        Checker { service: service.to_owned(), members: Vec::new(), lead: None, spare: None, fenced: Fenced::default() }
    }

    pub fn member(&self, seat: u16) -> Option<&Member> {
        self.members.get(seat as usize)
    }

    pub fn member_mut(&mut self, seat: u16) -> Option<&mut Member> {
        self.members.get_mut(seat as usize)
    }

    pub fn members(&self) -> impl Iterator<Item = (u16, &Member)> {
        self.members.iter().enumerate().map(|(at, member)| (at as u16, member))
    }

    pub fn members_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.iter_mut()
    }

    /// Seats or renews a database; a freed seat's old id is returned with it.
    pub fn seat(&mut self, seat: Option<u16>, inst: &Inst, now: u64) -> Option<(u16, Option<String>)> {
        if let Some(member) = seat.and_then(|seat| self.members.get_mut(seat as usize)) {
            if member.is_news(inst) {
                (member.inst, member.touched, member.is_missing) = (inst.clone(), now, false);
                member.leaving_since = member.leaving_since.or(inst.draining.then_some(now));
            }
            return seat.map(|seat| (seat, None));
        }
        let free = self.members.iter().position(|member| member.inst.gone && member.touched + SEAT_KEPT_US < now);
        if let Some(at) = free {
            let old = std::mem::replace(&mut self.members[at], Member::new(inst.clone(), now));
            return Some((at as u16, Some(old.inst.id)));
        }
        (self.members.len() < SEATS_MAX).then(|| {
            self.members.push(Member::new(inst.clone(), now));
            (self.members.len() as u16 - 1, None)
        })
    }

    /// Who is said to lead, also when it has said since that it is gone.
    pub fn led(&self) -> Option<u16> {
        let lead = self.lead.as_ref()?;
        self.members.iter().position(|member| member.inst.id == lead.id).map(|at| at as u16)
    }

    /// Who is said to lead, whatever its condition.
    pub fn leader(&self) -> Option<u16> {
        let lead = self.lead.as_ref()?;
        self.members.iter().position(|member| member.inst.id == lead.id && !member.inst.gone).map(|at| at as u16)
    }

    /// The writer that may be offered work now.
    pub fn writer(&self, now: u64) -> Option<u16> {
        self.leader().filter(|seat| {
            let member = &self.members[*seat as usize];
            !member.is_isolated && member.doubted_until <= now
        })
    }

    pub fn state(&self, seat: u16, now: u64) -> State {
        let Some(member) = self.member(seat) else { return State::Gone };
        // A database that is alone in its service is kept in use: a bad word on it helps nobody.
        let is_sole = || self.members.iter().filter(|other| !other.inst.gone).count() == 1;
        if member.inst.gone {
            State::Gone
        } else if member.is_isolated && !is_sole() {
            State::Isolated
        } else if self.writer(now) == Some(seat) {
            State::Writer
        } else if member.inst.draining {
            State::SoftDraining
        } else {
            State::Online
        }
    }
}
