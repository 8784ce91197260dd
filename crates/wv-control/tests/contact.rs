//! Contact with a majority, catch-up and leave acknowledgements of one control node among three, with scripted peers.
mod single_node;

use googletest::prelude::*;
use single_node::{is_ping, reply, Node, MS, REQUESTER_ID, S};
use wv_internal_protocol::Message;

const BEAT: &str = r#"{"destination":"s","address":"10.9.0.1:1","state":"in_service","sequence":9}"#;
const DRAIN: &str = r#"{"destination":"s","address":"10.9.0.1:1","state":"draining","sequence":10}"#;

#[gtest]
fn given_pongs_read_after_a_process_stall_then_they_do_not_establish_contact() {
    let mut node = Node::new();
    node.run_answering(2 * S);
    expect_that!((node.core.has_majority(), node.core.is_caught_up()), eq((true, true)));
    // The process stalls after a last round of pings, and then handles the pongs before anything else.
    node.run(500 * MS);
    let late = node.take_sent(is_ping);
    assert_that!(late.len(), ge(2));
    node.now += 20 * S;
    for (from, message) in &late {
        node.receive(from, reply(message).expect("a pong"));
    }
    expect_that!((node.core.has_majority(), node.core.is_caught_up()), eq((false, false)));
    expect_that!(node.call("PUT", "/configuration", "{\"issue\":7,\"routing\":[],\"services\":[]}"), some(eq(503)));
    expect_that!(node.call("PUT", "/instances/i-1", BEAT), some(eq(503)));
}

#[gtest]
fn given_a_delayed_pong_then_contact_is_timed_from_when_the_ping_was_sent() {
    let mut node = Node::new();
    node.run_answering(2 * S);
    let (sent_at, late) = node.next_pings();
    node.run(600 * MS);
    for (from, message) in &late {
        node.receive(from, reply(message).expect("a pong"));
    }
    expect_that!(node.core.has_majority(), eq(true));
    node.now = sent_at + 1300 * MS - 1;
    node.core.wake(node.now);
    expect_that!(node.core.has_majority(), eq(true));
    node.now += 1;
    node.core.wake(node.now);
    expect_that!(node.core.has_majority(), eq(false));
}

#[gtest]
fn given_pongs_for_another_incarnation_with_the_same_request_numbers_then_they_do_not_establish_contact() {
    let mut node = Node::new();
    node.run(500 * MS);
    for (from, message) in node.take_sent(is_ping) {
        let Some(Message::Pong { request, version, disk, voter_set, sealed_set, ready, .. }) = reply(&message) else {
            continue;
        };
        node.receive(
            &from,
            Message::Pong { requester: REQUESTER_ID + 1, request, version, disk, voter_set, sealed_set, ready },
        );
    }
    expect_that!(node.core.has_majority(), eq(false));
    node.run_answering(500 * MS);
    expect_that!(node.core.has_majority(), eq(true));
}

#[gtest]
fn given_a_read_started_before_contact_was_lost_that_ends_after_it_returned_then_it_does_not_complete_catch_up() {
    let mut node = Node::new();
    node.run_answering(2 * S);
    // One voter answers at once, the other just before contact expires, reporting a newer configuration.
    let (sent_at, mut pings) = node.next_pings();
    let late = pings.pop().expect("two voters");
    node.receive(&pings[0].0, reply(&pings[0].1).expect("a pong"));
    node.run(sent_at + 1200 * MS - node.now);
    let Some(Message::Pong { requester, request, disk, voter_set, sealed_set, ready, .. }) = reply(&late.1) else {
        return;
    };
    node.receive(&late.0, Message::Pong { requester, request, version: 9, disk, voter_set, sealed_set, ready });
    expect_that!(node.core.is_caught_up(), eq(true));
    let is_configuration_read =
        |message: &Message| matches!(message, Message::RegisterRequest { key, .. } if key == "conf");
    let reads = node.take_sent(is_configuration_read);
    assert_that!(reads.len(), ge(1));
    node.run(100 * MS);
    expect_that!((node.core.has_majority(), node.core.is_caught_up()), eq((false, false)));
    // Contact is established again, and the replies to the old read arrive.
    let (_, pings) = node.next_pings();
    node.receive(&pings[0].0, reply(&pings[0].1).expect("a pong"));
    expect_that!(node.core.has_majority(), eq(true));
    node.answer(|message| matches!(message, Message::Resync { .. }));
    for (from, message) in &reads {
        node.receive(from, reply(message).expect("a vote"));
    }
    expect_that!((node.core.has_majority(), node.core.is_caught_up()), eq((true, false)));
    node.run_answering(300 * MS);
    expect_that!(node.core.is_caught_up(), eq(true));
}

#[gtest]
fn given_voters_that_do_not_answer_a_resync_then_this_node_has_not_caught_up() {
    let mut node = Node::new();
    for _ in 0..20 {
        node.run(100 * MS);
        (0..6).for_each(|_| node.answer(|message| !matches!(message, Message::Resync { .. })));
    }
    expect_that!((node.core.has_majority(), node.core.is_caught_up()), eq((true, false)));
    // Replies to another request or another incarnation are ignored.
    let resync = node.take_sent(|message| matches!(message, Message::Resync { .. })).pop();
    let Some((from, Message::Resync { requester, request, .. })) = resync else {
        return expect_that!(true, eq(false));
    };
    node.receive(&from, Message::ResyncDone { requester, request: request - 1 });
    node.receive(&from, Message::ResyncDone { requester: requester + 1, request });
    expect_that!(node.core.is_caught_up(), eq(false));
    node.receive(&from, Message::ResyncDone { requester, request });
    expect_that!(node.core.is_caught_up(), eq(true));
}

#[gtest]
fn given_a_leave_then_it_is_acknowledged_once_a_majority_holds_it() {
    let mut node = Node::new();
    node.run_answering(2 * S);
    expect_that!(node.call("PUT", "/instances/i-1", BEAT), some(eq(200)));
    // No peer acknowledges the leave before the call times out, neither at first nor when the database retries.
    for _ in 0..2 {
        expect_that!(node.call("PUT", "/instances/i-1", DRAIN), none());
        node.take_sent(|message| matches!(message, Message::Instance { .. }));
        (0..9).for_each(|_| {
            node.run(100 * MS);
            node.answer(is_ping);
        });
        expect_that!(node.responses.values().filter(|status| **status == 503).count(), ge(1));
    }
    expect_that!(node.responses.values().filter(|status| **status == 503).count(), eq(2));
    // One other node holds it: a majority together with this node, and as many others as may fail.
    let returns_before = node.responses.len();
    expect_that!(node.call("PUT", "/instances/i-1", DRAIN), none());
    let sent = node.take_sent(|message| matches!(message, Message::Instance { .. }));
    node.receive(&sent[0].0, reply(&sent[0].1).expect("held"));
    expect_that!(node.responses.len(), eq(returns_before + 1));
    expect_that!(node.responses.values().last(), some(eq(&200)));
    // Later heartbeats are answered at once.
    expect_that!(node.call("PUT", "/instances/i-1", DRAIN), some(eq(200)));
    // A leave of an unknown database is forwarded, since other nodes may know it.
    expect_that!(node.call("DELETE", "/instances/i-2", ""), none());
    expect_that!(
        node.take_sent(
            |message| matches!(message, Message::Instance { instance, .. } if instance.gone && instance.id == "i-2")
        ),
        not(is_empty())
    );
}

#[gtest]
fn given_a_fault_tolerance_of_two_among_three_nodes_then_a_leave_needs_both_other_nodes() {
    let mut node = Node::with_tolerance(2);
    node.run_answering(2 * S);
    expect_that!(node.call("PUT", "/instances/i-1", DRAIN), none());
    let sent = node.take_sent(|message| matches!(message, Message::Instance { .. }));
    node.receive(&sent[0].0, reply(&sent[0].1).expect("held"));
    expect_that!(node.responses.values().collect::<Vec<_>>(), is_empty());
    node.receive(&sent[1].0, reply(&sent[1].1).expect("held"));
    expect_that!(node.responses.values().collect::<Vec<_>>(), elements_are![eq(&&200)]);
}

#[gtest]
fn given_lost_contact_then_followers_are_notified_at_the_next_tick_and_receive_no_more_updates() {
    let mut node = Node::new();
    node.run_answering(2 * S);
    node.subscribe();
    let sent_to_follower = |node: &mut Node| -> Vec<Message> {
        let (sent, rest) = std::mem::take(&mut node.sent).into_iter().partition(|(to, _)| to == "a0");
        node.sent = rest;
        let sent: Vec<(String, Message)> = sent;
        sent.into_iter().map(|(_, message)| message).collect()
    };
    expect_that!(
        sent_to_follower(&mut node).iter().any(|message| matches!(message, Message::Snapshot { .. })),
        eq(true)
    );
    let (sent_at, pings) = node.next_pings();
    for (from, message) in &pings {
        node.receive(from, reply(message).expect("a pong"));
    }
    node.run(sent_at + 1200 * MS - node.now);
    let before = sent_to_follower(&mut node);
    expect_that!(
        before.iter().any(|message| matches!(message, Message::ControlHeartbeat { has_majority: false })),
        eq(false)
    );
    node.run(100 * MS);
    expect_that!(sent_to_follower(&mut node), contains(eq(&Message::ControlHeartbeat { has_majority: false })));
    // Heartbeats of databases are still recorded, but not published to followers.
    node.call("PUT", "/instances/i-7", BEAT);
    let after = sent_to_follower(&mut node);
    expect_that!(
        after.iter().any(|message| matches!(message, Message::Update { .. } | Message::Snapshot { .. })),
        eq(false)
    );
}

#[gtest]
fn given_voters_sealed_for_a_successor_then_they_count_as_contact_and_those_of_no_set_do_not() {
    for (sealed, is_contact) in [(1, true), (0, false)] {
        let mut node = Node::new();
        node.run_answering(2 * S);
        for _ in 0..30 {
            node.run(100 * MS);
            for (from, message) in node.take_sent(is_ping) {
                let Some(Message::Pong { requester, request, version, disk, ready, .. }) = reply(&message) else {
                    continue;
                };
                node.receive(
                    &from,
                    Message::Pong { requester, request, version, disk, voter_set: 0, sealed_set: sealed, ready },
                );
            }
        }
        expect_that!((node.core.has_majority(), node.core.is_caught_up()), eq((is_contact, is_contact)));
    }
}
