//! Ages of database leaves, attached to every message about a leaving database.
//!
//! Inputs: reports on databases, from the database itself or from another control node. Output: an age on each message,
//! computed when it is sent. State: when each leaving database first announced its leave, and which databases were seen
//! in service in this incarnation. Invariant: an age that is sent is never less than any age received, or than the time
//! since this incarnation first learned of the leave. If the first report in this incarnation already says that the
//! database leaves, others may have acknowledged the leave long ago, and its age is unknown.
use crate::core::Core;
use std::collections::{BTreeMap, BTreeSet};
use wv_internal_protocol::{FeedUpdate, Instance, LeaveTime, Message, UNKNOWN_AGE_US};

/// Followers are notified again when a leave turns out to be older than was known by more than this.
const REPUBLISH_THRESHOLD_US: u64 = 50_000;

/// Allowance for work that access nodes started just before they stopped assigning work to a leaving database. Long
/// transactions may take longer.
const IN_FLIGHT_WORK_US: u64 = 300_000;

/// Who sent a report.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ReportSource {
    Database,
    Peer,
}

/// The known leave times of databases.
pub(crate) struct LeaveAges {
    since: BTreeMap<String, LeaveTime>,
    in_service: BTreeSet<String>,
    /// How long access nodes assign new work to a database after it announced its leave.
    new_work_us: u64,
}

impl Default for LeaveAges {
    fn default() -> LeaveAges {
        LeaveAges {
            since: BTreeMap::new(),
            in_service: BTreeSet::new(),
            new_work_us: wv_internal_protocol::new_work_window_us(
                wv_internal_protocol::DEFAULT_DRAIN_US,
                wv_internal_protocol::DEFAULT_CONTACT_US,
            ),
        }
    }
}

impl LeaveAges {
    /// Records a report on a database, stored in the table as `stored`. The report may have been queued for `lag_us`.
    /// Returns whether the leave is older than was known.
    fn record(
        &mut self,
        report: &Instance,
        stored: &Instance,
        source: ReportSource,
        (now, lag_us): (u64, u64),
    ) -> bool {
        if !stored.draining {
            self.since.remove(&stored.id);
            if source == ReportSource::Database || report.leaving_age_us == 0 {
                self.in_service.insert(stored.id.clone());
            }
            return false;
        }
        if !report.draining {
            return false;
        }
        let is_known = self.in_service.contains(&stored.id) || self.since.contains_key(&stored.id);
        let age_us = match source {
            ReportSource::Database if is_known => 0,
            ReportSource::Database => UNKNOWN_AGE_US,
            ReportSource::Peer => report.leaving_age_us,
        };
        let since = LeaveTime::from_age(now, age_us.saturating_add(lag_us));
        let known = self.since.entry(stored.id.clone()).or_insert(since);
        let is_older = since.age_us(now) > known.age_us(now) + REPUBLISH_THRESHOLD_US;
        *known = (*known).min(since);
        is_older
    }

    fn age_us(&self, instance: &Instance, now: u64) -> u64 {
        match self.since.get(&instance.id).filter(|_| instance.draining) {
            Some(since) => since.age_us(now),
            None if !instance.draining && self.in_service.contains(&instance.id) => 0,
            None => UNKNOWN_AGE_US,
        }
    }

    /// Sets the current leave ages in a message that is about to be sent.
    pub(crate) fn stamp_ages(&self, message: &mut Message, now: u64) {
        let stamp = |instance: &mut Instance| instance.leaving_age_us = self.age_us(instance, now);
        match message {
            Message::Instance { instance, .. } | Message::Update { update: FeedUpdate::Instance(instance), .. } => {
                stamp(instance)
            }
            Message::InstanceRange { instances, .. } => instances.iter_mut().for_each(stamp),
            Message::Snapshot { updates, .. } => updates.iter_mut().for_each(|update| {
                if let FeedUpdate::Instance(instance) = update {
                    stamp(instance);
                }
            }),
            _ => {}
        }
    }

    /// Whether access nodes have stopped assigning new work to this database.
    fn is_past_drain(&self, instance: &Instance, now: u64) -> bool {
        instance.gone || (instance.draining && self.age_us(instance, now) >= self.new_work_us + IN_FLIGHT_WORK_US)
    }

    pub(crate) fn retain_known(&mut self, is_known: impl Fn(&str) -> bool) {
        self.since.retain(|id, _| is_known(id));
        self.in_service.retain(|id| is_known(id));
    }
}

impl Core {
    /// Sets the platform's limit on work for a leaving database, and the contact timeout of healthy nodes.
    pub fn set_drain_times(&mut self, drain_us: u64, contact_us: u64) {
        self.leave_ages.new_work_us = wv_internal_protocol::new_work_window_us(drain_us, contact_us);
    }

    /// Records the leave time of a database after the table was updated; followers are notified if the leave is older.
    pub(crate) fn record_leave_time(&mut self, report: &Instance, source: ReportSource) {
        let Some(stored) = self.table.get(&report.id).filter(|stored| !stored.gone) else { return };
        if self.leave_ages.record(report, stored, source, (self.now, self.contact.stalls.lag_us(self.now))) {
            let instance = stored.clone();
            self.publish(FeedUpdate::Instance(instance));
        }
    }

    /// Sends all leaving databases in full, because digests do not cover leave ages and may compare equal.
    pub(crate) fn send_leaves(&mut self, link: u64) {
        let leaving: Vec<Instance> =
            self.table.iter().filter(|instance| instance.draining && !instance.gone).cloned().collect();
        leaving
            .into_iter()
            .for_each(|instance| self.send(link, Message::Instance { requester: 0, request: 0, instance }));
    }

    /// Whether no access node in contact assigns new work to this database, because it is leaving or gone.
    pub(crate) fn is_past_drain(&self, id: &str) -> bool {
        self.table.get(id).is_some_and(|instance| self.leave_ages.is_past_drain(instance, self.now))
    }
}
