//! Applies feed updates from the control plane; node shutdown, connection recycling and status counters.
use crate::core::Core;
use crate::types::Phase;
use wv_health::DatabaseKey;
use wv_internal_protocol::{FeedUpdate, Message};

/// Idle connections older than this are recycled.
const MAX_CONNECTION_AGE_US: u64 = 1_800_000_000;

impl Core {
    /// Applies a feed message. On `Gap` the caller has to subscribe again from a snapshot.
    pub fn apply_feed_message(&mut self, message: Message, now: u64) -> Result<(), wv_change_feed::Gap> {
        self.advance_clock(now);
        self.drain.stall_detector.observe(self.now);
        let mut is_snapshot = false;
        if let Message::Snapshot { updates, .. } = &message {
            let ids = updates.iter().filter_map(|update| match update {
                FeedUpdate::Instance(instance) if !instance.gone => Some(instance.id.as_str()),
                _ => None,
            });
            self.health.mark_missing(&ids.collect(), self.now);
            is_snapshot = true;
        }
        let updates = self.follower.receive(message);
        let result =
            updates.and_then(|updates| updates.into_iter().try_for_each(|update| self.apply_feed_update(update)));
        if is_snapshot && result.is_ok() {
            self.contact.confirm();
        }
        self.dispatch_unplaced();
        self.maintain_pools();
        // Requests one snapshot, not one for each update already in flight.
        result.or_else(|gap| if self.follower.request_snapshot(self.now) { Err(gap) } else { Ok(()) })
    }

    fn apply_feed_update(&mut self, update: FeedUpdate) -> Result<(), wv_change_feed::Gap> {
        match update {
            FeedUpdate::Configuration { version, body } => {
                let body = wv_compression::decompress(&body, wv_configuration::MAX_BODY_BYTES)
                    .map(std::borrow::Cow::into_owned);
                self.apply_configuration(version, body);
            }
            FeedUpdate::ConfigurationDelta { base, version, delta } => {
                // The held configuration is as new or newer: the delta is skipped and the feed continues.
                if version <= self.configuration_body.0 {
                    return Ok(());
                }
                // The delta applies to a different base version: a snapshot is needed.
                if self.configuration_body.0 != base {
                    return Err(wv_change_feed::Gap);
                }
                let body =
                    wv_compression::apply_delta(&self.configuration_body.1, &delta, wv_configuration::MAX_BODY_BYTES);
                if body.is_err() {
                    return Err(wv_change_feed::Gap);
                }
                self.apply_configuration(version, body);
            }
            FeedUpdate::Instance(instance) => {
                let is_new = self.health.key(&instance.id).is_none();
                let since = self.drain_start(&instance);
                let key = self.health.apply_instance(&instance, since, self.now);
                // A database that starts with cold caches goes through slow start as soon as it is known.
                if let Some(key) = key.filter(|_| is_new && instance.cold_left_us > 0) {
                    self.begin_slow_start(key, 1);
                }
                if let Some(key) = key.filter(|_| instance.gone || instance.draining) {
                    self.close_idle(key);
                }
            }
            FeedUpdate::Leader(leader) => {
                if !self.health.apply_leader(&leader, self.now) {
                    return Ok(());
                }
                self.recheck_connections(&leader.service);
                self.health.service_index(&leader.service).into_iter().for_each(|service| {
                    self.promoting.remove(&service);
                });
            }
            FeedUpdate::Promoting { service, id, max_wait_us } => {
                let service = self.health.intern_service(&service);
                self.promoting.insert(service, (self.now + max_wait_us, id));
            }
            FeedUpdate::SlowStart { id, outages } => {
                self.health.key(&id).into_iter().for_each(|key| self.begin_slow_start(key, outages));
            }
            FeedUpdate::Owner(owner) => self.set_owner(owner),
            FeedUpdate::Slots(map) => self.apply_slot_map(map),
            FeedUpdate::NodeCount(nodes) => self.node_count = nodes.max(1),
        }
        Ok(())
    }

    fn close_idle(&mut self, key: DatabaseKey) {
        let idle = self.pools.get_mut(&key).map(|pool| std::mem::take(&mut pool.idle)).unwrap_or_default();
        idle.into_iter().for_each(|db| self.close_db(db));
    }

    /// Version of the newest configuration received, 0 if there is none. It may differ from the one in force if that
    /// version could not be parsed.
    pub fn held_configuration_version(&self) -> u64 {
        self.configuration_body.0
    }

    /// Version of the configuration in force, `None` before the first.
    pub(crate) fn configuration_version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|configuration| configuration.version)
    }

    /// Incarnation and position of the feed, for the next subscription.
    pub fn feed_position(&self) -> (u64, u64) {
        (self.follower.incarnation, self.follower.position)
    }

    pub fn set_shutdown_grace(&mut self, grace_us: u64) {
        self.grace_us = grace_us;
    }

    /// Handles SIGTERM: readiness is withdrawn, open requests may finish.
    pub fn begin_shutdown(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.leaving_since.get_or_insert(self.now);
    }

    /// Whether the shutdown is finished or its grace period is nearly over.
    pub fn is_shutdown_complete(&self) -> bool {
        self.leaving_since.is_some_and(|since| {
            let elapsed_us = self.now.saturating_sub(since);
            elapsed_us > self.grace_us * 15 / 16 || (elapsed_us > self.grace_us / 2 && self.clients.is_empty())
        })
    }

    /// Closes idle sessions, and towards the end of the grace period all sessions.
    pub(crate) fn continue_shutdown(&mut self) {
        let Some(since) = self.leaving_since else { return };
        let elapsed_us = self.now.saturating_sub(since);
        // The platform stops sending clients here after two failed readiness checks.
        if elapsed_us < self.grace_us * 2 / 5 {
            return;
        }
        // Requests still open shortly before the end are answered as if they had expired.
        if elapsed_us >= self.grace_us * 7 / 8 {
            let open = self.clients.iter().filter(|(_, client)| client.request.is_open);
            for id in open.map(|(id, _)| *id).collect::<Vec<u64>>() {
                self.expire_now(id);
            }
        }
        let is_late = elapsed_us >= self.grace_us * 3 / 4;
        let is_idle = |client: &crate::types::Client| !client.request.is_open && client.inbuf.is_empty();
        let idle = |(id, client): (&u64, &crate::types::Client)| {
            (is_idle(client) && (is_late || client.txn.is_none())).then_some(*id)
        };
        let idle: Vec<u64> = self.clients.iter().filter_map(idle).collect();
        idle.into_iter().for_each(|id| self.close_client(id));
    }

    fn expire_now(&mut self, id: u64) {
        let now = self.now;
        let Some(request) = self.clients.get_mut(&id).map(|client| &mut client.request) else { return };
        (request.deadline, request.client_deadline) = (now, now);
        let number = request.sequence;
        self.expire_request(id, number);
    }

    /// Closes one idle connection that exceeds the maximum age, so that state on either side stays bounded.
    pub fn recycle_connection(&mut self, now: u64) {
        self.now = self.now.max(now);
        let is_old = |db: &&u64| {
            self.connections.get(*db).is_some_and(|connection| connection.opened_at + MAX_CONNECTION_AGE_US < self.now)
        };
        let old = self.pools.values().flat_map(|pool| pool.idle.iter()).find(is_old).copied();
        old.into_iter().for_each(|db| self.close_db(db));
    }

    /// Each database and its routing state.
    pub fn routing_states(&self) -> Vec<(String, String)> {
        let states = self.health.iter().flat_map(|(_, checker)| {
            checker.databases().map(|(index, member)| {
                (member.instance.id.clone(), format!("{:?}", checker.state(index, self.now)).to_lowercase())
            })
        });
        states.collect()
    }

    /// Counts of clients, connections and busy connections.
    pub fn usage_counts(&self) -> (usize, usize, usize) {
        let busy = self.connections.values().filter(|db| db.phase == Phase::Busy).count();
        (self.clients.len(), self.connections.len(), busy)
    }
}
