//! Replicas that deregister with the only copy of acknowledged writes: no database without these writes may become
//! primary, however late the primary fails.
mod scenario;

use googletest::prelude::*;
use scenario::{deregister, serving_under_load};
use wv_simulation::{Simulation, MS, S};

/// One replica receives nothing, so that only the primary and the other replica have the latest acknowledged writes.
fn fleet_with_one_current_replica() -> Simulation {
    let mut sim = serving_under_load(4, 3);
    sim.databases[1].is_log_blocked = true;
    sim.run(S);
    sim
}

/// Starts another instance at the same address with the log of the previous one.
fn restart_under_new_id(sim: &mut Simulation, db: usize, id: &str) {
    sim.databases[db].id = id.to_owned();
    sim.databases[db].is_removed = false;
    sim.revive(db);
}

fn finish_and_check(sim: &mut Simulation) -> Vec<String> {
    sim.databases[1].is_log_blocked = false;
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US);
    sim.check_rules()
}

#[gtest]
fn given_a_replica_that_runs_on_after_deregistering_when_the_primary_crashes_then_none_without_its_log_is_promoted() {
    let mut sim = fleet_with_one_current_replica();
    deregister(&mut sim, 2);
    sim.run(3 * S);
    sim.crash(0);
    sim.run(2 * S);
    expect_that!(sim.promotion_calls, is_empty());
    sim.crash(2);
    sim.run(S);
    expect_that!(sim.promotion_calls, is_empty());
    restart_under_new_id(&mut sim, 2, "i-heir");
    sim.run(3 * S);
    expect_that!(sim.primary(), eq(2));
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_a_replica_that_ran_on_after_deregistering_then_an_up_to_date_one_may_be_promoted() {
    let mut sim = Simulation::configured(4, 3);
    sim.start_load(10, "p");
    sim.run(3 * S);
    deregister(&mut sim, 2);
    sim.run(4 * S);
    sim.crash(2);
    sim.run(3 * S);
    sim.crash(0);
    sim.run(2 * S);
    expect_that!(sim.primary(), eq(1));
    sim.revive(0);
    sim.run(S);
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_a_replica_deregistered_long_ago_with_the_only_copy_then_it_still_blocks_promotion() {
    let mut sim = fleet_with_one_current_replica();
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US);
    deregister(&mut sim, 2);
    sim.crash(2);
    sim.run(200 * S);
    sim.crash(0);
    sim.run(8 * S);
    expect_that!(sim.promotion_calls, is_empty());
    restart_under_new_id(&mut sim, 2, "i-heir");
    sim.run(3 * S);
    expect_that!(sim.primary(), eq(2));
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_a_deregistered_replica_with_the_only_copy_then_it_blocks_promotion_after_control_restarts() {
    let mut sim = fleet_with_one_current_replica();
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US);
    deregister(&mut sim, 2);
    sim.crash(2);
    sim.run(S);
    for at in 0..3 {
        sim.kill_control(at);
        sim.start_control(at, false);
    }
    sim.run(4 * S);
    sim.crash(0);
    sim.run(8 * S);
    expect_that!(sim.promotion_calls, is_empty());
    restart_under_new_id(&mut sim, 2, "i-heir");
    sim.run(3 * S);
    expect_that!(sim.primary(), eq(2));
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_a_replacement_that_crashes_with_the_primary_then_promotion_waits_for_it() {
    let mut sim = fleet_with_one_current_replica();
    deregister(&mut sim, 2);
    sim.crash(2);
    sim.run(200 * MS);
    restart_under_new_id(&mut sim, 2, "i-heir");
    sim.run(2 * S);
    sim.crash(2);
    sim.crash(0);
    sim.run(5 * S);
    expect_that!(sim.promotion_calls, is_empty());
    sim.revive(2);
    sim.run(3 * S);
    expect_that!(sim.primary(), eq(2));
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_a_primary_crash_while_its_replicas_are_replaced_then_promotion_waits_for_their_logs() {
    for step in 0..10u64 {
        let mut sim = Simulation::configured(4, 3);
        sim.start_load(10, "p");
        sim.run(3 * S);
        // Both replicas are replaced in turn by instances at the same addresses.
        for db in [1, 2] {
            sim.databases[db].is_draining = true;
            sim.run(600 * MS);
            deregister(&mut sim, db);
            sim.run(step * 70 * MS);
            sim.crash(db);
            if db == 2 {
                sim.crash(0);
            }
            sim.run(step * 30 * MS);
            // The new instance must not start out reporting `draining`.
            sim.databases[db].is_draining = false;
            restart_under_new_id(&mut sim, db, &format!("i-heir{db}"));
            sim.run(400 * MS);
        }
        sim.run(4 * S);
        expect_that!(sim.primary(), not(eq(0)), "step {step}");
        sim.revive(0);
        sim.run(2 * S);
        expect_that!(finish_and_check(&mut sim), is_empty(), "step {step}");
    }
}
