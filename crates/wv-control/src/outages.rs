//! Databases that recover from an outage: all access nodes slow-start them at the same time.
use crate::core::Core;
use crate::types::Outages;
use wv_internal_protocol::{FeedUpdate, Health, HealthReport, Message};

/// Outages further apart than this are not counted together.
const OUTAGE_WINDOW_US: u64 = 60_000_000;
/// Further databases are ignored until the outages of others have expired.
const MAX_TRACKED_DATABASES: usize = 4096;

impl Core {
    /// Records outages once enough access nodes report them, and a recovery on the first healthy report after one.
    pub(crate) fn track_outages(&mut self, reports: &[HealthReport]) {
        let now = self.now;
        for report in reports {
            if report.health != Health::Up {
                if self.is_down(&report.id) && self.outages.len() < MAX_TRACKED_DATABASES {
                    let outages = self.outages.entry(report.id.clone()).or_default();
                    if !std::mem::replace(&mut outages.is_down, true) {
                        outages.count = if outages.last_at + OUTAGE_WINDOW_US < now { 1 } else { outages.count + 1 };
                    }
                    outages.last_at = now;
                }
                continue;
            }
            // A healthy report that predates the outage is not a recovery.
            let is_back = |outages: &&mut Outages| outages.is_down && outages.last_at + report.health_age_us < now;
            if let Some(outages) = self.outages.get_mut(&report.id).filter(is_back) {
                (outages.is_down, outages.last_at) = (false, now);
                let (id, count) = (report.id.clone(), outages.count);
                self.send_peers(&Message::Recovered { id: id.clone(), outages: count });
                self.publish(FeedUpdate::SlowStart { id, outages: count });
            }
        }
        self.outages.retain(|_, outages| outages.is_down || outages.last_at + OUTAGE_WINDOW_US > now);
    }

    /// A restarted database may reappear under a new id at its old address: this counts as the same recovery.
    pub(crate) fn track_restarts(&mut self, changed: &[wv_internal_protocol::Instance]) {
        let now = self.now;
        for instance in changed.iter().filter(|instance| !instance.gone) {
            let is_known = self.outages.contains_key(&instance.id);
            let old =
                self.table.iter().find(|old| old.gone && old.address == instance.address && old.id != instance.id);
            let Some(old) = old.filter(|_| !is_known).map(|old| old.id.clone()) else { continue };
            let count = self.outages.remove(&old).map_or(1, |outages| outages.count);
            self.outages.insert(instance.id.clone(), Outages { count, last_at: now, is_down: false });
            self.publish(FeedUpdate::SlowStart { id: instance.id.clone(), outages: count });
        }
    }

    /// Handles a recovery first observed by another control node.
    pub(crate) fn on_peer_recovered(&mut self, id: String, count: u32) {
        let now = self.now;
        let outages = self.outages.entry(id.clone()).or_default();
        let is_known = !outages.is_down && outages.count == count;
        *outages = Outages { count, last_at: now, is_down: false };
        if !is_known {
            self.publish(FeedUpdate::SlowStart { id, outages: count });
        }
    }
}
