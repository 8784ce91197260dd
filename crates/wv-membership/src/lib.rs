//! Cluster membership: access node sessions, live control nodes and the assignment of duties to them.
use wv_internal_protocol::Session;

/// A session without a heartbeat for this long ends.
pub const SESSION_TIMEOUT_US: u64 = 1_300_000;

/// Minimum session age for shard ownership, so that a node that restarts repeatedly does not move shards around.
pub const MIN_OWNER_AGE_US: u64 = 3_000_000;

struct LocalSession {
    last_heard: u64,
    started: u64,
    forwarding_address: String,
    is_leaving: bool,
}

struct Peer {
    last_heard: u64,
    nodes: Vec<Session>,
    /// Whether the control node stores its state on its own disk.
    has_disk: bool,
}

/// Membership as known to one control node: its own sessions and those its peers report.
pub struct Membership {
    me: String,
    sessions: std::collections::BTreeMap<String, LocalSession>,
    peers: std::collections::BTreeMap<String, Peer>,
    /// All live access nodes, rebuilt when the set of sessions changes.
    nodes: std::collections::BTreeSet<String>,
    has_disk: bool,
}

fn rendezvous_hash(key: &str, node: &str) -> u64 {
    key.bytes().chain([0]).chain(node.bytes()).fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        let hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        hash ^ (hash >> 29)
    })
}

impl Membership {
    pub fn new(me: &str) -> Membership {
        Membership {
            me: me.to_owned(),
            sessions: Default::default(),
            peers: Default::default(),
            nodes: Default::default(),
            has_disk: false,
        }
    }

    pub fn heartbeat(&mut self, node: &str, is_leaving: bool, now: u64) {
        if let Some(session) = self.sessions.get_mut(node) {
            (session.last_heard, session.is_leaving) = (now, is_leaving);
        }
    }

    pub fn start_session(&mut self, node: &str, forwarding_address: &str, now: u64) {
        let started = self.sessions.get(node).map_or(now, |session| session.started);
        let session = LocalSession {
            last_heard: now,
            started,
            forwarding_address: forwarding_address.to_owned(),
            is_leaving: false,
        };
        self.sessions.insert(node.to_owned(), session);
        self.nodes.insert(node.to_owned());
    }

    pub fn end_session(&mut self, node: &str) -> bool {
        let is_known = self.sessions.remove(node).is_some();
        self.rebuild_node_names();
        is_known
    }

    fn rebuild_node_names(&mut self) {
        let peer_sessions = self.peers.values().flat_map(|peer| peer.nodes.iter().map(|session| &session.node));
        self.nodes = self.sessions.keys().chain(peer_sessions).cloned().collect();
    }

    /// Sets whether this control node stores its state on its own disk.
    pub fn set_has_disk(&mut self, has_disk: bool) {
        self.has_disk = has_disk;
    }

    pub fn set_peer_has_disk(&mut self, addr: &str, has_disk: bool) {
        self.peers.get_mut(addr).into_iter().for_each(|peer| peer.has_disk = has_disk);
    }

    /// Records that a message from the control node at `addr` was received.
    pub fn record_peer(&mut self, addr: &str, now: u64) {
        match self.peers.get_mut(addr) {
            Some(peer) => peer.last_heard = now,
            None => {
                self.peers.insert(addr.to_owned(), Peer { last_heard: now, nodes: Vec::new(), has_disk: false });
            }
        }
    }

    pub fn set_peer_sessions(&mut self, addr: &str, nodes: Vec<Session>, now: u64) {
        let has_disk = self.peers.get(addr).is_some_and(|peer| peer.has_disk);
        self.peers.insert(addr.to_owned(), Peer { last_heard: now, nodes, has_disk });
        self.rebuild_node_names();
    }

    pub fn sessions(&self, now: u64) -> Vec<Session> {
        let to_session = |(node, session): (&String, &LocalSession)| Session {
            node: node.clone(),
            forwarding_address: session.forwarding_address.clone(),
            is_new: session.started + MIN_OWNER_AGE_US > now,
            is_leaving: session.is_leaving,
        };
        self.sessions.iter().map(to_session).collect()
    }

    /// All live access nodes with their sessions, including those held by peers.
    pub fn access_nodes(&self, now: u64) -> std::collections::BTreeMap<String, Session> {
        let peer_sessions = self.peers.values().flat_map(|peer| peer.nodes.iter().cloned());
        let mut members = std::collections::BTreeMap::new();
        for session in peer_sessions.chain(self.sessions(now)) {
            // A node that moved from one control node to another keeps the age of its oldest session.
            let entry = members.entry(session.node.clone()).or_insert_with(|| session.clone());
            entry.is_new &= session.is_new;
        }
        members
    }

    /// Ends sessions that have timed out. Returns whether the membership changed.
    pub fn expire_sessions(&mut self, now: u64) -> bool {
        let before = (self.sessions.len(), self.peers.len());
        self.sessions.retain(|_, session| session.last_heard + SESSION_TIMEOUT_US > now);
        self.peers.retain(|_, peer| peer.last_heard + SESSION_TIMEOUT_US > now);
        let is_changed = before != (self.sessions.len(), self.peers.len());
        if is_changed {
            self.rebuild_node_names();
        }
        is_changed
    }

    /// All live access nodes, including those in session with peers.
    pub fn node_names(&self) -> &std::collections::BTreeSet<String> {
        &self.nodes
    }

    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Addresses of the other live control nodes that are eligible for duties.
    pub fn eligible_peers(&self) -> Vec<String> {
        let any_has_disk = self.has_disk || self.peers.values().any(|peer| peer.has_disk);
        let is_eligible = |(_, peer): &(&String, &Peer)| peer.has_disk || !any_has_disk;
        self.peers.iter().filter(is_eligible).map(|(addr, _)| addr.clone()).collect()
    }

    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// The live control node that holds the duty `key`: the one with the highest rendezvous hash. Nodes without a disk
    /// are eligible only if no live node has one, since they are not voters for what a duty writes.
    pub fn duty_holder(&self, key: &str) -> &str {
        let me = (self.me.as_str(), self.has_disk);
        let live = || self.peers.iter().map(|(addr, peer)| (addr.as_str(), peer.has_disk)).chain([me]);
        let any_has_disk = live().any(|(_, has_disk)| has_disk);
        let nodes = live().filter(|(_, has_disk)| *has_disk || !any_has_disk).map(|(addr, _)| addr);
        nodes.max_by_key(|node| (rendezvous_hash(key, node), *node)).unwrap_or(&self.me)
    }

    /// Whether this node has the highest rendezvous hash for `key` among itself and the live peers that pass
    /// `is_eligible`.
    pub fn is_duty_holder_among(&self, key: &str, is_eligible: impl Fn(&str) -> bool) -> bool {
        let rank = |addr: &str| (rendezvous_hash(key, addr), addr.to_owned());
        let others = self.peers.keys().filter(|addr| is_eligible(addr));
        others.map(|addr| rank(addr)).all(|other| other < rank(&self.me))
    }

    pub fn is_duty_holder(&self, key: &str) -> bool {
        self.duty_holder(key) == self.me
    }
}
