//! What this node tells the control side of the databases that it uses.
use crate::core::Core;
use wv_health::Spot;
use wv_internal_protocol::{Health, HealthReport};

/// Leaders that are told of again in one round, with their fenced sightings.
const ROUND_LEADERS: u64 = 8;

/// How much is told at one time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Telling {
    /// What changed since it was last told.
    Changes,
    /// With a beat: also who leads and is about to leave, as a promotion waits for that.
    Beat,
    /// Now and then: also what ages, bad sightings and who leads.
    Round,
    /// At the start of a session: everything.
    Whole,
}

impl Core {
    pub fn take_sights(&mut self, telling: Telling) -> Vec<HealthReport> {
        if !std::mem::take(&mut self.is_health_report_due) && telling == Telling::Changes {
            return Vec::new();
        }
        if telling == Telling::Whole {
            self.reported_health.clear();
        }
        self.maintenance_round += u64::from(telling == Telling::Round);
        let (now, pools) = (self.now, &self.pools);
        let led = self.checks.iter().filter(|(_, checker)| checker.fenced.newest().is_some()).count() as u64;
        let turns = led.div_ceil(ROUND_LEADERS).max(1);
        let mut sights = Vec::new();
        for (service, checker) in self.checks.iter() {
            // Nothing is written to a leader that is gone: what was seen last has reached the others by now.
            let is_led_gone = checker.led().and_then(|seat| checker.member(seat)).is_some_and(|lead| lead.inst.gone);
            let fenced = if is_led_gone { checker.fenced.newest() } else { checker.fenced.settled() };
            for (seat, member) in checker.members() {
                let spot = Spot { service, seat };
                let is_standing = pools.get(&spot).is_some_and(|pool| pool.total > pool.opening);
                // Only what was seen is told: down once it is agreed on, up where a connection stands.
                let is_silent = !member.is_isolated() && member.sight == Health::Unreachable;
                let sight = match (member.inst.gone, member.is_isolated(), is_silent) {
                    (true, _, _) => Health::Unknown,
                    (_, true, _) => member.sight,
                    (_, _, true) => Health::Suspected,
                    _ if is_standing => Health::Up,
                    _ => Health::Unknown,
                };
                let told = self.reported_health.get(&spot).copied().unwrap_or(Health::Unknown);
                let is_leader = checker.led() == Some(seat);
                // Of many services each round tells of a few leaders in turn: other nodes tell of the same ones.
                let is_turn =
                    telling != Telling::Round || (u64::from(service) + self.maintenance_round).is_multiple_of(turns);
                let ages = match sight {
                    // Of a leader that is gone the last fenced sighting still tells who may follow it.
                    Health::Unknown => is_leader && fenced.is_some() && member.inst.gone,
                    Health::Up => is_leader && fenced.is_some() && is_turn,
                    _ => true,
                };
                let is_ending = member.inst.draining || member.inst.gone;
                let least = if is_leader && is_ending { Telling::Beat } else { Telling::Round };
                if sight == told && !(ages && telling >= least) {
                    continue;
                }
                self.reported_health.insert(spot, sight);
                let fenced = fenced.filter(|_| is_leader);
                sights.push(HealthReport {
                    id: member.inst.id.clone(),
                    health: sight,
                    health_age_us: now.saturating_sub(member.since),
                    last_heard_age_us: pools
                        .get(&spot)
                        .filter(|pool| pool.last_data_at > 0)
                        .map_or(u64::MAX, |pool| now.saturating_sub(pool.last_data_at)),
                    fenced_position: fenced.map(|(_, pos)| pos.to_string()).unwrap_or_default(),
                    fenced_age_us: fenced.map_or(0, |(sent, _)| now.saturating_sub(sent)),
                });
            }
        }
        sights
    }
}
