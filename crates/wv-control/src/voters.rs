//! The set of voters in change: who plans it, and how it is agreed on.
use crate::core::{Core, CONTACT_TTL_US};
use crate::types::Peer;
use wv_consensus::{Change, End};
use wv_internal_protocol::{Member, Message, VoterSet};

/// The key of the duty of changing the voters.
const DUTY: &str = "voters";
/// Attempts follow each other no sooner.
const PAUSE_US: u64 = 300_000;
/// A set grows no sooner after the last change: nothing is lost while it waits.
const GROW_US: u64 = 1_000_000;
/// A member that is reachable and does not vote holds up the next change for no longer.
const LATE_US: u64 = 5_000_000;
/// Addresses that nobody has reached for this long, and that no set or seed names, are forgotten.
const FORGOTTEN_US: u64 = 60_000_000;

impl Core {
    pub(crate) fn peers_msg(&self) -> Message {
        let is_worth = |addr: &&String| self.peers.get(*addr).is_some_and(|peer| peer.is_up) || self.is_named(addr);
        let zone = |addr: &String| self.peers.get(addr).map_or(self.zone.clone(), |peer| peer.zone.clone());
        let addrs: Vec<String> = self.peers.keys().filter(is_worth).cloned().chain([self.address.clone()]).collect();
        let zones = addrs.iter().map(zone).collect();
        Message::Peers {
            addresses: addrs,
            zones,
            voters: self.seat.voters.clone(),
            previous_voters: self.seat.before.clone(),
        }
    }

    fn is_named(&self, addr: &str) -> bool {
        self.seeds.iter().any(|seed| seed == addr) || self.seat.voters.contains(addr)
    }

    pub(crate) fn forget_peers(&mut self) {
        let now = self.now;
        let (seeds, voters) = (&self.seeds, &self.seat.voters);
        self.peers.retain(|addr, peer| {
            peer.is_up
                || peer.known_since.max(peer.last_contact) + FORGOTTEN_US > now
                || seeds.contains(addr)
                || voters.contains(addr)
        });
    }

    /// A settled set was heard of: it counts from now on, here and for whoever is told.
    pub(crate) fn learn_voters(&mut self, voters: &VoterSet, before: &VoterSet) {
        let is_news = self.seat.learn(&mut self.store, &self.address, voters, before).unwrap_or_else(|error| {
            log::error!("the set of voters is not kept: {error}");
            self.is_voter_update_unsaved = true;
            false
        });
        if !is_news {
            return;
        }
        log::warn!("voters {}: {}", voters.number, voters.addrs().collect::<Vec<_>>().join(" "));
        for addr in voters.addrs().filter(|addr| *addr != self.address) {
            let since = self.now;
            self.peers.entry(addr.to_owned()).or_insert_with(|| Peer { known_since: since, ..Default::default() });
        }
        self.quorum.set_voters(voters.clone());
        self.change = None;
        self.voters_changed_at = self.now;
        self.progress.restart();
        let msg = self.peers_msg();
        self.send_peers(&msg);
        self.take_over();
        self.ping();
    }

    /// The holder of the duty looks whether the set should change, and drives an attempt under way.
    pub(crate) fn run_voters(&mut self) {
        // What this disk could not take is told once more to whoever speaks of an older set.
        if std::mem::take(&mut self.is_voter_update_unsaved) {
            let msg = self.peers_msg();
            self.send_peers(&msg);
        }
        let due = self.change.as_mut().map(|change| change.tick(self.now));
        match due {
            Some(Ok(msgs)) => self.send_change(msgs),
            Some(Err(end)) => self.end_change(end),
            None => self.plan_change(),
        }
    }

    /// Whether this node is in fresh contact with a majority of the newest set that has a say on its successor: of those
    /// that vote, and of those that are sealed for a successor which is not settled yet.
    fn is_seated(&self) -> bool {
        let voters = &self.seat.voters;
        let is_heard = |peer: &&Peer| self.is_heard(peer) && peer.voter_set.max(peer.sealed_set) == voters.number;
        let others = voters.addrs().filter_map(|addr| self.peers.get(addr)).filter(is_heard).count();
        let own = usize::from(self.seat.sits_in(&self.address) > 0);
        !voters.members.is_empty() && own + others >= voters.majority()
    }

    pub(crate) fn is_heard(&self, peer: &Peer) -> bool {
        peer.is_up && peer.last_contact + CONTACT_TTL_US > self.now
    }

    /// Of those that sit in the newest set and stay, one plans its successor: it holds nearly all that will be handed on.
    fn is_planner(&self) -> bool {
        let voters = &self.seat.voters;
        let is_meant = |addr: &str| {
            let is_member = |disk: u64| voters.members.iter().any(|member| member.addr == addr && member.disk == disk);
            self.peers.get(addr).is_some_and(|peer| {
                let is_seated =
                    peer.voter_set.max(peer.sealed_set) == voters.number && peer.disk_id.is_some_and(is_member);
                is_seated && !peer.is_leaving
            })
        };
        let is_own = self.has_disk && self.seat.sits_in(&self.address) > 0 && !self.is_leaving;
        is_own && self.membership.is_duty_holder_among(DUTY, is_meant)
    }

    /// Whether every member that is reachable votes: before that nobody else is changed, so that what the set is meant to
    /// bear it bears. One that does not come to vote is not waited for without end.
    fn is_complete(&self) -> bool {
        let number = self.seat.voters.number;
        let is_behind =
            |addr: &str| self.peers.get(addr).is_some_and(|peer| self.is_heard(peer) && peer.voter_set != number);
        self.voters_changed_at + LATE_US <= self.now || !self.seat.voters.addrs().any(is_behind)
    }

    fn plan_change(&mut self) {
        if self.voters_changed_at + PAUSE_US > self.now || !self.is_planner() || !self.is_seated() {
            return;
        }
        let voters = &self.seat.voters;
        let is_sealed = |addr: &str| self.peers.get(addr).is_some_and(|peer| peer.sealed_set == voters.number);
        // A predecessor began what it could not end: the set must not stay sealed without a successor.
        let is_begun = self.seat.votes_in(&self.address) == 0 || voters.addrs().any(is_sealed);
        if !is_begun && !self.is_complete() {
            return;
        }
        let same = || VoterSet { number: voters.number + 1, members: voters.members.clone() };
        let next = self.planned().or_else(|| is_begun.then(same));
        let is_larger = |next: &VoterSet| next.members.len() > voters.members.len();
        let Some(next) =
            next.filter(|next| is_begun || !is_larger(next) || self.voters_changed_at + GROW_US <= self.now)
        else {
            return;
        };
        let own = self.address.bytes().fold(0u64, |sum, byte| (sum * 31 + u64::from(byte)) & 0xffff);
        let fence = (((self.max_successor_fence.max(self.seat.fence) >> 16) + 1) << 16) | own;
        log::warn!("set {} is to follow: {}", next.number, next.addrs().collect::<Vec<_>>().join(" "));
        self.voters_changed_at = self.now;
        // Answers are known by the number, not by the fence: two lives of one node may come upon the same fence.
        let request = self.quorum.next_request();
        self.change = Some(Change::new(request, fence, self.seat.voters.clone(), next, self.now));
        self.run_voters();
    }

    /// The next set, if this node sees a reason for one.
    pub(crate) fn planned(&self) -> Option<VoterSet> {
        wv_consensus::plan(&self.seat.voters, &self.cores(), |addr| self.away_us(addr))
    }

    /// The machines that could vote, as they are known here.
    fn cores(&self) -> Vec<wv_consensus::Core> {
        let own = wv_consensus::Core {
            member: Member { addr: self.address.clone(), disk: self.seat.disk },
            zone: self.zone.clone(),
            is_up: true,
            is_ready: self.is_ready(),
            is_leaving: self.is_leaving,
        };
        let other = |(addr, peer): (&String, &Peer)| {
            Some(wv_consensus::Core {
                member: Member { addr: addr.clone(), disk: peer.disk_id? },
                zone: peer.zone.clone(),
                is_up: self.is_heard(peer),
                is_ready: peer.is_ready,
                is_leaving: peer.is_leaving,
            })
        };
        self.has_disk.then_some(own).into_iter().chain(self.peers.iter().filter_map(other)).collect()
    }

    /// For how long nobody has answered for a member. A disk that is slow or hangs is not away: its machine answers.
    fn away_us(&self, addr: &str) -> u64 {
        // What has no disk forgets with its process: it gives its place to the first that has one.
        let is_forgetful = |peer: &Peer| peer.last_contact > 0 && peer.disk_id.is_none();
        if (addr == self.address && !self.has_disk) || self.peers.get(addr).is_some_and(is_forgetful) {
            return wv_consensus::AWAY_US;
        }
        let peer = self.peers.get(addr).filter(|peer| !self.is_heard(peer));
        peer.map_or(0, |peer| self.now.saturating_sub(peer.known_since.max(peer.last_contact).max(self.started_at)))
    }

    /// Whether this node is agreeing on the next voters right now.
    pub fn is_changing(&self) -> bool {
        self.change.is_some()
    }

    /// `GET /voters`: the set in force as it is known here, and how each of its members stands.
    pub(crate) fn list_voters(&mut self, token: u64) {
        let word = |member: &Member| {
            let is_own = member.addr == self.address;
            let peer = self.peers.get(&member.addr);
            let (is_up, set) = if is_own {
                (true, self.seat.votes_in(&self.address))
            } else {
                peer.map_or((false, 0), |peer| (peer.is_up, peer.voter_set))
            };
            let state = match (is_up, set == self.seat.voters.number) {
                (false, _) => "away",
                (true, true) => "votes",
                (true, false) => "takes up its vote",
            };
            serde_json::json!({ "address": member.addr, "disk": format!("{:x}", member.disk), "state": state })
        };
        let members: Vec<serde_json::Value> = self.seat.voters.members.iter().map(word).collect();
        let body = serde_json::json!({
            "number": self.seat.voters.number, "majority": self.seat.voters.majority(), "members": members,
            "fresh": self.is_fresh(), "changing": self.is_changing(),
        });
        self.respond(token, 200, body.to_string());
    }

    pub(crate) fn end_change(&mut self, end: End) {
        self.change = None;
        self.voters_changed_at = self.now;
        match end {
            End::Settled(next) => {
                let before = self.seat.voters.clone();
                self.learn_voters(&next, &before);
            }
            End::Off { seen } => self.max_successor_fence = self.max_successor_fence.max(seen),
        }
    }
}
