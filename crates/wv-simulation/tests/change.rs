//! Stories of changed configurations: who is sent what of them.
mod steps;

use googletest::prelude::*;
use steps::put;
use wv_simulation::{World, MS, S};

/// Seven voters and one machine without a disk behind a thin link, the last one.
fn fleet() -> World {
    let mut world = World::serving(2, 7);
    let thin = world.add_control(&[0, 1, 2]);
    restart_thin(&mut world, thin);
    world.run(3 * S);
    world
}

fn restart_thin(world: &mut World, at: usize) {
    world.kill_control(at);
    world.controls[at].is_core = false;
    world.controls[at].files = Default::default();
    world.start_control(at, false);
}

/// A configuration with so many routes more, all of them different.
fn long(version: u64, routes: usize) -> Vec<u8> {
    let mut value: serde_json::Value = serde_json::from_slice(&World::conf(version)).expect("the stand-in's own");
    let route = value["routing"][0].clone();
    let list = value["routing"].as_array_mut().expect("a list");
    list.extend((0..routes).map(|at| {
        let mut route = route.clone();
        let name = format!("x{}", (at as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        (route["label"], route["host"]) = (name.clone().into(), name.into());
        route
    }));
    value.to_string().into_bytes()
}

/// What came to one node meanwhile.
fn crossed(world: &mut World, name: &str, course: impl FnOnce(&mut World)) -> wv_simulation::Crossed {
    world.crossed = Some(Default::default());
    course(world);
    world.crossed.take().and_then(|crossed| crossed.get(name).copied()).unwrap_or_default()
}

fn version(world: &World, at: usize) -> u64 {
    world.controls[at].core.as_ref().map_or(0, |core| core.configuration_version())
}

#[gtest]
fn given_a_long_configuration_then_a_change_of_one_route_crosses_the_thin_link_as_what_differs() {
    let mut world = fleet();
    let packed = wv_compression::compress(&long(5, 2000)).len() as u64;
    expect_that!(packed, gt(20_000));
    let first = crossed(&mut world, "c7", |world| expect_that!(put(world, 0, &long(5, 2000)), eq(200)));
    expect_that!(version(&world, 7), eq(5));
    expect_that!(first.bytes, lt(2 * packed));
    let quiet = crossed(&mut world, "c7", |world| world.run(10 * 1200 * MS));
    let changes = crossed(&mut world, "c7", |world| {
        (6..16).for_each(|version| {
            expect_that!(put(world, version as usize % 7, &long(version, 2000 + version as usize)), eq(200))
        });
    });
    expect_that!(version(&world, 7), eq(15));
    expect_that!(changes.bytes, lt(quiet.bytes + 10_000), "quiet {quiet:?}");
}

#[gtest]
fn given_a_machine_without_a_disk_that_starts_then_it_catches_up_by_one_copy_of_a_long_configuration() {
    let mut world = fleet();
    expect_that!(put(&mut world, 0, &long(5, 2000)), eq(200));
    let packed = wv_compression::compress(&long(5, 2000)).len() as u64;
    restart_thin(&mut world, 7);
    let start = crossed(&mut world, "c7", |world| world.run(2 * S));
    expect_that!(version(&world, 7), eq(5));
    expect_that!(start.bytes, lt(packed + 20_000));
    // A writer that dies before it tells anyone: what it wrote comes there all the same, and once.
    let token = world.call(1, "PUT", "/configuration", &long(6, 2001));
    world.run(1700);
    world.kill_control(1);
    expect_that!(world.returns.get(&token), none());
    let told = crossed(&mut world, "c7", |world| world.run(3 * S));
    expect_that!(version(&world, 7), eq(6));
    expect_that!(told.bytes, lt(20_000));
}

#[gtest]
fn given_one_that_writes_at_a_machine_without_a_disk_then_another_voter_is_named_each_time_and_none_that_is_down() {
    let mut world = fleet();
    world.kill_control(2);
    world.run(2 * S);
    let mut places = std::collections::BTreeSet::new();
    for _ in 0..12 {
        let token = world.call(7, "PUT", "/configuration", &World::conf(9));
        let (status, place) = world.returns.get(&token).cloned().unwrap_or_default();
        expect_that!(status, eq(307));
        places.insert(String::from_utf8_lossy(&place).into_owned());
    }
    expect_that!(places.len(), eq(6));
    let down = format!("http://{}/configuration", world.controls[2].addr);
    expect_that!(places.contains(&down), eq(false));
    (0..7).for_each(|at| world.kill_control(at));
    world.run(2 * S);
    let token = world.call(7, "PUT", "/configuration", &World::conf(9));
    expect_that!(world.returns.get(&token).map(|ret| ret.0), some(eq(503)));
}

#[gtest]
fn given_changes_that_follow_each_other_then_followers_hear_of_the_newest_in_steps_and_of_one_alone_at_once() {
    let mut world = World::serving(2, 3);
    // Between two turns of the control nodes.
    world.run(S + 30 * MS);
    let told = crossed(&mut world, "a0", |world| {
        let token = world.call(0, "PUT", "/configuration", &long(2, 20));
        world.run(20 * MS);
        expect_that!(world.returns.get(&token).map(|ret| ret.0), some(eq(200)));
        let client = world.client(0, "p");
        expect_that!(world.take(client), elements_are![eq("IDLE I -")]);
    });
    expect_that!(told.confs, eq(1));
    // Forty in two seconds, to one node after the other: one in force everywhere is never older than the last.
    let told = crossed(&mut world, "a0", |world| {
        for version in 3..43 {
            world.call(version as usize % 3, "PUT", "/configuration", &long(version, 20 + version as usize % 2));
            world.run(50 * MS);
        }
        world.run(300 * MS);
    });
    expect_that!(told.confs, ge(8));
    expect_that!(told.confs, le(16));
    (0..3).for_each(|at| expect_that!(version(&world, at), eq(42)));
    (0..2).for_each(|at| {
        expect_that!(world.access[at].core.as_ref().map_or(0, |core| core.held_configuration_version()), eq(42))
    });
}
