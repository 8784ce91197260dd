//! Periodic work of a control node.
use crate::core::{Core, Effect};
use crate::types::Link;
use wv_internal_protocol::{FeedUpdate, Message};

const PING_INTERVAL_US: u64 = 400_000;
/// Unchanged sessions are sent again after this many pings.
const SESSIONS_RESEND_PINGS: u32 = 8;
const REPAIR_INTERVAL_US: u64 = 2_000_000;
const REPAIR_INTERVAL_OFF_WINDOW_US: u64 = 30_000_000;
/// Shorter interval between dials during startup, since all nodes may be starting at once.
const STARTUP_DIAL_INTERVAL_US: u64 = 100_000;
const STARTUP_DIAL_PERIOD_US: u64 = 10_000_000;
/// Departed databases are kept for one to two of these intervals.
const EXPIRY_INTERVAL_US: u64 = 60_000_000;
const DIAL_INTERVAL_US: u64 = 500_000;
/// How long access nodes must be missing before the connection shares of the others grow.
const NODE_COUNT_DECREASE_DELAY_US: u64 = 20_000_000;

impl Core {
    /// Runs the periodic work, every `TICK_US`.
    pub fn tick(&mut self, now: u64) {
        self.advance_clock(now);
        if self.started_at == 0 {
            self.started_at = self.now;
        }
        // A single voter is in contact without any pings.
        self.update_contact();
        self.dial();
        if self.last_ping + PING_INTERVAL_US <= self.now {
            self.ping();
            self.send_sessions();
            self.send_heartbeats();
            self.expire_reports();
        }
        // Outside the maintenance window repair is rarer; new links compare digests at once in any case.
        let interval = if self.is_maintenance_window { REPAIR_INTERVAL_US } else { REPAIR_INTERVAL_OFF_WINDOW_US };
        if self.last_repair + interval <= self.now {
            self.last_repair = self.now;
            let digests = self.table.digests();
            self.send_peers(&Message::InstanceDigests { digests });
        }
        if self.last_expiry + EXPIRY_INTERVAL_US <= self.now {
            self.last_expiry = self.now;
            let needed = self.required_departures();
            self.table.prune_departed(&needed);
            let table = &self.table;
            self.departures.retain(|id, _| table.get(id).is_some());
            self.leave_acks.retain_known(|id| table.get(id).is_some());
            self.leave_ages.retain_known(|id| table.get(id).is_some());
            self.forget_peers();
        }
        self.continue_catch_up();
        self.publish_configuration();
        self.serve_subscriptions();
        self.store_table();
        self.run_catch_up();
        self.membership.expire_sessions(self.now);
        self.update_duty_peers();
        self.run_voter_change();
        self.run_duties();
        self.run_platform_calls();
        self.run_shutdown();
        self.assign_shards();
        self.run_shards();
        self.run_sweep();
        self.publish_node_count();
        self.proposer.tick(self.now);
        self.run_proposer();
        self.expire_leaves();
        self.expire_pending();
    }

    pub(crate) fn ping(&mut self) {
        self.last_ping = self.now;
        let message = self.new_ping();
        self.send_peers(&message);
    }

    fn dial(&mut self) {
        let now = self.now;
        let interval =
            if now < self.started_at + STARTUP_DIAL_PERIOD_US { STARTUP_DIAL_INTERVAL_US } else { DIAL_INTERVAL_US };
        let due: Vec<String> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.link.is_none() && (peer.last_dial == 0 || peer.last_dial + interval <= now))
            .map(|(addr, _)| addr.clone())
            .collect();
        for addr in due {
            let link = self.allocate_id();
            if let Some(peer) = self.peers.get_mut(&addr) {
                (peer.link, peer.last_dial, peer.is_up) = (Some(link), now.max(1), false);
            }
            self.links
                .insert(link, Link { peer: Some(addr.clone()), node: None, is_subscriber: false, resume_from: None });
            self.effects.push(Effect::Dial { link, addr });
        }
    }

    /// Sends this node's sessions to its peers when they change, and periodically otherwise.
    fn send_sessions(&mut self) {
        let nodes = self.membership.sessions(self.now);
        self.pings_since_sessions += 1;
        if nodes != self.sent_sessions || self.pings_since_sessions >= SESSIONS_RESEND_PINGS {
            self.send_peers(&Message::Sessions { sessions: nodes.clone() });
            (self.sent_sessions, self.pings_since_sessions) = (nodes, 0);
        }
    }

    pub(crate) fn send_heartbeats(&mut self) {
        let has_majority = self.is_caught_up() && !self.is_leaving;
        // Nodes with a pending subscription receive no heartbeat yet.
        let is_served = |link: &Link| link.node.is_some() && link.resume_from.is_none();
        let subscribers: Vec<u64> = self.links.iter().filter(|(_, link)| is_served(link)).map(|(id, _)| *id).collect();
        subscribers.into_iter().for_each(|link| self.send(link, Message::ControlHeartbeat { has_majority }));
    }

    pub(crate) fn publish_node_count(&mut self) {
        let stored = if self.now < self.started_at + NODE_COUNT_DECREASE_DELAY_US { self.stored_node_count } else { 0 };
        let nodes = (self.membership.node_count() as u32).max(stored);
        // Unreachable nodes may keep their connections. If the others took larger shares at once, databases would
        // exceed their connection limits, so a decrease is published with a delay and an increase at once.
        if nodes >= self.published_node_count {
            self.node_count_low_since = self.now;
        }
        let is_settled =
            nodes > self.published_node_count || self.node_count_low_since + NODE_COUNT_DECREASE_DELAY_US <= self.now;
        if nodes != self.published_node_count && nodes > 0 && is_settled {
            self.published_node_count = nodes;
            log::info!("nodes {nodes}");
            self.is_table_unsaved = true;
            self.publish(FeedUpdate::NodeCount(nodes));
        }
    }

    /// Sets whether a maintenance window is open.
    pub fn set_maintenance_window(&mut self, is_open: bool) {
        self.is_maintenance_window = is_open;
    }

    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        for addr in seeds.iter().filter(|addr| **addr != self.address) {
            self.peers.entry(addr.clone()).or_default();
        }
        self.seeds = seeds;
    }
}
