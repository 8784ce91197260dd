//! Stories of primaries that crash, go dark, drain or lose their lead.
mod steps;

use googletest::prelude::*;
use steps::{busy, end};
use wv_simulation::{Simulation, MS, S};

fn recovers(world: &mut Simulation, within: u64) {
    let before = world.load_counts().0;
    world.run(within);
    let mid = world.load_counts().0;
    world.run(2 * S);
    expect_that!(world.load_counts().0, gt(mid + 50), "served again after {} of {}", mid, before);
}

#[gtest]
fn given_a_primary_that_crashes_then_another_leads_and_nothing_acknowledged_is_lost() {
    let mut world = busy(4, 3);
    world.crash(0);
    recovers(&mut world, 2 * S);
    expect_that!(world.databases[0].is_primary, eq(false));
    world.revive(0);
    world.run(2 * S);
    expect_that!(world.primary(), not(eq(0)));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_primary_that_goes_dark_and_returns_then_nothing_is_lost_doubled_or_stale() {
    let mut world = busy(4, 3);
    world.make_unreachable(0);
    recovers(&mut world, 3 * S);
    world.revive(0);
    world.run(3 * S);
    expect_that!(world.promotion_calls.iter().filter(|post| post.3 == Some(200)).count(), eq(1));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_primary_cut_off_from_one_node_then_no_promotion() {
    let mut world = busy(4, 3);
    world.dropped_links.insert(("a0".to_owned(), world.databases[0].id.clone()));
    world.run(4 * S);
    expect_that!(world.promotion_calls, is_empty());
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_draining_primary_then_its_work_moves_before_it_ends_and_no_read_is_stale() {
    let mut world = busy(4, 3);
    world.databases[0].is_draining = true;
    world.run(3 * S);
    expect_that!(world.primary(), not(eq(0)));
    let failed = world.load_counts().1;
    world.databases[0].is_removed = true;
    world.crash(0);
    world.run(2 * S);
    expect_that!(world.load_counts().1, le(failed + 2));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_deaf_replica_when_the_primary_crashes_then_the_one_that_received_leads() {
    let mut world = busy(4, 3);
    world.databases[2].is_log_blocked = true;
    world.run(2 * S);
    world.crash(0);
    world.run(2 * S);
    expect_that!(world.primary(), eq(1));
    world.databases[2].is_log_blocked = false;
    world.revive(0);
    world.run(S);
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_replica_dark_and_perhaps_ahead_when_the_primary_crashes_then_nobody_is_promoted_until_it_returns() {
    let mut world = busy(4, 3);
    // The dark one alone received the last commits.
    world.databases[1].is_log_blocked = true;
    world.run(S);
    world.make_unreachable(2);
    world.crash(0);
    world.run(4 * S);
    expect_that!(world.promotion_calls, is_empty());
    world.revive(2);
    world.run(3 * S);
    expect_that!(world.primary(), eq(2));
    world.databases[1].is_log_blocked = false;
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_replica_refused_for_long_when_the_primary_crashes_then_the_other_may_lead_without_it() {
    let mut world = busy(4, 3);
    world.crash(2);
    world.run(4 * S);
    world.crash(0);
    world.run(3 * S);
    expect_that!(world.primary(), eq(1));
    world.revive(0);
    world.revive(2);
    world.run(S);
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_the_holder_dies_at_any_moment_of_a_promotion_then_another_ends_it_and_nothing_stays_suspended() {
    for moment in [20, 60, 100, 150, 220, 400] {
        let mut world = busy(4, 3);
        world.crash(0);
        let mut holder = None;
        while holder.is_none() {
            world.run(5 * MS);
            let requests = world.event_log.iter().rev().find(|(_, text)| text.contains("requests"));
            holder = requests.and_then(|(_, text)| text[1..2].parse::<usize>().ok());
        }
        world.run(moment * MS);
        world.kill_control(holder.unwrap_or(0));
        world.run(6 * S);
        expect_that!(world.primary(), not(eq(0)), "killed after {moment} ms");
        world.revive(0);
        world.run(2 * S);
        expect_that!(world.databases.iter().all(|base| base.suspended == 0), eq(true), "killed after {moment} ms");
        expect_that!(end(&mut world), is_empty(), "killed after {moment} ms");
    }
}

#[gtest]
fn given_two_holders_that_cannot_hear_each_other_then_the_lower_fence_changes_nothing() {
    let mut world = busy(4, 3);
    // Each control node is alone with its own view for a moment; only one side keeps a majority.
    world.dropped_links.insert(("c0".to_owned(), "c1".to_owned()));
    world.dropped_links.insert(("c0".to_owned(), "c2".to_owned()));
    world.crash(0);
    world.run(3 * S);
    world.dropped_links.clear();
    world.run(3 * S);
    let fences: Vec<u64> = world.promotion_calls.iter().filter(|post| post.3 == Some(200)).map(|post| post.2).collect();
    expect_that!(fences.windows(2).all(|pair| pair[0] <= pair[1]), eq(true));
    expect_that!(world.primary(), not(eq(0)));
    world.revive(0);
    world.run(S);
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_platform_that_is_silent_then_the_call_is_made_again_and_replicas_are_not_left_suspended() {
    let mut world = busy(4, 3);
    world.is_platform_down = true;
    world.crash(0);
    world.run(6 * S);
    expect_that!(world.databases.iter().filter(|base| base.is_primary && base.is_up).count(), eq(0));
    world.is_platform_down = false;
    world.run(5 * S);
    expect_that!(world.primary(), not(eq(0)));
    world.revive(0);
    world.run(2 * S);
    expect_that!(world.databases.iter().all(|base| base.suspended == 0), eq(true));
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_node_alone_with_a_primary_that_was_replaced_then_none_of_its_reads_is_stale() {
    let mut world = busy(4, 3);
    // Node a0 and the old primary hear each other and nobody else: a0 cannot learn of the new one.
    let old = world.databases[0].id.clone();
    for other in ["a1", "a2", "a3", "c0", "c1", "c2", "i-s1", "i-s2"] {
        world.dropped_links.insert((other.to_owned(), old.clone()));
        world.dropped_links.insert((other.to_owned(), "a0".to_owned()));
    }
    world.run(3 * S);
    expect_that!(world.databases[1].is_primary || world.databases[2].is_primary, eq(true));
    let client = world.open_client(0, "p");
    for _ in 0..20 {
        world.run(100 * MS);
        world.send_line(client, "QUERY x READ k");
    }
    world.dropped_links.clear();
    world.run(2 * S);
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_nominee_that_falls_deaf_as_the_platform_is_called_then_nothing_more_is_acknowledged_past_it() {
    let mut world = busy(4, 3);
    world.databases[0].is_draining = true;
    while world.promotion_calls.is_empty() {
        world.run(MS);
    }
    let nominee = world.promotion_calls[0].1.clone();
    let at = world.database_index(&nominee).unwrap_or(0);
    world.databases[at].is_log_blocked = true;
    world.run(500 * MS);
    expect_that!(world.databases[at].is_primary, eq(true));
    world.run(S);
    expect_that!(end(&mut world), is_empty());
}

#[gtest]
fn given_a_stray_primary_of_an_older_term_when_the_duty_looks_then_it_is_told_to_yield() {
    let mut world = busy(4, 3);
    world.crash(0);
    world.run(2 * S);
    world.revive(0);
    world.run(S);
    let lead = world.primary();
    // It returned, and for some reason of its own believes in its old term.
    (world.databases[0].is_primary, world.databases[0].term) = (true, 1);
    world.databases[lead].is_draining = true;
    world.run(2 * S);
    expect_that!(world.event_log.iter().any(|(_, text)| text.contains("requests i-s0: YIELD 2")), eq(true));
    expect_that!(world.databases[0].is_primary && world.databases[0].term == 1, eq(false));
    // No rules are judged here: a database that forgets its deposition has broken the fence they rest on.
    expect_that!(world.databases[lead].is_primary, eq(false));
}
