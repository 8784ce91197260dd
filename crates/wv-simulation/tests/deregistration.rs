//! Databases that deregister with writes no other has: no promotion may lose these writes.
mod scenario;

use googletest::prelude::*;
use scenario::{finish_and_check, serving_under_load};
use wv_simulation::{Simulation, MS, S};

/// Deregisters the database, then stops it.
fn deregister_and_crash(world: &mut Simulation, db: usize) {
    let id = world.databases[db].id.clone();
    world.databases[db].is_removed = true;
    world.call(1, "DELETE", &format!("/instances/{id}"), b"");
    world.run(20 * MS);
    world.crash(db);
}

#[gtest]
fn given_a_draining_replica_with_the_only_copy_when_the_primary_crashes_then_it_is_primary_until_another_can_be() {
    let mut world = serving_under_load(4, 3);
    world.databases[1].is_log_blocked = true;
    world.databases[2].is_draining = true;
    world.run(S);
    world.crash(0);
    world.run(2 * S);
    expect_that!(world.primary(), eq(2));
    // Once the other replica receives again, the drain completes as usual.
    world.databases[1].is_log_blocked = false;
    world.run(3 * S);
    expect_that!(world.primary(), eq(1));
    world.revive(0);
    world.run(S);
    expect_that!(finish_and_check(&mut world), is_empty());
}

#[gtest]
fn given_a_deregistered_replica_with_the_only_copy_then_promotion_waits_for_its_replacement() {
    let mut world = serving_under_load(4, 3);
    world.databases[1].is_log_blocked = true;
    world.run(S);
    world.crash(0);
    deregister_and_crash(&mut world, 2);
    world.run(4 * S);
    expect_that!(world.promotion_calls, is_empty());
    // A replacement starts at its address with its log.
    world.databases[2].id = "i-heir".to_owned();
    world.databases[2].is_removed = false;
    world.revive(2);
    world.run(3 * S);
    expect_that!(world.primary(), eq(2));
    world.databases[1].is_log_blocked = false;
    expect_that!(finish_and_check(&mut world), is_empty());
}

#[gtest]
fn given_a_replica_deregistered_before_the_primary_was_last_seen_then_the_other_is_promoted() {
    let mut world = serving_under_load(4, 3);
    deregister_and_crash(&mut world, 2);
    world.run(3 * S);
    world.crash(0);
    world.run(2 * S);
    expect_that!(world.primary(), eq(1));
    world.revive(0);
    world.run(S);
    expect_that!(finish_and_check(&mut world), is_empty());
}

#[gtest]
fn given_a_primary_that_deregisters_without_draining_after_another_left_then_a_replica_is_promoted() {
    let mut world = serving_under_load(4, 3);
    world.databases[0].is_draining = true;
    world.run(1500 * MS);
    let second = world.primary();
    expect_that!(second, not(eq(0)));
    deregister_and_crash(&mut world, 0);
    world.run(S);
    // It never reports `draining` and continues to serve for a while.
    let id = world.databases[second].id.clone();
    world.call(1, "DELETE", &format!("/instances/{id}"), b"");
    world.run(7 * S);
    world.databases[second].is_removed = true;
    world.crash(second);
    world.run(3 * S);
    expect_that!(world.primary(), eq(3 - second));
    expect_that!(finish_and_check(&mut world), is_empty());
}
