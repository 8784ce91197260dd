//! Stories of splits under failures: whatever dies, stands still or is cut off, every record arrives once.
mod common;

use common::Story;
use googletest::prelude::*;
use wv_internal_protocol::SplitPhase;
use wv_simulation::{MS, S};

#[gtest]
fn given_the_holder_dies_at_any_step_of_a_split_then_another_rolls_back_or_goes_on_and_no_record_is_lost() {
    for moment in [0, 40, 150, 300, 600, 900, 1200, 1600, 2000, 2600, 3200] {
        let mut story = Story::begin();
        story.request();
        story.world.run(moment * MS);
        let holder = story.holder();
        story.world.kill_control(holder);
        story.world.run(3 * S);
        story.world.start_control(holder, false);
        // The call got no clear answer: it is made again.
        expect_that!(story.call("PUT", "/splits/s", b"").0, eq(200));
        expect_that!(story.moves_within(60 * S), eq(true), "killed after {moment} ms");
        story.world.run(2 * S);
        expect_that!(story.end(), is_empty(), "killed after {moment} ms");
    }
}

#[gtest]
fn given_all_power_is_lost_while_rows_are_copied_or_sealed_then_the_split_begins_anew_and_loses_nothing() {
    for phase in [SplitPhase::Copying, SplitPhase::Sealed] {
        let mut story = Story::begin();
        story.request();
        expect_that!(story.comes_to(phase, 20 * S), eq(true));
        (0..3).for_each(|at| story.world.kill_access(at));
        (0..3).for_each(|at| story.world.kill_control(at));
        story.world.run(S);
        (0..3).for_each(|at| story.world.start_control(at, false));
        (0..3).for_each(|at| story.world.start_access(at));
        expect_that!(story.moves_within(60 * S), eq(true), "{phase:?}");
        story.world.run(3 * S);
        expect_that!(story.end(), is_empty(), "{phase:?}");
    }
}

#[gtest]
fn given_a_node_frozen_before_it_sends_a_write_when_it_thaws_after_the_cutover_then_the_database_refuses_it() {
    for moment in [1, 3, 7, 13] {
        let mut story = Story::begin();
        story.request();
        expect_that!(story.comes_to(SplitPhase::Copying, 20 * S), eq(true));
        // Until it has a write of a thing that moves on its way.
        story.world.run(moment * 5 * MS);
        let client = story.world.open_client(1, "p");
        story.world.run(20 * MS);
        story.world.send_line(client, &format!("QUERY late WRITE {} mine", story.moving_thing()));
        story.world.freeze_access(1);
        expect_that!(story.moves_within(60 * S), eq(true));
        story.world.run(S);
        story.world.thaw_access(1);
        story.world.run(3 * S);
        let heard = story.world.take_lines(client);
        let is_told = heard.iter().any(|line| line.starts_with("COMPLETE stamp"));
        let stands = |service: &str| {
            let mut leads = story.world.databases.iter().filter(|base| base.service == service && base.is_primary);
            leads.any(|base| base.log.iter().any(|entry| entry.write.tag == "late"))
        };
        expect_that!(stands("s"), eq(false), "{heard:?}");
        expect_that!(stands("t"), eq(is_told), "{heard:?}");
        expect_that!(story.end(), is_empty());
    }
}

#[gtest]
fn given_a_primary_lost_while_rows_are_copied_or_at_the_cutover_then_nothing_is_lost_on_either_side() {
    for (service, phase) in
        [("s", SplitPhase::Copying), ("s", SplitPhase::Sealed), ("t", SplitPhase::Copying), ("t", SplitPhase::Sealed)]
    {
        let mut story = Story::begin();
        story.request();
        expect_that!(story.comes_to(phase, 20 * S), eq(true));
        let lead = story.world.databases.iter().position(|base| base.service == service && base.is_primary);
        story.world.crash(lead.unwrap_or(0));
        story.world.run(4 * S);
        story.world.revive(lead.unwrap_or(0));
        expect_that!(story.moves_within(90 * S), eq(true), "{service} at {phase:?}");
        story.world.run(2 * S);
        expect_that!(story.end(), is_empty(), "{service} at {phase:?}");
    }
}

#[gtest]
fn given_lost_answers_and_a_node_without_control_then_a_split_waits_for_nobody_and_no_record_is_lost() {
    let mut story = Story::begin();
    (0..3).for_each(|at| {
        let (node, control) = (story.world.access[2].name.clone(), story.world.controls[at].name.clone());
        story.world.dropped_links.insert((node, control));
    });
    story.world.run(2 * S);
    story.request();
    for _ in 0..40 {
        (0..6).for_each(|at| story.world.databases[at].lost_replies = 1);
        story.world.run(250 * MS);
    }
    expect_that!(story.moves_within(60 * S), eq(true));
    story.world.run(2 * S);
    // What the cut-off node still believes takes no write and no lookup of what has moved.
    story.world.dropped_links.clear();
    story.world.run(3 * S);
    expect_that!(story.end(), is_empty());
}

#[gtest]
fn given_a_write_whose_answer_is_lost_just_before_the_seal_then_its_row_is_copied_once_more() {
    for wait in [0, 40, 80, 160] {
        let mut story = Story::begin();
        let client = story.world.open_client(0, "p");
        let thing = story.moving_thing();
        story.world.run(S);
        story.request();
        expect_that!(story.comes_to(SplitPhase::Copying, 20 * S), eq(true));
        // Everything is copied, and the term is about to be left behind.
        while story.world.slot_map("s").superseded_term == 0 {
            story.world.run(5 * MS);
        }
        story.world.run(wait * MS);
        let lead = story.world.databases.iter().position(|base| base.service == "s" && base.is_primary).unwrap_or(0);
        story.world.stop_load();
        story.world.run(60 * MS);
        story.world.databases[lead].lost_replies = 1;
        story.world.send_line(client, &format!("QUERY last WRITE {thing} mine"));
        expect_that!(story.moves_within(40 * S), eq(true));
        story.world.run(2 * S);
        expect_that!(story.end(), is_empty(), "{wait} ms");
    }
}

#[gtest]
fn given_nodes_that_die_with_marks_untold_just_before_the_seal_then_everything_is_copied_again() {
    for wait in [0, 60, 130, 220] {
        let mut story = Story::begin();
        story.request();
        expect_that!(story.comes_to(SplitPhase::Copying, 20 * S), eq(true));
        while story.world.slot_map("s").superseded_term == 0 {
            story.world.run(5 * MS);
        }
        story.world.run(wait * MS);
        story.world.kill_access(0);
        story.world.kill_access(1);
        expect_that!(story.moves_within(60 * S), eq(true), "{wait} ms");
        story.world.start_access(0);
        story.world.start_access(1);
        story.world.run(2 * S);
        expect_that!(story.end(), is_empty(), "{wait} ms");
    }
}

#[gtest]
fn given_a_thing_first_written_through_a_node_that_is_cut_off_and_dies_then_its_row_is_never_left_behind() {
    let mut story = Story::begin();
    let client = story.world.open_client(1, "p");
    story.world.run(S);
    story.world.take_lines(client);
    let mut names = (0..).map(|at| format!("{{new{at}}}x"));
    let name = names.find(|name| wv_internal_protocol::slot_for_key(name.as_bytes()) >= 512).unwrap_or_default();
    // Nothing that the node says reaches anyone but the databases.
    for at in 0..3 {
        let pair = (story.world.access[1].name.clone(), story.world.controls[at].name.clone());
        story.world.dropped_links.insert(pair);
    }
    story.world.send_line(client, &format!("QUERY first WRITE {name} mine"));
    story.world.run(400 * MS);
    let heard = story.world.take_lines(client);
    story.world.kill_access(1);
    story.request();
    expect_that!(story.moves_within(60 * S), eq(true));
    let lead = story.world.databases.iter().find(|base| base.service == "t" && base.is_primary);
    let row = lead.and_then(|base| base.rows.get(&name));
    // Kept and moved, or refused with a promise.
    let is_kept = heard.iter().any(|line| line.starts_with("COMPLETE stamp"));
    expect_that!(row.is_some(), eq(is_kept), "{heard:?}");
    expect_that!(story.end(), is_empty());
}

#[gtest]
fn given_copies_of_a_dead_holder_that_arrive_late_then_the_target_refuses_them_at_any_time() {
    // From before the next holder begins until after it is done.
    for late in (11_000..17_600).step_by(300) {
        let mut story = Story::begin();
        story.request();
        expect_that!(story.comes_to(SplitPhase::Copying, 20 * S), eq(true));
        // The next copies are on their way for long; their holder dies meanwhile.
        story.world.copy_delay_us = late * MS;
        story.world.run(900 * MS);
        story.world.copy_delay_us = 2 * MS;
        let holder = story.holder();
        story.world.kill_control(holder);
        story.world.run(2 * S);
        story.request();
        expect_that!(story.moves_within(60 * S), eq(true), "{late} ms");
        story.world.run(6 * S);
        expect_that!(story.end(), is_empty(), "{late} ms");
    }
}
