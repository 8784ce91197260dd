//! Stories of databases that leave while nobody can take their place: once the bound is over they get no new work.
mod steps;

use googletest::prelude::*;
use steps::{busy, end};
use wv_simulation::{Simulation, DRAIN_BOUND_US, MS, S};

/// The database says that it leaves, to whichever control node.
fn drain(world: &mut Simulation, base: usize) {
    world.databases[base].is_draining = true;
    world.run(1300 * MS);
}

#[gtest]
fn given_a_primary_that_leaves_while_its_replicas_are_dark_then_it_gets_no_new_work_past_the_bound() {
    let mut world = busy(4, 3);
    world.make_unreachable(1);
    world.make_unreachable(2);
    drain(&mut world, 0);
    world.run(DRAIN_BOUND_US + 3 * S);
    expect_that!(world.primary(), eq(0), "nobody could take its place");
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_the_only_database_of_a_service_that_leaves_then_it_gets_no_new_work_past_the_bound() {
    let mut world = busy(4, 3);
    for base in [1, 2] {
        world.databases[base].is_removed = true;
        let id = world.databases[base].id.clone();
        world.call(base, "DELETE", &format!("/instances/{id}"), b"");
        world.crash(base);
    }
    world.run(4 * S);
    drain(&mut world, 0);
    world.run(DRAIN_BOUND_US + 3 * S);
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_successor_that_goes_dark_when_only_the_one_that_leaves_has_received_then_a_third_leads_within_the_bound() {
    let mut world = busy(4, 3);
    drain(&mut world, 0);
    let successor = world.primary();
    expect_that!(successor, not(eq(0)));
    // Of the two replicas it is the one that leaves which receives; the other falls behind.
    let third = 3 - successor;
    world.databases[third].is_log_blocked = true;
    world.run(S);
    world.make_unreachable(successor);
    world.run(2500 * MS);
    expect_that!(world.primary(), eq(0), "it alone has what was acknowledged");
    world.databases[third].is_log_blocked = false;
    world.run(1500 * MS);
    expect_that!(world.primary(), eq(third), "it has caught up, and the one that leaves is replaced once more");
    world.run(DRAIN_BOUND_US);
    expect_that!(end(&mut world), is_empty());
}

/// The primary leaves, and nobody can take its place; `trouble` befalls the fleet right after the acknowledgement.
fn left_alone(trouble: impl FnOnce(&mut Simulation)) -> Vec<String> {
    let mut world = busy(4, 3);
    world.make_unreachable(1);
    world.make_unreachable(2);
    drain(&mut world, 0);
    trouble(&mut world);
    world.run(DRAIN_BOUND_US + 4 * S);
    end(&mut world)
}

#[gtest]
fn given_all_machines_that_lose_power_right_after_a_leave_was_acknowledged_then_it_binds_all_the_same() {
    for after in [0, 30, 120, 700, 2500] {
        let broken = left_alone(|world| {
            world.run(after * MS);
            (0..3).for_each(|at| world.power_off_control(at, after));
            (0..4).for_each(|at| world.kill_access(at));
            world.run(300 * MS);
            (0..3).for_each(|at| world.start_control(at, false));
            (0..4).for_each(|at| world.start_access(at));
        });
        expect_that!(broken, is_empty(), "{after} ms after");
    }
}

#[gtest]
fn given_control_nodes_that_are_killed_one_after_the_other_then_the_leave_keeps_its_age() {
    let broken = left_alone(|world| {
        for at in 0..3 {
            world.kill_control(at);
            world.run(200 * MS);
            world.start_control(at, false);
            world.run(1200 * MS);
        }
    });
    expect_that!(broken, is_empty());
}

#[gtest]
fn given_an_access_node_that_stands_still_while_a_database_leaves_then_it_is_bound_once_it_is_in_touch() {
    for thaw in [1, 3, 5, 6, 8] {
        let mut world = busy(4, 3);
        world.make_unreachable(1);
        world.make_unreachable(2);
        world.freeze_access(0);
        drain(&mut world, 0);
        world.run(thaw * S);
        world.thaw_access(0);
        world.run(DRAIN_BOUND_US + 4 * S);
        expect_that!(end(&mut world), is_empty(), "thawed after {thaw} s");
    }
}

#[gtest]
fn given_a_control_node_that_stands_still_while_a_database_leaves_then_its_followers_are_bound() {
    for at in 0..3 {
        let broken = left_alone(|world| {
            world.freeze_control(at);
            world.run(2500 * MS);
            world.thaw_control(at);
        });
        expect_that!(broken, is_empty(), "c{at}");
    }
}

#[gtest]
fn given_a_core_that_is_cut_into_halves_while_a_database_leaves_then_both_halves_followers_are_bound() {
    for alone in 0..3 {
        let mut world = busy(4, 3);
        world.make_unreachable(1);
        world.make_unreachable(2);
        let others: Vec<usize> = (0..3).filter(|at| *at != alone).collect();
        for other in &others {
            let (one, other) = (format!("c{alone}"), format!("c{other}"));
            world.add_partition(&one, &other);
            world.add_partition(&other, &one);
        }
        drain(&mut world, 0);
        world.run(3 * S);
        for other in &others {
            let (one, other) = (format!("c{alone}"), format!("c{other}"));
            world.remove_partition(&one, &other);
            world.remove_partition(&other, &one);
        }
        world.run(DRAIN_BOUND_US + 2 * S);
        expect_that!(end(&mut world), is_empty(), "c{alone} alone");
    }
}

#[gtest]
fn given_a_primary_that_says_only_that_it_is_gone_while_a_replica_is_dark_then_the_other_leads() {
    let mut world = busy(4, 3);
    world.make_unreachable(2);
    world.run(S);
    let id = world.databases[0].id.clone();
    // It serves on, and says nothing more of itself.
    world.departed.insert(0);
    world.call(1, "DELETE", &format!("/instances/{id}"), b"");
    world.run(3 * S);
    expect_that!(world.primary(), eq(1));
    let done = world.load_counts().0;
    world.run(S);
    expect_that!(world.load_counts().0, gt(done + 50));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_replica_in_the_dark_that_has_what_the_candidate_lacks_then_nobody_leads_before_the_primary_ends() {
    let mut world = busy(4, 3);
    // The candidate receives nothing; the other one goes dark with all there was.
    world.databases[1].is_log_blocked = true;
    world.run(S);
    world.make_unreachable(2);
    drain(&mut world, 0);
    world.run(5 * S);
    expect_that!(world.primary(), eq(0));
    expect_that!(world.promotion_calls, is_empty());
    expect_that!(world.event_log.iter().any(|(_, text)| text.contains("YIELD")), eq(false), "it would send nothing on");
    // Once it receives again it has all there is.
    world.databases[1].is_log_blocked = false;
    world.run(3 * S);
    expect_that!(world.primary(), eq(1));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_nodes_that_are_told_of_a_longer_bound_than_the_platforms_then_the_rule_is_seen_to_be_broken() {
    let broken = left_alone(|world| {
        for node in &mut world.access {
            node.core.iter_mut().for_each(|core| core.set_drain_timeouts(100 * S, 100 * S));
        }
    });
    expect_that!(broken, elements_are![contains_substring("DRAIN")]);
}
