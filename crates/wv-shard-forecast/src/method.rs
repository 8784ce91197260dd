//! Forecasting methods for daily growth.

/// The forecasting methods that `examples/backtest.rs` compares.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Method {
    /// The next day grows as much as the last one.
    Naive,
    /// Simple exponential smoothing.
    ExponentialSmoothing,
    /// Holt's linear trend method: exponential smoothing of level and slope.
    HoltLinear,
}

/// The method in use. Smoothing the level alone is simpler, but its intervals miss histories that drift.
pub const DEFAULT_METHOD: Method = Method::HoltLinear;

/// Smoothing factors of the level and of the slope.
const ALPHA: f64 = 0.35;
const BETA: f64 = 0.15;

/// A method fitted to a history: growth per day, and the accuracy of past one-day-ahead forecasts.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct GrowthModel {
    pub per_day: f64,
    pub slope: f64,
    /// Root mean square of the one-day-ahead forecast errors.
    pub rmse: f64,
    /// Number of those errors.
    pub error_count: usize,
    alpha: f64,
}

impl Method {
    pub fn fit(self, days: &[f64]) -> GrowthModel {
        let (alpha, beta) = match self {
            Method::Naive => (1.0, 0.0),
            Method::ExponentialSmoothing => (ALPHA, 0.0),
            Method::HoltLinear => (ALPHA, BETA),
        };
        let Some((first, rest)) = days.split_first() else { return GrowthModel::default() };
        let (mut level, mut slope, mut squared_errors) = (*first, 0.0, 0.0);
        for (at, day) in rest.iter().enumerate() {
            let error = day - (level + slope);
            squared_errors += error * error;
            // The first days are averaged, so that the initial value does not dominate.
            let weight = alpha.max(1.0 / (at as f64 + 2.0));
            let next = level + slope + weight * error;
            slope += beta * (next - level - slope);
            level = next;
        }
        let rmse = (squared_errors / rest.len().max(1) as f64).sqrt();
        GrowthModel { per_day: level, slope, rmse, error_count: rest.len(), alpha }
    }
}

impl GrowthModel {
    /// Total growth over `days`, which may be fractional.
    pub fn growth(&self, days: f64) -> f64 {
        days * self.per_day + self.slope * days * (days + 1.0) / 2.0
    }

    /// The standard error of `growth`: an error on one day shifts the level of all following days.
    pub fn standard_error(&self, days: f64) -> f64 {
        let variance = |day: u64| {
            let fraction = (days - day as f64).min(1.0);
            let weight = 1.0 + self.alpha * (days - day as f64 - 1.0).max(0.0);
            fraction * weight * weight
        };
        let sum: f64 = (0..days.ceil() as u64).map(variance).sum();
        self.rmse * sum.sqrt()
    }
}
