//! This edge's capacity among tenants: sessions, lines to databases, and what may be under way at once.
use crate::core::Core;
use wv_fair_queue::{Tally, Tenants};
use wv_health::Spot;

/// Requests that one node works on at once before those over their share are refused.
const REQUESTS_MAX: u32 = 512;
/// Each tenant may have this many wait for one database at least.
const LINE_LEAST: usize = 8;
const WAITING_MAX: usize = crate::dispatch::WAITING_MAX;

/// Who uses what of this node.
#[derive(Default)]
pub(crate) struct Shares {
    pub tenants: Tenants,
    pub tallies: Vec<Tally>,
    /// Requests open now, by tenant.
    pub open: Vec<u32>,
    pub clients_max: usize,
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
    pub fn set_clients_max(&mut self, clients_max: usize) {
        self.tenant_shares.clients_max = clients_max;
    }

    pub(crate) fn has_tenants(&self) -> bool {
        !self.tenant_shares.tenants.is_empty()
    }

    /// Weights bind from the next start on; what is under way ends as it began.
    pub(crate) fn set_tenants(&mut self, conf: &wv_configuration::Conf, before: Option<&wv_configuration::Conf>) {
        // Where nobody has a share, all sessions are alike: they need not be gone through.
        if conf.tenants.is_empty() && before.is_some_and(|before| before.tenants.is_empty()) {
            return;
        }
        self.tenant_shares.tenants = Tenants::new(&conf.tenants, &self.tenant_shares.tenants);
        let count = self.tenant_shares.tenants.len();
        self.tenant_shares.tallies.resize(count, Tally::default());
        self.tenant_shares.open.resize(count, 0);
        self.tenant_shares.tallies.iter_mut().for_each(|tally| tally.sessions = 0);
        for client in self.clients.values_mut() {
            if let Some(host) = &client.database {
                let tenant = self.tenant_shares.tenants.find(host, &client.login);
                self.tenant_shares.tallies[tenant as usize].sessions += 1;
                // A open request is counted where it was opened.
                if !client.request.is_open {
                    client.tenant = tenant;
                }
            }
        }
    }

    /// Seats a session with its tenant. `false` where the node is nearly full and the tenant over its share.
    pub(crate) fn seat_session(&mut self, id: u64) -> bool {
        let seated = self.clients.len();
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let host = client.database.as_deref().unwrap_or_default();
        client.tenant = self.tenant_shares.tenants.find(host, &client.login);
        let tenant = client.tenant;
        if self.tenant_shares.tenants.is_empty() {
            return true;
        }
        let max = self.tenant_shares.clients_max;
        let sessions = |at: &u16| self.tenant_shares.tallies[*at as usize].sessions;
        let is_full = max > 0 && seated >= max - max / 8;
        let present = (0..self.tenant_shares.tenants.len() as u16).filter(|at| *at == tenant || sessions(at) > 0);
        let all: u64 = present.map(|at| self.tenant_shares.tenants.weight(at)).sum();
        let entitled = max as u64 * self.tenant_shares.tenants.weight(tenant) / all.max(1);
        if is_full && u64::from(sessions(&tenant)) >= entitled {
            self.tenant_shares.tallies[tenant as usize].refused += 1;
            client.database = None;
            return false;
        }
        self.tenant_shares.tallies[tenant as usize].sessions += 1;
        true
    }

    pub(crate) fn unseat_session(&mut self, tenant: u16) {
        if let Some(tally) = self.tenant_shares.tallies.get_mut(tenant as usize) {
            tally.sessions = tally.sessions.saturating_sub(1);
        }
    }

    /// A request was opened. `false` where the node has its hands full and the tenant more than its share of them.
    pub(crate) fn open_share(&mut self, tenant: u16) -> bool {
        if self.tenant_shares.tenants.is_empty() {
            return true;
        }
        let all: u32 = self.tenant_shares.open.iter().sum();
        let Some(open) = self.tenant_shares.open.get_mut(tenant as usize) else { return true };
        *open += 1;
        let own = u64::from(*open);
        if all < REQUESTS_MAX {
            return true;
        }
        let has_open = |at: &u16| self.tenant_shares.open[*at as usize] > 0;
        let present = (0..self.tenant_shares.tenants.len() as u16).filter(has_open);
        let weights: u64 = present.map(|at| self.tenant_shares.tenants.weight(at)).sum();
        own <= u64::from(REQUESTS_MAX) * self.tenant_shares.tenants.weight(tenant) / weights.max(1)
    }

    pub(crate) fn close_share(&mut self, tenant: u16) {
        if let Some(open) = self.tenant_shares.open.get_mut(tenant as usize) {
            *open = open.saturating_sub(1);
        }
    }

    /// Whether the line to `spot` has room for one more of this tenant: a surge fills no line but its own.
    pub(crate) fn may_wait(&self, spot: Spot, tenant: u16) -> bool {
        let Some(pool) = self.pools.get(&spot) else { return true };
        if !self.has_tenants() {
            return pool.waiting.len() < WAITING_MAX;
        }
        let tenants = &self.tenant_shares.tenants;
        let all: u64 = (0..tenants.len() as u16).map(|at| tenants.weight(at)).sum();
        let bound = (WAITING_MAX as u64 * tenants.weight(tenant) / all.max(1)) as usize;
        self.waiting_of(pool, tenant) < bound.max(LINE_LEAST)
    }

    fn waiting_of(&self, pool: &crate::core::Pool, tenant: u16) -> usize {
        let is_its = |id: &&u64| self.clients.get(*id).is_some_and(|client| client.tenant == tenant);
        pool.waiting.iter().filter(is_its).count()
    }

    /// Whether this request may take a connection there now. Transactions may rest, and can't be taken back.
    pub(crate) fn may_take(&self, id: u64, spot: Spot) -> bool {
        let Some(client) = self.clients.get(&id).filter(|_| self.has_tenants()) else { return true };
        let is_short = client.txn.is_none();
        let slots = self.connection_limit(spot);
        is_short
            || self.pools.get(&spot).is_none_or(|pool| {
                pool.fair_queue.may_hold(&self.tenant_shares.tenants, client.tenant, slots, self.now)
            })
    }

    pub(crate) fn note_requested(&mut self, id: u64, spot: Spot) {
        if let (true, Some(client)) = (self.has_tenants(), self.clients.get(&id)) {
            self.pools.entry(spot).or_default().fair_queue.asked(client.tenant, self.now);
        }
    }

    /// The connection was taken from rest for this request.
    pub(crate) fn charge(&mut self, id: u64, db: u64, spot: Spot) {
        if !self.has_tenants() {
            return;
        }
        let Some(tenant) = self.clients.get(&id).map(|client| client.tenant) else { return };
        let weight = self.tenant_shares.tenants.weight(tenant);
        let Some(pool) = self.pools.get_mut(&spot) else { return };
        let others = pool.waiting.iter().any(|other| self.clients.get(other).is_some_and(|held| held.tenant != tenant));
        let expected_us = pool.fair_queue.start(tenant, weight);
        if let Some(tally) = self.tenant_shares.tallies.get_mut(tenant as usize) {
            tally.started += 1;
            let held = pool.fair_queue.held.get(tenant as usize).copied().unwrap_or(0);
            let is_over = |slots| held > pool.fair_queue.entitled(&self.tenant_shares.tenants, tenant, slots, self.now);
            tally.borrowed += u64::from(others || is_over(pool.total.max(1)));
        }
        if let Some(held) = self.dbs.get_mut(&db) {
            held.charge = Some(Charge { tenant, since: self.now, expected_us });
        }
    }

    /// The connection is at rest again, or gone.
    pub(crate) fn uncharge(&mut self, spot: Spot, charge: Option<Charge>) {
        let Some(charge) = charge else { return };
        let held_us = self.now.saturating_sub(charge.since);
        let weight = self.tenant_shares.tenants.weight(charge.tenant);
        if let Some(pool) = self.pools.get_mut(&spot) {
            pool.fair_queue.end(charge.tenant, weight, charge.expected_us, held_us);
        }
        if let Some(tally) = self.tenant_shares.tallies.get_mut(charge.tenant as usize) {
            tally.held_us += held_us;
        }
    }

    /// Which of those waiting there starts next: the tenant furthest behind its share, within it by precedence.
    pub(crate) fn nominate_waiting(&self, spot: Spot) -> Option<usize> {
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
        let ready = pool.waiting.iter().filter(|id| self.may_take(**id, spot));
        let tenant = pool.fair_queue.fair.nominate(ready.filter_map(|id| client(id).map(|client| client.tenant)))?;
        first(&|id| client(id).is_some_and(|client| client.tenant == tenant) && self.may_take(*id, spot))
    }

    /// When a refused ask is to come back: once its own tenant's backlog may have gone.
    pub(crate) fn come_back_ms(&mut self, id: u64) -> Option<u64> {
        let client = self.clients.get(&id).filter(|_| self.has_tenants())?;
        let tenant = client.tenant;
        let route = client.request.route.clone()?;
        self.tenant_shares.tallies.get_mut(tenant as usize).into_iter().for_each(|tally| tally.refused += 1);
        let service = self.checks.find(&route.service)?;
        let backlog = |(spot, pool): (&Spot, &crate::core::Pool)| {
            let slots =
                pool.fair_queue.entitled(&self.tenant_shares.tenants, tenant, self.connection_limit(*spot), self.now);
            self.waiting_of(pool, tenant) as u64 * pool.fair_queue.expected_us() / u64::from(slots)
        };
        let longest = self.pools.iter().filter(|(spot, _)| spot.service == service).map(backlog).max().unwrap_or(0);
        Some((longest / 1000).clamp(20, 2000))
    }

    /// What each tenant is entitled to and uses, for operators.
    pub fn tenants_json(&self) -> String {
        let waiting = |tenant: u16| -> usize { self.pools.values().map(|pool| self.waiting_of(pool, tenant)).sum() };
        let held = |tenant: u16| -> u32 {
            self.pools.values().filter_map(|pool| pool.fair_queue.held.get(tenant as usize)).sum()
        };
        let all_us: u64 = self.tenant_shares.tallies.iter().map(|tally| tally.held_us).sum();
        let rows: Vec<serde_json::Value> = (0u16..)
            .zip(&self.tenant_shares.tallies)
            .map(|(tenant, tally)| {
                serde_json::json!({
                    "label": self.tenant_shares.tenants.label(tenant), "weight": self.tenant_shares.tenants.weight(tenant),
                    "sessions": tally.sessions, "open": self.tenant_shares.open[tenant as usize], "held": held(tenant),
                    "waiting": waiting(tenant), "started": tally.started, "borrowed": tally.borrowed,
                    "refused": tally.refused, "usedShare": tally.held_us as f64 / all_us.max(1) as f64,
                })
            })
            .collect();
        serde_json::json!({ "tenants": rows }).to_string()
    }
}
