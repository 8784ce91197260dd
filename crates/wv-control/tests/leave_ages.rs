//! Leave ages sent by one control node: an age must never be less than the true age may be.
#[allow(dead_code)]
mod single_node;

use googletest::prelude::*;
use single_node::{Node, MS, S};
use wv_internal_protocol::{FeedUpdate, Instance, Message, UNKNOWN_AGE_US};

const PEER: &str = "10.0.0.2:80";

fn heartbeat(node: &mut Node, state: &str, sequence: u32) {
    let body = serde_json::json!({"destination": "s", "address": "10.9.0.1:80", "zone": "z0", "issue": "v1",
        "capacity": 10, "state": state, "coldLeftMs": 0, "dbRole": "replica", "sequence": sequence});
    node.call("PUT", "/instances/d1", &body.to_string());
}

/// A node in contact that received a heartbeat of the database in service.
fn node_with_database_in_service() -> Node {
    let mut node = Node::new();
    node.run_answering(2 * S);
    heartbeat(&mut node, "in_service", 1);
    node.run_answering(S);
    node.sent.clear();
    node
}

fn report(draining: bool, sequence: u64, leaving_us: u64) -> Message {
    let instance = Instance {
        id: "d1".to_owned(),
        service: "s".to_owned(),
        address: "10.9.0.1:80".to_owned(),
        capacity: 10,
        sequence,
        draining,
        leaving_age_us: leaving_us,
        ..Instance::default()
    };
    Message::Instance { requester: 0, request: 0, instance }
}

/// The ages in all messages on the database that were sent since the last call.
fn ages(node: &mut Node) -> Vec<u64> {
    let sent = std::mem::take(&mut node.sent);
    let in_update = |update: &FeedUpdate| match update {
        FeedUpdate::Instance(instance) => Some(instance.leaving_age_us),
        _ => None,
    };
    let age = |message: &Message| match message {
        Message::Instance { instance, .. } => Some(instance.leaving_age_us),
        Message::Update { update, .. } => in_update(update),
        Message::Snapshot { updates, .. } => updates.iter().find_map(in_update),
        Message::InstanceRange { instances, .. } => instances.first().map(|instance| instance.leaving_age_us),
        _ => None,
    };
    sent.iter().filter_map(|(_, message)| age(message)).collect()
}

/// The age in the snapshot for an access node that subscribes now.
fn age_in_snapshot(node: &mut Node) -> u64 {
    node.sent.clear();
    node.subscribe();
    ages(node).first().copied().unwrap_or(0)
}

#[gtest]
fn given_a_database_seen_in_service_before_it_leaves_then_its_leave_age_is_computed_for_each_message() {
    let mut node = node_with_database_in_service();
    heartbeat(&mut node, "draining", 2);
    let first = ages(&mut node);
    expect_that!(first.len(), eq(2), "both peers are notified");
    expect_that!(first, each(eq(&0)));
    node.run_answering(2 * S);
    expect_that!(age_in_snapshot(&mut node), eq(2 * S));
    // A repeated report of the database does not lower the age.
    heartbeat(&mut node, "draining", 3);
    node.run_answering(S);
    expect_that!(age_in_snapshot(&mut node), eq(3 * S));
}

#[gtest]
fn given_a_database_first_reported_as_leaving_then_its_leave_age_is_unknown() {
    let mut node = Node::new();
    node.run_answering(2 * S);
    node.sent.clear();
    heartbeat(&mut node, "draining", 7);
    let ages = ages(&mut node);
    expect_that!(ages, not(is_empty()));
    expect_that!(ages, each(eq(&UNKNOWN_AGE_US)));
}

#[gtest]
fn given_a_peer_that_reports_an_older_leave_then_followers_are_notified_again() {
    let mut node = node_with_database_in_service();
    node.subscribe();
    node.sent.clear();
    heartbeat(&mut node, "draining", 2);
    node.run_answering(S);
    node.sent.clear();
    node.receive(PEER, report(true, 2, 3 * S));
    expect_that!(ages(&mut node), contains(eq(&(3 * S))));
    // A peer that learned of the leave later does not lower the age.
    node.receive(PEER, report(true, 2, 10 * MS));
    expect_that!(age_in_snapshot(&mut node), eq(3 * S));
}

#[gtest]
fn given_a_delayed_heartbeat_from_before_the_leave_then_the_leave_and_its_age_are_kept() {
    let mut node = node_with_database_in_service();
    heartbeat(&mut node, "draining", 5);
    node.run_answering(S);
    heartbeat(&mut node, "in_service", 4);
    expect_that!(age_in_snapshot(&mut node), eq(S));
}

#[gtest]
fn given_a_peer_that_loaded_the_database_from_disk_then_its_report_does_not_prove_it_was_in_service() {
    for (reported_us, expected) in [(UNKNOWN_AGE_US, UNKNOWN_AGE_US), (0, 0)] {
        let mut node = Node::new();
        node.run_answering(2 * S);
        node.receive(PEER, report(false, 1, reported_us));
        node.sent.clear();
        heartbeat(&mut node, "draining", 2);
        expect_that!(ages(&mut node), each(eq(&expected)));
    }
}

#[gtest]
fn given_a_process_stall_then_the_next_message_is_treated_as_queued_for_as_long() {
    let mut node = node_with_database_in_service();
    node.now += 5 * S;
    node.receive(PEER, report(true, 2, 0));
    node.run_answering(2 * S);
    expect_that!(age_in_snapshot(&mut node), ge(7 * S));
}

#[gtest]
fn given_a_peer_link_that_comes_up_then_leaves_are_sent_with_their_age() {
    let mut node = node_with_database_in_service();
    heartbeat(&mut node, "draining", 2);
    node.run_answering(S);
    node.sent.clear();
    let link = node.links[PEER];
    node.core.link_down(link, node.now);
    node.run(S);
    let sent = node.take_sent(|message| matches!(message, Message::Instance { .. }));
    expect_that!(sent.len(), ge(1));
    let is_old =
        |message: &Message| matches!(message, Message::Instance { instance, .. } if instance.leaving_age_us >= S);
    expect_that!(sent.iter().all(|(_, message)| is_old(message)), eq(true));
}

#[gtest]
fn given_a_peer_that_resyncs_with_equal_digests_then_leaves_are_sent_with_their_age() {
    let mut node = node_with_database_in_service();
    heartbeat(&mut node, "draining", 2);
    node.run_answering(2 * S);
    node.sent.clear();
    // Equal digests show that the peer knows of the leave, but not of its age.
    node.run(2 * S);
    let sent = node.take_sent(|message| matches!(message, Message::InstanceDigests { .. }));
    let Some((_, Message::InstanceDigests { digests })) = sent.first().cloned() else { return };
    node.sent.clear();
    node.receive(PEER, Message::Resync { requester: 5, request: 1, digests });
    expect_that!(ages(&mut node), elements_are![ge(&(4 * S))]);
}
