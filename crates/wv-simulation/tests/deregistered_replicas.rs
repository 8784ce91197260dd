//! Replicas that deregister with the only copy of acknowledged writes: no database without these writes may become
//! primary, however late the primary fails.
mod scenario;

use googletest::prelude::*;
use scenario::{deregister, serving_under_load};
use wv_simulation::{Simulation, MS, S};

/// One replica receives nothing, so that only the primary and the other replica have the latest acknowledged writes.
fn fleet_with_one_current_replica() -> Simulation {
    let mut world = serving_under_load(4, 3);
    world.databases[1].is_log_blocked = true;
    world.run(S);
    world
}

/// Starts another instance at the same address with the log of the previous one.
fn restart_under_new_id(world: &mut Simulation, db: usize, id: &str) {
    world.databases[db].id = id.to_owned();
    world.databases[db].is_removed = false;
    world.revive(db);
}

fn finish_and_check(world: &mut Simulation) -> Vec<String> {
    world.databases[1].is_log_blocked = false;
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    world.check_rules()
}

#[gtest]
fn given_a_replica_that_runs_on_after_deregistering_when_the_primary_crashes_then_none_without_its_log_is_promoted() {
    let mut world = fleet_with_one_current_replica();
    deregister(&mut world, 2);
    world.run(3 * S);
    world.crash(0);
    world.run(2 * S);
    expect_that!(world.promotion_calls, is_empty());
    world.crash(2);
    world.run(S);
    expect_that!(world.promotion_calls, is_empty());
    restart_under_new_id(&mut world, 2, "i-heir");
    world.run(3 * S);
    expect_that!(world.primary(), eq(2));
    expect_that!(finish_and_check(&mut world), is_empty());
}

#[gtest]
fn given_a_replica_that_ran_on_after_deregistering_then_an_up_to_date_one_may_be_promoted() {
    let mut world = Simulation::configured(4, 3);
    world.start_load(10, "p");
    world.run(3 * S);
    deregister(&mut world, 2);
    world.run(4 * S);
    world.crash(2);
    world.run(3 * S);
    world.crash(0);
    world.run(2 * S);
    expect_that!(world.primary(), eq(1));
    world.revive(0);
    world.run(S);
    expect_that!(finish_and_check(&mut world), is_empty());
}

#[gtest]
fn given_a_replica_deregistered_long_ago_with_the_only_copy_then_it_still_blocks_promotion() {
    let mut world = fleet_with_one_current_replica();
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    deregister(&mut world, 2);
    world.crash(2);
    world.run(200 * S);
    world.crash(0);
    world.run(8 * S);
    expect_that!(world.promotion_calls, is_empty());
    restart_under_new_id(&mut world, 2, "i-heir");
    world.run(3 * S);
    expect_that!(world.primary(), eq(2));
    expect_that!(finish_and_check(&mut world), is_empty());
}

#[gtest]
fn given_a_deregistered_replica_with_the_only_copy_then_it_blocks_promotion_after_control_restarts() {
    let mut world = fleet_with_one_current_replica();
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    deregister(&mut world, 2);
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
    restart_under_new_id(&mut world, 2, "i-heir");
    world.run(3 * S);
    expect_that!(world.primary(), eq(2));
    expect_that!(finish_and_check(&mut world), is_empty());
}

#[gtest]
fn given_a_replacement_that_crashes_with_the_primary_then_promotion_waits_for_it() {
    let mut world = fleet_with_one_current_replica();
    deregister(&mut world, 2);
    world.crash(2);
    world.run(200 * MS);
    restart_under_new_id(&mut world, 2, "i-heir");
    world.run(2 * S);
    world.crash(2);
    world.crash(0);
    world.run(5 * S);
    expect_that!(world.promotion_calls, is_empty());
    world.revive(2);
    world.run(3 * S);
    expect_that!(world.primary(), eq(2));
    expect_that!(finish_and_check(&mut world), is_empty());
}

#[gtest]
fn given_a_primary_crash_while_its_replicas_are_replaced_then_promotion_waits_for_their_logs() {
    for step in 0..10u64 {
        let mut world = Simulation::configured(4, 3);
        world.start_load(10, "p");
        world.run(3 * S);
        // Both replicas are replaced in turn by instances at the same addresses.
        for db in [1, 2] {
            world.databases[db].is_draining = true;
            world.run(600 * MS);
            deregister(&mut world, db);
            world.run(step * 70 * MS);
            world.crash(db);
            if db == 2 {
                world.crash(0);
            }
            world.run(step * 30 * MS);
            // The new instance must not start out reporting `draining`.
            world.databases[db].is_draining = false;
            restart_under_new_id(&mut world, db, &format!("i-heir{db}"));
            world.run(400 * MS);
        }
        world.run(4 * S);
        expect_that!(world.primary(), not(eq(0)), "step {step}");
        world.revive(0);
        world.run(2 * S);
        expect_that!(finish_and_check(&mut world), is_empty(), "step {step}");
    }
}
