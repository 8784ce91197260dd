//! Stories of answers to what was handed over: each finds the ask that it belongs to, or nobody.
mod common;

use common::{Bare, LIFE};
use googletest::prelude::*;
use wv_internal_protocol::{ForwardMessage, ForwardedSessionId};

const OK: &[u8] = b"COMPLETE stamp-1\r\nIDLE I 3.9\r\n";
const WRONG: &[u8] = b"COMPLETE wrong\r\nIDLE I 3.8\r\n";

fn ret(hand: ForwardedSessionId, ask: u64, bytes: &[u8]) -> ForwardMessage {
    ForwardMessage::Response { session: hand, request: ask, bytes: bytes.to_vec() }
}

/// A write of a client, handed over: the client, and the link, hand and ask it went by.
fn handed(bare: &mut Bare, query: &str) -> (u64, u64, ForwardedSessionId, u64) {
    let client = bare.client("shop");
    bare.say(client, query);
    let (link, hand, ask) = bare.asked();
    (client, link, hand, ask)
}

#[gtest]
fn given_answers_and_ends_of_another_life_or_link_then_what_is_handed_over_under_that_number_goes_on() {
    let mut bare = Bare::partner();
    let (client, link, hand, ask) = handed(&mut bare, "QUERY w1 WRITE k d");
    let (stranger, elsewhere) =
        (ForwardedSessionId { incarnation: LIFE + 1, ..hand }, bare.core.accept_peer_link(bare.now));
    for (by, hand) in [(link, stranger), (elsewhere, hand), (elsewhere, stranger)] {
        bare.hand(by, ret(hand, ask, WRONG));
        bare.hand(by, ForwardMessage::Rejected { session: hand, request: ask });
        // A node that hands over here may use the same number: its end is not this one's.
        bare.hand(by, ForwardMessage::Close { session: hand });
    }
    expect_that!(bare.heard(client), eq(""));
    bare.hand(link, ret(hand, ask, OK));
    expect_that!(bare.heard(client), eq("COMPLETE stamp-1\r\nIDLE I 3.9\r\n"));
    expect_that!(bare.count("WRITE"), eq(0), "nothing was done here as well");
}

#[gtest]
fn given_a_second_answer_then_it_is_not_taken_for_that_to_the_next_ask() {
    let mut bare = Bare::partner();
    let (client, link, hand, first) = handed(&mut bare, "QUERY w1 WRITE k d");
    bare.hand(link, ret(hand, first, OK));
    bare.heard(client);
    bare.say(client, "QUERY w2 WRITE k e");
    let (_, next, second) = bare.asked();
    expect_that!((next, second > first), eq((hand, true)));
    bare.hand(link, ret(hand, first, WRONG));
    expect_that!(bare.heard(client), eq(""));
    bare.hand(link, ret(hand, second, OK));
    expect_that!(bare.heard(client), starts_with("COMPLETE stamp-1"));
}

#[gtest]
fn given_an_answer_without_a_question_or_more_than_was_asked_then_the_hand_ends_and_nothing_is_promised() {
    for (ask, bytes) in [(2, OK), (1, &[OK, WRONG].concat()[..]), (1, &[OK, b"COMP"].concat()[..])] {
        let mut bare = Bare::partner();
        let (client, link, hand, _) = handed(&mut bare, "QUERY w1 WRITE k d");
        bare.hand(link, ret(hand, ask, bytes));
        expect_that!(bare.heard(client), starts_with("ERROR INDETERM"));
        expect_that!(bare.hands.last(), some(eq(&(link, ForwardMessage::Close { session: hand }))));
        expect_that!(bare.count("WRITE"), eq(0));
    }
}

#[gtest]
fn given_a_refusal_of_an_earlier_ask_or_in_the_middle_of_a_transaction_then_nothing_is_begun_again_here() {
    let mut bare = Bare::partner();
    let (client, link, hand, first) = handed(&mut bare, "QUERY w1 WRITE k d");
    bare.hand(link, ret(hand, first, OK));
    bare.heard(client);
    bare.say(client, "QUERY w2 WRITE k e");
    bare.hand(link, ForwardMessage::Rejected { session: hand, request: first });
    expect_that!(bare.heard(client), starts_with("ERROR INDETERM"));
    let (client, link, hand, ask) = handed(&mut bare, "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d");
    let begun = [&b"COMPLETE -\r\nIDLE T -\r\n"[..], b"COMPLETE stamp-1\r\nIDLE T 3.9\r\n"].concat();
    bare.hand(link, ret(hand, ask, &begun));
    bare.heard(client);
    bare.say(client, "QUERY t3 WRITE l d");
    bare.hand(link, ForwardMessage::Rejected { session: hand, request: ask + 1 });
    expect_that!(bare.heard(client), starts_with("ERROR ABORTED"));
    expect_that!(bare.count("WRITE"), eq(0), "half a transaction is none");
}

#[gtest]
fn given_a_refusal_of_the_open_ask_then_it_is_done_here_once() {
    let mut bare = Bare::partner();
    let (_, link, hand, ask) = handed(&mut bare, "QUERY w1 WRITE k d");
    bare.hand(link, ForwardMessage::Rejected { session: hand, request: ask });
    bare.hand(link, ForwardMessage::Rejected { session: hand, request: ask });
    expect_that!(bare.count("QUERY w1 WRITE k d"), eq(1));
}

#[gtest]
fn given_values_that_the_owner_did_not_take_then_nothing_that_follows_is_believed() {
    let mut bare = Bare::partner();
    let (client, link, hand, ask) = handed(&mut bare, "QUERY a1 ASSIGN zone x\r\nQUERY w1 WRITE k d");
    bare.heard(client);
    bare.hand(link, ret(hand, ask, b"ERROR OVERSIZE too much\r\nIDLE I -\r\n"));
    bare.hand(link, ret(hand, ask, OK));
    expect_that!(bare.heard(client), starts_with("ERROR INDETERM"));
}

#[gtest]
fn given_a_torn_answer_then_a_write_is_unclear_and_a_read_is_done_here() {
    for (query, told) in [("QUERY w1 WRITE k d", "ERROR INDETERM"), ("QUERY r1 READ k", "")] {
        let mut bare = Bare::partner();
        let (client, link, hand, ask) = handed(&mut bare, query);
        bare.hand(link, ret(hand, ask, b"ROW x\r\nCOMPLETE st"));
        bare.core.hand_down(link, bare.now);
        bare.obey();
        expect_that!(bare.heard(client), starts_with(told));
        expect_that!(bare.count("WRITE"), eq(0));
        expect_that!(bare.count("BEGIN"), eq(usize::from(told.is_empty())), "a read begins anew");
    }
}

/// The same node as the owner, with another one's link.
fn owner() -> (Bare, u64, ForwardedSessionId) {
    let mut bare = Bare::new();
    let link = bare.core.accept_peer_link(bare.now);
    let hand = ForwardedSessionId { incarnation: LIFE + 1, number: 5 };
    bare.hand(link, ForwardMessage::Open { session: hand, host: "shop".to_owned(), user: "me".to_owned() });
    (bare, link, hand)
}

fn write(hand: ForwardedSessionId, ask: u64, tag: &str) -> ForwardMessage {
    ForwardMessage::Request { session: hand, request: ask, lines: format!("QUERY {tag} WRITE k d\r\n").into_bytes() }
}

#[gtest]
fn given_an_ask_that_comes_twice_then_the_owner_runs_it_once_while_it_is_open_and_after() {
    let (mut bare, link, hand) = owner();
    bare.hand(link, ForwardMessage::Open { session: hand, host: "shop".to_owned(), user: "me".to_owned() });
    bare.hand(link, write(hand, 1, "w1"));
    bare.hand(link, write(hand, 1, "w1"));
    let db = bare.busy().expect("it was sent");
    bare.db_says(db, "COMPLETE stamp-1\r\nIDLE I 3.9\r\n", 1);
    bare.hand(link, write(hand, 1, "w1"));
    expect_that!(bare.count("WRITE"), eq(1));
    expect_that!(bare.hands, elements_are![eq(&(link, ret(hand, 1, OK)))]);
}

#[gtest]
fn given_an_ask_out_of_turn_then_the_owner_ends_the_session_and_runs_it_never() {
    for asks in [vec![2], vec![1, 2]] {
        let (mut bare, link, hand) = owner();
        asks.iter().for_each(|ask| bare.hand(link, write(hand, *ask, &format!("w{ask}"))));
        expect_that!(bare.count("QUERY w2"), eq(0));
        expect_that!(bare.hands.last(), some(eq(&(link, ForwardMessage::Close { session: hand }))));
    }
}

#[gtest]
fn given_two_nodes_with_one_hand_number_on_one_link_then_each_has_its_own_session() {
    let (mut bare, link, hand) = owner();
    let other = ForwardedSessionId { incarnation: LIFE + 2, ..hand };
    bare.hand(link, ForwardMessage::Open { session: other, host: "shop".to_owned(), user: "me".to_owned() });
    bare.hand(link, write(hand, 1, "w1"));
    bare.hand(link, write(other, 1, "w2"));
    let second = bare.ran.iter().find(|(_, line)| line.starts_with("QUERY w2")).map(|(db, _)| *db);
    bare.db_says(second.expect("it was sent"), "COMPLETE stamp-2\r\nIDLE I 3.9\r\n", 1);
    expect_that!(bare.hands, elements_are![eq(&(link, ret(other, 1, b"COMPLETE stamp-2\r\nIDLE I 3.9\r\n")))]);
}
