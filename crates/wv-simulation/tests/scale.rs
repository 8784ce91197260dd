//! Stories of large fleets: what is told, held and opened must not grow with nodes times databases.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

#[gtest]
fn given_eighty_nodes_and_thirty_services_then_a_long_configuration_and_its_changes_reach_all_within_a_second() {
    let names: Vec<String> = (0..30).map(|at| format!("s{at}")).collect();
    let mut world = Simulation::with_services(80, 8, &names);
    world.run(3 * S);
    let long = |version: u64, routes: usize| {
        let mut value: serde_json::Value =
            serde_json::from_slice(&Simulation::config_for(version, &names)).expect("the stand-in's own");
        let route = value["routing"][0].clone();
        let list = value["routing"].as_array_mut().expect("a list");
        list.extend((0..routes).map(|at| {
            let mut route = route.clone();
            (route["label"], route["host"]) = (format!("x{at}").into(), format!("x{at}").into());
            route
        }));
        value.to_string().into_bytes()
    };
    for (version, routes) in [(1, 1000), (2, 1001), (3, 1400)] {
        let token = world.call(version as usize, "PUT", "/configuration", &long(version, routes));
        world.run(S);
        expect_that!(world.responses.get(&token).map(|ret| ret.0), some(eq(200)));
        for node in [0, 17, 79] {
            let client = world.open_client(node, &format!("x{}", routes - 1));
            expect_that!(world.take_lines(client), elements_are![eq("IDLE I -")], "node {node}, version {version}");
        }
    }
    // Nodes that nobody asks anything of hold no more than what is kept warm.
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
fn given_nodes_out_of_sight_for_a_while_then_the_others_do_not_take_their_shares_of_connections() {
    let mut world = Simulation::configured(6, 3);
    world.databases.iter_mut().for_each(|base| base.statement_us = 60 * MS);
    world.start_load(240, "p");
    world.run(2 * S);
    let share = 100 * 9 / 10 / 6;
    (2..6).for_each(|at| world.kill_access(at));
    let mut most = 0;
    for _ in 0..50 {
        world.run(100 * MS);
        most = most.max(world.databases[0].conns.len());
    }
    // Two nodes with all there is to do, and no more than two shares; the control side may look as well.
    expect_that!(most, le(2 * share + 2));
    expect_that!(most, ge(2 * share - 2));
}

#[gtest]
fn given_a_share_of_one_connection_when_a_database_comes_back_then_it_is_let_in_again() {
    let mut world = Simulation::configured(3, 3);
    let small =
        String::from_utf8_lossy(&Simulation::config(2)).replace("\"maxConnections\":100", "\"maxConnections\":3");
    world.call(0, "PUT", "/configuration", small.as_bytes());
    world.start_load(3, "p");
    world.start_load(3, "b");
    world.run(2 * S);
    for dark in [0, 1] {
        world.make_unreachable(dark);
        world.run(4 * S);
        world.revive(dark);
        world.run(3 * S);
        let away: Vec<String> = world.status_lines().into_iter().filter(|state| state.contains("isolated")).collect();
        expect_that!(away, is_empty(), "after {dark} was dark");
    }
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    expect_that!(world.check_rules(), is_empty());
}

/// Twelve services of three databases: more than connections are kept ready to unasked.
fn many() -> Simulation {
    let services: Vec<String> = (0..12).map(|at| format!("m{at}")).collect();
    let mut world = Simulation::with_services(6, 3, &services);
    world.run(2 * S);
    world.call(0, "PUT", "/configuration", &Simulation::config_for(1, &services));
    world.run(3 * S);
    world
}

#[gtest]
fn given_many_databases_then_a_node_opens_connections_only_to_those_that_it_works_with() {
    let mut world = many();
    let opened = |world: &Simulation| -> u64 { world.databases.iter().map(|base| base.setup_count).sum() };
    expect_that!(opened(&world), eq(0));
    world.start_load(4, "p.m3");
    world.start_load(4, "b.m3");
    world.run(10 * S);
    let touched: Vec<&str> =
        world.databases.iter().filter(|base| base.setup_count > 0).map(|base| base.service.as_str()).collect();
    expect_that!(touched, each(eq(&"m3")));
    expect_that!(opened(&world), lt(40));
    let (done, failed) = world.load_counts();
    expect_that!((done > 300, failed), eq((true, 0)));
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    expect_that!(world.check_rules(), is_empty());
}

#[gtest]
fn given_many_databases_and_a_primary_that_crashes_unasked_then_those_that_worked_with_it_still_notice() {
    let mut world = many();
    world.start_load(24, "p.m5");
    world.run(4 * S);
    // Nothing is asked of it while it crashes: only the connection kept to it tells.
    world.stop_load();
    world.run(2 * S);
    let lead = world.database_index("i-m50").unwrap_or(0);
    world.crash(lead);
    world.run(4 * S);
    let led = world.databases.iter().position(|base| base.service == "m5" && base.is_primary && base.is_up);
    expect_that!(led, some(not(eq(lead))));
}

#[gtest]
fn given_a_replica_long_gone_and_a_node_that_only_now_finds_out_then_a_promotion_does_not_wait_for_it() {
    let mut world = many();
    world.start_load(24, "p.m7");
    world.start_load(6, "b.m7");
    world.run(3 * S);
    let (lead, gone) = (world.database_index("i-m70").unwrap_or(0), world.database_index("i-m72").unwrap_or(0));
    world.crash(gone);
    world.run(9 * S);
    // Readers that never met it look at it just before the primary goes.
    world.start_load(6, "b.m7");
    world.run(300 * MS);
    world.crash(lead);
    world.run(4 * S);
    let led = world.databases.iter().position(|base| base.service == "m7" && base.is_primary && base.is_up);
    expect_that!(led, some(eq(world.database_index("i-m71").unwrap_or(0))));
    world.revive(lead);
    world.revive(gone);
    world.run(2 * S);
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    expect_that!(world.check_rules(), is_empty());
}
