//! Maintenance windows for deferrable work, given as cron expressions in UTC.
use std::str::FromStr;

#[derive(thiserror::Error, Debug)]
pub enum CalendarError {
    #[error("calendar {0:?}: {1} (six fields: second minute hour day month weekday)")]
    InvalidExpression(String, cron::error::Error),
}

const MINUTE_US: u64 = 60_000_000;
/// Maximum length of a window: one week.
const MAX_WINDOW_US: u64 = 7 * 24 * 60 * MINUTE_US;

/// Formats a time as ISO 8601 in UTC, or as `-` if it is out of range.
pub fn format_utc(epoch_us: u64) -> String {
    let time = chrono::DateTime::from_timestamp((epoch_us / 1_000_000) as i64, 0);
    time.map_or_else(|| "-".to_owned(), |time| time.format("%Y-%m-%dT%H:%M:%SZ").to_string())
}

/// The window is open at all times that match the expression, and always if there is none.
#[derive(Clone, Debug, Default)]
pub struct Calendar {
    schedule: Option<cron::Schedule>,
}

impl Calendar {
    pub fn parse(text: &str) -> Result<Calendar, CalendarError> {
        cron::Schedule::from_str(text)
            .map(|schedule| Calendar { schedule: Some(schedule) })
            .map_err(|error| CalendarError::InvalidExpression(text.to_owned(), error))
    }

    pub fn is_open(&self, epoch_us: u64) -> bool {
        let Some(schedule) = &self.schedule else { return true };
        // A time out of the range of dates must not defer work.
        chrono::DateTime::from_timestamp((epoch_us / 1_000_000) as i64, 0).is_none_or(|time| schedule.includes(time))
    }

    /// Start and end of the next windows; ends are whole minutes. A window that is open at `from_us` starts then. Without
    /// an expression there is one window that never ends.
    pub fn windows(&self, from_us: u64, count: usize) -> Vec<(u64, u64)> {
        let Some(schedule) = &self.schedule else { return vec![(from_us, u64::MAX)] };
        let time = |us: u64| chrono::DateTime::from_timestamp((us / 1_000_000) as i64, 0);
        let (mut windows, mut at) = (Vec::new(), from_us);
        while windows.len() < count {
            let next = || {
                time(at).and_then(|time| schedule.after(&time).next()).map(|next| next.timestamp() as u64 * 1_000_000)
            };
            let Some(start) = (if self.is_open(at) { Some(at) } else { next() }) else { break };
            let mut end = start / MINUTE_US * MINUTE_US + MINUTE_US;
            while self.is_open(end) && end < start + MAX_WINDOW_US {
                end += MINUTE_US;
            }
            windows.push((start, end));
            at = end;
        }
        windows
    }

    /// Whether the window is open by the system clock.
    pub fn is_open_now(&self) -> bool {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        self.is_open(now.map_or(0, |since| since.as_micros() as u64))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    const HOUR_US: u64 = 3_600_000_000;

    #[gtest]
    fn given_a_window_at_night_then_it_is_open_only_in_those_hours() {
        let calendar = Calendar::parse("* * 1-4 * * *");
        let hours =
            |calendar: &Calendar| (0..24).filter(|hour| calendar.is_open(hour * HOUR_US + 7)).collect::<Vec<u64>>();
        expect_that!(calendar.as_ref().map(hours).ok(), some(eq(&vec![1, 2, 3, 4])));
        expect_that!(hours(&Calendar::default()).len(), eq(24));
    }

    #[gtest]
    fn given_a_window_on_sundays_then_it_is_closed_on_other_days() {
        let calendar = Calendar::parse("* * * * * SUN").unwrap_or_default();
        // The epoch was a Thursday.
        let open: Vec<u64> = (0..7).filter(|day| calendar.is_open(day * 24 * HOUR_US)).collect();
        expect_that!(open, eq(&vec![3]));
    }

    #[gtest]
    fn given_a_window_at_night_then_the_next_windows_have_the_right_starts_and_ends() {
        let calendar = Calendar::parse("* * 1-4 * * *").unwrap_or_default();
        let hours = |from: u64| -> Vec<(u64, u64)> {
            calendar
                .windows(from * HOUR_US, 2)
                .into_iter()
                .map(|(from, until)| (from / HOUR_US, until / HOUR_US))
                .collect()
        };
        expect_that!(hours(10), eq(&vec![(25, 29), (49, 53)]));
        // An open window starts at the given time.
        expect_that!(hours(26), eq(&vec![(26, 29), (49, 53)]));
        expect_that!(Calendar::default().windows(7, 3), eq(&vec![(7, u64::MAX)]));
    }

    #[gtest]
    fn given_an_invalid_expression_then_the_error_contains_it() {
        let error = Calendar::parse("at night").map(|_| ()).map_err(|error| error.to_string());
        expect_that!(error, err(contains_substring("at night")));
    }
}
