//! Split plans that are made, withdrawn and made again while nodes are behind: nothing that was acknowledged is missing
//! after the split, whichever node took it, and nothing is refused for longer than the trouble lasts.
mod plan_trial;
mod split_test;

use googletest::prelude::*;
use plan_trial::{plan, unplanned_configuration, Trial};
use wv_simulation::{MS, S};

/// Guards against things first written between the acknowledgement of a plan and the first slot map being left behind.
#[gtest]
fn given_writes_while_a_plan_is_made_then_a_split_moves_all_that_was_acknowledged() {
    let mut trial = Trial::start();
    trial.make_plan(2, 20 * S);
    expect_that!(trial.longest_refusal_us, le(3 * S));
    trial.split_and_check();
    trial.expect_served();
    expect_that!(trial.missing(), is_empty());
}

/// Guards against the same where the control node of some access nodes stands still, under the plan and after it.
#[gtest]
fn given_a_control_node_standing_still_under_a_new_plan_then_nothing_acknowledged_is_missing_after_the_split() {
    for frozen in 0..3 {
        let mut trial = Trial::start();
        trial.split.sim.freeze_control(frozen);
        trial.run(50 * MS);
        trial.make_plan(2, 30 * S);
        trial.run(3 * S);
        trial.split.sim.thaw_control(frozen);
        trial.split_and_check();
        trial.expect_served();
        expect_that!(trial.missing(), is_empty(), "c{frozen}");
        expect_that!(trial.longest_refusal_us, le(8 * S), "c{frozen}");
    }
}

/// Guards against writes of a node that has not heard of the plan: it is cut off from all control nodes, or stands still
/// until the split is done, and its clients' writes arrive then.
#[gtest]
fn given_an_access_node_that_is_behind_until_after_the_plan_or_the_split_then_nothing_acknowledged_is_missing() {
    for node in 0..3 {
        for (is_frozen, is_behind_in_split) in [(true, true), (true, false), (false, false)] {
            let mut trial = Trial::start();
            let name = format!("a{node}");
            match is_frozen {
                true => trial.split.sim.freeze_access(node),
                false => (0..3).for_each(|at| {
                    trial.split.sim.dropped_links.insert((name.clone(), format!("c{at}")));
                }),
            }
            trial.run(200 * MS);
            trial.make_plan(2, 30 * S);
            trial.run(2 * S);
            if is_behind_in_split {
                trial.split_and_check();
            }
            trial.split.sim.dropped_links.clear();
            if is_frozen {
                trial.split.sim.thaw_access(node);
            }
            trial.run(3 * S);
            if !is_behind_in_split {
                trial.split_and_check();
            }
            trial.expect_served();
            expect_that!(trial.missing(), is_empty(), "a{node}, frozen: {is_frozen}, in split: {is_behind_in_split}");
        }
    }
}

/// Guards against a withdrawn plan leaving first writes refused once all control nodes have restarted, and against what
/// was written meanwhile being unknown when the plan is made again.
#[gtest]
fn given_a_plan_withdrawn_and_made_again_then_writes_go_on_and_the_split_moves_what_was_written_meanwhile() {
    let mut trial = Trial::start();
    trial.make_plan(2, 20 * S);
    trial.run(2 * S);
    assert!(trial.configure(&unplanned_configuration(3), 10 * S), "the withdrawal is acknowledged");
    for control in 0..3 {
        trial.split.sim.kill_control(control);
        trial.run(S);
        trial.split.sim.start_control(control, false);
        trial.run(3 * S);
    }
    trial.expect_served();
    // After a failover too.
    let primary = trial.split.sim.primary();
    trial.split.sim.crash(primary);
    trial.run(8 * S);
    trial.split.sim.revive(primary);
    trial.run(3 * S);
    trial.expect_served();
    trial.make_plan(4, 30 * S);
    trial.split_and_check();
    trial.expect_served();
    expect_that!(trial.missing(), is_empty());
}

/// Guards against a coordinator that ends, or a database that fails, while a new plan waits for its first slot map.
#[gtest]
fn given_a_coordinator_killed_or_a_primary_crashed_while_a_plan_is_made_then_the_plan_comes_into_force() {
    for delay_ms in [20, 250, 500, 900] {
        for is_coordinator in [true, false] {
            let mut trial = Trial::start();
            let body = plan(2);
            trial.split.sim.call(0, "PUT", "/configuration", &body);
            trial.run(delay_ms * MS);
            if is_coordinator {
                let coordinator = trial.split.duty_holder();
                trial.split.sim.kill_control(coordinator);
                trial.run(2 * S);
                trial.split.sim.start_control(coordinator, false);
            } else {
                let primary = trial.split.sim.primary();
                trial.split.sim.crash(primary);
                trial.run(4 * S);
                trial.split.sim.revive(primary);
            }
            trial.make_plan(2, 40 * S);
            trial.split_and_check();
            trial.expect_served();
            expect_that!(trial.missing(), is_empty(), "{delay_ms} ms, coordinator: {is_coordinator}");
        }
    }
}
