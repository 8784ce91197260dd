//! The small regular care of pools, and configurations as they come into force.
use crate::core::Core;
use crate::types::{DbConnection, Pending, Phase, Reply};
use std::rc::Rc;
use wv_health::{Spot, State};

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
    pub(crate) fn take_conf(&mut self, version: u64, body: Result<Vec<u8>, wv_compression::PackError>) {
        let held = self.conf.clone();
        // A node never steps back within its life.
        if held.as_ref().is_some_and(|held| held.version > version) {
            return;
        }
        let Ok(body) = body else { return };
        // Told again after a session came to its end, what is held changes nothing.
        if self.conf_body.0 == version {
            if self.conf_body.1[..] != body[..] {
                // Cannot be while registers are decided once: a fault to be looked into, not passed over.
                log::error!("number {version} stands with two contents");
            }
            return;
        }
        let read = held.as_ref().map_or_else(|| wv_configuration::Conf::parse(&body), |held| held.renew(&body));
        // Only checked configurations enter the feed; one that cannot be read here changes nothing.
        let Ok(conf) = read else {
            self.conf_body = (version, body.into());
            return;
        };
        self.conf_body = (version, conf.body().clone());
        if held.as_ref().is_none_or(|held| !Rc::ptr_eq(&held.services, &conf.services)) {
            conf.services.keys().for_each(|name| {
                self.checks.service(name);
            });
        }
        self.set_tenants(&conf, held.as_deref());
        self.set_plans(&conf);
        self.conf = Some(Rc::new(conf));
        self.complete_pending_setups();
    }

    /// Regular care: warm connections, looks at isolated databases, sessions that are to end.
    pub fn housekeep(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.drain.stalls.observe(self.now);
        let settled = self.checks.settle_leads(now);
        settled.iter().for_each(|service| self.refit(service));
        self.care();
        self.end_eases();
        self.trim();
        self.listen_out();
        self.end_unanswered();
        self.dispatch_unplaced();
        self.serve_all_queues();
        self.leave_on();
    }

    /// More nodes came: idle connections beyond the share that is left are given up at once, not when they are next
    /// used. Others wait for them.
    fn trim(&mut self) {
        let over = |(spot, pool): (&Spot, &crate::core::Pool)| {
            let is_left =
                self.has_many_databases && self.has_small_share(*spot) && pool.last_used_at + USED_TIGHT_US < self.now;
            let count = if is_left {
                pool.idle.len()
            } else {
                pool.total.saturating_sub(self.connection_limit(*spot)) as usize
            };
            pool.idle.iter().take(count).copied().collect::<Vec<u64>>()
        };
        let over: Vec<u64> = self.pools.iter().flat_map(over).collect();
        over.into_iter().for_each(|db| self.close_db(db));
    }

    /// Whether this node works with the service's writer, or did of late.
    fn has_work(&self, service: u16, spot: Spot) -> bool {
        let span = if self.has_small_share(spot) { USED_TIGHT_US } else { USED_US };
        !self.has_many_databases || self.last_write_at.get(&service).is_some_and(|at| at + span > self.now)
    }

    /// A database that has work and says nothing on any connection is looked at with a new one: a slow one
    /// takes it, a dark one does not. The silence counts as the first sighting, the failed look as the second.
    fn listen_out(&mut self) {
        let now = self.now;
        let mut silent: Vec<Spot> = Vec::new();
        for db in self.dbs.values().filter(|db| db.phase == Phase::Busy) {
            let is_waiting = db.pending.front().is_some_and(|expect| expect.sent_at + SILENT_US < now);
            let is_quiet =
                self.pools.get(&db.spot).is_some_and(|pool| pool.last_data_at + SILENT_US < now && pool.opening == 0);
            if is_waiting && is_quiet && !silent.contains(&db.spot) {
                silent.push(db.spot);
            }
        }
        for spot in silent {
            if self.open_probe(spot) {
                self.checks.member_mut(spot).into_iter().for_each(|member| member.silent(now));
                self.is_health_report_due = true;
            }
        }
    }

    /// Where the return to an own statement was lost the connection would be nobody's for ever, and its place taken.
    fn end_unanswered(&mut self) {
        let is_own = |expect: &Pending| !matches!(expect.kind, Reply::Request { .. } | Reply::Begin { .. });
        let is_lost = |held: &DbConnection| {
            held.pending.front().is_some_and(|expect| expect.sent_at + OWN_US < self.now)
                && held.pending.iter().all(is_own)
        };
        let lost: Vec<u64> = self.dbs.iter().filter(|(_, held)| is_lost(held)).map(|(db, _)| *db).collect();
        lost.into_iter().for_each(|db| self.fail_db(db));
    }

    pub(crate) fn care(&mut self) {
        if self.conf.is_none() {
            return;
        }
        let now = self.now;
        self.has_many_databases = self.checks.iter().map(|(_, checker)| checker.members().count()).sum::<usize>() > FEW;
        let warm = if self.has_many_databases { 1 } else { WARM_WRITER };
        let mut wanted: Vec<(Spot, u32)> = Vec::new();
        for (service, checker) in self.checks.iter() {
            for (seat, member) in checker.members() {
                let spot = Spot { service, seat };
                let state = checker.state(seat, now);
                let is_next =
                    self.promoting.get(&service).is_some_and(|(until, id)| *until > now && *id == member.inst.id);
                let is_near = member.inst.zone == self.zone;
                match state {
                    State::Writer if !member.is_suspect() && self.has_work(service, spot) => wanted.push((spot, warm)),
                    // The next writer is made ready for before it leads.
                    State::Online if is_next && self.has_work(service, spot) => wanted.push((spot, warm)),
                    State::Online if is_near && !self.has_many_databases && !member.is_suspect() => {
                        wanted.push((spot, WARM_READER))
                    }
                    // One that is in doubt is looked at, one connection at a time.
                    State::Isolated if member.next_look <= now => wanted.push((spot, 1)),
                    State::Writer | State::Online if member.is_suspect() => wanted.push((spot, 1)),
                    _ => {}
                }
            }
        }
        for (spot, count) in wanted {
            let is_isolated = self.checks.member(spot).is_some_and(|member| member.is_isolated());
            let (opening, standing) = self
                .pools
                .get(&spot)
                .map_or((0, 0), |pool| (pool.opening, (pool.idle.len() + pool.newer_term.len()) as u32 + pool.opening));
            let is_wanted = if is_isolated { opening == 0 } else { standing < count };
            let is_opened = is_wanted && if is_isolated { self.open_probe(spot) } else { self.open_db(spot) };
            if is_opened {
                self.checks.member_mut(spot).into_iter().for_each(|member| member.looked(now));
            }
        }
    }
}
