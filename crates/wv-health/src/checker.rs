//! All databases of one service, who leads it, and the routing state of each.
use crate::member::Member;
use crate::Fenced;
use wv_internal_protocol::{Instance, Leader, LeaveTime};

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

pub struct Checker {
    pub service: String,
    members: Vec<Member>,
    pub(crate) lead: Option<Leader>,
    /// One of an older term that was told of since.
    pub(crate) spare: Option<Leader>,
    pub fenced: Fenced,
    /// How long after it said that it leaves a database is given new work.
    pub(crate) new_work_us: u64,
}

impl Checker {
    pub fn new(service: &str, new_work_us: u64) -> Checker {
        Checker {
            service: service.to_owned(),
            members: Vec::new(),
            lead: None,
            spare: None,
            fenced: Fenced::default(),
            new_work_us,
        }
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
    pub fn seat(
        &mut self,
        seat: Option<u16>,
        inst: &Instance,
        since: LeaveTime,
        now: u64,
    ) -> Option<(u16, Option<String>)> {
        if let Some(member) = seat.and_then(|seat| self.members.get_mut(seat as usize)) {
            member.tell(inst, since, now);
            return seat.map(|seat| (seat, None));
        }
        let free = self.members.iter().position(|member| member.inst.gone && member.touched + SEAT_KEPT_US < now);
        if let Some(at) = free {
            let old = std::mem::replace(&mut self.members[at], Member::new(inst.clone(), since, now));
            return Some((at as u16, Some(old.inst.id)));
        }
        (self.members.len() < SEATS_MAX).then(|| {
            self.members.push(Member::new(inst.clone(), since, now));
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

    /// Whether a database said that it leaves so long ago that it is given no new work, not as the writer either.
    pub fn is_past_drain(&self, seat: u16, now: u64) -> bool {
        self.member(seat).is_some_and(|member| member.is_past_drain(self.new_work_us, now))
    }

    /// The writer that answers here, whether or not it may be offered work.
    pub(crate) fn live_writer(&self, now: u64) -> Option<u16> {
        self.leader().filter(|seat| {
            let member = &self.members[*seat as usize];
            !member.is_isolated() && member.doubted_until <= now
        })
    }

    /// The writer that may be offered work now.
    pub fn writer(&self, now: u64) -> Option<u16> {
        self.live_writer(now).filter(|seat| !self.is_past_drain(*seat, now))
    }

    pub fn state(&self, seat: u16, now: u64) -> State {
        let Some(member) = self.member(seat) else { return State::Gone };
        // A database that is alone in its service is kept in use: a bad word on it helps nobody.
        let is_sole = || self.members.iter().filter(|other| !other.inst.gone).count() == 1;
        if member.inst.gone {
            State::Gone
        } else if member.is_isolated() && !is_sole() {
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
