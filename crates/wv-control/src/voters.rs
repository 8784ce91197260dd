//! The set of voters in change: who plans it, and how it is agreed on.
use crate::core::{Core, FRESH_US};
use wv_inner::{Member, Msg, Voters};
use wv_reg::{Change, End};

/// The key of the duty of changing the voters.
const DUTY: &str = "voters";
/// Attempts follow each other no sooner.
const PAUSE_US: u64 = 300_000;
/// Addresses that nobody has reached for this long, and that no set or seed names, are forgotten.
const FORGOTTEN_US: u64 = 60_000_000;

impl Core {
    pub(crate) fn peers_msg(&self) -> Msg {
        let is_worth = |addr: &&String| self.peers.get(*addr).is_some_and(|peer| peer.is_up) || self.is_named(addr);
        let zone = |addr: &String| self.peers.get(addr).map_or(self.zone.clone(), |peer| peer.zone.clone());
        let addrs: Vec<String> = self.peers.keys().filter(is_worth).cloned().chain([self.me.clone()]).collect();
        let zones = addrs.iter().map(zone).collect();
        Msg::Peers { addrs, zones, voters: self.seat.voters.clone(), before: self.seat.before.clone() }
    }

    fn is_named(&self, addr: &str) -> bool {
        self.seeds.iter().any(|seed| seed == addr) || self.seat.voters.has(addr)
    }

    pub(crate) fn forget_peers(&mut self) {
        let now = self.now;
        let (seeds, voters) = (&self.seeds, &self.seat.voters);
        self.peers.retain(|addr, peer| {
            peer.is_up || peer.since.max(peer.ponged) + FORGOTTEN_US > now || seeds.contains(addr) || voters.has(addr)
        });
    }

    /// A settled set was heard of: it counts from now on, here and for whoever is told.
    pub(crate) fn learn_voters(&mut self, voters: &Voters, before: &Voters) {
        let is_news = self.seat.learn(&mut self.store, voters, before).unwrap_or_else(|error| {
            log::error!("the set of voters is not kept: {error}");
            false
        });
        if !is_news {
            return;
        }
        log::warn!("voters {}: {}", voters.number, voters.addrs().collect::<Vec<_>>().join(" "));
        for addr in voters.addrs().filter(|addr| *addr != self.me) {
            let since = self.now;
            self.peers.entry(addr.to_owned()).or_insert_with(|| crate::types::Peer { since, ..Default::default() });
        }
        self.quorum.set_voters(voters.clone());
        self.change = None;
        self.progress.restart();
        let msg = self.peers_msg();
        self.send_peers(&msg);
        self.take_over();
        self.ping();
    }

    /// The holder of the duty looks whether the set should change, and drives an attempt under way.
    pub(crate) fn run_voters(&mut self) {
        let due = self.change.as_mut().map(|change| change.tick(self.now));
        match due {
            Some(Ok(msgs)) => self.send_change(msgs),
            Some(Err(end)) => self.end_change(end),
            None => self.plan_change(),
        }
    }

    fn plan_change(&mut self) {
        let is_ours = self.roster.is_holder(DUTY) && self.is_fresh() && self.changed + PAUSE_US <= self.now;
        if !is_ours || self.is_leaving {
            return;
        }
        let own = self.is_core.then(|| (self.me.clone(), self.seat.disk, true));
        let is_up = |peer: &crate::types::Peer| peer.is_up && peer.ponged + FRESH_US > self.now;
        let others = self.peers.iter().filter_map(|(addr, peer)| Some((addr.clone(), peer.disk?, is_up(peer))));
        let cores: Vec<wv_reg::Core> = own
            .into_iter()
            .chain(others)
            .map(|(addr, disk, is_up)| wv_reg::Core { member: Member { addr, disk }, is_up })
            .collect();
        let away_us = |addr: &str| {
            // What has no disk forgets with its process: it gives its place to the first that has one.
            let is_forgetful = |peer: &crate::types::Peer| peer.ponged > 0 && peer.disk.is_none();
            if (addr == self.me && !self.is_core) || self.peers.get(addr).is_some_and(is_forgetful) {
                return wv_reg::AWAY_US;
            }
            let peer = self.peers.get(addr).filter(|peer| !is_up(peer));
            peer.map_or(0, |peer| self.now.saturating_sub(peer.since.max(peer.ponged).max(self.born)))
        };
        let Some(next) = wv_reg::plan(&self.seat.voters, &cores, away_us) else { return };
        let own = self.me.bytes().fold(0u64, |sum, byte| (sum * 31 + u64::from(byte)) & 0xffff);
        let fence = (((self.met.max(self.seat.fence) >> 16) + 1) << 16) | own;
        log::warn!("set {} is to follow: {}", next.number, next.addrs().collect::<Vec<_>>().join(" "));
        let request = self.quorum.next_request();
        self.changed = self.now;
        self.change = Some(Change::new(request, fence, self.seat.voters.clone(), next, self.now));
        self.run_voters();
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
                (true, self.seat.votes_in(&self.me))
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

    fn send_change(&mut self, msgs: Vec<(String, Msg)>) {
        let me = self.me.clone();
        for (voter, msg) in msgs {
            if voter != me {
                self.send_peer(&voter, msg);
                continue;
            }
            let word = self.change_word(msg);
            word.into_iter().for_each(|word| self.change_heard(&me, word));
        }
    }

    /// A voter's answer to the one that changes the set.
    pub(crate) fn change_word(&mut self, msg: Msg) -> Option<Msg> {
        let noted = |error: wv_reg::RegError| log::error!("a word on the next voters is not kept: {error}");
        match msg {
            Msg::Claim { request, set, fence } => {
                let claimed = self.seat.claim(&mut self.store, &self.me, set, fence)?.map_err(noted).ok()?;
                Some(Msg::Claimed { request, ok: claimed.is_ok, fence: claimed.fence, next: claimed.next })
            }
            Msg::Settle { request, set, fence, next } => {
                let ok = self.seat.settle(&mut self.store, &self.me, (set, fence), &next)?.map_err(noted).ok()?;
                Some(Msg::Settled { request, ok })
            }
            _ => None,
        }
    }

    pub(crate) fn change_heard(&mut self, voter: &str, msg: Msg) {
        let end = self.change.as_mut().and_then(|change| match msg {
            Msg::Claimed { request, ok, fence, next } => change.claimed(voter, request, ok, fence, next),
            Msg::Settled { request, ok } => change.settled(voter, request, ok),
            _ => None,
        });
        match end {
            Some(end) => self.end_change(end),
            // Its next step goes out at once.
            None => {
                let due = self.change.as_mut().map(|change| change.tick(self.now));
                due.into_iter().flatten().for_each(|msgs| self.send_change(msgs));
            }
        }
    }

    fn end_change(&mut self, end: End) {
        self.change = None;
        self.changed = self.now;
        match end {
            End::Settled(next) => {
                let before = self.seat.voters.clone();
                self.learn_voters(&next, &before);
            }
            End::Off { seen } => self.met = self.met.max(seen),
        }
    }
}
