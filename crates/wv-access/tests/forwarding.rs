//! Request forwarding between access nodes: responses are matched to their request, and each request runs at most once.
mod common;

use common::{TestNode, NODE_INCARNATION};
use googletest::prelude::*;
use wv_internal_protocol::{ForwardMessage, ForwardedSessionId};

const OK: &[u8] = b"COMPLETE stamp-1\r\nIDLE I 3.9\r\n";
const WRONG: &[u8] = b"COMPLETE wrong\r\nIDLE I 3.8\r\n";

fn response(session: ForwardedSessionId, request: u64, bytes: &[u8]) -> ForwardMessage {
    ForwardMessage::Response { session, request, bytes: bytes.to_vec() }
}

/// Sends a query that is forwarded; returns the client, link, session and request number.
fn forward(node: &mut TestNode, query: &str) -> (u64, u64, ForwardedSessionId, u64) {
    let client = node.connect_client("shop");
    node.send_line(client, query);
    let (link, session, request) = node.last_forwarded_request();
    (client, link, session, request)
}

#[gtest]
fn given_messages_for_the_same_session_number_of_another_incarnation_or_link_then_the_session_ignores_them() {
    let mut node = TestNode::with_remote_owner();
    let (client, link, session, request) = forward(&mut node, "QUERY w1 WRITE k d");
    let (other_incarnation, other_link) =
        (ForwardedSessionId { incarnation: NODE_INCARNATION + 1, ..session }, node.core.accept_peer_link(node.now));
    for (by, session) in [(link, other_incarnation), (other_link, session), (other_link, other_incarnation)] {
        node.receive_from_peer(by, response(session, request, WRONG));
        node.receive_from_peer(by, ForwardMessage::Rejected { session, request });
        // A peer that forwards to this node may use the same session number.
        node.receive_from_peer(by, ForwardMessage::Close { session });
    }
    expect_that!(node.take_output(client), eq(""));
    node.receive_from_peer(link, response(session, request, OK));
    expect_that!(node.take_output(client), eq("COMPLETE stamp-1\r\nIDLE I 3.9\r\n"));
    expect_that!(node.statement_count("WRITE"), eq(0), "the write is not also executed here");
}

#[gtest]
fn given_a_duplicate_response_then_it_is_not_taken_as_the_response_to_the_next_request() {
    let mut node = TestNode::with_remote_owner();
    let (client, link, session, first) = forward(&mut node, "QUERY w1 WRITE k d");
    node.receive_from_peer(link, response(session, first, OK));
    node.take_output(client);
    node.send_line(client, "QUERY w2 WRITE k e");
    let (_, next, second) = node.last_forwarded_request();
    expect_that!((next, second > first), eq((session, true)));
    node.receive_from_peer(link, response(session, first, WRONG));
    expect_that!(node.take_output(client), eq(""));
    node.receive_from_peer(link, response(session, second, OK));
    expect_that!(node.take_output(client), starts_with("COMPLETE stamp-1"));
}

#[gtest]
fn given_a_response_without_a_request_or_with_excess_data_then_the_session_is_closed_and_the_outcome_is_unknown() {
    for (request, bytes) in [(2, OK), (1, &[OK, WRONG].concat()[..]), (1, &[OK, b"COMP"].concat()[..])] {
        let mut node = TestNode::with_remote_owner();
        let (client, link, session, _) = forward(&mut node, "QUERY w1 WRITE k d");
        node.receive_from_peer(link, response(session, request, bytes));
        expect_that!(node.take_output(client), starts_with("ERROR INDETERM"));
        expect_that!(node.peer_messages.last(), some(eq(&(link, ForwardMessage::Close { session }))));
        expect_that!(node.statement_count("WRITE"), eq(0));
    }
}

#[gtest]
fn given_a_rejection_of_an_earlier_request_or_within_a_transaction_then_the_request_is_not_executed_here() {
    let mut node = TestNode::with_remote_owner();
    let (client, link, session, first) = forward(&mut node, "QUERY w1 WRITE k d");
    node.receive_from_peer(link, response(session, first, OK));
    node.take_output(client);
    node.send_line(client, "QUERY w2 WRITE k e");
    node.receive_from_peer(link, ForwardMessage::Rejected { session, request: first });
    expect_that!(node.take_output(client), starts_with("ERROR INDETERM"));
    let (client, link, session, request) = forward(&mut node, "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d");
    let begun = [&b"COMPLETE -\r\nIDLE T -\r\n"[..], b"COMPLETE stamp-1\r\nIDLE T 3.9\r\n"].concat();
    node.receive_from_peer(link, response(session, request, &begun));
    node.take_output(client);
    node.send_line(client, "QUERY t3 WRITE l d");
    node.receive_from_peer(link, ForwardMessage::Rejected { session, request: request + 1 });
    expect_that!(node.take_output(client), starts_with("ERROR ABORTED"));
    expect_that!(node.statement_count("WRITE"), eq(0), "part of a transaction must not be executed");
}

#[gtest]
fn given_a_rejection_of_the_open_request_then_it_is_executed_here_once() {
    let mut node = TestNode::with_remote_owner();
    let (_, link, session, request) = forward(&mut node, "QUERY w1 WRITE k d");
    node.receive_from_peer(link, ForwardMessage::Rejected { session, request });
    node.receive_from_peer(link, ForwardMessage::Rejected { session, request });
    expect_that!(node.statement_count("QUERY w1 WRITE k d"), eq(1));
}

#[gtest]
fn given_session_values_that_the_owner_rejects_then_later_responses_are_not_trusted() {
    let mut node = TestNode::with_remote_owner();
    let (client, link, session, request) = forward(&mut node, "QUERY a1 ASSIGN zone x\r\nQUERY w1 WRITE k d");
    node.take_output(client);
    node.receive_from_peer(link, response(session, request, b"ERROR OVERSIZE too much\r\nIDLE I -\r\n"));
    node.receive_from_peer(link, response(session, request, OK));
    expect_that!(node.take_output(client), starts_with("ERROR INDETERM"));
}

#[gtest]
fn given_a_truncated_response_then_a_write_has_an_unknown_outcome_and_a_read_is_executed_here() {
    for (query, expected) in [("QUERY w1 WRITE k d", "ERROR INDETERM"), ("QUERY r1 READ k", "")] {
        let mut node = TestNode::with_remote_owner();
        let (client, link, session, request) = forward(&mut node, query);
        node.receive_from_peer(link, response(session, request, b"ROW x\r\nCOMPLETE st"));
        node.core.peer_link_down(link, node.now);
        node.apply_effects();
        expect_that!(node.take_output(client), starts_with(expected));
        expect_that!(node.statement_count("WRITE"), eq(0));
        expect_that!(node.statement_count("BEGIN"), eq(usize::from(expected.is_empty())), "the read is retried here");
    }
}

/// The node under test as the owner, with a session opened by another node.
fn owner() -> (TestNode, u64, ForwardedSessionId) {
    let mut node = TestNode::new();
    let link = node.core.accept_peer_link(node.now);
    let session = ForwardedSessionId { incarnation: NODE_INCARNATION + 1, number: 5 };
    node.receive_from_peer(link, ForwardMessage::Open { session, host: "shop".to_owned(), user: "me".to_owned() });
    (node, link, session)
}

fn write(session: ForwardedSessionId, request: u64, tag: &str) -> ForwardMessage {
    ForwardMessage::Request {
        session,
        request,
        configuration_version: 1,
        lines: format!("QUERY {tag} WRITE k d\r\n").into_bytes(),
    }
}

#[gtest]
fn given_a_duplicate_request_then_the_owner_executes_it_once_while_it_is_open_and_after_it_finished() {
    let (mut node, link, session) = owner();
    node.receive_from_peer(link, ForwardMessage::Open { session, host: "shop".to_owned(), user: "me".to_owned() });
    node.receive_from_peer(link, write(session, 1, "w1"));
    node.receive_from_peer(link, write(session, 1, "w1"));
    let db = node.busy_connection().expect("it was sent");
    node.db_sends(db, "COMPLETE stamp-1\r\nIDLE I 3.9\r\n", 1);
    node.receive_from_peer(link, write(session, 1, "w1"));
    expect_that!(node.statement_count("WRITE"), eq(1));
    expect_that!(node.peer_messages, elements_are![eq(&(link, response(session, 1, OK)))]);
}

#[gtest]
fn given_a_request_out_of_sequence_then_the_owner_closes_the_session_without_executing_it() {
    for requests in [vec![2], vec![1, 2]] {
        let (mut node, link, session) = owner();
        requests
            .iter()
            .for_each(|request| node.receive_from_peer(link, write(session, *request, &format!("w{request}"))));
        expect_that!(node.statement_count("QUERY w2"), eq(0));
        expect_that!(node.peer_messages.last(), some(eq(&(link, ForwardMessage::Close { session }))));
    }
}

#[gtest]
fn given_two_incarnations_with_the_same_session_number_on_one_link_then_each_has_its_own_session() {
    let (mut node, link, session) = owner();
    let other = ForwardedSessionId { incarnation: NODE_INCARNATION + 2, ..session };
    node.receive_from_peer(
        link,
        ForwardMessage::Open { session: other, host: "shop".to_owned(), user: "me".to_owned() },
    );
    node.receive_from_peer(link, write(session, 1, "w1"));
    node.receive_from_peer(link, write(other, 1, "w2"));
    let second = node.sent_statements.iter().find(|(_, line)| line.starts_with("QUERY w2")).map(|(db, _)| *db);
    node.db_sends(second.expect("it was sent"), "COMPLETE stamp-2\r\nIDLE I 3.9\r\n", 1);
    expect_that!(
        node.peer_messages,
        elements_are![eq(&(link, response(other, 1, b"COMPLETE stamp-2\r\nIDLE I 3.9\r\n")))]
    );
}
