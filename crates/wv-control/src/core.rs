pub use crate::types::{Effect, Start};
use crate::types::{Link, Operation, Outages, Peer};
use std::collections::BTreeMap;
use wv_change_feed::{Feed, InstanceTable};
use wv_consensus::{Proposer, Store, VoterSetChange, VoterState};
use wv_membership::Membership;

pub const CONFIGURATION_KEY: &str = "conf";
pub use wv_consensus::LOCAL_KEY_PREFIX;
/// Maximum length of a configuration body.
pub const BODY_MAX_BYTES: usize = wv_configuration::MAX_BODY_BYTES;
/// Interval between calls of `tick`.
pub const TICK_US: u64 = 100_000;
/// Contact with a majority expires this long after the answered requests were sent.
pub const CONTACT_TTL_US: u64 = 1_300_000;
/// After its start a node holds subscriptions, and accepts database heartbeats, for this long without a majority.
pub const STARTUP_GRACE_US: u64 = 900_000;

/// Mixes the address into the incarnation: machines that start together may read the same clock.
fn node_incarnation(incarnation: u64, addr: &str) -> u64 {
    let hash =
        addr.bytes().fold(0xcbf2_9ce4_8422_2325u64, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3));
    (incarnation << 16) | (hash >> 48)
}

/// All state of a control node.
pub struct Core {
    pub(crate) now: u64,
    pub(crate) address: String,
    pub(crate) node: String,
    pub(crate) zone: String,
    pub(crate) incarnation: u64,
    pub(crate) seeds: Vec<String>,
    pub(crate) store: Store,
    pub(crate) has_disk: bool,
    pub(crate) voter_state: VoterState,
    /// Progress of copying the voters' registers while this node has no vote.
    pub(crate) catch_up: crate::voter_catch_up::CatchUpProgress,
    pub(crate) change: Option<VoterSetChange>,
    /// The highest fence seen for the next voter set.
    pub(crate) max_successor_fence: u64,
    pub(crate) voters_changed_at: u64,
    /// The disk failed to store a voter set that has been decided.
    pub(crate) is_voter_update_unsaved: bool,
    pub(crate) proposer: Proposer,
    /// When the last requested wake-up is due.
    pub(crate) next_wake: u64,
    pub(crate) feed: Feed,
    pub(crate) table: InstanceTable,
    pub(crate) membership: Membership,
    pub(crate) links: BTreeMap<u64, Link>,
    pub(crate) peers: BTreeMap<String, Peer>,
    pub(crate) operations: BTreeMap<u64, Operation>,
    pub(crate) leave_acks: crate::leave_acks::LeaveAcks,
    pub(crate) effects: Vec<Effect>,
    pub(crate) next_id: u64,
    /// The newest configuration version known to be stored by a majority.
    pub(crate) committed_version: u64,
    /// The digest of its body, to detect two bodies under one version.
    pub(crate) committed_digest: u64,
    /// Its body, plain and compressed.
    pub(crate) compressor: wv_compression::ChunkedCompressor,
    /// When a configuration was last published, the version published before it, and whether a newer one is waiting.
    pub(crate) configuration_published_at: u64,
    pub(crate) configuration_delta_base: u64,
    pub(crate) is_configuration_unpublished: bool,
    /// This node forwards the waiting configuration to the control nodes without a vote.
    pub(crate) is_relay_due: bool,
    /// Number of redirected calls, to rotate through the voters.
    pub(crate) redirects: usize,
    /// When this node last requested a newer configuration.
    pub(crate) configuration_requested_at: u64,
    pub(crate) is_caught_up: bool,
    pub(crate) contact: crate::contact::Contact,
    /// Proposals that wait for a register to be read.
    pub(crate) pending_proposals: Vec<crate::admission::PendingProposal>,
    pub(crate) tolerated_machines: usize,
    pub(crate) published_node_count: u32,
    /// Since when there have been fewer access nodes than published.
    pub(crate) node_count_low_since: u64,
    /// The number of access nodes stored by the previous process.
    pub(crate) stored_node_count: u32,
    pub(crate) configuration: Option<wv_configuration::Configuration>,
    pub(crate) duties: BTreeMap<String, wv_promotion::PromotionCoordinator>,
    pub(crate) fences: BTreeMap<String, u64>,
    pub(crate) platform_calls: crate::platform_calls::PlatformCalls,
    pub(crate) counters: crate::metrics::Counters,
    /// The latest report on each database from each access node, with its time of receipt.
    pub(crate) health_reports: BTreeMap<String, BTreeMap<String, (u64, wv_internal_protocol::HealthReport)>>,
    /// The control nodes eligible for duties when health reports were last forwarded.
    pub(crate) duty_peers: Vec<String>,
    /// When databases departed, and when the leader of each service last changed.
    pub(crate) departures: BTreeMap<String, crate::departed::Departure>,
    pub(crate) leader_changed_at: BTreeMap<String, u64>,
    pub(crate) leadership: crate::heartbeats::Leadership,
    pub(crate) leave_ages: crate::leave_ages::LeaveAges,
    /// Shards whose new owner is being written, and when a shard was last moved only to even out the load.
    pub(crate) owner_writes: Vec<String>,
    pub(crate) last_rebalance: u64,
    pub(crate) started_at: u64,
    pub(crate) outages: BTreeMap<String, Outages>,
    /// The table changed since it was last stored.
    pub(crate) is_table_unsaved: bool,
    pub(crate) last_ping: u64,
    pub(crate) last_repair: u64,
    pub(crate) last_expiry: u64,
    /// When registers were last swept, and since when each orphaned register has been without an owner.
    pub(crate) last_sweep: u64,
    pub(crate) orphaned_since: BTreeMap<String, u64>,
    pub(crate) is_leaving: bool,
    pub(crate) is_leaving_announced: bool,
    pub(crate) sent_sessions: Vec<wv_internal_protocol::Session>,
    pub(crate) pings_since_sessions: u32,
    pub(crate) is_maintenance_window: bool,
    /// Wall-clock time minus the process's monotonic time, in microseconds.
    pub(crate) epoch_offset: u64,
    /// Terms to leave, by service.
    pub(crate) term_raises: BTreeMap<String, crate::term_raises::TermRaise>,
    /// Whether the configuration in force is the first ever accepted, so that no node goes by an older one.
    pub(crate) is_first_configuration: bool,
    /// Acknowledgements of configurations with plans, by call.
    pub(crate) plan_confirmations: BTreeMap<u64, crate::plan_confirmation::PlanConfirmation>,
    /// Planned shards managed by this node, and the latest status text of every planned shard.
    pub(crate) shards: BTreeMap<String, crate::shards::Shard>,
    pub(crate) shard_status: BTreeMap<String, String>,
}

impl Core {
    pub fn new(start: Start, mut store: Store) -> Result<Core, wv_consensus::RegisterError> {
        let voter_state =
            VoterState::open(&mut store, &start.address, &start.seeds, start.is_initial_start, start.disk_id)?;
        let mut proposer = Proposer::new(start.requester_id);
        proposer.set_voters(voter_state.voters.clone());
        store.iter().for_each(|(_, state)| proposer.observe_ballot(state.promised.max(state.accepted)));
        let mut peers = BTreeMap::new();
        let known = voter_state.voters.addrs().chain(voter_state.previous.addrs());
        for addr in start.seeds.iter().map(String::as_str).chain(known).filter(|addr| *addr != start.address) {
            peers.insert(addr.to_owned(), Peer::default());
        }
        let mut core = Core {
            now: 0,
            membership: Membership::new(&start.address),
            feed: Feed::new(node_incarnation(start.incarnation, &start.address)),
            address: start.address,
            node: start.node,
            zone: start.zone,
            incarnation: start.incarnation,
            seeds: start.seeds,
            store,
            has_disk: start.has_disk,
            voter_state,
            catch_up: Default::default(),
            change: None,
            max_successor_fence: 0,
            voters_changed_at: 0,
            is_voter_update_unsaved: false,
            proposer,
            table: InstanceTable::default(),
            links: BTreeMap::new(),
            peers,
            operations: BTreeMap::new(),
            leave_acks: Default::default(),
            effects: Vec::new(),
            next_id: 0,
            committed_version: 0,
            committed_digest: 0,
            next_wake: 0,
            compressor: Default::default(),
            configuration_published_at: 0,
            configuration_delta_base: 0,
            is_configuration_unpublished: false,
            is_relay_due: false,
            redirects: 0,
            configuration_requested_at: 0,
            is_caught_up: false,
            contact: Default::default(),
            pending_proposals: Vec::new(),
            tolerated_machines: start.tolerated_machines,
            published_node_count: 0,
            node_count_low_since: 0,
            stored_node_count: 0,
            configuration: None,
            duties: BTreeMap::new(),
            fences: BTreeMap::new(),
            platform_calls: Default::default(),
            counters: Default::default(),
            health_reports: BTreeMap::new(),
            duty_peers: Vec::new(),
            departures: BTreeMap::new(),
            leader_changed_at: BTreeMap::new(),
            leadership: Default::default(),
            leave_ages: Default::default(),
            owner_writes: Vec::new(),
            last_rebalance: 0,
            started_at: 0,
            outages: BTreeMap::new(),
            is_table_unsaved: false,
            last_ping: 0,
            last_repair: 0,
            last_expiry: 0,
            last_sweep: 0,
            orphaned_since: BTreeMap::new(),
            is_leaving: false,
            is_leaving_announced: false,
            sent_sessions: Vec::new(),
            pings_since_sessions: 0,
            is_maintenance_window: true,
            epoch_offset: 0,
            term_raises: BTreeMap::new(),
            is_first_configuration: false,
            plan_confirmations: BTreeMap::new(),
            shards: BTreeMap::new(),
            shard_status: BTreeMap::new(),
        };
        core.membership.set_has_disk(core.has_disk);
        core.load_table();
        Ok(core)
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}
