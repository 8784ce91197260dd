//! Requests end at their deadlines, not because a database is silent, and always with a response in time.
mod common;

use common::{TestNode, MS};
use googletest::prelude::*;

const OK: &str = "COMPLETE stamp-1\r\nIDLE I 3.9\r\n";

#[gtest]
fn given_a_silent_database_then_requests_end_only_at_the_limit_of_the_route() {
    for query in ["QUERY w1 WRITE k d", "QUERY r1 READ k", "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d"] {
        let mut node = TestNode::new();
        let client = node.connect_client("shop");
        node.send_line(client, query);
        node.take_output(client);
        if !query.contains("w1") {
            let db = node.sent_statements.last().expect("BEGIN was sent").0;
            node.db_sends(db, "COMPLETE -\r\nIDLE T -\r\n", 1);
        }
        let db = node.sent_statements.last().expect("statement was sent").0;
        node.advance(980 * MS);
        expect_that!(node.take_output(client), eq(""), "{query}");
        expect_that!(node.dbs.contains_key(&db), eq(true), "{query}");
        // Early enough for the response to reach the client before the route's limit.
        node.advance(15 * MS);
        expect_that!(node.take_output(client), starts_with("ERROR"), "{query}");
        expect_that!(
            node.statement_count("QUERY w1") + node.statement_count("QUERY r1") + node.statement_count("QUERY t2"),
            eq(1)
        );
    }
}

#[gtest]
fn given_a_response_just_before_the_limit_then_it_is_passed_on() {
    let mut node = TestNode::new();
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY w1 WRITE k d");
    let db = node.sent_statements.last().expect("statement was sent").0;
    node.advance(985 * MS);
    node.db_sends(db, OK, 1);
    expect_that!(node.take_output(client), eq(OK));
}

#[gtest]
fn given_later_statements_answered_first_then_only_restartable_requests_are_retried() {
    let mut node = TestNode::new();
    // Statements take a few milliseconds.
    for at in 0..2_000 {
        let client = node.connect_client("shop");
        node.send_line(client, &format!("QUERY o{at} WRITE k d"));
        let db = node.sent_statements.last().expect("statement was sent").0;
        node.advance(2 * MS);
        node.db_sends(db, OK, 1);
        node.core.client_closed(client, node.now);
    }
    let single = node.connect_client("shop");
    node.send_line(single, "QUERY w1 WRITE k d");
    let read = node.connect_client("shop");
    node.send_line(read, "QUERY r1 READ k");
    let db = node.sent_statements.last().expect("BEGIN was sent").0;
    node.db_sends(db, "COMPLETE -\r\nIDLE T -\r\n", 1);
    node.advance(10 * MS);
    let other = node.connect_client("shop");
    node.send_line(other, "QUERY w2 WRITE k d");
    let db = node.sent_statements.last().expect("statement was sent").0;
    node.advance(5 * MS);
    node.db_sends(db, OK, 1);
    node.advance(600 * MS);
    // The read restarts on another connection; the write stays, as it may still be answered.
    expect_that!(node.statement_count("BEGIN"), ge(2));
    expect_that!(node.take_output(single), eq(""));
    expect_that!(node.statement_count("QUERY w1"), eq(1));
}

/// A node with all connections of its only database in use.
fn saturated_node() -> TestNode {
    let mut node = TestNode::new();
    for at in 0..110 {
        let client = node.connect_client("shop");
        node.send_line(client, &format!("QUERY f{at} WRITE k d"));
    }
    node
}

#[gtest]
fn given_no_free_connection_then_a_request_waits_less_than_a_quarter_of_its_target() {
    let mut node = saturated_node();
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY w1 WRITE k d");
    let waited_ms = (0..200).find(|_| {
        node.advance(MS);
        node.client_output.contains_key(&client)
    });
    expect_that!(waited_ms, some(all![gt(30), lt(50)]));
    expect_that!(node.take_output(client), starts_with("ERROR CONGESTED"));
    expect_that!(node.statement_count("QUERY w1"), eq(0));
}

#[gtest]
fn given_a_refused_client_that_retries_then_its_last_attempt_ends_before_its_deadline() {
    let mut node = saturated_node();
    let client = node.connect_client("shop");
    let start = node.now;
    let (mut attempts, mut last_response_at) = (0, 0);
    while node.now < start + 1_000 * MS {
        attempts += 1;
        node.send_line(client, &format!("QUERY v{attempts} WRITE k d"));
        while node.take_output(client).is_empty() {
            node.advance(MS);
        }
        last_response_at = node.now;
        node.advance(7 * MS);
    }
    expect_that!(attempts, gt(10));
    expect_that!(last_response_at, lt(start + 1_000 * MS), "no request is open after the client's deadline");
    // After the client's own deadline, the next statement counts as a new one.
    node.advance(600 * MS);
    node.send_line(client, "QUERY w1 WRITE k d");
    node.advance(20 * MS);
    expect_that!(node.take_output(client), eq(""));
}

#[gtest]
fn given_a_draining_node_then_pending_requests_are_answered_or_failed_by_the_end_of_the_grace_period() {
    let mut node = TestNode::new();
    let [first, second, resting] =
        [node.connect_client("shop"), node.connect_client("look"), node.connect_client("shop")];
    node.core.begin_shutdown(node.now);
    node.advance(2_300 * MS);
    expect_that!(node.closed, is_empty());
    node.send_line(first, "QUERY w1 WRITE k d");
    let db = node.sent_statements.last().expect("a draining node still serves").0;
    node.advance(600 * MS);
    expect_that!(node.closed, elements_are![eq(&resting), eq(&second)].or(elements_are![eq(&second), eq(&resting)]));
    node.db_sends(db, OK, 1);
    expect_that!(node.take_output(first), eq(OK));
    // A slow client whose last statement is still running near the end of the grace period.
    node.send_line(first, "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d");
    let db = node.sent_statements.last().expect("BEGIN was sent").0;
    node.db_sends(db, "COMPLETE -\r\nIDLE T -\r\n", 1);
    node.take_output(first);
    node.advance(900 * MS);
    node.db_sends(db, "COMPLETE stamp-2\r\nIDLE T -\r\n", 1);
    node.advance(650 * MS);
    node.send_line(first, "QUERY t3 COMMIT");
    node.take_output(first);
    node.advance(700 * MS);
    expect_that!(node.core.is_shutdown_complete(), eq(false), "a commit is pending");
    // The drain ends before the statement's own deadline.
    node.advance(200 * MS);
    expect_that!(node.take_output(first), starts_with("ERROR INDETERM"));
    expect_that!(node.core.is_shutdown_complete(), eq(true));
    expect_that!(node.statement_count("COMMIT"), eq(1));
}
