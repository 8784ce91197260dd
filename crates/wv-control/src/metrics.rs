//! What operators see of departures and promotions on this node: log lines, and the figures of `GET /metrics`.
//!
//! Nothing is decided by what is kept here.
use crate::core::Core;
use std::collections::BTreeMap;
use wv_metrics::{MetricsError, Page};
use wv_promotion::BlockedReason;

/// Of one service's attempts at a promotion that lead nowhere, no more than one a span is written to the log.
const STALL_LOG_US: u64 = 2_000_000;

/// Counts since the start of this process.
#[derive(Default)]
pub(crate) struct Counts {
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
    /// The platform is called to promote a database.
    pub(crate) fn count_promotion_call(&mut self, service: &str) {
        self.counts.services.entry(service.to_owned()).or_default().calls += 1;
    }

    /// An attempt at a promotion led nowhere.
    pub(crate) fn count_stall(&mut self, service: &str, obstacle: &BlockedReason) {
        let promotions = self.counts.services.entry(service.to_owned()).or_default();
        promotions.stalls += 1;
        if promotions.logged_at.is_none_or(|at| at + STALL_LOG_US <= self.now) {
            promotions.logged_at = Some(self.now);
            log::warn!("no promotion of {service}, attempt {}: {obstacle}", promotions.stalls);
        }
    }

    pub(crate) fn count_leave(&mut self, id: &str) {
        self.counts.leaves_acknowledged += 1;
        log::warn!("the leave of {id} is acknowledged");
    }

    /// This process's figures, as monitoring fetches them.
    pub fn metrics(&self) -> Result<Vec<u8>, MetricsError> {
        let mut page = Page::default();
        page.figure(
            ("windvalve_in_contact", "Whether a majority of the voters is in contact"),
            self.has_majority().into(),
        )?;
        page.figure(("windvalve_configuration_version", "The configuration in force"), self.published)?;
        page.figure(
            ("windvalve_leaves_acknowledged", "Departures of databases that were acknowledged here"),
            self.counts.leaves_acknowledged,
        )?;
        let of = |figure: fn(&Promotions) -> u64| {
            self.counts.services.iter().map(move |(service, held)| (vec![service.clone()], figure(held)))
        };
        let calls = ("windvalve_promotion_calls", "Calls to the platform to promote a database");
        page.figures(calls, &["service"], of(|held| held.calls))?;
        let stalls = ("windvalve_promotion_stalls", "Attempts at a promotion that led nowhere");
        page.figures(stalls, &["service"], of(|held| held.stalls))?;
        let leaving = self.table.iter().filter(|inst| inst.draining && !inst.gone);
        let role = |inst: &wv_internal_protocol::Instance| if inst.primary { "primary" } else { "replica" }.to_owned();
        page.figures(
            ("windvalve_database_leaving", "Databases that said that they leave and are not gone"),
            &["id", "service", "role"],
            leaving.map(|inst| (vec![inst.id.clone(), inst.service.clone(), role(inst)], 1)),
        )?;
        page.text()
    }
}
