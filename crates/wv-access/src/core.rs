pub use crate::pool::Pool;
use crate::timer::Timers;
use crate::types::{Client, ConnectionLoss, DbConnection, Effect, Phase};
use std::rc::Rc;
use wv_health::{DatabaseKey, HealthTable};
use wv_internal_protocol::Health;

/// How long after process start only half of the connection limit is used.
const STARTUP_PERIOD_US: u64 = 3_500_000;
/// When a node's share of an instance's connections is below `SMALL_SHARE_CONNECTIONS`, requests queued for the primary
/// may open `EXTRA_CONNECTIONS` beyond it: most nodes use less than theirs. The instance enforces the overall limit.
const SMALL_SHARE_CONNECTIONS: u32 = 3;
const EXTRA_CONNECTIONS: u32 = 2;
/// Bounds of the exponential backoff after a failed connection attempt.
const BACKOFF_MIN_US: u64 = 15_000;
const BACKOFF_MAX_US: u64 = 400_000;

pub type Map<K, V> = hashbrown::HashMap<K, V, wv_configuration::DeterministicHasher>;

/// All state of an access node. Events and the current time go in, effects come out.
pub struct Core {
    pub(crate) now: u64,
    pub(crate) zone: String,
    pub(crate) configuration: Option<Rc<wv_configuration::Configuration>>,
    /// Version and encoded body of the configuration, the base for deltas.
    pub(crate) configuration_body: (u64, Rc<[u8]>),
    pub(crate) health: HealthTable,
    pub(crate) statements: wv_session_state::PreparedStatements,
    pub(crate) clients: Map<u64, Client>,
    pub(crate) connections: Map<u64, DbConnection>,
    pub(crate) pools: Map<DatabaseKey, Pool>,
    pub(crate) timers: Timers,
    pub(crate) effects: Vec<Effect>,
    pub(crate) follower: wv_change_feed::Follower,
    pub(crate) node_count: u32,
    pub(crate) next_id: u64,
    pub(crate) is_health_report_due: bool,
    /// The health of each instance as last reported to the control node.
    pub(crate) reported_health: Map<DatabaseKey, Health>,
    pub(crate) leaving_since: Option<u64>,
    pub(crate) grace_us: u64,
    pub(crate) drain: crate::drain::DrainState,
    pub(crate) contact: crate::contact::ControlContact,
    /// Clients whose open request has no database to go to.
    pub(crate) unplaced: Vec<u64>,
    /// Services with a promotion in progress: until when to expect it, and the candidate.
    pub(crate) promoting: Map<u16, (u64, String)>,
    pub(crate) slow_start_config: wv_slow_start::SlowStartConfig,
    /// The request that is being taken from a pool's queue.
    pub(crate) dequeued: Option<u64>,
    /// When a request was last routed to each service's primary.
    pub(crate) last_write_at: Map<u16, u64>,
    /// Varies the choice among equal routing targets between nodes.
    pub(crate) tie_break_salt: u16,
    /// There are too many databases to keep idle connections to all of them.
    pub(crate) has_many_databases: bool,
    pub(crate) maintenance_round: u64,
    pub(crate) slow_starts: Map<DatabaseKey, wv_slow_start::SlowStart>,
    pub(crate) tenant_shares: crate::tenant_shares::TenantShares,
    pub(crate) forwarding: crate::forwarding::Forwarding,
    pub(crate) slots: crate::slots::SlotState,
    pub(crate) recorder: crate::recorder::Recorder,
}

impl Core {
    pub fn new(zone: &str, grace_us: u64) -> Core {
        Core {
            now: 0,
            zone: zone.to_owned(),
            configuration: None,
            configuration_body: Default::default(),
            health: HealthTable::default(),
            statements: wv_session_state::PreparedStatements::default(),
            clients: Map::default(),
            connections: Map::default(),
            pools: Map::default(),
            timers: Timers::default(),
            effects: Vec::new(),
            follower: wv_change_feed::Follower::default(),
            node_count: 1,
            next_id: 0,
            is_health_report_due: false,
            reported_health: Map::default(),
            leaving_since: None,
            grace_us,
            drain: Default::default(),
            contact: Default::default(),
            unplaced: Vec::new(),
            promoting: Map::default(),
            slow_start_config: wv_slow_start::SlowStartConfig::default(),
            dequeued: None,
            last_write_at: Map::default(),
            tie_break_salt: 0,
            has_many_databases: false,
            maintenance_round: 0,
            slow_starts: Map::default(),
            tenant_shares: Default::default(),
            forwarding: Default::default(),
            slots: Default::default(),
            recorder: Default::default(),
        }
    }

    pub(crate) fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Whether clients can be accepted: there is a configuration and the node is not draining.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.leaving_since.is_none()
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub fn client_output(&mut self, client: u64) -> Option<&mut Vec<u8>> {
        self.clients.get_mut(&client).map(|client| &mut client.out)
    }

    pub fn db_output(&mut self, db: u64) -> Option<&mut Vec<u8>> {
        self.connections.get_mut(&db).map(|db| &mut db.out)
    }

    pub(crate) fn connection_limit(&self, key: DatabaseKey) -> u32 {
        let service = self.health.service(key.service).map(|checker| checker.service.as_str()).unwrap_or_default();
        let settings = self.configuration.as_ref().and_then(|configuration| configuration.services.get(service));
        let bound = settings.map_or(16, |settings| settings.max_connections);
        // A tenth is reserved for the control node. After an outage the databases may still hold connections of the
        // previous process, so half of the share is used at first.
        let divisor = if self.now < STARTUP_PERIOD_US { 2 } else { 1 };
        (bound * 9 / 10 / self.node_count.max(1) / divisor).max(1)
    }

    /// Opens another connection to `key` if the limit allows it.
    pub(crate) fn open_db(&mut self, key: DatabaseKey) -> bool {
        self.open_with_extra(key, 0)
    }

    /// Like `open_db`, but allows a small share one extra connection so that the instance can still be probed.
    pub(crate) fn open_probe(&mut self, key: DatabaseKey) -> bool {
        self.open_with_extra(key, u32::from(self.has_small_share(key)))
    }

    /// Whether this node's share of the instance's connections is small.
    pub(crate) fn has_small_share(&self, key: DatabaseKey) -> bool {
        self.connection_limit(key) < SMALL_SHARE_CONNECTIONS
    }

    fn open_with_extra(&mut self, key: DatabaseKey, extra: u32) -> bool {
        let limit = self.connection_limit(key);
        let Some(member) = self.health.database(key).filter(|member| !member.instance.gone) else { return false };
        let (addr, id) = (member.instance.address.clone(), member.instance.id.clone());
        let pool = self.pools.entry(key).or_default();
        // During slow start, connections are opened one at a time.
        let is_delayed = self.now < pool.open_not_before || (pool.opening > 0 && self.slow_starts.contains_key(&key));
        let may_borrow = !pool.waiting.is_empty()
            && limit < SMALL_SHARE_CONNECTIONS
            && self.health.service(key.service).and_then(|checker| checker.leader()) == Some(key.index);
        if pool.total >= limit + if may_borrow { EXTRA_CONNECTIONS } else { extra } || is_delayed {
            return false;
        }
        pool.total += 1;
        pool.opening += 1;
        let db = self.allocate_id();
        let connection = DbConnection {
            key,
            id,
            phase: Phase::Opening,
            inbuf: Vec::new(),
            out: Vec::new(),
            session_state: wv_session_state::ConnectionState::default(),
            pending: Default::default(),
            error: None,
            has_stamp: false,
            has_trailing_bytes: false,
            is_tainted: false,
            txn_client: None,
            term: 0,
            charge: None,
            phase_since: self.now,
            opened_at: self.now,
        };
        self.connections.insert(db, connection);
        self.effects.push(Effect::OpenDb { db, addr });
        true
    }

    /// Delays the next connection attempt, so that the nodes do not overload a struggling instance.
    pub(crate) fn back_off_opening(&mut self, key: DatabaseKey) {
        let now = self.now;
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.open_failures = (pool.open_failures + 1).min(5);
            pool.open_not_before = now + (BACKOFF_MIN_US << pool.open_failures).min(BACKOFF_MAX_US);
        }
    }

    /// Closes a connection from this side and removes it.
    pub(crate) fn close_db(&mut self, db: u64) {
        self.effects.push(Effect::CloseDb(db));
        self.remove_db(db);
    }

    pub(crate) fn remove_db(&mut self, db: u64) -> Option<DbConnection> {
        let connection = self.connections.remove(&db)?;
        self.release_charge(connection.key, connection.charge);
        if let Some(pool) = self.pools.get_mut(&connection.key) {
            pool.total = pool.total.saturating_sub(1);
            if connection.phase == Phase::Opening {
                pool.opening = pool.opening.saturating_sub(1);
            }
            pool.idle.retain(|idle| *idle != db);
            pool.newer_term.retain(|other| *other != db);
        }
        Some(connection)
    }

    /// A connection was closed or could not be opened.
    pub fn db_lost(&mut self, db: u64, loss: ConnectionLoss, now: u64) {
        self.advance_clock(now);
        let Some(connection) = self.remove_db(db) else { return };
        // Without a connection, the reported health is out of date.
        self.is_health_report_due |= self.pools.get(&connection.key).is_some_and(|pool| pool.total == 0);
        if connection.phase == Phase::Opening {
            self.back_off_opening(connection.key);
        }
        let health = match loss {
            ConnectionLoss::Refused => Some(Health::Refused),
            ConnectionLoss::Unreachable => Some(Health::Unreachable),
            ConnectionLoss::Closed => None,
        };
        if let (Some(health), Some(member)) = (health, self.health.database_mut(connection.key)) {
            let is_changed = member.on_failure(health, self.now);
            if is_changed {
                log::info!("saw {} {}", connection.id, if health == Health::Unreachable { "dark" } else { "refused" });
            }
            self.is_health_report_due = true;
            if is_changed {
                self.redispatch_queue(connection.key);
            }
        }
        self.connection_lost(connection);
        self.serve_all_queues();
    }
}
