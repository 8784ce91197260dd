//! The simulation: state of the fleet and its events in order of virtual time.
use crate::database::Database;
pub(crate) use crate::events::Event;
use crate::nodes::{AccessNode, ControlNode};
use crate::{Oracle, Rng, MS, S};
use std::collections::{BTreeMap, BTreeSet};

/// One-way delay between any two processes.
pub(crate) const LINK_DELAY_US: u64 = MS / 2;

/// Traffic from control nodes to one node.
#[derive(Clone, Copy, Default, Debug)]
pub struct LinkTraffic {
    pub bytes: u64,
    pub configurations: u64,
    pub longest_bytes: u64,
    /// Messages with parts of registers, sent to a disk that does not vote.
    pub register_parts: u64,
}

pub struct Simulation {
    pub now: u64,
    event_sequence: u64,
    queue: BTreeMap<(u64, u64), Event>,
    pub access: Vec<AccessNode>,
    pub controls: Vec<ControlNode>,
    pub databases: Vec<Database>,
    pub(crate) database_connections: BTreeMap<(usize, u64), (usize, u64)>,
    pub(crate) pending_commits: Vec<(usize, wv_wire_protocol::LogPosition, u64, String)>,
    pub(crate) next_connection_id: u64,
    pub(crate) clients: Vec<crate::clients::Client>,
    /// Clients by access node and session id, and connections by database and connection id.
    pub(crate) client_of: BTreeMap<(usize, u64), usize>,
    pub(crate) connection_owners: BTreeMap<(usize, u64), (usize, u64)>,
    pub workload: crate::Workload,
    pub(crate) loads: Vec<crate::LoadClient>,
    pub(crate) expectations: BTreeMap<String, crate::clients::Expectation>,
    pub oracle: Oracle,
    pub rng: Rng,
    pub responses: BTreeMap<u64, (u16, Vec<u8>)>,
    pub fences: BTreeMap<String, u64>,
    pub promotion_calls: Vec<(String, String, u64, Option<u16>)>,
    pub is_platform_down: bool,
    /// How long the platform takes until it works on a call.
    pub platform_delay_us: u64,
    /// The platform works on calls, but its answers are lost.
    pub is_platform_losing_answers: bool,
    /// When the platform has worked on all calls that have arrived.
    pub platform_busy_until_us: u64,
    /// Time from the platform's answer until the named database leads.
    pub promotion_delay_us: u64,
    /// Pairs of processes between which messages are lost.
    pub dropped_links: BTreeSet<(String, String)>,
    /// Sender and receiver pairs whose messages are lost in this direction only.
    pub dropped_one_way: BTreeSet<(String, String)>,
    pub(crate) last_incarnation: u64,
    /// The opposite end of each link between access nodes.
    pub(crate) peer_links: BTreeMap<(usize, u64), (usize, u64)>,
    /// The newest logged ownership epoch, by shard.
    pub(crate) owner_epochs: BTreeMap<String, u64>,
    /// Frozen nodes, and the events deferred until they are thawed.
    pub(crate) frozen_access: BTreeSet<usize>,
    pub(crate) frozen_controls: BTreeSet<usize>,
    pub(crate) deferred_events: Vec<Event>,
    /// Number of partitions by direction, and the events that they block.
    pub(crate) partitions: BTreeMap<(String, String), u32>,
    pub(crate) blocked_events: Vec<crate::partitions::BlockedEvent>,
    /// Delay for each event at slow nodes, and when the last deferred event is due.
    pub(crate) event_delays: BTreeMap<crate::partitions::NodeId, (u64, u64)>,
    /// Databases that have reported their removal and send no more heartbeats.
    pub departed: BTreeSet<usize>,
    /// Whether control nodes close silent links and killed access nodes reset load clients.
    pub(crate) has_link_timeouts: bool,
    pub(crate) tolerated_machines: usize,
    /// Time, control node and incarnation of each promotion call.
    pub(crate) promotion_callers: Vec<(u64, usize, u64)>,
    /// Delay of a control node's own statements.
    pub statements_delay_us: u64,
    /// Delay of a control node's statements that copy rows.
    pub copy_delay_us: u64,
    /// Wall-clock time at virtual time 0.
    pub epoch_us: u64,
    /// Number of keys that clients use; 0 for the single key `k`.
    pub key_count: u64,
    /// The keys of all writes that load clients have sent, if they use many.
    pub written_keys: BTreeSet<String>,
    /// Traffic over links from control nodes by receiving node, if it is recorded.
    pub traffic: Option<BTreeMap<String, LinkTraffic>>,
    pub(crate) drain_tracker: crate::drain_check::DrainTracker,
    /// Time and text of each logged event.
    pub event_log: Vec<(u64, String)>,
}

impl Simulation {
    /// A fleet of `access` access nodes, `controls` control nodes and one service `s` with three databases.
    pub fn new(access: usize, controls: usize) -> Simulation {
        Simulation::with_services(access, controls, &["s".to_owned()])
    }

    /// A fleet with the given services, of three databases each.
    pub fn with_services(access: usize, controls: usize, services: &[String]) -> Simulation {
        Simulation::with_tolerance(access, controls, services, 1)
    }

    /// A fleet with the given services that is configured to tolerate the loss of `tolerate` machines at once.
    pub fn with_tolerance(access: usize, controls: usize, services: &[String], tolerate: usize) -> Simulation {
        let mut simulation = Simulation {
            now: S,
            event_sequence: 0,
            queue: BTreeMap::new(),
            access: Vec::new(),
            controls: Vec::new(),
            databases: services.iter().flat_map(|service| (0..3).map(|at| Database::new(service, at))).collect(),
            database_connections: BTreeMap::new(),
            pending_commits: Vec::new(),
            next_connection_id: 0,
            clients: Vec::new(),
            client_of: BTreeMap::new(),
            connection_owners: BTreeMap::new(),
            workload: Default::default(),
            loads: Vec::new(),
            expectations: BTreeMap::new(),
            oracle: Oracle::default(),
            rng: Rng::new(7),
            responses: BTreeMap::new(),
            fences: BTreeMap::new(),
            promotion_calls: Vec::new(),
            is_platform_down: false,
            platform_delay_us: 0,
            is_platform_losing_answers: false,
            platform_busy_until_us: 0,
            promotion_delay_us: 300 * MS,
            dropped_links: BTreeSet::new(),
            dropped_one_way: BTreeSet::new(),
            last_incarnation: 0,
            peer_links: BTreeMap::new(),
            owner_epochs: BTreeMap::new(),
            event_log: Vec::new(),
            frozen_access: BTreeSet::new(),
            frozen_controls: BTreeSet::new(),
            deferred_events: Vec::new(),
            partitions: BTreeMap::new(),
            blocked_events: Vec::new(),
            event_delays: BTreeMap::new(),
            departed: BTreeSet::new(),
            has_link_timeouts: false,
            tolerated_machines: tolerate,
            promotion_callers: Vec::new(),
            statements_delay_us: 2 * MS,
            copy_delay_us: 2 * MS,
            epoch_us: 0,
            key_count: 0,
            written_keys: BTreeSet::new(),
            traffic: None,
            drain_tracker: Default::default(),
        };
        let addrs: Vec<String> = (0..controls).map(|at| format!("10.1.0.{}:80", at + 1)).collect();
        let seeds: Vec<String> = addrs.iter().take(3).cloned().collect();
        simulation.controls = addrs.iter().enumerate().map(|(at, addr)| ControlNode::new(at, addr, &seeds)).collect();
        simulation.access = (0..access).map(AccessNode::new).collect();
        (0..controls).for_each(|at| simulation.start_control(at, true));
        (0..access).for_each(|at| simulation.start_access(at));
        (0..simulation.databases.len())
            .for_each(|database| simulation.schedule(10 * MS, Event::Heartbeat { database }));
        simulation
    }

    pub(crate) fn schedule(&mut self, after: u64, event: Event) {
        self.event_sequence += 1;
        self.queue.insert((self.now + after, self.event_sequence), event);
    }

    pub fn log_event(&mut self, text: impl Into<String>) {
        self.event_log.push((self.now, text.into()));
    }

    pub fn is_disconnected(&self, one: &str, other: &str) -> bool {
        self.is_dropped(one, other) || self.is_partitioned(one, other)
    }

    /// Whether messages between the two are lost, as opposed to blocked by a partition.
    pub(crate) fn is_dropped(&self, one: &str, other: &str) -> bool {
        self.dropped_links.contains(&(one.to_owned(), other.to_owned()))
            || self.dropped_links.contains(&(other.to_owned(), one.to_owned()))
    }

    /// Advances virtual time and handles the events that fall due.
    pub fn run(&mut self, us: u64) {
        let end = self.now + us;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            if self.has_frozen_nodes() && self.is_deferred(&event) {
                self.deferred_events.push(event);
                continue;
            }
            self.defer(event).into_iter().for_each(|event| self.dispatch(event));
        }
        self.now = end;
    }

    /// A fleet with an accepted configuration.
    pub fn configured(access: usize, controls: usize) -> Simulation {
        let mut simulation = Simulation::new(access, controls);
        simulation.run(2 * S);
        let token = simulation.call(0, "PUT", "/configuration", &Simulation::configuration(1));
        simulation.run(2 * S);
        assert_eq!(
            simulation.responses.get(&token).map(|ret| ret.0),
            Some(200),
            "the initial configuration must be accepted"
        );
        simulation
    }

    /// The first running primary.
    pub fn primary(&self) -> usize {
        self.databases.iter().position(|database| database.is_primary && database.is_up).unwrap_or(0)
    }

    /// Checks the primaries' logs and takes all violations found.
    pub fn check_rules(&mut self) -> Vec<String> {
        let mut newest: BTreeMap<&str, &Database> = BTreeMap::new();
        for database in self.databases.iter().filter(|database| database.is_primary) {
            let current = newest.entry(database.service.as_str()).or_insert(database);
            *current = if database.term > current.term { database } else { current };
        }
        let log: Vec<_> = newest.values().flat_map(|database| database.log.iter().cloned()).collect();
        self.oracle.check_log(&log);
        std::mem::take(&mut self.oracle.violations)
    }
}
