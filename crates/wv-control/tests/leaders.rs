//! The leader of a service as derived from heartbeats and messages of peers: a deposed primary must not become leader
//! again by its old reports.
mod common;

use common::Node;
use googletest::prelude::*;
use wv_internal_protocol::{Leader, Message};

fn heartbeat(node: &mut Node, id: &str, is_primary: bool, sequence: u64) {
    report(node, id, is_primary, sequence, 4);
}

fn report(node: &mut Node, id: &str, is_primary: bool, sequence: u64, capacity: u64) {
    let role = if is_primary { "primary" } else { "replica" };
    let body = serde_json::json!({
        "destination": "s", "address": format!("10.2.0.{}:80", &id[1..]), "zone": "z", "capacity": capacity,
        "state": "in_service", "coldLeftMs": 0, "sequence": sequence, "dbRole": role,
    });
    node.now += 1_000;
    node.core.handle_call(7, "PUT", &format!("/instances/{id}"), Some(body.to_string().as_bytes()), node.now);
    node.take_sent();
}

fn promoted(node: &mut Node, id: &str, term: u64) {
    node.receive("b", Message::Leader(Leader { service: "s".to_owned(), id: id.to_owned(), term }));
}

fn leader(node: &Node) -> (String, u64) {
    node.core.leader("s").map(|leader| (leader.id.clone(), leader.term)).unwrap_or_default()
}

/// A node that knows a primary and a replica and receives a message that the replica was promoted.
fn after_promotion() -> Node {
    let mut node = Node::start("a", true);
    heartbeat(&mut node, "i1", true, 1);
    heartbeat(&mut node, "i2", false, 1);
    expect_that!(leader(&node), eq(&("i1".to_owned(), 0)));
    promoted(&mut node, "i2", 2);
    node
}

#[gtest]
fn given_a_promotion_then_no_heartbeat_of_the_deposed_primary_undoes_it_whenever_it_arrives() {
    let mut node = after_promotion();
    let new = ("i2".to_owned(), 2);
    // The deposed primary repeats its role, changes another field, and has a heartbeat arrive late.
    heartbeat(&mut node, "i1", true, 2);
    expect_that!(leader(&node), eq(&new));
    report(&mut node, "i1", true, 3, 5);
    expect_that!(leader(&node), eq(&new));
    heartbeat(&mut node, "i2", true, 2);
    heartbeat(&mut node, "i1", true, 4);
    heartbeat(&mut node, "i1", false, 6);
    heartbeat(&mut node, "i1", true, 5);
    expect_that!(leader(&node), eq(&new));
    // An older promotion message has no effect either.
    promoted(&mut node, "i1", 1);
    expect_that!(leader(&node), eq(&new));
}

#[gtest]
fn given_a_replica_that_reports_as_primary_by_itself_then_the_promoted_one_is_leader_again_with_its_next_heartbeat() {
    let mut node = after_promotion();
    heartbeat(&mut node, "i2", true, 2);
    heartbeat(&mut node, "i1", false, 2);
    heartbeat(&mut node, "i1", true, 3);
    heartbeat(&mut node, "i2", true, 3);
    expect_that!(leader(&node), eq(&("i2".to_owned(), 2)));
}

#[gtest]
fn given_a_promotion_without_a_message_then_the_heartbeat_of_the_new_primary_announces_it() {
    let mut node = after_promotion();
    heartbeat(&mut node, "i2", true, 2);
    heartbeat(&mut node, "i3", false, 1);
    heartbeat(&mut node, "i3", true, 2);
    expect_that!(leader(&node).0, eq("i3"));
}

#[gtest]
fn given_a_promoted_database_that_never_reports_as_primary_then_after_a_timeout_another_primary_counts() {
    let mut node = after_promotion();
    heartbeat(&mut node, "i1", false, 3);
    node.now += 4_000_000;
    heartbeat(&mut node, "i1", true, 2);
    expect_that!(leader(&node), eq(&("i2".to_owned(), 2)), "a report older than the promotion does not count");
    let mut node = after_promotion();
    heartbeat(&mut node, "i1", true, 2);
    node.now += 4_000_000;
    node.tick();
    heartbeat(&mut node, "i1", true, 3);
    expect_that!(leader(&node), eq(&("i1".to_owned(), 2)));
}
