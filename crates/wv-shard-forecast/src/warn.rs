//! When operators are warned: early enough that one quiet window can be missed.
use crate::{Forecast, Outlook};

/// Between two words on the same shard that say nothing new.
const AGAIN_US: u64 = 24 * crate::HOUR_US;

/// What a move needs: the quiet windows to come (start and end), the first one may be open now, and the time it takes.
#[derive(Clone, Debug)]
pub struct Need {
    pub now_us: u64,
    pub windows: Vec<(u64, u64)>,
    pub move_us: u64,
}

/// A warning that stands.
#[derive(nanoserde::SerBin, nanoserde::DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct Advice {
    pub early_us: u64,
    pub likely_us: Option<u64>,
    /// The window to split in.
    pub from_us: u64,
    pub until_us: u64,
    pub raised_us: u64,
    pub told_us: u64,
}

impl Need {
    /// The windows that are long enough, from where they can still be used.
    fn fit(&self) -> Vec<(u64, u64)> {
        let usable = |(from, until): &(u64, u64)| ((*from).max(self.now_us), *until);
        self.windows.iter().map(usable).filter(|(from, until)| from + self.move_us <= *until).collect()
    }
}

/// Whether operators are to be warned, and whether that is worth saying now. A warning that stands is taken back only
/// when there is a whole window more of time than it takes to raise it.
pub fn advise(outlook: &Outlook, need: &Need, held: Option<&Advice>) -> (Option<Advice>, bool) {
    let Outlook::Known(Forecast { crossing, .. }) = outlook else { return (held.cloned(), false) };
    let fit = need.fit();
    let Some((first, second)) = fit.first().zip(fit.get(1)) else { return (held.cloned(), false) };
    let beyond = fit.get(2).map_or(second.1, |third| third.0);
    let bound = if held.is_some() { beyond } else { second.0 };
    let Some(early_us) = crossing.early_us.filter(|early| *early < bound + need.move_us) else {
        return (None, held.is_some());
    };
    // A window that was named stays named while it can still be used.
    let window = held
        .map(|held| (held.from_us.max(need.now_us), held.until_us))
        .filter(|(from, until)| from + need.move_us <= *until)
        .unwrap_or(*first);
    let is_news = held.is_none_or(|held| held.until_us != window.1 || held.told_us + AGAIN_US <= need.now_us);
    let advice = Advice {
        early_us,
        likely_us: crossing.likely_us,
        from_us: held.filter(|held| held.until_us == window.1).map_or(window.0, |held| held.from_us),
        until_us: window.1,
        raised_us: held.map_or(need.now_us, |held| held.raised_us),
        told_us: if is_news { need.now_us } else { held.map_or(need.now_us, |held| held.told_us) },
    };
    (Some(advice), is_news)
}
