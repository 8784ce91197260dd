//! Stories of how old a leave is, as one control node tells it on: never younger than it may be.
#[allow(dead_code)]
mod single_node;

use googletest::prelude::*;
use single_node::{Node, MS, S};
use wv_internal_protocol::{FeedUpdate, Instance, Message, UNKNOWN_AGE_US};

const PEER: &str = "10.0.0.2:80";

fn beat(node: &mut Node, state: &str, sequence: u32) {
    let body = serde_json::json!({"destination": "s", "address": "10.9.0.1:80", "zone": "z0", "issue": "v1",
        "capacity": 10, "state": state, "coldLeftMs": 0, "dbRole": "replica", "sequence": sequence});
    node.call("PUT", "/instances/d1", &body.to_string());
}

/// A node in contact that has heard the database in service.
fn serving() -> Node {
    let mut node = Node::new();
    node.run_answering(2 * S);
    beat(&mut node, "in_service", 1);
    node.run_answering(S);
    node.sent.clear();
    node
}

fn word(draining: bool, sequence: u64, leaving_us: u64) -> Message {
    let inst = Instance {
        id: "d1".to_owned(),
        service: "s".to_owned(),
        address: "10.9.0.1:80".to_owned(),
        capacity: 10,
        sequence,
        draining,
        leaving_age_us: leaving_us,
        ..Instance::default()
    };
    Message::Instance { requester: 0, request: 0, instance: inst }
}

/// The age that goes out with each word on the database since this was last asked.
fn ages(node: &mut Node) -> Vec<u64> {
    let sent = std::mem::take(&mut node.sent);
    let in_news = |news: &FeedUpdate| match news {
        FeedUpdate::Instance(inst) => Some(inst.leaving_age_us),
        _ => None,
    };
    let age = |msg: &Message| match msg {
        Message::Instance { instance: inst, .. } => Some(inst.leaving_age_us),
        Message::Update { update: news, .. } => in_news(news),
        Message::Snapshot { updates: news, .. } => news.iter().find_map(in_news),
        Message::InstanceRange { instances: insts, .. } => insts.first().map(|inst| inst.leaving_age_us),
        _ => None,
    };
    sent.iter().filter_map(|(_, msg)| age(msg)).collect()
}

/// The same, as an access node is told that begins to follow now.
fn age_in_snapshot(node: &mut Node) -> u64 {
    node.sent.clear();
    node.subscribe();
    ages(node).first().copied().unwrap_or(0)
}

#[gtest]
fn given_a_database_that_was_in_service_when_it_leaves_then_its_age_is_reckoned_as_each_word_goes_out() {
    let mut node = serving();
    beat(&mut node, "draining", 2);
    let first = ages(&mut node);
    expect_that!(first.len(), eq(2), "both peers are told");
    expect_that!(first, each(eq(&0)));
    node.run_answering(2 * S);
    expect_that!(age_in_snapshot(&mut node), eq(2 * S));
    // Said again by the database it is no younger.
    beat(&mut node, "draining", 3);
    node.run_answering(S);
    expect_that!(age_in_snapshot(&mut node), eq(3 * S));
}

#[gtest]
fn given_a_database_that_is_first_heard_of_as_leaving_then_nobody_knows_since_when() {
    let mut node = Node::new();
    node.run_answering(2 * S);
    node.sent.clear();
    beat(&mut node, "draining", 7);
    let ages = ages(&mut node);
    expect_that!(ages, not(is_empty()));
    expect_that!(ages, each(eq(&UNKNOWN_AGE_US)));
}

#[gtest]
fn given_a_peer_that_knows_of_an_older_leave_then_followers_hear_of_it_again() {
    let mut node = serving();
    node.subscribe();
    node.sent.clear();
    beat(&mut node, "draining", 2);
    node.run_answering(S);
    node.sent.clear();
    node.receive(PEER, word(true, 2, 3 * S));
    expect_that!(ages(&mut node), contains(eq(&(3 * S))));
    // A peer that heard of it later makes it no younger.
    node.receive(PEER, word(true, 2, 10 * MS));
    expect_that!(age_in_snapshot(&mut node), eq(3 * S));
}

#[gtest]
fn given_a_late_beat_from_before_the_leave_then_the_leave_stands_and_its_age() {
    let mut node = serving();
    beat(&mut node, "draining", 5);
    node.run_answering(S);
    beat(&mut node, "in_service", 4);
    expect_that!(age_in_snapshot(&mut node), eq(S));
}

#[gtest]
fn given_a_peer_that_recalls_the_database_from_its_disk_then_it_is_no_witness_that_it_was_in_service() {
    for (witness_us, wanted) in [(UNKNOWN_AGE_US, UNKNOWN_AGE_US), (0, 0)] {
        let mut node = Node::new();
        node.run_answering(2 * S);
        node.receive(PEER, word(false, 1, witness_us));
        node.sent.clear();
        beat(&mut node, "draining", 2);
        expect_that!(ages(&mut node), each(eq(&wanted)));
    }
}

#[gtest]
fn given_a_node_that_stood_still_then_what_it_reads_next_counts_as_having_waited_as_long() {
    let mut node = serving();
    node.now += 5 * S;
    node.receive(PEER, word(true, 2, 0));
    node.run_answering(2 * S);
    expect_that!(age_in_snapshot(&mut node), ge(7 * S));
}

#[gtest]
fn given_a_link_to_a_peer_that_comes_up_then_it_is_told_of_leaves_with_their_age() {
    let mut node = serving();
    beat(&mut node, "draining", 2);
    node.run_answering(S);
    node.sent.clear();
    let link = node.links[PEER];
    node.core.link_down(link, node.now);
    node.run(S);
    let told = node.take_sent(|msg| matches!(msg, Message::Instance { .. }));
    expect_that!(told.len(), ge(1));
    let is_old = |msg: &Message| matches!(msg, Message::Instance { instance: inst, .. } if inst.leaving_age_us >= S);
    expect_that!(told.iter().all(|(_, msg)| is_old(msg)), eq(true));
}

#[gtest]
fn given_a_peer_that_was_out_of_contact_then_it_is_told_of_leaves_that_it_may_know_to_be_younger() {
    let mut node = serving();
    beat(&mut node, "draining", 2);
    node.run_answering(2 * S);
    node.sent.clear();
    // Its digests are equal: it knows that the database leaves, and not since when.
    node.run(2 * S);
    let digests = node.take_sent(|msg| matches!(msg, Message::InstanceDigests { .. }));
    let Some((_, Message::InstanceDigests { digests: ranges })) = digests.first().cloned() else { return };
    node.sent.clear();
    node.receive(PEER, Message::Resync { requester: 5, request: 1, digests: ranges });
    expect_that!(ages(&mut node), elements_are![ge(&(4 * S))]);
}
