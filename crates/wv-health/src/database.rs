//! Health of one database as seen by this node: its last announcement and the results of its connections.
use wv_internal_protocol::{Health, Instance, LeaveTime};

/// Consecutive equal failures that isolate a database, and successes that restore it.
const FAILURES_TO_ISOLATE: u32 = 2;
const SUCCESSES_TO_RESTORE: u32 = 2;
/// Bounds of the interval between probes of an isolated database.
const PROBE_INTERVAL_MIN_US: u64 = 100_000;
const PROBE_INTERVAL_MAX_US: u64 = 800_000;
/// How long after a read-only error the announced leader is not used as writer.
const WRITER_SUSPECT_US: u64 = 400_000;

/// An announced departure of a database.
#[derive(Clone, Copy, Debug)]
pub struct Leaving {
    pub since: LeaveTime,
    /// Statements and transactions started on the database since then.
    pub new_work_count: u64,
    /// Whether new work after the permitted time was logged.
    pub is_overdue_logged: bool,
}

impl Leaving {
    pub fn new(since: LeaveTime) -> Leaving {
        Leaving { since, new_work_count: 0, is_overdue_logged: false }
    }
}

#[derive(Debug)]
pub struct DatabaseHealth {
    pub instance: Instance,
    pub health: Health,
    /// When `health` last changed.
    pub health_since: u64,
    is_isolated: bool,
    consecutive_results: u32,
    /// The earliest time of the next probe while isolated.
    pub next_probe_at: u64,
    probe_interval_us: u64,
    pub(crate) writer_suspect_until: u64,
    /// When the control plane last updated it.
    pub updated_at: u64,
    /// Gone because a snapshot omitted it, not because it announced its departure.
    pub(crate) is_missing_from_snapshot: bool,
    /// Set from the announcement that it is leaving until it is in service again.
    pub leaving: Option<Leaving>,
}

impl DatabaseHealth {
    pub(crate) fn new(instance: Instance, since: LeaveTime, now: u64) -> DatabaseHealth {
        DatabaseHealth {
            leaving: instance.draining.then(|| Leaving::new(since)),
            instance,
            health: Health::Up,
            health_since: now,
            is_isolated: false,
            consecutive_results: 0,
            next_probe_at: 0,
            probe_interval_us: PROBE_INTERVAL_MIN_US,
            writer_suspect_until: 0,
            updated_at: now,
            is_missing_from_snapshot: false,
        }
    }

    /// Whether `instance` is not older than the known state. An announced departure is undone only by a newer sequence.
    pub(crate) fn is_current(&self, instance: &Instance) -> bool {
        let has_left = self.instance.gone && !self.is_missing_from_snapshot && !instance.gone;
        instance.sequence > self.instance.sequence || (instance.sequence == self.instance.sequence && !has_left)
    }

    /// Applies an update. The departure time is the earliest reported one, also if the update is otherwise outdated.
    pub(crate) fn update(&mut self, instance: &Instance, since: LeaveTime, now: u64) {
        if self.is_current(instance) {
            (self.instance, self.updated_at, self.is_missing_from_snapshot) = (instance.clone(), now, false);
        }
        if !self.instance.draining {
            self.leaving = None;
        } else if instance.draining {
            let leaving = self.leaving.get_or_insert(Leaving::new(since));
            leaving.since = leaving.since.min(since);
        }
    }

    /// Whether it announced its departure at least `new_work_us` ago and so receives no new work.
    pub fn is_closed_to_new_work(&self, new_work_us: u64, now: u64) -> bool {
        self.leaving.is_some_and(|leaving| leaving.since.age_us(now) >= new_work_us)
    }

    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Whether the last result was a failure, even if it did not isolate the database yet.
    pub fn is_suspect(&self) -> bool {
        self.health != Health::Up
    }

    /// Records an established connection or a completed statement. Returns whether the routing state changed.
    pub fn on_success(&mut self, is_connect: bool, now: u64) -> bool {
        if !self.is_isolated {
            if self.health != Health::Up {
                (self.health, self.health_since, self.consecutive_results) = (Health::Up, now, 0);
            }
            return false;
        }
        // Only new connections end isolation: a late reply on an old connection does not show current health.
        if !is_connect {
            return false;
        }
        self.consecutive_results += 1;
        self.next_probe_at = now;
        if self.consecutive_results < SUCCESSES_TO_RESTORE {
            return false;
        }
        (self.is_isolated, self.health, self.health_since, self.consecutive_results) = (false, Health::Up, now, 0);
        self.probe_interval_us = PROBE_INTERVAL_MIN_US;
        true
    }

    /// Records a refused or unresponsive connection. Returns whether the database was isolated by it, or is isolated
    /// and its kind of failure changed.
    pub fn on_failure(&mut self, health: Health, now: u64) -> bool {
        if self.is_isolated {
            self.consecutive_results = 0;
            self.next_probe_at = now + self.probe_interval_us;
            self.probe_interval_us = (self.probe_interval_us * 2).min(PROBE_INTERVAL_MAX_US);
            if self.health != health {
                (self.health, self.health_since) = (health, now);
                return true;
            }
            return false;
        }
        if self.health == health {
            self.consecutive_results += 1;
        } else {
            (self.health, self.health_since, self.consecutive_results) = (health, now, 1);
        }
        if self.consecutive_results >= FAILURES_TO_ISOLATE {
            (self.is_isolated, self.consecutive_results) = (true, 0);
            self.next_probe_at = now + self.probe_interval_us;
            return true;
        }
        false
    }

    /// Records that outstanding work got no reply, which does not isolate the database by itself.
    pub fn on_timeout(&mut self, now: u64) {
        if !self.is_isolated && self.health == Health::Up {
            (self.health, self.health_since, self.consecutive_results) = (Health::Unreachable, now, 1);
        }
    }

    /// Schedules the next probe after one was started.
    pub fn on_probe(&mut self, now: u64) {
        self.next_probe_at = now + self.probe_interval_us;
    }

    /// Records that the database rejected a write as read-only.
    pub fn on_readonly(&mut self, now: u64) {
        self.writer_suspect_until = now + WRITER_SUSPECT_US;
    }
}
