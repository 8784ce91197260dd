//! The world: events in order of virtual time.
use crate::base::Base;
pub(crate) use crate::events::Ev;
use crate::nodes::{Access, Control};
use crate::{Luck, Oracle, MS, S};
use std::collections::{BTreeMap, BTreeSet};

/// One way between any two processes.
pub(crate) const HOP: u64 = MS / 2;

/// Bytes, and how many of the messages told of a configuration.
#[derive(Clone, Copy, Default, Debug)]
pub struct Crossed {
    pub bytes: u64,
    pub confs: u64,
    /// The longest of them, in bytes.
    pub longest: u64,
    /// Parts of registers, for a disk that does not vote.
    pub parts: u64,
}

pub struct World {
    pub now: u64,
    turn: u64,
    queue: BTreeMap<(u64, u64), Ev>,
    pub access: Vec<Access>,
    pub controls: Vec<Control>,
    pub bases: Vec<Base>,
    pub(crate) db_conns: BTreeMap<(usize, u64), (usize, u64)>,
    pub(crate) waiting: Vec<(usize, wv_wire_protocol::LogPosition, u64, String)>,
    pub(crate) next_conn: u64,
    pub(crate) clients: Vec<crate::clients::Client>,
    /// Clients by the node they are at and their number there, and connections by the database's end of them.
    pub(crate) client_of: BTreeMap<(usize, u64), usize>,
    pub(crate) conn_of: BTreeMap<(usize, u64), (usize, u64)>,
    pub hour: crate::Hour,
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
    /// From whom nothing reaches whom, while the way back is open.
    pub one_way: BTreeSet<(String, String)>,
    pub(crate) life: u64,
    /// The far ends of links between access nodes.
    pub(crate) hands: BTreeMap<(usize, u64), (usize, u64)>,
    /// The newest number of ownership that the course tells of, by shard.
    pub(crate) owners: BTreeMap<String, u64>,
    /// Nodes that stand still, and what happens once they go on.
    pub(crate) frozen: BTreeSet<usize>,
    pub(crate) frozen_controls: BTreeSet<usize>,
    pub(crate) held_back: Vec<Ev>,
    /// Walls by direction, and what waits for them to fall.
    pub(crate) walls: BTreeMap<(String, String), u32>,
    pub(crate) walled: Vec<crate::walls::Held>,
    /// How long each event takes a slow process to come to, and when it comes to the last one.
    pub(crate) slow: BTreeMap<crate::walls::Node, (u64, u64)>,
    /// Databases that have said that they are gone, and say nothing more.
    pub gone: BTreeSet<usize>,
    /// Links fall silent as the executors' do; stories that only drop messages do without.
    pub(crate) is_wild: bool,
    pub(crate) tolerate: usize,
    /// Which control node, of which life, made each of the posts.
    pub(crate) posted_by: Vec<(u64, usize, u64)>,
    /// How long own texts are on their way.
    pub run_us: u64,
    /// The same for those that write copies.
    pub copy_us: u64,
    /// The time of day at which the world began.
    pub epoch_us: u64,
    /// How many things loads write to; 0 for a single one.
    pub things: u64,
    /// What came to each node over its links with control nodes, by its name, where a story weighs it.
    pub crossed: Option<BTreeMap<String, Crossed>>,
    pub(crate) leaves: crate::drain::Leaves,
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
        World::bearing(access, controls, services, 1)
    }

    /// The same, told that so many machines may be lost at once.
    pub fn bearing(access: usize, controls: usize, services: &[String], tolerate: usize) -> World {
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
            client_of: BTreeMap::new(),
            conn_of: BTreeMap::new(),
            hour: Default::default(),
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
            one_way: BTreeSet::new(),
            life: 0,
            hands: BTreeMap::new(),
            owners: BTreeMap::new(),
            course: Vec::new(),
            frozen: BTreeSet::new(),
            frozen_controls: BTreeSet::new(),
            held_back: Vec::new(),
            walls: BTreeMap::new(),
            walled: Vec::new(),
            slow: BTreeMap::new(),
            gone: BTreeSet::new(),
            is_wild: false,
            tolerate,
            posted_by: Vec::new(),
            run_us: 2 * MS,
            copy_us: 2 * MS,
            epoch_us: 0,
            things: 0,
            crossed: None,
            leaves: Default::default(),
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
        self.is_lossy(one, other) || self.is_walled(one, other)
    }

    /// Whether what is under way between the two is lost, other than at a wall.
    pub(crate) fn is_lossy(&self, one: &str, other: &str) -> bool {
        self.cut.contains(&(one.to_owned(), other.to_owned())) || self.cut.contains(&(other.to_owned(), one.to_owned()))
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, us: u64) {
        let end = self.now + us;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            if self.has_frozen() && self.is_held_back(&event) {
                self.held_back.push(event);
                continue;
            }
            self.put_off(event).into_iter().for_each(|event| self.happen(event));
        }
        self.now = end;
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
