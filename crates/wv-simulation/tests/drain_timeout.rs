//! Databases that drain without a successor: no new work may reach them after the drain timeout.
mod scenario;

use googletest::prelude::*;
use scenario::{finish_and_check, serving_under_load};
use wv_simulation::{Simulation, DRAIN_BOUND_US, MS, S};

/// The database reports `draining`.
fn start_drain(sim: &mut Simulation, db: usize) {
    sim.databases[db].is_draining = true;
    sim.run(1300 * MS);
}

#[gtest]
fn given_a_draining_primary_with_unreachable_replicas_then_it_gets_no_new_work_after_the_timeout() {
    let mut sim = serving_under_load(4, 3);
    sim.make_unreachable(1);
    sim.make_unreachable(2);
    start_drain(&mut sim, 0);
    sim.run(DRAIN_BOUND_US + 3 * S);
    expect_that!(sim.primary(), eq(0), "no replica can be promoted");
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_a_draining_database_without_replicas_then_it_gets_no_new_work_after_the_timeout() {
    let mut sim = serving_under_load(4, 3);
    for db in [1, 2] {
        sim.databases[db].is_removed = true;
        let id = sim.databases[db].id.clone();
        sim.call(db, "DELETE", &format!("/instances/{id}"), b"");
        sim.crash(db);
    }
    sim.run(4 * S);
    start_drain(&mut sim, 0);
    sim.run(DRAIN_BOUND_US + 3 * S);
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_a_successor_lost_during_a_drain_then_the_third_database_is_promoted_within_the_timeout() {
    let mut sim = serving_under_load(4, 3);
    start_drain(&mut sim, 0);
    let successor = sim.primary();
    expect_that!(successor, not(eq(0)));
    // Of the two replicas only the draining one receives; the other falls behind.
    let third = 3 - successor;
    sim.databases[third].is_log_blocked = true;
    sim.run(S);
    sim.make_unreachable(successor);
    sim.run(2500 * MS);
    expect_that!(sim.primary(), eq(0), "it alone has all acknowledged writes");
    sim.databases[third].is_log_blocked = false;
    sim.run(1500 * MS);
    expect_that!(sim.primary(), eq(third), "it has caught up and replaces the draining database");
    sim.run(DRAIN_BOUND_US);
    expect_that!(finish_and_check(&mut sim), is_empty());
}

/// Drains a primary without a successor and runs `fault` right after the acknowledgement; returns the violations.
fn drain_without_successor(fault: impl FnOnce(&mut Simulation)) -> Vec<String> {
    let mut sim = serving_under_load(4, 3);
    sim.make_unreachable(1);
    sim.make_unreachable(2);
    start_drain(&mut sim, 0);
    fault(&mut sim);
    sim.run(DRAIN_BOUND_US + 4 * S);
    finish_and_check(&mut sim)
}

#[gtest]
fn given_a_power_loss_of_all_nodes_after_a_drain_is_acknowledged_then_the_timeout_still_applies() {
    for delay_ms in [0, 30, 120, 700, 2500] {
        let violations = drain_without_successor(|sim| {
            sim.run(delay_ms * MS);
            (0..3).for_each(|at| sim.power_off_control(at, delay_ms));
            (0..4).for_each(|at| sim.kill_access(at));
            sim.run(300 * MS);
            (0..3).for_each(|at| sim.start_control(at, false));
            (0..4).for_each(|at| sim.start_access(at));
        });
        expect_that!(violations, is_empty(), "{delay_ms} ms after");
    }
}

#[gtest]
fn given_control_nodes_killed_in_turn_then_the_drain_timeout_is_not_restarted() {
    let violations = drain_without_successor(|sim| {
        for at in 0..3 {
            sim.kill_control(at);
            sim.run(200 * MS);
            sim.start_control(at, false);
            sim.run(1200 * MS);
        }
    });
    expect_that!(violations, is_empty());
}

#[gtest]
fn given_an_access_node_paused_during_a_drain_then_the_timeout_applies_once_it_reconnects() {
    for pause_s in [1, 3, 5, 6, 8] {
        let mut sim = serving_under_load(4, 3);
        sim.make_unreachable(1);
        sim.make_unreachable(2);
        sim.freeze_access(0);
        start_drain(&mut sim, 0);
        sim.run(pause_s * S);
        sim.thaw_access(0);
        sim.run(DRAIN_BOUND_US + 4 * S);
        expect_that!(finish_and_check(&mut sim), is_empty(), "resumed after {pause_s} s");
    }
}

#[gtest]
fn given_a_control_node_paused_during_a_drain_then_the_timeout_applies_at_its_followers() {
    for at in 0..3 {
        let violations = drain_without_successor(|sim| {
            sim.freeze_control(at);
            sim.run(2500 * MS);
            sim.thaw_control(at);
        });
        expect_that!(violations, is_empty(), "c{at}");
    }
}

#[gtest]
fn given_a_control_partition_during_a_drain_then_the_timeout_applies_on_both_sides() {
    for isolated in 0..3 {
        let mut sim = serving_under_load(4, 3);
        sim.make_unreachable(1);
        sim.make_unreachable(2);
        let others: Vec<usize> = (0..3).filter(|at| *at != isolated).collect();
        for other in &others {
            let (one, other) = (format!("c{isolated}"), format!("c{other}"));
            sim.add_partition(&one, &other);
            sim.add_partition(&other, &one);
        }
        start_drain(&mut sim, 0);
        sim.run(3 * S);
        for other in &others {
            let (one, other) = (format!("c{isolated}"), format!("c{other}"));
            sim.remove_partition(&one, &other);
            sim.remove_partition(&other, &one);
        }
        sim.run(DRAIN_BOUND_US + 2 * S);
        expect_that!(finish_and_check(&mut sim), is_empty(), "c{isolated} isolated");
    }
}

#[gtest]
fn given_a_primary_that_deregisters_without_draining_then_the_reachable_replica_is_promoted() {
    let mut sim = serving_under_load(4, 3);
    sim.make_unreachable(2);
    sim.run(S);
    let id = sim.databases[0].id.clone();
    // It continues to serve and sends no more heartbeats.
    sim.departed.insert(0);
    sim.call(1, "DELETE", &format!("/instances/{id}"), b"");
    sim.run(3 * S);
    expect_that!(sim.primary(), eq(1));
    let done = sim.load_counts().0;
    sim.run(S);
    expect_that!(sim.load_counts().0, gt(done + 50));
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_an_unreachable_replica_ahead_of_the_candidate_then_the_draining_primary_is_not_replaced() {
    let mut sim = serving_under_load(4, 3);
    // The candidate receives nothing; the other replica becomes unreachable with all writes.
    sim.databases[1].is_log_blocked = true;
    sim.run(S);
    sim.make_unreachable(2);
    start_drain(&mut sim, 0);
    sim.run(5 * S);
    expect_that!(sim.primary(), eq(0));
    expect_that!(sim.promotion_calls, is_empty());
    expect_that!(
        sim.event_log.iter().any(|(_, text)| text.contains("YIELD")),
        eq(false),
        "a primary that yields would stop replicating"
    );
    // Once replication resumes, the candidate has all writes.
    sim.databases[1].is_log_blocked = false;
    sim.run(3 * S);
    expect_that!(sim.primary(), eq(1));
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_a_drain_timeout_longer_than_the_platforms_then_the_violation_is_detected() {
    let violations = drain_without_successor(|sim| {
        for node in &mut sim.access {
            node.core.iter_mut().for_each(|core| core.set_drain_timeouts(100 * S, 100 * S));
        }
    });
    expect_that!(violations, elements_are![contains_substring("DRAIN")]);
}
