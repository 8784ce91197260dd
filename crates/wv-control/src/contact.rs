//! Contact with a majority of the voters, timed from when each ping was sent, and catching up after contact was lost.
use crate::core::{Core, CONTACT_TTL_US};
use std::collections::{BTreeSet, VecDeque};
use wv_internal_protocol::Message;

/// Maximum number of pings remembered; the oldest are dropped when many links come up at once.
const MAX_OUTSTANDING_PINGS: usize = 256;
/// How long to wait for a voter's `ResyncDone` before the next voter is asked.
const RESYNC_TIMEOUT_US: u64 = 800_000;

/// State of this node's contact with the other control nodes.
#[derive(Default)]
pub(crate) struct Contact {
    /// Outstanding pings: request number and send time.
    pings: VecDeque<(u64, u64)>,
    /// The time at which contact with a majority expires.
    valid_until: u64,
    /// Incremented whenever contact is lost, so that results of operations started before are discarded.
    pub generation: u64,
    pub is_established: bool,
    /// When contact was last established.
    pub established_at: u64,
    /// Whether a read of the configuration register is in progress, and whether one completed in this generation.
    is_reading_configuration: bool,
    has_configuration: bool,
    /// The resync request of this generation, and the voters that have answered it in full.
    resync_request: u64,
    resynced_voters: BTreeSet<String>,
    /// The voters that a resync was requested from, and when the last request was sent.
    resync_targets: Vec<String>,
    resync_sent_at: Option<u64>,
    /// Planned shards whose slot maps were read in this generation, and those whose reads are in progress.
    pub synced_shards: BTreeSet<String>,
    pub syncing_shards: BTreeSet<String>,
    /// Detects process stalls: messages read after one may have been queued for as long.
    pub stalls: wv_internal_protocol::StallDetector,
}

impl Core {
    /// Advances the clock. Expired contact is detected here, before any input is handled: after a process stall,
    /// replies that arrived before the stall may still be queued.
    pub(crate) fn advance_clock(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.contact.stalls.observe(self.now);
        if self.contact.is_established && !self.has_majority() {
            self.update_contact();
            if !self.has_majority() {
                self.on_majority_lost();
            }
        }
    }

    /// Whether a majority of the voters, including this node if it votes, replied to pings within `CONTACT_TTL_US`.
    pub fn has_majority(&self) -> bool {
        self.now < self.contact.valid_until
    }

    /// Whether everything that was decided by a majority before contact was established is known here.
    pub fn is_caught_up(&self) -> bool {
        self.is_caught_up && self.has_majority()
    }

    /// Whether this node counts toward a majority of the voters.
    pub(crate) fn is_majority_member(&self) -> bool {
        self.voter_state.successor_voting_set(&self.address) > 0
    }

    pub(crate) fn new_ping(&mut self) -> Message {
        let (requester, request, now) = (self.proposer.incarnation(), self.proposer.next_request(), self.now);
        let pings = &mut self.contact.pings;
        pings.retain(|(_, sent)| sent + CONTACT_TTL_US > now);
        if pings.len() == MAX_OUTSTANDING_PINGS {
            pings.pop_front();
        }
        pings.push_back((request, now));
        Message::Ping { requester, request }
    }

    /// When the ping was sent that this pong answers. `None` if the ping is from an earlier incarnation or has expired.
    pub(crate) fn ping_sent_at(&self, requester: u64, request: u64) -> Option<u64> {
        let is_sent = |ping: &&(u64, u64)| ping.0 == request && ping.1 + CONTACT_TTL_US > self.now;
        let sent = self.contact.pings.iter().find(is_sent).map(|(_, sent)| *sent);
        sent.filter(|_| requester == self.proposer.incarnation())
    }

    /// Recomputes until when contact lasts. The deadline never moves back: contact with a majority of the previous
    /// voter set stays valid until it expires.
    pub(crate) fn update_contact(&mut self) {
        let voters = self.proposer.voters();
        // Includes voters that are sealed for a successor: nothing newer can be decided without them.
        let own = self.is_majority_member().then_some(self.now);
        let is_voting =
            |peer: &&crate::types::Peer| peer.voter_set.max(peer.sealed_set) == voters.number && peer.last_contact > 0;
        let others = voters.addrs().filter_map(|voter| self.peers.get(voter)).filter(is_voting);
        let mut contact_times: Vec<u64> = others.map(|peer| peer.last_contact).chain(own).collect();
        contact_times.sort_unstable_by(|one, other| other.cmp(one));
        let majority_at = contact_times.get(self.proposer.majority() - 1).filter(|_| !voters.members.is_empty());
        self.contact.valid_until =
            majority_at.map_or(self.contact.valid_until, |at| self.contact.valid_until.max(at + CONTACT_TTL_US));
        if !self.contact.is_established && self.has_majority() {
            self.on_majority_gained();
        }
    }

    fn on_majority_lost(&mut self) {
        log::warn!("lost contact with a majority of the voters, refusing pending proposals");
        self.contact.is_established = false;
        self.contact.generation += 1;
        (self.contact.is_reading_configuration, self.contact.has_configuration) = (false, false);
        self.contact.resynced_voters.clear();
        (self.contact.resync_targets, self.contact.resync_sent_at) = Default::default();
        (self.contact.synced_shards, self.contact.syncing_shards) = Default::default();
        self.is_caught_up = false;
        self.refuse_pending();
        // The heartbeats make followers switch to another control node. They receive no more updates from this one, as
        // anything published from now on may be stale.
        self.send_heartbeats();
        self.links.values_mut().for_each(|link| link.is_subscriber = false);
    }

    /// Starts new reads of everything that may have changed while contact was lost.
    fn on_majority_gained(&mut self) {
        log::info!("established contact with a majority of the voters");
        (self.contact.is_established, self.contact.established_at) = (true, self.now);
        self.contact.resync_request = self.proposer.next_request();
        self.ping();
        self.continue_catch_up();
    }

    /// Retries the reads that failed.
    pub(crate) fn continue_catch_up(&mut self) {
        if self.contact.is_established && !self.is_caught_up {
            if !self.is_diskless() && !self.contact.has_configuration {
                self.read_newest_configuration();
            }
            self.request_resync();
            self.check_caught_up();
        }
        self.sync_slots();
    }

    /// Requests the state that is in no register from one voter at a time: the digests let the second one send only
    /// what the first one lacked. A voter that does not answer in time is skipped.
    pub(crate) fn request_resync(&mut self) {
        let is_due = self.contact.resync_sent_at.is_none_or(|at| at + RESYNC_TIMEOUT_US <= self.now);
        if !is_due || !self.contact.is_established || self.is_caught_up || self.is_resynced() {
            return;
        }
        let (requester, request) = (self.proposer.incarnation(), self.contact.resync_request);
        let sent = |addr: &str| self.contact.resync_targets.iter().filter(|target| *target == addr).count();
        let is_pending = |addr: &&str| {
            let is_up = self.peers.get(*addr).is_some_and(|peer| peer.is_up);
            *addr != self.address && is_up && !self.contact.resynced_voters.contains(*addr)
        };
        let next = self.proposer.voters().addrs().filter(is_pending).min_by_key(|addr| sent(addr)).map(str::to_owned);
        let Some(addr) = next else { return };
        let digests = self.table.digests();
        if self.send_peer(&addr, Message::Resync { requester, request, digests }) {
            self.contact.resync_sent_at = Some(self.now);
            self.contact.resync_targets.push(addr);
        }
    }

    /// Whether a majority of the voters, including this node if it votes, has sent its in-memory state.
    fn is_resynced(&self) -> bool {
        let voters = self.proposer.voters();
        let resynced = self.contact.resynced_voters.iter().filter(|addr| voters.contains(addr)).count();
        usize::from(self.is_majority_member()) + resynced >= self.proposer.majority()
    }

    /// Answers a node that was out of contact: databases that differ, leaders, owners, and finally `ResyncDone`.
    pub(crate) fn answer_resync(&mut self, link: u64, (requester, request): (u64, u64), digests: &[u64]) {
        self.send_differing_ranges(link, digests);
        self.send_leaves(link);
        let leaders: Vec<Message> = self.feed.leaders().cloned().map(Message::Leader).collect();
        leaders.into_iter().for_each(|leader| self.send(link, leader));
        let owners: Vec<Message> = self.feed.owners().values().cloned().map(Message::Owner).collect();
        owners.into_iter().for_each(|owner| self.send(link, owner));
        self.send(link, Message::ResyncDone { requester, request });
    }

    pub(crate) fn on_resync_done(&mut self, addr: &str, requester: u64, request: u64) {
        if requester == self.proposer.incarnation()
            && request == self.contact.resync_request
            && self.contact.is_established
        {
            self.contact.resynced_voters.insert(addr.to_owned());
            self.contact.resync_sent_at = None;
            self.request_resync();
            self.check_caught_up();
        }
    }

    /// Reads the configuration in force from its register.
    pub(crate) fn read_newest_configuration(&mut self) {
        if !std::mem::replace(&mut self.contact.is_reading_configuration, true) {
            let token = self.allocate_id();
            self.operations.insert(token, crate::types::Operation::SyncConfiguration(self.contact.generation));
            self.proposer.start(token, crate::core::CONFIGURATION_KEY, None, self.now);
            self.run_proposer();
        }
    }

    /// Handles the end of a configuration read. One that started before contact was lost is ignored.
    pub(crate) fn on_configuration_read(&mut self, generation: u64, is_read: bool) {
        if generation == self.contact.generation {
            self.contact.is_reading_configuration = false;
            self.contact.has_configuration |= is_read && self.contact.is_established;
            self.check_caught_up();
        }
    }

    /// Marks this node as caught up once every read since contact was established has completed.
    pub(crate) fn check_caught_up(&mut self) {
        let has_configuration =
            if self.is_diskless() { self.has_newest_configuration() } else { self.contact.has_configuration };
        let is_synced = |plan: &wv_configuration::ShardPlan| self.contact.synced_shards.contains(&plan.shard);
        let has_slots =
            self.configuration.as_ref().is_none_or(|configuration| configuration.shard_plans.iter().all(is_synced));
        let is_complete = has_configuration && has_slots && self.is_resynced();
        if is_complete && self.contact.is_established && self.has_majority() && !self.is_caught_up {
            self.is_caught_up = true;
            self.resume_pending();
        }
        self.serve_subscriptions();
    }

    /// Whether a majority of the voters, pinged in this generation, holds no newer configuration.
    fn has_newest_configuration(&self) -> bool {
        let voters = self.proposer.voters();
        let is_current = |peer: &&crate::types::Peer| {
            let is_pinged =
                peer.last_contact >= self.contact.established_at && peer.last_contact + CONTACT_TTL_US > self.now;
            is_pinged && peer.voter_set == voters.number && peer.configuration_version <= self.committed_version
        };
        let current = voters.addrs().filter_map(|voter| self.peers.get(voter)).filter(is_current);
        !voters.members.is_empty() && current.count() >= self.proposer.majority()
    }

    /// Whether this node has caught up and has been in contact for at least `us`, so that membership is known.
    pub(crate) fn is_stable_for(&self, us: u64) -> bool {
        self.is_caught_up() && self.contact.established_at + us <= self.now
    }

    /// Whether this node started so recently that the other nodes may be starting as well.
    pub(crate) fn is_starting(&self) -> bool {
        self.now < self.started_at + crate::core::STARTUP_GRACE_US
    }
}
