//! Consistency checks over the history of a run.
use super::{FaultBound, History};
use std::collections::BTreeMap;

/// A violation and the check that found it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Finding {
    pub check: &'static str,
    pub text: String,
}

type Check = (&'static str, fn(&History) -> Option<String>);

/// The checks over histories, by name. Findings of the oracle and of the recovery checks carry their own names.
pub const CHECKS: [Check; 11] = [
    ("one-content", one_content),
    ("two-verdicts", two_verdicts),
    ("refused-without-rival", refused_without_rival),
    ("invalid-acknowledged", invalid_acknowledged),
    ("refused-in-force", refused_in_force),
    ("read-unknown", read_unknown),
    ("read-stale", read_stale),
    ("went-back", went_back),
    ("route-went-back", super::route_check::route_went_back),
    ("one-lead", one_lead),
    ("fence", fence),
];

pub fn check(history: &History, fault_bound: FaultBound) -> Vec<Finding> {
    let violations =
        CHECKS.iter().filter_map(|(check, check_fn)| check_fn(history).map(|text| Finding { check, text }));
    let statement = |text: &String| Finding { check: statement_check(text), text: text.clone() };
    let recovery_failures = history.recovery_failures.iter().filter(|_| fault_bound != FaultBound::Unlimited);
    let recovery_failures =
        recovery_failures.map(|failure| Finding { check: failure.check, text: failure.text.clone() });
    violations.chain(history.statement_violations.iter().map(statement)).chain(recovery_failures).collect()
}

fn statement_check(text: &str) -> &'static str {
    let checks = ["LOST", "TWICE", "REFUSED", "STALE", "PINNED", "MIXED", "DRAIN", "ROW", "ASTRAY"];
    checks.into_iter().find(|name| text.starts_with(name)).unwrap_or("statement")
}

/// At most one content is acknowledged per version. Several are allowed only if none of them was read and a higher
/// version had been sent before the first acknowledgement.
fn one_content(history: &History) -> Option<String> {
    let mut acknowledged: BTreeMap<u64, Vec<(usize, u64)>> = BTreeMap::new();
    for (index, update) in history.updates.iter().enumerate() {
        if let Some(first) = history.acknowledgements(index).map(|response| response.received_us).min() {
            acknowledged.entry(update.version).or_default().push((index, first));
        }
    }
    let is_read = |update: &usize| history.reads.iter().any(|read| read.update == Some(*update));
    acknowledged.into_iter().filter(|(_, updates)| updates.len() > 1).find_map(|(version, updates)| {
        let first = updates.iter().map(|(_, first)| *first).min().unwrap_or(0);
        let is_superseded =
            history.updates.iter().any(|update| update.version > version && update.first_sent_us < first);
        let is_any_read = updates.iter().any(|(update, _)| is_read(update));
        (!is_superseded || is_any_read)
            .then(|| format!("version {version}: {} different contents acknowledged", updates.len()))
    })
}

/// No update is both acknowledged and rejected.
fn two_verdicts(history: &History) -> Option<String> {
    let rejections = history.responses.iter().filter(|response| response.is_rejection());
    rejections.into_iter().find_map(|rejection| {
        let acknowledged = history.acknowledgements(rejection.update).next()?;
        let version = history.updates[rejection.update].version;
        Some(format!(
            "update {version} is acknowledged by {} at {} and rejected ({}) by {} at {}",
            acknowledged.control, acknowledged.received_us, rejection.status, rejection.control, rejection.received_us
        ))
    })
}

/// A valid update is rejected only if another one was sent with the same version.
fn refused_without_rival(history: &History) -> Option<String> {
    history.responses.iter().filter(|response| response.is_rejection()).find_map(|response| {
        let update = &history.updates[response.update];
        let is_conflicting = |(index, other): (usize, &super::ConfigurationUpdate)| {
            index != response.update
                && other.is_valid
                && other.version == update.version
                && other.first_sent_us < response.received_us
        };
        let has_conflict = history.updates.iter().enumerate().any(is_conflicting);
        (update.is_valid && !has_conflict).then(|| {
            format!(
                "update {} is rejected ({}) by {} at {}",
                update.version, response.status, response.control, response.received_us
            )
        })
    })
}

fn invalid_acknowledged(history: &History) -> Option<String> {
    let acknowledged = |(index, update): (usize, &super::ConfigurationUpdate)| {
        let response = history.acknowledgements(index).next().filter(|_| !update.is_valid)?;
        Some(format!(
            "invalid update {} is acknowledged by {} at {}",
            update.version, response.control, response.received_us
        ))
    };
    history.updates.iter().enumerate().find_map(acknowledged)
}

/// Rejected and invalid updates are never read.
fn refused_in_force(history: &History) -> Option<String> {
    history.reads.iter().find_map(|read| {
        let update = read.update?;
        let is_rejected = history.responses.iter().any(|response| response.update == update && response.is_rejection());
        (is_rejected || !history.updates[update].is_valid).then(|| {
            format!("{} returns update {} at {}, which was rejected", read.control, read.version, read.received_us)
        })
    })
}

/// Every configuration read was sent before, with the version that it carries.
fn read_unknown(history: &History) -> Option<String> {
    history.reads.iter().find_map(|read| {
        let was_sent = read.update.is_some_and(|update| {
            history.updates[update].version == read.version && history.updates[update].first_sent_us <= read.received_us
        });
        (!was_sent).then(|| {
            format!("{} returns version {} at {}, which was never sent", read.control, read.version, read.received_us)
        })
    })
}

/// A read returns at least the newest version that was acknowledged or read before it was sent.
fn read_stale(history: &History) -> Option<String> {
    history.reads.iter().find_map(|read| {
        let acknowledged = history.newest_acknowledged(read.sent_us);
        let read_version =
            history.reads.iter().filter(|other| other.received_us < read.sent_us).map(|other| other.version).max();
        let newest = acknowledged.max(read_version.unwrap_or(0));
        (read.version < newest).then(|| {
            format!(
                "{} returns version {} at {}, but {newest} was acknowledged or read before {}",
                read.control, read.version, read.received_us, read.sent_us
            )
        })
    })
}

/// The version on an access node never decreases within one incarnation.
fn went_back(history: &History) -> Option<String> {
    let mut previous: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    history.observed_versions.iter().find_map(|observed| {
        let before = previous.insert((observed.node.as_str(), observed.incarnation), observed.version).unwrap_or(0);
        (observed.version < before).then(|| {
            format!("{} goes back from version {before} to {} at {}", observed.node, observed.version, observed.at_us)
        })
    })
}

fn one_lead(history: &History) -> Option<String> {
    let mut previous: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    history.primaries.iter().find_map(|(service, term, id)| {
        let before = previous.insert((service.as_str(), *term), id.as_str()).unwrap_or(id);
        (before != id).then(|| format!("{before} and {id} are both primary of {service} in term {term}"))
    })
}

/// Fencing tokens that the platform accepts never decrease, and no two nodes use the same one.
fn fence(history: &History) -> Option<String> {
    let mut previous: BTreeMap<&str, (u64, (usize, u64))> = BTreeMap::new();
    let accepted = history.platform_calls.iter().filter(|call| call.status.is_some_and(|status| status != 409));
    let decreased = accepted.into_iter().find_map(|call| {
        let before = previous.insert(call.service.as_str(), (call.fencing_token, call.holder)).unwrap_or_default();
        (call.fencing_token < before.0)
            .then(|| format!("fencing token of {} decreases from {} to {}", call.service, before.0, call.fencing_token))
    });
    let mut holders: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    let shared = history.platform_calls.iter().find_map(|call| {
        let before = *holders.entry((call.service.as_str(), call.fencing_token)).or_insert(call.holder.0);
        (before != call.holder.0).then(|| {
            format!(
                "c{before} and c{} both call for {} with fencing token {}",
                call.holder.0, call.service, call.fencing_token
            )
        })
    });
    decreased.or(shared)
}
