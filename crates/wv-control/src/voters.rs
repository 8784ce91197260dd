//! The set of voters in change: who plans it, and how it is agreed on.
use crate::core::{Core, FRESH_US};
use crate::types::Peer;
use wv_consensus::{ChangeOutcome, VoterSetChange};
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
        let addrs: Vec<String> = self.peers.keys().filter(is_worth).cloned().chain([self.me.clone()]).collect();
        let zones = addrs.iter().map(zone).collect();
        Message::Peers {
            addresses: addrs,
            zones,
            voters: self.seat.voters.clone(),
            previous_voters: self.seat.previous.clone(),
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
                || peer.since.max(peer.contact) + FORGOTTEN_US > now
                || seeds.contains(addr)
                || voters.contains(addr)
        });
    }

    /// A settled set was heard of: it counts from now on, here and for whoever is told.
    pub(crate) fn learn_voters(&mut self, voters: &VoterSet, before: &VoterSet) {
        let is_news = self.seat.update_voters(&mut self.store, &self.me, voters, before).unwrap_or_else(|error| {
            log::error!("the set of voters is not kept: {error}");
            self.is_unlearned = true;
            false
        });
        if !is_news {
            return;
        }
        log::warn!("voters {}: {}", voters.number, voters.addrs().collect::<Vec<_>>().join(" "));
        for addr in voters.addrs().filter(|addr| *addr != self.me) {
            let since = self.now;
            self.peers.entry(addr.to_owned()).or_insert_with(|| Peer { since, ..Default::default() });
        }
        self.quorum.set_voters(voters.clone());
        self.change = None;
        self.changed = self.now;
        self.progress.restart();
        let msg = self.peers_msg();
        self.send_peers(&msg);
        self.take_over();
        self.ping();
    }

    /// The holder of the duty looks whether the set should change, and drives an attempt under way.
    pub(crate) fn run_voters(&mut self) {
        // What this disk could not take is told once more to whoever speaks of an older set.
        if std::mem::take(&mut self.is_unlearned) {
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
        let is_heard = |peer: &&Peer| self.is_heard(peer) && peer.set.max(peer.sealed) == voters.number;
        let others = voters.addrs().filter_map(|addr| self.peers.get(addr)).filter(is_heard).count();
        let own = usize::from(self.seat.successor_voting_set(&self.me) > 0);
        !voters.members.is_empty() && own + others >= voters.majority()
    }

    pub(crate) fn is_heard(&self, peer: &Peer) -> bool {
        peer.is_up && peer.contact + FRESH_US > self.now
    }

    /// Of those that sit in the newest set and stay, one plans its successor: it holds nearly all that will be handed on.
    fn is_planner(&self) -> bool {
        let voters = &self.seat.voters;
        let is_meant = |addr: &str| {
            let is_member = |disk: u64| voters.members.iter().any(|member| member.addr == addr && member.disk == disk);
            self.peers.get(addr).is_some_and(|peer| {
                let is_seated = peer.set.max(peer.sealed) == voters.number && peer.disk.is_some_and(is_member);
                is_seated && !peer.is_leaving
            })
        };
        let is_own = self.is_core && self.seat.successor_voting_set(&self.me) > 0 && !self.is_leaving;
        is_own && self.roster.is_duty_holder_among(DUTY, is_meant)
    }

    /// Whether every member that is reachable votes: before that nobody else is changed, so that what the set is meant to
    /// bear it bears. One that does not come to vote is not waited for without end.
    fn is_complete(&self) -> bool {
        let number = self.seat.voters.number;
        let is_behind = |addr: &str| self.peers.get(addr).is_some_and(|peer| self.is_heard(peer) && peer.set != number);
        self.changed + LATE_US <= self.now || !self.seat.voters.addrs().any(is_behind)
    }

    fn plan_change(&mut self) {
        if self.changed + PAUSE_US > self.now || !self.is_planner() || !self.is_seated() {
            return;
        }
        let voters = &self.seat.voters;
        let is_sealed = |addr: &str| self.peers.get(addr).is_some_and(|peer| peer.sealed == voters.number);
        // A predecessor began what it could not end: the set must not stay sealed without a successor.
        let is_begun = self.seat.voting_set(&self.me) == 0 || voters.addrs().any(is_sealed);
        if !is_begun && !self.is_complete() {
            return;
        }
        let same = || VoterSet { number: voters.number + 1, members: voters.members.clone() };
        let next = self.planned().or_else(|| is_begun.then(same));
        let is_larger = |next: &VoterSet| next.members.len() > voters.members.len();
        let Some(next) = next.filter(|next| is_begun || !is_larger(next) || self.changed + GROW_US <= self.now) else {
            return;
        };
        let own = self.me.bytes().fold(0u64, |sum, byte| (sum * 31 + u64::from(byte)) & 0xffff);
        let fence = (((self.met.max(self.seat.fence) >> 16) + 1) << 16) | own;
        log::warn!("set {} is to follow: {}", next.number, next.addrs().collect::<Vec<_>>().join(" "));
        self.changed = self.now;
        // Answers are known by the number, not by the fence: two lives of one node may come upon the same fence.
        let request = self.quorum.next_request();
        self.change = Some(VoterSetChange::new(request, fence, self.seat.voters.clone(), next, self.now));
        self.run_voters();
    }

    /// The next set, if this node sees a reason for one.
    pub(crate) fn planned(&self) -> Option<VoterSet> {
        wv_consensus::plan_successor(&self.seat.voters, &self.cores(), |addr| self.away_us(addr))
    }

    /// The machines that could vote, as they are known here.
    fn cores(&self) -> Vec<wv_consensus::Candidate> {
        let own = wv_consensus::Candidate {
            member: Member { addr: self.me.clone(), disk: self.seat.disk },
            zone: self.zone.clone(),
            is_up: true,
            is_ready: self.is_ready(),
            is_leaving: self.is_leaving,
        };
        let other = |(addr, peer): (&String, &Peer)| {
            Some(wv_consensus::Candidate {
                member: Member { addr: addr.clone(), disk: peer.disk? },
                zone: peer.zone.clone(),
                is_up: self.is_heard(peer),
                is_ready: peer.is_ready,
                is_leaving: peer.is_leaving,
            })
        };
        self.is_core.then_some(own).into_iter().chain(self.peers.iter().filter_map(other)).collect()
    }

    /// For how long nobody has answered for a member. A disk that is slow or hangs is not away: its machine answers.
    fn away_us(&self, addr: &str) -> u64 {
        // What has no disk forgets with its process: it gives its place to the first that has one.
        let is_forgetful = |peer: &Peer| peer.contact > 0 && peer.disk.is_none();
        if (addr == self.me && !self.is_core) || self.peers.get(addr).is_some_and(is_forgetful) {
            return wv_consensus::REPLACE_AFTER_US;
        }
        let peer = self.peers.get(addr).filter(|peer| !self.is_heard(peer));
        peer.map_or(0, |peer| self.now.saturating_sub(peer.since.max(peer.contact).max(self.born)))
    }

    /// Whether this node is agreeing on the next voters right now.
    pub fn is_changing(&self) -> bool {
        self.change.is_some()
    }

    /// `GET /voters`: the set in force as it is known here, and how each of its members stands.
    pub(crate) fn list_voters(&mut self, token: u64) {
        let word = |member: &Member| {
            let is_own = member.addr == self.me;
            let peer = self.peers.get(&member.addr);
            let (is_up, set) = if is_own {
                (true, self.seat.voting_set(&self.me))
            } else {
                peer.map_or((false, 0), |peer| (peer.is_up, peer.set))
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
        self.ret(token, 200, body.to_string());
    }

    pub(crate) fn end_change(&mut self, end: ChangeOutcome) {
        self.change = None;
        self.changed = self.now;
        match end {
            ChangeOutcome::Accepted(next) => {
                let before = self.seat.voters.clone();
                self.learn_voters(&next, &before);
            }
            ChangeOutcome::Aborted { highest_fence } => self.met = self.met.max(highest_fence),
        }
    }
}
