//! Split advice for operators, raised early enough that one maintenance window can be missed.
use crate::{Forecast, ForecastResult};

/// Interval at which unchanged advice is repeated.
const REPEAT_INTERVAL_US: u64 = 24 * crate::HOUR_US;

/// The upcoming maintenance windows (start and end; the first may be open now) and the duration of a move.
#[derive(Clone, Debug)]
pub struct SplitSchedule {
    pub now_us: u64,
    pub windows: Vec<(u64, u64)>,
    pub move_us: u64,
}

/// Active advice to split a shard.
#[derive(nanoserde::SerBin, nanoserde::DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct SplitAdvice {
    pub early_us: u64,
    pub likely_us: Option<u64>,
    /// The window to split in.
    pub window_start_us: u64,
    pub window_end_us: u64,
    pub raised_us: u64,
    pub notified_us: u64,
}

impl SplitSchedule {
    /// The windows, less the part already past, that are long enough for the move.
    fn usable_windows(&self) -> Vec<(u64, u64)> {
        let remaining = |(from, until): &(u64, u64)| ((*from).max(self.now_us), *until);
        self.windows.iter().map(remaining).filter(|(from, until)| from + self.move_us <= *until).collect()
    }
}

/// Returns the advice, if any, and whether operators should be notified now. For hysteresis, active advice is withdrawn
/// only once there is one window more time than the limit for raising it.
pub fn advise(
    result: &ForecastResult,
    schedule: &SplitSchedule,
    previous: Option<&SplitAdvice>,
) -> (Option<SplitAdvice>, bool) {
    let ForecastResult::Available(Forecast { crossing, .. }) = result else { return (previous.cloned(), false) };
    let usable = schedule.usable_windows();
    let Some((first, second)) = usable.first().zip(usable.get(1)) else { return (previous.cloned(), false) };
    let withdraw_limit = usable.get(2).map_or(second.1, |third| third.0);
    let limit = if previous.is_some() { withdraw_limit } else { second.0 };
    let Some(early_us) = crossing.early_us.filter(|early| *early < limit + schedule.move_us) else {
        return (None, previous.is_some());
    };
    // An advised window is kept while it is still usable.
    let window = previous
        .map(|previous| (previous.window_start_us.max(schedule.now_us), previous.window_end_us))
        .filter(|(from, until)| from + schedule.move_us <= *until)
        .unwrap_or(*first);
    let should_notify = previous.is_none_or(|previous| {
        previous.window_end_us != window.1 || previous.notified_us + REPEAT_INTERVAL_US <= schedule.now_us
    });
    let advice = SplitAdvice {
        early_us,
        likely_us: crossing.likely_us,
        window_start_us: previous
            .filter(|previous| previous.window_end_us == window.1)
            .map_or(window.0, |previous| previous.window_start_us),
        window_end_us: window.1,
        raised_us: previous.map_or(schedule.now_us, |previous| previous.raised_us),
        notified_us: if should_notify {
            schedule.now_us
        } else {
            previous.map_or(schedule.now_us, |previous| previous.notified_us)
        },
    };
    (Some(advice), should_notify)
}
