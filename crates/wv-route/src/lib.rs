//! Routing decisions. They depend only on the current routing state and never block.
use wv_configuration::Category;
use wv_health::{DatabaseKey, HealthTable, State};
use wv_wire_protocol::{ErrorCode, LogPosition};

/// Current load of a connection pool and whether it can accept a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolAvailability {
    pub outstanding: u32,
    pub can_accept: bool,
    /// A connection is idle, or the pool always keeps one open.
    pub is_warm: bool,
}

/// Properties of a request that determine its routing.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    pub service: u16,
    pub category: Category,
    /// The request belongs to an explicit transaction.
    pub is_txn: bool,
    /// A single read, or a transaction started with `BEGIN READ`.
    pub is_read_only: bool,
    /// Arrival time of the first byte of the request or of its transaction.
    pub first_byte_at: u64,
    pub now: u64,
    pub zone: &'a str,
    /// Per-node value that varies the choice among equally loaded replicas across access nodes; 0 disables it.
    pub tie_break_salt: u16,
    /// Databases that have already refused this request.
    pub refused_by: &'a [DatabaseKey],
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RouteDecision {
    /// Forward to `key`, with `MINPOS` if `min_position` is set; `wrap_in_txn` wraps a single read in a transaction.
    Forward { key: DatabaseKey, min_position: Option<LogPosition>, wrap_in_txn: bool },
    /// No database can accept the request now; retry when the routing state changes.
    Wait,
    /// The request cannot be served; nothing was executed.
    Refuse(ErrorCode),
}

/// Cost added to replicas in another zone, in units of pool utilization.
const REMOTE_ZONE_COST: f64 = 0.5;
/// Cost added when a connection has to be opened first.
const COLD_POOL_COST: f64 = 0.1;

pub fn decide_route(
    health: &HealthTable,
    request: &RouteRequest<'_>,
    availability: &dyn Fn(DatabaseKey) -> PoolAvailability,
) -> RouteDecision {
    let Some(checker) = health.service(request.service) else { return RouteDecision::Wait };
    if request.is_read_only {
        if let Category::BoundedStaleness { max_staleness_us } = request.category {
            let since = request.first_byte_at.saturating_sub(max_staleness_us);
            // A replica read needs a minimum position from a sufficiently recent fenced observation.
            if let Some(position) = checker.fenced_positions.covering(since) {
                if let Some(index) = select_replica(checker, request, availability) {
                    let key = DatabaseKey { service: request.service, index };
                    return RouteDecision::Forward { key, min_position: Some(position), wrap_in_txn: false };
                }
            }
        }
    }
    // Everything else goes to the primary. A single read is wrapped in a transaction, which a deposed primary refuses.
    let wrap_in_txn = request.is_read_only && !request.is_txn;
    checker
        .writer(request.now)
        .map(|index| DatabaseKey { service: request.service, index })
        .filter(|key| !request.refused_by.contains(key))
        .map_or(RouteDecision::Wait, |key| RouteDecision::Forward { key, min_position: None, wrap_in_txn })
}

/// Selects the database with the lowest load relative to capacity; zone, role and cold pools add to the cost.
fn select_replica(
    checker: &wv_health::ServiceHealth,
    request: &RouteRequest<'_>,
    availability: &dyn Fn(DatabaseKey) -> PoolAvailability,
) -> Option<u16> {
    checker
        .databases()
        .filter(|(index, member)| {
            matches!(checker.state(*index, request.now), State::Online | State::Writer)
                && !member.instance.draining
                && !member.is_suspect()
        })
        .filter_map(|(index, member)| {
            let key = DatabaseKey { service: request.service, index };
            let pool = availability(key);
            let is_eligible = pool.can_accept && !request.refused_by.contains(&key);
            is_eligible.then(|| {
                let zone = if member.instance.zone == request.zone { 0.0 } else { REMOTE_ZONE_COST };
                // Keeps primary capacity for writes unless the primary is closer.
                let primary = if checker.leader() == Some(index) { REMOTE_ZONE_COST / 2.0 } else { 0.0 };
                let cold = if pool.is_warm { 0.0 } else { COLD_POOL_COST };
                let cost =
                    f64::from(pool.outstanding) / f64::from(member.instance.capacity.max(1)) + zone + primary + cold;
                let tie_break = if request.tie_break_salt == 0 {
                    index
                } else {
                    (index ^ request.tie_break_salt).wrapping_mul(0x9e37)
                };
                (cost, tie_break, index)
            })
        })
        .min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)))
        .map(|(.., index)| index)
}
