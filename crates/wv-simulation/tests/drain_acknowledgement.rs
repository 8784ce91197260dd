//! Acknowledged drain reports: each is replicated to enough control nodes to survive the tolerated failures.
mod isolation;

use googletest::prelude::*;
use isolation::*;
use wv_simulation::{Simulation, MS, S};

#[gtest]
fn given_a_drain_acknowledged_among_seven_then_it_survives_the_loss_of_three_control_nodes() {
    for lost in [[0, 1, 2], [0, 3, 6], [0, 4, 5], [0, 2, 4]] {
        let mut sim = Simulation::configured(2, 3);
        (3..7).for_each(|_| {
            sim.add_control(&[0, 1, 2]);
        });
        sim.run(8 * S);
        expect_that!(
            call_timed(&mut sim, 1, ("PUT", "/instances/i-x"), &heartbeat("10.9.0.1:1", "in_service", 1)).0,
            eq(200)
        );
        sim.run(S);
        // Only the required number of other nodes receive it.
        [1, 2, 3].iter().for_each(|other| {
            sim.dropped_one_way.insert(("c0".to_owned(), format!("c{other}")));
        });
        let response = call_timed(&mut sim, 0, ("PUT", "/instances/i-x"), &heartbeat("10.9.0.1:1", "draining", 2));
        expect_that!(response, eq((200, 5 * MS)));
        lost.iter().for_each(|at| sim.kill_control(*at));
        restore_links(&mut sim);
        sim.run(6 * S);
        for at in (0..7).filter(|at| !lost.contains(at)) {
            expect_that!(get_text(&mut sim, at, "/instances").1, contains_substring("draining"), "{lost:?}, at {at}");
        }
    }
}

#[gtest]
fn given_a_drain_received_by_too_few_control_nodes_then_repeats_are_not_acknowledged() {
    let mut sim = Simulation::configured(2, 3);
    (3..7).for_each(|_| {
        sim.add_control(&[0, 1, 2]);
    });
    sim.run(8 * S);
    (1..5).for_each(|other| {
        sim.dropped_one_way.insert(("c0".to_owned(), format!("c{other}")));
    });
    // Two other nodes hold it; with this one, three of seven.
    for sequence in 2..4 {
        let response =
            call_timed(&mut sim, 0, ("PUT", "/instances/i-x"), &heartbeat("10.9.0.1:1", "draining", sequence));
        expect_that!(response.0, eq(503));
        expect_that!(response.1, le(800 * MS));
    }
    // The database retries at another control node.
    expect_that!(
        call_timed(&mut sim, 5, ("PUT", "/instances/i-x"), &heartbeat("10.9.0.1:1", "draining", 4)).0,
        eq(200)
    );
}
