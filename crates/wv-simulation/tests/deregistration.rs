//! Databases that deregister with writes no other has: no promotion may lose these writes.
mod scenario;

use googletest::prelude::*;
use scenario::{finish_and_check, serving_under_load};
use wv_simulation::{Simulation, MS, S};

/// Deregisters the database, then stops it.
fn deregister_and_crash(sim: &mut Simulation, db: usize) {
    let id = sim.databases[db].id.clone();
    sim.databases[db].is_removed = true;
    sim.call(1, "DELETE", &format!("/instances/{id}"), b"");
    sim.run(20 * MS);
    sim.crash(db);
}

#[gtest]
fn given_a_draining_replica_with_the_only_copy_when_the_primary_crashes_then_it_is_primary_until_another_can_be() {
    let mut sim = serving_under_load(4, 3);
    sim.databases[1].is_log_blocked = true;
    sim.databases[2].is_draining = true;
    sim.run(S);
    sim.crash(0);
    sim.run(2 * S);
    expect_that!(sim.primary(), eq(2));
    // Once the other replica receives again, the drain completes as usual.
    sim.databases[1].is_log_blocked = false;
    sim.run(3 * S);
    expect_that!(sim.primary(), eq(1));
    sim.revive(0);
    sim.run(S);
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_a_deregistered_replica_with_the_only_copy_then_promotion_waits_for_its_replacement() {
    let mut sim = serving_under_load(4, 3);
    sim.databases[1].is_log_blocked = true;
    sim.run(S);
    sim.crash(0);
    deregister_and_crash(&mut sim, 2);
    sim.run(4 * S);
    expect_that!(sim.promotion_calls, is_empty());
    // A replacement starts at its address with its log.
    sim.databases[2].id = "i-heir".to_owned();
    sim.databases[2].is_removed = false;
    sim.revive(2);
    sim.run(3 * S);
    expect_that!(sim.primary(), eq(2));
    sim.databases[1].is_log_blocked = false;
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_a_replica_deregistered_before_the_primary_was_last_seen_then_the_other_is_promoted() {
    let mut sim = serving_under_load(4, 3);
    deregister_and_crash(&mut sim, 2);
    sim.run(3 * S);
    sim.crash(0);
    sim.run(2 * S);
    expect_that!(sim.primary(), eq(1));
    sim.revive(0);
    sim.run(S);
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_a_primary_that_deregisters_without_draining_after_another_left_then_a_replica_is_promoted() {
    let mut sim = serving_under_load(4, 3);
    sim.databases[0].is_draining = true;
    sim.run(1500 * MS);
    let second = sim.primary();
    expect_that!(second, not(eq(0)));
    deregister_and_crash(&mut sim, 0);
    sim.run(S);
    // It never reports `draining` and continues to serve for a while.
    let id = sim.databases[second].id.clone();
    sim.call(1, "DELETE", &format!("/instances/{id}"), b"");
    sim.run(7 * S);
    sim.databases[second].is_removed = true;
    sim.crash(second);
    sim.run(3 * S);
    expect_that!(sim.primary(), eq(3 - second));
    expect_that!(finish_and_check(&mut sim), is_empty());
}
