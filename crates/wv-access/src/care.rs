//! The small regular care of pools, and configurations as they come into force.
use crate::core::Core;
use crate::types::{Db, Expect, Phase, What};
use std::rc::Rc;
use wv_health::{DatabaseKey, State};

/// Connections kept ready to the writer and to a reader in the own zone.
const WARM_WRITER: u32 = 2;
const WARM_READER: u32 = 1;
/// Where there are more databases than this, none is kept ready that has not been used: what a node opens grows with
/// its own traffic. One connection stands to the writers that it worked with of late, so that their end is seen.
const FEW: usize = 16;
const USED_US: u64 = 30_000_000;
/// The same, and how long an idle connection is kept, where a node's share is small: others need it.
const USED_TIGHT_US: u64 = 10_000_000;
/// A database with work that says nothing for this long is looked at.
const SILENT_US: u64 = 250_000;
/// An own statement that no client waits for, a set-up too, is taken for lost after this.
const OWN_US: u64 = 3_000_000;

impl Core {
    pub(crate) fn take_conf(&mut self, version: u64, body: Result<Vec<u8>, wv_compression::CompressionError>) {
        let held = self.conf.clone();
        // A node never steps back within its life.
        if held.as_ref().is_some_and(|held| held.version > version) {
            return;
        }
        let Ok(body) = body else { return };
        // Told again after a session came to its end, what is held changes nothing.
        if self.body.0 == version {
            if self.body.1[..] != body[..] {
                // Cannot be while registers are decided once: a fault to be looked into, not passed over.
                log::error!("number {version} stands with two contents");
            }
            return;
        }
        let read = held
            .as_ref()
            .map_or_else(|| wv_configuration::Configuration::parse(&body), |held| held.parse_incremental(&body));
        // Only checked configurations enter the feed; one that cannot be read here changes nothing.
        let Ok(conf) = read else {
            self.body = (version, body.into());
            return;
        };
        self.body = (version, conf.body().clone());
        if held.as_ref().is_none_or(|held| !Rc::ptr_eq(&held.services, &conf.services)) {
            conf.services.keys().for_each(|name| {
                self.checks.intern_service(name);
            });
        }
        self.set_tenants(&conf, held.as_deref());
        self.set_plans(&conf);
        self.conf = Some(Rc::new(conf));
        self.set_up_awaited();
    }

    /// Regular care: warm connections, looks at isolated databases, sessions that are to end.
    pub fn housekeep(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.drain.stalls.observe(self.now);
        let settled = self.checks.apply_fallback_leaders(now);
        settled.iter().for_each(|service| self.refit(service));
        self.care();
        self.end_eases();
        self.trim();
        self.listen_out();
        self.end_unanswered();
        self.serve_stranded();
        self.serve_waiting_anywhere();
        self.leave_on();
    }

    /// More nodes came: idle connections beyond the share that is left are given up at once, not when they are next
    /// used. Others wait for them.
    fn trim(&mut self) {
        let over = |(spot, pool): (&DatabaseKey, &crate::core::Pool)| {
            let is_left = self.is_many && self.is_tight(*spot) && pool.used + USED_TIGHT_US < self.now;
            let count = if is_left { pool.idle.len() } else { pool.all.saturating_sub(self.cap(*spot)) as usize };
            pool.idle.iter().take(count).copied().collect::<Vec<u64>>()
        };
        let over: Vec<u64> = self.pools.iter().flat_map(over).collect();
        over.into_iter().for_each(|db| self.close_db(db));
    }

    /// Whether this node works with the service's writer, or did of late.
    fn has_work(&self, service: u16, spot: DatabaseKey) -> bool {
        let span = if self.is_tight(spot) { USED_TIGHT_US } else { USED_US };
        !self.is_many || self.written.get(&service).is_some_and(|at| at + span > self.now)
    }

    /// A database that has work and says nothing on any connection is looked at with a new one: a slow one
    /// takes it, a dark one does not. The silence counts as the first sighting, the failed look as the second.
    fn listen_out(&mut self) {
        let now = self.now;
        let mut silent: Vec<DatabaseKey> = Vec::new();
        for db in self.dbs.values().filter(|db| db.phase == Phase::Busy) {
            let is_waiting = db.expects.front().is_some_and(|expect| expect.sent + SILENT_US < now);
            let is_quiet =
                self.pools.get(&db.spot).is_some_and(|pool| pool.heard + SILENT_US < now && pool.opening == 0);
            if is_waiting && is_quiet && !silent.contains(&db.spot) {
                silent.push(db.spot);
            }
        }
        for spot in silent {
            if self.open_look(spot) {
                self.checks.database_mut(spot).into_iter().for_each(|member| member.on_timeout(now));
                self.sights_due = true;
            }
        }
    }

    /// Where the return to an own statement was lost the connection would be nobody's for ever, and its place taken.
    fn end_unanswered(&mut self) {
        let is_own = |expect: &Expect| !matches!(expect.what, What::Request { .. } | What::Begin { .. });
        let is_lost = |held: &Db| {
            held.expects.front().is_some_and(|expect| expect.sent + OWN_US < self.now)
                && held.expects.iter().all(is_own)
        };
        let lost: Vec<u64> = self.dbs.iter().filter(|(_, held)| is_lost(held)).map(|(db, _)| *db).collect();
        lost.into_iter().for_each(|db| self.break_db(db));
    }

    pub(crate) fn care(&mut self) {
        if self.conf.is_none() {
            return;
        }
        let now = self.now;
        self.is_many = self.checks.iter().map(|(_, checker)| checker.databases().count()).sum::<usize>() > FEW;
        let warm = if self.is_many { 1 } else { WARM_WRITER };
        let mut wanted: Vec<(DatabaseKey, u32)> = Vec::new();
        for (service, checker) in self.checks.iter() {
            for (seat, member) in checker.databases() {
                let spot = DatabaseKey { service, index: seat };
                let state = checker.state(seat, now);
                let is_next =
                    self.promoting.get(&service).is_some_and(|(until, id)| *until > now && *id == member.instance.id);
                let is_near = member.instance.zone == self.zone;
                match state {
                    State::Writer if !member.is_suspect() && self.has_work(service, spot) => wanted.push((spot, warm)),
                    // The next writer is made ready for before it leads.
                    State::Online if is_next && self.has_work(service, spot) => wanted.push((spot, warm)),
                    State::Online if is_near && !self.is_many && !member.is_suspect() => {
                        wanted.push((spot, WARM_READER))
                    }
                    // One that is in doubt is looked at, one connection at a time.
                    State::Isolated if member.next_probe_at <= now => wanted.push((spot, 1)),
                    State::Writer | State::Online if member.is_suspect() => wanted.push((spot, 1)),
                    _ => {}
                }
            }
        }
        for (spot, count) in wanted {
            let is_isolated = self.checks.database(spot).is_some_and(|member| member.is_isolated());
            let (opening, standing) = self
                .pools
                .get(&spot)
                .map_or((0, 0), |pool| (pool.opening, (pool.idle.len() + pool.early.len()) as u32 + pool.opening));
            let is_wanted = if is_isolated { opening == 0 } else { standing < count };
            let is_opened = is_wanted && if is_isolated { self.open_look(spot) } else { self.open_db(spot) };
            if is_opened {
                self.checks.database_mut(spot).into_iter().for_each(|member| member.on_probe(now));
            }
        }
    }
}
