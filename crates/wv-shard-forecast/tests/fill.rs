//! Stories of counting, foretelling and warning.
mod histories;

use googletest::prelude::*;
use wv_shard_forecast::{
    advise, forecast, hash, slot_for_key, Crossing, Forecast, History, KeySample, Method, Need, Outlook, Sample,
    DAY_US, HOUR_US, METHOD,
};

fn entry(name: &str) -> KeySample {
    KeySample { hash: hash(name.as_bytes()), slot: slot_for_key(name.as_bytes()), bytes: 100 }
}

#[gtest]
fn given_writes_repeated_and_reports_told_again_by_many_nodes_then_each_row_counts_once() {
    let mut all = Sample::default();
    for node in 0..4 {
        let mut own = Sample::default();
        // Every node writes the whole lot, most of it twice.
        (0..60_000 + node * 10_000).for_each(|at| {
            own.offer(entry(&format!("parcel-{}", at % 60_000)));
        });
        all.merge(own.entries());
        all.merge(own.entries());
    }
    let (rows, bytes) = all.totals(|_| true);
    let error = (rows as f64 - 60_000.0).abs() / 60_000.0;
    expect_that!(error, lt(3.0 * all.error()), "{rows}");
    expect_that!((bytes as f64 / rows as f64 - 100.0).abs(), lt(0.01));
    // What a range of slots holds is foretold by the same sample.
    let upper = all.totals(|slot| slot >= 512).0 as f64 / rows as f64;
    expect_that!((upper - 0.5).abs(), lt(0.05));
}

#[gtest]
fn given_few_things_then_they_are_counted_exactly_and_the_larger_row_stays() {
    let mut sample = Sample::default();
    expect_that!(sample.offer(entry("a")), eq(true));
    expect_that!(sample.offer(entry("a")), eq(false));
    expect_that!(sample.offer(KeySample { bytes: 150, ..entry("a") }), eq(true));
    expect_that!(sample.offer(entry("a")), eq(false));
    expect_that!(sample.totals(|_| true), eq((1, 150)));
    expect_that!(sample.error(), eq(0.0));
}

#[gtest]
fn given_a_tag_in_a_name_then_all_things_with_it_share_a_slot() {
    expect_that!(slot_for_key(b"{plot7}deed"), eq(slot_for_key(b"{plot7}outline")));
    expect_that!(slot_for_key(b"{plot7}deed"), eq(slot_for_key(b"plot7")));
    // Nothing between the braces, or no end of them: the whole name counts.
    expect_that!(slot_for_key(b"{}deed"), not(eq(slot_for_key(b"{}outline"))));
    expect_that!(slot_for_key(b"{deed"), not(eq(slot_for_key(b"{outline"))));
}

#[gtest]
fn given_the_generated_histories_then_the_method_in_use_beats_the_naive_one_where_days_vary() {
    for (name, history) in histories::all() {
        let found = histories::backtest(&history, 3, METHOD);
        let naive = histories::backtest(&history, 3, Method::Naive);
        match name {
            "too short" => expect_that!(found, none()),
            // The interval is to hold most of what came, also where a step broke the trend.
            "step" => expect_that!(found.map(|(_, held)| held), some(gt(0.7))),
            "noisy" | "gap" => {
                expect_that!(found.map(|(error, _)| error), some(lt(naive.map_or(0.0, |(error, _)| error))));
                expect_that!(found.map(|(_, held)| held), some(gt(0.85)));
            }
            "weekly" => expect_that!(found.map(|(error, _)| error), some(lt(naive.map_or(0.0, |(error, _)| error)))),
            _ => expect_that!(found.map(|(error, _)| error), some(lt(0.05)), "{name}"),
        }
    }
}

#[gtest]
fn given_too_little_history_then_that_is_said_and_nothing_guessed() {
    let short = histories::history(3, |_| 10_000.0, false, |_| true);
    expect_that!(forecast(&short, (150_000, 0), METHOD), eq(&Outlook::TooShort { days: 2, wanted: 4 }));
    expect_that!(forecast(&History::default(), (1, 0), METHOD), eq(&Outlook::TooShort { days: 0, wanted: 4 }));
}

#[gtest]
fn given_steady_growth_then_the_level_is_reached_when_it_should_be_and_a_shrinking_shard_never() {
    let history = histories::history(20, |_| 10_000.0, true, |_| true);
    let Outlook::Known(found) = forecast(&history, (340_000, 0), METHOD) else { panic!("known") };
    // 300,000 rows after twenty days, four more days to go.
    let from = (u64::from(history.points().last().map_or(0, |point| point.hour)) + 1) * HOUR_US;
    expect_that!(found.crossing.likely_us.map(|at| (at - from).abs_diff(4 * DAY_US)), some(le(2 * HOUR_US)));
    expect_that!(found.crossing.early_us, le(found.crossing.likely_us));
    let shrinking = histories::history(40, |day| 9_000.0 - 400.0 * day as f64, true, |_| true);
    let Outlook::Known(found) = forecast(&shrinking, (9_000_000, 0), METHOD) else { panic!("known") };
    expect_that!(found.crossing, eq(Crossing::default()));
}

fn outlook(early_us: u64) -> Outlook {
    let crossing = Crossing { early_us: Some(early_us), likely_us: Some(early_us + DAY_US), late_us: None };
    let (rows_per_day, bytes_per_day) = (1.0, 1.0);
    Outlook::Known(Forecast { rows: 1, bytes: 1, rows_per_day, bytes_per_day, crossing, is_by_bytes: false, days: 9 })
}

/// Windows of four hours from one o'clock on, seen from `hour`.
fn need(hour: u64) -> Need {
    let now_us = hour * HOUR_US;
    let next =
        (0..40u64).map(|day| (day * DAY_US + HOUR_US, day * DAY_US + 5 * HOUR_US)).filter(|(_, until)| *until > now_us);
    Need { now_us, windows: next.take(4).collect(), move_us: HOUR_US }
}

#[gtest]
fn given_a_level_that_nears_then_the_warning_leaves_one_window_to_miss_and_stands_without_a_storm() {
    // Seen from noon of the first day the windows are at 25 and 49 hours.
    let (advice, is_news) = advise(&outlook(51 * HOUR_US), &need(12), None);
    expect_that!((advice, is_news), eq(&(None, false)));
    let (advice, is_news) = advise(&outlook(49 * HOUR_US), &need(12), None);
    expect_that!(is_news, eq(true));
    let held = advice.unwrap_or_default();
    expect_that!((held.from_us, held.until_us), eq((25 * HOUR_US, 29 * HOUR_US)));
    // The same a little later, a little better: it stands, and is not told again.
    for (hour, early) in [(13, 50), (14, 52), (15, 60)] {
        let (advice, is_news) = advise(&outlook(early * HOUR_US), &need(hour), Some(&held));
        expect_that!(is_news, eq(false), "{hour}");
        expect_that!(advice.map(|advice| advice.until_us), some(eq(held.until_us)));
    }
    // A missed window: the next one is named, which is worth a word.
    let (advice, is_news) = advise(&outlook(49 * HOUR_US), &need(30), Some(&held));
    expect_that!((advice.map(|advice| advice.from_us), is_news), eq((Some(49 * HOUR_US), true)));
    // Far more time than it takes to raise it: taken back, once.
    let (advice, is_news) = advise(&outlook(90 * HOUR_US), &need(13), Some(&held));
    expect_that!((advice, is_news), eq(&(None, true)));
}

#[gtest]
fn given_an_open_window_that_is_too_short_for_the_move_then_the_next_one_is_named() {
    let (advice, _) = advise(&outlook(26 * HOUR_US), &Need { now_us: 4 * HOUR_US + HOUR_US / 2, ..need(4) }, None);
    expect_that!(advice.map(|advice| advice.from_us), some(eq(25 * HOUR_US)));
}
