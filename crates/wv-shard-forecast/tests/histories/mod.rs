//! Generated histories, each named for what is hard about it.
use wv_shard_forecast::{Forecast, History, Method, DAY_US, HOUR_US};

/// Rush hours of a day as parts of it, in thousandths by hour.
const RUSH: [u64; 24] = [4, 3, 2, 2, 3, 8, 25, 60, 95, 90, 60, 45, 40, 42, 50, 62, 85, 110, 90, 55, 34, 18, 11, 6];

/// Draws between -500 and 500, the same ones each time.
fn draw(seed: u64) -> i64 {
    (wv_shard_forecast::hash(&seed.to_le_bytes()) % 1001) as i64 - 500
}

/// `days` of hours, each adding what `per_day` and the hour's part say; hours that `is_there` leaves out are missing.
pub fn history(days: u64, per_day: impl Fn(u64) -> f64, is_flat: bool, is_there: impl Fn(u64) -> bool) -> History {
    let mut history = History::default();
    let mut rows = 100_000.0f64;
    for hour in 0..days * 24 {
        let part = if is_flat { 1.0 / 24.0 } else { RUSH[(hour % 24) as usize] as f64 / 1000.0 };
        rows += per_day(hour / 24) * part;
        if is_there(hour) {
            history.note(10 * 7 * DAY_US + hour * HOUR_US, rows as u64, rows as u64 * 120);
        }
    }
    history
}

pub fn all() -> Vec<(&'static str, History)> {
    vec![
        ("steady", history(28, |_| 10_000.0, true, |_| true)),
        ("rush-hour", history(28, |day| 10_000.0 + 20.0 * day as f64, false, |_| true)),
        ("step", history(28, |day| if day < 16 { 8_000.0 } else { 16_000.0 }, false, |_| true)),
        ("noisy", history(28, |day| 10_000.0 + 6.0 * draw(day) as f64, false, |_| true)),
        ("weekly", history(28, |day| if day % 7 < 5 { 12_000.0 } else { 5_000.0 }, false, |_| true)),
        ("gap", history(28, |day| 10_000.0 + 2.0 * draw(day) as f64, false, |hour| !(300..350).contains(&hour))),
        ("shrinking", history(28, |day| 10_000.0 - 300.0 * day as f64, false, |_| true)),
        ("too short", history(3, |_| 10_000.0, false, |_| true)),
    ]
}

/// Foretells from each day on: the mean error of the growth as a share, and the share of intervals that held it.
pub fn backtest(whole: &History, ahead: u64, method: Method) -> Option<(f64, f64)> {
    let points = whole.points();
    let (mut misses, mut grown, mut held, mut count) = (0.0f64, 0.0f64, 0u32, 0u32);
    for cut in (10 * 24..points.len()).step_by(24) {
        let mut known = History::default();
        points[..cut].iter().for_each(|point| known.note(u64::from(point.hour) * HOUR_US, point.rows, point.bytes));
        let now = points[cut - 1];
        let wanted = now.hour + (ahead * 24) as u32;
        let Some(came) = points.iter().find(|point| point.hour == wanted) else { continue };
        let Some((likely, half)) = Forecast::ahead(&known, ahead, method) else { continue };
        let miss = (likely - came.rows as f64).abs();
        misses += miss;
        grown += (came.rows - now.rows) as f64;
        held += u32::from(miss <= half + 1.0);
        count += 1;
    }
    (count > 0).then(|| (misses / grown.max(1.0), f64::from(held) / f64::from(count)))
}
