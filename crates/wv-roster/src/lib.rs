//! Sessions, beats and duties: a node is a member while its session with a control node stands.
use wv_inner::Session;

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
}

/// The members as one control node knows them: its own sessions and those its peers tell.
pub struct Roster {
    me: String,
    sessions: std::collections::BTreeMap<String, Held>,
    peers: std::collections::BTreeMap<String, Peer>,
}

fn weight(key: &str, node: &str) -> u64 {
    key.bytes().chain([0]).chain(node.bytes()).fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        let hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        hash ^ (hash >> 29)
    })
}

impl Roster {
    pub fn new(me: &str) -> Roster {
        Roster { me: me.to_owned(), sessions: Default::default(), peers: Default::default() }
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
    }

    pub fn leave(&mut self, node: &str) -> bool {
        self.sessions.remove(node).is_some()
    }

    /// Anything heard from the control node at `addr`.
    pub fn peer(&mut self, addr: &str, now: u64) {
        self.peers.entry(addr.to_owned()).or_insert(Peer { heard: now, nodes: Vec::new() }).heard = now;
    }

    pub fn peer_sessions(&mut self, addr: &str, nodes: Vec<Session>, now: u64) {
        self.peers.insert(addr.to_owned(), Peer { heard: now, nodes });
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
        before != (self.sessions.len(), self.peers.len())
    }

    /// All live access nodes, whoever holds their session.
    pub fn nodes(&self) -> std::collections::BTreeSet<&str> {
        let theirs = self.peers.values().flat_map(|peer| peer.nodes.iter().map(|told| told.node.as_str()));
        self.sessions.keys().map(String::as_str).chain(theirs).collect()
    }

    /// The addresses of all live control nodes but this one.
    pub fn controls(&self) -> Vec<String> {
        self.peers.keys().cloned().collect()
    }

    pub fn live_peers(&self) -> usize {
        self.peers.len()
    }

    /// The live control node that holds the duty `key`: the one with the greatest weight for it.
    pub fn holder(&self, key: &str) -> &str {
        let nodes = self.peers.keys().map(String::as_str).chain([self.me.as_str()]);
        nodes.max_by_key(|node| (weight(key, node), *node)).unwrap_or(&self.me)
    }

    pub fn is_holder(&self, key: &str) -> bool {
        self.holder(key) == self.me
    }
}
