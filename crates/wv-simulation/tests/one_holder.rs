//! Stories of holders of one duty that stand still at any moment of a promotion, at a platform that checks no fences.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

/// The fences of all calls in their order.
fn fences(world: &Simulation) -> Vec<u64> {
    world.promotion_calls.iter().map(|post| post.2).collect()
}

fn end(world: &mut Simulation) -> Vec<String> {
    world.revive(0);
    world.run(S);
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    world.check_rules()
}

#[gtest]
fn given_a_holder_that_stands_still_at_any_moment_of_a_promotion_then_no_lower_fence_follows_a_higher_one() {
    let mut successions = 0;
    for at in 0..3 {
        for step in 0..40u64 {
            let mut world = Simulation::configured(4, 3);
            world.start_load(10, "p");
            world.run(2 * S);
            world.crash(0);
            // The promotion takes some 0.3 s from the first doubt on.
            world.run(120 * MS + step * MS);
            world.freeze_control(at);
            world.run(4 * S);
            world.thaw_control(at);
            world.run(3 * S);
            let called = fences(&world);
            expect_that!(called.is_sorted(), eq(true), "control {at} at {step}: {called:?}");
            expect_that!(world.primary(), not(eq(0)), "control {at} at {step}");
            successions += u64::from(called.last() > Some(&1));
            expect_that!(end(&mut world), is_empty(), "control {at} at {step}");
        }
    }
    expect_that!(successions, ge(1));
}

#[gtest]
fn given_a_holder_lost_right_after_its_call_then_its_successor_does_not_name_the_old_primary_again() {
    for at in 0..3 {
        for step in 0..8u64 {
            let mut world = Simulation::configured(4, 3);
            world.start_load(10, "p");
            world.run(2 * S);
            // A planned end: the old primary lives, and would lead again if it were named.
            world.databases[0].is_draining = true;
            while world.promotion_calls.is_empty() && world.now < 30 * S {
                world.run(MS);
            }
            world.run(step * 50 * MS);
            world.kill_control(at);
            world.run(5 * S);
            expect_that!(world.primary(), not(eq(0)), "control {at} at {step}");
            let led = world.promotion_calls.iter().filter(|post| post.1 == world.databases[0].id).count();
            let is_led_again = world.databases[0].is_primary && world.databases[0].term > 2;
            expect_that!(is_led_again, eq(false), "control {at} at {step}: named {led} times");
            world.stop_load();
            world.run(wv_simulation::SETTLE_US);
            expect_that!(world.check_rules(), is_empty(), "control {at} at {step}");
        }
    }
}
