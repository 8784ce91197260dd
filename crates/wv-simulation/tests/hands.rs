//! Stories of one request that is handed over to the owner of its shard.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

/// Two nodes and one shard; returns the owner and the other one.
fn pair() -> (Simulation, usize, usize) {
    let mut world = Simulation::new(2, 3);
    world.run(2 * S);
    let mut value: serde_json::Value = serde_json::from_slice(&Simulation::config(1)).expect("the stand-in's own");
    value["partners"] = serde_json::json!([{"label": "all", "portion": 1, "nodes": ["a*"]}]);
    world.call(1, "PUT", "/configuration", value.to_string().as_bytes());
    world.run(5 * S);
    let told = world.access[0].core.as_ref().map(|core| core.shard_owners()).unwrap_or_default();
    let owner = usize::from(told.iter().any(|(_, node, _)| node == "a1"));
    (world, owner, 1 - owner)
}

#[gtest]
fn given_a_write_handed_over_that_ran_when_the_owner_died_then_it_is_never_sent_again() {
    let (mut world, owner, other) = pair();
    let client = world.open_client(other, "p");
    world.send_line(client, "QUERY w1 WRITE k d");
    world.run(200 * MS);
    expect_that!(world.take_lines(client).iter().any(|line| line.starts_with("COMPLETE stamp")), eq(true));
    // It has run and its return is on its way back when the owner is gone.
    world.databases[0].statement_us = 100 * MS;
    world.send_line(client, "QUERY w2 WRITE k d");
    world.run(50 * MS);
    world.kill_access(owner);
    world.run(S);
    expect_that!(world.take_lines(client)[0], starts_with("ERROR INDETERM"));
    expect_that!(world.databases[0].log.iter().filter(|entry| entry.write.tag == "w2").count(), eq(1));
}

#[gtest]
fn given_a_node_that_is_not_the_owner_then_it_refuses_what_is_handed_over_to_it_and_hands_nothing_on() {
    let (mut world, _, other) = pair();
    let core = world.access[other].core.as_mut().expect("it runs");
    let link = core.accept_peer_link(0);
    let hand = wv_internal_protocol::ForwardedSessionId { incarnation: 9, number: 5 };
    core.handle_forward_message(
        link,
        wv_internal_protocol::ForwardMessage::Open { session: hand, host: "p".to_owned(), user: "u".to_owned() },
        0,
    );
    core.handle_forward_message(
        link,
        wv_internal_protocol::ForwardMessage::Request {
            session: hand,
            request: 1,
            lines: b"QUERY w1 WRITE k d\r\n".to_vec(),
        },
        0,
    );
    let refused = wv_access::Act::SendHand {
        link,
        msg: wv_internal_protocol::ForwardMessage::Rejected { session: hand, request: 1 },
    };
    expect_that!(core.take_acts(), eq(&vec![refused]));
}

#[gtest]
fn given_an_owner_that_leaves_in_order_then_it_takes_no_new_work_and_what_is_open_ends_there() {
    let (mut world, owner, other) = pair();
    let client = world.open_client(other, "p");
    world.send_line(client, "QUERY t1 BEGIN");
    world.send_line(client, "QUERY t2 WRITE k d");
    world.run(200 * MS);
    world.terminate_access(owner);
    world.run(200 * MS);
    world.send_line(client, "QUERY t3 COMMIT");
    world.run(200 * MS);
    let heard = world.take_lines(client);
    expect_that!(heard.iter().filter(|line| line.starts_with("COMPLETE stamp")).count(), eq(2), "{heard:?}");
    world.send_line(client, "QUERY w1 WRITE k d");
    world.run(200 * MS);
    expect_that!(world.take_lines(client)[0], starts_with("COMPLETE stamp"));
    expect_that!(world.check_rules(), is_empty());
}
