//! Duty holders paused or killed during a promotion, with a platform that does not check fences: a stale holder must
//! not issue a call after its successor.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

/// The fences of all platform calls in call order.
fn called_fences(sim: &Simulation) -> Vec<u64> {
    sim.promotion_calls.iter().map(|post| post.2).collect()
}

fn finish_and_check(sim: &mut Simulation) -> Vec<String> {
    sim.revive(0);
    sim.run(S);
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US);
    sim.check_rules()
}

#[gtest]
fn given_a_duty_holder_paused_during_a_promotion_then_no_lower_fence_follows_a_higher_one() {
    let mut successions = 0;
    for at in 0..3 {
        for step in 0..40u64 {
            let mut sim = Simulation::configured(4, 3);
            sim.start_load(10, "p");
            sim.run(2 * S);
            sim.crash(0);
            // The promotion takes about 0.3 s from the first failed check.
            sim.run(120 * MS + step * MS);
            sim.freeze_control(at);
            sim.run(4 * S);
            sim.thaw_control(at);
            sim.run(3 * S);
            let called = called_fences(&sim);
            expect_that!(called.is_sorted(), eq(true), "control {at} at {step}: {called:?}");
            expect_that!(sim.primary(), not(eq(0)), "control {at} at {step}");
            successions += u64::from(called.last() > Some(&1));
            expect_that!(finish_and_check(&mut sim), is_empty(), "control {at} at {step}");
        }
    }
    expect_that!(successions, ge(1));
}

#[gtest]
fn given_a_duty_holder_killed_after_its_call_then_its_successor_does_not_promote_the_old_primary() {
    for at in 0..3 {
        for step in 0..8u64 {
            let mut sim = Simulation::configured(4, 3);
            sim.start_load(10, "p");
            sim.run(2 * S);
            // During a drain the old primary is still running and would accept a promotion.
            sim.databases[0].is_draining = true;
            while sim.promotion_calls.is_empty() && sim.now < 30 * S {
                sim.run(MS);
            }
            sim.run(step * 50 * MS);
            sim.kill_control(at);
            sim.run(5 * S);
            expect_that!(sim.primary(), not(eq(0)), "control {at} at {step}");
            let named = sim.promotion_calls.iter().filter(|post| post.1 == sim.databases[0].id).count();
            let is_primary_again = sim.databases[0].is_primary && sim.databases[0].term > 2;
            expect_that!(is_primary_again, eq(false), "control {at} at {step}: named {named} times");
            sim.stop_load();
            sim.run(wv_simulation::SETTLE_US);
            expect_that!(sim.check_rules(), is_empty(), "control {at} at {step}");
        }
    }
}
