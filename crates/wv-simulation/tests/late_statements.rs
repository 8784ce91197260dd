//! Statements of control nodes that a replica misses, or that it runs after they were given up: no replica stays
//! suspended, and none receives again while a promotion rests on its suspension.
mod scenario;

use googletest::prelude::*;
use scenario::{finish_and_check, serving_under_load};
use wv_simulation::{Simulation, MS, S};

fn run_until_requested(sim: &mut Simulation, text: &str) {
    let since = sim.now;
    while !sim.event_log.iter().any(|(at, entry)| *at >= since && entry.contains(text)) && sim.now < since + 10 * S {
        sim.run(MS);
    }
}

fn expect_nothing_suspended(sim: &mut Simulation) {
    let suspended: Vec<u64> = sim.databases.iter().map(|database| database.suspended).collect();
    expect_that!(suspended, each(eq(&0)));
    expect_that!(finish_and_check(sim), is_empty());
}

/// Guards against a replica that stays suspended because the only `CONTINUE` did not reach it.
#[gtest]
fn given_a_replica_that_control_nodes_cannot_reach_when_it_is_resumed_then_it_is_resumed_later() {
    let mut sim = serving_under_load(4, 3);
    sim.crash(0);
    while sim.promotion_calls.is_empty() {
        sim.run(MS);
    }
    let other = 3 - sim.database_index(&sim.promotion_calls[0].1.clone()).unwrap_or(0);
    let id = sim.databases[other].id.clone();
    for control in ["c0", "c1", "c2"] {
        sim.dropped_links.insert((control.to_owned(), id.clone()));
    }
    sim.run(3 * S);
    expect_that!(sim.databases[other].suspended, gt(0), "the first CONTINUE is lost");
    sim.dropped_links.clear();
    sim.run(3 * S);
    sim.revive(0);
    sim.run(S);
    expect_nothing_suspended(&mut sim);
}

/// Guards against a replica that stays suspended because `SUSPEND` runs after the `CONTINUE` that followed it.
#[gtest]
fn given_a_suspension_that_runs_after_it_was_lifted_then_it_is_lifted_again() {
    let mut sim = serving_under_load(4, 3);
    sim.databases[2].control_delay_us = 2 * S;
    sim.crash(0);
    run_until_requested(&mut sim, "i-s2: SUSPEND");
    // The primary is back, and the attempt ends without the suspension, so no other one follows.
    sim.databases[2].control_delay_us = 0;
    sim.revive(0);
    sim.run(8 * S);
    expect_that!(sim.event_log.iter().any(|(_, text)| text.contains("i-s2 runs late: SUSPEND")), eq(true));
    expect_that!(sim.promotion_calls, is_empty());
    expect_nothing_suspended(&mut sim);
}

/// Guards against a promotion that rests on a suspension which a late `CONTINUE` of an earlier attempt lifts.
#[gtest]
fn given_a_late_continue_then_no_promotion_rests_on_the_suspension_that_it_lifts() {
    let mut sim = serving_under_load(4, 3);
    sim.platform_delay_us = 3 * S;
    // The first attempt ends because one replica does not answer, and the other one is resumed late.
    sim.databases[1].control_delay_us = 2 * S;
    sim.crash(0);
    run_until_requested(&mut sim, "i-s2: SUSPEND");
    sim.databases[2].control_delay_us = 2_500 * MS;
    run_until_requested(&mut sim, "i-s2: CONTINUE");
    (1..3).for_each(|at| sim.databases[at].control_delay_us = 0);
    // A later attempt calls the platform; then the primary is back, and the named replica receives nothing.
    run_until_requested(&mut sim, "the platform takes");
    sim.databases[1].is_log_blocked = true;
    sim.revive(0);
    sim.run(4 * S);
    expect_that!(sim.event_log.iter().any(|(_, text)| text.contains("i-s2 runs late: CONTINUE")), eq(true));
    sim.databases[1].is_log_blocked = false;
    sim.platform_delay_us = 0;
    sim.run(12 * S);
    expect_nothing_suspended(&mut sim);
}

/// Guards against a service without a leader after a `YIELD` that runs when nobody wants it any more.
#[gtest]
fn given_a_primary_that_yields_although_nobody_wants_it_then_the_service_has_a_leader_again() {
    let mut sim = serving_under_load(4, 3);
    sim.databases[0].is_primary = false;
    sim.run(12 * S);
    let served = sim.load_counts().0;
    sim.run(2 * S);
    expect_that!(sim.load_counts().0, gt(served + 50));
    expect_nothing_suspended(&mut sim);
}
