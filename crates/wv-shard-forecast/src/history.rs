//! Hourly history of the rows and bytes of a shard.
use crate::{DAY_US, HOUR_US};
use nanoserde::{DeBin, SerBin};

/// Interval between the points of a history.
pub const BIN_US: u64 = HOUR_US;
/// Five weeks of hourly points.
const MAX_POINTS: usize = 840;

/// Rows and bytes at the end of an hour, counted since the epoch.
#[derive(SerBin, DeBin, Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Point {
    pub hour: u32,
    pub rows: u64,
    pub bytes: u64,
}

#[derive(SerBin, DeBin, Clone, PartialEq, Debug, Default)]
pub struct History {
    points: Vec<Point>,
}

impl History {
    /// Records a measurement. The last one of an hour replaces earlier ones; measurements of past hours are ignored.
    pub fn record(&mut self, epoch_us: u64, rows: u64, bytes: u64) {
        let point = Point { hour: (epoch_us / BIN_US) as u32, rows, bytes };
        match self.points.last_mut() {
            Some(last) if last.hour == point.hour => *last = point,
            Some(last) if last.hour > point.hour => {}
            _ => self.points.push(point),
        }
        if self.points.len() > MAX_POINTS {
            self.points.remove(0);
        }
    }

    /// Merges another copy. The larger counts of an hour win, since counts only grow between splits.
    pub fn merge(&mut self, other: &History) {
        let mut all: std::collections::BTreeMap<u32, Point> =
            self.points.iter().map(|point| (point.hour, *point)).collect();
        for point in &other.points {
            let merged = all.entry(point.hour).or_insert(*point);
            (merged.rows, merged.bytes) = (merged.rows.max(point.rows), merged.bytes.max(point.bytes));
        }
        self.points = all.into_values().collect();
        let excess = self.points.len().saturating_sub(MAX_POINTS);
        self.points.drain(..excess);
    }

    pub fn points(&self) -> &[Point] {
        &self.points
    }

    /// Scales the history after a split to the share of the shard that remained.
    pub fn scale(&mut self, remaining_ratio: f64) {
        for point in &mut self.points {
            point.rows = (point.rows as f64 * remaining_ratio) as u64;
            point.bytes = (point.bytes as f64 * remaining_ratio) as u64;
        }
    }

    /// The value at this time, linearly interpolated between the neighboring points.
    pub(crate) fn interpolate(&self, value: impl Fn(&Point) -> u64, epoch_us: u64) -> Option<f64> {
        let end = |point: &Point| (u64::from(point.hour) + 1) * BIN_US;
        let at = self.points.partition_point(|point| end(point) < epoch_us);
        let after = self.points.get(at)?;
        if end(after) == epoch_us {
            return Some(value(after) as f64);
        }
        let before = at.checked_sub(1).and_then(|at| self.points.get(at))?;
        let fraction = (epoch_us - end(before)) as f64 / (end(after) - end(before)) as f64;
        Some(value(before) as f64 + fraction * (value(after) as f64 - value(before) as f64))
    }

    /// Growth per 24 hours, counted back from the newest point; oldest first.
    pub(crate) fn daily_growth(&self, value: impl Fn(&Point) -> u64 + Copy) -> Vec<f64> {
        let Some(last) = self.points.last() else { return Vec::new() };
        let end = (u64::from(last.hour) + 1) * BIN_US;
        let mut days = Vec::new();
        let mut upper = value(last) as f64;
        for back in 1.. {
            let Some(lower) = end.checked_sub(back * DAY_US).and_then(|from| self.interpolate(value, from)) else {
                break;
            };
            days.push(upper - lower);
            upper = lower;
        }
        days.reverse();
        days
    }

    /// The share of a day's growth that falls in each hour of the day, over the days of `daily_growth`.
    pub(crate) fn hourly_profile(&self, value: impl Fn(&Point) -> u64 + Copy) -> [f64; 24] {
        let uniform = || std::array::from_fn(|_| 1.0 / 24.0);
        let Some(last) = self.points.last() else { return uniform() };
        let end = (u64::from(last.hour) + 1) * BIN_US;
        let mut sums = [0.0f64; 24];
        for back in 0..(self.daily_growth(value).len() * 24) as u64 {
            let upper = end - back * BIN_US;
            let growth = self
                .interpolate(value, upper)
                .zip(self.interpolate(value, upper - BIN_US))
                .map_or(0.0, |(new, old)| new - old);
            sums[((upper / BIN_US + 23) % 24) as usize] += growth.max(0.0);
        }
        let total: f64 = sums.iter().sum();
        if total <= 0.0 {
            return uniform();
        }
        sums.map(|sum| sum / total)
    }
}
