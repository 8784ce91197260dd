//! Forecasts when a shard reaches a threshold, with a confidence interval.
use crate::{History, Method, Point, BIN_US, DAY_US, HOUR_US};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Minimum number of whole days of history for a forecast.
const MIN_HISTORY_DAYS: usize = 4;
/// Maximum forecast horizon.
const HORIZON_DAYS: u64 = 60;
/// Quantile of either end of the 90% confidence interval.
const INTERVAL_QUANTILE: f64 = 0.95;

/// Times at which a threshold is reached: the early end of the interval, the point forecast and the late end.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ThresholdCrossing {
    pub early_us: Option<u64>,
    pub likely_us: Option<u64>,
    pub late_us: Option<u64>,
}

#[derive(Clone, PartialEq, Debug)]
pub struct Forecast {
    pub rows: u64,
    pub bytes: u64,
    pub rows_per_day: f64,
    pub bytes_per_day: f64,
    pub crossing: ThresholdCrossing,
    /// Whether the bytes threshold is reached before the rows threshold.
    pub is_limited_by_bytes: bool,
    /// Number of whole days of history used.
    pub days: usize,
}

#[derive(Clone, PartialEq, Debug)]
pub enum ForecastResult {
    InsufficientHistory { days: usize, required_days: usize },
    Available(Forecast),
}

/// Projection of one measure by the hour.
struct Projection {
    now: f64,
    model: crate::GrowthModel,
    profile: [f64; 24],
    quantile: f64,
}

impl Projection {
    /// Converts hours to days, weighted by the hourly profile.
    fn weighted_days(&self, from_us: u64, hours: u64) -> f64 {
        let first = from_us / BIN_US;
        let remainder: f64 = (0..hours % 24).map(|hour| self.profile[((first + hour) % 24) as usize]).sum();
        (hours / 24) as f64 + remainder
    }

    /// `side` selects the point forecast (0) or the upper (1) or lower (-1) end of the interval.
    fn value_at(&self, from_us: u64, hours: u64, side: f64) -> f64 {
        let days = self.weighted_days(from_us, hours);
        self.now + self.model.growth(days) + side * self.quantile * self.model.standard_error(days)
    }

    fn time_reached(&self, threshold: f64, from_us: u64, side: f64) -> Option<u64> {
        if self.now >= threshold {
            return Some(from_us);
        }
        let hour = (1..=HORIZON_DAYS * 24).find(|hour| self.value_at(from_us, *hour, side) >= threshold);
        hour.map(|hour| from_us + hour * HOUR_US)
    }
}

fn projection(history: &History, value: impl Fn(&Point) -> u64 + Copy, method: Method) -> Option<Projection> {
    let now = history.points().last().map(value)? as f64;
    let model = method.fit(&history.daily_growth(value));
    let quantile = StudentsT::new(0.0, 1.0, (model.error_count.max(2) - 1) as f64).ok()?.inverse_cdf(INTERVAL_QUANTILE);
    Some(Projection { now, model, profile: history.hourly_profile(value), quantile })
}

/// Forecasts when `rows_threshold` or `bytes_threshold` is reached, whichever comes first. A threshold of 0 is ignored.
pub fn forecast(history: &History, (rows_threshold, bytes_threshold): (u64, u64), method: Method) -> ForecastResult {
    let days = history.daily_growth(|point| point.rows).len();
    let newest = history.points().last().filter(|_| days >= MIN_HISTORY_DAYS);
    let Some(last) = newest else {
        return ForecastResult::InsufficientHistory { days, required_days: MIN_HISTORY_DAYS };
    };
    let from = (u64::from(last.hour) + 1) * BIN_US;
    let crossing = |projection: &Projection, threshold: u64| {
        let time_reached =
            |side| (threshold > 0).then(|| projection.time_reached(threshold as f64, from, side)).flatten();
        ThresholdCrossing { early_us: time_reached(1.0), likely_us: time_reached(0.0), late_us: time_reached(-1.0) }
    };
    let by_rows = projection(history, |point| point.rows, method);
    let by_bytes = projection(history, |point| point.bytes, method);
    let (Some(by_rows), Some(by_bytes)) = (by_rows, by_bytes) else {
        return ForecastResult::InsufficientHistory { days, required_days: MIN_HISTORY_DAYS };
    };
    let (rows, bytes) = (crossing(&by_rows, rows_threshold), crossing(&by_bytes, bytes_threshold));
    let is_limited_by_bytes = bytes.early_us.is_some_and(|bytes| rows.early_us.is_none_or(|rows| bytes < rows));
    ForecastResult::Available(Forecast {
        rows: last.rows,
        bytes: last.bytes,
        rows_per_day: by_rows.model.per_day,
        bytes_per_day: by_bytes.model.per_day,
        crossing: if is_limited_by_bytes { bytes } else { rows },
        is_limited_by_bytes,
        days,
    })
}

impl Forecast {
    /// The rows that `method` forecasts after `days`, and half the width of the interval. Used by backtests.
    pub fn predict_rows(history: &History, days: u64, method: Method) -> Option<(f64, f64)> {
        let projection = projection(history, |point| point.rows, method)?;
        let from = (u64::from(history.points().last()?.hour) + 1) * BIN_US;
        let hours = days * DAY_US / HOUR_US;
        let likely = projection.value_at(from, hours, 0.0);
        Some((likely, projection.value_at(from, hours, 1.0) - likely))
    }
}
