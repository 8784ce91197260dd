//! Log lines on departures and promotions, and the metrics of `GET /metrics`. No decision depends on these counters.
use crate::core::Core;
use std::collections::BTreeMap;
use wv_metrics::{MetricsError, MetricsPage};
use wv_promotion::BlockedReason;

/// Minimum interval between log lines on stalled promotions of one service.
const STALL_LOG_INTERVAL_US: u64 = 2_000_000;

/// Counters since the start of this process.
#[derive(Default)]
pub(crate) struct Counters {
    services: BTreeMap<String, Promotions>,
    leaves_acknowledged: u64,
}

#[derive(Default)]
struct Promotions {
    calls: u64,
    stalls: u64,
    logged_at: Option<u64>,
}

impl Core {
    pub(crate) fn count_promotion_call(&mut self, service: &str) {
        self.counters.services.entry(service.to_owned()).or_default().calls += 1;
    }

    /// A promotion attempt could not proceed.
    pub(crate) fn count_stall(&mut self, service: &str, reason: &BlockedReason) {
        let promotions = self.counters.services.entry(service.to_owned()).or_default();
        promotions.stalls += 1;
        if promotions.logged_at.is_none_or(|at| at + STALL_LOG_INTERVAL_US <= self.now) {
            promotions.logged_at = Some(self.now);
            log::warn!("promotion of {service} stalled, attempt {}: {reason}", promotions.stalls);
        }
    }

    pub(crate) fn count_leave(&mut self, id: &str) {
        self.counters.leaves_acknowledged += 1;
        log::warn!("departure of {id} acknowledged");
    }

    /// The metrics page in text format.
    pub fn metrics(&self) -> Result<Vec<u8>, MetricsError> {
        let mut page = MetricsPage::default();
        page.add_gauge(
            ("windvalve_in_contact", "Whether a majority of the voters is in contact"),
            self.has_majority().into(),
        )?;
        page.add_gauge(("windvalve_configuration_version", "The configuration in force"), self.committed_version)?;
        page.add_gauge(
            ("windvalve_leaves_acknowledged", "Departures of databases that were acknowledged here"),
            self.counters.leaves_acknowledged,
        )?;
        let of = |figure: fn(&Promotions) -> u64| {
            self.counters.services.iter().map(move |(service, counts)| (vec![service.clone()], figure(counts)))
        };
        let calls = ("windvalve_promotion_calls", "Calls to the platform to promote a database");
        page.add_gauges(calls, &["service"], of(|counts| counts.calls))?;
        let stalls = ("windvalve_promotion_stalls", "Attempts at a promotion that led nowhere");
        page.add_gauges(stalls, &["service"], of(|counts| counts.stalls))?;
        let unresolved = |duty: &wv_promotion::PromotionCoordinator| duty.unresolved_calls().len() as u64;
        page.add_gauges(
            ("windvalve_promotion_calls_unresolved", "Calls to the platform that may still take effect"),
            &["service"],
            self.duties.iter().map(|(service, duty)| (vec![service.clone()], unresolved(duty))),
        )?;
        let leaving = self.table.iter().filter(|instance| instance.draining && !instance.gone);
        let role =
            |instance: &wv_internal_protocol::Instance| if instance.primary { "primary" } else { "replica" }.to_owned();
        page.add_gauges(
            ("windvalve_database_leaving", "Databases that said that they leave and are not gone"),
            &["id", "service", "role"],
            leaving.map(|instance| (vec![instance.id.clone(), instance.service.clone(), role(instance)], 1)),
        )?;
        page.encode()
    }
}
