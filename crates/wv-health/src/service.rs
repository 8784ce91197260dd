//! Health of the databases of one service: its leader and the routing state of each database.
use crate::database::DatabaseHealth;
use crate::FencedPositions;
use wv_internal_protocol::{Instance, Leader, LeaveTime};

/// How long the entry of a departed database is kept before another database may reuse its index.
const DEPARTED_RETENTION_US: u64 = 60_000_000;
const DATABASES_MAX: usize = 1024;

/// Routing state of a database.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    Writer,
    Online,
    /// Accepts no new work; open transactions run to completion.
    SoftDraining,
    /// Excluded from routing until it is healthy again.
    Isolated,
    Gone,
}

pub struct ServiceHealth {
    pub service: String,
    databases: Vec<DatabaseHealth>,
    pub(crate) leader: Option<Leader>,
    /// A leader announced later under an older term; used if the current one stops leading.
    pub(crate) fallback_leader: Option<Leader>,
    pub fenced_positions: FencedPositions,
    /// How long a database still receives new work after it announced that it is leaving.
    pub(crate) new_work_us: u64,
}

impl ServiceHealth {
    pub fn new(service: &str, new_work_us: u64) -> ServiceHealth {
        ServiceHealth {
            service: service.to_owned(),
            databases: Vec::new(),
            leader: None,
            fallback_leader: None,
            fenced_positions: FencedPositions::default(),
            new_work_us,
        }
    }

    pub fn database(&self, index: u16) -> Option<&DatabaseHealth> {
        self.databases.get(index as usize)
    }

    pub fn database_mut(&mut self, index: u16) -> Option<&mut DatabaseHealth> {
        self.databases.get_mut(index as usize)
    }

    pub fn databases(&self) -> impl Iterator<Item = (u16, &DatabaseHealth)> {
        self.databases.iter().enumerate().map(|(at, database)| (at as u16, database))
    }

    pub fn databases_mut(&mut self) -> impl Iterator<Item = &mut DatabaseHealth> {
        self.databases.iter_mut()
    }

    /// Updates the database at `index`, or adds it, and returns its index. If the entry of a departed database is
    /// reused, the id of that database is returned too.
    pub fn upsert(
        &mut self,
        index: Option<u16>,
        instance: &Instance,
        since: LeaveTime,
        now: u64,
    ) -> Option<(u16, Option<String>)> {
        if let Some(database) = index.and_then(|index| self.databases.get_mut(index as usize)) {
            database.update(instance, since, now);
            return index.map(|index| (index, None));
        }
        let free = self
            .databases
            .iter()
            .position(|database| database.instance.gone && database.updated_at + DEPARTED_RETENTION_US < now);
        if let Some(at) = free {
            let old = std::mem::replace(&mut self.databases[at], DatabaseHealth::new(instance.clone(), since, now));
            return Some((at as u16, Some(old.instance.id)));
        }
        (self.databases.len() < DATABASES_MAX).then(|| {
            self.databases.push(DatabaseHealth::new(instance.clone(), since, now));
            (self.databases.len() as u16 - 1, None)
        })
    }

    /// The announced leader, also after it has departed.
    pub fn leader_or_departed(&self) -> Option<u16> {
        let leader = self.leader.as_ref()?;
        self.databases.iter().position(|database| database.instance.id == leader.id).map(|at| at as u16)
    }

    /// The announced leader unless it has departed, whatever its health.
    pub fn leader(&self) -> Option<u16> {
        let leader = self.leader.as_ref()?;
        self.databases
            .iter()
            .position(|database| database.instance.id == leader.id && !database.instance.gone)
            .map(|at| at as u16)
    }

    /// Whether a leaving database is past the time in which it receives new work, also as the writer.
    pub fn is_closed_to_new_work(&self, index: u16, now: u64) -> bool {
        self.database(index).is_some_and(|database| database.is_closed_to_new_work(self.new_work_us, now))
    }

    /// The writer if it is reachable from this node, whether or not it accepts new work.
    pub(crate) fn reachable_writer(&self, now: u64) -> Option<u16> {
        self.leader().filter(|index| {
            let database = &self.databases[*index as usize];
            !database.is_isolated() && database.writer_suspect_until <= now
        })
    }

    /// The writer that accepts new work now.
    pub fn writer(&self, now: u64) -> Option<u16> {
        self.reachable_writer(now).filter(|index| !self.is_closed_to_new_work(*index, now))
    }

    pub fn state(&self, index: u16, now: u64) -> State {
        let Some(database) = self.database(index) else { return State::Gone };
        // The only database of a service stays in use: isolating it would leave nothing to route to.
        let is_sole = || self.databases.iter().filter(|other| !other.instance.gone).count() == 1;
        if database.instance.gone {
            State::Gone
        } else if database.is_isolated() && !is_sole() {
            State::Isolated
        } else if self.writer(now) == Some(index) {
            State::Writer
        } else if database.instance.draining {
            State::SoftDraining
        } else {
            State::Online
        }
    }
}
