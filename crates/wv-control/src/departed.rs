//! Databases that announced their departure. Until such a database has ended it may still receive and acknowledge log
//! records, and those that it alone received are lost with it.
use crate::core::Core;
use std::collections::{BTreeMap, BTreeSet};
use wv_internal_protocol::Instance;
use wv_promotion::{DepartedDatabase, StatusError, StatusReply};

/// Minimum intervals between status requests to a departed database, during the early period after it left and later.
/// Most databases end soon after leaving, and only log positions observed after the end count.
const EARLY_POLL_INTERVAL_US: u64 = 200_000;
const POLL_INTERVAL_US: u64 = 500_000;
const EARLY_PERIOD_US: u64 = 3_000_000;
/// A departed database that has not answered for this long is treated as ended: its machine is gone with it.
const UNREACHABLE_TIMEOUT_US: u64 = 20_000_000;

/// When a database left, when it was known to have ended or became unreachable, and when it was last polled.
#[derive(Default)]
pub(crate) struct Departure {
    pub left_at: u64,
    ended_at: Option<u64>,
    unreachable_since: Option<u64>,
    polled_at: u64,
}

impl Departure {
    pub fn new(left_at: u64) -> Departure {
        Departure { left_at, ..Departure::default() }
    }
}

impl Core {
    /// The view of a departed database given to the promotion state machine. Its replacement started after it ended.
    pub(crate) fn departure_status(&self, instance: &Instance) -> DepartedDatabase {
        let is_successor = |new: &&Instance| new.address == instance.address && new.id != instance.id;
        let successor = self
            .table
            .service_instances(&instance.service)
            .filter(|new| !new.gone)
            .find(is_successor)
            .map(|new| new.id.clone());
        let departure = self.departures.get(&instance.id);
        let unreachable = departure
            .and_then(|departure| departure.unreachable_since)
            .map(|unreachable| unreachable + UNREACHABLE_TIMEOUT_US)
            .filter(|end| *end <= self.now);
        let ended = departure.and_then(|departure| departure.ended_at).or(unreachable);
        DepartedDatabase { stopped_for_us: ended.map(|ended| self.now.saturating_sub(ended)), successor }
    }

    /// Polls the databases that left under the current leader until they have ended, for services whose duty is held
    /// here.
    pub(crate) fn poll_departed(&mut self) {
        let now = self.now;
        let is_due = |(id, departure): &(&String, &Departure)| {
            let service = self.table.get(id).map(|instance| instance.service.as_str());
            let is_counted = service.is_some_and(|service| {
                let is_later = self.leader_changed_at.get(service).is_none_or(|led| departure.left_at >= *led);
                is_later && self.membership.is_duty_holder(service)
            });
            let interval =
                if departure.left_at + EARLY_PERIOD_US > now { EARLY_POLL_INTERVAL_US } else { POLL_INTERVAL_US };
            departure.ended_at.is_none() && departure.polled_at + interval <= now && is_counted
        };
        let due: Vec<String> = self.departures.iter().filter(is_due).map(|(id, _)| id.clone()).collect();
        for id in due {
            let Some(service) = self.table.get(&id).map(|instance| instance.service.clone()) else { continue };
            self.departures.entry(id.clone()).or_default().polled_at = now;
            self.send_db_request(&service, id, "ENQUIRY".to_owned(), 0);
        }
    }

    /// The departures that still matter under the current leader: databases that have not ended, and per service the
    /// last one to end, since the conditions that a candidate must meet because of it cover earlier ones. These are
    /// kept without time limit.
    pub(crate) fn required_departures(&self) -> BTreeSet<String> {
        let mut last: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
        let mut needed = BTreeSet::new();
        for (id, departure) in &self.departures {
            let Some(instance) = self.table.get(id).filter(|instance| instance.gone) else { continue };
            if self.leader_changed_at.get(&instance.service).is_some_and(|led| departure.left_at < *led) {
                continue;
            }
            match self.departure_status(instance).stopped_for_us {
                None => drop(needed.insert(id.clone())),
                Some(ago) => {
                    let ended = self.now.saturating_sub(ago);
                    let latest = last.entry(&instance.service).or_insert((ended, id));
                    *latest = (*latest).max((ended, id));
                }
            }
        }
        needed.extend(last.into_values().map(|(_, id)| id.to_owned()));
        needed
    }

    /// Records what a status reply says about whether a departed database has ended.
    pub(crate) fn record_departure_reply(&mut self, id: &str, reply: StatusReply) {
        let is_replaced = self
            .table
            .get(id)
            .is_some_and(|instance| instance.gone && self.departure_status(instance).successor.is_some());
        let now = self.now;
        let Some(departure) = self.departures.get_mut(id) else { return };
        match reply {
            Ok(_) => (departure.ended_at, departure.unreachable_since) = (None, None),
            Err(StatusError::Refused) => departure.ended_at = departure.ended_at.or(Some(now)),
            Err(StatusError::Unreachable) if is_replaced => departure.ended_at = departure.ended_at.or(Some(now)),
            Err(StatusError::Unreachable) => departure.unreachable_since = departure.unreachable_since.or(Some(now)),
        }
    }
}
