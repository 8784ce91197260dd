//! This edge's capacity among tenants: sessions, lines to databases, and what may be under way at once.
use crate::core::Core;
use wv_fair_queue::{Tally, Tenants};
use wv_health::Spot;

/// Requests that one node works on at once before those over their share are refused.
const MAX_OPEN_REQUESTS: u32 = 512;
/// Each tenant may have this many wait for one database at least.
const MIN_QUEUE_PER_TENANT: usize = 8;
const MAX_QUEUE: usize = crate::offer::WAITING_MAX;

/// Who uses what of this node.
#[derive(Default)]
pub(crate) struct TenantShares {
    pub tenants: Tenants,
    pub tallies: Vec<Tally>,
    /// Requests open now, by tenant.
    pub open_requests: Vec<u32>,
    pub max_clients: usize,
}

/// What a connection in use is charged to.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    tenant: u16,
    since: u64,
    expected_us: u64,
}

impl Core {
    /// How many sessions the node takes at all.
    pub fn set_max_clients(&mut self, clients_max: usize) {
        self.shares.max_clients = clients_max;
    }

    pub(crate) fn has_tenants(&self) -> bool {
        !self.shares.tenants.is_empty()
    }

    /// Weights bind from the next start on; what is under way ends as it began.
    pub(crate) fn set_tenants(&mut self, conf: &wv_configuration::Conf, before: Option<&wv_configuration::Conf>) {
        // Where nobody has a share, all sessions are alike: they need not be gone through.
        if conf.tenants.is_empty() && before.is_some_and(|before| before.tenants.is_empty()) {
            return;
        }
        self.shares.tenants = Tenants::new(&conf.tenants, &self.shares.tenants);
        let count = self.shares.tenants.len();
        self.shares.tallies.resize(count, Tally::default());
        self.shares.open_requests.resize(count, 0);
        self.shares.tallies.iter_mut().for_each(|tally| tally.sessions = 0);
        for client in self.clients.values_mut() {
            if let Some(host) = &client.database {
                let tenant = self.shares.tenants.find(host, &client.who);
                self.shares.tallies[tenant as usize].sessions += 1;
                // A open request is counted where it was opened.
                if !client.request.is_open {
                    client.tenant = tenant;
                }
            }
        }
    }

    /// Seats a session with its tenant. `false` where the node is nearly full and the tenant over its share.
    pub(crate) fn admit_session(&mut self, id: u64) -> bool {
        let seated = self.clients.len();
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let host = client.database.as_deref().unwrap_or_default();
        client.tenant = self.shares.tenants.find(host, &client.who);
        let tenant = client.tenant;
        if self.shares.tenants.is_empty() {
            return true;
        }
        let max = self.shares.max_clients;
        let sessions = |at: &u16| self.shares.tallies[*at as usize].sessions;
        let is_full = max > 0 && seated >= max - max / 8;
        let present = (0..self.shares.tenants.len() as u16).filter(|at| *at == tenant || sessions(at) > 0);
        let all: u64 = present.map(|at| self.shares.tenants.weight(at)).sum();
        let entitled = max as u64 * self.shares.tenants.weight(tenant) / all.max(1);
        if is_full && u64::from(sessions(&tenant)) >= entitled {
            self.shares.tallies[tenant as usize].refused += 1;
            client.database = None;
            return false;
        }
        self.shares.tallies[tenant as usize].sessions += 1;
        true
    }

    pub(crate) fn release_session(&mut self, tenant: u16) {
        if let Some(tally) = self.shares.tallies.get_mut(tenant as usize) {
            tally.sessions = tally.sessions.saturating_sub(1);
        }
    }

    /// A request was opened. `false` where the node has its hands full and the tenant more than its share of them.
    pub(crate) fn admit_request(&mut self, tenant: u16) -> bool {
        if self.shares.tenants.is_empty() {
            return true;
        }
        let all: u32 = self.shares.open_requests.iter().sum();
        let Some(open) = self.shares.open_requests.get_mut(tenant as usize) else { return true };
        *open += 1;
        let own = u64::from(*open);
        if all < MAX_OPEN_REQUESTS {
            return true;
        }
        let has_open = |at: &u16| self.shares.open_requests[*at as usize] > 0;
        let present = (0..self.shares.tenants.len() as u16).filter(has_open);
        let weights: u64 = present.map(|at| self.shares.tenants.weight(at)).sum();
        own <= u64::from(MAX_OPEN_REQUESTS) * self.shares.tenants.weight(tenant) / weights.max(1)
    }

    pub(crate) fn release_request(&mut self, tenant: u16) {
        if let Some(open) = self.shares.open_requests.get_mut(tenant as usize) {
            *open = open.saturating_sub(1);
        }
    }

    /// Whether the line to `spot` has room for one more of this tenant: a surge fills no line but its own.
    pub(crate) fn can_queue(&self, spot: Spot, tenant: u16) -> bool {
        let Some(pool) = self.pools.get(&spot) else { return true };
        if !self.has_tenants() {
            return pool.waiting.len() < MAX_QUEUE;
        }
        let tenants = &self.shares.tenants;
        let all: u64 = (0..tenants.len() as u16).map(|at| tenants.weight(at)).sum();
        let bound = (MAX_QUEUE as u64 * tenants.weight(tenant) / all.max(1)) as usize;
        self.queued_requests(pool, tenant) < bound.max(MIN_QUEUE_PER_TENANT)
    }

    fn queued_requests(&self, pool: &crate::core::Pool, tenant: u16) -> usize {
        let is_its = |id: &&u64| self.clients.get(*id).is_some_and(|client| client.tenant == tenant);
        pool.waiting.iter().filter(is_its).count()
    }

    /// Whether this request may take a connection there now. Transactions may rest, and can't be taken back.
    pub(crate) fn can_take_connection(&self, id: u64, spot: Spot) -> bool {
        let Some(client) = self.clients.get(&id).filter(|_| self.has_tenants()) else { return true };
        let is_short = client.txn.is_none();
        let slots = self.cap(spot);
        is_short
            || self
                .pools
                .get(&spot)
                .is_none_or(|pool| pool.line.may_hold(&self.shares.tenants, client.tenant, slots, self.now))
    }

    pub(crate) fn note_connection_demand(&mut self, id: u64, spot: Spot) {
        if let (true, Some(client)) = (self.has_tenants(), self.clients.get(&id)) {
            self.pools.entry(spot).or_default().line.asked(client.tenant, self.now);
        }
    }

    /// The connection was taken from rest for this request.
    pub(crate) fn charge_connection(&mut self, id: u64, db: u64, spot: Spot) {
        if !self.has_tenants() {
            return;
        }
        let Some(tenant) = self.clients.get(&id).map(|client| client.tenant) else { return };
        let weight = self.shares.tenants.weight(tenant);
        let Some(pool) = self.pools.get_mut(&spot) else { return };
        let others = pool.waiting.iter().any(|other| self.clients.get(other).is_some_and(|held| held.tenant != tenant));
        let expected_us = pool.line.start(tenant, weight);
        if let Some(tally) = self.shares.tallies.get_mut(tenant as usize) {
            tally.started += 1;
            let held = pool.line.held.get(tenant as usize).copied().unwrap_or(0);
            let is_over = |slots| held > pool.line.entitled(&self.shares.tenants, tenant, slots, self.now);
            tally.borrowed += u64::from(others || is_over(pool.all.max(1)));
        }
        if let Some(held) = self.dbs.get_mut(&db) {
            held.charge = Some(Charge { tenant, since: self.now, expected_us });
        }
    }

    /// The connection is at rest again, or gone.
    pub(crate) fn release_charge(&mut self, spot: Spot, charge: Option<Charge>) {
        let Some(charge) = charge else { return };
        let held_us = self.now.saturating_sub(charge.since);
        let weight = self.shares.tenants.weight(charge.tenant);
        if let Some(pool) = self.pools.get_mut(&spot) {
            pool.line.end(charge.tenant, weight, charge.expected_us, held_us);
        }
        if let Some(tally) = self.shares.tallies.get_mut(charge.tenant as usize) {
            tally.held_us += held_us;
        }
    }

    /// Which of those waiting there starts next: the tenant furthest behind its share, within it by precedence.
    pub(crate) fn next_queued_request(&self, spot: Spot) -> Option<usize> {
        let pool = self.pools.get(&spot)?;
        let client = |id: &u64| self.clients.get(id);
        let precedence =
            |id: &u64| client(id).and_then(|client| client.request.route.as_ref()).map(|route| route.precedence);
        let first = |is_fit: &dyn Fn(&u64) -> bool| {
            let fit = pool.waiting.iter().enumerate().filter(|(_, id)| is_fit(id));
            fit.min_by_key(|(at, id)| (precedence(id), *at)).map(|(at, _)| at)
        };
        if !self.has_tenants() {
            return first(&|_| true);
        }
        let ready = pool.waiting.iter().filter(|id| self.can_take_connection(**id, spot));
        let tenant = pool.line.fair.nominate(ready.filter_map(|id| client(id).map(|client| client.tenant)))?;
        first(&|id| client(id).is_some_and(|client| client.tenant == tenant) && self.can_take_connection(*id, spot))
    }

    /// When a refused ask is to come back: once its own tenant's backlog may have gone.
    pub(crate) fn retry_after_ms(&mut self, id: u64) -> Option<u64> {
        let client = self.clients.get(&id).filter(|_| self.has_tenants())?;
        let tenant = client.tenant;
        let route = client.request.route.clone()?;
        self.shares.tallies.get_mut(tenant as usize).into_iter().for_each(|tally| tally.refused += 1);
        let service = self.checks.find(&route.service)?;
        let backlog = |(spot, pool): (&Spot, &crate::core::Pool)| {
            let slots = pool.line.entitled(&self.shares.tenants, tenant, self.cap(*spot), self.now);
            self.queued_requests(pool, tenant) as u64 * pool.line.expected_us() / u64::from(slots)
        };
        let longest = self.pools.iter().filter(|(spot, _)| spot.service == service).map(backlog).max().unwrap_or(0);
        Some((longest / 1000).clamp(20, 2000))
    }

    /// What each tenant is entitled to and uses, for operators.
    pub fn tenants_json(&self) -> String {
        let waiting =
            |tenant: u16| -> usize { self.pools.values().map(|pool| self.queued_requests(pool, tenant)).sum() };
        let held =
            |tenant: u16| -> u32 { self.pools.values().filter_map(|pool| pool.line.held.get(tenant as usize)).sum() };
        let all_us: u64 = self.shares.tallies.iter().map(|tally| tally.held_us).sum();
        let rows: Vec<serde_json::Value> = (0u16..)
            .zip(&self.shares.tallies)
            .map(|(tenant, tally)| {
                serde_json::json!({
                    "label": self.shares.tenants.label(tenant), "weight": self.shares.tenants.weight(tenant),
                    "sessions": tally.sessions, "open": self.shares.open_requests[tenant as usize], "held": held(tenant),
                    "waiting": waiting(tenant), "started": tally.started, "borrowed": tally.borrowed,
                    "refused": tally.refused, "usedShare": tally.held_us as f64 / all_us.max(1) as f64,
                })
            })
            .collect();
        serde_json::json!({ "tenants": rows }).to_string()
    }
}
