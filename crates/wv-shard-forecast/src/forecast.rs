//! When a shard reaches a level, and how sure that is.
use crate::{History, Method, Point, BIN_US, DAY_US, HOUR_US};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Fewer whole days than this say too little.
const DAYS_MIN: usize = 4;
/// Beyond this nothing is foretold.
const HORIZON_DAYS: u64 = 60;
/// Of ten intervals nine are to hold what comes.
const ONE_SIDED: f64 = 0.95;

/// The moments at which a level is reached: at the early end of the interval, in the middle, at the late end.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Crossing {
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
    pub crossing: Crossing,
    /// Which of the two is reached first.
    pub is_by_bytes: bool,
    /// The whole days that it rests on.
    pub days: usize,
}

#[derive(Clone, PartialEq, Debug)]
pub enum Outlook {
    /// Too little is known to say anything.
    TooShort {
        days: usize,
        wanted: usize,
    },
    Known(Forecast),
}

/// How the growth goes on by the hour.
struct Course {
    now: f64,
    level: crate::Level,
    profile: [f64; 24],
    quantile: f64,
}

impl Course {
    /// Days, weighted by the hours of the day that they are made of.
    fn days(&self, from_us: u64, hours: u64) -> f64 {
        let first = from_us / BIN_US;
        let part: f64 = (0..hours % 24).map(|hour| self.profile[((first + hour) % 24) as usize]).sum();
        (hours / 24) as f64 + part
    }

    fn at(&self, from_us: u64, hours: u64, side: f64) -> f64 {
        let days = self.days(from_us, hours);
        self.now + self.level.growth(days) + side * self.quantile * self.level.spread(days)
    }

    fn reaches(&self, level: f64, from_us: u64, side: f64) -> Option<u64> {
        if self.now >= level {
            return Some(from_us);
        }
        let hour = (1..=HORIZON_DAYS * 24).find(|hour| self.at(from_us, *hour, side) >= level);
        hour.map(|hour| from_us + hour * HOUR_US)
    }
}

fn course(history: &History, value: impl Fn(&Point) -> u64 + Copy, method: Method) -> Option<Course> {
    let now = history.points().last().map(value)? as f64;
    let level = method.fit(&history.days(value));
    let quantile = StudentsT::new(0.0, 1.0, (level.count.max(2) - 1) as f64).ok()?.inverse_cdf(ONE_SIDED);
    Some(Course { now, level, profile: history.profile(value), quantile })
}

/// What the history says of reaching `rows_level` or `bytes_level`, whichever comes first; 0 for no such level.
pub fn forecast(history: &History, (rows_level, bytes_level): (u64, u64), method: Method) -> Outlook {
    let days = history.days(|point| point.rows).len();
    let known = history.points().last().filter(|_| days >= DAYS_MIN);
    let Some(last) = known else { return Outlook::TooShort { days, wanted: DAYS_MIN } };
    let from = (u64::from(last.hour) + 1) * BIN_US;
    let crossing = |course: &Course, level: u64| {
        let reaches = |side| (level > 0).then(|| course.reaches(level as f64, from, side)).flatten();
        Crossing { early_us: reaches(1.0), likely_us: reaches(0.0), late_us: reaches(-1.0) }
    };
    let by_rows = course(history, |point| point.rows, method);
    let by_bytes = course(history, |point| point.bytes, method);
    let (Some(by_rows), Some(by_bytes)) = (by_rows, by_bytes) else {
        return Outlook::TooShort { days, wanted: DAYS_MIN };
    };
    let (rows, bytes) = (crossing(&by_rows, rows_level), crossing(&by_bytes, bytes_level));
    let is_by_bytes = bytes.early_us.is_some_and(|bytes| rows.early_us.is_none_or(|rows| bytes < rows));
    Outlook::Known(Forecast {
        rows: last.rows,
        bytes: last.bytes,
        rows_per_day: by_rows.level.per_day,
        bytes_per_day: by_bytes.level.per_day,
        crossing: if is_by_bytes { bytes } else { rows },
        is_by_bytes,
        days,
    })
}

impl Forecast {
    /// What `method` says of the rows after `days`, and half the interval's width: for backtests.
    pub fn ahead(history: &History, days: u64, method: Method) -> Option<(f64, f64)> {
        let course = course(history, |point| point.rows, method)?;
        let from = (u64::from(history.points().last()?.hour) + 1) * BIN_US;
        let hours = days * DAY_US / HOUR_US;
        let likely = course.at(from, hours, 0.0);
        Some((likely, course.at(from, hours, 1.0) - likely))
    }
}
