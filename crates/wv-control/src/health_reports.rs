//! Health reports of access nodes on databases, forwarded only to the control node that holds the duty of the service.
use crate::core::Core;
use std::collections::BTreeMap;
use wv_internal_protocol::{Health, HealthReport, Message};
use wv_wire_protocol::LogPosition;

/// Reports older than this are ignored, unless they say `Up`.
const REPORT_VALIDITY_US: u64 = 9_000_000;
/// Upper limit of the reports required to consider a database down; each access node monitors only what it uses.
const MAX_REQUIRED_REPORTS: usize = 4;

impl Core {
    /// Adds the lag of a stalled process to the age of fenced positions, since reports may have been queued meanwhile.
    /// Other ages are not raised: that would make an outage look longer than observed.
    pub(crate) fn age_reports(&self, reports: &mut [HealthReport]) {
        let lag_us = self.contact.stalls.lag_us(self.now);
        reports.iter_mut().for_each(|report| report.fenced_age_us = report.fenced_age_us.saturating_add(lag_us));
    }

    /// Reports received from an access node directly.
    pub(crate) fn handle_node_reports(&mut self, node: &str, mut reports: Vec<HealthReport>) {
        self.age_reports(&mut reports);
        self.forward_reports(node, &reports);
        self.record_health_reports(node, reports);
    }

    fn forward_reports(&mut self, node: &str, reports: &[HealthReport]) {
        let mut parts: BTreeMap<String, Vec<HealthReport>> = BTreeMap::new();
        for report in reports {
            let Some(service) = self.table.get(&report.id).map(|instance| instance.service.as_str()) else { continue };
            let holder = self.membership.duty_holder(service);
            if holder != self.address {
                parts.entry(holder.to_owned()).or_default().push(report.clone());
            }
        }
        for (holder, reports) in parts {
            self.send_peer(&holder, Message::PeerHealthReports { node: node.to_owned(), reports });
        }
    }

    /// Forwards the stored reports of this node's sessions after duties moved to other control nodes.
    pub(crate) fn update_duty_peers(&mut self) {
        let live = self.membership.eligible_peers();
        if live == self.duty_peers {
            return;
        }
        self.duty_peers = live;
        for node in self.membership.sessions(self.now).into_iter().map(|session| session.node) {
            let current = |reports: &BTreeMap<String, (u64, HealthReport)>| {
                let (at, report) = reports.get(&node)?;
                let age = self.now.saturating_sub(*at);
                let (health_age_us, fenced_age_us) = (report.health_age_us + age, report.fenced_age_us + age);
                let last_heard_age_us = report.last_heard_age_us.saturating_add(age);
                Some(HealthReport { health_age_us, fenced_age_us, last_heard_age_us, ..report.clone() })
            };
            let reports: Vec<HealthReport> = self.health_reports.values().filter_map(current).collect();
            self.forward_reports(&node, &reports);
        }
    }

    /// Drops reports of access nodes that are gone.
    pub(crate) fn expire_reports(&mut self) {
        let (nodes, table) = (self.membership.node_names(), &self.table);
        self.health_reports.retain(|id, reports| {
            let is_known = table.get(id).is_some();
            reports.retain(|node, (_, report)| nodes.contains(node) && (is_known || report.health != Health::Unknown));
            !reports.is_empty()
        });
    }

    /// The current reports on database `id` with their ages.
    pub(crate) fn reports<'a>(&'a self, id: &str) -> impl Iterator<Item = (&'a HealthReport, u64)> {
        let now = self.now;
        let reports = self.health_reports.get(id).into_iter().flat_map(|reports| reports.values());
        let is_live =
            move |(at, report): &&(u64, HealthReport)| at + REPORT_VALIDITY_US > now || report.health == Health::Up;
        reports.filter(is_live).map(move |(at, report)| (report, now - at))
    }

    /// Whether a quarter of the access nodes, limited to between two and `MAX_REQUIRED_REPORTS`, report the database
    /// down. One failed link is not enough, and one node that reports otherwise does not prevent it.
    pub(crate) fn is_down(&self, id: &str) -> bool {
        let is_bad = |report: &HealthReport| matches!(report.health, Health::Refused | Health::Unreachable);
        let down = self.reports(id).filter(|(report, _)| is_bad(report)).count();
        let nodes = self.membership.node_count();
        down >= nodes.div_ceil(4).clamp(2, MAX_REQUIRED_REPORTS).min(nodes.max(1))
    }

    /// For how long every reporting access node has been refused. A node that started later does not shorten this,
    /// unless a node has heard from the database since the first refusal.
    pub(crate) fn refused_for_us(&self, id: &str) -> Option<u64> {
        let is_refused = |report: &HealthReport| report.health == Health::Refused;
        self.reports(id).all(|(report, _)| is_refused(report)).then_some(())?;
        let lasting = || self.reports(id).map(|(report, age)| report.health_age_us + age);
        let (longest, shortest) = (lasting().max()?, lasting().min()?);
        let has_responded =
            self.reports(id).any(|(report, age)| report.last_heard_age_us.saturating_add(age) < longest);
        Some(if has_responded { shortest } else { longest })
    }

    pub(crate) fn fenced_position(&self, id: &str) -> Option<(u64, LogPosition)> {
        self.reports(id)
            .filter_map(|(report, age)| {
                Some((report.fenced_age_us + age, LogPosition::parse(report.fenced_position.as_bytes())?))
            })
            .min_by_key(|(age, _)| *age)
    }

    /// The highest known term of the service.
    pub(crate) fn known_term(&self, service: &str) -> u64 {
        let ids = self.table.service_instances(service).map(|instance| instance.id.as_str());
        let seen = ids
            .flat_map(|id| self.reports(id))
            .filter_map(|(report, _)| LogPosition::parse(report.fenced_position.as_bytes()));
        let known_term = self.feed.leader(service).map_or(0, |leader| leader.term);
        seen.map(|position| position.term).max().unwrap_or(0).max(known_term)
    }
}
