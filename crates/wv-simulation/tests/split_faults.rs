//! Shard splits under crashes, pauses and partitions: every record is moved exactly once.
mod split_test;

use googletest::prelude::*;
use split_test::SplitTest;
use wv_internal_protocol::SplitPhase;
use wv_simulation::{MS, S};

#[gtest]
fn given_the_duty_holder_killed_at_any_step_of_a_split_then_another_continues_and_no_record_is_lost() {
    for delay_ms in [0, 40, 150, 300, 600, 900, 1200, 1600, 2000, 2600, 3200] {
        let mut split = SplitTest::start();
        split.request_split();
        split.sim.run(delay_ms * MS);
        let duty_holder = split.duty_holder();
        split.sim.kill_control(duty_holder);
        split.sim.run(3 * S);
        split.sim.start_control(duty_holder, false);
        // The outcome of the request is unknown, so it is repeated.
        expect_that!(split.call("PUT", "/splits/s", b"").0, eq(200));
        expect_that!(split.wait_for_move(60 * S), eq(true), "killed after {delay_ms} ms");
        split.sim.run(2 * S);
        expect_that!(split.finish_and_check(), is_empty(), "killed after {delay_ms} ms");
    }
}

#[gtest]
fn given_a_power_loss_while_copying_or_sealed_then_the_split_restarts_and_loses_nothing() {
    for phase in [SplitPhase::Copying, SplitPhase::Sealed] {
        let mut split = SplitTest::start();
        split.request_split();
        expect_that!(split.wait_for_phase(phase, 20 * S), eq(true));
        (0..3).for_each(|at| split.sim.kill_access(at));
        (0..3).for_each(|at| split.sim.kill_control(at));
        split.sim.run(S);
        (0..3).for_each(|at| split.sim.start_control(at, false));
        (0..3).for_each(|at| split.sim.start_access(at));
        expect_that!(split.wait_for_move(60 * S), eq(true), "{phase:?}");
        split.sim.run(3 * S);
        expect_that!(split.finish_and_check(), is_empty(), "{phase:?}");
    }
}

#[gtest]
fn given_a_write_sent_by_a_paused_node_after_the_cutover_then_the_source_database_rejects_it() {
    for delay_ms in [1, 3, 7, 13] {
        let mut split = SplitTest::start();
        split.request_split();
        expect_that!(split.wait_for_phase(SplitPhase::Copying, 20 * S), eq(true));
        // Vary when during copying the node receives its write to a moving key.
        split.sim.run(delay_ms * 5 * MS);
        let client = split.sim.open_client(1, "p");
        split.sim.run(20 * MS);
        split.sim.send_line(client, &format!("QUERY late WRITE {} mine", split.moving_key()));
        split.sim.freeze_access(1);
        expect_that!(split.wait_for_move(60 * S), eq(true));
        split.sim.run(S);
        split.sim.thaw_access(1);
        split.sim.run(3 * S);
        let received = split.sim.take_lines(client);
        let is_acknowledged = received.iter().any(|line| line.starts_with("COMPLETE stamp"));
        let has_write = |service: &str| {
            let mut primaries = split.sim.databases.iter().filter(|db| db.service == service && db.is_primary);
            primaries.any(|db| db.log.iter().any(|entry| entry.write.tag == "late"))
        };
        expect_that!(has_write("s"), eq(false), "{received:?}");
        expect_that!(has_write("t"), eq(is_acknowledged), "{received:?}");
        expect_that!(split.finish_and_check(), is_empty());
    }
}

#[gtest]
fn given_a_primary_lost_while_copying_or_at_the_cutover_then_nothing_is_lost_on_either_side() {
    for (service, phase) in
        [("s", SplitPhase::Copying), ("s", SplitPhase::Sealed), ("t", SplitPhase::Copying), ("t", SplitPhase::Sealed)]
    {
        let mut split = SplitTest::start();
        split.request_split();
        expect_that!(split.wait_for_phase(phase, 20 * S), eq(true));
        let primary = split.sim.databases.iter().position(|db| db.service == service && db.is_primary);
        split.sim.crash(primary.unwrap_or(0));
        split.sim.run(4 * S);
        split.sim.revive(primary.unwrap_or(0));
        expect_that!(split.wait_for_move(90 * S), eq(true), "{service} at {phase:?}");
        split.sim.run(2 * S);
        expect_that!(split.finish_and_check(), is_empty(), "{service} at {phase:?}");
    }
}

#[gtest]
fn given_lost_responses_and_an_access_node_without_control_then_the_split_completes_without_loss() {
    let mut split = SplitTest::start();
    (0..3).for_each(|at| {
        let (node, control) = (split.sim.access[2].name.clone(), split.sim.controls[at].name.clone());
        split.sim.dropped_links.insert((node, control));
    });
    split.sim.run(2 * S);
    split.request_split();
    for _ in 0..40 {
        (0..6).for_each(|at| split.sim.databases[at].lost_replies = 1);
        split.sim.run(250 * MS);
    }
    expect_that!(split.wait_for_move(60 * S), eq(true));
    split.sim.run(2 * S);
    // The isolated node must not write or read moved slots with its outdated slot map.
    split.sim.dropped_links.clear();
    split.sim.run(3 * S);
    expect_that!(split.finish_and_check(), is_empty());
}

#[gtest]
fn given_a_write_with_a_lost_response_just_before_the_seal_then_its_row_is_copied_again() {
    for wait_ms in [0, 40, 80, 160] {
        let mut split = SplitTest::start();
        let client = split.sim.open_client(0, "p");
        let key = split.moving_key();
        split.sim.run(S);
        split.request_split();
        expect_that!(split.wait_for_phase(SplitPhase::Copying, 20 * S), eq(true));
        // All rows are copied, and the current term is about to be superseded.
        while split.sim.slot_map("s").superseded_term == 0 {
            split.sim.run(5 * MS);
        }
        split.sim.run(wait_ms * MS);
        let primary = split.sim.databases.iter().position(|db| db.service == "s" && db.is_primary).unwrap_or(0);
        split.sim.stop_load();
        split.sim.run(60 * MS);
        split.sim.databases[primary].lost_replies = 1;
        split.sim.send_line(client, &format!("QUERY last WRITE {key} mine"));
        expect_that!(split.wait_for_move(40 * S), eq(true));
        split.sim.run(2 * S);
        expect_that!(split.finish_and_check(), is_empty(), "{wait_ms} ms");
    }
}

#[gtest]
fn given_access_nodes_killed_with_unreported_write_marks_before_the_seal_then_all_rows_are_copied_again() {
    for wait_ms in [0, 60, 130, 220] {
        let mut split = SplitTest::start();
        split.request_split();
        expect_that!(split.wait_for_phase(SplitPhase::Copying, 20 * S), eq(true));
        while split.sim.slot_map("s").superseded_term == 0 {
            split.sim.run(5 * MS);
        }
        split.sim.run(wait_ms * MS);
        split.sim.kill_access(0);
        split.sim.kill_access(1);
        expect_that!(split.wait_for_move(60 * S), eq(true), "{wait_ms} ms");
        split.sim.start_access(0);
        split.sim.start_access(1);
        split.sim.run(2 * S);
        expect_that!(split.finish_and_check(), is_empty(), "{wait_ms} ms");
    }
}

#[gtest]
fn given_a_new_key_written_through_an_isolated_node_that_crashes_then_its_row_is_moved() {
    let mut split = SplitTest::start();
    let client = split.sim.open_client(1, "p");
    split.sim.run(S);
    split.sim.take_lines(client);
    let mut names = (0..).map(|at| format!("{{new{at}}}x"));
    let name = names.find(|name| wv_internal_protocol::slot_for_key(name.as_bytes()) >= 512).unwrap_or_default();
    // The access node cannot reach any control node.
    for at in 0..3 {
        let pair = (split.sim.access[1].name.clone(), split.sim.controls[at].name.clone());
        split.sim.dropped_links.insert(pair);
    }
    split.sim.send_line(client, &format!("QUERY first WRITE {name} mine"));
    split.sim.run(400 * MS);
    let received = split.sim.take_lines(client);
    split.sim.kill_access(1);
    split.request_split();
    expect_that!(split.wait_for_move(60 * S), eq(true));
    let primary = split.sim.databases.iter().find(|db| db.service == "t" && db.is_primary);
    let row = primary.and_then(|db| db.rows.get(&name));
    // Either acknowledged and moved, or reported as not applied.
    let is_kept = received.iter().any(|line| line.starts_with("COMPLETE stamp"));
    expect_that!(row.is_some(), eq(is_kept), "{received:?}");
    expect_that!(split.finish_and_check(), is_empty());
}

#[gtest]
fn given_late_copies_of_a_killed_duty_holder_then_the_target_rejects_them() {
    // The delays range from before the next duty holder starts until after it has finished.
    for delay_ms in (11_000..17_600).step_by(300) {
        let mut split = SplitTest::start();
        split.request_split();
        expect_that!(split.wait_for_phase(SplitPhase::Copying, 20 * S), eq(true));
        // The next copies are delayed, and the duty holder that sent them is killed meanwhile.
        split.sim.copy_delay_us = delay_ms * MS;
        split.sim.run(900 * MS);
        split.sim.copy_delay_us = 2 * MS;
        let duty_holder = split.duty_holder();
        split.sim.kill_control(duty_holder);
        split.sim.run(2 * S);
        split.request_split();
        expect_that!(split.wait_for_move(60 * S), eq(true), "{delay_ms} ms");
        split.sim.run(6 * S);
        expect_that!(split.finish_and_check(), is_empty(), "{delay_ms} ms");
    }
}
