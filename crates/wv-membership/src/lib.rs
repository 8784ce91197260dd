//! Sessions, beats and duties: a node is a member while its session with a control node stands.
use wv_internal_protocol::Session;

/// A session with no beat for this long has ended.
pub const SILENT_US: u64 = 1_300_000;

/// A node that has been here for less is given nothing to own: one that comes and goes drags nothing after it.
pub const YOUNG_US: u64 = 3_000_000;

struct Held {
    heard: u64,
    since: u64,
    place: String,
    is_leaving: bool,
}

struct Peer {
    heard: u64,
    nodes: Vec<Session>,
    /// Keeps what it is told on a disk of its own.
    is_core: bool,
}

/// The members as one control node knows them: its own sessions and those its peers tell.
pub struct Roster {
    me: String,
    sessions: std::collections::BTreeMap<String, Held>,
    peers: std::collections::BTreeMap<String, Peer>,
    /// All live access nodes, made anew when sessions come and go.
    nodes: std::collections::BTreeSet<String>,
    is_core: bool,
}

fn weight(key: &str, node: &str) -> u64 {
    key.bytes().chain([0]).chain(node.bytes()).fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        let hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        hash ^ (hash >> 29)
    })
}

impl Roster {
    pub fn new(me: &str) -> Roster {
        Roster {
            me: me.to_owned(),
            sessions: Default::default(),
            peers: Default::default(),
            nodes: Default::default(),
            is_core: false,
        }
    }

    /// A beat of an access node here.
    pub fn beat(&mut self, node: &str, is_leaving: bool, now: u64) {
        if let Some(held) = self.sessions.get_mut(node) {
            (held.heard, held.is_leaving) = (now, is_leaving);
        }
    }

    /// A session of an access node began here.
    pub fn enter(&mut self, node: &str, place: &str, now: u64) {
        let since = self.sessions.get(node).map_or(now, |held| held.since);
        let held = Held { heard: now, since, place: place.to_owned(), is_leaving: false };
        self.sessions.insert(node.to_owned(), held);
        self.nodes.insert(node.to_owned());
    }

    pub fn leave(&mut self, node: &str) -> bool {
        let is_known = self.sessions.remove(node).is_some();
        self.recount();
        is_known
    }

    fn recount(&mut self) {
        let theirs = self.peers.values().flat_map(|peer| peer.nodes.iter().map(|told| &told.node));
        self.nodes = self.sessions.keys().chain(theirs).cloned().collect();
    }

    /// Whether this control node keeps its state on a disk.
    pub fn set_core(&mut self, is_core: bool) {
        self.is_core = is_core;
    }

    /// The same of the one at `addr`.
    pub fn peer_core(&mut self, addr: &str, is_core: bool) {
        self.peers.get_mut(addr).into_iter().for_each(|peer| peer.is_core = is_core);
    }

    /// Anything heard from the control node at `addr`.
    pub fn peer(&mut self, addr: &str, now: u64) {
        match self.peers.get_mut(addr) {
            Some(peer) => peer.heard = now,
            None => {
                self.peers.insert(addr.to_owned(), Peer { heard: now, nodes: Vec::new(), is_core: false });
            }
        }
    }

    pub fn peer_sessions(&mut self, addr: &str, nodes: Vec<Session>, now: u64) {
        let is_core = self.peers.get(addr).is_some_and(|peer| peer.is_core);
        self.peers.insert(addr.to_owned(), Peer { heard: now, nodes, is_core });
        self.recount();
    }

    pub fn sessions(&self, now: u64) -> Vec<Session> {
        let told = |(node, held): (&String, &Held)| Session {
            node: node.clone(),
            place: held.place.clone(),
            is_young: held.since + YOUNG_US > now,
            is_leaving: held.is_leaving,
        };
        self.sessions.iter().map(told).collect()
    }

    /// All live access nodes with where they are reached and how they stand, whoever holds their session.
    pub fn members(&self, now: u64) -> std::collections::BTreeMap<String, Session> {
        let theirs = self.peers.values().flat_map(|peer| peer.nodes.iter().cloned());
        let mut members = std::collections::BTreeMap::new();
        for told in theirs.chain(self.sessions(now)) {
            // A node that has just moved from one session to another is as old as its oldest.
            let entry = members.entry(told.node.clone()).or_insert_with(|| told.clone());
            entry.is_young &= told.is_young;
        }
        members
    }

    /// Ends the sessions that fell silent. Returns whether the members changed.
    pub fn tick(&mut self, now: u64) -> bool {
        let before = (self.sessions.len(), self.peers.len());
        self.sessions.retain(|_, session| session.heard + SILENT_US > now);
        self.peers.retain(|_, peer| peer.heard + SILENT_US > now);
        let is_changed = before != (self.sessions.len(), self.peers.len());
        if is_changed {
            self.recount();
        }
        is_changed
    }

    /// All live access nodes, whoever holds their session.
    pub fn nodes(&self) -> &std::collections::BTreeSet<String> {
        &self.nodes
    }

    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// The addresses of the live control nodes that may hold duties, but for this one.
    pub fn controls(&self) -> Vec<String> {
        let has_core = self.is_core || self.peers.values().any(|peer| peer.is_core);
        let is_meant = |(_, peer): &(&String, &Peer)| peer.is_core || !has_core;
        self.peers.iter().filter(is_meant).map(|(addr, _)| addr.clone()).collect()
    }

    pub fn live_peers(&self) -> usize {
        self.peers.len()
    }

    /// The live control node that holds the duty `key`: the one with the greatest weight for it. Those without a disk
    /// hold none while there are others: they are the smaller machines, and what a duty writes is not theirs to vote on.
    pub fn holder(&self, key: &str) -> &str {
        let me = (self.me.as_str(), self.is_core);
        let live = || self.peers.iter().map(|(addr, peer)| (addr.as_str(), peer.is_core)).chain([me]);
        let has_core = live().any(|(_, is_core)| is_core);
        let nodes = live().filter(|(_, is_core)| *is_core || !has_core).map(|(addr, _)| addr);
        nodes.max_by_key(|node| (weight(key, node), *node)).unwrap_or(&self.me)
    }

    /// Whether this node has the greatest weight for `key` of itself and the live ones that `is_meant` names.
    pub fn is_holder_among(&self, key: &str, is_meant: impl Fn(&str) -> bool) -> bool {
        let rank = |addr: &str| (weight(key, addr), addr.to_owned());
        let others = self.peers.keys().filter(|addr| is_meant(addr));
        others.map(|addr| rank(addr)).all(|other| other < rank(&self.me))
    }

    pub fn is_holder(&self, key: &str) -> bool {
        self.holder(key) == self.me
    }
}
