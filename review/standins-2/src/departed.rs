//! A primary leaves by `DELETE` and serves on; its successor's other replica is deaf for a moment, and the successor
//! crashes.
use crate::day::{Day, Verdict};
use crate::world::Leaving;
use std::time::{Duration, Instant};

const SERVICE: &str = "ledger";
/// `drainMs`, and a little longer.
const SERVES_ON: Duration = Duration::from_millis(7000 + 5000);
/// The replica is deaf for this long before the primary crashes, and on for the rest of `DEAF`.
const DEAF_BEFORE: Duration = Duration::from_millis(600);
const DEAF: Duration = Duration::from_millis(6500);
const CRASHED: Duration = Duration::from_millis(7000);

pub fn run(day: &mut Day, has_leave: bool, has_crash: bool) -> Verdict {
    day.wait(Duration::from_secs(4));
    let Some(first) = day.world.primary(SERVICE) else { return Verdict::NotRun("nobody leads".to_owned()) };
    let mut ends_at = None;
    if has_leave {
        day.world.record.tell(&format!("{first} leads and leaves: DELETE first, then it serves on"));
        day.world.with(&first, |database| database.leaving = Leaving::Deleted);
        let Some(_) = day.await_successor(SERVICE, &first, Duration::from_secs(6)) else {
            return Verdict::NotRun("nobody was promoted when the primary left".to_owned());
        };
        ends_at = day.world.with(&first, |database| database.leave_acked).flatten().map(|acked| acked + SERVES_ON);
        if ends_at.is_none() {
            return Verdict::NotRun("the leave was not acknowledged".to_owned());
        }
    }
    day.wait(Duration::from_millis(1200));
    let second = day.world.primary(SERVICE).unwrap_or_default();
    day.world.record.tell(&format!("{second} leads"));
    if has_crash {
        let is_other = |id: &String| *id != first && *id != second;
        let ids: Vec<String> =
            day.world.lock().databases.iter().filter(|of| of.service == SERVICE).map(|of| of.id.clone()).collect();
        let Some(deaf) = ids.into_iter().rfind(is_other) else { return Verdict::NotRun("no replica".to_owned()) };
        day.world.record.tell(&format!("{deaf} is deaf"));
        day.world.with(&deaf, |database| database.is_deaf = true);
        let deaf_since = Instant::now();
        day.wait(DEAF_BEFORE);
        day.world.crash(&second);
        day.world.record.tell(&format!("{second} has crashed"));
        let crashed_at = Instant::now();
        day.wait(DEAF.saturating_sub(deaf_since.elapsed()));
        day.world.with(&deaf, |database| database.is_deaf = false);
        day.wait(CRASHED.saturating_sub(crashed_at.elapsed()));
        day.world.start(&second);
    }
    if let Some(ends_at) = ends_at {
        day.wait(ends_at.saturating_duration_since(Instant::now()));
        replace(day, &first);
    }
    day.wait(Duration::from_secs(4));
    day.judge_lost()
}

/// The database ends, and its log passes to a new one at its address.
fn replace(day: &mut Day, old: &str) {
    day.world.crash(old);
    let Some((log, zone, term)) = day.world.with(old, |gone| (gone.log.clone(), gone.zone.clone(), gone.term)) else {
        return;
    };
    let heir = format!("{old}-2");
    day.wait(Duration::from_millis(300));
    day.add_database(&heir, SERVICE, &zone, 0, false);
    day.world.with(&heir, |new| (new.log, new.term) = (log, term));
    day.world.start(&heir);
}
