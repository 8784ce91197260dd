//! Shares of this node's capacity among tenants: sessions, open requests, queue places and connections.
use crate::core::Core;
use wv_configuration::Configuration;
use wv_fair_queue::{TenantUsage, Tenants};
use wv_health::DatabaseKey;

/// Number of open requests from which tenants over their share are refused.
const MAX_OPEN_REQUESTS: u32 = 512;
/// Each tenant may queue at least this many requests per database.
const MIN_QUEUE_PER_TENANT: usize = 8;
const MAX_QUEUE: usize = crate::dispatch::MAX_QUEUED_REQUESTS;

/// Capacity in use, by tenant.
#[derive(Default)]
pub(crate) struct TenantShares {
    pub tenants: Tenants,
    pub usages: Vec<TenantUsage>,
    /// Number of open requests, by tenant.
    pub open_requests: Vec<u32>,
    /// Maximum number of sessions of all tenants, 0 if unlimited.
    pub max_clients: usize,
}

/// The tenant that a connection in use is charged to.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    tenant: u16,
    since: u64,
    expected_us: u64,
}

impl Core {
    pub fn set_max_clients(&mut self, max_clients: usize) {
        self.tenant_shares.max_clients = max_clients;
    }

    pub(crate) fn has_tenants(&self) -> bool {
        !self.tenant_shares.tenants.is_empty()
    }

    /// New weights apply to requests that start from now on.
    pub(crate) fn set_tenants(&mut self, configuration: &Configuration, previous: Option<&Configuration>) {
        // Without tenants before and after, no session changes.
        if configuration.tenants.is_empty() && previous.is_some_and(|previous| previous.tenants.is_empty()) {
            return;
        }
        self.tenant_shares.tenants = Tenants::new(&configuration.tenants, &self.tenant_shares.tenants);
        let count = self.tenant_shares.tenants.len();
        self.tenant_shares.usages.resize(count, TenantUsage::default());
        self.tenant_shares.open_requests.resize(count, 0);
        self.tenant_shares.usages.iter_mut().for_each(|usage| usage.sessions = 0);
        for client in self.clients.values_mut() {
            if let Some(host) = &client.database {
                let tenant = self.tenant_shares.tenants.tenant_of(host, &client.login);
                self.tenant_shares.usages[tenant as usize].sessions += 1;
                // An open request stays with the tenant that it was counted for.
                if !client.request.is_open {
                    client.tenant = tenant;
                }
            }
        }
    }

    /// Assigns a session to its tenant. Returns `false` if the node is nearly full and the tenant is at its share.
    pub(crate) fn admit_session(&mut self, id: u64) -> bool {
        let client_count = self.clients.len();
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let host = client.database.as_deref().unwrap_or_default();
        client.tenant = self.tenant_shares.tenants.tenant_of(host, &client.login);
        let tenant = client.tenant;
        if self.tenant_shares.tenants.is_empty() {
            return true;
        }
        let max = self.tenant_shares.max_clients;
        let sessions = |at: &u16| self.tenant_shares.usages[*at as usize].sessions;
        let is_full = max > 0 && client_count >= max - max / 8;
        let present = (0..self.tenant_shares.tenants.len() as u16).filter(|at| *at == tenant || sessions(at) > 0);
        let all: u64 = present.map(|at| self.tenant_shares.tenants.weight(at)).sum();
        let entitled = max as u64 * self.tenant_shares.tenants.weight(tenant) / all.max(1);
        if is_full && u64::from(sessions(&tenant)) >= entitled {
            self.tenant_shares.usages[tenant as usize].refused += 1;
            client.database = None;
            return false;
        }
        self.tenant_shares.usages[tenant as usize].sessions += 1;
        true
    }

    pub(crate) fn release_session(&mut self, tenant: u16) {
        if let Some(usage) = self.tenant_shares.usages.get_mut(tenant as usize) {
            usage.sessions = usage.sessions.saturating_sub(1);
        }
    }

    /// Counts an open request. Returns `false` if the node is at its limit and the tenant over its share.
    pub(crate) fn admit_request(&mut self, tenant: u16) -> bool {
        if self.tenant_shares.tenants.is_empty() {
            return true;
        }
        let all: u32 = self.tenant_shares.open_requests.iter().sum();
        let Some(open) = self.tenant_shares.open_requests.get_mut(tenant as usize) else { return true };
        *open += 1;
        let own = u64::from(*open);
        if all < MAX_OPEN_REQUESTS {
            return true;
        }
        let has_open = |at: &u16| self.tenant_shares.open_requests[*at as usize] > 0;
        let present = (0..self.tenant_shares.tenants.len() as u16).filter(has_open);
        let weights: u64 = present.map(|at| self.tenant_shares.tenants.weight(at)).sum();
        own <= u64::from(MAX_OPEN_REQUESTS) * self.tenant_shares.tenants.weight(tenant) / weights.max(1)
    }

    pub(crate) fn release_request(&mut self, tenant: u16) {
        if let Some(open) = self.tenant_shares.open_requests.get_mut(tenant as usize) {
            *open = open.saturating_sub(1);
        }
    }

    /// Whether the tenant may queue one more request for `key`. A burst of one tenant does not take others' places.
    pub(crate) fn can_queue(&self, key: DatabaseKey, tenant: u16) -> bool {
        let Some(pool) = self.pools.get(&key) else { return true };
        if !self.has_tenants() {
            return pool.waiting.len() < MAX_QUEUE;
        }
        let tenants = &self.tenant_shares.tenants;
        let all: u64 = (0..tenants.len() as u16).map(|at| tenants.weight(at)).sum();
        let bound = (MAX_QUEUE as u64 * tenants.weight(tenant) / all.max(1)) as usize;
        self.queued_requests(pool, tenant) < bound.max(MIN_QUEUE_PER_TENANT)
    }

    fn queued_requests(&self, pool: &crate::core::Pool, tenant: u16) -> usize {
        let is_of_tenant = |id: &&u64| self.clients.get(*id).is_some_and(|client| client.tenant == tenant);
        pool.waiting.iter().filter(is_of_tenant).count()
    }

    /// Whether this request may take a connection to `key` now. Only transactions are limited, since they may hold a
    /// connection while idle.
    pub(crate) fn can_take_connection(&self, id: u64, key: DatabaseKey) -> bool {
        let Some(client) = self.clients.get(&id).filter(|_| self.has_tenants()) else { return true };
        let is_single = client.txn.is_none();
        let slots = self.connection_limit(key);
        is_single
            || self.pools.get(&key).is_none_or(|pool| {
                pool.fair_queue.may_hold_slot(&self.tenant_shares.tenants, client.tenant, slots, self.now)
            })
    }

    pub(crate) fn note_connection_demand(&mut self, id: u64, key: DatabaseKey) {
        if let (true, Some(client)) = (self.has_tenants(), self.clients.get(&id)) {
            self.pools.entry(key).or_default().fair_queue.record_request(client.tenant, self.now);
        }
    }

    /// Charges a connection taken from the pool to the request's tenant.
    pub(crate) fn charge_connection(&mut self, id: u64, db: u64, key: DatabaseKey) {
        if !self.has_tenants() {
            return;
        }
        let Some(tenant) = self.clients.get(&id).map(|client| client.tenant) else { return };
        let weight = self.tenant_shares.tenants.weight(tenant);
        let Some(pool) = self.pools.get_mut(&key) else { return };
        let has_other_waiting =
            pool.waiting.iter().any(|other| self.clients.get(other).is_some_and(|client| client.tenant != tenant));
        let expected_us = pool.fair_queue.start(tenant, weight);
        if let Some(usage) = self.tenant_shares.usages.get_mut(tenant as usize) {
            usage.started += 1;
            let held_slots = pool.fair_queue.held_slots.get(tenant as usize).copied().unwrap_or(0);
            let slots = pool.total.max(1);
            let entitled = || pool.fair_queue.entitled_slots(&self.tenant_shares.tenants, tenant, slots, self.now);
            usage.borrowed += u64::from(has_other_waiting || held_slots > entitled());
        }
        if let Some(connection) = self.connections.get_mut(&db) {
            connection.charge = Some(Charge { tenant, since: self.now, expected_us });
        }
    }

    /// Ends the charge of a connection that was returned to the pool or closed.
    pub(crate) fn release_charge(&mut self, key: DatabaseKey, charge: Option<Charge>) {
        let Some(charge) = charge else { return };
        let held_us = self.now.saturating_sub(charge.since);
        let weight = self.tenant_shares.tenants.weight(charge.tenant);
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.fair_queue.finish(charge.tenant, weight, charge.expected_us, held_us);
        }
        if let Some(usage) = self.tenant_shares.usages.get_mut(charge.tenant as usize) {
            usage.held_us += held_us;
        }
    }

    /// Index of the queued request to start next: of the tenant furthest below its share, the highest precedence first.
    pub(crate) fn next_queued_request(&self, key: DatabaseKey) -> Option<usize> {
        let pool = self.pools.get(&key)?;
        let client = |id: &u64| self.clients.get(id);
        let precedence =
            |id: &u64| client(id).and_then(|client| client.request.route.as_ref()).map(|route| route.precedence);
        let first = |is_eligible: &dyn Fn(&u64) -> bool| {
            let eligible = pool.waiting.iter().enumerate().filter(|(_, id)| is_eligible(id));
            eligible.min_by_key(|(at, id)| (precedence(id), *at)).map(|(at, _)| at)
        };
        if !self.has_tenants() {
            return first(&|_| true);
        }
        let ready = pool.waiting.iter().filter(|id| self.can_take_connection(**id, key));
        let tenant = pool.fair_queue.scheduler.select(ready.filter_map(|id| client(id).map(|client| client.tenant)))?;
        first(&|id| client(id).is_some_and(|client| client.tenant == tenant) && self.can_take_connection(*id, key))
    }

    /// Retry delay of a refused request: the expected time to work off its tenant's backlog.
    pub(crate) fn retry_after_ms(&mut self, id: u64) -> Option<u64> {
        let client = self.clients.get(&id).filter(|_| self.has_tenants())?;
        let tenant = client.tenant;
        let route = client.request.route.clone()?;
        self.tenant_shares.usages.get_mut(tenant as usize).into_iter().for_each(|usage| usage.refused += 1);
        let service = self.health.service_index(&route.service)?;
        let backlog = |(key, pool): (&DatabaseKey, &crate::core::Pool)| {
            let slots = pool.fair_queue.entitled_slots(
                &self.tenant_shares.tenants,
                tenant,
                self.connection_limit(*key),
                self.now,
            );
            self.queued_requests(pool, tenant) as u64 * pool.fair_queue.expected_us() / u64::from(slots)
        };
        let longest = self.pools.iter().filter(|(key, _)| key.service == service).map(backlog).max().unwrap_or(0);
        Some((longest / 1000).clamp(20, 2000))
    }

    /// Weight and usage of each tenant, for operators.
    pub fn tenants_json(&self) -> String {
        let waiting =
            |tenant: u16| -> usize { self.pools.values().map(|pool| self.queued_requests(pool, tenant)).sum() };
        let held_slots = |tenant: u16| -> u32 {
            self.pools.values().filter_map(|pool| pool.fair_queue.held_slots.get(tenant as usize)).sum()
        };
        let all_us: u64 = self.tenant_shares.usages.iter().map(|usage| usage.held_us).sum();
        let rows: Vec<serde_json::Value> = (0u16..)
            .zip(&self.tenant_shares.usages)
            .map(|(tenant, usage)| {
                serde_json::json!({
                    "label": self.tenant_shares.tenants.label(tenant),
                    "weight": self.tenant_shares.tenants.weight(tenant), "sessions": usage.sessions,
                    "open": self.tenant_shares.open_requests[tenant as usize], "held": held_slots(tenant),
                    "waiting": waiting(tenant), "started": usage.started, "borrowed": usage.borrowed,
                    "refused": usage.refused, "usedShare": usage.held_us as f64 / all_us.max(1) as f64,
                })
            })
            .collect();
        serde_json::json!({ "tenants": rows }).to_string()
    }
}
