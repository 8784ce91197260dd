//! Large fleets: messages, state and connections must not grow with the product of nodes and databases.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

#[gtest]
fn given_eighty_nodes_and_thirty_services_then_a_long_configuration_reaches_all_within_a_second() {
    let names: Vec<String> = (0..30).map(|at| format!("s{at}")).collect();
    let mut sim = Simulation::with_services(80, 8, &names);
    sim.run(3 * S);
    let long_configuration = |version: u64, routes: usize| {
        let mut value: serde_json::Value = serde_json::from_slice(&Simulation::configuration_for(version, &names))
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
        let token = sim.call(version as usize, "PUT", "/configuration", &long_configuration(version, routes));
        sim.run(S);
        expect_that!(sim.responses.get(&token).map(|ret| ret.0), some(eq(200)));
        for node in [0, 17, 79] {
            let client = sim.open_client(node, &format!("x{}", routes - 1));
            expect_that!(sim.take_lines(client), elements_are![eq("IDLE I -")], "node {node}, version {version}");
        }
    }
    // Idle nodes hold only their warm connections.
    sim.start_load(20, "p");
    sim.run(2 * S);
    let (done, failed) = sim.load_counts();
    expect_that!(done, gt(150));
    expect_that!(failed, eq(0));
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US);
    expect_that!(sim.check_rules(), is_empty());
}

#[gtest]
fn given_nodes_that_fail_then_the_others_do_not_take_over_their_connection_shares() {
    let mut sim = Simulation::configured(6, 3);
    sim.databases.iter_mut().for_each(|db| db.statement_us = 60 * MS);
    sim.start_load(240, "p");
    sim.run(2 * S);
    let share = 100 * 9 / 10 / 6;
    (2..6).for_each(|at| sim.kill_access(at));
    let mut peak = 0;
    for _ in 0..50 {
        sim.run(100 * MS);
        peak = peak.max(sim.databases[0].connections.len());
    }
    // Two nodes carry the whole load within their two shares; control nodes may add health check connections.
    expect_that!(peak, le(2 * share + 2));
    expect_that!(peak, ge(2 * share - 2));
}

#[gtest]
fn given_a_share_of_one_connection_when_a_database_recovers_then_it_returns_to_service() {
    let mut sim = Simulation::configured(3, 3);
    let small_pool = String::from_utf8_lossy(&Simulation::configuration(2))
        .replace("\"maxConnections\":100", "\"maxConnections\":3");
    sim.call(0, "PUT", "/configuration", small_pool.as_bytes());
    sim.start_load(3, "p");
    sim.start_load(3, "b");
    sim.run(2 * S);
    for unreachable in [0, 1] {
        sim.make_unreachable(unreachable);
        sim.run(4 * S);
        sim.revive(unreachable);
        sim.run(3 * S);
        let isolated: Vec<String> = sim.status_lines().into_iter().filter(|state| state.contains("isolated")).collect();
        expect_that!(isolated, is_empty(), "after {unreachable} was unreachable");
    }
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US);
    expect_that!(sim.check_rules(), is_empty());
}

/// Twelve services of three databases each: more databases than a node keeps idle connections to.
fn many_services() -> Simulation {
    let services: Vec<String> = (0..12).map(|at| format!("m{at}")).collect();
    let mut sim = Simulation::with_services(6, 3, &services);
    sim.run(2 * S);
    sim.call(0, "PUT", "/configuration", &Simulation::configuration_for(1, &services));
    sim.run(3 * S);
    sim
}

#[gtest]
fn given_many_databases_then_a_node_opens_connections_only_to_those_it_uses() {
    let mut sim = many_services();
    let opened = |sim: &Simulation| -> u64 { sim.databases.iter().map(|db| db.setup_count).sum() };
    expect_that!(opened(&sim), eq(0));
    sim.start_load(4, "p.m3");
    sim.start_load(4, "b.m3");
    sim.run(10 * S);
    let contacted: Vec<&str> =
        sim.databases.iter().filter(|db| db.setup_count > 0).map(|db| db.service.as_str()).collect();
    expect_that!(contacted, each(eq(&"m3")));
    expect_that!(opened(&sim), lt(40));
    let (done, failed) = sim.load_counts();
    expect_that!((done > 300, failed), eq((true, 0)));
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US);
    expect_that!(sim.check_rules(), is_empty());
}

#[gtest]
fn given_an_idle_primary_that_crashes_then_nodes_that_used_it_detect_the_failure() {
    let mut sim = many_services();
    sim.start_load(24, "p.m5");
    sim.run(4 * S);
    // No requests run when it crashes: only the idle connections reveal the failure.
    sim.stop_load();
    sim.run(2 * S);
    let primary = sim.database_index("i-m50").unwrap_or(0);
    sim.crash(primary);
    sim.run(4 * S);
    let promoted = sim.databases.iter().position(|db| db.service == "m5" && db.is_primary && db.is_up);
    expect_that!(promoted, some(not(eq(primary))));
}

#[gtest]
fn given_a_replica_down_for_long_that_a_node_only_now_detects_then_promotion_does_not_wait_for_it() {
    let mut sim = many_services();
    sim.start_load(24, "p.m7");
    sim.start_load(6, "b.m7");
    sim.run(3 * S);
    let (primary, crashed) = (sim.database_index("i-m70").unwrap_or(0), sim.database_index("i-m72").unwrap_or(0));
    sim.crash(crashed);
    sim.run(9 * S);
    // New readers contact it for the first time just before the primary crashes.
    sim.start_load(6, "b.m7");
    sim.run(300 * MS);
    sim.crash(primary);
    sim.run(4 * S);
    let promoted = sim.databases.iter().position(|db| db.service == "m7" && db.is_primary && db.is_up);
    expect_that!(promoted, some(eq(sim.database_index("i-m71").unwrap_or(0))));
    sim.revive(primary);
    sim.revive(crashed);
    sim.run(2 * S);
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US);
    expect_that!(sim.check_rules(), is_empty());
}
