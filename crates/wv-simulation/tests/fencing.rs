//! Duty holders paused or killed during a promotion, with a platform that does not check fences: a stale holder must
//! not issue a call after its successor.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

/// The fences of all platform calls in call order.
fn called_fences(world: &Simulation) -> Vec<u64> {
    world.promotion_calls.iter().map(|post| post.2).collect()
}

fn finish_and_check(world: &mut Simulation) -> Vec<String> {
    world.revive(0);
    world.run(S);
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    world.check_rules()
}

#[gtest]
fn given_a_duty_holder_paused_during_a_promotion_then_no_lower_fence_follows_a_higher_one() {
    let mut successions = 0;
    for at in 0..3 {
        for step in 0..40u64 {
            let mut world = Simulation::configured(4, 3);
            world.start_load(10, "p");
            world.run(2 * S);
            world.crash(0);
            // The promotion takes about 0.3 s from the first failed check.
            world.run(120 * MS + step * MS);
            world.freeze_control(at);
            world.run(4 * S);
            world.thaw_control(at);
            world.run(3 * S);
            let called = called_fences(&world);
            expect_that!(called.is_sorted(), eq(true), "control {at} at {step}: {called:?}");
            expect_that!(world.primary(), not(eq(0)), "control {at} at {step}");
            successions += u64::from(called.last() > Some(&1));
            expect_that!(finish_and_check(&mut world), is_empty(), "control {at} at {step}");
        }
    }
    expect_that!(successions, ge(1));
}

#[gtest]
fn given_a_duty_holder_killed_after_its_call_then_its_successor_does_not_promote_the_old_primary() {
    for at in 0..3 {
        for step in 0..8u64 {
            let mut world = Simulation::configured(4, 3);
            world.start_load(10, "p");
            world.run(2 * S);
            // During a drain the old primary is still running and would accept a promotion.
            world.databases[0].is_draining = true;
            while world.promotion_calls.is_empty() && world.now < 30 * S {
                world.run(MS);
            }
            world.run(step * 50 * MS);
            world.kill_control(at);
            world.run(5 * S);
            expect_that!(world.primary(), not(eq(0)), "control {at} at {step}");
            let named = world.promotion_calls.iter().filter(|post| post.1 == world.databases[0].id).count();
            let is_primary_again = world.databases[0].is_primary && world.databases[0].term > 2;
            expect_that!(is_primary_again, eq(false), "control {at} at {step}: named {named} times");
            world.stop_load();
            world.run(wv_simulation::SETTLE_US);
            expect_that!(world.check_rules(), is_empty(), "control {at} at {step}");
        }
    }
}
