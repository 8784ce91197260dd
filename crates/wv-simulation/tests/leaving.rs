//! Stories of databases that leave for good while they know what no other knows.
mod steps;

use googletest::prelude::*;
use steps::{busy, end};
use wv_simulation::{Simulation, MS, S};

/// It says so, and ends.
fn leave(world: &mut Simulation, base: usize) {
    let id = world.databases[base].id.clone();
    world.databases[base].is_removed = true;
    world.call(1, "DELETE", &format!("/instances/{id}"), b"");
    world.run(20 * MS);
    world.crash(base);
}

#[gtest]
fn given_a_draining_replica_that_alone_received_when_the_primary_crashes_then_it_leads_until_another_can() {
    let mut world = busy(4, 3);
    world.databases[1].is_log_blocked = true;
    world.databases[2].is_draining = true;
    world.run(S);
    world.crash(0);
    world.run(2 * S);
    expect_that!(world.primary(), eq(2));
    // The other receives again: now the planned end goes its usual way.
    world.databases[1].is_log_blocked = false;
    world.run(3 * S);
    expect_that!(world.primary(), eq(1));
    world.revive(0);
    world.run(S);
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_replica_that_alone_received_and_left_when_the_primary_crashes_then_its_heir_is_waited_for() {
    let mut world = busy(4, 3);
    world.databases[1].is_log_blocked = true;
    world.run(S);
    world.crash(0);
    leave(&mut world, 2);
    world.run(4 * S);
    expect_that!(world.promotion_calls, is_empty());
    // Another database takes its place, and its log with it.
    world.databases[2].id = "i-heir".to_owned();
    world.databases[2].is_removed = false;
    world.revive(2);
    world.run(3 * S);
    expect_that!(world.primary(), eq(2));
    world.databases[1].is_log_blocked = false;
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_replica_that_left_and_a_primary_seen_after_it_then_the_other_may_lead_without_it() {
    let mut world = busy(4, 3);
    leave(&mut world, 2);
    world.run(3 * S);
    world.crash(0);
    world.run(2 * S);
    expect_that!(world.primary(), eq(1));
    world.revive(0);
    world.run(S);
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_primary_that_only_says_that_it_is_gone_soon_after_another_left_then_one_leads_after_it() {
    let mut world = busy(4, 3);
    world.databases[0].is_draining = true;
    world.run(1500 * MS);
    let second = world.primary();
    expect_that!(second, not(eq(0)));
    leave(&mut world, 0);
    world.run(S);
    // It never says that it drains; it serves on for a while.
    let id = world.databases[second].id.clone();
    world.call(1, "DELETE", &format!("/instances/{id}"), b"");
    world.run(7 * S);
    world.databases[second].is_removed = true;
    world.crash(second);
    world.run(3 * S);
    expect_that!(world.primary(), eq(3 - second));
    expect_that!(end(&mut world), is_empty());
}
