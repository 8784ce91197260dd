//! Databases that restart under full load with limited capacity: slow start keeps them from being overloaded again.
mod scenario;

use googletest::prelude::*;
use scenario::finish_and_check;
use wv_simulation::{Simulation, MS, S};

/// Six access nodes under load, with slow start enabled or disabled.
fn simulation_under_load(is_slow_start_on: bool) -> Simulation {
    let mut sim = Simulation::configured(6, 3);
    let plan =
        wv_slow_start::SlowStartConfig { is_enabled: is_slow_start_on, ..wv_slow_start::SlowStartConfig::default() };
    sim.access.iter_mut().filter_map(|node| node.core.as_mut()).for_each(|core| core.set_slow_start(plan));
    sim.start_load(120, "p");
    sim.start_load(60, "b");
    sim.run(3 * S);
    sim
}

/// Restarts the primary without replicas; it handles at most `capacity` slow statements concurrently.
fn restart_without_replicas(sim: &mut Simulation, capacity: usize) {
    for at in [1, 2] {
        sim.databases[at].is_draining = true;
        sim.databases[at].is_removed = true;
        sim.crash(at);
    }
    sim.crash(0);
    sim.run(2 * S);
    sim.databases[0].busy_limit = Some(capacity);
    sim.databases[0].statement_us = 12 * MS;
    sim.databases[0].overload_crashes = 0;
    sim.databases[0].peak_busy = 0;
    sim.revive(0);
}

#[gtest]
fn given_a_single_database_restarted_under_full_load_then_the_fleet_stays_within_its_capacity() {
    let mut sim = simulation_under_load(true);
    restart_without_replicas(&mut sim, 17);
    let before = sim.load_counts().0;
    sim.run(1500 * MS);
    expect_that!(sim.databases[0].overload_crashes, eq(0), "peak concurrency: {}", sim.databases[0].peak_busy);
    expect_that!(sim.load_counts().0, gt(before + 60));
    // At full capacity again, all requests are served.
    (sim.databases[0].busy_limit, sim.databases[0].statement_us) = (None, 3 * MS);
    sim.run(3 * S);
    let (done, failed) = sim.load_counts();
    sim.run(2 * S);
    expect_that!(sim.load_counts().0, gt(done + 1000));
    expect_that!(sim.load_counts().1, le(failed + 20));
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_the_same_restart_without_slow_start_then_the_database_is_overloaded() {
    let mut sim = simulation_under_load(false);
    restart_without_replicas(&mut sim, 17);
    sim.run(1500 * MS);
    expect_that!(sim.databases[0].overload_crashes, ge(1));
    // Even so, nothing is lost or duplicated and no write reported as not applied is applied.
    sim.databases[0].busy_limit = None;
    sim.revive(0);
    sim.run(2 * S);
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_a_replica_restarted_under_full_load_then_it_stays_up_and_lookup_latency_is_bounded() {
    let mut sim = simulation_under_load(true);
    sim.crash(2);
    sim.run(2 * S);
    (sim.databases[2].busy_limit, sim.databases[2].statement_us) = (Some(8), 25 * MS);
    sim.databases[2].peak_busy = 0;
    sim.revive(2);
    sim.reset_slowest();
    sim.run(2 * S);
    expect_that!(sim.databases[2].overload_crashes, eq(0), "peak concurrency: {}", sim.databases[2].peak_busy);
    expect_that!(sim.databases[2].peak_busy, ge(1));
    expect_that!(sim.slowest_us("b"), lt(400 * MS));
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_a_database_that_crashed_twice_then_all_nodes_apply_slow_start_to_it() {
    let mut sim = simulation_under_load(true);
    for _ in 0..2 {
        sim.crash(2);
        sim.run(1500 * MS);
        sim.revive(2);
        sim.run(1500 * MS);
    }
    let id = sim.databases[2].id.clone();
    let in_slow_start =
        sim.access.iter().filter_map(|node| node.core.as_ref()).filter(|core| core.is_in_slow_start(&id)).count();
    expect_that!(in_slow_start, eq(6));
    sim.run(12 * S);
    let in_slow_start =
        sim.access.iter().filter_map(|node| node.core.as_ref()).filter(|core| core.is_in_slow_start(&id)).count();
    expect_that!(in_slow_start, eq(0));
    expect_that!(finish_and_check(&mut sim), is_empty());
}

#[gtest]
fn given_a_restart_under_another_id_at_the_old_address_then_slow_start_still_applies() {
    let mut sim = simulation_under_load(true);
    sim.crash(2);
    sim.run(S);
    // It returns under a new id with the same address and log.
    sim.databases[2].id = "i-again".to_owned();
    sim.databases[2].sequence = 0;
    sim.revive(2);
    sim.run(700 * MS);
    let in_slow_start = |sim: &Simulation| {
        sim.access.iter().filter_map(|node| node.core.as_ref()).filter(|core| core.is_in_slow_start("i-again")).count()
    };
    expect_that!(in_slow_start(&sim), eq(6));
    sim.run(6 * S);
    expect_that!(in_slow_start(&sim), eq(0));
    expect_that!(finish_and_check(&mut sim), is_empty());
}
