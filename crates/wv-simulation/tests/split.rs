//! Stories of shards that are split while they serve: every record arrives once, whatever happens meanwhile.
mod common;

use common::{conf, Story};
use googletest::prelude::*;
use wv_internal_protocol::SplitPhase;
use wv_simulation::{Simulation, MS, S};

#[gtest]
fn given_live_writes_when_a_split_is_requested_then_the_upper_slots_move_and_every_record_arrives_once() {
    let mut story = Story::begin();
    let before = story.world.load_counts().0;
    story.request();
    expect_that!(story.moves_within(40 * S), eq(true));
    let map = story.world.slot_map("s");
    expect_that!(map.moved.len(), eq(1));
    expect_that!((map.moved[0].from, map.moved[0].until), eq((512, 1024)));
    story.world.run(3 * S);
    // Work goes on at both, and lookups were answered all along.
    let target = story.world.databases.iter().find(|base| base.service == "t" && base.is_primary);
    expect_that!(target.map_or(0, |base| base.log.iter().filter(|entry| entry.write.tag != "-").count()), gt(10));
    expect_that!(story.world.load_counts().0, gt(before + 400));
    expect_that!(story.world.slowest_us("b"), lt(800 * MS));
    expect_that!(story.end(), is_empty());
}

#[gtest]
fn given_a_change_of_the_configuration_in_mid_copy_then_the_split_goes_on() {
    let mut story = Story::begin();
    story.request();
    expect_that!(story.comes_to(SplitPhase::Copying, 20 * S), eq(true));
    let ret = story.call("PUT", "/configuration", &common::conf(2, |_| {}));
    expect_that!(ret.0, eq(200));
    expect_that!(story.moves_within(60 * S), eq(true));
    // Its plan has to stay from here on: what moved is found through it.
    let ret = story.call("PUT", "/configuration", &wv_simulation::Simulation::config(3));
    expect_that!(ret.0, eq(400));
    expect_that!(ret.1, contains_substring("slots of s have moved"));
    expect_that!(story.end(), is_empty());
}

#[gtest]
fn given_a_source_full_of_other_work_then_copying_pauses_and_a_request_called_off_changes_nothing() {
    let mut story = Story::begin();
    story.world.databases.iter_mut().for_each(|base| base.statement_us = 40 * MS);
    story.world.start_load(60, "p");
    story.world.run(S);
    story.request();
    story.world.run(8 * S);
    let ret = story.call("DELETE", "/splits/s", b"");
    expect_that!(ret.0, eq(200));
    story.world.run(6 * S);
    expect_that!(story.moved(), eq(false));
    let map = story.world.slot_map("s");
    expect_that!((map.phase, map.moving.is_none()), eq((SplitPhase::Resting, true)));
    expect_that!(story.end(), is_empty());
}

#[gtest]
fn given_a_transaction_that_names_things_of_both_shards_then_it_is_rolled_back_whole_with_its_reason() {
    let mut story = Story::begin();
    story.request();
    expect_that!(story.moves_within(60 * S), eq(true));
    let client = story.world.open_client(0, "p");
    story.world.run(S);
    let (stays, moves) = (story.thing(|slot| slot < 512), story.moving_thing());
    for text in ["x1 BEGIN".to_owned(), format!("x2 WRITE {stays} one"), format!("x3 WRITE {moves} two")] {
        story.world.take_lines(client);
        story.world.send_line(client, &format!("QUERY {text}"));
        story.world.run(100 * MS);
    }
    let heard = story.world.take_lines(client);
    expect_that!(heard[0], starts_with("ERROR ABORTED rolled back: a transaction stays within one shard"));
    expect_that!(heard[1], starts_with("IDLE E"));
    let is_kept =
        |base: &wv_simulation::Database| base.log.iter().any(|entry| ["x2", "x3"].contains(&entry.write.tag.as_str()));
    expect_that!(story.world.databases.iter().any(is_kept), eq(false));
    expect_that!(story.end(), is_empty());
}

#[gtest]
fn given_things_that_nobody_has_named_then_the_shard_is_not_split_until_they_are_listed() {
    let mut story = Story::with(|plan| plan["baseRows"] = 400.into());
    story.request();
    story.world.run(8 * S);
    expect_that!(story.moved(), eq(false));
    let ret = story.call("GET", "/splits", b"");
    expect_that!(ret.1, contains_substring("known by name"));
    let list: String = (0..400).map(|at| format!("{{old{at}}}x\n")).collect();
    expect_that!(story.call("PUT", "/things/s", list.as_bytes()).0, eq(200));
    expect_that!(story.call("PUT", "/things/s", b"two words").0, eq(400));
    expect_that!(story.moves_within(60 * S), eq(true));
    expect_that!(story.end(), is_empty());
}

#[gtest]
fn given_a_history_that_fills_a_shard_then_it_is_split_by_itself_in_the_quiet_window_that_the_forecast_names() {
    // Half past midnight and some: the quiet hours begin at one.
    let (night, hour) = (100 * wv_shard_forecast::DAY_US + wv_shard_forecast::HOUR_US, wv_shard_forecast::HOUR_US);
    let mut story = Story::at(night - 60 * S, |plan| plan["rowsMax"] = 270.into());
    // Twenty rows a day for nine days, as another instrument saw them.
    let rows = |back: u64| 200 - back * 20 / 24;
    let points = (0..9 * 24).rev().map(|back| ((night - hour - back * hour) / S, rows(back), rows(back) * 8));
    let points: Vec<(u64, u64, u64)> = points.collect();
    let body = serde_json::to_vec(&points).expect("numbers");
    expect_that!(story.call("PUT", "/forecast/s", &body).0, eq(200));
    expect_that!(story.call("PUT", "/forecast/s", b"[[2,1,1],[1,1,1]]").0, eq(400));
    story.world.run(2 * S);
    let told = story.call("GET", "/forecast", b"").1;
    expect_that!(told, contains_substring("\"splitFrom\":\"1970-04-11T01:00:00Z\""));
    expect_that!(told, contains_substring("\"state\":\"known\""));
    let wait = (night / S).saturating_sub((story.world.epoch_us + story.world.now) / S).saturating_sub(3);
    story.world.run(wait * S);
    expect_that!(story.moved(), eq(false), "before the window");
    expect_that!(story.moves_within(60 * S), eq(true));
    story.world.run(2 * S);
    // With half of it gone there is time again, and nothing is warned of twice.
    expect_that!(story.call("GET", "/forecast", b"").1, contains_substring("\"warning\":null"));
    expect_that!(story.end(), is_empty());
}

#[gtest]
fn given_a_window_that_ends_in_mid_copy_then_nothing_has_changed_and_the_next_window_goes_on() {
    let night = 100 * wv_shard_forecast::DAY_US + 5 * wv_shard_forecast::HOUR_US;
    // Under three rows a second: the window is over long before.
    let mut story = Story::at(night - 60 * S, |plan| plan["rowsPerS"] = 3.into());
    let asked = story.world.now;
    story.request();
    expect_that!(story.comes_to(SplitPhase::Copying, 20 * S), eq(true));
    expect_that!(story.call("DELETE", "/splits/s", b"").0, eq(200));
    story.world.run(3 * S);
    let map = story.world.slot_map("s");
    expect_that!((map.phase, map.moving.is_none(), map.moved.is_empty()), eq((SplitPhase::Resting, true, true)));
    expect_that!(story.world.now, gt(asked));
    let ret = story.call("PUT", "/configuration", &common::conf(2, |_| {}));
    expect_that!(ret.0, eq(200));
    story.request();
    expect_that!(story.moves_within(60 * S), eq(true));
    expect_that!(story.end(), is_empty());
}

/// What comes of an order at this node, repeated while it is put off.
fn order(world: &mut Simulation, at: usize, body: &[u8]) -> u16 {
    let end = world.now + 4 * S;
    while world.now < end {
        let token = world.call(at, "PUT", "/configuration", body);
        world.run(100 * MS);
        match world.responses.get(&token).map_or(0, |ret| ret.0) {
            0 | 503 => {}
            code => return code,
        }
    }
    503
}

fn unplanned(version: u64) -> Vec<u8> {
    let planned = conf(version, |_| {});
    let mut value: serde_json::Value = serde_json::from_slice(&planned).expect("the stories' own");
    value["shardPlans"] = serde_json::json!([]);
    value.to_string().into_bytes()
}

#[gtest]
fn given_a_node_in_contact_that_missed_a_move_then_an_order_without_its_plan_is_refused_by_what_a_majority_holds() {
    let mut story = Story::begin();
    let holder = story.holder();
    let other = (holder + 1) % 3;
    // It hears the third node, so that it has contact, and nothing of the one that moves the slots.
    story.world.dropped_one_way.insert((format!("c{holder}"), format!("c{other}")));
    story.request();
    assert_that!(story.moves_within(20 * S), eq(true));
    let known = story.world.controls[other].core.as_ref().and_then(|core| core.slot_map("s"));
    expect_that!(known.is_none_or(|map| map.moved.is_empty()), eq(true));
    expect_that!(order(&mut story.world, other, &unplanned(9)), eq(400));
    story.world.dropped_one_way.clear();
    expect_that!(story.end(), is_empty());
}

#[gtest]
fn given_a_node_cut_off_during_a_move_then_an_order_without_its_plan_is_refused_from_the_first_moment_on() {
    let mut story = Story::begin();
    let holder = story.holder();
    let other = (holder + 2) % 3;
    for at in (0..3).filter(|at| *at != other) {
        story.world.dropped_links.insert((format!("c{other}"), format!("c{at}")));
    }
    story.request();
    assert_that!(story.moves_within(20 * S), eq(true));
    story.world.dropped_links.clear();
    expect_that!(order(&mut story.world, other, &unplanned(9)), eq(400));
    expect_that!(story.end(), is_empty());
}

#[gtest]
fn given_a_plan_under_which_nothing_has_moved_then_it_may_go() {
    let mut story = Story::begin();
    expect_that!(order(&mut story.world, 1, &unplanned(9)), eq(200));
    expect_that!(story.end(), is_empty());
}

#[gtest]
fn given_a_node_that_does_not_know_of_the_plan_yet_then_an_order_without_it_waits_until_it_has_caught_up() {
    let mut story = Story::begin();
    let other = (story.holder() + 1) % 3;
    expect_that!(order(&mut story.world, other, &unplanned(2)), eq(200));
    for at in (0..3).filter(|at| *at != other) {
        story.world.dropped_links.insert((format!("c{other}"), format!("c{at}")));
    }
    let planned = conf(3, |_| {});
    expect_that!(order(&mut story.world, (other + 1) % 3, &planned), eq(200));
    story.world.run(14 * S);
    story.request();
    assert_that!(story.moves_within(20 * S), eq(true));
    story.world.dropped_links.clear();
    // The very moment in which contact is back and nothing is read yet.
    let is_back = |world: &Simulation| world.controls[other].core.as_ref().is_some_and(|core| core.has_majority());
    let end = story.world.now + 2 * S;
    while !is_back(&story.world) && story.world.now < end {
        story.world.run(MS / 10);
    }
    expect_that!(story.world.controls[other].core.as_ref().map(|core| core.is_caught_up()), some(eq(false)));
    expect_that!(order(&mut story.world, other, &unplanned(9)), eq(400));
    expect_that!(story.end(), is_empty());
}
