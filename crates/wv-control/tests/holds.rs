//! Stories of who holds a departure beside this node, before it is acknowledged.
#[allow(dead_code)]
mod alone;

use googletest::prelude::*;
use wv_internal_protocol::Message;

fn beat(node: &mut alone::Node, state: &str, sequence: u32) -> Option<u16> {
    let body = serde_json::json!({"destination": "s", "address": "10.9.0.1:80", "zone": "z0", "issue": "v1",
        "capacity": 10, "state": state, "coldLeftMs": 0, "dbRole": "replica", "sequence": sequence});
    node.call("PUT", "/instances/d1", &body.to_string())
}

#[gtest]
fn given_word_that_a_departure_is_held_from_one_node_twice_or_of_another_life_or_database_then_it_counts_once() {
    // Two nodes beside this one are to hold it.
    let mut node = alone::Node::bearing(2);
    node.serve(2 * alone::S);
    beat(&mut node, "in_service", 1);
    node.serve(alone::S);
    node.sent.clear();
    expect_that!(beat(&mut node, "draining", 2), none());
    let asked = node.take(|msg| matches!(msg, Message::Instance { request, .. } if *request > 0));
    expect_that!(asked.len(), eq(2));
    let Message::Instance { requester: asker, request, .. } = asked[0].1.clone() else { return };
    let held = |asker, request, id: &str| Message::InstanceAck { requester: asker, request, id: id.to_owned() };
    let before = node.returns.len();
    for _ in 0..3 {
        node.hear(&asked[0].0, held(asker, request, "d1"));
    }
    node.hear(&asked[1].0, held(asker + 1, request, "d1"));
    node.hear(&asked[1].0, held(asker, request + 1, "d1"));
    node.hear(&asked[1].0, held(asker, request, "d2"));
    expect_that!(node.returns.len(), eq(before), "one other node holds it, not two");
    node.hear(&asked[1].0, held(asker, request, "d1"));
    expect_that!(node.returns.len(), eq(before + 1));
    expect_that!(node.returns.values().last(), some(eq(&200)));
}
