//! Dispatches requests according to the routing decision.
use crate::core::Core;
use crate::types::Verb;
use wv_health::DatabaseKey;
use wv_route::{decide_route, PoolAvailability, RouteDecision, RouteRequest};
use wv_wire_protocol::{ErrorCode, LogPosition};

/// Maximum queue length of a pool; further requests are refused at once.
pub(crate) const MAX_QUEUED_REQUESTS: usize = 64;

impl Core {
    /// Routes the client's open request to a connection, a queue or another node.
    pub(crate) fn dispatch(&mut self, id: u64) {
        if !self.clients.get(&id).is_some_and(|client| client.request.is_open) {
            return;
        }
        let Some(client) = self.clients.get(&id) else { return };
        let is_placed = client.txn.as_ref().is_some_and(|txn| txn.db.is_some() || txn.forwarded_session.is_some());
        if !is_placed && client.request.is_expired(self.now) {
            return self.refuse_request(id);
        }
        if self.must_wait_for_split(id) {
            return self.park(id);
        }
        let Some(client) = self.clients.get(&id) else { return };
        if let Some(db) = client.txn.as_ref().and_then(|txn| txn.db) {
            return self.send_request(id, db, None, false);
        }
        if self.try_forward(id) {
            return;
        }
        match self.route_request(id) {
            // After a stall, who leads is confirmed first; a read with a minimum position may go anywhere.
            RouteDecision::Forward { min_position: None, .. } if self.contact.is_unconfirmed() => self.park(id),
            RouteDecision::Forward { key, min_position, wrap_in_txn } => {
                self.place_request(id, key, min_position, wrap_in_txn)
            }
            RouteDecision::Wait => self.park(id),
            RouteDecision::Refuse(code) => {
                self.clients.get_mut(&id).into_iter().for_each(|client| client.request.last_code = Some(code));
                self.refuse_request(id);
            }
        }
    }

    /// Parks a request that has no target; it is dispatched again when routing changes or refused at its deadline.
    fn park(&mut self, id: u64) {
        if !self.unplaced.contains(&id) {
            self.unplaced.push(id);
        }
        self.schedule_wait_limit(id);
    }

    fn route_request(&self, id: u64) -> RouteDecision {
        let Some(client) = self.clients.get(&id) else { return RouteDecision::Refuse(ErrorCode::Congested) };
        let request = &client.request;
        let Some(route) = request.route.as_ref() else { return RouteDecision::Refuse(ErrorCode::Congested) };
        let service = self.service_for_request(id);
        let Some(service) = service.and_then(|service| self.health.service_index(&service)) else {
            return RouteDecision::Wait;
        };
        let route_request = RouteRequest {
            service,
            category: route.category,
            is_txn: client.txn.is_some(),
            is_read_only: client.txn.as_ref().map_or(request.verb() == Verb::Read, |txn| txn.is_read_only),
            first_byte_at: client.txn.as_ref().map_or(request.first_byte_at, |txn| txn.first_byte_at),
            now: self.now,
            zone: &self.zone,
            tie_break_salt: if self.has_many_databases { self.tie_break_salt } else { 0 },
            refused_by: &request.refused_by,
        };
        decide_route(&self.health, &route_request, &|key| self.pool_availability(key, client.tenant))
    }

    fn pool_availability(&self, key: DatabaseKey, tenant: u16) -> PoolAvailability {
        let Some(pool) = self.pools.get(&key) else {
            return PoolAvailability { outstanding: 0, can_accept: true, is_warm: !self.has_many_databases };
        };
        let outstanding = pool.total.saturating_sub(pool.idle.len() as u32 + pool.opening) + pool.waiting.len() as u32;
        // With many databases, connections are opened on demand: prefers pools that have an idle one.
        let is_warm = !self.has_many_databases || !pool.idle.is_empty();
        let can_accept = self.can_queue(key, tenant) && self.can_start_request(key);
        PoolAvailability { outstanding, can_accept, is_warm }
    }

    fn place_request(&mut self, id: u64, key: DatabaseKey, min_position: Option<LogPosition>, is_wrapped: bool) {
        // During slow start, queued requests go first.
        let is_next = !self.slow_starts.contains_key(&key)
            || self.dequeued == Some(id)
            || self.pools.get(&key).is_none_or(|pool| pool.waiting.is_empty());
        self.note_connection_demand(id, key);
        self.pools.entry(key).or_default().last_used_at = self.now;
        if min_position.is_none() {
            self.last_write_at.insert(key.service, self.now);
        }
        let is_free = is_next && self.can_start_request(key);
        let (may_take, tenant) =
            (self.can_take_connection(id, key), self.clients.get(&id).map_or(0, |client| client.tenant));
        let may_wait = self.can_queue(key, tenant);
        let Some(client) = self.clients.get(&id) else { return };
        let pool = self.pools.entry(key).or_default();
        // Prefers the connection that needs the fewest session changes, then the most recently used.
        let fitting = pool
            .idle
            .iter()
            .enumerate()
            .rev()
            .filter_map(|(at, db)| {
                self.connections.get(db).map(|connection| {
                    (connection.session_state.sync_cost(&client.session, client.request.statement_id), at)
                })
            })
            .min_by_key(|(cost, _)| *cost);
        if let Some((_, at)) = fitting.filter(|_| is_free && may_take) {
            let db = pool.idle.remove(at);
            self.charge_connection(id, db, key);
            return self.send_request(id, db, min_position, is_wrapped);
        }
        if !may_wait {
            return self.refuse_request(id);
        }
        pool.waiting.push_back(id);
        let is_covered = (pool.opening as usize) >= pool.waiting.len();
        if let Some(client) = self.clients.get_mut(&id) {
            client.request.queue = Some(key);
        }
        if !is_free {
            self.schedule_next_start(key);
        } else if !is_covered {
            self.open_db(key);
        }
        self.schedule_wait_limit(id);
    }

    /// Dispatches a request again that was not executed, or a read whose response was lost.
    pub(crate) fn retry(&mut self, id: u64, code: Option<ErrorCode>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(&id) else { return };
        let request = &mut client.request;
        // Rows were already sent and must not be repeated.
        if request.is_streamed {
            return self.fail(id, ErrorCode::Failed, "broken off", b'I');
        }
        (request.db, request.queue, request.last_code) = (None, None, code.or(request.last_code));
        request.attempts += 1;
        request.waiting_since = now;
        let max_attempts = request.route.as_ref().map_or(1, |route| route.max_attempts) + 1;
        // Refusing is better than queueing again when the attempts or the time are used up.
        if request.attempts > max_attempts || now >= request.deadline {
            return self.refuse_request(id);
        }
        self.dispatch(id);
    }

    /// Gives free connections to queued requests, by tenant share and route precedence, and opens more if needed.
    pub(crate) fn serve_queue(&mut self, key: DatabaseKey) {
        loop {
            let Some(pool) = self.pools.get_mut(&key) else { return };
            let clients = &self.clients;
            pool.waiting.retain(|id| {
                clients.get(id).is_some_and(|client| client.request.is_open && client.request.queue == Some(key))
            });
            if pool.waiting.is_empty() {
                return;
            }
            if pool.idle.is_empty() {
                let is_short = (pool.opening as usize) < pool.waiting.len();
                if is_short && self.open_db(key) {
                    continue;
                }
                return;
            }
            if !self.can_start_request(key) {
                return self.schedule_next_start(key);
            }
            let first = self.next_queued_request(key);
            let Some(pool) = self.pools.get_mut(&key) else { return };
            let Some(id) = first.and_then(|at| pool.waiting.remove(at)) else { return };
            self.clients.get_mut(&id).into_iter().for_each(|client| client.request.queue = None);
            // Routed again, as the target may have changed while it was queued.
            self.dequeued = Some(id);
            self.dispatch(id);
            self.dequeued = None;
        }
    }

    pub(crate) fn serve_all_queues(&mut self) {
        let keys: Vec<DatabaseKey> =
            self.pools.iter().filter(|(_, pool)| !pool.waiting.is_empty()).map(|(key, _)| *key).collect();
        keys.into_iter().for_each(|key| self.serve_queue(key));
    }

    /// Dispatches the requests without a target again after a routing change.
    pub(crate) fn dispatch_unplaced(&mut self) {
        for id in std::mem::take(&mut self.unplaced) {
            let is_waiting = self.clients.get(&id).is_some_and(|client| {
                let request = &client.request;
                request.is_open
                    && request.db.is_none()
                    && request.queue.is_none()
                    && request.forwarded_session.is_none()
            });
            if is_waiting {
                self.dispatch(id);
            }
        }
    }

    /// Dispatches the requests queued for an isolated instance elsewhere.
    pub(crate) fn redispatch_queue(&mut self, key: DatabaseKey) {
        let waiting = self.pools.get_mut(&key).map(|pool| std::mem::take(&mut pool.waiting)).unwrap_or_default();
        for id in waiting {
            if let Some(client) = self.clients.get_mut(&id).filter(|client| client.request.queue == Some(key)) {
                client.request.queue = None;
                self.dispatch(id);
            }
        }
    }
}
