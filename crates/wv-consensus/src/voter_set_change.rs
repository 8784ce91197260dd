//! Changes of the voter set: a majority of the current set agrees on its successor under a fence.
use wv_internal_protocol::{Handover, Member, Message, VoterSet};

/// A voter that has been unreachable for this long may be replaced if a candidate is ready.
pub const REPLACE_AFTER_US: u64 = 2_500_000;
/// Maximum size of a voter set; a larger one only makes writes more expensive.
pub const MAX_VOTERS: usize = 7;
const CHANGE_TIMEOUT_US: u64 = 1_500_000;
const RESEND_INTERVAL_US: u64 = 200_000;

/// A control node that may vote, as seen by the coordinator of a change.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Candidate {
    pub member: Member,
    pub zone: String,
    pub is_up: bool,
    /// Whether it has caught up with the voters, except for their most recent writes.
    pub is_ready: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

/// Returns the successor set if a change is needed: one member is replaced, or two are added. A member is removed only
/// together with a replacement, so that the fault tolerance never decreases. Only ready candidates are added.
pub fn plan_successor(
    voters: &VoterSet,
    candidates: &[Candidate],
    unreachable_us: impl Fn(&str) -> u64,
) -> Option<VoterSet> {
    let is_member = |member: &Member| voters.members.contains(member);
    let mut additions: Vec<&Candidate> = candidates
        .iter()
        .filter(|node| node.is_up && node.is_ready && !node.is_leaving && !is_member(&node.member))
        .collect();
    additions.sort_by(|one, other| one.member.cmp(&other.member));
    let lost_disk = |member: &Member| {
        candidates.iter().any(|node| node.is_up && node.member.addr == member.addr && node.member != *member)
    };
    // A member that shuts down usually restarts soon: it is replaced only if the others could not tolerate a failure.
    let is_staying =
        |member: &&Member| candidates.iter().any(|node| node.is_up && !node.is_leaving && node.member == **member);
    let has_no_spare = voters.members.iter().filter(is_staying).count() <= voters.majority();
    let is_leaving =
        |member: &Member| has_no_spare && candidates.iter().any(|node| node.is_leaving && node.member == *member);
    // Members that lost their disk are replaced first, then unreachable ones, then those shutting down.
    let replaceable: Vec<&Member> = voters
        .members
        .iter()
        .filter(|member| lost_disk(member))
        .chain(voters.members.iter().filter(|member| unreachable_us(&member.addr) >= REPLACE_AFTER_US))
        .chain(voters.members.iter().filter(|member| is_leaving(member)))
        .collect();
    let zone = |member: &Member| candidates.iter().find(|node| node.member.addr == member.addr).map(|node| &node.zone);
    // Counts the members in the candidate's zone; an unknown zone is shared with nobody.
    let members_in_zone = |node: &Candidate, members: &[Member]| {
        let is_in_zone = |member: &&Member| !node.zone.is_empty() && zone(member) == Some(&node.zone);
        members.iter().filter(is_in_zone).count()
    };
    // A set grows only while all members are up: otherwise the candidate is needed to replace the member that is down.
    let is_up = |member: &Member| candidates.iter().any(|node| node.is_up && node.member == *member);
    let mut members = voters.members.clone();
    let replacement = replaceable.iter().find_map(|replaceable| {
        let rest: Vec<Member> = members.iter().filter(|member| member != replaceable).cloned().collect();
        // The same machine with a new disk is preferred because it keeps the zones as they are. An address is in a set
        // at most once.
        let own = additions.iter().find(|new| new.member.addr == replaceable.addr);
        let others = additions.iter().filter(|new| !voters.contains(&new.member.addr));
        own.or(others.min_by_key(|new| members_in_zone(new, &rest))).map(|new| (rest, new.member.clone()))
    });
    if let Some((rest, new)) = replacement {
        members = rest;
        members.push(new);
    } else if members.len() + 2 <= MAX_VOTERS && members.iter().all(is_up) {
        let mut others: Vec<&Candidate> =
            additions.into_iter().filter(|new| !voters.contains(&new.member.addr)).collect();
        for _ in 0..2 {
            let at = (0..others.len()).min_by_key(|at| members_in_zone(others[*at], &members))?;
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
    /// Asks a majority of the set to promise to accept no successor under a lower fence.
    Preparing { highest: Option<(u64, VoterSet)> },
    /// Asks a majority of the set to stop voting and to send its registers.
    Sealing,
    /// Asks a majority of the successor set to fetch the collected registers.
    HandingOver,
    /// Asks a majority of the set to accept the successor.
    Accepting,
}

/// The result of a change.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ChangeOutcome {
    Accepted(VoterSet),
    /// A higher fence was seen, or no majority replied in time.
    Aborted {
        highest_fence: u64,
    },
}

/// One attempt to agree on a successor set.
#[derive(Clone, Debug)]
pub struct VoterSetChange {
    request: u64,
    fence: u64,
    from: VoterSet,
    successor: VoterSet,
    phase: Phase,
    /// The voters that have replied in this phase.
    acks: Vec<String>,
    deadline: u64,
    resend_at: u64,
}

impl VoterSetChange {
    pub fn new(request: u64, fence: u64, from: VoterSet, successor: VoterSet, now: u64) -> VoterSetChange {
        let phase = Phase::Preparing { highest: None };
        VoterSetChange {
            request,
            fence,
            from,
            successor,
            phase,
            acks: Vec::new(),
            deadline: now + CHANGE_TIMEOUT_US,
            resend_at: 0,
        }
    }

    /// Returns the messages to send now, or the outcome after the timeout. The sender fills in the digests.
    pub fn tick(&mut self, now: u64) -> Result<Vec<(String, Message)>, ChangeOutcome> {
        if now >= self.deadline {
            return Err(ChangeOutcome::Aborted { highest_fence: 0 });
        }
        if now < self.resend_at {
            return Ok(Vec::new());
        }
        self.resend_at = now + RESEND_INTERVAL_US;
        let (request, set, fence) = (self.request, self.from.number, self.fence);
        let msg = match &self.phase {
            Phase::Preparing { .. } => Message::PrepareSuccessor { request, voter_set: set, fence },
            Phase::Sealing => Message::Handover(Handover::Seal { request, set, fence, digest: 0 }),
            Phase::HandingOver => {
                let next = self.successor.clone();
                Message::Handover(Handover::Fetch { request, set, next, digests: Vec::new() })
            }
            Phase::Accepting => {
                Message::AcceptSuccessor { request, voter_set: set, fence, successor: self.successor.clone() }
            }
        };
        let open = self.replying_set().addrs().filter(|addr| !self.acks.iter().any(|known| known == addr));
        Ok(open.map(|addr| (addr.to_owned(), msg.clone())).collect())
    }

    /// Returns the set whose replies count in this phase.
    fn replying_set(&self) -> &VoterSet {
        match self.phase {
            Phase::HandingOver => &self.successor,
            _ => &self.from,
        }
    }

    /// Records a reply and returns whether a majority has replied.
    fn record_reply(&mut self, voter: &str) -> bool {
        if self.replying_set().contains(voter) && !self.acks.iter().any(|known| known == voter) {
            self.acks.push(voter.to_owned());
        }
        self.acks.len() >= self.replying_set().majority()
    }

    fn enter(&mut self, phase: Phase) {
        (self.phase, self.resend_at) = (phase, 0);
        self.acks.clear();
    }

    pub fn handle_prepared(
        &mut self,
        voter: &str,
        request: u64,
        is_ok: bool,
        fence: u64,
        successor: Option<(u64, VoterSet)>,
    ) -> Option<ChangeOutcome> {
        let Phase::Preparing { highest } = &mut self.phase else { return None };
        if request != self.request {
            return None;
        }
        if !is_ok {
            return Some(ChangeOutcome::Aborted { highest_fence: fence });
        }
        if let Some(successor) =
            successor.filter(|successor| highest.as_ref().is_none_or(|highest| highest.0 < successor.0))
        {
            *highest = Some(successor);
        }
        // A successor that may already have been accepted under an earlier fence is proposed again instead of our own.
        let highest = highest.take();
        if self.record_reply(voter) {
            self.successor = highest.map_or(self.successor.clone(), |(_, successor)| successor);
            self.enter(Phase::Sealing);
        } else {
            self.phase = Phase::Preparing { highest };
        }
        None
    }

    /// A voter of the set is sealed, and its registers are stored here.
    pub fn handle_sealed(&mut self, voter: &str, request: u64, is_ok: bool) -> Option<ChangeOutcome> {
        if !matches!(self.phase, Phase::Sealing) || request != self.request {
            return None;
        }
        if !is_ok {
            return Some(ChangeOutcome::Aborted { highest_fence: self.fence });
        }
        if self.record_reply(voter) {
            self.enter(Phase::HandingOver);
        }
        None
    }

    /// Whether a sealed majority has sent all its registers, so that they may be handed over.
    pub fn is_handing_over(&self, request: u64) -> bool {
        request == self.request && matches!(self.phase, Phase::HandingOver | Phase::Accepting)
    }

    /// A member of the successor set holds all registers of this set.
    pub fn handle_fetched(&mut self, voter: &str, request: u64) {
        if matches!(self.phase, Phase::HandingOver) && request == self.request && self.record_reply(voter) {
            self.enter(Phase::Accepting);
        }
    }

    pub fn handle_accepted(&mut self, voter: &str, request: u64, is_ok: bool) -> Option<ChangeOutcome> {
        if !matches!(self.phase, Phase::Accepting) || request != self.request {
            return None;
        }
        if !is_ok {
            return Some(ChangeOutcome::Aborted { highest_fence: self.fence });
        }
        self.record_reply(voter).then(|| ChangeOutcome::Accepted(self.successor.clone()))
    }
}
