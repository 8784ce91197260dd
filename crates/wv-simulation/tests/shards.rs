//! Stories of shards that pass between the nodes of partners, and of the work in flight meanwhile.
mod steps;

use googletest::prelude::*;
use std::collections::BTreeMap;
use steps::end;
use wv_simulation::{Simulation, MS, S};

fn services() -> Vec<String> {
    (0..4).map(|at| format!("s{at}")).collect()
}

/// Four services; the first two access nodes are the north's, the others the south's.
fn conf(version: u64, north: u64, south: u64) -> Vec<u8> {
    let mut value: serde_json::Value =
        serde_json::from_slice(&Simulation::config_for(version, &services())).expect("the stand-in's own");
    value["partners"] = serde_json::json!([
        {"label": "north", "portion": north, "nodes": ["a0", "a1"]},
        {"label": "south", "portion": south, "nodes": ["a2", "a3"]},
    ]);
    value.to_string().into_bytes()
}

fn put(world: &mut Simulation, body: &[u8]) {
    let token = world.call(1, "PUT", "/configuration", body);
    world.run(S);
    assert_eq!(world.responses.get(&token).map(|ret| ret.0), Some(200), "the portions are taken");
}

fn fleet() -> Simulation {
    let mut world = Simulation::with_services(4, 3, &services());
    world.run(2 * S);
    put(&mut world, &conf(1, 1, 1));
    world.run(5 * S);
    world
}

/// Who owns what, as `control` tells.
fn owners(world: &mut Simulation, control: usize) -> BTreeMap<String, String> {
    let token = world.call(control, "GET", "/shards", b"");
    let body = world.responses.get(&token).cloned().unwrap_or_default().1;
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let shards = value["shards"].as_array().cloned().unwrap_or_default();
    let text = |value: &serde_json::Value| value.as_str().unwrap_or_default().to_owned();
    shards.iter().map(|shard| (text(&shard["shard"]), text(&shard["owner"]))).collect()
}

fn count(owners: &BTreeMap<String, String>, nodes: [&str; 2]) -> usize {
    owners.values().filter(|owner| nodes.contains(&owner.as_str())).count()
}

fn work(world: &mut Simulation) {
    for route in ["p", "p.s1", "p.s2", "p.s3"] {
        world.start_load(6, route);
    }
    world.start_load(6, "b");
    world.run(2 * S);
}

/// Operations done within `us`, and those that failed.
fn during(world: &mut Simulation, us: u64) -> (u32, u32) {
    let before = world.load_counts();
    world.run(us);
    let after = world.load_counts();
    (after.0 - before.0, after.1 - before.1)
}

#[gtest]
fn given_partners_then_each_holds_its_portion_and_primary_work_goes_through_the_owner() {
    let mut world = fleet();
    let held = owners(&mut world, 0);
    expect_that!((count(&held, ["a0", "a1"]), count(&held, ["a2", "a3"])), eq((2, 2)));
    expect_that!(owners(&mut world, 2), eq(&held));
    work(&mut world);
    let (done, failed) = during(&mut world, 3 * S);
    expect_that!(done, gt(400));
    expect_that!(failed, eq(0));
    // Only owners hold connections to the primaries that statements of primary routes ran on.
    let handed: u64 = (0..4).map(|at| world.forwarded_requests(at)).sum();
    expect_that!(handed, gt(200));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_an_owner_killed_under_load_then_its_shards_move_and_nothing_is_lost_doubled_or_stalled() {
    for killed in 0..4 {
        let mut world = fleet();
        work(&mut world);
        let before = owners(&mut world, 0);
        world.kill_access(killed);
        let (done, _) = during(&mut world, 2500 * MS);
        expect_that!(done, gt(150), "without a{killed}");
        let after = owners(&mut world, 0);
        let name = format!("a{killed}");
        expect_that!(after.values().any(|owner| *owner == name), eq(false));
        let moved = after.iter().filter(|(shard, owner)| before.get(*shard) != Some(*owner)).count();
        expect_that!(moved, eq(before.values().filter(|owner| **owner == name).count()));
        world.reset_slowest();
        let (done, failed) = during(&mut world, 2 * S);
        expect_that!((done > 150, failed), eq((true, 0)), "without a{killed}");
        world.start_access(killed);
        world.run(7 * S);
        let back = owners(&mut world, 1);
        expect_that!((count(&back, ["a0", "a1"]), count(&back, ["a2", "a3"])), eq((2, 2)));
        expect_that!(end(&mut world), is_empty(), "without a{killed}");
    }
}

#[gtest]
fn given_an_owner_and_its_primary_killed_at_once_then_both_are_replaced_and_all_is_told_truthfully() {
    let mut world = fleet();
    work(&mut world);
    let owner = owners(&mut world, 0)["s0"].clone();
    let at = owner[1..].parse::<usize>().expect("a number");
    world.kill_access(at);
    world.crash(0);
    world.run(4 * S);
    expect_that!(world.databases[0].is_primary && world.databases[0].is_up, eq(false));
    let (done, failed) = during(&mut world, 2 * S);
    expect_that!(done, gt(150));
    expect_that!(failed, le(2));
    world.revive(0);
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_portions_changed_under_load_then_ownership_follows_with_nothing_stalled() {
    let mut world = fleet();
    work(&mut world);
    put(&mut world, &conf(2, 3, 1));
    let (done, failed) = during(&mut world, 4 * S);
    let held = owners(&mut world, 0);
    expect_that!((count(&held, ["a0", "a1"]), count(&held, ["a2", "a3"])), eq((3, 1)));
    expect_that!(done, gt(400));
    expect_that!(failed, le(2));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_node_that_comes_and_goes_by_turns_then_it_drags_no_shards_after_it() {
    let mut world = fleet();
    world.kill_access(3);
    world.run(4 * S);
    let settled = owners(&mut world, 0);
    for _ in 0..4 {
        world.start_access(3);
        world.run(1500 * MS);
        expect_that!(owners(&mut world, 0), eq(&settled));
        world.kill_access(3);
        world.run(1500 * MS);
        expect_that!(owners(&mut world, 0), eq(&settled));
    }
}

#[gtest]
fn given_nodes_that_cannot_reach_the_owner_or_control_then_they_do_the_work_themselves() {
    let mut world = fleet();
    work(&mut world);
    for (one, other) in [("a0", "a1"), ("a0", "a2"), ("a0", "a3"), ("a1", "a2"), ("a1", "a3"), ("a2", "a3")] {
        world.dropped_links.insert((one.to_owned(), other.to_owned()));
    }
    world.run(3 * S);
    let (done, failed) = during(&mut world, 3 * S);
    expect_that!(done, gt(300));
    expect_that!(failed * 20, lt(done));
    world.dropped_links.clear();
    (0..3).for_each(|at| world.kill_control(at));
    let (done, failed) = during(&mut world, 3 * S);
    expect_that!(done, gt(300));
    expect_that!(failed, le(2));
    (0..3).for_each(|at| world.start_control(at, false));
    world.run(5 * S);
    let held = owners(&mut world, 2);
    expect_that!((count(&held, ["a0", "a1"]), count(&held, ["a2", "a3"])), eq((2, 2)));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_the_control_node_that_moves_a_shard_killed_at_any_moment_then_the_move_ends_all_the_same() {
    for moment in [1, 2, 3, 5, 20, 100, 400, 900] {
        let mut world = fleet();
        work(&mut world);
        world.kill_access(0);
        world.run(moment * MS);
        world.kill_control((moment % 3) as usize);
        world.run(4 * S);
        world.start_control((moment % 3) as usize, false);
        world.run(3 * S);
        for control in 0..3 {
            let held = owners(&mut world, control);
            expect_that!(held.values().any(|owner| owner == "a0" || owner.is_empty()), eq(false), "moment {moment}");
        }
        expect_that!(end(&mut world), is_empty(), "moment {moment}");
    }
}

#[gtest]
fn given_a_session_with_values_and_names_then_what_runs_at_the_owner_is_what_would_have_run_here() {
    let mut world = fleet();
    let held = owners(&mut world, 0);
    let (shard, owner) = held.iter().next().map(|(shard, owner)| (shard.clone(), owner.clone())).expect("one");
    let route = if shard == "s0" { "p".to_owned() } else { format!("p.{shard}") };
    let elsewhere = (0..4).find(|at| format!("a{at}") != owner).expect("one");
    let client = world.open_client(elsewhere, &route);
    for line in ["QUERY a1 ASSIGN tenant t1", "QUERY a2 DEFINE mine WRITE q7", "QUERY a3 BEGIN"] {
        world.send_line(client, line);
    }
    world.send_line(client, "QUERY a4 EXECUTE mine k d");
    world.run(200 * MS);
    world.send_line(client, "QUERY a5 COMMIT");
    world.run(200 * MS);
    let heard = world.take_lines(client);
    expect_that!(heard.iter().filter(|line| line.starts_with("COMPLETE stamp")).count(), eq(2), "{heard:?}");
    expect_that!(heard.last().map(String::as_str), some(starts_with("IDLE I ")));
    // A transaction that rests while the owner dies is rolled back, and its client hears so.
    world.send_line(client, "QUERY b1 BEGIN");
    world.send_line(client, "QUERY b2 EXECUTE mine k d");
    world.run(200 * MS);
    world.take_lines(client);
    world.kill_access(owner[1..].parse().expect("a number"));
    world.run(2 * S);
    world.send_line(client, "QUERY b3 COMMIT");
    world.run(200 * MS);
    expect_that!(world.take_lines(client)[0], starts_with("ERROR ABORTED"));
    expect_that!(world.forwarded_requests(elsewhere), ge(3));
}
