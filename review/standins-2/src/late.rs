//! A primary crashes for a moment and returns while the platform is slow; the promotion that was asked for meanwhile comes when
//! the service is whole again.
use crate::day::{Day, Verdict};
use crate::world::State;
use std::time::{Duration, Instant};

const SERVICE: &str = "ledger";
/// How long the platform takes for a call.
pub const PLATFORM_DELAY: Duration = Duration::from_millis(6000);
const CRASHED: Duration = Duration::from_millis(2000);
const DEAF: Duration = Duration::from_millis(6500);
/// From the moment in which all replicas receive again until one of them is deaf.
const CALM: Duration = Duration::from_millis(400);

/// Whether the primary runs and no replica of the service is suspended.
fn is_whole(state: &State) -> bool {
    let mut copies = state.databases.iter().filter(|database| database.service == SERVICE);
    copies.all(|database| database.is_up && database.suspended == 0)
}

pub fn run(day: &mut Day, has_trouble: bool, has_deaf_replica: bool) -> Verdict {
    day.wait(Duration::from_secs(4));
    let Some(primary) = day.world.primary(SERVICE) else { return Verdict::NotRun("nobody leads".to_owned()) };
    if !has_trouble {
        day.wait(Duration::from_secs(12));
        return day.judge_lost();
    }
    day.world.record.tell(&format!("{primary} leads and crashes for {} ms", CRASHED.as_millis()));
    day.world.crash(&primary);
    day.wait(CRASHED);
    day.world.start(&primary);
    let named = day.world.lock().calls.iter().find(|call| call.0 == SERVICE).map(|call| call.1.clone());
    let Some(named) = named else { return Verdict::NotRun("no promotion was asked for".to_owned()) };
    day.world
        .record
        .tell(&format!("{primary} leads again with its log; the platform still works on the promotion of {named}"));
    let is_settled = day.wait_for(Duration::from_secs(6), |state| is_whole(state) || !state.promotions.is_empty());
    let is_promoted = !day.world.lock().promotions.is_empty();
    day.world.record.tell(match (is_settled, is_promoted) {
        (_, true) => "a database was promoted before the replicas received again",
        (true, false) => "the replicas receive again, clients are served",
        (false, false) => "the replicas stay suspended",
    });
    day.wait(CALM);
    let deaf_since = Instant::now();
    if has_deaf_replica && !is_promoted {
        day.world.record.tell(&format!("{named} is deaf"));
        day.world.with(&named, |database| database.is_deaf = true);
    }
    if !day.wait_for(DEAF, |state| !state.promotions.is_empty()) {
        day.world.record.tell("nobody was promoted late");
    }
    day.wait(DEAF.saturating_sub(deaf_since.elapsed()));
    day.world.with(&named, |database| database.is_deaf = false);
    day.wait(Duration::from_secs(3));
    day.judge_lost()
}
