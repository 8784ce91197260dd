//! Observations read late by a paused control node must not count as recent and lead to a promotion that loses writes.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

/// Functions that start and end a fault of a control node.
type Fault = (fn(&mut Simulation, usize), fn(&mut Simulation, usize));

/// One replica stops receiving, and further writes are acknowledged through the other alone. That one and the primary
/// crash while the control node is faulty. Returns the promoted instances.
fn promoted_instances(
    control: usize,
    (offset_ms, fault_ms, recovery_ms): (u64, u64, u64),
    (begin, end): Fault,
) -> Vec<String> {
    let mut sim = Simulation::configured(6, 3);
    sim.start_load(18, "p");
    sim.run(3 * S + offset_ms * MS);
    sim.databases[1].is_log_blocked = true;
    sim.run(60 * MS);
    begin(&mut sim, control);
    sim.run(fault_ms * MS);
    sim.crash(2);
    sim.run(50 * MS);
    sim.crash(0);
    sim.run(recovery_ms * MS);
    end(&mut sim, control);
    sim.run(4 * S);
    // A call that names the primary itself only announces a new fence.
    sim.promotion_calls.iter().filter(|post| post.1 != "i-s0").map(|post| post.1.clone()).collect()
}

#[gtest]
fn given_a_paused_control_node_that_reads_old_observations_then_no_replica_is_promoted_by_them() {
    let freeze: Fault = (|sim, at| sim.freeze_control(at), |sim, at| sim.thaw_control(at));
    for offset_ms in [200, 1000, 1300] {
        for fault_ms in [200, 500, 900, 1400] {
            for control in 0..3 {
                let timing = (offset_ms, fault_ms, 1800);
                expect_that!(promoted_instances(control, timing, freeze), is_empty(), "c{control}, {timing:?}");
            }
        }
    }
}
