//! Stories of databases that leave while nobody can take their place: once the bound is over they get no new work.
use googletest::prelude::*;
use wv_fleet::{World, DRAIN, MS, S};

/// Clients write, and some look up, at every node.
fn busy() -> World {
    let mut world = World::serving(4, 3);
    world.load(10, "p");
    world.load(5, "b");
    world.run(3 * S);
    world
}

/// The database says that it leaves, to whichever control node.
fn drain(world: &mut World, base: usize) {
    world.bases[base].is_draining = true;
    world.run(1300 * MS);
}

fn end(world: &mut World) -> Vec<String> {
    world.stop_load();
    world.run(wv_fleet::REST);
    world.judge()
}

#[gtest]
fn given_a_primary_that_leaves_while_its_replicas_are_dark_then_it_gets_no_new_work_past_the_bound() {
    let mut world = busy();
    world.darken(1);
    world.darken(2);
    drain(&mut world, 0);
    world.run(DRAIN + 3 * S);
    expect_that!(world.primary(), eq(0), "nobody could take its place");
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_the_only_database_of_a_service_that_leaves_then_it_gets_no_new_work_past_the_bound() {
    let mut world = busy();
    for base in [1, 2] {
        world.bases[base].is_left = true;
        let id = world.bases[base].id.clone();
        world.call(base, "DELETE", &format!("/instances/{id}"), b"");
        world.crash(base);
    }
    world.run(4 * S);
    drain(&mut world, 0);
    world.run(DRAIN + 3 * S);
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_successor_that_goes_dark_when_only_the_one_that_leaves_has_received_then_a_third_leads_within_the_bound() {
    let mut world = busy();
    drain(&mut world, 0);
    let successor = world.primary();
    expect_that!(successor, not(eq(0)));
    // Of the two replicas it is the one that leaves which receives; the other falls behind.
    let third = 3 - successor;
    world.bases[third].is_deaf = true;
    world.run(S);
    world.darken(successor);
    world.run(2500 * MS);
    expect_that!(world.primary(), eq(0), "it alone has what was acknowledged");
    world.bases[third].is_deaf = false;
    world.run(1500 * MS);
    expect_that!(world.primary(), eq(third), "it has caught up, and the one that leaves is replaced once more");
    world.run(DRAIN);
    expect_that!(end(&mut world), is_empty());
}
