//! Changes of the voter set: who plans them, and how a new set is agreed on.
use crate::core::{Core, CONTACT_TTL_US};
use crate::types::Peer;
use wv_consensus::{ChangeOutcome, VoterSetChange};
use wv_internal_protocol::{Member, Message, VoterSet};

/// The name of the duty of changing the voter set.
const VOTERS_DUTY: &str = "voters";
/// Minimum interval between attempts to change the voter set.
const CHANGE_INTERVAL_US: u64 = 300_000;
/// Minimum time between the last change and one that adds members; nothing is lost while it waits.
const GROWTH_DELAY_US: u64 = 1_000_000;
/// How long a reachable member that does not vote yet can delay the next change.
const JOIN_TIMEOUT_US: u64 = 5_000_000;
/// Peers that are unreachable for this long, and are neither voters nor seeds, are removed.
const PEER_RETENTION_US: u64 = 60_000_000;

impl Core {
    pub(crate) fn peers_message(&self) -> Message {
        let is_announced =
            |addr: &&String| self.peers.get(*addr).is_some_and(|peer| peer.is_up) || self.is_seed_or_voter(addr);
        let zone = |addr: &String| self.peers.get(addr).map_or(self.zone.clone(), |peer| peer.zone.clone());
        let addrs: Vec<String> =
            self.peers.keys().filter(is_announced).cloned().chain([self.address.clone()]).collect();
        let zones = addrs.iter().map(zone).collect();
        Message::Peers {
            addresses: addrs,
            zones,
            voters: self.voter_state.voters.clone(),
            previous_voters: self.voter_state.previous.clone(),
        }
    }

    fn is_seed_or_voter(&self, addr: &str) -> bool {
        self.seeds.iter().any(|seed| seed == addr) || self.voter_state.voters.contains(addr)
    }

    pub(crate) fn forget_peers(&mut self) {
        let now = self.now;
        let (seeds, voters) = (&self.seeds, &self.voter_state.voters);
        self.peers.retain(|addr, peer| {
            peer.is_up
                || peer.known_since.max(peer.last_contact) + PEER_RETENTION_US > now
                || seeds.contains(addr)
                || voters.contains(addr)
        });
    }

    /// Adopts an accepted voter set and announces it to all peers.
    pub(crate) fn learn_voters(&mut self, voters: &VoterSet, previous: &VoterSet) {
        let is_changed =
            self.voter_state.update_voters(&mut self.store, &self.address, voters, previous).unwrap_or_else(|error| {
                log::error!("cannot store voter set {}, requesting it from peers again: {error}", voters.number);
                self.is_voter_update_unsaved = true;
                false
            });
        if !is_changed {
            return;
        }
        log::warn!("adopted voter set {}: {}", voters.number, voters.addrs().collect::<Vec<_>>().join(" "));
        for addr in voters.addrs().filter(|addr| *addr != self.address) {
            let since = self.now;
            self.peers.entry(addr.to_owned()).or_insert_with(|| Peer { known_since: since, ..Default::default() });
        }
        self.proposer.set_voters(voters.clone());
        self.change = None;
        self.voters_changed_at = self.now;
        self.catch_up.reset();
        let message = self.peers_message();
        self.send_peers(&message);
        self.run_catch_up();
        self.ping();
    }

    /// Checks whether the set should change if the duty is held here, and drives a change in progress.
    pub(crate) fn run_voter_change(&mut self) {
        // Announces the set that this disk failed to store, so that peers with the newer set send it again.
        if std::mem::take(&mut self.is_voter_update_unsaved) {
            let message = self.peers_message();
            self.send_peers(&message);
        }
        let due = self.change.as_mut().map(|change| change.tick(self.now));
        match due {
            Some(Ok(messages)) => self.send_change_step(messages),
            Some(Err(outcome)) => self.end_change(outcome),
            None => self.start_planned_change(),
        }
    }

    /// Whether this node is in contact with a majority of the newest set that can decide on its successor: members that
    /// vote, and members sealed for a successor that is not accepted yet.
    fn has_deciding_majority(&self) -> bool {
        let voters = &self.voter_state.voters;
        let is_reachable =
            |peer: &&Peer| self.is_in_contact(peer) && peer.voter_set.max(peer.sealed_set) == voters.number;
        let others = voters.addrs().filter_map(|addr| self.peers.get(addr)).filter(is_reachable).count();
        let own = usize::from(self.voter_state.successor_voting_set(&self.address) > 0);
        !voters.members.is_empty() && own + others >= voters.majority()
    }

    pub(crate) fn is_in_contact(&self, peer: &Peer) -> bool {
        peer.is_up && peer.last_contact + CONTACT_TTL_US > self.now
    }

    /// One staying member of the newest set plans its successor: it already holds nearly everything to be transferred.
    fn is_change_planner(&self) -> bool {
        let voters = &self.voter_state.voters;
        let is_eligible = |addr: &str| {
            let is_member = |disk: u64| voters.members.iter().any(|member| member.addr == addr && member.disk == disk);
            self.peers.get(addr).is_some_and(|peer| {
                let is_voting =
                    peer.voter_set.max(peer.sealed_set) == voters.number && peer.disk_id.is_some_and(is_member);
                is_voting && !peer.is_leaving
            })
        };
        let is_own = self.has_disk && self.voter_state.successor_voting_set(&self.address) > 0 && !self.is_leaving;
        is_own && self.membership.is_duty_holder_among(VOTERS_DUTY, is_eligible)
    }

    /// Whether every reachable member votes. Other members are changed only after that, so that the set keeps its fault
    /// tolerance; a member that does not start voting is waited for only up to `JOIN_TIMEOUT_US`.
    fn are_members_voting(&self) -> bool {
        let number = self.voter_state.voters.number;
        let is_behind =
            |addr: &str| self.peers.get(addr).is_some_and(|peer| self.is_in_contact(peer) && peer.voter_set != number);
        self.voters_changed_at + JOIN_TIMEOUT_US <= self.now || !self.voter_state.voters.addrs().any(is_behind)
    }

    fn start_planned_change(&mut self) {
        if self.voters_changed_at + CHANGE_INTERVAL_US > self.now
            || !self.is_change_planner()
            || !self.has_deciding_majority()
        {
            return;
        }
        let voters = &self.voter_state.voters;
        let is_sealed = |addr: &str| self.peers.get(addr).is_some_and(|peer| peer.sealed_set == voters.number);
        // A previous planner may have failed midway: the set must not stay sealed without a successor.
        let is_change_begun = self.voter_state.voting_set(&self.address) == 0 || voters.addrs().any(is_sealed);
        if !is_change_begun && !self.are_members_voting() {
            return;
        }
        let unchanged = || VoterSet { number: voters.number + 1, members: voters.members.clone() };
        let next = self.planned_voters().or_else(|| is_change_begun.then(unchanged));
        let is_larger = |next: &VoterSet| next.members.len() > voters.members.len();
        let Some(next) = next
            .filter(|next| is_change_begun || !is_larger(next) || self.voters_changed_at + GROWTH_DELAY_US <= self.now)
        else {
            return;
        };
        let address_bits = self.address.bytes().fold(0u64, |sum, byte| (sum * 31 + u64::from(byte)) & 0xffff);
        let fence = (((self.max_successor_fence.max(self.voter_state.fence) >> 16) + 1) << 16) | address_bits;
        log::warn!("proposing voter set {}: {}", next.number, next.addrs().collect::<Vec<_>>().join(" "));
        self.voters_changed_at = self.now;
        // Replies are matched by request number, not by fence: two incarnations of a node may choose the same fence.
        let request = self.proposer.next_request();
        self.change = Some(VoterSetChange::new(request, fence, self.voter_state.voters.clone(), next, self.now));
        self.run_voter_change();
    }

    /// The next voter set, if a change is needed.
    pub(crate) fn planned_voters(&self) -> Option<VoterSet> {
        wv_consensus::plan_successor(&self.voter_state.voters, &self.voter_candidates(), |addr| {
            self.unreachable_us(addr)
        })
    }

    /// All known machines that could vote.
    fn voter_candidates(&self) -> Vec<wv_consensus::Candidate> {
        let own = wv_consensus::Candidate {
            member: Member { addr: self.address.clone(), disk: self.voter_state.disk },
            zone: self.zone.clone(),
            is_up: true,
            is_ready: self.is_ready_to_vote(),
            is_leaving: self.is_leaving,
        };
        let other = |(addr, peer): (&String, &Peer)| {
            Some(wv_consensus::Candidate {
                member: Member { addr: addr.clone(), disk: peer.disk_id? },
                zone: peer.zone.clone(),
                is_up: self.is_in_contact(peer),
                is_ready: peer.is_ready,
                is_leaving: peer.is_leaving,
            })
        };
        self.has_disk.then_some(own).into_iter().chain(self.peers.iter().filter_map(other)).collect()
    }

    /// How long a member has been unreachable. A slow or hung disk does not count: its machine still answers.
    fn unreachable_us(&self, addr: &str) -> u64 {
        // A node without a disk loses its state on exit: it yields its place to the first candidate that has a disk.
        let is_diskless = |peer: &Peer| peer.last_contact > 0 && peer.disk_id.is_none();
        if (addr == self.address && !self.has_disk) || self.peers.get(addr).is_some_and(is_diskless) {
            return wv_consensus::REPLACE_AFTER_US;
        }
        let peer = self.peers.get(addr).filter(|peer| !self.is_in_contact(peer));
        peer.map_or(0, |peer| self.now.saturating_sub(peer.known_since.max(peer.last_contact).max(self.started_at)))
    }

    /// Whether this node is driving a change of the voter set.
    pub fn is_changing_voters(&self) -> bool {
        self.change.is_some()
    }

    /// `GET /voters`: the set in force as known here, and the state of each member.
    pub(crate) fn list_voters(&mut self, token: u64) {
        let status = |member: &Member| {
            let is_own = member.addr == self.address;
            let peer = self.peers.get(&member.addr);
            let (is_up, set) = if is_own {
                (true, self.voter_state.voting_set(&self.address))
            } else {
                peer.map_or((false, 0), |peer| (peer.is_up, peer.voter_set))
            };
            let state = match (is_up, set == self.voter_state.voters.number) {
                (false, _) => "away",
                (true, true) => "votes",
                (true, false) => "takes up its vote",
            };
            serde_json::json!({ "address": member.addr, "disk": format!("{:x}", member.disk), "state": state })
        };
        let members: Vec<serde_json::Value> = self.voter_state.voters.members.iter().map(status).collect();
        let body = serde_json::json!({
            "number": self.voter_state.voters.number, "majority": self.voter_state.voters.majority(),
            "members": members,
            "fresh": self.has_majority(), "changing": self.is_changing_voters(),
        });
        self.respond(token, 200, body.to_string());
    }

    pub(crate) fn end_change(&mut self, outcome: ChangeOutcome) {
        self.change = None;
        self.voters_changed_at = self.now;
        match outcome {
            ChangeOutcome::Accepted(next) => {
                let previous = self.voter_state.voters.clone();
                self.learn_voters(&next, &previous);
            }
            ChangeOutcome::Aborted { highest_fence } => {
                self.max_successor_fence = self.max_successor_fence.max(highest_fence)
            }
        }
    }
}
