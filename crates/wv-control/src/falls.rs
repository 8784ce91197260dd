//! Databases that fell and come back: all access nodes are told to ease them in together.
use crate::core::Core;
use crate::types::Outages;
use wv_internal_protocol::{FeedUpdate, Health, HealthReport, Message};

/// Falls further apart than this are not counted together.
const LATELY_US: u64 = 60_000_000;
const FALLS_MAX: usize = 4096;

impl Core {
    /// Notes falls on agreeing sightings, and returns on the first good one after.
    pub(crate) fn watch_falls(&mut self, sights: &[HealthReport]) {
        let now = self.now;
        for sight in sights {
            if sight.health != Health::Up {
                if self.is_down(&sight.id) && self.outages.len() < FALLS_MAX {
                    let fall = self.outages.entry(sight.id.clone()).or_default();
                    if !std::mem::replace(&mut fall.is_down, true) {
                        fall.count = if fall.last_at + LATELY_US < now { 1 } else { fall.count + 1 };
                    }
                    fall.last_at = now;
                }
                continue;
            }
            // A good word that is older than the fall is no return.
            let is_back = |fall: &&mut Outages| fall.is_down && fall.last_at + sight.health_age_us < now;
            if let Some(fall) = self.outages.get_mut(&sight.id).filter(is_back) {
                (fall.is_down, fall.last_at) = (false, now);
                let (id, falls) = (sight.id.clone(), fall.count);
                self.send_peers(&Message::Recovered { id: id.clone(), outages: falls });
                self.publish(FeedUpdate::SlowStart { id, outages: falls });
            }
        }
        self.outages.retain(|_, fall| fall.is_down || fall.last_at + LATELY_US > now);
    }

    /// A database that restarts may come back under another id at its old address: it is the same return.
    pub(crate) fn watch_places(&mut self, changed: &[wv_internal_protocol::Instance]) {
        let now = self.now;
        for inst in changed.iter().filter(|inst| !inst.gone) {
            let is_known = self.outages.contains_key(&inst.id);
            let old = self.table.iter().find(|old| old.gone && old.address == inst.address && old.id != inst.id);
            let Some(old) = old.filter(|_| !is_known).map(|old| old.id.clone()) else { continue };
            let falls = self.outages.remove(&old).map_or(1, |fall| fall.count);
            self.outages.insert(inst.id.clone(), Outages { count: falls, last_at: now, is_down: false });
            self.publish(FeedUpdate::SlowStart { id: inst.id.clone(), outages: falls });
        }
    }

    /// Another control node saw the return first.
    pub(crate) fn eased(&mut self, id: String, falls: u32) {
        let now = self.now;
        let fall = self.outages.entry(id.clone()).or_default();
        let is_known = !fall.is_down && fall.count == falls;
        *fall = Outages { count: falls, last_at: now, is_down: false };
        if !is_known {
            self.publish(FeedUpdate::SlowStart { id, outages: falls });
        }
    }
}
