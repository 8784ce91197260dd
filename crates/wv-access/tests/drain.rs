//! Draining databases at one access node: until when they receive new work.
mod common;

use common::{database, TestNode, MS};
use googletest::prelude::*;
use wv_internal_protocol::{
    new_work_window_us, FeedUpdate, Instance, Message, DEFAULT_CONTACT_US, DEFAULT_DRAIN_US, UNKNOWN_AGE_US,
};

const OK: &str = "COMPLETE stamp-1\r\nIDLE I 3.9\r\n";
const BEGUN: &str = "COMPLETE -\r\nIDLE T -\r\n";

/// How long a draining database receives new work.
fn window_us() -> u64 {
    new_work_window_us(DEFAULT_DRAIN_US, DEFAULT_CONTACT_US)
}

/// Feeds an update of the node's only database: draining, or in service.
fn report_database(node: &mut TestNode, position: u64, sequence: u64, draining: bool, draining_age_us: u64) {
    let instance = Instance { sequence, draining, leaving_age_us: draining_age_us, ..database() };
    let result =
        node.core.apply_feed_message(Message::Update { position, update: FeedUpdate::Instance(instance) }, node.now);
    assert!(result.is_ok(), "the update follows the feed position");
    node.apply_effects();
}

/// Whether a write of a new client reaches the database, which then answers it.
fn is_written(node: &mut TestNode, id: &str) -> bool {
    let client = node.connect_client("shop");
    node.send_line(client, &format!("QUERY {id} WRITE k d"));
    node.advance(5 * MS);
    let is_sent = node.statement_count(&format!("QUERY {id} ")) > 0;
    if let Some(db) = node.busy_connection().filter(|_| is_sent) {
        node.db_sends(db, OK, 1);
    }
    node.core.client_closed(client, node.now);
    is_sent
}

#[gtest]
fn given_a_draining_primary_then_it_receives_writes_until_the_window_ends() {
    let mut node = TestNode::new();
    report_database(&mut node, 8, 2, true, 0);
    expect_that!(is_written(&mut node, "w1"), eq(true));
    node.advance(window_us() - 100 * MS);
    expect_that!(is_written(&mut node, "w2"), eq(true));
    node.advance(100 * MS);
    expect_that!(is_written(&mut node, "w3"), eq(false));
    // Repeated reports do not restart the window.
    report_database(&mut node, 9, 3, true, 0);
    expect_that!(is_written(&mut node, "w4"), eq(false));
    // The drain was cancelled.
    report_database(&mut node, 10, 4, false, 0);
    expect_that!(is_written(&mut node, "w5"), eq(true));
}

#[gtest]
fn given_a_request_without_an_eligible_database_then_the_client_gets_an_error_in_time() {
    let mut node = TestNode::new();
    report_database(&mut node, 8, 2, true, UNKNOWN_AGE_US);
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY w1 WRITE k d");
    node.advance(60 * MS);
    expect_that!(node.take_output(client), starts_with("ERROR CONGESTED"));
    expect_that!(node.statement_count("QUERY w1"), eq(0));
}

#[gtest]
fn given_a_delayed_drain_report_then_the_window_counts_from_the_start_of_the_drain() {
    let mut node = TestNode::new();
    report_database(&mut node, 8, 2, true, window_us() - 50 * MS);
    expect_that!(is_written(&mut node, "w1"), eq(true));
    node.advance(50 * MS);
    expect_that!(is_written(&mut node, "w2"), eq(false));
    // A later report with a smaller age has no effect.
    report_database(&mut node, 9, 3, true, 0);
    expect_that!(is_written(&mut node, "w3"), eq(false));
}

#[gtest]
fn given_an_outdated_report_with_an_earlier_drain_start_then_the_earlier_start_counts() {
    let mut node = TestNode::new();
    report_database(&mut node, 8, 5, true, 0);
    expect_that!(is_written(&mut node, "w1"), eq(true));
    report_database(&mut node, 9, 2, true, window_us());
    expect_that!(is_written(&mut node, "w2"), eq(false));
}

#[gtest]
fn given_a_node_that_stalled_before_it_read_a_drain_report_then_the_stall_counts_towards_the_window() {
    let mut node = TestNode::new();
    node.advance(200 * MS);
    // The node stalls for the whole window and then reads the report first.
    node.now += window_us();
    report_database(&mut node, 8, 2, true, 0);
    expect_that!(is_written(&mut node, "w1"), eq(false));
}

#[gtest]
fn given_a_transaction_begun_ahead_when_the_window_ends_then_its_first_statement_is_not_sent() {
    let mut node = TestNode::new();
    report_database(&mut node, 8, 2, true, window_us() - 20 * MS);
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d");
    let db = node.sent_statements.last().expect("the transaction is begun").0;
    node.advance(30 * MS);
    node.take_output(client);
    node.db_sends(db, BEGUN, 1);
    node.advance(100 * MS);
    expect_that!(node.statement_count("QUERY t2"), eq(0));
    expect_that!(node.statement_count("- ABORT"), eq(1));
    expect_that!(node.take_output(client), starts_with("ERROR CONGESTED"));
}

#[gtest]
fn given_a_single_primary_read_whose_begin_is_answered_after_the_window_then_it_is_not_sent() {
    let mut node = TestNode::new();
    report_database(&mut node, 8, 2, true, window_us() - 20 * MS);
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY r1 READ k");
    let db = node.sent_statements.last().expect("the read is wrapped in a transaction").0;
    node.advance(30 * MS);
    node.db_sends(db, BEGUN, 1);
    node.advance(100 * MS);
    expect_that!(node.statement_count("QUERY r1"), eq(0));
    expect_that!(node.take_output(client), starts_with("ERROR CONGESTED"));
}

#[gtest]
fn given_a_running_transaction_when_the_window_ends_then_it_continues() {
    let mut node = TestNode::new();
    report_database(&mut node, 8, 2, true, window_us() - 20 * MS);
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d");
    let db = node.sent_statements.last().expect("the transaction is begun").0;
    node.db_sends(db, BEGUN, 1);
    node.db_sends(db, "COMPLETE stamp-1\r\nIDLE T 3.9\r\n", 1);
    node.advance(500 * MS);
    node.send_line(client, "QUERY t3 COMMIT");
    expect_that!(node.statement_count("QUERY t3 COMMIT"), eq(1));
    node.db_sends(db, OK, 1);
    expect_that!(node.take_output(client), ends_with(OK));
}

#[gtest]
fn given_other_timeout_settings_then_the_window_follows_them() {
    let mut node = TestNode::new();
    node.core.set_drain_timeouts(800 * MS, 4_000 * MS);
    report_database(&mut node, 8, 2, true, 0);
    node.advance(580 * MS);
    expect_that!(is_written(&mut node, "w1"), eq(true));
    node.advance(20 * MS);
    expect_that!(is_written(&mut node, "w2"), eq(false));
}

#[gtest]
fn given_a_contact_time_shorter_than_the_drain_timeout_then_the_window_ends_by_the_contact_time() {
    let mut node = TestNode::new();
    node.core.set_drain_timeouts(7_000 * MS, 800 * MS);
    report_database(&mut node, 8, 2, true, 0);
    node.advance(680 * MS);
    expect_that!(is_written(&mut node, "w1"), eq(true));
    node.advance(20 * MS);
    expect_that!(is_written(&mut node, "w2"), eq(false));
}
