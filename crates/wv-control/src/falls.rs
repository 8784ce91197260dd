//! Databases that fell and come back: all access nodes are told to ease them in together.
use crate::core::Core;
use crate::types::Fall;
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
                if self.is_down(&sight.id) && self.fallen.len() < FALLS_MAX {
                    let fall = self.fallen.entry(sight.id.clone()).or_default();
                    if !std::mem::replace(&mut fall.is_down, true) {
                        fall.falls = if fall.last + LATELY_US < now { 1 } else { fall.falls + 1 };
                    }
                    fall.last = now;
                }
                continue;
            }
            // A good word that is older than the fall is no return.
            let is_back = |fall: &&mut Fall| fall.is_down && fall.last + sight.health_age_us < now;
            if let Some(fall) = self.fallen.get_mut(&sight.id).filter(is_back) {
                (fall.is_down, fall.last) = (false, now);
                let (id, falls) = (sight.id.clone(), fall.falls);
                self.send_peers(&Message::Recovered { id: id.clone(), outages: falls });
                self.publish(FeedUpdate::SlowStart { id, outages: falls });
            }
        }
        self.fallen.retain(|_, fall| fall.is_down || fall.last + LATELY_US > now);
    }

    /// A database that restarts may come back under another id at its old address: it is the same return.
    pub(crate) fn watch_places(&mut self, changed: &[wv_internal_protocol::Instance]) {
        let now = self.now;
        for inst in changed.iter().filter(|inst| !inst.gone) {
            let is_known = self.fallen.contains_key(&inst.id);
            let old = self.table.iter().find(|old| old.gone && old.address == inst.address && old.id != inst.id);
            let Some(old) = old.filter(|_| !is_known).map(|old| old.id.clone()) else { continue };
            let falls = self.fallen.remove(&old).map_or(1, |fall| fall.falls);
            self.fallen.insert(inst.id.clone(), Fall { falls, last: now, is_down: false });
            self.publish(FeedUpdate::SlowStart { id: inst.id.clone(), outages: falls });
        }
    }

    /// Another control node saw the return first.
    pub(crate) fn eased(&mut self, id: String, falls: u32) {
        let now = self.now;
        let fall = self.fallen.entry(id.clone()).or_default();
        let is_known = !fall.is_down && fall.falls == falls;
        *fall = Fall { falls, last: now, is_down: false };
        if !is_known {
            self.publish(FeedUpdate::SlowStart { id, outages: falls });
        }
    }
}
