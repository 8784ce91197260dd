//! Stories of large fleets: what is told, held and opened must not grow with nodes times databases.
use googletest::prelude::*;
use wv_fleet::{World, MS, S};

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
    world.run(wv_fleet::REST);
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
    world.run(wv_fleet::REST);
    expect_that!(world.judge(), is_empty());
}
