//! Shrinks a failing schedule: removes events and shortens durations while the same check still fails.
use super::{check, run, Event, Finding, Schedule};

const RUNS_MAX: usize = 300;

/// The shortest schedule found that fails the same check as `schedule`, and its finding; none if `schedule` passes.
pub fn shrink(schedule: &Schedule, on_progress: impl FnMut(&Schedule)) -> Option<(Schedule, Finding)> {
    shrink_with(schedule, |schedule| check(&run(schedule), schedule.fault_bound), on_progress)
}

/// Like `shrink`, with another evaluation function.
pub fn shrink_with(
    schedule: &Schedule,
    mut evaluate: impl FnMut(&Schedule) -> Vec<Finding>,
    mut on_progress: impl FnMut(&Schedule),
) -> Option<(Schedule, Finding)> {
    let mut found = evaluate(schedule).into_iter().next()?;
    let (mut best, mut runs, mut is_improved) = (schedule.clone(), 0, true);
    while std::mem::take(&mut is_improved) {
        let (mut index, mut candidates) = (0, reductions(&best));
        while index < candidates.len() && runs < RUNS_MAX {
            runs += 1;
            let reproduced =
                evaluate(&candidates[index]).into_iter().find(|reproduced| reproduced.check == found.check);
            let Some(reproduced) = reproduced else {
                index += 1;
                continue;
            };
            (best, found, is_improved) = (candidates.swap_remove(index), reproduced, true);
            on_progress(&best);
            candidates = reductions(&best);
            // Reductions that failed before are tried again only in the next round.
            index = index.min(candidates.len());
        }
    }
    Some((best, found))
}

/// All schedules that are one reduction step shorter, larger reductions first.
fn reductions(schedule: &Schedule) -> Vec<Schedule> {
    let with_events = |events: Vec<Event>| Schedule { events, ..schedule.clone() };
    let (events, count) = (&schedule.events, schedule.events.len());
    let mut candidates = Vec::new();
    if count > 3 {
        candidates.extend([with_events(events[count / 2..].to_vec()), with_events(events[..count / 2].to_vec())]);
    }
    let without = |index: usize| {
        events.iter().enumerate().filter(move |(other, _)| *other != index).map(|(_, event)| event.clone())
    };
    candidates.extend((0..count).map(|index| with_events(without(index).collect())));
    let edited = |index: usize, edit: fn(&mut Event) -> bool| {
        let mut events = events.clone();
        edit(&mut events[index]).then(|| with_events(events))
    };
    let edits: [fn(&mut Event) -> bool; 3] = [
        |event| {
            event.duration_ms /= 2;
            event.duration_ms > 20
        },
        |event| event.targets.len() > 2 && event.targets.pop().is_some(),
        |event| {
            event.amount /= 2;
            event.amount > 1
        },
    ];
    (0..count).for_each(|index| candidates.extend(edits.iter().filter_map(|edit| edited(index, *edit))));
    // Moves the first event to 100 ms after the start.
    let first = events.iter().map(|event| event.at_ms).min().unwrap_or(0);
    if first > 200 {
        let shifted = |event: &Event| Event { at_ms: event.at_ms - first + 100, ..event.clone() };
        candidates.push(with_events(events.iter().map(shifted).collect()));
    }
    candidates
}
