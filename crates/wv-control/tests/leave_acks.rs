//! Stories of who holds a departure beside this node, before it is acknowledged.
#[allow(dead_code)]
mod single_node;

use googletest::prelude::*;
use wv_internal_protocol::Message;

fn beat(node: &mut single_node::Node, state: &str, sequence: u32) -> Option<u16> {
    let body = serde_json::json!({"destination": "s", "address": "10.9.0.1:80", "zone": "z0", "issue": "v1",
        "capacity": 10, "state": state, "coldLeftMs": 0, "dbRole": "replica", "sequence": sequence});
    node.call("PUT", "/instances/d1", &body.to_string())
}

#[gtest]
fn given_word_that_a_departure_is_held_from_one_node_twice_or_of_another_life_or_database_then_it_counts_once() {
    // Two nodes beside this one are to hold it.
    let mut node = single_node::Node::with_tolerance(2);
    node.run_answering(2 * single_node::S);
    beat(&mut node, "in_service", 1);
    node.run_answering(single_node::S);
    node.sent.clear();
    expect_that!(beat(&mut node, "draining", 2), none());
    let asked = node.take_sent(|msg| matches!(msg, Message::Instance { request, .. } if *request > 0));
    expect_that!(asked.len(), eq(2));
    let Message::Instance { requester: asker, request, .. } = asked[0].1.clone() else { return };
    let held = |asker, request, id: &str| Message::InstanceAck { requester: asker, request, id: id.to_owned() };
    let before = node.responses.len();
    for _ in 0..3 {
        node.receive(&asked[0].0, held(asker, request, "d1"));
    }
    node.receive(&asked[1].0, held(asker + 1, request, "d1"));
    node.receive(&asked[1].0, held(asker, request + 1, "d1"));
    node.receive(&asked[1].0, held(asker, request, "d2"));
    expect_that!(node.responses.len(), eq(before), "one other node holds it, not two");
    node.receive(&asked[1].0, held(asker, request, "d1"));
    expect_that!(node.responses.len(), eq(before + 1));
    expect_that!(node.responses.values().last(), some(eq(&200)));
}
