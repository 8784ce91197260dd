//! Rules over histories. Each names what broke it; a history that keeps them all leaves nothing.
use super::{Bound, History};
use std::collections::BTreeMap;

/// One rule that was broken.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Finding {
    pub check: &'static str,
    pub text: String,
}

type Check = (&'static str, fn(&History) -> Option<String>);

/// All rules over histories, by name; those of statements and of the calm at the end come with their own.
pub const CHECKS: [Check; 10] = [
    ("one-content", one_content),
    ("two-verdicts", two_verdicts),
    ("refused-without-rival", refused_without_rival),
    ("invalid-acknowledged", invalid_acknowledged),
    ("refused-in-force", refused_in_force),
    ("read-unknown", read_unknown),
    ("read-stale", read_stale),
    ("went-back", went_back),
    ("one-lead", one_lead),
    ("fence", fence),
];

/// Judges a history.
pub fn check(history: &History, bound: Bound) -> Vec<Finding> {
    let rules = CHECKS.iter().filter_map(|(check, rule)| rule(history).map(|text| Finding { check, text }));
    let statement = |text: &String| Finding { check: statement_rule(text), text: text.clone() };
    let calm = history.calm.iter().filter(|_| bound != Bound::Wild);
    let calm = calm.map(|calm| Finding { check: calm.check, text: calm.text.clone() });
    rules.chain(history.statements.iter().map(statement)).chain(calm).collect()
}

fn statement_rule(text: &str) -> &'static str {
    let names = ["LOST", "TWICE", "REFUSED", "STALE", "PINNED", "MIXED", "DRAIN"];
    names.into_iter().find(|name| text.starts_with(name)).unwrap_or("statement")
}

/// Under one number at most one content is acknowledged as in force: two may be only where both were overtaken, so
/// that a higher number had been sent before either was acknowledged.
fn one_content(history: &History) -> Option<String> {
    let mut acked: BTreeMap<u64, Vec<(usize, u64)>> = BTreeMap::new();
    for (at, order) in history.orders.iter().enumerate() {
        if let Some(first) = history.acks(at).map(|answer| answer.heard).min() {
            acked.entry(order.number).or_default().push((at, first));
        }
    }
    let is_shown = |order: &usize| history.reads.iter().any(|read| read.order == Some(*order));
    acked.into_iter().filter(|(_, orders)| orders.len() > 1).find_map(|(number, orders)| {
        let first = orders.iter().map(|(_, first)| *first).min().unwrap_or(0);
        let is_overtaken = history.orders.iter().any(|order| order.number > number && order.first_sent < first);
        let is_any_shown = orders.iter().any(|(order, _)| is_shown(order));
        (!is_overtaken || is_any_shown).then(|| format!("number {number}: {} contents acknowledged", orders.len()))
    })
}

/// No order is both acknowledged and refused.
fn two_verdicts(history: &History) -> Option<String> {
    let refused = history.answers.iter().filter(|answer| answer.is_refusal());
    refused.into_iter().find_map(|refused| {
        let acked = history.acks(refused.order).next()?;
        let number = history.orders[refused.order].number;
        Some(format!(
            "order {number} is acknowledged by {} at {} and refused ({}) by {} at {}",
            acked.control, acked.heard, refused.status, refused.control, refused.heard
        ))
    })
}

/// A valid order is refused only where another content was sent under its number.
fn refused_without_rival(history: &History) -> Option<String> {
    history.answers.iter().filter(|answer| answer.is_refusal()).find_map(|answer| {
        let order = &history.orders[answer.order];
        let is_rival = |(at, other): (usize, &super::Order)| {
            at != answer.order && other.is_valid && other.number == order.number && other.first_sent < answer.heard
        };
        let has_rival = history.orders.iter().enumerate().any(is_rival);
        (order.is_valid && !has_rival).then(|| {
            format!("order {} is refused ({}) by {} at {}", order.number, answer.status, answer.control, answer.heard)
        })
    })
}

fn invalid_acknowledged(history: &History) -> Option<String> {
    let acked = |(at, order): (usize, &super::Order)| {
        let answer = history.acks(at).next().filter(|_| !order.is_valid)?;
        Some(format!("an invalid order {} is acknowledged by {} at {}", order.number, answer.control, answer.heard))
    };
    history.orders.iter().enumerate().find_map(acked)
}

/// What was refused, or is invalid, is never read.
fn refused_in_force(history: &History) -> Option<String> {
    history.reads.iter().find_map(|read| {
        let order = read.order?;
        let is_refused = history.answers.iter().any(|answer| answer.order == order && answer.is_refusal());
        (is_refused || !history.orders[order].is_valid)
            .then(|| format!("{} shows order {} at {}, which was refused", read.control, read.number, read.heard))
    })
}

/// What is read was sent, under the number it bears, and before.
fn read_unknown(history: &History) -> Option<String> {
    history.reads.iter().find_map(|read| {
        let is_known = read.order.is_some_and(|order| {
            history.orders[order].number == read.number && history.orders[order].first_sent <= read.heard
        });
        (!is_known).then(|| format!("{} shows a {} that nobody sent, at {}", read.control, read.number, read.heard))
    })
}

/// Every reading shows at least what was acknowledged, or read, before it began.
fn read_stale(history: &History) -> Option<String> {
    history.reads.iter().find_map(|read| {
        let acked = history.newest_acked(read.sent);
        let shown = history.reads.iter().filter(|other| other.heard < read.sent).map(|other| other.number).max();
        let newest = acked.max(shown.unwrap_or(0));
        (read.number < newest).then(|| {
            format!("{} shows {} at {}, and {newest} stood at {}", read.control, read.number, read.heard, read.sent)
        })
    })
}

/// No access node goes back in one life.
fn went_back(history: &History) -> Option<String> {
    let mut held: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    history.seen.iter().find_map(|seen| {
        let before = held.insert((seen.node.as_str(), seen.life), seen.version).unwrap_or(0);
        (seen.version < before).then(|| format!("{} goes from {before} to {} at {}", seen.node, seen.version, seen.at))
    })
}

fn one_lead(history: &History) -> Option<String> {
    let mut held: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    history.leads.iter().find_map(|(service, term, id)| {
        let before = held.insert((service.as_str(), *term), id.as_str()).unwrap_or(id);
        (before != id).then(|| format!("{before} and {id} lead {service} under term {term}"))
    })
}

/// What the platform takes rises, and no two holders call under one fence.
fn fence(history: &History) -> Option<String> {
    let mut held: BTreeMap<&str, (u64, (usize, u64))> = BTreeMap::new();
    let taken = history.posts.iter().filter(|post| post.code.is_some_and(|code| code != 409));
    let fell = taken.into_iter().find_map(|post| {
        let before = held.insert(post.service.as_str(), (post.fence, post.holder)).unwrap_or_default();
        (post.fence < before.0).then(|| format!("{} falls from {} to {}", post.service, before.0, post.fence))
    });
    let mut holders: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    let shared = history.posts.iter().find_map(|post| {
        let before = *holders.entry((post.service.as_str(), post.fence)).or_insert(post.holder.0);
        (before != post.holder.0)
            .then(|| format!("c{before} and c{} both call for {} under {}", post.holder.0, post.service, post.fence))
    });
    fell.or(shared)
}
