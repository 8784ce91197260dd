pub use crate::pool::Pool;
use crate::timer::Timers;
use crate::types::{Act, Client, Db, Lost, Phase};
use std::rc::Rc;
use wv_health::{DatabaseKey, HealthTable};
use wv_internal_protocol::Health;

/// A node is young for this long from the start of its process.
const YOUNG_US: u64 = 3_500_000;
/// Where a node's share of a database's connections is under this, requests that wait for the writer may open so many
/// more, for as long as they last: most nodes use less than theirs, and the database itself refuses what is too much.
const BORROW_UNDER: u32 = 3;
const BORROWED: u32 = 2;
/// The pause after a failed opening doubles between these.
const HOLD_FIRST_US: u64 = 15_000;
const HOLD_LAST_US: u64 = 400_000;

pub type Map<K, V> = hashbrown::HashMap<K, V, wv_configuration::DeterministicHasher>;

/// All state of an access node. Events and time go in, acts come out.
pub struct Core {
    pub(crate) now: u64,
    pub(crate) zone: String,
    pub(crate) conf: Option<Rc<wv_configuration::Configuration>>,
    /// The configuration's version and body as they came, for changes to be made to.
    pub(crate) body: (u64, Rc<[u8]>),
    pub(crate) checks: HealthTable,
    pub(crate) shapes: wv_session_state::PreparedStatements,
    pub(crate) clients: Map<u64, Client>,
    pub(crate) dbs: Map<u64, Db>,
    pub(crate) pools: Map<DatabaseKey, Pool>,
    pub(crate) timers: Timers,
    pub(crate) acts: Vec<Act>,
    pub(crate) follower: wv_change_feed::Follower,
    pub(crate) nodes: u32,
    pub(crate) next_id: u64,
    pub(crate) sights_due: bool,
    /// What the control side was last told of each database.
    pub(crate) told: Map<DatabaseKey, Health>,
    pub(crate) leaving_since: Option<u64>,
    pub(crate) grace_us: u64,
    pub(crate) drain: crate::drain::DrainState,
    /// Clients whose ask is open but with no database to go to.
    pub(crate) stranded: Vec<u64>,
    /// Services whose next writer is near, and until when that is believed.
    pub(crate) promoting: Map<u16, (u64, String)>,
    pub(crate) plan: wv_slow_start::SlowStartConfig,
    /// The request that is just being taken out of a waiting line.
    pub(crate) served: Option<u64>,
    /// When this node last had work for each service's writer.
    pub(crate) written: Map<u16, u64>,
    /// Told apart from other nodes by it, where all else is equal.
    pub(crate) salt: u16,
    /// There are more databases than connections are kept ready to unasked.
    pub(crate) is_many: bool,
    pub(crate) round: u64,
    pub(crate) eases: Map<DatabaseKey, wv_slow_start::SlowStart>,
    pub(crate) shares: crate::tenant_shares::TenantShares,
    pub(crate) hands: crate::forwarding::Forwarding,
    pub(crate) slots: crate::slots::SlotState,
    pub(crate) recorder: crate::recorder::Recorder,
}

impl Core {
    pub fn new(zone: &str, grace_us: u64) -> Core {
        Core {
            now: 0,
            zone: zone.to_owned(),
            conf: None,
            body: Default::default(),
            checks: HealthTable::default(),
            shapes: wv_session_state::PreparedStatements::default(),
            clients: Map::default(),
            dbs: Map::default(),
            pools: Map::default(),
            timers: Timers::default(),
            acts: Vec::new(),
            follower: wv_change_feed::Follower::default(),
            nodes: 1,
            next_id: 0,
            sights_due: false,
            told: Map::default(),
            leaving_since: None,
            grace_us,
            drain: Default::default(),
            stranded: Vec::new(),
            promoting: Map::default(),
            plan: wv_slow_start::SlowStartConfig::default(),
            served: None,
            written: Map::default(),
            salt: 0,
            is_many: false,
            round: 0,
            eases: Map::default(),
            shares: Default::default(),
            hands: Default::default(),
            slots: Default::default(),
            recorder: Default::default(),
        }
    }

    pub(crate) fn fresh_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Whether clients may come: a configuration is held and the node is not leaving.
    pub fn is_ready(&self) -> bool {
        self.conf.is_some() && self.leaving_since.is_none()
    }

    pub fn take_acts(&mut self) -> Vec<Act> {
        std::mem::take(&mut self.acts)
    }

    /// Whether sightings changed that the control side has not heard of.
    pub fn has_sights(&self) -> bool {
        self.sights_due || self.slots.is_report_due
    }

    pub fn client_out(&mut self, client: u64) -> Option<&mut Vec<u8>> {
        self.clients.get_mut(&client).map(|client| &mut client.out)
    }

    pub fn db_out(&mut self, db: u64) -> Option<&mut Vec<u8>> {
        self.dbs.get_mut(&db).map(|db| &mut db.out)
    }

    pub(crate) fn cap(&self, spot: DatabaseKey) -> u32 {
        let service = self.checks.service(spot.service).map(|checker| checker.service.as_str()).unwrap_or_default();
        let bound =
            self.conf.as_ref().and_then(|conf| conf.services.get(service)).map_or(16, |held| held.max_connections);
        // A tenth stays free for the control side. After an outage connections of the lives before still stand at the
        // databases: a young node takes half of its share.
        let part = if self.now < YOUNG_US { 2 } else { 1 };
        (bound * 9 / 10 / self.nodes.max(1) / part).max(1)
    }

    /// Opens one connection more to `spot` where its share allows.
    pub(crate) fn open_db(&mut self, spot: DatabaseKey) -> bool {
        self.open_over(spot, 0)
    }

    /// The same to look whether it answers: a share that is all in use must not keep a node from finding out.
    pub(crate) fn open_look(&mut self, spot: DatabaseKey) -> bool {
        self.open_over(spot, u32::from(self.is_tight(spot)))
    }

    /// A node's even share of this database's connections is small.
    pub(crate) fn is_tight(&self, spot: DatabaseKey) -> bool {
        self.cap(spot) < BORROW_UNDER
    }

    fn open_over(&mut self, spot: DatabaseKey, over: u32) -> bool {
        let cap = self.cap(spot);
        let Some(member) = self.checks.database(spot).filter(|member| !member.instance.gone) else { return false };
        let (addr, id) = (member.instance.address.clone(), member.instance.id.clone());
        let pool = self.pools.entry(spot).or_default();
        // One being eased in is given one new connection at a time.
        let is_held = self.now < pool.not_before || (pool.opening > 0 && self.eases.contains_key(&spot));
        let is_wanted = !pool.waiting.is_empty();
        let may_borrow = is_wanted
            && cap < BORROW_UNDER
            && self.checks.service(spot.service).and_then(|checker| checker.leader()) == Some(spot.index);
        if pool.all >= cap + if may_borrow { BORROWED } else { over } || is_held {
            return false;
        }
        pool.all += 1;
        pool.opening += 1;
        let db = self.fresh_id();
        let held = Db {
            spot,
            id,
            phase: Phase::Opening,
            inbuf: Vec::new(),
            out: Vec::new(),
            tie: wv_session_state::ConnectionState::default(),
            expects: Default::default(),
            code: None,
            is_stamped: false,
            has_more: false,
            is_doubtful: false,
            holder: None,
            term: 0,
            charge: None,
            since: self.now,
            opened: self.now,
        };
        self.dbs.insert(db, held);
        self.acts.push(Act::OpenDb { db, addr });
        true
    }

    /// A failed opening is not tried again at once: all nodes together would keep a struggling database down.
    pub(crate) fn hold_opening(&mut self, spot: DatabaseKey) {
        let now = self.now;
        if let Some(pool) = self.pools.get_mut(&spot) {
            pool.fails = (pool.fails + 1).min(5);
            pool.not_before = now + (HOLD_FIRST_US << pool.fails).min(HOLD_LAST_US);
        }
    }

    /// Closes a connection from this side and forgets it.
    pub(crate) fn close_db(&mut self, db: u64) {
        self.acts.push(Act::CloseDb(db));
        self.forget_db(db);
    }

    pub(crate) fn forget_db(&mut self, db: u64) -> Option<Db> {
        let held = self.dbs.remove(&db)?;
        self.release_charge(held.spot, held.charge);
        if let Some(pool) = self.pools.get_mut(&held.spot) {
            pool.all = pool.all.saturating_sub(1);
            if held.phase == Phase::Opening {
                pool.opening = pool.opening.saturating_sub(1);
            }
            pool.idle.retain(|idle| *idle != db);
            pool.early.retain(|early| *early != db);
        }
        Some(held)
    }

    /// A connection ended or could not be opened.
    pub fn db_lost(&mut self, db: u64, lost: Lost, now: u64) {
        self.now = self.now.max(now);
        let Some(held) = self.forget_db(db) else { return };
        // With the last connection ends what was said of it.
        self.sights_due |= self.pools.get(&held.spot).is_some_and(|pool| pool.all == 0);
        if held.phase == Phase::Opening {
            self.hold_opening(held.spot);
        }
        let sight = match lost {
            Lost::Refused => Some(Health::Refused),
            Lost::Dark => Some(Health::Unreachable),
            Lost::Closed => None,
        };
        if let (Some(sight), Some(member)) = (sight, self.checks.database_mut(held.spot)) {
            let is_changed = member.on_failure(sight, self.now);
            if is_changed {
                log::info!("saw {} {}", held.id, if sight == Health::Unreachable { "dark" } else { "refused" });
            }
            self.sights_due = true;
            if is_changed {
                self.isolate(held.spot);
            }
        }
        self.strand(held);
        self.serve_waiting_anywhere();
    }
}
