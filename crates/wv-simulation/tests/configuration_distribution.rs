//! Distribution of configurations: each node gets every change, without redundant transfers.
mod scenario;

use googletest::prelude::*;
use scenario::put_configuration;
use wv_simulation::{Simulation, MS, S};

/// Seven voters and, as the last control node, one without a disk behind a low-bandwidth link.
fn fleet_with_diskless_node() -> Simulation {
    let mut sim = Simulation::configured(2, 7);
    let diskless = sim.add_control(&[0, 1, 2]);
    restart_without_disk(&mut sim, diskless);
    sim.run(3 * S);
    sim
}

fn restart_without_disk(sim: &mut Simulation, at: usize) {
    sim.kill_control(at);
    sim.controls[at].has_disk = false;
    sim.controls[at].files = Default::default();
    sim.start_control(at, false);
}

/// The default configuration with `routes` additional distinct routes.
fn long_configuration(version: u64, routes: usize) -> Vec<u8> {
    let mut value: serde_json::Value =
        serde_json::from_slice(&Simulation::configuration(version)).expect("the default configuration is valid JSON");
    let route = value["routing"][0].clone();
    let list = value["routing"].as_array_mut().expect("routing is an array");
    list.extend((0..routes).map(|at| {
        let mut route = route.clone();
        let name = format!("x{}", (at as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        (route["label"], route["host"]) = (name.clone().into(), name.into());
        route
    }));
    value.to_string().into_bytes()
}

/// The traffic received by one node while `action` runs.
fn received_by(sim: &mut Simulation, name: &str, action: impl FnOnce(&mut Simulation)) -> wv_simulation::LinkTraffic {
    sim.traffic = Some(Default::default());
    action(sim);
    sim.traffic.take().and_then(|crossed| crossed.get(name).copied()).unwrap_or_default()
}

fn configuration_version(sim: &Simulation, at: usize) -> u64 {
    sim.controls[at].core.as_ref().map_or(0, |core| core.configuration_version())
}

#[gtest]
fn given_a_long_configuration_then_a_one_route_change_is_sent_as_a_difference() {
    let mut sim = fleet_with_diskless_node();
    let compressed_len = wv_compression::compress(&long_configuration(5, 2000)).len() as u64;
    expect_that!(compressed_len, gt(20_000));
    let first = received_by(&mut sim, "c7", |sim| {
        expect_that!(put_configuration(sim, 0, &long_configuration(5, 2000)), eq(200))
    });
    expect_that!(configuration_version(&sim, 7), eq(5));
    expect_that!(first.bytes, lt(2 * compressed_len));
    let idle = received_by(&mut sim, "c7", |sim| sim.run(10 * 1200 * MS));
    let changes = received_by(&mut sim, "c7", |sim| {
        (6..16).for_each(|version| {
            expect_that!(
                put_configuration(sim, version as usize % 7, &long_configuration(version, 2000 + version as usize)),
                eq(200)
            )
        });
    });
    expect_that!(configuration_version(&sim, 7), eq(15));
    expect_that!(changes.bytes, lt(idle.bytes + 10_000), "idle traffic {idle:?}");
}

#[gtest]
fn given_a_diskless_node_that_starts_then_it_fetches_a_long_configuration_once() {
    let mut sim = fleet_with_diskless_node();
    expect_that!(put_configuration(&mut sim, 0, &long_configuration(5, 2000)), eq(200));
    let compressed_len = wv_compression::compress(&long_configuration(5, 2000)).len() as u64;
    restart_without_disk(&mut sim, 7);
    let received = received_by(&mut sim, "c7", |sim| sim.run(2 * S));
    expect_that!(configuration_version(&sim, 7), eq(5));
    expect_that!(received.bytes, lt(compressed_len + 20_000));
    // A write whose proposer crashes before announcing it still arrives, and only once.
    let token = sim.call(1, "PUT", "/configuration", &long_configuration(6, 2001));
    sim.run(1700);
    sim.kill_control(1);
    expect_that!(sim.responses.get(&token), none());
    let received = received_by(&mut sim, "c7", |sim| sim.run(3 * S));
    expect_that!(configuration_version(&sim, 7), eq(6));
    expect_that!(received.bytes, lt(20_000));
}

#[gtest]
fn given_writes_at_a_diskless_node_then_redirects_rotate_over_the_reachable_voters() {
    let mut sim = fleet_with_diskless_node();
    sim.kill_control(2);
    sim.run(2 * S);
    let mut locations = std::collections::BTreeSet::new();
    for _ in 0..12 {
        let token = sim.call(7, "PUT", "/configuration", &Simulation::configuration(9));
        let (status, location) = sim.responses.get(&token).cloned().unwrap_or_default();
        expect_that!(status, eq(307));
        locations.insert(String::from_utf8_lossy(&location).into_owned());
    }
    expect_that!(locations.len(), eq(6));
    let down = format!("http://{}/configuration", sim.controls[2].addr);
    expect_that!(locations.contains(&down), eq(false));
    (0..7).for_each(|at| sim.kill_control(at));
    sim.run(2 * S);
    let token = sim.call(7, "PUT", "/configuration", &Simulation::configuration(9));
    expect_that!(sim.responses.get(&token).map(|ret| ret.0), some(eq(503)));
}

#[gtest]
fn given_rapid_changes_then_updates_to_followers_are_batched_and_a_single_change_is_sent_at_once() {
    let mut sim = Simulation::configured(2, 3);
    // Between two ticks of the control nodes.
    sim.run(S + 30 * MS);
    let received = received_by(&mut sim, "a0", |sim| {
        let token = sim.call(0, "PUT", "/configuration", &long_configuration(2, 20));
        sim.run(20 * MS);
        expect_that!(sim.responses.get(&token).map(|ret| ret.0), some(eq(200)));
        let client = sim.open_client(0, "p");
        expect_that!(sim.take_lines(client), elements_are![eq("IDLE I -")]);
    });
    expect_that!(received.configurations, eq(1));
    // Forty changes in two seconds, to one node after the other: all nodes end with the last one.
    let received = received_by(&mut sim, "a0", |sim| {
        for version in 3..43 {
            sim.call(
                version as usize % 3,
                "PUT",
                "/configuration",
                &long_configuration(version, 20 + version as usize % 2),
            );
            sim.run(50 * MS);
        }
        sim.run(300 * MS);
    });
    expect_that!(received.configurations, ge(8));
    expect_that!(received.configurations, le(16));
    (0..3).for_each(|at| expect_that!(configuration_version(&sim, at), eq(42)));
    (0..2).for_each(|at| {
        expect_that!(sim.access[at].core.as_ref().map_or(0, |core| core.held_configuration_version()), eq(42))
    });
}
