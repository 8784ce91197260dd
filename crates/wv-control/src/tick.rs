//! Regular work of a control node.
use crate::core::{Act, Core};
use crate::types::Link;
use wv_internal_protocol::{FeedUpdate, Message};

const PING_US: u64 = 400_000;
/// Sessions are told again after this many pings.
const SESSIONS_EVERY: u32 = 8;
const REPAIR_US: u64 = 2_000_000;
const REPAIR_SHUT_US: u64 = 30_000_000;
/// A peer is dialled again soon while this node is young, since all may be starting at once.
const DIAL_YOUNG_US: u64 = 100_000;
const YOUNG_US: u64 = 10_000_000;
/// Databases that left are remembered for one to two of these.
const FORGET_US: u64 = 60_000_000;
const DIAL_US: u64 = 500_000;
/// How long nodes must be missing before the others' shares of connections grow.
const FEWER_US: u64 = 20_000_000;

impl Core {
    /// Regular work, ten times a second.
    pub fn tick(&mut self, now: u64) {
        self.advance_clock(now);
        if self.born == 0 {
            self.born = self.now;
        }
        // A node that is its own majority asks nobody.
        self.update_contact();
        self.dial();
        if self.pinged + PING_US <= self.now {
            self.ping();
            self.tell_sessions();
            self.beat_followers();
            self.forget_words();
        }
        // Outside its window a sweep is rarer, never absent; links that come up compare at once in any case.
        let gap = if self.is_window_open { REPAIR_US } else { REPAIR_SHUT_US };
        if self.repaired + gap <= self.now {
            self.repaired = self.now;
            let ranges = self.table.digests();
            self.send_peers(&Message::InstanceDigests { digests: ranges });
        }
        if self.forgot + FORGET_US <= self.now {
            self.forgot = self.now;
            let needed = self.required_departures();
            self.table.prune_departed(&needed);
            let table = &self.table;
            self.left.retain(|id, _| table.get(id).is_some());
            self.leave_acks.retain_known(|id| table.get(id).is_some());
            self.drains.retain_known(|id| table.get(id).is_some());
            self.forget_peers();
        }
        self.continue_catch_up();
        self.tell_conf();
        self.serve_follows();
        self.store_table();
        self.run_catch_up();
        self.roster.expire_sessions(self.now);
        self.settle_holders();
        self.run_voter_change();
        self.run_duties();
        self.run_calls();
        self.run_shutdown();
        self.assign_shards();
        self.run_shards();
        self.run_sweep();
        self.tell_nodes();
        self.quorum.tick(self.now);
        self.run_quorum();
        self.expire_leaves();
        self.end_pending();
    }

    pub(crate) fn ping(&mut self) {
        self.pinged = self.now;
        let msg = self.new_ping();
        self.send_peers(&msg);
    }

    fn dial(&mut self) {
        let now = self.now;
        let gap = if now < self.born + YOUNG_US { DIAL_YOUNG_US } else { DIAL_US };
        let due: Vec<String> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.link.is_none() && (peer.dialed == 0 || peer.dialed + gap <= now))
            .map(|(addr, _)| addr.clone())
            .collect();
        for addr in due {
            let link = self.fresh_id();
            if let Some(peer) = self.peers.get_mut(&addr) {
                (peer.link, peer.dialed, peer.is_up) = (Some(link), now.max(1), false);
            }
            self.links.insert(link, Link { peer: Some(addr.clone()), node: None, is_follower: false, awaited: None });
            self.acts.push(Act::Dial { link, addr });
        }
    }

    /// Peers hear of this node's sessions when they change, and now and then in any case.
    fn tell_sessions(&mut self) {
        let nodes = self.roster.sessions(self.now);
        self.sessions_age += 1;
        if nodes != self.sessions_told || self.sessions_age >= SESSIONS_EVERY {
            self.send_peers(&Message::Sessions { sessions: nodes.clone() });
            (self.sessions_told, self.sessions_age) = (nodes, 0);
        }
    }

    pub(crate) fn beat_followers(&mut self) {
        let fresh = self.is_caught_up() && !self.is_leaving;
        // Who still waits for this young node is told nothing yet.
        let is_told = |link: &Link| link.node.is_some() && link.awaited.is_none();
        let followers: Vec<u64> = self.links.iter().filter(|(_, link)| is_told(link)).map(|(id, _)| *id).collect();
        followers.into_iter().for_each(|link| self.send(link, Message::ControlHeartbeat { has_majority: fresh }));
    }

    pub(crate) fn tell_nodes(&mut self) {
        let recalled = if self.now < self.born + FEWER_US { self.nodes_recalled } else { 0 };
        let nodes = (self.roster.node_count() as u32).max(recalled);
        // Nodes that are only out of sight keep their connections: if the rest took larger shares at once, the
        // databases would have to refuse some of them. More nodes count at once, fewer only when they stay away.
        if nodes >= self.nodes_told {
            self.fewer_since = self.now;
        }
        let is_settled = nodes > self.nodes_told || self.fewer_since + FEWER_US <= self.now;
        if nodes != self.nodes_told && nodes > 0 && is_settled {
            self.nodes_told = nodes;
            log::info!("nodes {nodes}");
            self.is_table_due = true;
            self.publish(FeedUpdate::NodeCount(nodes));
        }
    }

    /// Whether cautious work that can wait prefers to run now.
    pub fn set_window(&mut self, is_open: bool) {
        self.is_window_open = is_open;
    }

    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        for addr in seeds.iter().filter(|addr| **addr != self.me) {
            self.peers.entry(addr.clone()).or_default();
        }
        self.seeds = seeds;
    }
}
