//! Shard ownership across access nodes: shards move after failures and portion changes without losing or stalling work.
mod scenario;

use googletest::prelude::*;
use scenario::finish_and_check;
use std::collections::BTreeMap;
use wv_simulation::{Simulation, MS, S};

fn services() -> Vec<String> {
    (0..4).map(|at| format!("s{at}")).collect()
}

/// Four services; the first two access nodes belong to partner north, the others to partner south.
fn configuration(version: u64, north: u64, south: u64) -> Vec<u8> {
    let mut value: serde_json::Value = serde_json::from_slice(&Simulation::configuration_for(version, &services()))
        .expect("the default configuration is valid JSON");
    value["partners"] = serde_json::json!([
        {"label": "north", "portion": north, "nodes": ["a0", "a1"]},
        {"label": "south", "portion": south, "nodes": ["a2", "a3"]},
    ]);
    value.to_string().into_bytes()
}

fn put_configuration(sim: &mut Simulation, body: &[u8]) {
    let token = sim.call(1, "PUT", "/configuration", body);
    sim.run(S);
    assert_eq!(sim.responses.get(&token).map(|ret| ret.0), Some(200), "portions accepted");
}

fn fleet() -> Simulation {
    let mut sim = Simulation::with_services(4, 3, &services());
    sim.run(2 * S);
    put_configuration(&mut sim, &configuration(1, 1, 1));
    sim.run(5 * S);
    sim
}

/// The owner of each shard according to `control`.
fn owners(sim: &mut Simulation, control: usize) -> BTreeMap<String, String> {
    let token = sim.call(control, "GET", "/shards", b"");
    let body = sim.responses.get(&token).cloned().unwrap_or_default().1;
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let shards = value["shards"].as_array().cloned().unwrap_or_default();
    let text = |value: &serde_json::Value| value.as_str().unwrap_or_default().to_owned();
    shards.iter().map(|shard| (text(&shard["shard"]), text(&shard["owner"]))).collect()
}

fn count_owned(owners: &BTreeMap<String, String>, nodes: [&str; 2]) -> usize {
    owners.values().filter(|owner| nodes.contains(&owner.as_str())).count()
}

fn start_load(sim: &mut Simulation) {
    for route in ["p", "p.s1", "p.s2", "p.s3"] {
        sim.start_load(6, route);
    }
    sim.start_load(6, "b");
    sim.run(2 * S);
}

/// Operations completed and failed within `us` microseconds.
fn completed_during(sim: &mut Simulation, us: u64) -> (u32, u32) {
    let before = sim.load_counts();
    sim.run(us);
    let after = sim.load_counts();
    (after.0 - before.0, after.1 - before.1)
}

#[gtest]
fn given_partners_then_each_owns_its_portion_and_primary_work_goes_through_the_owner() {
    let mut sim = fleet();
    let owned = owners(&mut sim, 0);
    expect_that!((count_owned(&owned, ["a0", "a1"]), count_owned(&owned, ["a2", "a3"])), eq((2, 2)));
    expect_that!(owners(&mut sim, 2), eq(&owned));
    start_load(&mut sim);
    let (done, failed) = completed_during(&mut sim, 3 * S);
    expect_that!(done, gt(400));
    expect_that!(failed, eq(0));
    // Statements of primary routes run only on connections held by shard owners.
    let forwarded: u64 = (0..4).map(|at| sim.forwarded_requests(at)).sum();
    expect_that!(forwarded, gt(200));
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_an_owner_killed_under_load_then_its_shards_move_and_nothing_is_lost_duplicated_or_stalled() {
    for killed in 0..4 {
        let mut sim = fleet();
        start_load(&mut sim);
        let before = owners(&mut sim, 0);
        sim.kill_access(killed);
        let (done, _) = completed_during(&mut sim, 2500 * MS);
        expect_that!(done, gt(150), "without a{killed}");
        let after = owners(&mut sim, 0);
        let name = format!("a{killed}");
        expect_that!(after.values().any(|owner| *owner == name), eq(false));
        let moved = after.iter().filter(|(shard, owner)| before.get(*shard) != Some(*owner)).count();
        expect_that!(moved, eq(before.values().filter(|owner| **owner == name).count()));
        sim.reset_slowest();
        let (done, failed) = completed_during(&mut sim, 2 * S);
        expect_that!((done > 150, failed), eq((true, 0)), "without a{killed}");
        sim.start_access(killed);
        sim.run(7 * S);
        let back = owners(&mut sim, 1);
        expect_that!((count_owned(&back, ["a0", "a1"]), count_owned(&back, ["a2", "a3"])), eq((2, 2)));
        expect_that!(finish_and_check(&mut sim), is_empty(), "without a{killed}");
    }
}

#[gtest]
fn given_an_owner_and_its_primary_killed_at_once_then_both_are_replaced_and_answers_are_correct() {
    let mut sim = fleet();
    start_load(&mut sim);
    let owner = owners(&mut sim, 0)["s0"].clone();
    let at = owner[1..].parse::<usize>().expect("node names end in a number");
    sim.kill_access(at);
    sim.crash(0);
    sim.run(4 * S);
    expect_that!(sim.databases[0].is_primary && sim.databases[0].is_up, eq(false));
    let (done, failed) = completed_during(&mut sim, 2 * S);
    expect_that!(done, gt(150));
    expect_that!(failed, le(2));
    sim.revive(0);
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_portions_changed_under_load_then_ownership_follows_without_stalls() {
    let mut sim = fleet();
    start_load(&mut sim);
    put_configuration(&mut sim, &configuration(2, 3, 1));
    let (done, failed) = completed_during(&mut sim, 4 * S);
    let owned = owners(&mut sim, 0);
    expect_that!((count_owned(&owned, ["a0", "a1"]), count_owned(&owned, ["a2", "a3"])), eq((3, 1)));
    expect_that!(done, gt(400));
    expect_that!(failed, le(2));
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_a_flapping_node_then_no_shards_move_to_it() {
    let mut sim = fleet();
    sim.kill_access(3);
    sim.run(4 * S);
    let settled = owners(&mut sim, 0);
    for _ in 0..4 {
        sim.start_access(3);
        sim.run(1500 * MS);
        expect_that!(owners(&mut sim, 0), eq(&settled));
        sim.kill_access(3);
        sim.run(1500 * MS);
        expect_that!(owners(&mut sim, 0), eq(&settled));
    }
}

#[gtest]
fn given_nodes_that_cannot_reach_the_owner_or_control_then_they_execute_requests_locally() {
    let mut sim = fleet();
    start_load(&mut sim);
    for (one, other) in [("a0", "a1"), ("a0", "a2"), ("a0", "a3"), ("a1", "a2"), ("a1", "a3"), ("a2", "a3")] {
        sim.dropped_links.insert((one.to_owned(), other.to_owned()));
    }
    sim.run(3 * S);
    let (done, failed) = completed_during(&mut sim, 3 * S);
    expect_that!(done, gt(300));
    expect_that!(failed * 20, lt(done));
    sim.dropped_links.clear();
    (0..3).for_each(|at| sim.kill_control(at));
    let (done, failed) = completed_during(&mut sim, 3 * S);
    expect_that!(done, gt(300));
    expect_that!(failed, le(2));
    (0..3).for_each(|at| sim.start_control(at, false));
    sim.run(5 * S);
    let owned = owners(&mut sim, 2);
    expect_that!((count_owned(&owned, ["a0", "a1"]), count_owned(&owned, ["a2", "a3"])), eq((2, 2)));
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_the_control_node_that_moves_a_shard_is_killed_then_the_move_still_completes() {
    for delay_ms in [1, 2, 3, 5, 20, 100, 400, 900] {
        let mut sim = fleet();
        start_load(&mut sim);
        sim.kill_access(0);
        sim.run(delay_ms * MS);
        sim.kill_control((delay_ms % 3) as usize);
        sim.run(4 * S);
        sim.start_control((delay_ms % 3) as usize, false);
        sim.run(3 * S);
        for control in 0..3 {
            let owned = owners(&mut sim, control);
            expect_that!(
                owned.values().any(|owner| owner == "a0" || owner.is_empty()),
                eq(false),
                "killed after {delay_ms} ms"
            );
        }
        expect_that!(finish_and_check(&mut sim), is_empty(), "killed after {delay_ms} ms");
    }
}

#[gtest]
fn given_a_session_with_variables_and_prepared_statements_then_the_owner_runs_it_with_the_same_state() {
    let mut sim = fleet();
    let owned = owners(&mut sim, 0);
    let (shard, owner) =
        owned.iter().next().map(|(shard, owner)| (shard.clone(), owner.clone())).expect("there is one");
    let route = if shard == "s0" { "p".to_owned() } else { format!("p.{shard}") };
    let elsewhere = (0..4).find(|at| format!("a{at}") != owner).expect("there is one");
    let client = sim.open_client(elsewhere, &route);
    for line in ["QUERY a1 ASSIGN tenant t1", "QUERY a2 DEFINE mine WRITE q7", "QUERY a3 BEGIN"] {
        sim.send_line(client, line);
    }
    sim.send_line(client, "QUERY a4 EXECUTE mine k d");
    sim.run(200 * MS);
    sim.send_line(client, "QUERY a5 COMMIT");
    sim.run(200 * MS);
    let received = sim.take_lines(client);
    expect_that!(received.iter().filter(|line| line.starts_with("COMPLETE stamp")).count(), eq(2), "{received:?}");
    expect_that!(received.last().map(String::as_str), some(starts_with("IDLE I ")));
    // An idle transaction is rolled back when the owner is killed, and its client receives the error.
    sim.send_line(client, "QUERY b1 BEGIN");
    sim.send_line(client, "QUERY b2 EXECUTE mine k d");
    sim.run(200 * MS);
    sim.take_lines(client);
    sim.kill_access(owner[1..].parse().expect("node names end in a number"));
    sim.run(2 * S);
    sim.send_line(client, "QUERY b3 COMMIT");
    sim.run(200 * MS);
    expect_that!(sim.take_lines(client)[0], starts_with("ERROR ABORTED"));
    expect_that!(sim.forwarded_requests(elsewhere), ge(3));
}
