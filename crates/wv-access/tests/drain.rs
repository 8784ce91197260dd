//! Stories of a database that leaves, at one access node: until when it is given new work.
mod common;

use common::{database, TestNode, MS};
use googletest::prelude::*;
use wv_internal_protocol::{
    new_work_window_us, FeedUpdate, Instance, Message, DEFAULT_CONTACT_US, DEFAULT_DRAIN_US, UNKNOWN_AGE_US,
};

const OK: &str = "COMPLETE stamp-1\r\nIDLE I 3.9\r\n";
const BEGUN: &str = "COMPLETE -\r\nIDLE T -\r\n";

/// How long new work goes on.
fn bound() -> u64 {
    new_work_window_us(DEFAULT_DRAIN_US, DEFAULT_CONTACT_US)
}

/// The control side says of the node's only database that it leaves, or that it is in service.
fn tell(bare: &mut TestNode, place: u64, sequence: u64, draining: bool, leaving_us: u64) {
    let inst = Instance { sequence, draining, leaving_age_us: leaving_us, ..database() };
    let taken = bare.core.feed(Message::Update { position: place, update: FeedUpdate::Instance(inst) }, bare.now);
    assert!(taken.is_ok(), "the change fits on");
    bare.apply_effects();
}

/// Whether a write of a new client reaches the database; it is answered if it does.
fn is_written(bare: &mut TestNode, id: &str) -> bool {
    let client = bare.connect_client("shop");
    bare.send_line(client, &format!("QUERY {id} WRITE k d"));
    bare.advance(5 * MS);
    let is_sent = bare.statement_count(&format!("QUERY {id} ")) > 0;
    if let Some(db) = bare.busy_connection().filter(|_| is_sent) {
        bare.db_sends(db, OK, 1);
    }
    bare.core.client_closed(client, bare.now);
    is_sent
}

#[gtest]
fn given_a_primary_that_leaves_then_it_is_written_to_until_the_bound_and_not_after() {
    let mut bare = TestNode::new();
    tell(&mut bare, 8, 2, true, 0);
    expect_that!(is_written(&mut bare, "w1"), eq(true));
    bare.advance(bound() - 100 * MS);
    expect_that!(is_written(&mut bare, "w2"), eq(true));
    bare.advance(100 * MS);
    expect_that!(is_written(&mut bare, "w3"), eq(false));
    // Beats that say it again make it no younger.
    tell(&mut bare, 9, 3, true, 0);
    expect_that!(is_written(&mut bare, "w4"), eq(false));
    // It stays after all.
    tell(&mut bare, 10, 4, false, 0);
    expect_that!(is_written(&mut bare, "w5"), eq(true));
}

#[gtest]
fn given_a_request_that_nobody_may_take_any_more_then_its_client_is_told_so_in_time() {
    let mut bare = TestNode::new();
    tell(&mut bare, 8, 2, true, UNKNOWN_AGE_US);
    let client = bare.connect_client("shop");
    bare.send_line(client, "QUERY w1 WRITE k d");
    bare.advance(60 * MS);
    expect_that!(bare.take_output(client), starts_with("ERROR CONGESTED"));
    expect_that!(bare.statement_count("QUERY w1"), eq(0));
}

#[gtest]
fn given_word_of_a_leave_that_is_seconds_old_then_the_bound_counts_from_when_it_was_said() {
    let mut bare = TestNode::new();
    tell(&mut bare, 8, 2, true, bound() - 50 * MS);
    expect_that!(is_written(&mut bare, "w1"), eq(true));
    bare.advance(50 * MS);
    expect_that!(is_written(&mut bare, "w2"), eq(false));
    // A later word that makes it younger changes nothing.
    tell(&mut bare, 9, 3, true, 0);
    expect_that!(is_written(&mut bare, "w3"), eq(false));
}

#[gtest]
fn given_a_copy_that_is_no_news_but_says_that_the_leave_is_older_then_it_counts() {
    let mut bare = TestNode::new();
    tell(&mut bare, 8, 5, true, 0);
    expect_that!(is_written(&mut bare, "w1"), eq(true));
    tell(&mut bare, 9, 2, true, bound());
    expect_that!(is_written(&mut bare, "w2"), eq(false));
}

#[gtest]
fn given_a_node_that_stood_still_when_word_of_a_leave_came_then_it_counts_as_having_waited_as_long() {
    let mut bare = TestNode::new();
    bare.advance(200 * MS);
    // Nothing happens here for as long as new work may go on; then the word is read first.
    bare.now += bound();
    tell(&mut bare, 8, 2, true, 0);
    expect_that!(is_written(&mut bare, "w1"), eq(false));
}

#[gtest]
fn given_a_transaction_begun_in_advance_when_the_bound_passes_then_its_first_statement_is_not_sent() {
    let mut bare = TestNode::new();
    tell(&mut bare, 8, 2, true, bound() - 20 * MS);
    let client = bare.connect_client("shop");
    bare.send_line(client, "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d");
    let db = bare.sent_statements.last().expect("the transaction is begun").0;
    bare.advance(30 * MS);
    bare.take_output(client);
    bare.db_sends(db, BEGUN, 1);
    bare.advance(100 * MS);
    expect_that!(bare.statement_count("QUERY t2"), eq(0));
    expect_that!(bare.statement_count("- ABORT"), eq(1));
    expect_that!(bare.take_output(client), starts_with("ERROR CONGESTED"));
}

#[gtest]
fn given_a_single_read_of_the_primary_whose_begin_returns_past_the_bound_then_it_is_not_sent() {
    let mut bare = TestNode::new();
    tell(&mut bare, 8, 2, true, bound() - 20 * MS);
    let client = bare.connect_client("shop");
    bare.send_line(client, "QUERY r1 READ k");
    let db = bare.sent_statements.last().expect("a transaction of our own is begun around it").0;
    bare.advance(30 * MS);
    bare.db_sends(db, BEGUN, 1);
    bare.advance(100 * MS);
    expect_that!(bare.statement_count("QUERY r1"), eq(0));
    expect_that!(bare.take_output(client), starts_with("ERROR CONGESTED"));
}

#[gtest]
fn given_a_transaction_that_runs_when_the_bound_passes_then_it_goes_on() {
    let mut bare = TestNode::new();
    tell(&mut bare, 8, 2, true, bound() - 20 * MS);
    let client = bare.connect_client("shop");
    bare.send_line(client, "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d");
    let db = bare.sent_statements.last().expect("the transaction is begun").0;
    bare.db_sends(db, BEGUN, 1);
    bare.db_sends(db, "COMPLETE stamp-1\r\nIDLE T 3.9\r\n", 1);
    bare.advance(500 * MS);
    bare.send_line(client, "QUERY t3 COMMIT");
    expect_that!(bare.statement_count("QUERY t3 COMMIT"), eq(1));
    bare.db_sends(db, OK, 1);
    expect_that!(bare.take_output(client), ends_with(OK));
}

#[gtest]
fn given_bounds_of_other_settings_then_they_are_followed() {
    let mut bare = TestNode::new();
    bare.core.set_drain(800 * MS, 4_000 * MS);
    tell(&mut bare, 8, 2, true, 0);
    bare.advance(580 * MS);
    expect_that!(is_written(&mut bare, "w1"), eq(true));
    bare.advance(20 * MS);
    expect_that!(is_written(&mut bare, "w2"), eq(false));
}

#[gtest]
fn given_machines_that_are_soon_in_touch_again_then_new_work_ends_before_a_late_word_could_matter() {
    let mut bare = TestNode::new();
    bare.core.set_drain(7_000 * MS, 800 * MS);
    tell(&mut bare, 8, 2, true, 0);
    bare.advance(680 * MS);
    expect_that!(is_written(&mut bare, "w1"), eq(true));
    bare.advance(20 * MS);
    expect_that!(is_written(&mut bare, "w2"), eq(false));
}
