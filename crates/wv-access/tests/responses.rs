//! Replies on database connections must reach only the client whose statement they answer.
mod common;

use common::{TestNode, MS};
use googletest::prelude::*;

const OK: &str = "COMPLETE stamp-1\r\nIDLE I 3.9\r\n";

/// Sends a write and returns its client and connection.
fn start_write(node: &mut TestNode, tag: &str) -> (u64, u64) {
    let client = node.connect_client("shop");
    node.send_line(client, &format!("QUERY {tag} WRITE k d"));
    (client, node.sent_statements.last().expect("statement was sent").0)
}

#[gtest]
fn given_an_unsent_write_when_all_connections_are_reset_then_it_runs_once_on_a_new_one() {
    let mut node = TestNode::new();
    node.dbs.keys().copied().collect::<Vec<u64>>().into_iter().for_each(|db| node.reset_db(db));
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY w1 WRITE k d");
    node.advance(50 * MS);
    let db = node.busy_connection().expect("statement was sent on a new connection");
    node.db_sends(db, OK, 1);
    expect_that!(node.take_output(client), starts_with("COMPLETE stamp-1"));
    expect_that!(node.statement_count("QUERY w1"), eq(1));
}

#[gtest]
fn given_a_sent_write_or_commit_when_the_connection_is_reset_at_any_response_byte_then_it_is_not_resent() {
    for len in 0..OK.len() {
        let mut node = TestNode::new();
        let (client, db) = start_write(&mut node, "w1");
        node.db_sends(db, &OK[..len], 0);
        node.reset_db(db);
        node.advance(2_000 * MS);
        expect_that!(node.take_output(client), starts_with("ERROR INDETERM"), "after {len} bytes");
        expect_that!(node.statement_count("QUERY w1"), eq(1));

        let client = node.connect_client("shop");
        node.send_line(client, "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d");
        let db = node.sent_statements.last().expect("statement was sent").0;
        node.db_sends(db, "COMPLETE -\r\nIDLE T -\r\n", 1);
        node.db_sends(db, "COMPLETE stamp-2\r\nIDLE T -\r\n", 1);
        node.send_line(client, "QUERY t3 COMMIT");
        node.take_output(client);
        node.db_sends(db, &OK[..len], 0);
        node.reset_db(db);
        node.advance(2_000 * MS);
        expect_that!(node.take_output(client), starts_with("ERROR INDETERM"), "after {len} bytes");
        expect_that!((node.statement_count("QUERY t2"), node.statement_count("COMMIT")), eq((1, 1)));
    }
    // After a complete response, the outcome is known.
    let mut node = TestNode::new();
    let (client, db) = start_write(&mut node, "w1");
    node.db_sends(db, OK, 1);
    node.reset_db(db);
    expect_that!(node.take_output(client), eq(OK));
    expect_that!(node.statement_count("QUERY w1"), eq(1));
}

#[gtest]
fn given_a_transaction_reset_before_commit_then_the_client_gets_aborted() {
    let mut node = TestNode::new();
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d");
    let db = node.sent_statements.last().expect("statement was sent").0;
    node.db_sends(db, "COMPLETE -\r\nIDLE T -\r\n", 1);
    node.db_sends(db, "COMPLETE stamp-2\r\nIDLE T -\r\n", 1);
    node.take_output(client);
    node.reset_db(db);
    node.send_line(client, "QUERY t3 COMMIT");
    expect_that!(node.take_output(client), starts_with("ERROR ABORTED"));
    expect_that!(node.statement_count("COMMIT"), eq(0));
}

#[gtest]
fn given_surplus_bytes_after_a_response_when_another_client_waits_then_they_are_not_its_response() {
    for rest in ["COMPLETE stamp-0\r\nIDLE I 3.8\r\n", "COMP", "IDLE I 3.8\r\n"] {
        let mut node = TestNode::new();
        let (client, db) = start_write(&mut node, "w1");
        // All other connections are busy, so the next client gets this one once it is released.
        let others: Vec<(u64, u64)> = (0..40).map(|at| start_write(&mut node, &format!("o{at}"))).collect();
        let waiting = node.connect_client("shop");
        node.send_line(waiting, "QUERY w2 WRITE l d");
        node.db_sends(db, &format!("{OK}{rest}"), 1);
        // It is unclear which of the two replies belongs to the write.
        expect_that!(node.take_output(client), starts_with("ERROR INDETERM"));
        expect_that!(node.take_output(waiting), eq(""));
        expect_that!(node.dbs.contains_key(&db), eq(false));
        expect_that!(others.len(), eq(40));
    }
}

#[gtest]
fn given_an_unsolicited_response_on_an_idle_connection_then_it_is_closed_and_no_client_gets_it() {
    let mut node = TestNode::new();
    let db = *node.dbs.keys().next().expect("an idle connection exists");
    node.db_sends(db, OK, 0);
    expect_that!(node.dbs.contains_key(&db), eq(false));
    let (client, other) = start_write(&mut node, "w1");
    expect_that!(other, not(eq(db)));
    node.db_sends(other, OK, 1);
    expect_that!(node.take_output(client), eq(OK));
}

#[gtest]
fn given_a_truncated_response_joined_with_the_next_one_then_it_is_not_taken_as_complete() {
    // Replies to the read and to the ABORT: the first is cut off and the second follows at once.
    let (read, abort) = ("ROW x\r\nCOMPLETE stamp-1\r\nIDLE T 3.9\r\n", "COMPLETE -\r\nIDLE I 3.9\r\n");
    for len in 0..read.len() {
        let mut node = TestNode::new();
        let client = node.connect_client("shop");
        node.send_line(client, "QUERY r1 READ k");
        let db = node.sent_statements.last().expect("BEGIN was sent").0;
        node.db_sends(db, "COMPLETE -\r\nIDLE T -\r\n", 1);
        node.db_sends(db, &format!("{}{abort}", &read[..len]), 2);
        let output = node.take_output(client);
        let is_complete = output.starts_with("ROW x\r\nCOMPLETE stamp-1\r\nIDLE I");
        expect_that!(output.is_empty() || is_complete, eq(true), "after {len} bytes: {output:?}");
    }
}

#[gtest]
fn given_a_lost_response_to_an_internal_statement_then_the_next_response_does_not_replace_it() {
    let mut node = TestNode::new();
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY a1 ASSIGN zone x\r\nQUERY w1 WRITE k d");
    node.take_output(client);
    let db = node.sent_statements.last().expect("statement was sent").0;
    // The write's reply arrives first and must not be taken for the reply to ASSIGN.
    node.db_sends(db, OK, 2);
    expect_that!(node.take_output(client), starts_with("ERROR INDETERM"));
    expect_that!(node.statement_count("QUERY w1"), eq(1));
}

#[gtest]
fn given_session_values_refused_then_a_write_is_indeterminate_and_a_transaction_restarts_elsewhere() {
    let refused = "ERROR CONGESTED full\r\nIDLE I -\r\n";
    let mut node = TestNode::new();
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY a1 ASSIGN zone x\r\nQUERY w1 WRITE k d");
    node.take_output(client);
    let db = node.sent_statements.last().expect("statement was sent").0;
    node.db_sends(db, &format!("{refused}{OK}"), 2);
    expect_that!(node.take_output(client), starts_with("ERROR INDETERM"));
    node.send_line(client, "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d");
    node.take_output(client);
    let db = node.sent_statements.last().expect("BEGIN was sent").0;
    node.db_sends(db, &format!("{refused}COMPLETE -\r\nIDLE T -\r\n"), 2);
    expect_that!(node.take_output(client), eq(""));
    let again = node.sent_statements.last().expect("BEGIN was sent again").0;
    expect_that!(again, not(eq(db)));
    node.db_sends(again, "COMPLETE -\r\nIDLE I -\r\nCOMPLETE -\r\nIDLE T -\r\n", 2);
    node.db_sends(again, "COMPLETE stamp-2\r\nIDLE T -\r\n", 1);
    expect_that!(node.take_output(client), starts_with("COMPLETE stamp-2"));
    expect_that!(node.statement_count("QUERY t2"), eq(1));
}

#[gtest]
fn given_rows_already_sent_when_the_read_is_interrupted_then_the_client_is_closed_and_rows_not_repeated() {
    let mut node = TestNode::new();
    let client = node.connect_client("look");
    node.send_line(client, "QUERY r1 READ k");
    let db = node.sent_statements.last().expect("statement was sent").0;
    node.db_sends(db, "COMPLETE -\r\nIDLE T -\r\n", 1);
    node.db_sends(db, &format!("ROW {}\r\n", "x".repeat(70_000)), 0);
    node.reset_db(db);
    node.advance(50 * MS);
    expect_that!(node.closed, contains(eq(&client)));
    expect_that!(node.statement_count("QUERY r1"), eq(1));
}

#[gtest]
fn given_lost_responses_to_internal_statements_then_their_connections_are_closed_after_a_timeout() {
    let mut node = TestNode::new();
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY r1 READ k");
    let db = node.sent_statements.last().expect("BEGIN was sent").0;
    node.db_sends(db, "COMPLETE -\r\nIDLE T -\r\n", 1);
    // The read is answered, the ABORT is not.
    node.db_sends(db, "ROW x\r\nCOMPLETE stamp-1\r\nIDLE T 3.9\r\n", 1);
    expect_that!(node.take_output(client), contains_substring("stamp-1"));
    node.advance(2_900 * MS);
    expect_that!(node.dbs.contains_key(&db), eq(true));
    node.advance(300 * MS);
    expect_that!(node.dbs.contains_key(&db), eq(false));
}

#[gtest]
fn given_a_client_closed_early_then_partial_lines_do_not_run_and_no_other_client_gets_its_response() {
    let mut node = TestNode::new();
    let client = node.connect_client("shop");
    node.core.client_data(client, b"QUERY w1 WRITE k d", node.now);
    node.core.client_closed(client, node.now);
    node.apply_effects();
    expect_that!(node.statement_count("QUERY w1"), eq(0));
    let (client, db) = start_write(&mut node, "w2");
    node.core.client_closed(client, node.now);
    node.apply_effects();
    expect_that!(node.dbs.contains_key(&db), eq(false), "connection with an orphaned reply is closed");
    node.db_sends(db, OK, 1);
    let (next, other) = start_write(&mut node, "w3");
    expect_that!((other != db, node.take_output(next).is_empty()), eq((true, true)));
}

#[gtest]
fn given_pipelined_statements_then_they_are_executed_and_answered_one_after_another() {
    let mut node = TestNode::new();
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY w1 WRITE k a\r\nQUERY w2 WRITE k b\r\nQUERY w3 WRITE k c");
    expect_that!((node.statement_count("QUERY w1"), node.statement_count("QUERY w2")), eq((1, 0)));
    let db = node.busy_connection().expect("statement was sent");
    node.reset_db(db);
    let db = node.busy_connection().expect("second write was sent");
    node.db_sends(db, OK, 1);
    let db = node.busy_connection().expect("third write was sent");
    node.db_sends(db, "ERROR READONLY d1\r\nIDLE I 3.9\r\n", 1);
    node.advance(400 * MS);
    let output = node.take_output(client);
    let firsts: Vec<&str> = output.lines().filter(|line| !line.starts_with("IDLE")).collect();
    expect_that!(firsts[0], starts_with("ERROR INDETERM"));
    expect_that!(firsts[1], eq("COMPLETE stamp-1"));
    expect_that!(firsts.len(), eq(3), "{output}");
    expect_that!((node.statement_count("QUERY w1"), node.statement_count("QUERY w2")), eq((1, 1)));
}
