//! Stories of databases that come back under a full load and bear only so much at first.
mod steps;

use googletest::prelude::*;
use steps::end;
use wv_simulation::{Simulation, MS, S};

/// Six nodes under load; with `is_eased` they ease databases in, without it they rush as one.
fn loaded(is_eased: bool) -> Simulation {
    let mut world = Simulation::configured(6, 3);
    let plan = wv_slow_start::Plan { is_on: is_eased, ..wv_slow_start::Plan::default() };
    world.access.iter_mut().filter_map(|node| node.core.as_mut()).for_each(|core| core.set_slow_start(plan));
    world.start_load(120, "p");
    world.start_load(60, "b");
    world.run(3 * S);
    world
}

/// The primary restarts with nobody to stand in for it, and bears `bears` statements at once, each slow.
fn restart_alone(world: &mut Simulation, bears: usize) {
    for at in [1, 2] {
        world.databases[at].is_draining = true;
        world.databases[at].is_removed = true;
        world.crash(at);
    }
    world.crash(0);
    world.run(2 * S);
    world.databases[0].busy_limit = Some(bears);
    world.databases[0].statement_us = 12 * MS;
    world.databases[0].overload_crashes = 0;
    world.databases[0].peak_busy = 0;
    world.revive(0);
}

#[gtest]
fn given_a_lone_database_back_under_full_load_then_the_fleet_together_starts_no_more_than_it_bears() {
    let mut world = loaded(true);
    restart_alone(&mut world, 17);
    let before = world.load_counts().0;
    world.run(1500 * MS);
    expect_that!(world.databases[0].overload_crashes, eq(0), "most at once: {}", world.databases[0].peak_busy);
    expect_that!(world.load_counts().0, gt(before + 60));
    // Recovered: it bears its day again, and all is served.
    (world.databases[0].busy_limit, world.databases[0].statement_us) = (None, 3 * MS);
    world.run(3 * S);
    let (done, failed) = world.load_counts();
    world.run(2 * S);
    expect_that!(world.load_counts().0, gt(done + 1000));
    expect_that!(world.load_counts().1, le(failed + 20));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_the_same_return_without_easing_then_it_falls_again_which_is_what_easing_is_for() {
    let mut world = loaded(false);
    restart_alone(&mut world, 17);
    world.run(1500 * MS);
    expect_that!(world.databases[0].overload_crashes, ge(1));
    // Even so nothing is lost, doubled or kept against a promise.
    world.databases[0].busy_limit = None;
    world.revive(0);
    world.run(2 * S);
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_replica_back_under_full_load_then_it_stays_up_and_lookups_are_prompt_meanwhile() {
    let mut world = loaded(true);
    world.crash(2);
    world.run(2 * S);
    (world.databases[2].busy_limit, world.databases[2].statement_us) = (Some(8), 25 * MS);
    world.databases[2].peak_busy = 0;
    world.revive(2);
    world.reset_slowest();
    world.run(2 * S);
    expect_that!(world.databases[2].overload_crashes, eq(0), "most at once: {}", world.databases[2].peak_busy);
    expect_that!(world.databases[2].peak_busy, ge(1));
    expect_that!(world.slowest_us("b"), lt(400 * MS));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_database_that_fell_twice_then_all_nodes_hear_of_it_and_offer_less() {
    let mut world = loaded(true);
    for _ in 0..2 {
        world.crash(2);
        world.run(1500 * MS);
        world.revive(2);
        world.run(1500 * MS);
    }
    let id = world.databases[2].id.clone();
    let eased =
        world.access.iter().filter_map(|node| node.core.as_ref()).filter(|core| core.is_in_slow_start(&id)).count();
    expect_that!(eased, eq(6));
    world.run(12 * S);
    let eased =
        world.access.iter().filter_map(|node| node.core.as_ref()).filter(|core| core.is_in_slow_start(&id)).count();
    expect_that!(eased, eq(0));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_restart_under_another_id_at_the_old_address_then_it_is_eased_in_all_the_same() {
    let mut world = loaded(true);
    world.crash(2);
    world.run(S);
    // It comes back as another: the place is the old one, the log its own.
    world.databases[2].id = "i-again".to_owned();
    world.databases[2].sequence = 0;
    world.revive(2);
    world.run(700 * MS);
    let eased = |world: &Simulation| {
        world
            .access
            .iter()
            .filter_map(|node| node.core.as_ref())
            .filter(|core| core.is_in_slow_start("i-again"))
            .count()
    };
    expect_that!(eased(&world), eq(6));
    world.run(6 * S);
    expect_that!(eased(&world), eq(0));
    expect_that!(end(&mut world), is_empty());
}
