//! Stories of one control node among three, whose peers answer when the story says so.
mod single_node;

use googletest::prelude::*;
use single_node::{is_ping, reply, Node, MS, REQUESTER_ID, S};
use wv_internal_protocol::Message;

const BEAT: &str = r#"{"destination":"s","address":"10.9.0.1:1","state":"in_service","sequence":9}"#;
const DRAIN: &str = r#"{"destination":"s","address":"10.9.0.1:1","state":"draining","sequence":10}"#;

#[gtest]
fn given_answers_that_are_read_long_after_they_were_asked_for_then_they_are_no_contact() {
    let mut node = Node::new();
    node.run_answering(2 * S);
    expect_that!((node.core.is_fresh(), node.core.is_caught_up()), eq((true, true)));
    // A last round of pings goes out, and the process stands still; then it reads the answers first of all.
    node.run(500 * MS);
    let late = node.take_sent(is_ping);
    assert_that!(late.len(), ge(2));
    node.now += 20 * S;
    for (from, msg) in &late {
        node.receive(from, reply(msg).expect("a pong"));
    }
    expect_that!((node.core.is_fresh(), node.core.is_caught_up()), eq((false, false)));
    expect_that!(node.call("PUT", "/configuration", "{\"issue\":7,\"routing\":[],\"services\":[]}"), some(eq(503)));
    expect_that!(node.call("PUT", "/instances/i-1", BEAT), some(eq(503)));
}

#[gtest]
fn given_an_answer_on_its_way_for_a_while_then_contact_lasts_from_when_it_was_asked_for() {
    let mut node = Node::new();
    node.run_answering(2 * S);
    let (asked, late) = node.next_pings();
    node.run(600 * MS);
    for (from, msg) in &late {
        node.receive(from, reply(msg).expect("a pong"));
    }
    expect_that!(node.core.is_fresh(), eq(true));
    node.now = asked + 1300 * MS - 1;
    node.core.wake(node.now);
    expect_that!(node.core.is_fresh(), eq(true));
    node.now += 1;
    node.core.wake(node.now);
    expect_that!(node.core.is_fresh(), eq(false));
}

#[gtest]
fn given_answers_to_another_life_under_the_same_numbers_then_they_are_no_contact() {
    let mut node = Node::new();
    node.run(500 * MS);
    for (from, msg) in node.take_sent(is_ping) {
        let Some(Message::Pong { request, version: conf, disk, voter_set: set, sealed_set: sealed, ready, .. }) =
            reply(&msg)
        else {
            continue;
        };
        node.receive(
            &from,
            Message::Pong {
                requester: REQUESTER_ID + 1,
                request,
                version: conf,
                disk,
                voter_set: set,
                sealed_set: sealed,
                ready,
            },
        );
    }
    expect_that!(node.core.is_fresh(), eq(false));
    node.run_answering(500 * MS);
    expect_that!(node.core.is_fresh(), eq(true));
}

#[gtest]
fn given_a_read_begun_before_contact_was_lost_that_ends_after_it_came_back_then_it_is_no_catching_up() {
    let mut node = Node::new();
    node.run_answering(2 * S);
    // One voter answers a ping at once, the other one so late that contact is near its end: it holds something newer.
    let (asked, mut pings) = node.next_pings();
    let late = pings.pop().expect("two voters");
    node.receive(&pings[0].0, reply(&pings[0].1).expect("a pong"));
    node.run(asked + 1200 * MS - node.now);
    let Some(Message::Pong { requester: asker, request, disk, voter_set: set, sealed_set: sealed, ready, .. }) =
        reply(&late.1)
    else {
        return;
    };
    node.receive(
        &late.0,
        Message::Pong { requester: asker, request, version: 9, disk, voter_set: set, sealed_set: sealed, ready },
    );
    expect_that!(node.core.is_caught_up(), eq(true));
    let is_look = |msg: &Message| matches!(msg, Message::RegisterRequest { key, .. } if key == "conf");
    let looks = node.take_sent(is_look);
    assert_that!(looks.len(), ge(1));
    node.run(100 * MS);
    expect_that!((node.core.is_fresh(), node.core.is_caught_up()), eq((false, false)));
    // Contact comes back, and with it the end of that read.
    let (_, pings) = node.next_pings();
    node.receive(&pings[0].0, reply(&pings[0].1).expect("a pong"));
    expect_that!(node.core.is_fresh(), eq(true));
    node.answer(|msg| matches!(msg, Message::Resync { .. }));
    for (from, msg) in &looks {
        node.receive(from, reply(msg).expect("a vote"));
    }
    expect_that!((node.core.is_fresh(), node.core.is_caught_up()), eq((true, false)));
    node.run_answering(300 * MS);
    expect_that!(node.core.is_caught_up(), eq(true));
}

#[gtest]
fn given_voters_that_do_not_tell_what_they_hold_in_memory_then_this_node_has_not_caught_up() {
    let mut node = Node::new();
    for _ in 0..20 {
        node.run(100 * MS);
        (0..6).for_each(|_| node.answer(|msg| !matches!(msg, Message::Resync { .. })));
    }
    expect_that!((node.core.is_fresh(), node.core.is_caught_up()), eq((true, false)));
    // An answer to an earlier spell's question is none.
    let recap = node.take_sent(|msg| matches!(msg, Message::Resync { .. })).pop();
    let Some((from, Message::Resync { requester: asker, request, .. })) = recap else {
        return expect_that!(true, eq(false));
    };
    node.receive(&from, Message::ResyncDone { requester: asker, request: request - 1 });
    node.receive(&from, Message::ResyncDone { requester: asker + 1, request });
    expect_that!(node.core.is_caught_up(), eq(false));
    node.receive(&from, Message::ResyncDone { requester: asker, request });
    expect_that!(node.core.is_caught_up(), eq(true));
}

#[gtest]
fn given_leaves_then_they_are_acknowledged_once_a_majority_holds_them_each_time() {
    let mut node = Node::new();
    node.run_answering(2 * S);
    expect_that!(node.call("PUT", "/instances/i-1", BEAT), some(eq(200)));
    // Nobody answers: not in the second that the database waits, nor when it asks this node again.
    for _ in 0..2 {
        expect_that!(node.call("PUT", "/instances/i-1", DRAIN), none());
        node.take_sent(|msg| matches!(msg, Message::Instance { .. }));
        (0..9).for_each(|_| {
            node.run(100 * MS);
            node.answer(is_ping);
        });
        expect_that!(node.responses.values().filter(|status| **status == 503).count(), ge(1));
    }
    expect_that!(node.responses.values().filter(|status| **status == 503).count(), eq(2));
    // One of the other two holds it: with this node a majority, and as many as may be lost besides.
    let token_before = node.responses.len();
    expect_that!(node.call("PUT", "/instances/i-1", DRAIN), none());
    let told = node.take_sent(|msg| matches!(msg, Message::Instance { .. }));
    node.receive(&told[0].0, reply(&told[0].1).expect("held"));
    expect_that!(node.responses.len(), eq(token_before + 1));
    expect_that!(node.responses.values().last(), some(eq(&200)));
    // From then on its beats are ordinary.
    expect_that!(node.call("PUT", "/instances/i-1", DRAIN), some(eq(200)));
    // A database that this node never heard of may be known elsewhere.
    expect_that!(node.call("DELETE", "/instances/i-2", ""), none());
    expect_that!(
        node.take_sent(|msg| matches!(msg, Message::Instance { instance: inst, .. } if inst.gone && inst.id == "i-2")),
        not(is_empty())
    );
}

#[gtest]
fn given_a_set_too_small_for_what_may_be_lost_then_leaves_want_as_many_others_as_there_are() {
    let mut node = Node::with_tolerance(2);
    node.run_answering(2 * S);
    expect_that!(node.call("PUT", "/instances/i-1", DRAIN), none());
    let told = node.take_sent(|msg| matches!(msg, Message::Instance { .. }));
    node.receive(&told[0].0, reply(&told[0].1).expect("held"));
    expect_that!(node.responses.values().collect::<Vec<_>>(), is_empty());
    node.receive(&told[1].0, reply(&told[1].1).expect("held"));
    expect_that!(node.responses.values().collect::<Vec<_>>(), elements_are![eq(&&200)]);
}

#[gtest]
fn given_contact_that_ends_then_followers_hear_so_at_the_next_turn_and_nothing_after_it() {
    let mut node = Node::new();
    node.run_answering(2 * S);
    node.subscribe();
    let is_to_follower = |node: &mut Node| -> Vec<Message> {
        let (told, rest) = std::mem::take(&mut node.sent).into_iter().partition(|(to, _)| to == "a0");
        node.sent = rest;
        let told: Vec<(String, Message)> = told;
        told.into_iter().map(|(_, msg)| msg).collect()
    };
    expect_that!(is_to_follower(&mut node).iter().any(|msg| matches!(msg, Message::Snapshot { .. })), eq(true));
    let (asked, pings) = node.next_pings();
    for (from, msg) in &pings {
        node.receive(from, reply(msg).expect("a pong"));
    }
    node.run(asked + 1200 * MS - node.now);
    let before = is_to_follower(&mut node);
    expect_that!(before.iter().any(|msg| matches!(msg, Message::ControlHeartbeat { has_majority: false })), eq(false));
    node.run(100 * MS);
    expect_that!(is_to_follower(&mut node), contains(eq(&Message::ControlHeartbeat { has_majority: false })));
    // What databases say is known here on, and told to no follower.
    node.call("PUT", "/instances/i-7", BEAT);
    let after = is_to_follower(&mut node);
    expect_that!(after.iter().any(|msg| matches!(msg, Message::Update { .. } | Message::Snapshot { .. })), eq(false));
}

#[gtest]
fn given_voters_that_are_sealed_for_a_successor_then_they_are_contact_and_those_of_no_set_are_none() {
    for (sealed, is_contact) in [(1, true), (0, false)] {
        let mut node = Node::new();
        node.run_answering(2 * S);
        for _ in 0..30 {
            node.run(100 * MS);
            for (from, msg) in node.take_sent(is_ping) {
                let Some(Message::Pong { requester: asker, request, version: conf, disk, ready, .. }) = reply(&msg)
                else {
                    continue;
                };
                node.receive(
                    &from,
                    Message::Pong {
                        requester: asker,
                        request,
                        version: conf,
                        disk,
                        voter_set: 0,
                        sealed_set: sealed,
                        ready,
                    },
                );
            }
        }
        expect_that!((node.core.is_fresh(), node.core.is_caught_up()), eq((is_contact, is_contact)));
    }
}
