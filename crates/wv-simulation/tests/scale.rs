//! Large fleets: messages, state and connections must not grow with the product of nodes and databases.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

#[gtest]
fn given_eighty_nodes_and_thirty_services_then_a_long_configuration_reaches_all_within_a_second() {
    let names: Vec<String> = (0..30).map(|at| format!("s{at}")).collect();
    let mut world = Simulation::with_services(80, 8, &names);
    world.run(3 * S);
    let long_config = |version: u64, routes: usize| {
        let mut value: serde_json::Value = serde_json::from_slice(&Simulation::config_for(version, &names))
            .expect("the default configuration is valid JSON");
        let route = value["routing"][0].clone();
        let list = value["routing"].as_array_mut().expect("routing is an array");
        list.extend((0..routes).map(|at| {
            let mut route = route.clone();
            (route["label"], route["host"]) = (format!("x{at}").into(), format!("x{at}").into());
            route
        }));
        value.to_string().into_bytes()
    };
    for (version, routes) in [(1, 1000), (2, 1001), (3, 1400)] {
        let token = world.call(version as usize, "PUT", "/configuration", &long_config(version, routes));
        world.run(S);
        expect_that!(world.responses.get(&token).map(|ret| ret.0), some(eq(200)));
        for node in [0, 17, 79] {
            let client = world.open_client(node, &format!("x{}", routes - 1));
            expect_that!(world.take_lines(client), elements_are![eq("IDLE I -")], "node {node}, version {version}");
        }
    }
    // Idle nodes hold only their warm connections.
    world.start_load(20, "p");
    world.run(2 * S);
    let (done, failed) = world.load_counts();
    expect_that!(done, gt(150));
    expect_that!(failed, eq(0));
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    expect_that!(world.check_rules(), is_empty());
}

#[gtest]
fn given_nodes_that_fail_then_the_others_do_not_take_over_their_connection_shares() {
    let mut world = Simulation::configured(6, 3);
    world.databases.iter_mut().for_each(|db| db.statement_us = 60 * MS);
    world.start_load(240, "p");
    world.run(2 * S);
    let share = 100 * 9 / 10 / 6;
    (2..6).for_each(|at| world.kill_access(at));
    let mut peak = 0;
    for _ in 0..50 {
        world.run(100 * MS);
        peak = peak.max(world.databases[0].conns.len());
    }
    // Two nodes carry the whole load within their two shares; control nodes may add health check connections.
    expect_that!(peak, le(2 * share + 2));
    expect_that!(peak, ge(2 * share - 2));
}

#[gtest]
fn given_a_share_of_one_connection_when_a_database_recovers_then_it_returns_to_service() {
    let mut world = Simulation::configured(3, 3);
    let small_pool =
        String::from_utf8_lossy(&Simulation::config(2)).replace("\"maxConnections\":100", "\"maxConnections\":3");
    world.call(0, "PUT", "/configuration", small_pool.as_bytes());
    world.start_load(3, "p");
    world.start_load(3, "b");
    world.run(2 * S);
    for unreachable in [0, 1] {
        world.make_unreachable(unreachable);
        world.run(4 * S);
        world.revive(unreachable);
        world.run(3 * S);
        let isolated: Vec<String> =
            world.status_lines().into_iter().filter(|state| state.contains("isolated")).collect();
        expect_that!(isolated, is_empty(), "after {unreachable} was unreachable");
    }
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    expect_that!(world.check_rules(), is_empty());
}

/// Twelve services of three databases each: more databases than a node keeps idle connections to.
fn many_services() -> Simulation {
    let services: Vec<String> = (0..12).map(|at| format!("m{at}")).collect();
    let mut world = Simulation::with_services(6, 3, &services);
    world.run(2 * S);
    world.call(0, "PUT", "/configuration", &Simulation::config_for(1, &services));
    world.run(3 * S);
    world
}

#[gtest]
fn given_many_databases_then_a_node_opens_connections_only_to_those_it_uses() {
    let mut world = many_services();
    let opened = |world: &Simulation| -> u64 { world.databases.iter().map(|db| db.setup_count).sum() };
    expect_that!(opened(&world), eq(0));
    world.start_load(4, "p.m3");
    world.start_load(4, "b.m3");
    world.run(10 * S);
    let contacted: Vec<&str> =
        world.databases.iter().filter(|db| db.setup_count > 0).map(|db| db.service.as_str()).collect();
    expect_that!(contacted, each(eq(&"m3")));
    expect_that!(opened(&world), lt(40));
    let (done, failed) = world.load_counts();
    expect_that!((done > 300, failed), eq((true, 0)));
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    expect_that!(world.check_rules(), is_empty());
}

#[gtest]
fn given_an_idle_primary_that_crashes_then_nodes_that_used_it_detect_the_failure() {
    let mut world = many_services();
    world.start_load(24, "p.m5");
    world.run(4 * S);
    // No requests run when it crashes: only the idle connections reveal the failure.
    world.stop_load();
    world.run(2 * S);
    let primary = world.database_index("i-m50").unwrap_or(0);
    world.crash(primary);
    world.run(4 * S);
    let promoted = world.databases.iter().position(|db| db.service == "m5" && db.is_primary && db.is_up);
    expect_that!(promoted, some(not(eq(primary))));
}

#[gtest]
fn given_a_replica_down_for_long_that_a_node_only_now_detects_then_promotion_does_not_wait_for_it() {
    let mut world = many_services();
    world.start_load(24, "p.m7");
    world.start_load(6, "b.m7");
    world.run(3 * S);
    let (primary, crashed) = (world.database_index("i-m70").unwrap_or(0), world.database_index("i-m72").unwrap_or(0));
    world.crash(crashed);
    world.run(9 * S);
    // New readers contact it for the first time just before the primary crashes.
    world.start_load(6, "b.m7");
    world.run(300 * MS);
    world.crash(primary);
    world.run(4 * S);
    let promoted = world.databases.iter().position(|db| db.service == "m7" && db.is_primary && db.is_up);
    expect_that!(promoted, some(eq(world.database_index("i-m71").unwrap_or(0))));
    world.revive(primary);
    world.revive(crashed);
    world.run(2 * S);
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    expect_that!(world.check_rules(), is_empty());
}
