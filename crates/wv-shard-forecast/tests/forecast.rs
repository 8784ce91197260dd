//! Tests of sampling, forecasts and split advice.
mod histories;

use googletest::prelude::*;
use wv_shard_forecast::{
    advise, forecast, hash, slot_for_key, Forecast, ForecastResult, History, KeySample, Method, Sample, SplitSchedule,
    ThresholdCrossing, DAY_US, DEFAULT_METHOD, HOUR_US,
};

fn entry(name: &str) -> KeySample {
    KeySample { hash: hash(name.as_bytes()), slot: slot_for_key(name.as_bytes()), bytes: 100 }
}

#[gtest]
fn given_repeated_writes_and_duplicate_reports_from_many_nodes_then_each_row_is_counted_once() {
    let mut all = Sample::default();
    for node in 0..4 {
        let mut own = Sample::default();
        // Every node writes all keys, some of them twice.
        (0..60_000 + node * 10_000).for_each(|at| {
            own.insert(entry(&format!("parcel-{}", at % 60_000)));
        });
        all.merge(own.entries());
        all.merge(own.entries());
    }
    let (rows, bytes) = all.estimate_totals(|_| true);
    let error = (rows as f64 - 60_000.0).abs() / 60_000.0;
    expect_that!(error, lt(3.0 * all.relative_error()), "{rows}");
    expect_that!((bytes as f64 / rows as f64 - 100.0).abs(), lt(0.01));
    // The same sample estimates the size of a slot range.
    let upper = all.estimate_totals(|slot| slot >= 512).0 as f64 / rows as f64;
    expect_that!((upper - 0.5).abs(), lt(0.05));
}

#[gtest]
fn given_fewer_keys_than_the_capacity_then_they_are_counted_exactly_and_the_larger_row_wins() {
    let mut sample = Sample::default();
    expect_that!(sample.insert(entry("a")), eq(true));
    expect_that!(sample.insert(entry("a")), eq(false));
    expect_that!(sample.insert(KeySample { bytes: 150, ..entry("a") }), eq(true));
    expect_that!(sample.insert(entry("a")), eq(false));
    expect_that!(sample.estimate_totals(|_| true), eq((1, 150)));
    expect_that!(sample.relative_error(), eq(0.0));
}

#[gtest]
fn given_keys_with_the_same_hash_tag_then_they_share_a_slot() {
    expect_that!(slot_for_key(b"{plot7}deed"), eq(slot_for_key(b"{plot7}outline")));
    expect_that!(slot_for_key(b"{plot7}deed"), eq(slot_for_key(b"plot7")));
    // With an empty or unterminated tag the whole key is hashed.
    expect_that!(slot_for_key(b"{}deed"), not(eq(slot_for_key(b"{}outline"))));
    expect_that!(slot_for_key(b"{deed"), not(eq(slot_for_key(b"{outline"))));
}

#[gtest]
fn given_generated_histories_then_the_default_method_beats_the_naive_one_where_days_vary() {
    for (name, history) in histories::all() {
        let result = histories::backtest(&history, 3, DEFAULT_METHOD);
        let naive = histories::backtest(&history, 3, Method::Naive);
        match name {
            "too short" => expect_that!(result, none()),
            // The intervals must contain most actual values even after a change of the trend.
            "step" => expect_that!(result.map(|(_, coverage)| coverage), some(gt(0.7))),
            "noisy" | "gap" => {
                expect_that!(result.map(|(error, _)| error), some(lt(naive.map_or(0.0, |(error, _)| error))));
                expect_that!(result.map(|(_, coverage)| coverage), some(gt(0.85)));
            }
            "weekly" => expect_that!(result.map(|(error, _)| error), some(lt(naive.map_or(0.0, |(error, _)| error)))),
            _ => expect_that!(result.map(|(error, _)| error), some(lt(0.05)), "{name}"),
        }
    }
}

#[gtest]
fn given_insufficient_history_then_no_forecast_is_made() {
    let short = histories::history(3, |_| 10_000.0, false, |_| true);
    expect_that!(
        forecast(&short, (150_000, 0), DEFAULT_METHOD),
        eq(&ForecastResult::InsufficientHistory { days: 2, required_days: 4 })
    );
    expect_that!(
        forecast(&History::default(), (1, 0), DEFAULT_METHOD),
        eq(&ForecastResult::InsufficientHistory { days: 0, required_days: 4 })
    );
}

#[gtest]
fn given_steady_growth_then_the_threshold_is_reached_on_time_and_never_by_a_shrinking_shard() {
    let history = histories::history(20, |_| 10_000.0, true, |_| true);
    let ForecastResult::Available(known) = forecast(&history, (340_000, 0), DEFAULT_METHOD) else {
        panic!("no forecast")
    };
    // 300,000 rows after twenty days; the threshold is four days away.
    let from = (u64::from(history.points().last().map_or(0, |point| point.hour)) + 1) * HOUR_US;
    expect_that!(known.crossing.likely_us.map(|at| (at - from).abs_diff(4 * DAY_US)), some(le(2 * HOUR_US)));
    expect_that!(known.crossing.early_us, le(known.crossing.likely_us));
    let shrinking = histories::history(40, |day| 9_000.0 - 400.0 * day as f64, true, |_| true);
    let ForecastResult::Available(known) = forecast(&shrinking, (9_000_000, 0), DEFAULT_METHOD) else {
        panic!("no forecast")
    };
    expect_that!(known.crossing, eq(ThresholdCrossing::default()));
}

fn forecast_crossing_at(early_us: u64) -> ForecastResult {
    let crossing = ThresholdCrossing { early_us: Some(early_us), likely_us: Some(early_us + DAY_US), late_us: None };
    let (rows_per_day, bytes_per_day) = (1.0, 1.0);
    ForecastResult::Available(Forecast {
        rows: 1,
        bytes: 1,
        rows_per_day,
        bytes_per_day,
        crossing,
        is_limited_by_bytes: false,
        days: 9,
    })
}

/// Daily windows from 01:00 to 05:00, as seen at `hour`.
fn schedule_at(hour: u64) -> SplitSchedule {
    let now_us = hour * HOUR_US;
    let next =
        (0..40u64).map(|day| (day * DAY_US + HOUR_US, day * DAY_US + 5 * HOUR_US)).filter(|(_, until)| *until > now_us);
    SplitSchedule { now_us, windows: next.take(4).collect(), move_us: HOUR_US }
}

#[gtest]
fn given_an_approaching_threshold_then_advice_allows_one_missed_window_and_is_not_repeated() {
    // At noon of the first day the next windows start at hours 25 and 49.
    let (advice, should_notify) = advise(&forecast_crossing_at(51 * HOUR_US), &schedule_at(12), None);
    expect_that!((advice, should_notify), eq(&(None, false)));
    let (advice, should_notify) = advise(&forecast_crossing_at(49 * HOUR_US), &schedule_at(12), None);
    expect_that!(should_notify, eq(true));
    let previous = advice.unwrap_or_default();
    expect_that!((previous.window_start_us, previous.window_end_us), eq((25 * HOUR_US, 29 * HOUR_US)));
    // A slightly later crossing keeps the advice without another notification.
    for (hour, early) in [(13, 50), (14, 52), (15, 60)] {
        let (advice, should_notify) =
            advise(&forecast_crossing_at(early * HOUR_US), &schedule_at(hour), Some(&previous));
        expect_that!(should_notify, eq(false), "{hour}");
        expect_that!(advice.map(|advice| advice.window_end_us), some(eq(previous.window_end_us)));
    }
    // After a missed window the next one is advised, with a notification.
    let (advice, should_notify) = advise(&forecast_crossing_at(49 * HOUR_US), &schedule_at(30), Some(&previous));
    expect_that!((advice.map(|advice| advice.window_start_us), should_notify), eq((Some(49 * HOUR_US), true)));
    // A much later crossing withdraws the advice, with a notification.
    let (advice, should_notify) = advise(&forecast_crossing_at(90 * HOUR_US), &schedule_at(13), Some(&previous));
    expect_that!((advice, should_notify), eq(&(None, true)));
}

#[gtest]
fn given_an_open_window_that_is_too_short_for_the_move_then_the_next_one_is_advised() {
    let (advice, _) = advise(
        &forecast_crossing_at(26 * HOUR_US),
        &SplitSchedule { now_us: 4 * HOUR_US + HOUR_US / 2, ..schedule_at(4) },
        None,
    );
    expect_that!(advice.map(|advice| advice.window_start_us), some(eq(25 * HOUR_US)));
}
