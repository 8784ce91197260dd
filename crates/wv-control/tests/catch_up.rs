//! Behaviour of a control node after contact was established and before it has caught up.
mod single_node;

use googletest::prelude::*;
use single_node::{is_ping, reply, Node, MS, S};
use wv_internal_protocol::{Health, HealthReport, Message};

const SERVICES: std::ops::Range<usize> = 0..8;

/// Eight services, the first with a shard plan.
fn configuration(version: u64) -> String {
    let services: Vec<serde_json::Value> =
        SERVICES.map(|at| serde_json::json!({"label": format!("s{at}"), "syncReplicas": 1})).collect();
    let route = serde_json::json!({"label": "p", "host": "p", "category": "primary", "expiryMs": 1000, "targetMs": 200,
        "destination": "s0"});
    let plan = serde_json::json!({"shard": "s0", "upper": "s1", "rowsMax": 1000, "quiet": "* * 1-4 * * *"});
    serde_json::json!({"issue": version, "routing": [route], "services": services, "shardPlans": [plan]}).to_string()
}

fn is_register_request(message: &Message, part: &str) -> bool {
    matches!(message, Message::RegisterRequest { key, .. } if key.starts_with(part))
}

/// A node 1.2 s after its last answered pings, 0.1 s before contact expires.
fn node_near_contact_loss() -> Node {
    let mut node = Node::new();
    node.run_answering(2 * S);
    let (sent_at, pings) = node.next_pings();
    node.receive(&pings[0].0, reply(&pings[0].1).expect("a pong"));
    node.run(sent_at + 1200 * MS - node.now);
    node.sent.clear();
    node
}

#[gtest]
fn given_a_slot_map_read_started_before_contact_was_lost_then_it_does_not_complete_catch_up() {
    let mut node = node_near_contact_loss();
    expect_that!(node.call("PUT", "/configuration", &configuration(1)), none());
    (0..4).for_each(|_| node.answer(|message| is_register_request(message, "conf")));
    expect_that!(node.responses.values().last(), some(eq(&200)));
    let reads = node.take_sent(|message| is_register_request(message, "slots/"));
    assert_that!(reads.len(), ge(1));
    node.run(100 * MS);
    expect_that!(node.core.has_majority(), eq(false));
    let (_, pings) = node.next_pings();
    node.receive(&pings[0].0, reply(&pings[0].1).expect("a pong"));
    for (from, message) in &reads {
        node.receive(from, reply(message).expect("a vote"));
    }
    // Answers everything except the new read of the slot map.
    (0..6).for_each(|_| {
        node.answer(|message| is_register_request(message, "conf") || matches!(message, Message::Resync { .. }))
    });
    expect_that!((node.core.has_majority(), node.core.is_caught_up()), eq((true, false)));
    node.answer(|message| is_register_request(message, "slots/"));
    expect_that!(node.core.is_caught_up(), eq(true));
}

#[gtest]
fn given_a_failed_primary_then_its_duty_is_not_claimed_before_this_node_has_caught_up() {
    let mut node = Node::new();
    node.run_answering(2 * S);
    expect_that!(node.call("PUT", "/configuration", &configuration(1)), none());
    node.run_answering(500 * MS);
    for at in SERVICES {
        let beat = |role: &str, port: u32| {
            serde_json::json!({"destination": format!("s{at}"), "address": format!("10.9.{at}.1:{port}"),
                "state": "in_service", "dbRole": role, "sequence": 9})
            .to_string()
        };
        node.call("PUT", &format!("/instances/i-{at}"), &beat("primary", 1));
        node.call("PUT", &format!("/instances/j-{at}"), &beat("replica", 2));
    }
    node.run_answering(S);
    // Contact is lost and established again; the voters do not answer the resync.
    node.run(3 * S);
    node.sent.clear();
    node.database_queries = 0;
    node.subscribe();
    let is_answered =
        |message: &Message| !matches!(message, Message::Resync { .. }) && !is_register_request(message, "duty/");
    let run = |node: &mut Node, us: u64| {
        let end = node.now + us;
        while node.now < end {
            node.run(100 * MS);
            let down = |at: usize| HealthReport {
                id: format!("i-{at}"),
                health: Health::Refused,
                health_age_us: S,
                last_heard_age_us: 2 * S,
                fenced_position: String::new(),
                fenced_age_us: u64::MAX / 2,
            };
            node.receive("a0", Message::AccessHeartbeat { leaving: false });
            node.receive("a0", Message::HealthReports(SERVICES.map(down).collect()));
            (0..6).for_each(|_| node.answer(is_answered));
        }
    };
    run(&mut node, 4 * S);
    expect_that!((node.core.has_majority(), node.core.is_caught_up()), eq((true, false)));
    expect_that!(
        (node.take_sent(|message| is_register_request(message, "duty/")).len(), node.database_queries),
        eq((0, 0))
    );
    // Once the resync is answered, this node claims the duties assigned to it.
    node.answer(|message| matches!(message, Message::Resync { .. }) || is_ping(message));
    expect_that!(node.core.is_caught_up(), eq(true));
    run(&mut node, 300 * MS);
    let is_duty_request = |message: &Message| is_register_request(message, "duty/");
    expect_that!(node.sent.iter().filter(|(_, message)| is_duty_request(message)).count(), ge(1));
    // The databases are queried once the register has told which calls are recorded.
    (0..6).for_each(|_| node.answer(is_duty_request));
    expect_that!(node.database_queries, ge(1));
}

#[gtest]
fn given_a_node_without_a_disk_then_pongs_for_pings_sent_before_contact_was_lost_do_not_complete_catch_up() {
    let mut node = Node::start("10.0.0.9:80", 1, false);
    node.run_answering(2 * S);
    expect_that!(node.core.is_caught_up(), eq(true));
    // The first round of pings is answered at once, the second only after contact expired.
    let (sent_at, pings) = node.next_pings();
    pings.iter().for_each(|(from, message)| node.receive(from, reply(message).expect("a pong")));
    let (_, late) = node.next_pings();
    node.run(sent_at + 1300 * MS - node.now);
    expect_that!(node.core.has_majority(), eq(false));
    node.sent.clear();
    late.iter().for_each(|(from, message)| node.receive(from, reply(message).expect("a pong")));
    (0..4).for_each(|_| node.answer(|message| matches!(message, Message::Resync { .. })));
    expect_that!((node.core.has_majority(), node.core.is_caught_up()), eq((true, false)));
    node.answer(is_ping);
    expect_that!(node.core.is_caught_up(), eq(true));
}

#[gtest]
fn given_established_contact_then_a_resync_is_requested_from_one_voter_and_after_a_timeout_from_the_next() {
    let mut node = Node::new();
    let is_resync = |message: &Message| matches!(message, Message::Resync { .. });
    let mut requests: Vec<(u64, String)> = Vec::new();
    for _ in 0..24 {
        node.run(100 * MS);
        (0..6).for_each(|_| node.answer(|message| !is_resync(message)));
        let now = node.now;
        requests.extend(node.take_sent(is_resync).into_iter().map(|(to, _)| (now, to)));
    }
    assert_that!(requests.len(), ge(3));
    expect_that!(requests.windows(2).all(|pair| pair[1].0 - pair[0].0 >= 800 * MS && pair[0].1 != pair[1].1), eq(true));
}
