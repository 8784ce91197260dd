//! A day that breaks a rule is made short: events go, spans shrink, as long as the same rule breaks.
use super::{check, play, Day, Event, Finding};

/// So many plays at most.
const PLAYS_MAX: usize = 300;

/// The shortest day found that breaks the same rule as `day`, and what it breaks; none where `day` breaks none.
pub fn shrink(day: &Day, tell: impl FnMut(&Day)) -> Option<(Day, Finding)> {
    shrink_by(day, |day| check(&play(day), day.bound), tell)
}

/// The same with other rules.
pub fn shrink_by(
    day: &Day,
    mut judge: impl FnMut(&Day) -> Vec<Finding>,
    mut tell: impl FnMut(&Day),
) -> Option<(Day, Finding)> {
    let mut found = judge(day).into_iter().next()?;
    let (mut best, mut plays, mut is_better) = (day.clone(), 0, true);
    while std::mem::take(&mut is_better) {
        let (mut at, mut ways) = (0, ways(&best));
        while at < ways.len() && plays < PLAYS_MAX {
            plays += 1;
            let again = judge(&ways[at]).into_iter().find(|again| again.check == found.check);
            let Some(again) = again else {
                at += 1;
                continue;
            };
            (best, found, is_better) = (ways.swap_remove(at), again, true);
            tell(&best);
            ways = self::ways(&best);
            // What could not go before hardly can now: it is tried again in the next round.
            at = at.min(ways.len());
        }
    }
    Some((best, found))
}

/// All days that are one step shorter: the larger steps first.
fn ways(day: &Day) -> Vec<Day> {
    let with = |events: Vec<Event>| Day { events, ..day.clone() };
    let (events, count) = (&day.events, day.events.len());
    let mut ways = Vec::new();
    if count > 3 {
        ways.extend([with(events[count / 2..].to_vec()), with(events[..count / 2].to_vec())]);
    }
    let without =
        |at: usize| events.iter().enumerate().filter(move |(held, _)| *held != at).map(|(_, event)| event.clone());
    ways.extend((0..count).map(|at| with(without(at).collect())));
    let edited = |at: usize, edit: fn(&mut Event) -> bool| {
        let mut events = events.clone();
        edit(&mut events[at]).then(|| with(events))
    };
    let edits: [fn(&mut Event) -> bool; 3] = [
        |event| {
            event.for_ms /= 2;
            event.for_ms > 20
        },
        |event| event.targets.len() > 2 && event.targets.pop().is_some(),
        |event| {
            event.by /= 2;
            event.by > 1
        },
    ];
    (0..count).for_each(|at| ways.extend(edits.iter().filter_map(|edit| edited(at, *edit))));
    // The whole day begins sooner.
    let first = events.iter().map(|event| event.at_ms).min().unwrap_or(0);
    if first > 200 {
        let sooner = |event: &Event| Event { at_ms: event.at_ms - first + 100, ..event.clone() };
        ways.push(with(events.iter().map(sooner).collect()));
    }
    ways
}
