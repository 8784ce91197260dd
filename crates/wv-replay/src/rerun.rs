//! A recorded hour played again through the in-memory fleet, with nodes dropped on the way.
use crate::hour::{Entry, Hour, HourError};
use crate::tally::{Tally, Told};
use std::collections::BTreeMap;
use wv_simulation::{Simulation, MS, S};

/// The fleet finds itself before the hour begins.
const BEFORE_US: u64 = 4 * S;
const STEP_US: u64 = 20 * MS;
/// A takeover that takes longer than this is taken for none.
const TAKEOVER_US: u64 = 20 * S;
/// An error names no more than this of a kind.
const NAMED_MAX: usize = 24;

/// A node that is dropped, and when it comes back.
#[derive(Clone, PartialEq, Debug)]
pub struct Drop {
    pub node: String,
    pub at_us: u64,
    pub back_us: Option<u64>,
}

impl std::str::FromStr for Drop {
    type Err = HourError;

    /// `NODE@SECONDS` or `NODE@SECONDS:SECONDS`, the second for its return.
    fn from_str(text: &str) -> Result<Drop, HourError> {
        let wrong = || HourError::Drop(text.to_owned(), "expected NODE@SECONDS or NODE@SECONDS:SECONDS".to_owned());
        let (node, times) = text.rsplit_once('@').ok_or_else(wrong)?;
        let us = |word: &str| -> Result<u64, HourError> {
            let seconds: f64 = word.parse().map_err(|_| wrong())?;
            (0.0..=1e6).contains(&seconds).then_some((seconds * 1e6) as u64).ok_or_else(wrong)
        };
        let (at, back) = times.split_once(':').map_or((times, None), |(at, back)| (at, Some(back)));
        let drop = Drop { node: node.to_owned(), at_us: us(at)?, back_us: back.map(us).transpose()? };
        (drop.back_us.is_none_or(|back| back > drop.at_us) && !drop.node.is_empty()).then_some(drop).ok_or_else(wrong)
    }
}

/// How an hour is played.
#[derive(Clone, Debug)]
pub struct Course {
    pub drops: Vec<Drop>,
    pub controls: usize,
    pub from_us: u64,
    pub until_us: u64,
    pub seed: u64,
    /// How long a statement takes a database.
    pub work_us: u64,
    /// What members tolerate of browsing, at the 99th of a hundred.
    pub browse_us: Option<u64>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Target {
    Access(usize),
    Control(usize),
    Base(usize),
}

struct Player<'a> {
    world: Simulation,
    nodes: Vec<String>,
    course: &'a Course,
    start: u64,
    told: Vec<Told>,
}

/// Plays `hour`; the same hour and course give the same tally.
pub fn rerun(hour: &Hour, course: &Course) -> Result<Tally, HourError> {
    let nodes = hour.nodes();
    let mut services: Vec<String> = Vec::new();
    for noted in &hour.events {
        if let Entry::Open { service, .. } = &noted.entry {
            if !services.contains(service) {
                services.push(service.clone());
            }
        }
    }
    services.sort();
    if nodes.is_empty() || services.is_empty() {
        return Err(HourError::Setting("the recording names no nodes, or nobody came in it".to_owned()));
    }
    let mut world = Simulation::with_services(nodes.len(), course.controls, &services);
    (world.key_count, world.rng) = (10_000, wv_simulation::Rng::new(course.seed));
    world.databases.iter_mut().for_each(|base| base.statement_us = course.work_us);
    world.run(2 * S);
    let token = world.call(0, "PUT", "/configuration", &Simulation::config_for(1, &services));
    world.run(BEFORE_US - 2 * S);
    if world.responses.get(&token).map(|ret| ret.0) != Some(200) {
        return Err(HourError::Setting("the fleet of the replay did not come up".to_owned()));
    }
    let start = world.now;
    let mut player = Player { world, nodes, course, start, told: Vec::new() };
    let targets: Vec<(Drop, Target)> =
        course.drops.iter().map(|drop| Ok((drop.clone(), player.target(drop)?))).collect::<Result<_, HourError>>()?;
    let end = player.enter(hour, &services)?;
    player.play(&targets, end);
    let names = hour.head.get("kinds").cloned().unwrap_or_default();
    let hour = std::mem::take(&mut player.world.workload);
    let broken = player.world.check_rules();
    let promotions = player.world.promotion_calls.iter().filter(|post| post.3 == Some(200)).count();
    let unsure = player.world.oracle.indeterminate;
    let context =
        crate::tally::Context { nodes: player.nodes, start, told: player.told, names, browse_us: course.browse_us };
    Ok(Tally::new(hour, context, broken, promotions, unsure))
}

impl Player<'_> {
    fn target(&self, drop: &Drop) -> Result<Target, HourError> {
        let name = drop.node.as_str();
        let numbered = |letter: char, count: usize| {
            name.strip_prefix(letter).and_then(|rest| rest.parse::<usize>().ok()).filter(|at| *at < count)
        };
        let access = self.nodes.iter().position(|node| node == name).map(Target::Access);
        let base = || self.world.database_index(&format!("i-{name}")).map(Target::Base);
        let found = access.or_else(base).or_else(|| numbered('c', self.world.controls.len()).map(Target::Control));
        found.ok_or_else(|| {
            let bases = self.world.databases.iter().map(|base| &base.id[2..]).collect::<Vec<&str>>();
            let text = format!(
                "there is no {name:?}; access nodes are {}, control nodes c0 to c{}, databases {}",
                self.nodes[..self.nodes.len().min(NAMED_MAX)].join(" "),
                self.world.controls.len().saturating_sub(1),
                bases[..bases.len().min(NAMED_MAX)].join(" ")
            );
            HourError::Drop(format!("{}@{}", drop.node, drop.at_us as f64 / 1e6), text)
        })
    }

    /// Puts sessions and requests of the stretch into the world; when the last of them is over.
    fn enter(&mut self, hour: &Hour, services: &[String]) -> Result<u64, HourError> {
        let deadlines = hour.head.get("deadlines").map(String::as_str).unwrap_or("3000,1000");
        let mut words = deadlines.split(',').map(|word| word.parse::<u64>().ok());
        let (Some(Some(browse)), Some(Some(work))) = (words.next(), words.next()) else {
            return Err(HourError::Setting(format!("line 1: deadlines={deadlines}: expected MS,MS")));
        };
        let (from, until) = (self.course.from_us, self.course.until_us);
        let mut made = wv_simulation::Workload::default();
        let mut sessions: BTreeMap<&str, (usize, bool)> = BTreeMap::new();
        let (mut enters, mut leaves, mut end) = (Vec::new(), Vec::new(), self.start);
        let node_of = |client: &str| {
            let node = client.split_once('/').map_or(self.nodes[0].as_str(), |(node, _)| node);
            self.nodes.iter().position(|known| known == node)
        };
        for noted in hour.events.iter().filter(|noted| noted.at_us < until) {
            // What was open before the stretch is open at its beginning.
            let at = self.start + noted.at_us.saturating_sub(from);
            match &noted.entry {
                Entry::Open { is_bounded, service, .. } => {
                    let missing = || HourError::Setting(format!("{}: its node is not named on line 1", noted.client));
                    let home = node_of(&noted.client).ok_or_else(missing)?;
                    let route = if *is_bounded { "b" } else { "p" };
                    let is_first = services.first() == Some(service);
                    let host = if is_first { route.to_owned() } else { format!("{route}.{service}") };
                    let session = made.add_session(home, &host, *is_bounded);
                    sessions.insert(&noted.client, (session, *is_bounded));
                    enters.push((at, session));
                }
                Entry::Close => {
                    if let Some((session, _)) = sessions.remove(noted.client.as_str()) {
                        leaves.push((at, session));
                    }
                }
                Entry::Ask(kind) if noted.at_us >= from => {
                    if let Some((session, is_bounded)) = sessions.get(noted.client.as_str()).copied() {
                        let limit = at + if is_bounded { browse } else { work } * MS;
                        made.add_request(at, session, *kind, limit);
                        end = end.max(limit);
                    }
                }
                Entry::Ask(_) => {}
            }
        }
        self.world.play_workload(made, &enters, &leaves);
        Ok(end)
    }

    fn play(&mut self, targets: &[(Drop, Target)], end: u64) {
        let from = self.course.from_us;
        let mut due: Vec<(u64, bool, &(Drop, Target))> = Vec::new();
        for target in targets {
            due.push((self.start + target.0.at_us.saturating_sub(from), true, target));
            let back = target.0.back_us.map(|back| self.start + back.saturating_sub(from));
            due.extend(back.map(|back| (back, false, target)));
        }
        due.sort_by_key(|(at, ..)| *at);
        for (at, is_drop, (drop, target)) in due {
            self.until(at);
            match is_drop {
                true => self.drop(&drop.node, *target),
                false => self.bring_back(*target),
            }
        }
        self.until(end + S);
    }

    /// Lets time pass, and looks now and then whether survivors have taken over.
    fn until(&mut self, at: u64) {
        while self.world.now < at {
            let is_watching = self.told.iter().any(|told| told.taken_us.is_none());
            let step = if is_watching { STEP_US } else { at - self.world.now };
            self.world.run(step.min(at - self.world.now));
            let now = self.world.now;
            let over: Vec<bool> = self.told.iter().map(|told| self.is_taken_over(told)).collect();
            for (told, is_over) in self.told.iter_mut().zip(over) {
                if told.taken_us.is_none() && (is_over || told.at_us + TAKEOVER_US <= now) {
                    told.taken_us = Some(if is_over { now } else { u64::MAX });
                }
            }
        }
    }

    fn drop(&mut self, node: &str, target: Target) {
        let (mut at, mut service) = (None, None);
        match target {
            Target::Access(which) => {
                at = Some(which);
                self.world.kill_access(which);
            }
            Target::Control(which) => self.world.kill_control(which),
            Target::Base(which) => {
                let base = &self.world.databases[which];
                service = base.is_primary.then(|| base.service.clone());
                self.world.crash(which);
            }
        }
        let at_us = self.world.now;
        self.told.push(Told { node: node.to_owned(), at_us, taken_us: None, access: at, service });
    }

    fn bring_back(&mut self, target: Target) {
        match target {
            Target::Access(which) => self.world.start_access(which),
            Target::Control(which) => self.world.start_control(which, false),
            Target::Base(which) => self.world.revive(which),
        }
    }

    /// Sessions of a lost access node are with others, a lost primary's service is led again, and every access node that
    /// is up follows a control node that is up.
    fn is_taken_over(&self, told: &Told) -> bool {
        let is_led = told.service.as_ref().is_none_or(|service| {
            self.world.databases.iter().any(|base| base.service == *service && base.is_primary && base.is_up)
        });
        is_led && self.world.is_access_connected() && self.world.has_moved_sessions(told.access)
    }
}
