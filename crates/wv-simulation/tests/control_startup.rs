//! Startup of control nodes, together or alone: each must form a majority and catch up.
mod isolation;

use googletest::prelude::*;
use isolation::*;
use wv_simulation::{Simulation, MS, S};

#[gtest]
fn given_a_single_control_node_then_it_is_its_own_majority() {
    let mut sim = Simulation::configured(2, 1);
    expect_that!(
        call_timed(&mut sim, 0, ("PUT", "/instances/i-x"), &heartbeat("10.9.0.1:1", "in_service", 1)),
        eq((200, 0))
    );
    expect_that!(
        call_timed(&mut sim, 0, ("PUT", "/instances/i-x"), &heartbeat("10.9.0.1:1", "draining", 2)),
        eq((200, 0))
    );
    expect_that!(call_timed(&mut sim, 0, ("DELETE", "/instances/i-x"), b""), eq((200, 0)));
    sim.freeze_control(0);
    sim.run(20 * S);
    sim.thaw_control(0);
    expect_that!(call_timed(&mut sim, 0, PUT_CONFIGURATION, &configuration_with_host(8, "c")).0, eq(200));
    sim.run(3 * S);
    expect_that!(all_access_nodes_serve(&mut sim, "c"), eq(true));
}

#[gtest]
fn given_a_first_start_in_any_order_then_all_control_nodes_catch_up() {
    for round in 0..12u64 {
        let mut sim = Simulation::new(3, 5);
        (0..5).for_each(|at| sim.kill_control(at));
        sim.controls.iter().for_each(|control| control.files.files.borrow_mut().clear());
        let start = sim.now;
        let mut starts: Vec<(u64, usize)> = (0..5).map(|at| (sim.rng.below(300 + round) * MS, at)).collect();
        starts.sort_unstable();
        for (delay_us, at) in starts {
            sim.run((start + delay_us).saturating_sub(sim.now));
            sim.start_control(at, true);
        }
        sim.run(S);
        expect_that!((0..5).filter(|at| is_caught_up(&sim, *at)).count(), eq(5), "round {round}");
        expect_that!(
            call_timed(&mut sim, (round % 5) as usize, PUT_CONFIGURATION, &Simulation::configuration(1)).0,
            eq(200),
            "round {round}"
        );
        sim.run(2 * S);
        expect_that!(all_access_nodes_serve(&mut sim, "b"), eq(true), "round {round}");
    }
}

#[gtest]
fn given_all_control_nodes_restarted_at_once_or_in_turn_then_all_catch_up() {
    for (offset, interval_ms) in [0, 40, 333, 1500].into_iter().enumerate() {
        let mut sim = Simulation::configured(4, 5);
        expect_that!(call_timed(&mut sim, 1, PUT_CONFIGURATION, &configuration_with_host(8, "c")).0, eq(200));
        sim.run(S);
        (0..5).for_each(|at| sim.kill_control(at));
        sim.run(3 * S);
        for at in 0..5 {
            sim.start_control((at + offset) % 5, false);
            sim.run(interval_ms * MS);
        }
        // Access nodes continue to serve with the configuration they have.
        expect_that!(all_access_nodes_serve(&mut sim, "c"), eq(true));
        sim.run(2 * S);
        expect_that!((0..5).filter(|at| is_caught_up(&sim, *at)).count(), eq(5), "{interval_ms} ms apart");
        expect_that!(sim.followed_controls(), each(some(anything())));
        expect_that!(call_timed(&mut sim, 4, PUT_CONFIGURATION, &configuration_with_host(9, "d")).0, eq(200));
        sim.run(2 * S);
        expect_that!(all_access_nodes_serve(&mut sim, "d"), eq(true));
    }
}
