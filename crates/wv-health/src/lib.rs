//! One checker per service: routing states from the configuration, the beats and the node's own sightings.
mod checker;
mod fenced;
mod lead;
mod member;

pub use checker::{Checker, State};
pub use fenced::Fenced;
pub use member::Member;

/// A database's seat in this node: its service's checker and its seat there.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct Spot {
    pub service: u16,
    pub seat: u16,
}

/// A database told of this lately may be missing in what another control node knows: news of it is under way there.
const TOLD_US: u64 = 3_000_000;

/// All checkers of a node.
pub struct Checks {
    new_work_us: u64,
    checkers: Vec<Checker>,
    names: hashbrown::HashMap<String, u16, ahash::RandomState>,
    spots: hashbrown::HashMap<String, Spot, ahash::RandomState>,
}

impl Default for Checks {
    fn default() -> Checks {
        Checks {
            new_work_us: wv_internal_protocol::new_work_window_us(
                wv_internal_protocol::DEFAULT_DRAIN_US,
                wv_internal_protocol::DEFAULT_CONTACT_US,
            ),
            checkers: Vec::new(),
            names: Default::default(),
            spots: Default::default(),
        }
    }
}

impl Checks {
    /// How long after it said that it leaves a database is given new work, where the settings say so.
    pub fn set_new_work(&mut self, new_work_us: u64) {
        self.new_work_us = new_work_us;
        self.checkers.iter_mut().for_each(|checker| checker.new_work_us = new_work_us);
    }

    pub fn service(&mut self, name: &str) -> u16 {
        if let Some(at) = self.names.get(name) {
            return *at;
        }
        let at = self.checkers.len() as u16;
        self.checkers.push(Checker::new(name, self.new_work_us));
        self.names.insert(name.to_owned(), at);
        at
    }

    pub fn find(&self, name: &str) -> Option<u16> {
        self.names.get(name).copied()
    }

    pub fn checker(&self, service: u16) -> Option<&Checker> {
        self.checkers.get(service as usize)
    }

    pub fn checker_mut(&mut self, service: u16) -> Option<&mut Checker> {
        self.checkers.get_mut(service as usize)
    }

    pub fn iter(&self) -> impl Iterator<Item = (u16, &Checker)> {
        self.checkers.iter().enumerate().map(|(at, checker)| (at as u16, checker))
    }

    pub fn member(&self, spot: Spot) -> Option<&Member> {
        self.checker(spot.service)?.member(spot.seat)
    }

    pub fn member_mut(&mut self, spot: Spot) -> Option<&mut Member> {
        self.checker_mut(spot.service)?.member_mut(spot.seat)
    }

    pub fn spot(&self, id: &str) -> Option<Spot> {
        self.spots.get(id).copied()
    }

    /// Takes what the feed says of a database, and since when it leaves where it does.
    pub fn inst(
        &mut self,
        inst: &wv_internal_protocol::Instance,
        since: wv_internal_protocol::LeaveTime,
        now: u64,
    ) -> Option<Spot> {
        // One that is gone and was never known here needs no seat. Whoever tells of it may not know its service.
        if inst.gone {
            let spot = self.spot(&inst.id)?;
            let held = &self.member(spot)?.inst;
            let sequence = held.sequence.max(inst.sequence);
            let gone = wv_internal_protocol::Instance { gone: true, sequence, ..held.clone() };
            self.checker_mut(spot.service)?.seat(Some(spot.seat), &gone, since, now);
            return Some(spot);
        }
        let service = self.service(&inst.service);
        let known = self.spot(&inst.id).filter(|spot| spot.service == service);
        let checker = self.checkers.get_mut(service as usize)?;
        let (seat, freed) = checker.seat(known.map(|spot| spot.seat), inst, since, now)?;
        if let Some(id) = freed {
            self.spots.remove(&id);
        }
        let spot = Spot { service, seat };
        self.spots.insert(inst.id.clone(), spot);
        Some(spot)
    }

    /// Whether a database may no longer be given new work, as it leaves.
    pub fn is_past_drain(&self, spot: Spot, now: u64) -> bool {
        self.checker(spot.service).is_some_and(|checker| checker.is_past_drain(spot.seat, now))
    }

    pub fn lead(&mut self, lead: &wv_internal_protocol::Leader, now: u64) -> bool {
        let service = self.service(&lead.service);
        self.checkers.get_mut(service as usize).is_some_and(|checker| checker.lead(lead, now))
    }

    /// The services whose lead goes to another that was told of, since the one held does not lead here.
    pub fn settle_leads(&mut self, now: u64) -> Vec<String> {
        let settled =
            self.checkers.iter_mut().filter_map(|checker| checker.settle_lead(now).then_some(&checker.service));
        settled.cloned().collect()
    }

    /// A snapshot names every database that its node knows: the ones it leaves out are gone, but for those that another
    /// node has only just told of.
    pub fn retain(&mut self, ids: &hashbrown::HashSet<&str>, now: u64) {
        let is_left_out = |member: &&mut Member| !member.inst.gone && !ids.contains(member.inst.id.as_str());
        let is_old = |member: &&mut Member| member.touched + TOLD_US <= now;
        let members = self.checkers.iter_mut().flat_map(Checker::members_mut);
        members
            .filter(is_left_out)
            .filter(is_old)
            .for_each(|member| (member.inst.gone, member.is_missing) = (true, true));
    }
}
