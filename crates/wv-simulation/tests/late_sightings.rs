//! Stories of sightings that waited: what a control node reads late is no younger for it.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

/// What happens to the holder of the duty, from a moment on and until it is over.
type Trouble = (fn(&mut Simulation, usize), fn(&mut Simulation, usize));

/// One replica falls behind; what it has is still what most have seen of the primary. More is acknowledged, by way of the
/// other replica alone. Then that one crashes, and the primary with it, while a control node hears nothing. Returns who was
/// promoted.
fn promoted(control: usize, (offset, lost, over): (u64, u64, u64), (begin, end): Trouble) -> Vec<String> {
    let mut world = Simulation::configured(6, 3);
    world.start_load(18, "p");
    world.run(3 * S + offset * MS);
    world.databases[1].is_log_blocked = true;
    world.run(60 * MS);
    begin(&mut world, control);
    world.run(lost * MS);
    world.crash(2);
    world.run(50 * MS);
    world.crash(0);
    world.run(over * MS);
    end(&mut world, control);
    world.run(4 * S);
    // To show a new fence the primary itself is named.
    world.promotion_calls.iter().filter(|post| post.1 != "i-s0").map(|post| post.1.clone()).collect()
}

#[gtest]
fn given_a_control_node_that_stood_still_and_reads_old_sightings_then_nobody_leads_by_them() {
    let freeze: Trouble = (|world, at| world.freeze_control(at), |world, at| world.thaw_control(at));
    for offset in [200, 1000, 1300] {
        for lost in [200, 500, 900, 1400] {
            for control in 0..3 {
                let moment = (offset, lost, 1800);
                expect_that!(promoted(control, moment, freeze), is_empty(), "c{control}, {moment:?}");
            }
        }
    }
}
