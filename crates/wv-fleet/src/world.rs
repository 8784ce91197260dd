//! The world: events in order of virtual time.
use crate::base::Base;
use crate::nodes::{Access, Control, End};
use crate::{Luck, Oracle, MS, S};
use std::collections::{BTreeMap, BTreeSet};
use wv_access::Lost;
use wv_inner::Msg;

pub(crate) enum Ev {
    Care(usize),
    Timer(usize),
    Session(usize),
    ControlTick(usize),
    DbOpened { access: usize, db: u64, life: u64 },
    DbIn { base: usize, conn: u64, bytes: Vec<u8> },
    DbOut { access: usize, db: u64, bytes: Vec<u8>, life: u64 },
    DbEnd { access: usize, db: u64, lost: Lost, life: u64 },
    Replicate { from: usize, to: usize, len: usize },
    Apply { base: usize, len: usize },
    Beat { base: usize },
    Link { to: End, msg: Msg },
    LinkUp { control: usize, link: u64 },
    LinkDown { end: End },
    Row { control: usize, service: String, id: String, word: wv_promo::Word },
    Posted { control: usize, service: String, code: Option<u16> },
    Promote { base: usize },
    Free { base: usize, conn: u64 },
    Step { client: usize, life: u64 },
    HandUp { at: usize, link: u64, life: u64 },
    HandDown { at: usize, link: u64, life: u64 },
    Hand { at: usize, link: u64, life: u64, msg: wv_inner::Hand },
}

/// One way between any two processes.
pub(crate) const HOP: u64 = MS / 2;

pub struct World {
    pub now: u64,
    turn: u64,
    queue: BTreeMap<(u64, u64), Ev>,
    pub access: Vec<Access>,
    pub controls: Vec<Control>,
    pub bases: Vec<Base>,
    pub(crate) db_conns: BTreeMap<(usize, u64), (usize, u64)>,
    pub(crate) waiting: Vec<(usize, wv_wire::Pos, u64, String)>,
    pub(crate) next_conn: u64,
    pub(crate) clients: Vec<crate::clients::Client>,
    pub(crate) loads: Vec<crate::Load>,
    pub(crate) saids: BTreeMap<String, crate::clients::Said>,
    pub oracle: Oracle,
    pub luck: Luck,
    pub returns: BTreeMap<u64, (u16, Vec<u8>)>,
    pub fences: BTreeMap<String, u64>,
    pub posts: Vec<(String, String, u64, Option<u16>)>,
    pub is_platform_down: bool,
    pub promote_us: u64,
    /// Pairs of addresses between which nothing passes.
    pub cut: BTreeSet<(String, String)>,
    pub(crate) life: u64,
    /// The far ends of links between access nodes.
    pub(crate) hands: BTreeMap<(usize, u64), (usize, u64)>,
    /// The newest number of ownership that the course tells of, by shard.
    pub(crate) owners: BTreeMap<String, u64>,
    /// What happened, a line each, where a story or the replay wants it.
    pub course: Vec<(u64, String)>,
}

impl World {
    /// `access` access nodes, `controls` control nodes, and one service `s` of three databases.
    pub fn new(access: usize, controls: usize) -> World {
        World::of(access, controls, &["s".to_owned()])
    }

    /// The same with services of other names, three databases each.
    pub fn of(access: usize, controls: usize, services: &[String]) -> World {
        let mut world = World {
            now: S,
            turn: 0,
            queue: BTreeMap::new(),
            access: Vec::new(),
            controls: Vec::new(),
            bases: services.iter().flat_map(|service| (0..3).map(|at| Base::new(service, at))).collect(),
            db_conns: BTreeMap::new(),
            waiting: Vec::new(),
            next_conn: 0,
            clients: Vec::new(),
            loads: Vec::new(),
            saids: BTreeMap::new(),
            oracle: Oracle::default(),
            luck: Luck::new(7),
            returns: BTreeMap::new(),
            fences: BTreeMap::new(),
            posts: Vec::new(),
            is_platform_down: false,
            promote_us: 300 * MS,
            cut: BTreeSet::new(),
            life: 0,
            hands: BTreeMap::new(),
            owners: BTreeMap::new(),
            course: Vec::new(),
        };
        let addrs: Vec<String> = (0..controls).map(|at| format!("10.1.0.{}:80", at + 1)).collect();
        let seeds: Vec<String> = addrs.iter().take(3).cloned().collect();
        world.controls = addrs.iter().enumerate().map(|(at, addr)| Control::new(at, addr, &seeds)).collect();
        world.access = (0..access).map(Access::new).collect();
        (0..controls).for_each(|at| world.start_control(at, true));
        (0..access).for_each(|at| world.start_access(at));
        (0..world.bases.len()).for_each(|base| world.put(10 * MS, Ev::Beat { base }));
        world
    }

    pub(crate) fn put(&mut self, after: u64, event: Ev) {
        self.turn += 1;
        self.queue.insert((self.now + after, self.turn), event);
    }

    pub fn note(&mut self, text: impl Into<String>) {
        self.course.push((self.now, text.into()));
    }

    pub fn is_cut(&self, one: &str, other: &str) -> bool {
        self.cut.contains(&(one.to_owned(), other.to_owned())) || self.cut.contains(&(other.to_owned(), one.to_owned()))
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, us: u64) {
        let end = self.now + us;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.happen(event);
        }
        self.now = end;
    }

    fn happen(&mut self, event: Ev) {
        match event {
            Ev::Care(at) => {
                self.with_access(at, |core, now| core.housekeep(now));
                self.put(100 * MS, Ev::Care(at));
            }
            Ev::Timer(at) => {
                self.access[at].armed = u64::MAX;
                self.with_access(at, |core, now| core.tick(now));
            }
            Ev::Session(at) => self.session(at),
            Ev::ControlTick(at) => {
                self.with_control(at, |core, now| core.tick(now));
                self.put(100 * MS, Ev::ControlTick(at));
            }
            Ev::DbOpened { access, db, life } if life == self.access[access].life => {
                self.with_access(access, |core, now| core.db_opened(db, now));
            }
            Ev::DbOut { access, db, bytes, life } if life == self.access[access].life => {
                self.with_access(access, |core, now| core.db_data(db, &bytes, now));
            }
            Ev::DbEnd { access, db, lost, life } if life == self.access[access].life => {
                self.db_conns.remove(&(access, db));
                self.with_access(access, |core, now| core.db_lost(db, lost, now));
            }
            Ev::DbOpened { .. } | Ev::DbOut { .. } | Ev::DbEnd { .. } => {}
            Ev::DbIn { base, conn, bytes } => self.db_in(base, conn, &bytes),
            Ev::Replicate { from, to, len } => self.replicate(from, to, len),
            Ev::Apply { base, len } => {
                let held = &mut self.bases[base];
                held.applied = held.applied.max(len.min(held.log.len()));
            }
            Ev::Beat { base } => {
                self.beat(base);
                self.put(1200 * MS, Ev::Beat { base });
            }
            Ev::Link { to, msg } => self.link_msg(to, msg),
            Ev::LinkUp { control, link } => {
                self.with_control(control, |core, now| core.link_up(link, now));
            }
            Ev::LinkDown { end } => self.link_down(end),
            Ev::Row { control, service, id, word } => {
                self.with_control(control, |core, now| core.row(&service, &id, word, now));
            }
            Ev::Posted { control, service, code } => {
                self.with_control(control, |core, now| core.posted(&service, code, now));
            }
            Ev::Promote { base } => self.promote(base),
            Ev::Free { base, conn } => {
                self.bases[base].busy.remove(&conn);
            }
            Ev::HandUp { at, link, life } => {
                self.with_hand(at, life, |core, now| core.hand_up(link, now));
            }
            Ev::HandDown { at, link, life } => {
                self.hands.remove(&(at, link));
                self.with_hand(at, life, |core, now| core.hand_down(link, now));
            }
            Ev::Hand { at, link, life, msg } => {
                self.with_hand(at, life, |core, now| core.hand(link, msg, now));
            }
            Ev::Step { client, life } => self.step(client, life),
        }
    }

    /// A fleet that has its configuration and serves.
    pub fn serving(access: usize, controls: usize) -> World {
        let mut world = World::new(access, controls);
        world.run(2 * S);
        let token = world.call(0, "PUT", "/configuration", &World::conf(1));
        world.run(2 * S);
        assert_eq!(world.returns.get(&token).map(|ret| ret.0), Some(200), "the first configuration is taken");
        world
    }

    /// The database that leads.
    pub fn primary(&self) -> usize {
        self.bases.iter().position(|base| base.is_primary && base.is_up).unwrap_or(0)
    }

    /// Judges all that happened; the rules broken, none if all is well.
    pub fn judge(&mut self) -> Vec<String> {
        let mut newest: BTreeMap<&str, &Base> = BTreeMap::new();
        for base in self.bases.iter().filter(|base| base.is_primary) {
            let held = newest.entry(base.service.as_str()).or_insert(base);
            *held = if base.term > held.term { base } else { held };
        }
        let log: Vec<_> = newest.values().flat_map(|base| base.log.iter().cloned()).collect();
        self.oracle.judge(&log);
        std::mem::take(&mut self.oracle.broken)
    }
}
