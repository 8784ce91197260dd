//! Plays a nemesis day: events begin and end at their times, operators and readers go about their work meanwhile.
use super::operator::Operators;
use super::{Day, Event, History, Post, Seen};
use crate::{Rng, Simulation, MS, S};
use std::collections::{BTreeMap, BTreeSet};

/// How often operators listen and versions are looked at.
const STEP: u64 = 5 * MS;
const READ_EVERY: u64 = 300 * MS;
/// A process that could not start is started again.
const AGAIN: u64 = 500 * MS;

/// What comes later of an event that began.
#[derive(Clone, Debug)]
pub(super) enum Todo {
    End(Event),
    /// A node's process is killed, for good or not.
    Kill(String, bool),
    /// A database says that it is gone, and ends.
    Delete(usize),
    Gone(usize),
}

pub(super) struct Player {
    pub world: Simulation,
    pub luck: Rng,
    pub history: History,
    pub operators: Operators,
    pub todo: BTreeMap<(u64, u64), Todo>,
    turn: u64,
    /// Walls by the event that put them up.
    pub walls: BTreeMap<(u64, String), Vec<(String, String)>>,
    /// Nodes that are meant to be down, and those that never come back.
    pub down: BTreeSet<String>,
    pub gone: BTreeSet<String>,
    /// DELETEs that nobody has acknowledged yet: the database, its call, and when that was made.
    pub deletes: Vec<(usize, u64, u64)>,
    held: BTreeMap<(usize, u64), u64>,
    read_at: u64,
    again_at: u64,
}

/// Plays the day to its end, a calm included, and returns what everybody wrote down.
pub fn play(day: &Day) -> History {
    let bears = (day.core.min(7) - 1) / 2;
    let mut world = Simulation::with_tolerance(day.access, day.core, &["s".to_owned()], bears.max(1));
    world.has_link_timeouts = true;
    world.rng = Rng::new(day.seed ^ 0x5eed);
    (0..day.thin).for_each(|_| {
        world.add_diskless_control();
    });
    let mut player = Player {
        operators: Operators::new(day.seed),
        luck: Rng::new(day.seed),
        history: History::default(),
        todo: BTreeMap::new(),
        turn: 0,
        walls: BTreeMap::new(),
        down: BTreeSet::new(),
        gone: BTreeSet::new(),
        deletes: Vec::new(),
        held: BTreeMap::new(),
        read_at: 0,
        again_at: 0,
        world,
    };
    player.run(2 * S);
    player.order("c0");
    player.run(S);
    player.world.start_load(4, "p");
    player.world.start_load(2, "b");
    player.run(2 * S);
    let start = player.world.now;
    for event in &day.events {
        let at = start + event.at_ms * MS;
        player.run(at.saturating_sub(player.world.now));
        player.luck = Rng::new(day.seed ^ event.at_ms);
        player.begin(event);
    }
    // What still goes on ends at its time.
    while let Some(((at, _), _)) = player.todo.last_key_value() {
        let rest = at.saturating_sub(player.world.now);
        player.run(rest + STEP);
    }
    player.calm(day.bound);
    player.end()
}

impl Player {
    pub(super) fn later(&mut self, after: u64, todo: Todo) {
        self.turn += 1;
        self.todo.insert((self.world.now + after, self.turn), todo);
    }

    /// Lets time pass.
    pub(super) fn run(&mut self, us: u64) {
        let end = self.world.now + us;
        while self.world.now < end {
            let due = self.todo.first_key_value().map_or(u64::MAX, |((at, _), _)| *at);
            let next = (self.world.now + STEP).min(end).min(due.max(self.world.now));
            self.world.run(next - self.world.now);
            while let Some(entry) = self.todo.first_entry().filter(|entry| entry.key().0 <= self.world.now) {
                let todo = entry.remove();
                self.go_on(todo);
            }
            self.look();
        }
    }

    /// Operators listen, versions are looked at, what could not start is started again.
    fn look(&mut self) {
        let now = self.world.now;
        self.operators.listen(&mut self.world, &mut self.history, &self.gone);
        if self.read_at <= now {
            self.read_at = now + READ_EVERY;
            self.operators.read(&mut self.world, &self.gone);
        }
        for (at, node) in self.world.access.iter().enumerate() {
            let Some(core) = node.core.as_ref() else { continue };
            let version = core.held_configuration_version();
            if self.held.insert((at, node.incarnation), version) != Some(version) {
                let seen = Seen { node: node.name.clone(), life: node.incarnation, at: now, version };
                self.history.seen.push(seen);
            }
        }
        for base in self.world.databases.iter().filter(|base| base.is_primary && base.is_up) {
            let lead = (base.service.clone(), base.term, base.id.clone());
            if !self.history.leads.contains(&lead) {
                self.history.leads.push(lead);
            }
        }
        self.insist_gone();
        if self.again_at <= now {
            self.again_at = now + AGAIN;
            let dead = |at: &usize| self.world.controls[*at].core.is_none();
            let is_meant = |at: &usize| {
                let name = &self.world.controls[*at].name;
                self.down.contains(name) || self.gone.contains(name)
            };
            let dead: Vec<usize> = (0..self.world.controls.len()).filter(dead).filter(|at| !is_meant(at)).collect();
            dead.into_iter().for_each(|at| self.start_control(at));
        }
    }

    /// A database that leaves says so until somebody has heard it.
    fn insist_gone(&mut self) {
        let now = self.world.now;
        for (base, token, at) in std::mem::take(&mut self.deletes) {
            let is_heard = self.world.responses.get(&token).is_some_and(|ret| ret.0 / 100 == 2);
            match at + 300 * MS <= now {
                _ if is_heard => {}
                true => self.say_gone(base),
                false => self.deletes.push((base, token, at)),
            }
        }
    }

    pub(super) fn say_gone(&mut self, base: usize) {
        let path = format!("/instances/{}", self.world.databases[base].id);
        let up = |at: &usize| self.world.controls[*at].core.is_some();
        let up: Vec<usize> = (0..self.world.controls.len()).filter(up).collect();
        let to = up.get(self.luck.below(up.len() as u64) as usize).copied();
        let token = to.map_or(0, |to| self.world.call(to, "DELETE", &path, b""));
        self.deletes.push((base, token, self.world.now));
    }

    fn end(mut self) -> History {
        self.world.stop_load();
        self.run(crate::SETTLE_US);
        let (done, failed) = self.world.load_counts();
        (self.history.done, self.history.failed) = (done, failed);
        // Without a lead there is no log to judge by; that there is none is a matter of the calm.
        let has_lead = self.world.databases.iter().any(|base| base.is_primary);
        self.history.statements = match has_lead {
            true => self.world.check_rules(),
            false => std::mem::take(&mut self.world.oracle.violations),
        };
        let posts = self.world.promotion_calls.iter().zip(&self.world.promotion_callers);
        let post =
            |((service, id, fence, code), (at, control, life)): (&(String, String, u64, Option<u16>), &_)| Post {
                at: *at,
                holder: (*control, *life),
                service: service.clone(),
                id: id.clone(),
                fence: *fence,
                code: *code,
            };
        self.history.posts = posts.map(post).collect();
        self.history.course = std::mem::take(&mut self.world.event_log);
        self.history
    }
}
