//! Contact with a majority of the voters, dated by what was asked, and catching up after it was lost.
use crate::core::{Core, CONTACT_TTL_US};
use std::collections::{BTreeSet, VecDeque};
use wv_internal_protocol::Message;

/// Pings older than `CONTACT_TTL_US` are forgotten; of links that come up in a rush no more than this many are known.
const PINGS_MAX: usize = 256;
/// A voter that has not told what it holds in memory by then is not waited for; a thin link takes a while.
const RECAP_US: u64 = 800_000;

/// What a node knows of its contact with the others.
#[derive(Default)]
pub(crate) struct Contact {
    /// The pings under way: the request and when it was sent.
    pings: VecDeque<(u64, u64)>,
    /// Until when a majority counts as in contact.
    until: u64,
    /// The number of this spell of contact; what was begun in an earlier one says nothing of now.
    pub spell: u64,
    pub is_held: bool,
    /// When this spell began.
    pub since: u64,
    /// The register of the configuration is being read, and was read to the end in this spell.
    is_reading: bool,
    has_conf: bool,
    /// The request of this spell for what others hold in memory, and the voters that have told all of it.
    recap: u64,
    told: BTreeSet<String>,
    /// Whom that was asked of, and when last.
    asked: Vec<String>,
    asked_at: Option<u64>,
    /// Planned shards whose maps were read in this spell, or are being read.
    pub synced: BTreeSet<String>,
    pub syncing: BTreeSet<String>,
    /// What is read after this process stood still may have waited as long.
    pub stalls: wv_internal_protocol::StallDetector,
}

impl Core {
    /// Time goes on. Contact that ran out is noticed here, before anything else happens: also after this process stood
    /// still, with answers from before that still to be read.
    pub(crate) fn at(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.contact.stalls.observe(self.now);
        if self.contact.is_held && !self.is_fresh() {
            self.reckon_contact();
            if !self.is_fresh() {
                self.lose_contact();
            }
        }
    }

    /// Whether a majority of voters answered something that was asked less than `CONTACT_TTL_US` ago, this node counted where
    /// it votes.
    pub fn is_fresh(&self) -> bool {
        self.now < self.contact.until
    }

    /// Whether all that stood on a majority when contact came back is known here.
    pub fn is_caught_up(&self) -> bool {
        self.is_caught_up && self.is_fresh()
    }

    /// Whether this node is one of those that a majority is made of.
    pub(crate) fn sits(&self) -> bool {
        self.seat.sits_in(&self.address) > 0
    }

    pub(crate) fn ping_msg(&mut self) -> Message {
        let (asker, request, now) = (self.quorum.who(), self.quorum.next_request(), self.now);
        let pings = &mut self.contact.pings;
        pings.retain(|(_, sent)| sent + CONTACT_TTL_US > now);
        if pings.len() == PINGS_MAX {
            pings.pop_front();
        }
        pings.push_back((request, now));
        Message::Ping { requester: asker, request }
    }

    /// When the ping was sent that is answered here: `None` for one of another life or of a forgotten age, whose answer
    /// says nothing of now.
    pub(crate) fn ping_sent(&self, asker: u64, request: u64) -> Option<u64> {
        let is_sent = |ping: &&(u64, u64)| ping.0 == request && ping.1 + CONTACT_TTL_US > self.now;
        let sent = self.contact.pings.iter().find(is_sent).map(|(_, sent)| *sent);
        sent.filter(|_| asker == self.quorum.who())
    }

    /// Dates contact with a majority. It never goes back: what was in contact with a majority of the set before stays
    /// so until its time is over.
    pub(crate) fn reckon_contact(&mut self) {
        let voters = self.quorum.voters();
        // Also those that are sealed for a successor: nothing newer is decided without them.
        let own = self.sits().then_some(self.now);
        let is_voting =
            |peer: &&crate::types::Peer| peer.voter_set.max(peer.sealed_set) == voters.number && peer.last_contact > 0;
        let others = voters.addrs().filter_map(|voter| self.peers.get(voter)).filter(is_voting);
        let mut dates: Vec<u64> = others.map(|peer| peer.last_contact).chain(own).collect();
        dates.sort_unstable_by(|one, other| other.cmp(one));
        let newest = dates.get(self.quorum.majority() - 1).filter(|_| !voters.members.is_empty());
        self.contact.until = newest.map_or(self.contact.until, |date| self.contact.until.max(date + CONTACT_TTL_US));
        if !self.contact.is_held && self.is_fresh() {
            self.gain_contact();
        }
    }

    fn lose_contact(&mut self) {
        log::warn!("no majority of the voters is in contact");
        self.contact.is_held = false;
        self.contact.spell += 1;
        (self.contact.is_reading, self.contact.has_conf) = (false, false);
        self.contact.told.clear();
        (self.contact.asked, self.contact.asked_at) = Default::default();
        (self.contact.synced, self.contact.syncing) = Default::default();
        self.is_caught_up = false;
        self.refuse_pending();
        // Followers go elsewhere at once, and hear nothing more: what is published from here on may be old.
        self.send_heartbeats();
        self.links.values_mut().for_each(|link| link.is_subscriber = false);
    }

    /// Everything that may have changed meanwhile is read anew, by reads that begin now.
    fn gain_contact(&mut self) {
        log::info!("a majority of the voters is in contact");
        (self.contact.is_held, self.contact.since) = (true, self.now);
        self.contact.recap = self.quorum.next_request();
        self.ping();
        self.keep_contact();
    }

    /// Reads that failed are begun again.
    pub(crate) fn keep_contact(&mut self) {
        if self.contact.is_held && !self.is_caught_up {
            if !self.is_diskless() && !self.contact.has_conf {
                self.sync_conf();
            }
            self.ask_recap();
            self.catch_up();
        }
        self.sync_slots();
    }

    /// What stands in no register, from one voter after the other: the second one tells only what the first one lacked.
    /// One that is silent is not waited for.
    pub(crate) fn ask_recap(&mut self) {
        let is_due = self.contact.asked_at.is_none_or(|at| at + RECAP_US <= self.now);
        if !is_due || !self.contact.is_held || self.is_caught_up || self.has_recap() {
            return;
        }
        let (asker, request) = (self.quorum.who(), self.contact.recap);
        let times = |addr: &str| self.contact.asked.iter().filter(|asked| *asked == addr).count();
        let is_left = |addr: &&str| {
            let is_up = self.peers.get(*addr).is_some_and(|peer| peer.is_up);
            *addr != self.address && is_up && !self.contact.told.contains(*addr)
        };
        let next = self.quorum.voters().addrs().filter(is_left).min_by_key(|addr| times(addr)).map(str::to_owned);
        let Some(addr) = next else { return };
        let ranges = self.table.digests();
        if self.send_peer(&addr, Message::Resync { requester: asker, request, digests: ranges }) {
            self.contact.asked_at = Some(self.now);
            self.contact.asked.push(addr);
        }
    }

    /// Whether a majority of voters has told what it holds in memory, this node counted where it is one.
    fn has_recap(&self) -> bool {
        let voters = self.quorum.voters();
        let told = self.contact.told.iter().filter(|addr| voters.contains(addr)).count();
        usize::from(self.sits()) + told >= self.quorum.majority()
    }

    /// Another node was out of contact: the databases that it knows otherwise, who leads, who owns, and last that this
    /// was all.
    pub(crate) fn give_recap(&mut self, link: u64, (asker, request): (u64, u64), ranges: &[u64]) {
        self.send_differing_ranges(link, ranges);
        self.tell_leaves(link);
        let leads: Vec<Message> = self.feed.leads().cloned().map(Message::Leader).collect();
        leads.into_iter().for_each(|lead| self.send(link, lead));
        let owners: Vec<Message> = self.feed.owners().values().cloned().map(Message::Owner).collect();
        owners.into_iter().for_each(|owner| self.send(link, owner));
        self.send(link, Message::ResyncDone { requester: asker, request });
    }

    pub(crate) fn recapped(&mut self, addr: &str, asker: u64, request: u64) {
        if asker == self.quorum.who() && request == self.contact.recap && self.contact.is_held {
            self.contact.told.insert(addr.to_owned());
            self.contact.asked_at = None;
            self.ask_recap();
            self.catch_up();
        }
    }

    /// Reads the register to learn what stands in force.
    pub(crate) fn sync_conf(&mut self) {
        if !std::mem::replace(&mut self.contact.is_reading, true) {
            let token = self.allocate_id();
            self.operations.insert(token, crate::types::Operation::SyncConfiguration(self.contact.spell));
            self.quorum.start(token, crate::core::CONF_KEY, None, self.now);
            self.run_quorum();
        }
    }

    /// A read of the configuration has ended; one that was begun before contact was lost says nothing of now.
    pub(crate) fn conf_synced(&mut self, spell: u64, is_read: bool) {
        if spell == self.contact.spell {
            self.contact.is_reading = false;
            self.contact.has_conf |= is_read && self.contact.is_held;
            self.catch_up();
        }
    }

    /// Whether everything was read since contact came back.
    pub(crate) fn catch_up(&mut self) {
        let has_conf = if self.is_diskless() { self.has_newest() } else { self.contact.has_conf };
        let is_synced = |plan: &wv_configuration::ShardPlan| self.contact.synced.contains(&plan.shard);
        let has_slots = self.conf.as_ref().is_none_or(|conf| conf.plans.iter().all(is_synced));
        let is_whole = has_conf && has_slots && self.has_recap();
        if is_whole && self.contact.is_held && self.is_fresh() && !self.is_caught_up {
            self.is_caught_up = true;
            self.resume_pending();
        }
        self.serve_subscriptions();
    }

    /// Whether a majority of voters, asked in this spell, holds no newer configuration.
    fn has_newest(&self) -> bool {
        let voters = self.quorum.voters();
        let is_heard = |peer: &&crate::types::Peer| {
            let is_asked = peer.last_contact >= self.contact.since && peer.last_contact + CONTACT_TTL_US > self.now;
            is_asked && peer.voter_set == voters.number && peer.conf_version <= self.committed_version
        };
        let heard = voters.addrs().filter_map(|voter| self.peers.get(voter)).filter(is_heard);
        !voters.members.is_empty() && heard.count() >= self.quorum.majority()
    }

    /// Whether this node has caught up and has been in contact for `us`, so that it has heard who is there.
    pub(crate) fn is_settled(&self, us: u64) -> bool {
        self.is_caught_up() && self.contact.since + us <= self.now
    }

    /// A node that has just started: all others may be no further.
    pub(crate) fn is_young(&self) -> bool {
        self.now < self.started_at + crate::core::STARTUP_GRACE_US
    }
}
