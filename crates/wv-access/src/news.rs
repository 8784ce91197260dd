//! News from the control side, sightings for it, and the small regular care of pools.
use crate::core::Core;
use crate::types::Phase;
use std::rc::Rc;
use wv_check::{Spot, State};
use wv_inner::{Msg, News, Sighting};

/// Connections kept ready to the writer and to a reader in the own zone.
const WARM_WRITER: u32 = 2;
const WARM_READER: u32 = 1;
/// A database with work that says nothing for this long is looked at.
const SILENT_US: u64 = 250_000;
/// A connection is old after this.
const RECYCLE_US: u64 = 1_800_000_000;

impl Core {
    /// A feed message. A gap asks for the feed to be followed anew.
    pub fn feed(&mut self, msg: Msg, now: u64) -> Result<(), wv_feed::Gap> {
        self.now = self.now.max(now);
        if let Msg::Snapshot { news, .. } = &msg {
            let ids = news.iter().filter_map(|news| match news {
                News::Inst(inst) if !inst.gone => Some(inst.id.as_str()),
                _ => None,
            });
            self.checks.retain(&ids.collect());
        }
        let news = self.follower.take(msg)?;
        let taken: Result<(), wv_feed::Gap> = news.into_iter().try_for_each(|news| self.news(news));
        if taken.is_err() {
            self.follower = wv_feed::Follower::default();
        }
        self.serve_stranded();
        self.care();
        taken
    }

    fn news(&mut self, news: News) -> Result<(), wv_feed::Gap> {
        match news {
            News::Conf { sequence, body } => {
                let body = wv_pack::unpack(&body, wv_conf::BODY_MAX).map(std::borrow::Cow::into_owned);
                self.take_conf(sequence, body);
            }
            News::ConfChange { base, sequence, change } => {
                // Made of another one than is held here, it says nothing: the whole is asked for.
                if self.body.0 != base {
                    return Err(wv_feed::Gap);
                }
                let body = wv_pack::apply(&self.body.1, &change, wv_conf::BODY_MAX);
                if body.is_err() {
                    return Err(wv_feed::Gap);
                }
                self.take_conf(sequence, body);
            }
            News::Inst(inst) => {
                let is_new = self.checks.spot(&inst.id).is_none();
                let spot = self.checks.inst(&inst, self.now);
                // One that says it is slow from its start is eased in from the first word of it.
                if let Some(spot) = spot.filter(|_| is_new && inst.cold_us > 0) {
                    self.ease_in(spot, 1);
                }
                if let Some(spot) = spot.filter(|_| inst.gone || inst.draining) {
                    self.clear_idle(spot);
                }
            }
            News::Lead(lead) => {
                self.checks.lead(&lead, self.now);
                self.checks.find(&lead.service).into_iter().for_each(|service| {
                    self.promoting.remove(&service);
                });
            }
            News::Promoting { service, id, us } => {
                let service = self.checks.service(&service);
                self.promoting.insert(service, (self.now + us, id));
            }
            News::Ease { id, falls } => {
                self.checks.spot(&id).into_iter().for_each(|spot| self.ease_in(spot, falls));
            }
            News::Nodes(nodes) => self.nodes = nodes.max(1),
        }
        Ok(())
    }

    fn take_conf(&mut self, sequence: u64, body: Result<Vec<u8>, wv_pack::PackError>) {
        // A node never steps back within its life.
        if self.conf.as_ref().is_some_and(|held| held.sequence > sequence) {
            return;
        }
        let Ok(body) = body else { return };
        // Only checked configurations enter the feed; one that cannot be read here changes nothing.
        if let Ok(conf) = wv_conf::Conf::parse(&body) {
            conf.services.keys().for_each(|name| {
                self.checks.service(name);
            });
            self.conf = Some(Rc::new(conf));
            self.set_up_awaited();
        }
        self.body = (sequence, body);
    }

    fn clear_idle(&mut self, spot: Spot) {
        let idle = self.pools.get_mut(&spot).map(|pool| std::mem::take(&mut pool.idle)).unwrap_or_default();
        idle.into_iter().for_each(|db| self.close_db(db));
    }

    /// Where the feed stands here, for the next follow.
    pub fn place(&self) -> (u64, u64) {
        (self.follower.life, self.follower.place)
    }

    /// Sightings that changed since the last call; all of them with `is_whole`.
    pub fn take_sights(&mut self, is_whole: bool) -> Vec<Sighting> {
        if !std::mem::take(&mut self.sights_due) && !is_whole {
            return Vec::new();
        }
        let (now, pools) = (self.now, &self.pools);
        let mut sights = Vec::new();
        for (service, checker) in self.checks.iter() {
            let fenced = checker.fenced.settled();
            for (seat, member) in checker.members().filter(|(_, member)| !member.inst.gone) {
                let is_standing = pools.get(&Spot { service, seat }).is_some_and(|pool| pool.all > pool.opening);
                // Only what was seen is told: down once it is agreed on, up where a connection stands.
                let is_silent = !member.is_isolated() && member.sight == wv_inner::Sight::Dark;
                if !member.is_isolated() && !is_standing && !is_silent {
                    continue;
                }
                sights.push(Sighting {
                    id: member.inst.id.clone(),
                    sight: match (member.is_isolated(), is_silent) {
                        (true, _) => member.sight,
                        (false, true) => wv_inner::Sight::Silent,
                        (false, false) => wv_inner::Sight::Up,
                    },
                    since_us: now.saturating_sub(member.since),
                    fenced: fenced.map(|(_, pos)| pos.to_string()).unwrap_or_default(),
                    fenced_ago_us: fenced.map_or(0, |(sent, _)| now.saturating_sub(sent)),
                });
            }
        }
        sights
    }

    /// Regular care: warm connections, looks at isolated databases, sessions that are to end.
    pub fn housekeep(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.care();
        self.end_eases();
        self.listen_out();
        self.serve_stranded();
        self.serve_waiting_anywhere();
        self.leave_on();
    }

    /// A database that has work and says nothing on any connection is looked at with a new one: a slow one
    /// takes it, a dark one does not. The silence counts as the first sighting, the failed look as the second.
    fn listen_out(&mut self) {
        let now = self.now;
        let mut silent: Vec<Spot> = Vec::new();
        for db in self.dbs.values().filter(|db| db.phase == Phase::Busy) {
            let is_waiting = db.expects.front().is_some_and(|expect| expect.sent + SILENT_US < now);
            let is_quiet =
                self.pools.get(&db.spot).is_some_and(|pool| pool.heard + SILENT_US < now && pool.opening == 0);
            if is_waiting && is_quiet && !silent.contains(&db.spot) {
                silent.push(db.spot);
            }
        }
        for spot in silent {
            if self.open_db(spot) {
                self.checks.member_mut(spot).into_iter().for_each(|member| member.silent(now));
                self.sights_due = true;
            }
        }
    }

    fn care(&mut self) {
        if self.conf.is_none() {
            return;
        }
        let now = self.now;
        let mut wanted: Vec<(Spot, u32)> = Vec::new();
        for (service, checker) in self.checks.iter() {
            for (seat, member) in checker.members() {
                let spot = Spot { service, seat };
                let state = checker.state(seat, now);
                let is_next =
                    self.promoting.get(&service).is_some_and(|(until, id)| *until > now && *id == member.inst.id);
                let is_near = member.inst.zone == self.zone;
                match state {
                    State::Writer if !member.is_suspect() => wanted.push((spot, WARM_WRITER)),
                    // The next writer is made ready for before it leads.
                    State::Online if is_next => wanted.push((spot, WARM_WRITER)),
                    State::Online if is_near && !member.is_suspect() => wanted.push((spot, WARM_READER)),
                    // One that is in doubt is looked at, one connection at a time.
                    State::Isolated if member.next_look <= now => wanted.push((spot, 1)),
                    State::Writer | State::Online if member.is_suspect() => wanted.push((spot, 1)),
                    _ => {}
                }
            }
        }
        for (spot, count) in wanted {
            let is_isolated = self.checks.member(spot).is_some_and(|member| member.is_isolated());
            let (opening, standing) =
                self.pools.get(&spot).map_or((0, 0), |pool| (pool.opening, pool.idle.len() as u32 + pool.opening));
            let is_wanted = if is_isolated { opening == 0 } else { standing < count };
            if is_wanted && self.open_db(spot) {
                self.checks.member_mut(spot).into_iter().for_each(|member| member.looked(now));
            }
        }
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
            gone > self.grace_us * 3 / 4 || (gone > self.grace_us / 2 && self.clients.is_empty())
        })
    }

    fn leave_on(&mut self) {
        let Some(since) = self.leaving_since else { return };
        // The platform needs two misses before it sends no more clients here.
        if self.now < since + self.grace_us * 2 / 5 {
            return;
        }
        let resting: Vec<u64> = self
            .clients
            .iter()
            .filter(|(_, client)| !client.ask.is_open && client.txn.is_none() && client.inbuf.is_empty())
            .map(|(id, _)| *id)
            .collect();
        resting.into_iter().for_each(|id| self.close_client(id));
    }

    /// Closes one idle connection that has served for long, so that no state gathers on either side for ever.
    pub fn recycle(&mut self, now: u64) {
        self.now = self.now.max(now);
        let is_old = |db: &&u64| self.dbs.get(*db).is_some_and(|held| held.opened + RECYCLE_US < self.now);
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
