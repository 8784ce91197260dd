//! Agreeing on the next set of voters: by a majority of the set before it, under a fence.
use wv_internal_protocol::{Handover, Member, Message, VoterSet};

/// A voter that is away for this long may be replaced where another stands ready.
pub const AWAY_US: u64 = 2_500_000;
/// No set grows beyond this; more would only make each write dearer.
pub const VOTERS_MAX: usize = 7;
const LIMIT_US: u64 = 1_500_000;
const RESEND_US: u64 = 200_000;

/// A control node that could vote, as the one that plans sees it.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Core {
    pub member: Member,
    pub zone: String,
    pub is_up: bool,
    /// A learner that lacks nothing but the last moments of what the voters hold.
    pub is_ready: bool,
    /// It is about to end.
    pub is_leaving: bool,
}

/// The next set, if one is wanted: one member is replaced, or two are added. Nobody is dropped without a newcomer, so
/// that a set is never made smaller than what it was agreed to bear, and nobody comes in that is not ready.
pub fn plan(voters: &VoterSet, cores: &[Core], away_us: impl Fn(&str) -> u64) -> Option<VoterSet> {
    let is_member = |member: &Member| voters.members.contains(member);
    let mut newcomers: Vec<&Core> = cores
        .iter()
        .filter(|core| core.is_up && core.is_ready && !core.is_leaving && !is_member(&core.member))
        .collect();
    newcomers.sort_by(|one, other| one.member.cmp(&other.member));
    let is_wiped = |member: &Member| {
        cores.iter().any(|core| core.is_up && core.member.addr == member.addr && core.member != *member)
    };
    // One that is about to end mostly comes back in moments: it is replaced only where the rest could not bear one loss.
    let is_staying =
        |member: &&Member| cores.iter().any(|core| core.is_up && !core.is_leaving && core.member == **member);
    let is_bare = voters.members.iter().filter(is_staying).count() <= voters.majority();
    let is_leaving = |member: &Member| is_bare && cores.iter().any(|core| core.is_leaving && core.member == *member);
    // What was lost goes before what is lost, and that before what is about to go.
    let lost: Vec<&Member> = voters
        .members
        .iter()
        .filter(|member| is_wiped(member))
        .chain(voters.members.iter().filter(|member| away_us(&member.addr) >= AWAY_US))
        .chain(voters.members.iter().filter(|member| is_leaving(member)))
        .collect();
    let zone = |member: &Member| cores.iter().find(|core| core.member.addr == member.addr).map(|core| &core.zone);
    // How many of the others share its zone; one that is not known is shared by nobody.
    let shared = |core: &Core, members: &[Member]| {
        let is_near = |member: &&Member| !core.zone.is_empty() && zone(member) == Some(&core.zone);
        members.iter().filter(is_near).count()
    };
    // Who comes while a member is away takes its seat once that is known: beside it the set would only have to bear more.
    let is_up = |member: &Member| cores.iter().any(|core| core.is_up && core.member == *member);
    let mut members = voters.members.clone();
    let replaced = lost.iter().find_map(|lost| {
        let rest: Vec<Member> = members.iter().filter(|member| member != lost).cloned().collect();
        // The same machine with another disk comes first: it keeps the zones as they were. A seat is never held by an
        // address twice.
        let own = newcomers.iter().find(|new| new.member.addr == lost.addr);
        let others = newcomers.iter().filter(|new| !voters.contains(&new.member.addr));
        own.or(others.min_by_key(|new| shared(new, &rest))).map(|heir| (rest, heir.member.clone()))
    });
    if let Some((rest, heir)) = replaced {
        members = rest;
        members.push(heir);
    } else if members.len() + 2 <= VOTERS_MAX && members.iter().all(is_up) {
        let mut others: Vec<&Core> = newcomers.into_iter().filter(|new| !voters.contains(&new.member.addr)).collect();
        for _ in 0..2 {
            let at = (0..others.len()).min_by_key(|at| shared(others[*at], &members))?;
            members.push(others.remove(at).member.clone());
        }
    } else {
        return None;
    }
    members.sort();
    Some(VoterSet { number: voters.number + 1, members })
}

#[derive(Clone, Debug)]
enum Phase {
    /// A majority of the set is to let this fence name its successor.
    Claiming { best: Option<(u64, VoterSet)> },
    /// A majority of the set is to stop, and to tell what it holds.
    Sealing,
    /// A majority of the next set is to hold what was told.
    Handing,
    /// A majority of the set is to accept the successor.
    Settling,
}

/// What became of a change.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum End {
    Settled(VoterSet),
    /// A higher fence was met, or no majority answered.
    Off {
        seen: u64,
    },
}

/// One attempt at agreeing on a successor.
#[derive(Clone, Debug)]
pub struct Change {
    request: u64,
    fence: u64,
    from: VoterSet,
    next: VoterSet,
    phase: Phase,
    /// Who has answered in this phase.
    acks: Vec<String>,
    limit: u64,
    resend: u64,
}

impl Change {
    pub fn new(request: u64, fence: u64, from: VoterSet, next: VoterSet, now: u64) -> Change {
        let phase = Phase::Claiming { best: None };
        Change { request, fence, from, next, phase, acks: Vec::new(), limit: now + LIMIT_US, resend: 0 }
    }

    /// What is to be sent to whom now; an end where the time is over. What the sender holds is for it to fill in.
    pub fn tick(&mut self, now: u64) -> Result<Vec<(String, Message)>, End> {
        if now >= self.limit {
            return Err(End::Off { seen: 0 });
        }
        if now < self.resend {
            return Ok(Vec::new());
        }
        self.resend = now + RESEND_US;
        let (request, set, fence) = (self.request, self.from.number, self.fence);
        let msg = match &self.phase {
            Phase::Claiming { .. } => Message::PrepareSuccessor { request, voter_set: set, fence },
            Phase::Sealing => Message::Handover(Handover::Seal { request, set, fence, digest: 0 }),
            Phase::Handing => {
                let next = self.next.clone();
                Message::Handover(Handover::Fetch { request, set, next, digests: Vec::new() })
            }
            Phase::Settling => {
                Message::AcceptSuccessor { request, voter_set: set, fence, successor: self.next.clone() }
            }
        };
        let open = self.asked().addrs().filter(|addr| !self.acks.iter().any(|known| known == addr));
        Ok(open.map(|addr| (addr.to_owned(), msg.clone())).collect())
    }

    /// Whose answers count in this phase.
    fn asked(&self) -> &VoterSet {
        match self.phase {
            Phase::Handing => &self.next,
            _ => &self.from,
        }
    }

    /// One more has answered. Whether a majority has.
    fn count(&mut self, voter: &str) -> bool {
        if self.asked().contains(voter) && !self.acks.iter().any(|known| known == voter) {
            self.acks.push(voter.to_owned());
        }
        self.acks.len() >= self.asked().majority()
    }

    fn turn(&mut self, phase: Phase) {
        (self.phase, self.resend) = (phase, 0);
        self.acks.clear();
    }

    pub fn claimed(
        &mut self,
        voter: &str,
        request: u64,
        is_ok: bool,
        fence: u64,
        next: Option<(u64, VoterSet)>,
    ) -> Option<End> {
        let Phase::Claiming { best } = &mut self.phase else { return None };
        if request != self.request {
            return None;
        }
        if !is_ok {
            return Some(End::Off { seen: fence });
        }
        if let Some(next) = next.filter(|next| best.as_ref().is_none_or(|best| best.0 < next.0)) {
            *best = Some(next);
        }
        // What may already be settled under an earlier fence stays: it is proposed again rather than ours.
        let best = best.take();
        if self.count(voter) {
            self.next = best.map_or(self.next.clone(), |(_, next)| next);
            self.turn(Phase::Sealing);
        } else {
            self.phase = Phase::Claiming { best };
        }
        None
    }

    /// A voter of the set has stopped, and what it told is kept here.
    pub fn sealed(&mut self, voter: &str, request: u64, is_ok: bool) -> Option<End> {
        if !matches!(self.phase, Phase::Sealing) || request != self.request {
            return None;
        }
        if !is_ok {
            return Some(End::Off { seen: self.fence });
        }
        if self.count(voter) {
            self.turn(Phase::Handing);
        }
        None
    }

    /// Whether a sealed majority has told all, so that it may be handed on.
    pub fn is_handing(&self, request: u64) -> bool {
        request == self.request && matches!(self.phase, Phase::Handing | Phase::Settling)
    }

    /// A member of the next set holds all of this one.
    pub fn fetched(&mut self, voter: &str, request: u64) {
        if matches!(self.phase, Phase::Handing) && request == self.request && self.count(voter) {
            self.turn(Phase::Settling);
        }
    }

    pub fn settled(&mut self, voter: &str, request: u64, is_ok: bool) -> Option<End> {
        if !matches!(self.phase, Phase::Settling) || request != self.request {
            return None;
        }
        if !is_ok {
            return Some(End::Off { seen: self.fence });
        }
        self.count(voter).then(|| End::Settled(self.next.clone()))
    }
}
