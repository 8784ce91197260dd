//! Ways to say what the next days add, from what the last days added.

/// What is weighed against each other; the backtest in `examples/backtest.rs` chose.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Method {
    /// Tomorrow adds what today added.
    Naive,
    /// Tomorrow adds what the last days added, the younger ones weighing more.
    Smoothed,
    /// The same with a slope that is smoothed as well.
    Trended,
}

/// What is in use: the smoothed level alone is simpler, and its intervals miss whatever drifts.
pub const METHOD: Method = Method::Trended;

/// The weight of the newest day, and of the newest slope.
const ALPHA: f64 = 0.35;
const BETA: f64 = 0.15;

/// What a day adds from here on, and how far such words were from what came.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Level {
    pub per_day: f64,
    pub slope: f64,
    /// The root of the mean square of the errors of one day ahead.
    pub error: f64,
    /// How many errors that was made of.
    pub count: usize,
    alpha: f64,
}

impl Method {
    pub fn fit(self, days: &[f64]) -> Level {
        let (alpha, beta) = match self {
            Method::Naive => (1.0, 0.0),
            Method::Smoothed => (ALPHA, 0.0),
            Method::Trended => (ALPHA, BETA),
        };
        let Some((first, rest)) = days.split_first() else { return Level::default() };
        let (mut level, mut slope, mut squares) = (*first, 0.0, 0.0);
        for (at, day) in rest.iter().enumerate() {
            let miss = day - (level + slope);
            squares += miss * miss;
            // The first days weigh alike, so that the very first one is soon forgotten.
            let weight = alpha.max(1.0 / (at as f64 + 2.0));
            let next = level + slope + weight * miss;
            slope += beta * (next - level - slope);
            level = next;
        }
        let error = (squares / rest.len().max(1) as f64).sqrt();
        Level { per_day: level, slope, error, count: rest.len(), alpha }
    }
}

impl Level {
    /// What `days` add together, whole or not.
    pub fn growth(&self, days: f64) -> f64 {
        days * self.per_day + self.slope * days * (days + 1.0) / 2.0
    }

    /// The standard error of that sum: a miss of one day moves the level of all that follow.
    pub fn spread(&self, days: f64) -> f64 {
        let step = |day: u64| {
            let part = (days - day as f64).min(1.0);
            let reach = 1.0 + self.alpha * (days - day as f64 - 1.0).max(0.0);
            part * reach * reach
        };
        let sum: f64 = (0..days.ceil() as u64).map(step).sum();
        self.error * sum.sqrt()
    }
}
