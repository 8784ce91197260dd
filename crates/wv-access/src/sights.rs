//! What this node tells the control side of the databases that it uses.
use crate::core::Core;
use wv_health::DatabaseKey;
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
        if !std::mem::take(&mut self.sights_due) && telling == Telling::Changes {
            return Vec::new();
        }
        if telling == Telling::Whole {
            self.told.clear();
        }
        self.round += u64::from(telling == Telling::Round);
        let (now, pools) = (self.now, &self.pools);
        let led = self.checks.iter().filter(|(_, checker)| checker.fenced_positions.newest().is_some()).count() as u64;
        let turns = led.div_ceil(ROUND_LEADERS).max(1);
        let mut sights = Vec::new();
        for (service, checker) in self.checks.iter() {
            // Nothing is written to a leader that is gone: what was seen last has reached the others by now.
            let is_led_gone = checker
                .leader_or_departed()
                .and_then(|seat| checker.database(seat))
                .is_some_and(|lead| lead.instance.gone);
            let fenced =
                if is_led_gone { checker.fenced_positions.newest() } else { checker.fenced_positions.settled() };
            for (seat, member) in checker.databases() {
                let spot = DatabaseKey { service, index: seat };
                let is_standing = pools.get(&spot).is_some_and(|pool| pool.all > pool.opening);
                // Only what was seen is told: down once it is agreed on, up where a connection stands.
                let is_silent = !member.is_isolated() && member.health == Health::Unreachable;
                let sight = match (member.instance.gone, member.is_isolated(), is_silent) {
                    (true, _, _) => Health::Unknown,
                    (_, true, _) => member.health,
                    (_, _, true) => Health::Suspected,
                    _ if is_standing => Health::Up,
                    _ => Health::Unknown,
                };
                let told = self.told.get(&spot).copied().unwrap_or(Health::Unknown);
                let is_leader = checker.leader_or_departed() == Some(seat);
                // Of many services each round tells of a few leaders in turn: other nodes tell of the same ones.
                let is_turn = telling != Telling::Round || (u64::from(service) + self.round).is_multiple_of(turns);
                let ages = match sight {
                    // Of a leader that is gone the last fenced sighting still tells who may follow it.
                    Health::Unknown => is_leader && fenced.is_some() && member.instance.gone,
                    Health::Up => is_leader && fenced.is_some() && is_turn,
                    _ => true,
                };
                let is_ending = member.instance.draining || member.instance.gone;
                let least = if is_leader && is_ending { Telling::Beat } else { Telling::Round };
                if sight == told && !(ages && telling >= least) {
                    continue;
                }
                self.told.insert(spot, sight);
                let fenced = fenced.filter(|_| is_leader);
                sights.push(HealthReport {
                    id: member.instance.id.clone(),
                    health: sight,
                    health_age_us: now.saturating_sub(member.health_since),
                    last_heard_age_us: pools
                        .get(&spot)
                        .filter(|pool| pool.heard > 0)
                        .map_or(u64::MAX, |pool| now.saturating_sub(pool.heard)),
                    fenced_position: fenced.map(|(_, pos)| pos.to_string()).unwrap_or_default(),
                    fenced_age_us: fenced.map_or(0, |(sent, _)| now.saturating_sub(sent)),
                });
            }
        }
        sights
    }
}
