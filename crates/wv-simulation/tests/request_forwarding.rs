//! Requests forwarded to the owner of their shard: no write runs twice and none is forwarded a second time.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

/// Two access nodes and one shard; returns the simulation, the owner and the other node.
fn two_node_fleet() -> (Simulation, usize, usize) {
    let mut sim = Simulation::new(2, 3);
    sim.run(2 * S);
    let mut value: serde_json::Value =
        serde_json::from_slice(&Simulation::configuration(1)).expect("the default configuration is valid JSON");
    value["partners"] = serde_json::json!([{"label": "all", "portion": 1, "nodes": ["a*"]}]);
    sim.call(1, "PUT", "/configuration", value.to_string().as_bytes());
    sim.run(5 * S);
    let owners = sim.access[0].core.as_ref().map(|core| core.shard_owners()).unwrap_or_default();
    let owner = usize::from(owners.iter().any(|(_, node, _)| node == "a1"));
    (sim, owner, 1 - owner)
}

#[gtest]
fn given_a_forwarded_write_that_ran_when_the_owner_crashes_then_it_is_not_resent() {
    let (mut sim, owner, other) = two_node_fleet();
    let client = sim.open_client(other, "p");
    sim.send_line(client, "QUERY w1 WRITE k d");
    sim.run(200 * MS);
    expect_that!(sim.take_lines(client).iter().any(|line| line.starts_with("COMPLETE stamp")), eq(true));
    // The write has run and its response is in transit when the owner is killed.
    sim.databases[0].statement_us = 100 * MS;
    sim.send_line(client, "QUERY w2 WRITE k d");
    sim.run(50 * MS);
    sim.kill_access(owner);
    sim.run(S);
    expect_that!(sim.take_lines(client)[0], starts_with("ERROR INDETERM"));
    expect_that!(sim.databases[0].log.iter().filter(|entry| entry.write.tag == "w2").count(), eq(1));
}

#[gtest]
fn given_a_node_that_is_not_the_owner_then_it_rejects_forwarded_requests_without_forwarding_them() {
    let (mut sim, _, other) = two_node_fleet();
    let core = sim.access[other].core.as_mut().expect("the node is running");
    let link = core.accept_peer_link(0);
    let session = wv_internal_protocol::ForwardedSessionId { incarnation: 9, number: 5 };
    core.handle_forward_message(
        link,
        wv_internal_protocol::ForwardMessage::Open { session, host: "p".to_owned(), user: "u".to_owned() },
        0,
    );
    core.handle_forward_message(
        link,
        wv_internal_protocol::ForwardMessage::Request {
            session,
            request: 1,
            configuration_version: 1,
            lines: b"QUERY w1 WRITE k d\r\n".to_vec(),
        },
        0,
    );
    let refused = wv_access::Effect::SendToPeer {
        link,
        message: wv_internal_protocol::ForwardMessage::Rejected { session, request: 1 },
    };
    expect_that!(core.take_effects(), eq(&vec![refused]));
}

#[gtest]
fn given_an_owner_that_shuts_down_then_open_transactions_finish_there_and_new_work_goes_elsewhere() {
    let (mut sim, owner, other) = two_node_fleet();
    let client = sim.open_client(other, "p");
    sim.send_line(client, "QUERY t1 BEGIN");
    sim.send_line(client, "QUERY t2 WRITE k d");
    sim.run(200 * MS);
    sim.terminate_access(owner);
    sim.run(200 * MS);
    sim.send_line(client, "QUERY t3 COMMIT");
    sim.run(200 * MS);
    let received = sim.take_lines(client);
    expect_that!(received.iter().filter(|line| line.starts_with("COMPLETE stamp")).count(), eq(2), "{received:?}");
    sim.send_line(client, "QUERY w1 WRITE k d");
    sim.run(200 * MS);
    expect_that!(sim.take_lines(client)[0], starts_with("COMPLETE stamp"));
    expect_that!(sim.check_rules(), is_empty());
}
