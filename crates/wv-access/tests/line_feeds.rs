//! Line feeds inside fields, with messages cut at any byte: a message is executed as it was sent, by one statement.
mod common;

use common::{TestNode, NODE_INCARNATION};
use googletest::prelude::*;
use wv_internal_protocol::{ForwardMessage, ForwardedSessionId};

const OK: &str = "COMPLETE stamp-1\r\nIDLE I 3.9\r\n";
const TWO_LINES: &str = "WRITE k left with neighbour\nQUERY f0 WRITE l forged";
/// `headerBytes` and `bodyBytes` of the test configuration together.
const MAX_LINE_BYTES: usize = 16_384 + 262_144;
const ROWS: &str = "ROW gate 4\nIDLE I 3.9\nring twice\r\nCOMPLETE stamp-1\r\nIDLE I 3.9\r\n";

/// Guards against the rest of a message after a line feed being executed as another client's statement, or dropped.
#[gtest]
fn given_a_line_feed_in_a_write_then_the_database_gets_the_statement_whole_and_no_other() {
    let message = format!("QUERY w1 {TWO_LINES}\r\n");
    for cut in 1..message.len() {
        let mut node = TestNode::new();
        let client = node.connect_client("shop");
        for part in [&message[..cut], &message[cut..]] {
            node.core.client_data(client, part.as_bytes(), node.now);
            node.apply_effects();
        }
        let sent: Vec<&str> = node.sent_statements.iter().map(|(_, line)| line.as_str()).collect();
        expect_that!(sent, eq(&vec![message.trim_end()]), "cut at {cut}");
        let db = node.busy_connection().expect("the write was sent");
        node.db_sends(db, OK, 1);
        expect_that!(node.take_output(client), eq(OK), "cut at {cut}");
        expect_that!(node.sent_statements.len(), eq(1), "cut at {cut}");
    }
}

/// Guards against the values and prepared statements of a session being split where they are sent to the database.
#[gtest]
fn given_line_feeds_in_session_values_and_prepared_statements_then_the_database_gets_them_whole() {
    let mut node = TestNode::new();
    let client = node.connect_client("shop");
    for text in ["ASSIGN zone a\nb", "DEFINE s1 WRITE q\n2c"] {
        node.send_line(client, &format!("QUERY p {text}"));
        expect_that!(node.take_output(client), eq("COMPLETE -\r\nIDLE I -\r\n"));
    }
    node.send_line(client, "QUERY w1 EXECUTE s1 k x\ny");
    let sent: Vec<&str> = node.sent_statements.iter().map(|(_, line)| line.as_str()).collect();
    expect_that!(
        sent,
        eq(&vec!["QUERY - ASSIGN zone a\nb", "QUERY - DEFINE w0 WRITE q\n2c", "QUERY w1 EXECUTE w0 k x\ny"])
    );
}

/// Guards against a line feed in a row being taken as the end of a database's line.
#[gtest]
fn given_line_feeds_in_a_row_then_the_client_gets_the_answer_unchanged_for_every_cut() {
    for cut in 1..ROWS.len() {
        let mut node = TestNode::new();
        let client = node.connect_client("shop");
        node.send_line(client, "QUERY r1 BEGIN\r\nQUERY r2 READ k");
        node.take_output(client);
        let db = node.busy_connection().expect("BEGIN was sent");
        node.db_sends(db, "COMPLETE -\r\nIDLE T 3.9\r\n", 1);
        let rows = ROWS.replace("IDLE I 3.9\r\n", "IDLE T 3.9\r\n");
        node.db_sends(db, &rows[..cut], 1);
        expect_that!(node.take_output(client), eq(""), "cut at {cut}");
        node.db_sends(db, &rows[cut..], 0);
        expect_that!(node.take_output(client), eq(&rows), "cut at {cut}");
    }
}

/// Guards against a forwarded message being split at the owner, or its answer at the node that forwarded it.
#[gtest]
fn given_line_feeds_in_a_forwarded_request_and_its_answer_then_both_arrive_unchanged() {
    let mut node = TestNode::with_remote_owner();
    let client = node.connect_client("shop");
    node.send_line(client, &format!("QUERY w1 {TWO_LINES}"));
    let (link, session, request) = node.last_forwarded_request();
    let lines = node.peer_messages.iter().find_map(|(_, message)| match message {
        ForwardMessage::Request { lines, .. } => Some(lines.clone()),
        _ => None,
    });
    expect_that!(lines, some(eq(format!("QUERY w1 {TWO_LINES}\r\n").as_bytes())));
    for part in [&ROWS[..14], &ROWS[14..]] {
        node.receive_from_peer(link, ForwardMessage::Response { session, request, bytes: part.as_bytes().to_vec() });
    }
    expect_that!(node.take_output(client), eq(ROWS));

    let mut owner = TestNode::new();
    let link = owner.core.accept_peer_link(owner.now);
    let session = ForwardedSessionId { incarnation: NODE_INCARNATION + 1, number: 5 };
    owner.receive_from_peer(link, ForwardMessage::Open { session, host: "shop".to_owned(), user: "me".to_owned() });
    let lines = lines.unwrap_or_default();
    owner.receive_from_peer(link, ForwardMessage::Request { session, request: 1, configuration_version: 1, lines });
    let sent: Vec<&str> = owner.sent_statements.iter().map(|(_, line)| line.as_str()).collect();
    expect_that!(sent, eq(&vec![format!("QUERY w1 {TWO_LINES}").as_str()]));
}

#[gtest]
fn given_a_message_ended_by_a_line_feed_alone_then_it_waits_for_its_end() {
    let mut node = TestNode::new();
    let client = node.connect_client("shop");
    node.core.client_data(client, b"QUERY w1 WRITE k d\n", node.now);
    node.apply_effects();
    expect_that!(node.sent_statements, is_empty());
    node.core.client_data(client, b"\r\n", node.now);
    node.apply_effects();
    expect_that!(node.sent_statements.len(), eq(1));
    expect_that!(node.sent_statements[0].1, eq("QUERY w1 WRITE k d\n"));
}

/// Guards against a message of the greatest length being refused because it was cut between its CR and its LF.
#[gtest]
fn given_a_message_of_the_greatest_length_cut_anywhere_in_its_end_then_it_is_executed() {
    let message = format!("QUERY w1 WRITE k {}\r\n", "d".repeat(MAX_LINE_BYTES - "QUERY w1 WRITE k ".len()));
    for cut in [message.len() - 3, message.len() - 2, message.len() - 1] {
        let mut node = TestNode::new();
        let client = node.connect_client("shop");
        for part in [&message[..cut], &message[cut..]] {
            node.core.client_data(client, part.as_bytes(), node.now);
            node.apply_effects();
        }
        expect_that!(node.statement_count("QUERY w1"), eq(1), "cut at {cut}");
        expect_that!(node.take_output(client), eq(""), "cut at {cut}");
    }
    let mut node = TestNode::new();
    let client = node.connect_client("shop");
    node.send_line(client, &format!("QUERY w1 WRITE k {}", "d".repeat(MAX_LINE_BYTES)));
    expect_that!(node.take_output(client), starts_with("ERROR OVERSIZE"));
}

/// Guards against the text of a database's error being changed on its way to the client, directly or by an owner.
#[gtest]
fn given_an_error_text_of_any_bytes_then_the_client_gets_it_unchanged() {
    let answer = b"ERROR FAILED no room in caf\xe9\nat all \xc3\r\r\nIDLE I 3.9\r\n";
    let expected = b"ERROR FAILED no room in caf\xe9\nat all \xc3\r\r\nIDLE I -\r\n".to_vec();
    let mut node = TestNode::new();
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY w1 WRITE k d");
    let db = node.busy_connection().expect("the write was sent");
    node.core.db_data(db, answer, node.now);
    expect_that!(node.core.client_output(client).cloned(), some(eq(&expected)));

    let mut node = TestNode::with_remote_owner();
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY w1 WRITE k d");
    let (link, session, request) = node.last_forwarded_request();
    let message = ForwardMessage::Response { session, request, bytes: answer.to_vec() };
    node.core.handle_forward_message(link, message, node.now);
    expect_that!(node.core.client_output(client).cloned(), some(eq(&expected)));
}

/// Guards against a client being let into a database that it did not name.
#[gtest]
fn given_a_database_name_that_is_not_utf8_then_no_database_has_it() {
    let mut node = TestNode::with_host("caf\u{fffd}");
    let client = node.core.client_opened(node.now);
    node.core.client_data(client, b"SETUP caf\xe9 me\r\n", node.now);
    node.apply_effects();
    expect_that!(node.take_output(client), starts_with("ERROR NODB"));
    let client = node.core.client_opened(node.now);
    node.send_line(client, "SETUP caf\u{fffd} me");
    expect_that!(node.take_output(client), eq("IDLE I -\r\n"));
}
