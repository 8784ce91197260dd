//! Health reports to the control plane about the databases that this node uses.
use crate::core::Core;
use wv_health::DatabaseKey;
use wv_internal_protocol::{Health, HealthReport};

/// Number of healthy leaders whose fenced position is repeated in one periodic report.
const LEADERS_PER_ROUND: u64 = 8;

/// Which reports are sent. Each scope includes the ones before it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum ReportScope {
    /// Changes since the last report.
    Changes,
    /// With each heartbeat: also leaders that are draining or removed, as a promotion waits for their position.
    Heartbeat,
    /// Every few heartbeats: also reports that expire, on unhealthy databases and on leaders.
    Periodic,
    /// At the start of a session: all reports.
    Full,
}

impl Core {
    /// Whether health changes are not yet reported to the control node.
    pub fn has_health_reports(&self) -> bool {
        self.is_health_report_due || self.slots.is_report_due
    }

    pub fn take_health_reports(&mut self, scope: ReportScope) -> Vec<HealthReport> {
        if !std::mem::take(&mut self.is_health_report_due) && scope == ReportScope::Changes {
            return Vec::new();
        }
        if scope == ReportScope::Full {
            self.reported_health.clear();
        }
        self.maintenance_round += u64::from(scope == ReportScope::Periodic);
        let (now, pools) = (self.now, &self.pools);
        let leader_count =
            self.health.iter().filter(|(_, checker)| checker.fenced_positions.newest().is_some()).count() as u64;
        let round_count = leader_count.div_ceil(LEADERS_PER_ROUND).max(1);
        let mut reports = Vec::new();
        for (service, checker) in self.health.iter() {
            // A removed leader receives no more writes, so its newest position needs no time to settle.
            let is_leader_removed = checker
                .leader_or_departed()
                .and_then(|index| checker.database(index))
                .is_some_and(|leader| leader.instance.gone);
            let fenced =
                if is_leader_removed { checker.fenced_positions.newest() } else { checker.fenced_positions.settled() };
            for (index, member) in checker.databases() {
                let key = DatabaseKey { service, index };
                let is_connected = pools.get(&key).is_some_and(|pool| pool.total > pool.opening);
                // Reports only observations: down once the checks agree, up if a connection is established.
                let is_unreachable = !member.is_isolated() && member.health == Health::Unreachable;
                let health = match (member.instance.gone, member.is_isolated(), is_unreachable) {
                    (true, _, _) => Health::Unknown,
                    (_, true, _) => member.health,
                    (_, _, true) => Health::Suspected,
                    _ if is_connected => Health::Up,
                    _ => Health::Unknown,
                };
                let last_reported = self.reported_health.get(&key).copied().unwrap_or(Health::Unknown);
                let is_leader = checker.leader_or_departed() == Some(index);
                // Leaders take turns in periodic reports; other nodes report the same ones.
                let is_turn = scope != ReportScope::Periodic
                    || (u64::from(service) + self.maintenance_round).is_multiple_of(round_count);
                let expires = match health {
                    // The last fenced position of a removed leader still decides which replica may be promoted.
                    Health::Unknown => is_leader && fenced.is_some() && member.instance.gone,
                    Health::Up => is_leader && fenced.is_some() && is_turn,
                    _ => true,
                };
                let is_draining = member.instance.draining || member.instance.gone;
                let min_scope = if is_leader && is_draining { ReportScope::Heartbeat } else { ReportScope::Periodic };
                if health == last_reported && !(expires && scope >= min_scope) {
                    continue;
                }
                self.reported_health.insert(key, health);
                let fenced = fenced.filter(|_| is_leader);
                reports.push(HealthReport {
                    id: member.instance.id.clone(),
                    health,
                    health_age_us: now.saturating_sub(member.health_since),
                    last_heard_age_us: pools
                        .get(&key)
                        .filter(|pool| pool.last_data_at > 0)
                        .map_or(u64::MAX, |pool| now.saturating_sub(pool.last_data_at)),
                    fenced_position: fenced.map(|(_, position)| position.to_string()).unwrap_or_default(),
                    fenced_age_us: fenced.map_or(0, |(sent, _)| now.saturating_sub(sent)),
                });
            }
        }
        reports
    }
}
