//! A departure must not be acknowledged before enough other nodes have stored it.
#[allow(dead_code)]
mod single_node;

use googletest::prelude::*;
use wv_internal_protocol::Message;

fn heartbeat(node: &mut single_node::Node, state: &str, sequence: u32) -> Option<u16> {
    let body = serde_json::json!({"destination": "s", "address": "10.9.0.1:80", "zone": "z0", "issue": "v1",
        "capacity": 10, "state": state, "coldLeftMs": 0, "dbRole": "replica", "sequence": sequence});
    node.call("PUT", "/instances/d1", &body.to_string())
}

#[gtest]
fn given_repeated_acks_or_acks_of_another_process_request_or_database_then_they_do_not_count() {
    // Two other nodes have to store it.
    let mut node = single_node::Node::with_tolerance(2);
    node.run_answering(2 * single_node::S);
    heartbeat(&mut node, "in_service", 1);
    node.run_answering(single_node::S);
    node.sent.clear();
    expect_that!(heartbeat(&mut node, "draining", 2), none());
    let sent = node.take_sent(|message| matches!(message, Message::Instance { request, .. } if *request > 0));
    expect_that!(sent.len(), eq(2));
    let Message::Instance { requester, request, .. } = sent[0].1.clone() else { return };
    let ack = |requester, request, id: &str| Message::InstanceAck { requester, request, id: id.to_owned() };
    let before = node.responses.len();
    for _ in 0..3 {
        node.receive(&sent[0].0, ack(requester, request, "d1"));
    }
    node.receive(&sent[1].0, ack(requester + 1, request, "d1"));
    node.receive(&sent[1].0, ack(requester, request + 1, "d1"));
    node.receive(&sent[1].0, ack(requester, request, "d2"));
    expect_that!(node.responses.len(), eq(before), "one other node has stored it, not two");
    node.receive(&sent[1].0, ack(requester, request, "d1"));
    expect_that!(node.responses.len(), eq(before + 1));
    expect_that!(node.responses.values().last(), some(eq(&200)));
}
