//! Stories of databases that left with what nobody else has, and of who must still know of them much later.
mod steps;

use googletest::prelude::*;
use steps::{busy, delete};
use wv_simulation::{Simulation, MS, S};

/// One replica receives nothing, so that all that was acknowledged of late stands at the primary and at the other one.
fn alone() -> Simulation {
    let mut world = busy(4, 3);
    world.databases[1].is_log_blocked = true;
    world.run(S);
    world
}

/// Another database at the same place, with the log of the one before.
fn inherit(world: &mut Simulation, base: usize, id: &str) {
    world.databases[base].id = id.to_owned();
    world.databases[base].is_removed = false;
    world.revive(base);
}

fn end(world: &mut Simulation) -> Vec<String> {
    world.databases[1].is_log_blocked = false;
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    world.check_rules()
}

#[gtest]
fn given_a_replica_that_says_it_is_gone_and_serves_on_when_the_primary_crashes_then_nobody_leads_without_its_log() {
    let mut world = alone();
    delete(&mut world, 2);
    world.run(3 * S);
    world.crash(0);
    world.run(2 * S);
    expect_that!(world.promotion_calls, is_empty());
    world.crash(2);
    world.run(S);
    expect_that!(world.promotion_calls, is_empty());
    inherit(&mut world, 2, "i-heir");
    world.run(3 * S);
    expect_that!(world.primary(), eq(2));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_replica_that_served_on_after_its_delete_and_ended_then_another_that_has_all_may_lead() {
    let mut world = Simulation::configured(4, 3);
    world.start_load(10, "p");
    world.run(3 * S);
    delete(&mut world, 2);
    world.run(4 * S);
    world.crash(2);
    world.run(3 * S);
    world.crash(0);
    world.run(2 * S);
    expect_that!(world.primary(), eq(1));
    world.revive(0);
    world.run(S);
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_replica_that_left_with_the_only_copy_long_ago_when_the_primary_crashes_then_it_is_not_forgotten() {
    let mut world = alone();
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    delete(&mut world, 2);
    world.crash(2);
    world.run(200 * S);
    world.crash(0);
    world.run(8 * S);
    expect_that!(world.promotion_calls, is_empty());
    inherit(&mut world, 2, "i-heir");
    world.run(3 * S);
    expect_that!(world.primary(), eq(2));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_control_nodes_that_all_came_back_since_when_the_primary_crashes_then_they_know_of_it_all_the_same() {
    let mut world = alone();
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    delete(&mut world, 2);
    world.crash(2);
    world.run(S);
    for at in 0..3 {
        world.kill_control(at);
        world.start_control(at, false);
    }
    world.run(4 * S);
    world.crash(0);
    world.run(8 * S);
    expect_that!(world.promotion_calls, is_empty());
    inherit(&mut world, 2, "i-heir");
    world.run(3 * S);
    expect_that!(world.primary(), eq(2));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_an_heir_that_crashes_as_well_when_the_primary_is_lost_then_it_is_waited_for() {
    let mut world = alone();
    delete(&mut world, 2);
    world.crash(2);
    world.run(200 * MS);
    inherit(&mut world, 2, "i-heir");
    world.run(2 * S);
    world.crash(2);
    world.crash(0);
    world.run(5 * S);
    expect_that!(world.promotion_calls, is_empty());
    world.revive(2);
    world.run(3 * S);
    expect_that!(world.primary(), eq(2));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_primary_that_crashes_while_its_service_is_released_then_what_its_replicas_took_along_is_waited_for() {
    for when in 0..10u64 {
        let mut world = Simulation::configured(4, 3);
        world.start_load(10, "p");
        world.run(3 * S);
        // One after the other they are replaced by others at their places.
        for base in [1, 2] {
            world.databases[base].is_draining = true;
            world.run(600 * MS);
            delete(&mut world, base);
            world.run(when * 70 * MS);
            world.crash(base);
            if base == 2 {
                world.crash(0);
            }
            world.run(when * 30 * MS);
            // The new database does not leave: it must not begin by saying so.
            world.databases[base].is_draining = false;
            inherit(&mut world, base, &format!("i-heir{base}"));
            world.run(400 * MS);
        }
        world.run(4 * S);
        expect_that!(world.primary(), not(eq(0)), "{when}");
        world.revive(0);
        world.run(2 * S);
        expect_that!(end(&mut world), is_empty(), "{when}");
    }
}
