//! Stories of one control node that hears who leads a service, from beats and from its peers.
mod common;

use common::Node;
use googletest::prelude::*;
use wv_internal_protocol::{Leader, Message};

fn beat(node: &mut Node, id: &str, is_primary: bool, sequence: u64) {
    say(node, id, is_primary, sequence, 4);
}

fn say(node: &mut Node, id: &str, is_primary: bool, sequence: u64, capacity: u64) {
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

fn lead(node: &Node) -> (String, u64) {
    node.core.leader("s").map(|lead| (lead.id.clone(), lead.term)).unwrap_or_default()
}

/// One leads and another follows; then the other is promoted.
fn changed() -> Node {
    let mut node = Node::start("a", true);
    beat(&mut node, "i1", true, 1);
    beat(&mut node, "i2", false, 1);
    expect_that!(lead(&node), eq(&("i1".to_owned(), 0)));
    promoted(&mut node, "i2", 2);
    node
}

#[gtest]
fn given_a_promotion_then_no_beat_of_the_one_that_was_deposed_undoes_it_whenever_it_comes() {
    let mut node = changed();
    let new = ("i2".to_owned(), 2);
    // It goes on as before, and says more than before: neither counts, nor does one that comes late.
    beat(&mut node, "i1", true, 2);
    expect_that!(lead(&node), eq(&new));
    say(&mut node, "i1", true, 3, 5);
    expect_that!(lead(&node), eq(&new));
    beat(&mut node, "i2", true, 2);
    beat(&mut node, "i1", true, 4);
    beat(&mut node, "i1", false, 6);
    beat(&mut node, "i1", true, 5);
    expect_that!(lead(&node), eq(&new));
    // Nor an older word of the control side.
    promoted(&mut node, "i1", 1);
    expect_that!(lead(&node), eq(&new));
}

#[gtest]
fn given_a_database_that_takes_the_lead_for_a_reason_of_its_own_then_the_promoted_one_has_it_back_with_its_next_beat() {
    let mut node = changed();
    beat(&mut node, "i2", true, 2);
    beat(&mut node, "i1", false, 2);
    beat(&mut node, "i1", true, 3);
    beat(&mut node, "i2", true, 3);
    expect_that!(lead(&node), eq(&("i2".to_owned(), 2)));
}

#[gtest]
fn given_a_promotion_that_nobody_told_of_then_the_beat_of_the_new_primary_does() {
    let mut node = changed();
    beat(&mut node, "i2", true, 2);
    beat(&mut node, "i3", false, 1);
    beat(&mut node, "i3", true, 2);
    expect_that!(lead(&node).0, eq("i3"));
}

#[gtest]
fn given_a_promoted_one_that_never_says_that_it_leads_then_after_a_while_whoever_does_counts() {
    let mut node = changed();
    beat(&mut node, "i1", false, 3);
    node.now += 4_000_000;
    beat(&mut node, "i1", true, 2);
    expect_that!(lead(&node), eq(&("i2".to_owned(), 2)), "what it said long ago");
    let mut node = changed();
    beat(&mut node, "i1", true, 2);
    node.now += 4_000_000;
    node.tick();
    beat(&mut node, "i1", true, 3);
    expect_that!(lead(&node), eq(&("i1".to_owned(), 2)));
}
