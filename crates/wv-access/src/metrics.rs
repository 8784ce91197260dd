//! Metrics of this node for `GET /metrics` at the readiness address. They do not influence routing.
use crate::core::Core;
use wv_health::DatabaseKey;
use wv_metrics::{MetricsError, MetricsPage};

impl Core {
    /// Counts new work sent to a draining database, and logs the first case after the platform's drain timeout, which
    /// would violate the invariant of the `drain` module.
    pub(crate) fn count_new_work_while_draining(&mut self, key: DatabaseKey) {
        let now = self.now;
        let Some(member) = self.health.database_mut(key) else { return };
        let Some(leaving) = member.leaving.as_mut() else { return };
        leaving.new_work_count += 1;
        let age_us = leaving.since.age_us(now);
        if age_us > self.drain.platform_drain_us && !std::mem::replace(&mut leaving.is_overdue_logged, true) {
            log::error!(
                "database {} was sent new work {} ms after it began to drain",
                member.instance.id,
                age_us / 1000
            );
        }
    }

    /// The metrics page.
    pub fn metrics(&self) -> Result<Vec<u8>, MetricsError> {
        let mut page = MetricsPage::default();
        page.add_gauge(
            ("windvalve_configuration_version", "The configuration in force here"),
            self.held_configuration_version(),
        )?;
        page.add_gauge(("windvalve_sessions", "Open client sessions"), self.clients.len() as u64)?;
        page.add_gauge(("windvalve_connections", "Connections to databases"), self.connections.len() as u64)?;
        let members =
            || self.health.iter().flat_map(|(_, checker)| checker.databases().map(move |database| (checker, database)));
        let states = members().filter(|(_, (_, member))| !member.instance.gone).map(|(checker, (index, member))| {
            let state = format!("{:?}", checker.state(index, self.now)).to_lowercase();
            (vec![member.instance.id.clone(), checker.service.clone(), state], 1)
        });
        page.add_gauges(
            ("windvalve_database_state", "The routing state of each database here"),
            &["id", "service", "state"],
            states,
        )?;
        let leaving = || members().filter_map(|(_, (_, member))| member.leaving.map(|leaving| (member, leaving)));
        page.add_gauges(
            ("windvalve_database_leaving_ms", "How long ago a database is known here to have said that it leaves"),
            &["id"],
            leaving()
                .map(|(member, leaving)| (vec![member.instance.id.clone()], leaving.since.age_us(self.now) / 1000)),
        )?;
        page.add_gauges(
            ("windvalve_new_work_while_leaving", "Statements and transactions begun at a database that leaves"),
            &["id"],
            leaving().map(|(member, leaving)| (vec![member.instance.id.clone()], leaving.new_work_count)),
        )?;
        page.encode()
    }
}
