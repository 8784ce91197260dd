//! Shard splits under load: every record is moved exactly once, and the split plan cannot be removed after a move.
mod split_test;

use googletest::prelude::*;
use split_test::{planned_configuration, SplitTest};
use wv_internal_protocol::SplitPhase;
use wv_simulation::{Simulation, MS, S};

#[gtest]
fn given_live_writes_when_a_split_is_requested_then_the_upper_slots_move_and_each_record_exists_once() {
    let mut split = SplitTest::start();
    let before = split.sim.load_counts().0;
    split.request_split();
    expect_that!(split.wait_for_move(40 * S), eq(true));
    let map = split.sim.slot_map("s");
    expect_that!(map.moved.len(), eq(1));
    expect_that!((map.moved[0].from, map.moved[0].until), eq((512, 1024)));
    split.sim.run(3 * S);
    // Both shards serve writes, and lookups were answered throughout.
    let target = split.sim.databases.iter().find(|db| db.service == "t" && db.is_primary);
    expect_that!(target.map_or(0, |db| db.log.iter().filter(|entry| entry.write.tag != "-").count()), gt(10));
    expect_that!(split.sim.load_counts().0, gt(before + 400));
    expect_that!(split.sim.slowest_us("b"), lt(800 * MS));
    expect_that!(split.finish_and_check(), is_empty());
}

#[gtest]
fn given_a_configuration_change_during_copying_then_the_split_continues() {
    let mut split = SplitTest::start();
    split.request_split();
    expect_that!(split.wait_for_phase(SplitPhase::Copying, 20 * S), eq(true));
    let ret = split.call("PUT", "/configuration", &planned_configuration(2, |_| {}));
    expect_that!(ret.0, eq(200));
    expect_that!(split.wait_for_move(60 * S), eq(true));
    // The plan cannot be removed now: it locates the moved slots.
    let ret = split.call("PUT", "/configuration", &wv_simulation::Simulation::configuration(3));
    expect_that!(ret.0, eq(400));
    expect_that!(ret.1, contains_substring("slots of s have moved"));
    expect_that!(split.finish_and_check(), is_empty());
}

#[gtest]
fn given_an_overloaded_source_then_copying_pauses_and_a_cancelled_request_changes_nothing() {
    let mut split = SplitTest::start();
    split.sim.databases.iter_mut().for_each(|db| db.statement_us = 40 * MS);
    split.sim.start_load(60, "p");
    split.sim.run(S);
    split.request_split();
    split.sim.run(8 * S);
    let ret = split.call("DELETE", "/splits/s", b"");
    expect_that!(ret.0, eq(200));
    split.sim.run(6 * S);
    expect_that!(split.has_moved(), eq(false));
    let map = split.sim.slot_map("s");
    expect_that!((map.phase, map.moving.is_none()), eq((SplitPhase::Resting, true)));
    expect_that!(split.finish_and_check(), is_empty());
}

#[gtest]
fn given_a_transaction_with_keys_of_both_shards_then_it_is_rolled_back_with_a_reason() {
    let mut split = SplitTest::start();
    split.request_split();
    expect_that!(split.wait_for_move(60 * S), eq(true));
    let client = split.sim.open_client(0, "p");
    split.sim.run(S);
    let (stays, moves) = (split.key_where(|slot| slot < 512), split.moving_key());
    for text in ["x1 BEGIN".to_owned(), format!("x2 WRITE {stays} one"), format!("x3 WRITE {moves} two")] {
        split.sim.take_lines(client);
        split.sim.send_line(client, &format!("QUERY {text}"));
        split.sim.run(100 * MS);
    }
    let received = split.sim.take_lines(client);
    expect_that!(received[0], starts_with("ERROR ABORTED rolled back: a transaction stays within one shard"));
    expect_that!(received[1], starts_with("IDLE E"));
    let is_kept =
        |db: &wv_simulation::Database| db.log.iter().any(|entry| ["x2", "x3"].contains(&entry.write.tag.as_str()));
    expect_that!(split.sim.databases.iter().any(is_kept), eq(false));
    expect_that!(split.finish_and_check(), is_empty());
}

#[gtest]
fn given_rows_with_unknown_keys_then_the_shard_is_not_split_until_the_keys_are_listed() {
    let mut split = SplitTest::with_plan(|plan| plan["baseRows"] = 400.into());
    split.request_split();
    split.sim.run(8 * S);
    expect_that!(split.has_moved(), eq(false));
    let ret = split.call("GET", "/splits", b"");
    expect_that!(ret.1, contains_substring("known by name"));
    let list: String = (0..400).map(|at| format!("{{old{at}}}x\n")).collect();
    expect_that!(split.call("PUT", "/things/s", list.as_bytes()).0, eq(200));
    expect_that!(split.call("PUT", "/things/s", b"two words").0, eq(400));
    expect_that!(split.wait_for_move(60 * S), eq(true));
    expect_that!(split.finish_and_check(), is_empty());
}

#[gtest]
fn given_a_forecast_that_a_shard_fills_up_then_it_is_split_automatically_in_the_forecast_quiet_window() {
    // Shortly before the quiet window, which starts at 01:00.
    let (night, hour) = (100 * wv_shard_forecast::DAY_US + wv_shard_forecast::HOUR_US, wv_shard_forecast::HOUR_US);
    let mut split = SplitTest::starting_at(night - 60 * S, |plan| plan["rowsMax"] = 270.into());
    // Imported history: twenty rows a day for nine days.
    let rows = |back: u64| 200 - back * 20 / 24;
    let points = (0..9 * 24).rev().map(|back| ((night - hour - back * hour) / S, rows(back), rows(back) * 8));
    let points: Vec<(u64, u64, u64)> = points.collect();
    let body = serde_json::to_vec(&points).expect("numbers");
    expect_that!(split.call("PUT", "/forecast/s", &body).0, eq(200));
    expect_that!(split.call("PUT", "/forecast/s", b"[[2,1,1],[1,1,1]]").0, eq(400));
    split.sim.run(2 * S);
    let forecast = split.call("GET", "/forecast", b"").1;
    expect_that!(forecast, contains_substring("\"splitFrom\":\"1970-04-11T01:00:00Z\""));
    expect_that!(forecast, contains_substring("\"state\":\"known\""));
    let wait = (night / S).saturating_sub((split.sim.epoch_us + split.sim.now) / S).saturating_sub(3);
    split.sim.run(wait * S);
    expect_that!(split.has_moved(), eq(false), "before the window");
    expect_that!(split.wait_for_move(60 * S), eq(true));
    split.sim.run(2 * S);
    // After half of the rows have moved, the warning is cleared.
    expect_that!(split.call("GET", "/forecast", b"").1, contains_substring("\"warning\":null"));
    expect_that!(split.finish_and_check(), is_empty());
}

#[gtest]
fn given_a_split_cancelled_during_copying_then_nothing_has_moved_and_a_later_request_completes() {
    let night = 100 * wv_shard_forecast::DAY_US + 5 * wv_shard_forecast::HOUR_US;
    // At three rows per second, copying is still in progress when the request is cancelled.
    let mut split = SplitTest::starting_at(night - 60 * S, |plan| plan["rowsPerS"] = 3.into());
    let requested_at = split.sim.now;
    split.request_split();
    expect_that!(split.wait_for_phase(SplitPhase::Copying, 20 * S), eq(true));
    expect_that!(split.call("DELETE", "/splits/s", b"").0, eq(200));
    split.sim.run(3 * S);
    let map = split.sim.slot_map("s");
    expect_that!((map.phase, map.moving.is_none(), map.moved.is_empty()), eq((SplitPhase::Resting, true, true)));
    expect_that!(split.sim.now, gt(requested_at));
    let ret = split.call("PUT", "/configuration", &planned_configuration(2, |_| {}));
    expect_that!(ret.0, eq(200));
    split.request_split();
    expect_that!(split.wait_for_move(60 * S), eq(true));
    expect_that!(split.finish_and_check(), is_empty());
}

/// Retries a configuration write at one node until the answer is neither missing nor 503; 503 after four seconds.
fn put_until_answered(sim: &mut Simulation, at: usize, body: &[u8]) -> u16 {
    let end = sim.now + 4 * S;
    while sim.now < end {
        let token = sim.call(at, "PUT", "/configuration", body);
        sim.run(100 * MS);
        match sim.responses.get(&token).map_or(0, |ret| ret.0) {
            0 | 503 => {}
            code => return code,
        }
    }
    503
}

fn configuration_without_plan(version: u64) -> Vec<u8> {
    let planned = planned_configuration(version, |_| {});
    let mut value: serde_json::Value =
        serde_json::from_slice(&planned).expect("the planned configuration is valid JSON");
    value["shardPlans"] = serde_json::json!([]);
    value.to_string().into_bytes()
}

#[gtest]
fn given_a_connected_node_that_missed_a_move_then_it_rejects_a_configuration_without_the_plan() {
    let mut split = SplitTest::start();
    let holder = split.duty_holder();
    let other = (holder + 1) % 3;
    // It receives from the third node, so it has contact, but not from the node that moves the slots.
    split.sim.dropped_one_way.insert((format!("c{holder}"), format!("c{other}")));
    split.request_split();
    assert_that!(split.wait_for_move(20 * S), eq(true));
    let known = split.sim.controls[other].core.as_ref().and_then(|core| core.slot_map("s"));
    expect_that!(known.is_none_or(|map| map.moved.is_empty()), eq(true));
    expect_that!(put_until_answered(&mut split.sim, other, &configuration_without_plan(9)), eq(400));
    split.sim.dropped_one_way.clear();
    expect_that!(split.finish_and_check(), is_empty());
}

#[gtest]
fn given_a_node_isolated_during_a_move_then_it_rejects_a_configuration_without_the_plan_on_reconnect() {
    let mut split = SplitTest::start();
    let holder = split.duty_holder();
    let other = (holder + 2) % 3;
    for at in (0..3).filter(|at| *at != other) {
        split.sim.dropped_links.insert((format!("c{other}"), format!("c{at}")));
    }
    split.request_split();
    assert_that!(split.wait_for_move(20 * S), eq(true));
    split.sim.dropped_links.clear();
    expect_that!(put_until_answered(&mut split.sim, other, &configuration_without_plan(9)), eq(400));
    expect_that!(split.finish_and_check(), is_empty());
}

#[gtest]
fn given_a_plan_without_moved_slots_then_it_can_be_removed() {
    let mut split = SplitTest::start();
    expect_that!(put_until_answered(&mut split.sim, 1, &configuration_without_plan(9)), eq(200));
    expect_that!(split.finish_and_check(), is_empty());
}

#[gtest]
fn given_a_node_that_does_not_know_the_plan_then_a_configuration_without_it_is_decided_after_catch_up() {
    let mut split = SplitTest::start();
    let other = (split.duty_holder() + 1) % 3;
    expect_that!(put_until_answered(&mut split.sim, other, &configuration_without_plan(2)), eq(200));
    for at in (0..3).filter(|at| *at != other) {
        split.sim.dropped_links.insert((format!("c{other}"), format!("c{at}")));
    }
    let planned = planned_configuration(3, |_| {});
    expect_that!(put_until_answered(&mut split.sim, (other + 1) % 3, &planned), eq(200));
    split.sim.run(14 * S);
    split.request_split();
    assert_that!(split.wait_for_move(20 * S), eq(true));
    split.sim.dropped_links.clear();
    // Contact is restored, but nothing has been read yet.
    let is_connected = |sim: &Simulation| sim.controls[other].core.as_ref().is_some_and(|core| core.has_majority());
    let end = split.sim.now + 2 * S;
    while !is_connected(&split.sim) && split.sim.now < end {
        split.sim.run(MS / 10);
    }
    expect_that!(split.sim.controls[other].core.as_ref().map(|core| core.is_caught_up()), some(eq(false)));
    expect_that!(put_until_answered(&mut split.sim, other, &configuration_without_plan(9)), eq(400));
    expect_that!(split.finish_and_check(), is_empty());
}
