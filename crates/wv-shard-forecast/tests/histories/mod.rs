//! Generated histories, named after the property that makes them difficult to forecast.
use wv_shard_forecast::{Forecast, History, Method, DAY_US, HOUR_US};

/// Share of a day's growth by hour, in thousandths, with two rush hours.
const HOURLY_SHARES_PER_MILLE: [u64; 24] =
    [4, 3, 2, 2, 3, 8, 25, 60, 95, 90, 60, 45, 40, 42, 50, 62, 85, 110, 90, 55, 34, 18, 11, 6];

/// Deterministic pseudo-random number from -500 to 500.
fn noise(seed: u64) -> i64 {
    (wv_shard_forecast::hash(&seed.to_le_bytes()) % 1001) as i64 - 500
}

/// A history of `days` with `per_day` growth, spread over the hours evenly if `is_flat`. Hours for which `has_point` is
/// false are missing.
pub fn history(days: u64, per_day: impl Fn(u64) -> f64, is_flat: bool, has_point: impl Fn(u64) -> bool) -> History {
    let mut history = History::default();
    let mut rows = 100_000.0f64;
    for hour in 0..days * 24 {
        let share = if is_flat { 1.0 / 24.0 } else { HOURLY_SHARES_PER_MILLE[(hour % 24) as usize] as f64 / 1000.0 };
        rows += per_day(hour / 24) * share;
        if has_point(hour) {
            history.record(10 * 7 * DAY_US + hour * HOUR_US, rows as u64, rows as u64 * 120);
        }
    }
    history
}

pub fn all() -> Vec<(&'static str, History)> {
    vec![
        ("steady", history(28, |_| 10_000.0, true, |_| true)),
        ("rush-hour", history(28, |day| 10_000.0 + 20.0 * day as f64, false, |_| true)),
        ("step", history(28, |day| if day < 16 { 8_000.0 } else { 16_000.0 }, false, |_| true)),
        ("noisy", history(28, |day| 10_000.0 + 6.0 * noise(day) as f64, false, |_| true)),
        ("weekly", history(28, |day| if day % 7 < 5 { 12_000.0 } else { 5_000.0 }, false, |_| true)),
        ("gap", history(28, |day| 10_000.0 + 2.0 * noise(day) as f64, false, |hour| !(300..350).contains(&hour))),
        ("shrinking", history(28, |day| 10_000.0 - 300.0 * day as f64, false, |_| true)),
        ("too short", history(3, |_| 10_000.0, false, |_| true)),
    ]
}

/// Forecasts from each day on. Returns the mean absolute error relative to the growth, and the share of intervals that
/// contained the actual value.
pub fn backtest(history: &History, horizon_days: u64, method: Method) -> Option<(f64, f64)> {
    let points = history.points();
    let (mut errors, mut growth, mut covered, mut count) = (0.0f64, 0.0f64, 0u32, 0u32);
    for cut in (10 * 24..points.len()).step_by(24) {
        let mut known = History::default();
        points[..cut].iter().for_each(|point| known.record(u64::from(point.hour) * HOUR_US, point.rows, point.bytes));
        let now = points[cut - 1];
        let target_hour = now.hour + (horizon_days * 24) as u32;
        let Some(actual) = points.iter().find(|point| point.hour == target_hour) else { continue };
        let Some((likely, half_width)) = Forecast::predict_rows(&known, horizon_days, method) else { continue };
        let error = (likely - actual.rows as f64).abs();
        errors += error;
        growth += (actual.rows - now.rows) as f64;
        covered += u32::from(error <= half_width + 1.0);
        count += 1;
    }
    (count > 0).then(|| (errors / growth.max(1.0), f64::from(covered) / f64::from(count)))
}
