//! Feed updates from the control side, sightings for it, and the small regular care of pools.
use crate::core::Core;
use crate::types::Phase;
use wv_health::Spot;
use wv_internal_protocol::{FeedUpdate, Message};

/// A connection is old after this.
const RECYCLE_US: u64 = 1_800_000_000;

impl Core {
    /// A feed message. A gap asks for the feed to be followed anew.
    pub fn feed(&mut self, msg: Message, now: u64) -> Result<(), wv_change_feed::Gap> {
        self.now = self.now.max(now);
        self.drain.stalls.observe(self.now);
        if let Message::Snapshot { updates: news, .. } = &msg {
            let ids = news.iter().filter_map(|news| match news {
                FeedUpdate::Instance(inst) if !inst.gone => Some(inst.id.as_str()),
                _ => None,
            });
            self.checks.retain(&ids.collect(), self.now);
        }
        let news = self.follower.take(msg);
        let taken = news.and_then(|news| news.into_iter().try_for_each(|news| self.news(news)));
        self.dispatch_unplaced();
        self.care();
        // Asked for once, not again with each change that was under way already.
        taken.or_else(|gap| if self.follower.ask(self.now) { Err(gap) } else { Ok(()) })
    }

    fn news(&mut self, news: FeedUpdate) -> Result<(), wv_change_feed::Gap> {
        match news {
            FeedUpdate::Configuration { version, body } => {
                let body = wv_compression::unpack(&body, wv_configuration::BODY_MAX).map(std::borrow::Cow::into_owned);
                self.take_conf(version, body);
            }
            FeedUpdate::ConfigurationDelta { base, version, delta: change } => {
                // What is held here is as new: this node stays with it, and goes on with the feed.
                if version <= self.conf_body.0 {
                    return Ok(());
                }
                // Made of another one than is held here, it says nothing: the whole is asked for.
                if self.conf_body.0 != base {
                    return Err(wv_change_feed::Gap);
                }
                let body = wv_compression::apply(&self.conf_body.1, &change, wv_configuration::BODY_MAX);
                if body.is_err() {
                    return Err(wv_change_feed::Gap);
                }
                self.take_conf(version, body);
            }
            FeedUpdate::Instance(inst) => {
                let is_new = self.checks.spot(&inst.id).is_none();
                let since = self.leaving_since(&inst);
                let spot = self.checks.inst(&inst, since, self.now);
                // One that says it is slow from its start is eased in from the first word of it.
                if let Some(spot) = spot.filter(|_| is_new && inst.cold_left_us > 0) {
                    self.ease_in(spot, 1);
                }
                if let Some(spot) = spot.filter(|_| inst.gone || inst.draining) {
                    self.clear_idle(spot);
                }
            }
            FeedUpdate::Leader(lead) => {
                if !self.checks.lead(&lead, self.now) {
                    return Ok(());
                }
                self.refit(&lead.service);
                self.checks.find(&lead.service).into_iter().for_each(|service| {
                    self.promoting.remove(&service);
                });
            }
            FeedUpdate::Promoting { service, id, max_wait_us: us } => {
                let service = self.checks.service(&service);
                self.promoting.insert(service, (self.now + us, id));
            }
            FeedUpdate::SlowStart { id, outages: falls } => {
                self.checks.spot(&id).into_iter().for_each(|spot| self.ease_in(spot, falls));
            }
            FeedUpdate::Owner(owner) => self.own(owner),
            FeedUpdate::Slots(map) => self.take_slots(map),
            FeedUpdate::NodeCount(nodes) => self.node_count = nodes.max(1),
        }
        Ok(())
    }

    fn clear_idle(&mut self, spot: Spot) {
        let idle = self.pools.get_mut(&spot).map(|pool| std::mem::take(&mut pool.idle)).unwrap_or_default();
        idle.into_iter().for_each(|db| self.close_db(db));
    }

    /// The version of the configuration that is held, 0 for none.
    pub fn conf_version(&self) -> u64 {
        self.conf_body.0
    }

    /// Where the feed stands here, for the next follow.
    pub fn place(&self) -> (u64, u64) {
        (self.follower.life, self.follower.place)
    }

    pub fn set_grace(&mut self, grace_us: u64) {
        self.grace_us = grace_us;
    }

    /// SIGTERM: ready no more; what is open may end.
    pub fn leave(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.leaving_since.get_or_insert(self.now);
    }

    /// After `leave`: whether the node has nothing left to do or no time to do it.
    pub fn is_done(&self) -> bool {
        self.leaving_since.is_some_and(|since| {
            let gone = self.now.saturating_sub(since);
            gone > self.grace_us * 15 / 16 || (gone > self.grace_us / 2 && self.clients.is_empty())
        })
    }

    pub(crate) fn leave_on(&mut self) {
        let Some(since) = self.leaving_since else { return };
        let gone = self.now.saturating_sub(since);
        // The platform needs two misses before it sends no more clients here.
        if gone < self.grace_us * 2 / 5 {
            return;
        }
        // Nobody is left without an answer: what is still open shortly before the end is answered for as at its limit.
        if gone >= self.grace_us * 7 / 8 {
            let open = self.clients.iter().filter(|(_, client)| client.request.is_open);
            for id in open.map(|(id, _)| *id).collect::<Vec<u64>>() {
                self.end_now(id);
            }
        }
        let is_late = gone >= self.grace_us * 3 / 4;
        let is_resting = |client: &crate::types::Client| !client.request.is_open && client.inbuf.is_empty();
        let resting = |(id, client): (&u64, &crate::types::Client)| {
            (is_resting(client) && (is_late || client.txn.is_none())).then_some(*id)
        };
        let resting: Vec<u64> = self.clients.iter().filter_map(resting).collect();
        resting.into_iter().for_each(|id| self.close_client(id));
    }

    fn end_now(&mut self, id: u64) {
        let now = self.now;
        let Some(request) = self.clients.get_mut(&id).map(|client| &mut client.request) else { return };
        (request.deadline, request.client_deadline) = (now, now);
        let number = request.sequence;
        self.expire_request(id, number);
    }

    /// Closes one idle connection that has served for long, so that no state gathers on either side for ever.
    pub fn recycle(&mut self, now: u64) {
        self.now = self.now.max(now);
        let is_old = |db: &&u64| self.dbs.get(*db).is_some_and(|held| held.opened_at + RECYCLE_US < self.now);
        let old = self.pools.values().flat_map(|pool| pool.idle.iter()).find(is_old).copied();
        old.into_iter().for_each(|db| self.close_db(db));
    }

    /// Each database and its routing state here.
    pub fn routes(&self) -> Vec<(String, String)> {
        let states = self.checks.iter().flat_map(|(_, checker)| {
            checker.members().map(|(seat, member)| {
                (member.inst.id.clone(), format!("{:?}", checker.state(seat, self.now)).to_lowercase())
            })
        });
        states.collect()
    }

    /// Counts for the log: clients, connections, busy ones.
    pub fn counts(&self) -> (usize, usize, usize) {
        let busy = self.dbs.values().filter(|db| db.phase == Phase::Busy).count();
        (self.clients.len(), self.dbs.len(), busy)
    }
}
