//! What a shard held, hour by hour.
use crate::{DAY_US, HOUR_US};
use nanoserde::{DeBin, SerBin};

/// One point an hour is kept, for five weeks.
pub const BIN_US: u64 = HOUR_US;
const POINTS_MAX: usize = 840;

/// What stood there at the end of an hour since the epoch.
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
    /// Takes a measurement in; within one hour the last one counts, and time that went back changes nothing.
    pub fn note(&mut self, epoch_us: u64, rows: u64, bytes: u64) {
        let point = Point { hour: (epoch_us / BIN_US) as u32, rows, bytes };
        match self.points.last_mut() {
            Some(last) if last.hour == point.hour => *last = point,
            Some(last) if last.hour > point.hour => {}
            _ => self.points.push(point),
        }
        if self.points.len() > POINTS_MAX {
            self.points.remove(0);
        }
    }

    /// Another's copy: of an hour that both know the larger count stays, since counts only grow between splits.
    pub fn merge(&mut self, other: &History) {
        let mut all: std::collections::BTreeMap<u32, Point> =
            self.points.iter().map(|point| (point.hour, *point)).collect();
        for point in &other.points {
            let held = all.entry(point.hour).or_insert(*point);
            (held.rows, held.bytes) = (held.rows.max(point.rows), held.bytes.max(point.bytes));
        }
        self.points = all.into_values().collect();
        let over = self.points.len().saturating_sub(POINTS_MAX);
        self.points.drain(..over);
    }

    pub fn points(&self) -> &[Point] {
        &self.points
    }

    /// After a split the shard holds less, and what it held before says nothing of how it goes on from there: the
    /// growth is scaled to the share that stayed.
    pub fn scale(&mut self, kept: f64) {
        for point in &mut self.points {
            point.rows = (point.rows as f64 * kept) as u64;
            point.bytes = (point.bytes as f64 * kept) as u64;
        }
    }

    /// What stood there at this moment, on the straight line between the two points around it.
    pub(crate) fn at(&self, value: impl Fn(&Point) -> u64, epoch_us: u64) -> Option<f64> {
        let end = |point: &Point| (u64::from(point.hour) + 1) * BIN_US;
        let at = self.points.partition_point(|point| end(point) < epoch_us);
        let after = self.points.get(at)?;
        if end(after) == epoch_us {
            return Some(value(after) as f64);
        }
        let before = at.checked_sub(1).and_then(|at| self.points.get(at))?;
        let part = (epoch_us - end(before)) as f64 / (end(after) - end(before)) as f64;
        Some(value(before) as f64 + part * (value(after) as f64 - value(before) as f64))
    }

    /// The growth of each whole day that ended with the newest point, oldest first.
    pub(crate) fn days(&self, value: impl Fn(&Point) -> u64 + Copy) -> Vec<f64> {
        let Some(last) = self.points.last() else { return Vec::new() };
        let end = (u64::from(last.hour) + 1) * BIN_US;
        let mut days = Vec::new();
        let mut upper = value(last) as f64;
        for back in 1.. {
            let Some(lower) = end.checked_sub(back * DAY_US).and_then(|from| self.at(value, from)) else { break };
            days.push(upper - lower);
            upper = lower;
        }
        days.reverse();
        days
    }

    /// Which part of a day's growth has come by each hour of the day, from the same whole days.
    pub(crate) fn profile(&self, value: impl Fn(&Point) -> u64 + Copy) -> [f64; 24] {
        let even = || std::array::from_fn(|_| 1.0 / 24.0);
        let Some(last) = self.points.last() else { return even() };
        let end = (u64::from(last.hour) + 1) * BIN_US;
        let mut sums = [0.0f64; 24];
        for back in 0..(self.days(value).len() * 24) as u64 {
            let upper = end - back * BIN_US;
            let growth = self.at(value, upper).zip(self.at(value, upper - BIN_US)).map_or(0.0, |(new, old)| new - old);
            sums[((upper / BIN_US + 23) % 24) as usize] += growth.max(0.0);
        }
        let all: f64 = sums.iter().sum();
        if all <= 0.0 {
            return even();
        }
        sums.map(|sum| sum / all)
    }
}
