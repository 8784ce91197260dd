//! Periodic maintenance of connection pools, and activation of new configurations.
use crate::core::Core;
use crate::types::{DbConnection, Pending, Phase, Reply};
use std::rc::Rc;
use wv_health::{DatabaseKey, State};

/// Idle connections kept open to a primary and to a replica in this node's zone.
const WARM_PRIMARY_CONNECTIONS: u32 = 2;
const WARM_REPLICA_CONNECTIONS: u32 = 1;
/// With more databases than this, idle connections are kept only to recently used primaries, one each, so that their
/// failure is noticed and the number of connections follows the node's own traffic.
const MANY_DATABASES_THRESHOLD: usize = 16;
const RECENT_USE_US: u64 = 30_000_000;
/// The same where the node's connection share is small; idle connections are also closed after this, to free them for
/// other nodes.
const RECENT_USE_SMALL_SHARE_US: u64 = 10_000_000;
/// A database with outstanding requests that sends nothing for this long is probed.
const SILENCE_LIMIT_US: u64 = 250_000;
/// Timeout of statements that this node sends on its own behalf, connection setup included.
const INTERNAL_STATEMENT_TIMEOUT_US: u64 = 3_000_000;

impl Core {
    pub(crate) fn apply_configuration(
        &mut self,
        version: u64,
        body: Result<Vec<u8>, wv_compression::CompressionError>,
    ) {
        let current = self.configuration.clone();
        // The configuration version never decreases within a process.
        if current.as_ref().is_some_and(|current| current.version > version) {
            return;
        }
        let Ok(body) = body else { return };
        // A resubscribed feed repeats the current version.
        if self.configuration_body.0 == version {
            if self.configuration_body.1[..] != body[..] {
                // Consensus decides each version once, so this indicates a fault in the control plane.
                log::error!(
                    "configuration version {version} was received with two different bodies, keeping the first"
                );
            }
            return;
        }
        let parsed = current
            .as_ref()
            .map_or_else(|| wv_configuration::Configuration::parse(&body), |current| current.parse_incremental(&body));
        // The control plane validates configurations; one that this node cannot parse is ignored.
        let Ok(configuration) = parsed else {
            self.configuration_body = (version, body.into());
            return;
        };
        self.configuration_body = (version, configuration.body().clone());
        if current.as_ref().is_none_or(|current| !Rc::ptr_eq(&current.services, &configuration.services)) {
            configuration.services.keys().for_each(|name| {
                self.health.intern_service(name);
            });
        }
        self.set_tenants(&configuration, current.as_deref());
        self.set_shard_plans(&configuration);
        self.configuration = Some(Rc::new(configuration));
        self.complete_pending_setups();
    }

    /// Runs periodically: keeps warm connections, probes isolated databases, ends sessions during shutdown.
    pub fn run_maintenance(&mut self, now: u64) {
        self.advance_clock(now);
        self.drain.stall_detector.observe(self.now);
        let settled = self.health.apply_fallback_leaders(now);
        settled.iter().for_each(|service| self.recheck_connections(service));
        self.maintain_pools();
        self.end_finished_slow_starts();
        self.close_excess_idle();
        self.probe_silent_databases();
        self.close_unanswered();
        self.dispatch_unplaced();
        self.serve_all_queues();
        self.continue_shutdown();
    }

    /// Closes idle connections above this node's share, which shrinks when nodes join, and unused ones where the share
    /// is small.
    fn close_excess_idle(&mut self) {
        let excess = |(key, pool): (&DatabaseKey, &crate::core::Pool)| {
            let is_unused = self.has_many_databases
                && self.has_small_share(*key)
                && pool.last_used_at + RECENT_USE_SMALL_SHARE_US < self.now;
            let count = if is_unused {
                pool.idle.len()
            } else {
                pool.total.saturating_sub(self.connection_limit(*key)) as usize
            };
            pool.idle.iter().take(count).copied().collect::<Vec<u64>>()
        };
        let excess: Vec<u64> = self.pools.iter().flat_map(excess).collect();
        excess.into_iter().for_each(|db| self.close_db(db));
    }

    /// Whether this node recently sent requests to the service's primary; always true with few databases.
    fn has_recent_writes(&self, service: u16, key: DatabaseKey) -> bool {
        let window_us = if self.has_small_share(key) { RECENT_USE_SMALL_SHARE_US } else { RECENT_USE_US };
        !self.has_many_databases || self.last_write_at.get(&service).is_some_and(|at| at + window_us > self.now)
    }

    /// Probes databases that are silent on all connections by opening a new one: a slow database accepts it, an
    /// unreachable one does not. The silence counts as the first failure observation, the failed probe as the second.
    fn probe_silent_databases(&mut self) {
        let now = self.now;
        let mut unresponsive: Vec<DatabaseKey> = Vec::new();
        for db in self.connections.values().filter(|db| db.phase == Phase::Busy) {
            let is_waiting = db.pending.front().is_some_and(|reply| reply.sent_at + SILENCE_LIMIT_US < now);
            let is_silent = self
                .pools
                .get(&db.key)
                .is_some_and(|pool| pool.last_data_at + SILENCE_LIMIT_US < now && pool.opening == 0);
            if is_waiting && is_silent && !unresponsive.contains(&db.key) {
                unresponsive.push(db.key);
            }
        }
        for key in unresponsive {
            if self.open_probe(key) {
                self.health.database_mut(key).into_iter().for_each(|member| member.on_timeout(now));
                self.is_health_report_due = true;
            }
        }
    }

    /// Closes connections whose internal statement was never answered; they would otherwise occupy the pool forever.
    fn close_unanswered(&mut self) {
        let is_internal = |reply: &Pending| !matches!(reply.kind, Reply::Request { .. } | Reply::Begin { .. });
        let is_overdue = |connection: &DbConnection| {
            connection.pending.front().is_some_and(|reply| reply.sent_at + INTERNAL_STATEMENT_TIMEOUT_US < self.now)
                && connection.pending.iter().all(is_internal)
        };
        let overdue: Vec<u64> =
            self.connections.iter().filter(|(_, connection)| is_overdue(connection)).map(|(db, _)| *db).collect();
        overdue.into_iter().for_each(|db| self.fail_db(db));
    }

    /// Opens warm connections and probes.
    pub(crate) fn maintain_pools(&mut self) {
        if self.configuration.is_none() {
            return;
        }
        let now = self.now;
        self.has_many_databases = self.health.iter().map(|(_, checker)| checker.databases().count()).sum::<usize>()
            > MANY_DATABASES_THRESHOLD;
        let warm = if self.has_many_databases { 1 } else { WARM_PRIMARY_CONNECTIONS };
        let mut wanted: Vec<(DatabaseKey, u32)> = Vec::new();
        for (service, checker) in self.health.iter() {
            for (index, member) in checker.databases() {
                let key = DatabaseKey { service, index };
                let state = checker.state(index, now);
                let is_being_promoted =
                    self.promoting.get(&service).is_some_and(|(until, id)| *until > now && *id == member.instance.id);
                let is_same_zone = member.instance.zone == self.zone;
                match state {
                    State::Writer if !member.is_suspect() && self.has_recent_writes(service, key) => {
                        wanted.push((key, warm))
                    }
                    // Connections to the database being promoted are opened before it leads.
                    State::Online if is_being_promoted && self.has_recent_writes(service, key) => {
                        wanted.push((key, warm))
                    }
                    State::Online if is_same_zone && !self.has_many_databases && !member.is_suspect() => {
                        wanted.push((key, WARM_REPLICA_CONNECTIONS))
                    }
                    // Isolated and suspect databases are probed with one connection at a time.
                    State::Isolated if member.next_probe_at <= now => wanted.push((key, 1)),
                    State::Writer | State::Online if member.is_suspect() => wanted.push((key, 1)),
                    _ => {}
                }
            }
        }
        for (key, count) in wanted {
            let is_isolated = self.health.database(key).is_some_and(|member| member.is_isolated());
            let (opening, available) = self
                .pools
                .get(&key)
                .map_or((0, 0), |pool| (pool.opening, (pool.idle.len() + pool.newer_term.len()) as u32 + pool.opening));
            let is_wanted = if is_isolated { opening == 0 } else { available < count };
            let is_opened = is_wanted && if is_isolated { self.open_probe(key) } else { self.open_db(key) };
            if is_opened {
                self.health.database_mut(key).into_iter().for_each(|member| member.on_probe(now));
            }
        }
    }
}
