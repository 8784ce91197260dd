//! Stories of answers to what was handed over: each finds the ask that it belongs to, or nobody.
mod common;

use common::{TestNode, NODE_INCARNATION};
use googletest::prelude::*;
use wv_internal_protocol::{ForwardMessage, ForwardedSessionId};

const OK: &[u8] = b"COMPLETE stamp-1\r\nIDLE I 3.9\r\n";
const WRONG: &[u8] = b"COMPLETE wrong\r\nIDLE I 3.8\r\n";

fn ret(hand: ForwardedSessionId, ask: u64, bytes: &[u8]) -> ForwardMessage {
    ForwardMessage::Response { session: hand, request: ask, bytes: bytes.to_vec() }
}

/// A write of a client, handed over: the client, and the link, hand and ask it went by.
fn handed(bare: &mut TestNode, query: &str) -> (u64, u64, ForwardedSessionId, u64) {
    let client = bare.connect_client("shop");
    bare.send_line(client, query);
    let (link, hand, ask) = bare.last_forwarded_request();
    (client, link, hand, ask)
}

#[gtest]
fn given_answers_and_ends_of_another_life_or_link_then_what_is_handed_over_under_that_number_goes_on() {
    let mut bare = TestNode::with_remote_owner();
    let (client, link, hand, ask) = handed(&mut bare, "QUERY w1 WRITE k d");
    let (stranger, elsewhere) =
        (ForwardedSessionId { incarnation: NODE_INCARNATION + 1, ..hand }, bare.core.hand_in(bare.now));
    for (by, hand) in [(link, stranger), (elsewhere, hand), (elsewhere, stranger)] {
        bare.receive_from_peer(by, ret(hand, ask, WRONG));
        bare.receive_from_peer(by, ForwardMessage::Rejected { session: hand, request: ask });
        // A node that hands over here may use the same number: its end is not this one's.
        bare.receive_from_peer(by, ForwardMessage::Close { session: hand });
    }
    expect_that!(bare.take_output(client), eq(""));
    bare.receive_from_peer(link, ret(hand, ask, OK));
    expect_that!(bare.take_output(client), eq("COMPLETE stamp-1\r\nIDLE I 3.9\r\n"));
    expect_that!(bare.statement_count("WRITE"), eq(0), "nothing was done here as well");
}

#[gtest]
fn given_a_second_answer_then_it_is_not_taken_for_that_to_the_next_ask() {
    let mut bare = TestNode::with_remote_owner();
    let (client, link, hand, first) = handed(&mut bare, "QUERY w1 WRITE k d");
    bare.receive_from_peer(link, ret(hand, first, OK));
    bare.take_output(client);
    bare.send_line(client, "QUERY w2 WRITE k e");
    let (_, next, second) = bare.last_forwarded_request();
    expect_that!((next, second > first), eq((hand, true)));
    bare.receive_from_peer(link, ret(hand, first, WRONG));
    expect_that!(bare.take_output(client), eq(""));
    bare.receive_from_peer(link, ret(hand, second, OK));
    expect_that!(bare.take_output(client), starts_with("COMPLETE stamp-1"));
}

#[gtest]
fn given_an_answer_without_a_question_or_more_than_was_asked_then_the_hand_ends_and_nothing_is_promised() {
    for (ask, bytes) in [(2, OK), (1, &[OK, WRONG].concat()[..]), (1, &[OK, b"COMP"].concat()[..])] {
        let mut bare = TestNode::with_remote_owner();
        let (client, link, hand, _) = handed(&mut bare, "QUERY w1 WRITE k d");
        bare.receive_from_peer(link, ret(hand, ask, bytes));
        expect_that!(bare.take_output(client), starts_with("ERROR INDETERM"));
        expect_that!(bare.peer_messages.last(), some(eq(&(link, ForwardMessage::Close { session: hand }))));
        expect_that!(bare.statement_count("WRITE"), eq(0));
    }
}

#[gtest]
fn given_a_refusal_of_an_earlier_ask_or_in_the_middle_of_a_transaction_then_nothing_is_begun_again_here() {
    let mut bare = TestNode::with_remote_owner();
    let (client, link, hand, first) = handed(&mut bare, "QUERY w1 WRITE k d");
    bare.receive_from_peer(link, ret(hand, first, OK));
    bare.take_output(client);
    bare.send_line(client, "QUERY w2 WRITE k e");
    bare.receive_from_peer(link, ForwardMessage::Rejected { session: hand, request: first });
    expect_that!(bare.take_output(client), starts_with("ERROR INDETERM"));
    let (client, link, hand, ask) = handed(&mut bare, "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d");
    let begun = [&b"COMPLETE -\r\nIDLE T -\r\n"[..], b"COMPLETE stamp-1\r\nIDLE T 3.9\r\n"].concat();
    bare.receive_from_peer(link, ret(hand, ask, &begun));
    bare.take_output(client);
    bare.send_line(client, "QUERY t3 WRITE l d");
    bare.receive_from_peer(link, ForwardMessage::Rejected { session: hand, request: ask + 1 });
    expect_that!(bare.take_output(client), starts_with("ERROR ABORTED"));
    expect_that!(bare.statement_count("WRITE"), eq(0), "half a transaction is none");
}

#[gtest]
fn given_a_refusal_of_the_open_ask_then_it_is_done_here_once() {
    let mut bare = TestNode::with_remote_owner();
    let (_, link, hand, ask) = handed(&mut bare, "QUERY w1 WRITE k d");
    bare.receive_from_peer(link, ForwardMessage::Rejected { session: hand, request: ask });
    bare.receive_from_peer(link, ForwardMessage::Rejected { session: hand, request: ask });
    expect_that!(bare.statement_count("QUERY w1 WRITE k d"), eq(1));
}

#[gtest]
fn given_values_that_the_owner_did_not_take_then_nothing_that_follows_is_believed() {
    let mut bare = TestNode::with_remote_owner();
    let (client, link, hand, ask) = handed(&mut bare, "QUERY a1 ASSIGN zone x\r\nQUERY w1 WRITE k d");
    bare.take_output(client);
    bare.receive_from_peer(link, ret(hand, ask, b"ERROR OVERSIZE too much\r\nIDLE I -\r\n"));
    bare.receive_from_peer(link, ret(hand, ask, OK));
    expect_that!(bare.take_output(client), starts_with("ERROR INDETERM"));
}

#[gtest]
fn given_a_torn_answer_then_a_write_is_unclear_and_a_read_is_done_here() {
    for (query, told) in [("QUERY w1 WRITE k d", "ERROR INDETERM"), ("QUERY r1 READ k", "")] {
        let mut bare = TestNode::with_remote_owner();
        let (client, link, hand, ask) = handed(&mut bare, query);
        bare.receive_from_peer(link, ret(hand, ask, b"ROW x\r\nCOMPLETE st"));
        bare.core.peer_link_down(link, bare.now);
        bare.apply_effects();
        expect_that!(bare.take_output(client), starts_with(told));
        expect_that!(bare.statement_count("WRITE"), eq(0));
        expect_that!(bare.statement_count("BEGIN"), eq(usize::from(told.is_empty())), "a read begins anew");
    }
}

/// The same node as the owner, with another one's link.
fn owner() -> (TestNode, u64, ForwardedSessionId) {
    let mut bare = TestNode::new();
    let link = bare.core.hand_in(bare.now);
    let hand = ForwardedSessionId { incarnation: NODE_INCARNATION + 1, number: 5 };
    bare.receive_from_peer(
        link,
        ForwardMessage::Open { session: hand, host: "shop".to_owned(), user: "me".to_owned() },
    );
    (bare, link, hand)
}

fn write(hand: ForwardedSessionId, ask: u64, tag: &str) -> ForwardMessage {
    ForwardMessage::Request { session: hand, request: ask, lines: format!("QUERY {tag} WRITE k d\r\n").into_bytes() }
}

#[gtest]
fn given_an_ask_that_comes_twice_then_the_owner_runs_it_once_while_it_is_open_and_after() {
    let (mut bare, link, hand) = owner();
    bare.receive_from_peer(
        link,
        ForwardMessage::Open { session: hand, host: "shop".to_owned(), user: "me".to_owned() },
    );
    bare.receive_from_peer(link, write(hand, 1, "w1"));
    bare.receive_from_peer(link, write(hand, 1, "w1"));
    let db = bare.busy_connection().expect("it was sent");
    bare.db_sends(db, "COMPLETE stamp-1\r\nIDLE I 3.9\r\n", 1);
    bare.receive_from_peer(link, write(hand, 1, "w1"));
    expect_that!(bare.statement_count("WRITE"), eq(1));
    expect_that!(bare.peer_messages, elements_are![eq(&(link, ret(hand, 1, OK)))]);
}

#[gtest]
fn given_an_ask_out_of_turn_then_the_owner_ends_the_session_and_runs_it_never() {
    for asks in [vec![2], vec![1, 2]] {
        let (mut bare, link, hand) = owner();
        asks.iter().for_each(|ask| bare.receive_from_peer(link, write(hand, *ask, &format!("w{ask}"))));
        expect_that!(bare.statement_count("QUERY w2"), eq(0));
        expect_that!(bare.peer_messages.last(), some(eq(&(link, ForwardMessage::Close { session: hand }))));
    }
}

#[gtest]
fn given_two_nodes_with_one_hand_number_on_one_link_then_each_has_its_own_session() {
    let (mut bare, link, hand) = owner();
    let other = ForwardedSessionId { incarnation: NODE_INCARNATION + 2, ..hand };
    bare.receive_from_peer(
        link,
        ForwardMessage::Open { session: other, host: "shop".to_owned(), user: "me".to_owned() },
    );
    bare.receive_from_peer(link, write(hand, 1, "w1"));
    bare.receive_from_peer(link, write(other, 1, "w2"));
    let second = bare.sent_statements.iter().find(|(_, line)| line.starts_with("QUERY w2")).map(|(db, _)| *db);
    bare.db_sends(second.expect("it was sent"), "COMPLETE stamp-2\r\nIDLE I 3.9\r\n", 1);
    expect_that!(bare.peer_messages, elements_are![eq(&(link, ret(other, 1, b"COMPLETE stamp-2\r\nIDLE I 3.9\r\n")))]);
}
