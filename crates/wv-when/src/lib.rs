//! Calendars: windows, as cron expressions in UTC, in which cautious work that can wait prefers to run.
use std::str::FromStr;

#[derive(thiserror::Error, Debug)]
pub enum WhenError {
    #[error("calendar {0:?}: {1} (six fields: second minute hour day month weekday)")]
    Expression(String, cron::error::Error),
}

/// A window is every moment that its expression matches; no calendar means always.
#[derive(Clone, Debug, Default)]
pub struct Calendar {
    schedule: Option<cron::Schedule>,
}

impl Calendar {
    pub fn parse(text: &str) -> Result<Calendar, WhenError> {
        cron::Schedule::from_str(text)
            .map(|schedule| Calendar { schedule: Some(schedule) })
            .map_err(|error| WhenError::Expression(text.to_owned(), error))
    }

    /// Whether the window is open at this time of day, in microseconds since the epoch.
    pub fn is_open(&self, epoch_us: u64) -> bool {
        let Some(schedule) = &self.schedule else { return true };
        // A time that no calendar can name never keeps work waiting.
        chrono::DateTime::from_timestamp((epoch_us / 1_000_000) as i64, 0).is_none_or(|time| schedule.includes(time))
    }

    /// The same for the clock of this machine.
    pub fn is_open_now(&self) -> bool {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        self.is_open(now.map_or(0, |since| since.as_micros() as u64))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    const HOUR: u64 = 3_600_000_000;

    #[gtest]
    fn given_a_window_at_night_then_it_is_open_in_just_those_hours_of_a_day() {
        let calendar = Calendar::parse("* * 1-4 * * *");
        let hours =
            |calendar: &Calendar| (0..24).filter(|hour| calendar.is_open(hour * HOUR + 7)).collect::<Vec<u64>>();
        expect_that!(calendar.as_ref().map(hours).ok(), some(eq(&vec![1, 2, 3, 4])));
        expect_that!(hours(&Calendar::default()).len(), eq(24));
    }

    #[gtest]
    fn given_a_window_on_sundays_then_weekdays_are_outside() {
        let calendar = Calendar::parse("* * * * * SUN").unwrap_or_default();
        // The epoch was a Thursday.
        let open: Vec<u64> = (0..7).filter(|day| calendar.is_open(day * 24 * HOUR)).collect();
        expect_that!(open, eq(&vec![3]));
    }

    #[gtest]
    fn given_an_expression_that_is_none_then_it_is_named() {
        let error = Calendar::parse("at night").map(|_| ()).map_err(|error| error.to_string());
        expect_that!(error, err(contains_substring("at night")));
    }
}
