//! Stories of large fleets: what is told, held and opened must not grow with nodes times databases.
use googletest::prelude::*;
use wv_simulation::{World, MS, S};

#[gtest]
fn given_eighty_nodes_and_thirty_services_then_a_long_configuration_and_its_changes_reach_all_within_a_second() {
    let names: Vec<String> = (0..30).map(|at| format!("s{at}")).collect();
    let mut world = World::of(80, 8, &names);
    world.run(3 * S);
    let long = |version: u64, routes: usize| {
        let mut value: serde_json::Value =
            serde_json::from_slice(&World::conf_of(version, &names)).expect("the stand-in's own");
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
        expect_that!(world.returns.get(&token).map(|ret| ret.0), some(eq(200)));
        for node in [0, 17, 79] {
            let client = world.client(node, &format!("x{}", routes - 1));
            expect_that!(world.take(client), elements_are![eq("IDLE I -")], "node {node}, version {version}");
        }
    }
    // Nodes that nobody asks anything of hold no more than what is kept warm.
    world.load(20, "p");
    world.run(2 * S);
    let (done, failed) = world.load_done();
    expect_that!(done, gt(150));
    expect_that!(failed, eq(0));
    world.stop_load();
    world.run(wv_simulation::REST);
    expect_that!(world.judge(), is_empty());
}

#[gtest]
fn given_nodes_out_of_sight_for_a_while_then_the_others_do_not_take_their_shares_of_connections() {
    let mut world = World::serving(6, 3);
    world.bases.iter_mut().for_each(|base| base.work_us = 60 * MS);
    world.load(240, "p");
    world.run(2 * S);
    let share = 100 * 9 / 10 / 6;
    (2..6).for_each(|at| world.kill_access(at));
    let mut most = 0;
    for _ in 0..50 {
        world.run(100 * MS);
        most = most.max(world.bases[0].conns.len());
    }
    // Two nodes with all there is to do, and no more than two shares; the control side may look as well.
    expect_that!(most, le(2 * share + 2));
    expect_that!(most, ge(2 * share - 2));
}

#[gtest]
fn given_a_share_of_one_connection_when_a_database_comes_back_then_it_is_let_in_again() {
    let mut world = World::serving(3, 3);
    let small = String::from_utf8_lossy(&World::conf(2)).replace("\"maxConnections\":100", "\"maxConnections\":3");
    world.call(0, "PUT", "/configuration", small.as_bytes());
    world.load(3, "p");
    world.load(3, "b");
    world.run(2 * S);
    for dark in [0, 1] {
        world.darken(dark);
        world.run(4 * S);
        world.revive(dark);
        world.run(3 * S);
        let away: Vec<String> = world.states().into_iter().filter(|state| state.contains("isolated")).collect();
        expect_that!(away, is_empty(), "after {dark} was dark");
    }
    world.stop_load();
    world.run(wv_simulation::REST);
    expect_that!(world.judge(), is_empty());
}

/// Twelve services of three databases: more than connections are kept ready to unasked.
fn many() -> World {
    let services: Vec<String> = (0..12).map(|at| format!("m{at}")).collect();
    let mut world = World::of(6, 3, &services);
    world.run(2 * S);
    world.call(0, "PUT", "/configuration", &World::conf_of(1, &services));
    world.run(3 * S);
    world
}

#[gtest]
fn given_many_databases_then_a_node_opens_connections_only_to_those_that_it_works_with() {
    let mut world = many();
    let opened = |world: &World| -> u64 { world.bases.iter().map(|base| base.setups).sum() };
    expect_that!(opened(&world), eq(0));
    world.load(4, "p.m3");
    world.load(4, "b.m3");
    world.run(10 * S);
    let touched: Vec<&str> =
        world.bases.iter().filter(|base| base.setups > 0).map(|base| base.service.as_str()).collect();
    expect_that!(touched, each(eq(&"m3")));
    expect_that!(opened(&world), lt(40));
    let (done, failed) = world.load_done();
    expect_that!((done > 300, failed), eq((true, 0)));
    world.stop_load();
    world.run(wv_simulation::REST);
    expect_that!(world.judge(), is_empty());
}

#[gtest]
fn given_many_databases_and_a_primary_that_crashes_unasked_then_those_that_worked_with_it_still_notice() {
    let mut world = many();
    world.load(24, "p.m5");
    world.run(4 * S);
    // Nothing is asked of it while it crashes: only the connection kept to it tells.
    world.stop_load();
    world.run(2 * S);
    let lead = world.base("i-m50").unwrap_or(0);
    world.crash(lead);
    world.run(4 * S);
    let led = world.bases.iter().position(|base| base.service == "m5" && base.is_primary && base.is_up);
    expect_that!(led, some(not(eq(lead))));
}

#[gtest]
fn given_a_replica_long_gone_and_a_node_that_only_now_finds_out_then_a_promotion_does_not_wait_for_it() {
    let mut world = many();
    world.load(24, "p.m7");
    world.load(6, "b.m7");
    world.run(3 * S);
    let (lead, gone) = (world.base("i-m70").unwrap_or(0), world.base("i-m72").unwrap_or(0));
    world.crash(gone);
    world.run(9 * S);
    // Readers that never met it look at it just before the primary goes.
    world.load(6, "b.m7");
    world.run(300 * MS);
    world.crash(lead);
    world.run(4 * S);
    let led = world.bases.iter().position(|base| base.service == "m7" && base.is_primary && base.is_up);
    expect_that!(led, some(eq(world.base("i-m71").unwrap_or(0))));
    world.revive(lead);
    world.revive(gone);
    world.run(2 * S);
    world.stop_load();
    world.run(wv_simulation::REST);
    expect_that!(world.judge(), is_empty());
}
