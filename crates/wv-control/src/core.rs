pub use crate::types::{Act, Start};
use crate::types::{Fall, Link, Peer, Waiting};
use std::collections::BTreeMap;
use wv_change_feed::{Feed, InstanceTable};
use wv_consensus::{Proposer, Store, VoterSetChange, VoterState};
use wv_internal_protocol::{FeedUpdate, Message};
use wv_membership::Membership;

pub const CONF: &str = "conf";
pub use wv_consensus::LOCAL_KEY_PREFIX;
/// The configuration's body is read up to this bound.
pub const BODY_MAX: usize = wv_configuration::MAX_BODY_BYTES;
/// How often a node has its regular turn.
pub const TURN_US: u64 = 100_000;
/// A majority that answered what was asked within this is fresh contact.
pub const FRESH_US: u64 = 1_300_000;
/// How long a node that has just started lets followers wait for it, and databases stay with it.
pub const AWAIT_US: u64 = 900_000;

/// Machines that start together may read one time: the place in one node's feed must never pass for another's.
fn own_life(life: u64, me: &str) -> u64 {
    let own =
        me.bytes().fold(0xcbf2_9ce4_8422_2325u64, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3));
    (life << 16) | (own >> 48)
}

/// All state of a control node.
pub struct Core {
    pub(crate) now: u64,
    pub(crate) me: String,
    pub(crate) node: String,
    pub(crate) zone: String,
    pub(crate) life: u64,
    pub(crate) seeds: Vec<String>,
    pub(crate) store: Store,
    pub(crate) is_core: bool,
    pub(crate) seat: VoterState,
    /// How far this disk is with what voters hold, while it does not vote.
    pub(crate) progress: crate::voter_catch_up::CatchUpProgress,
    pub(crate) change: Option<VoterSetChange>,
    /// The highest fence met over the next set.
    pub(crate) met: u64,
    pub(crate) changed: u64,
    /// A settled set was told that this disk did not take.
    pub(crate) is_unlearned: bool,
    pub(crate) quorum: Proposer,
    /// When this node is to be woken next.
    pub(crate) armed: u64,
    pub(crate) feed: Feed,
    pub(crate) table: InstanceTable,
    pub(crate) roster: Membership,
    pub(crate) links: BTreeMap<u64, Link>,
    pub(crate) peers: BTreeMap<String, Peer>,
    pub(crate) waiting: BTreeMap<u64, Waiting>,
    pub(crate) leave_acks: crate::leave_acks::LeaveAcks,
    pub(crate) acts: Vec<Act>,
    pub(crate) next_id: u64,
    /// The newest configuration version known to stand on a majority.
    pub(crate) published: u64,
    /// The digest of its bytes: one number never stands for two contents.
    pub(crate) published_digest: u64,
    /// Its text and its packed form.
    pub(crate) packs: wv_compression::ChunkedCompressor,
    /// When followers were last told of one, of which they were told before that, and whether there is a newer one.
    pub(crate) conf_told: u64,
    pub(crate) conf_base: u64,
    pub(crate) is_conf_due: bool,
    /// Control nodes without a vote are to hear of that one from this node.
    pub(crate) is_teller: bool,
    /// How many callers this node has sent on.
    pub(crate) sent_on: usize,
    /// When this node last asked another one for a newer one.
    pub(crate) lacked: u64,
    pub(crate) is_caught_up: bool,
    pub(crate) contact: crate::contact::Contact,
    /// Orders that wait for a read.
    pub(crate) pending: Vec<crate::judge::Pending>,
    pub(crate) tolerate: usize,
    pub(crate) nodes_told: u32,
    /// Since when there are fewer of them.
    pub(crate) fewer_since: u64,
    /// How many access nodes there were before this life.
    pub(crate) nodes_recalled: u32,
    pub(crate) conf: Option<wv_configuration::Configuration>,
    pub(crate) duties: BTreeMap<String, wv_promotion::PromotionCoordinator>,
    pub(crate) fences: BTreeMap<String, u64>,
    pub(crate) calls: crate::post::Calls,
    pub(crate) counts: crate::metrics::Counts,
    /// What each node last said of each database, and when.
    pub(crate) sights: BTreeMap<String, BTreeMap<String, (u64, wv_internal_protocol::HealthReport)>>,
    /// The live control nodes when words were last handed over.
    pub(crate) holders: Vec<String>,
    /// When databases left, and when each service last came to be led by another.
    pub(crate) left: BTreeMap<String, crate::departed::Departure>,
    pub(crate) led: BTreeMap<String, u64>,
    pub(crate) claims: crate::beats::Claims,
    pub(crate) drains: crate::leave_ages::LeaveAges,
    /// Shards whose change of hands is being written, and when one was last moved without need.
    pub(crate) owning: Vec<String>,
    pub(crate) moved: u64,
    pub(crate) born: u64,
    /// Databases that fell: how often lately, when last, and whether they are still down.
    pub(crate) fallen: BTreeMap<String, Fall>,
    /// The table changed since it was last put on this disk.
    pub(crate) is_table_due: bool,
    pub(crate) pinged: u64,
    pub(crate) repaired: u64,
    pub(crate) forgot: u64,
    /// When registers were last swept, and since when which of them belong to nothing.
    pub(crate) swept: u64,
    pub(crate) unnamed: BTreeMap<String, u64>,
    pub(crate) is_leaving: bool,
    pub(crate) is_leave_told: bool,
    pub(crate) sessions_told: Vec<wv_internal_protocol::Session>,
    pub(crate) sessions_age: u32,
    pub(crate) is_window_open: bool,
    /// The time of day, less this process's own.
    pub(crate) epoch: u64,
    /// Planned shards that are held here; those whose maps are known or being read; what holders show of theirs.
    pub(crate) shards: BTreeMap<String, crate::shards::Shard>,
    pub(crate) outlooks: BTreeMap<String, String>,
}

impl Core {
    pub fn new(start: Start, mut store: Store) -> Result<Core, wv_consensus::RegisterError> {
        let seat = VoterState::open(&mut store, &start.me, &start.seeds, start.is_first, start.disk)?;
        let mut quorum = Proposer::new(start.who);
        quorum.set_voters(seat.voters.clone());
        store.iter().for_each(|(_, held)| quorum.observe_ballot(held.promised.max(held.accepted)));
        let mut peers = BTreeMap::new();
        let known = seat.voters.addrs().chain(seat.previous.addrs());
        for addr in start.seeds.iter().map(String::as_str).chain(known).filter(|addr| *addr != start.me) {
            peers.insert(addr.to_owned(), Peer::default());
        }
        let mut core = Core {
            now: 0,
            roster: Membership::new(&start.me),
            feed: Feed::new(own_life(start.life, &start.me)),
            me: start.me,
            node: start.node,
            zone: start.zone,
            life: start.life,
            seeds: start.seeds,
            store,
            is_core: start.is_core,
            seat,
            progress: Default::default(),
            change: None,
            met: 0,
            changed: 0,
            is_unlearned: false,
            quorum,
            table: InstanceTable::default(),
            links: BTreeMap::new(),
            peers,
            waiting: BTreeMap::new(),
            leave_acks: Default::default(),
            acts: Vec::new(),
            next_id: 0,
            published: 0,
            published_digest: 0,
            armed: 0,
            packs: Default::default(),
            conf_told: 0,
            conf_base: 0,
            is_conf_due: false,
            is_teller: false,
            sent_on: 0,
            lacked: 0,
            is_caught_up: false,
            contact: Default::default(),
            pending: Vec::new(),
            tolerate: start.tolerate,
            nodes_told: 0,
            fewer_since: 0,
            nodes_recalled: 0,
            conf: None,
            duties: BTreeMap::new(),
            fences: BTreeMap::new(),
            calls: Default::default(),
            counts: Default::default(),
            sights: BTreeMap::new(),
            holders: Vec::new(),
            left: BTreeMap::new(),
            led: BTreeMap::new(),
            claims: Default::default(),
            drains: Default::default(),
            owning: Vec::new(),
            moved: 0,
            born: 0,
            fallen: BTreeMap::new(),
            is_table_due: false,
            pinged: 0,
            repaired: 0,
            forgot: 0,
            swept: 0,
            unnamed: BTreeMap::new(),
            is_leaving: false,
            is_leave_told: false,
            sessions_told: Vec::new(),
            sessions_age: 0,
            is_window_open: true,
            epoch: 0,
            shards: BTreeMap::new(),
            outlooks: BTreeMap::new(),
        };
        core.roster.set_has_disk(core.is_core);
        core.load_table();
        Ok(core)
    }

    pub fn take_acts(&mut self) -> Vec<Act> {
        std::mem::take(&mut self.acts)
    }

    pub fn fresh_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    pub(crate) fn send(&mut self, link: u64, mut msg: Message) {
        self.drains.stamp_ages(&mut msg, self.now);
        self.acts.push(Act::Send { link, msg });
    }

    pub(crate) fn send_peer(&mut self, addr: &str, msg: Message) -> bool {
        let link = self.peers.get(addr).filter(|peer| peer.is_up).and_then(|peer| peer.link);
        link.into_iter().for_each(|link| self.send(link, msg.clone()));
        link.is_some()
    }

    pub(crate) fn send_peers(&mut self, msg: &Message) -> usize {
        let addrs: Vec<String> = self.peers.keys().cloned().collect();
        addrs.iter().filter(|addr| self.send_peer(addr, msg.clone())).count()
    }

    pub(crate) fn publish(&mut self, news: FeedUpdate) {
        let msg = self.feed.publish(news);
        self.tell_followers(&msg);
    }

    pub(crate) fn tell_followers(&mut self, msg: &Message) {
        let followers: Vec<u64> = self.links.iter().filter(|(_, link)| link.is_follower).map(|(id, _)| *id).collect();
        followers.into_iter().for_each(|link| self.send(link, msg.clone()));
    }

    pub(crate) fn ret(&mut self, token: u64, status: u16, body: impl Into<Vec<u8>>) {
        self.acts.push(Act::Return { token, status, body: body.into() });
    }
}
