//! Agreeing on the next set of voters: by a majority of the set before it, under a fence.
use wv_inner::{Member, Msg, Voters};

/// A voter that is away for this long may be replaced where another stands ready.
pub const AWAY_US: u64 = 2_500_000;
/// No set grows beyond this; more would only make each write dearer.
pub const VOTERS_MAX: usize = 7;
const LIMIT_US: u64 = 1_500_000;
const RESEND_US: u64 = 200_000;

/// A control node that could vote, as the one that plans sees it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Core {
    pub member: Member,
    pub is_up: bool,
}

/// The next set, if one is wanted: one member is replaced, or two are added. Nobody is dropped without a newcomer, so
/// that a set is never made smaller than what it was agreed to bear.
pub fn plan(voters: &Voters, cores: &[Core], away_us: impl Fn(&str) -> u64) -> Option<Voters> {
    let is_member = |member: &Member| voters.members.contains(member);
    let mut newcomers: Vec<&Member> =
        cores.iter().filter(|core| core.is_up && !is_member(&core.member)).map(|core| &core.member).collect();
    newcomers.sort();
    let is_wiped = |member: &Member| {
        cores.iter().any(|core| core.is_up && core.member.addr == member.addr && core.member != *member)
    };
    let is_lost = |member: &&Member| is_wiped(member) || away_us(&member.addr) >= AWAY_US;
    let mut members = voters.members.clone();
    match voters.members.iter().find(|member| is_wiped(member)).or_else(|| voters.members.iter().find(is_lost)) {
        Some(lost) => {
            // The same machine with another disk comes first: it keeps the zones as they were.
            let heir = newcomers
                .iter()
                .find(|new| new.addr == lost.addr)
                .or(newcomers.iter().find(|new| !voters.has(&new.addr)))?;
            members.retain(|member| member != lost);
            members.push((*heir).clone());
        }
        None if members.len() + 2 <= VOTERS_MAX && newcomers.len() >= 2 => {
            members.extend(newcomers.into_iter().take(2).cloned());
        }
        None => return None,
    }
    members.sort();
    Some(Voters { number: voters.number + 1, members })
}

enum Phase {
    Claiming { acks: Vec<String>, best: Option<(u64, Voters)> },
    Settling { acks: Vec<String> },
}

/// What became of a change.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum End {
    Settled(Voters),
    /// A higher fence was met, or no majority answered.
    Off {
        seen: u64,
    },
}

/// One attempt at agreeing on a successor.
pub struct Change {
    request: u64,
    fence: u64,
    from: Voters,
    next: Voters,
    phase: Phase,
    limit: u64,
    resend: u64,
}

impl Change {
    pub fn new(request: u64, fence: u64, from: Voters, next: Voters, now: u64) -> Change {
        let phase = Phase::Claiming { acks: Vec::new(), best: None };
        Change { request, fence, from, next, phase, limit: now + LIMIT_US, resend: 0 }
    }

    /// What is to be sent to whom now; an end where the time is over.
    pub fn tick(&mut self, now: u64) -> Result<Vec<(String, Msg)>, End> {
        if now >= self.limit {
            return Err(End::Off { seen: 0 });
        }
        if now < self.resend {
            return Ok(Vec::new());
        }
        self.resend = now + RESEND_US;
        let (request, set, fence) = (self.request, self.from.number, self.fence);
        let (acks, msg) = match &self.phase {
            Phase::Claiming { acks, .. } => (acks, Msg::Claim { request, set, fence }),
            Phase::Settling { acks } => (acks, Msg::Settle { request, set, fence, next: self.next.clone() }),
        };
        let open = self.from.addrs().filter(|addr| !acks.iter().any(|known| known == addr));
        Ok(open.map(|addr| (addr.to_owned(), msg.clone())).collect())
    }

    pub fn claimed(
        &mut self,
        voter: &str,
        request: u64,
        is_ok: bool,
        fence: u64,
        next: Option<(u64, Voters)>,
    ) -> Option<End> {
        let majority = self.from.majority();
        let Phase::Claiming { acks, best } = &mut self.phase else { return None };
        if request != self.request || acks.iter().any(|known| known == voter) {
            return None;
        }
        if !is_ok {
            return Some(End::Off { seen: fence });
        }
        acks.push(voter.to_owned());
        if let Some(next) = next.filter(|next| best.as_ref().is_none_or(|best| best.0 < next.0)) {
            *best = Some(next);
        }
        if acks.len() >= majority {
            // What may already be settled under an earlier fence stays: it is proposed again rather than ours.
            if let Some((_, next)) = best.take() {
                self.next = next;
            }
            self.phase = Phase::Settling { acks: Vec::new() };
            self.resend = 0;
        }
        None
    }

    pub fn settled(&mut self, voter: &str, request: u64, is_ok: bool) -> Option<End> {
        let majority = self.from.majority();
        let Phase::Settling { acks } = &mut self.phase else { return None };
        if request != self.request || acks.iter().any(|known| known == voter) {
            return None;
        }
        if !is_ok {
            return Some(End::Off { seen: self.fence });
        }
        acks.push(voter.to_owned());
        (acks.len() >= majority).then(|| End::Settled(self.next.clone()))
    }
}
