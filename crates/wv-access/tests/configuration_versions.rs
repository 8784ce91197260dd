//! Work is done under the configuration version that it was routed by, or it is not done; what a node knows only from
//! before a stall, or does not know yet, is not acted on.
mod common;

use common::{database, TestNode, MS, NODE_INCARNATION};
use googletest::prelude::*;
use wv_internal_protocol::{FeedUpdate, ForwardMessage, ForwardedSessionId, Leader, Message, SlotMap};

const PARTNERS: &str = r#","partners":[{"label":"all","portion":1,"nodes":["me","other"]}]"#;
const PLAN: &str = r#","shardPlans":[{"shard":"s","upper":"t","rowsMax":1000,"quiet":"* * 1-4 * * *"}]"#;
const SESSION: ForwardedSessionId = ForwardedSessionId { incarnation: NODE_INCARNATION + 1, number: 5 };

fn snapshot() -> Message {
    let leader = Leader { service: "s".to_owned(), id: "d1".to_owned(), term: 3 };
    let updates = vec![FeedUpdate::Instance(database()), FeedUpdate::Leader(leader)];
    Message::Snapshot { incarnation: 1, position: 9, updates }
}

/// The node under test as the owner in configuration version 2, with a session of another node.
fn owner() -> (TestNode, u64) {
    let mut node = TestNode::new();
    node.configure(2, "");
    let link = node.core.accept_peer_link(node.now);
    node.receive_from_peer(
        link,
        ForwardMessage::Open { session: SESSION, host: "shop".to_owned(), user: "me".to_owned() },
    );
    (node, link)
}

fn request(number: u64, configuration_version: u64, lines: &str) -> ForwardMessage {
    let lines = lines.as_bytes().to_vec();
    ForwardMessage::Request { session: SESSION, request: number, configuration_version, lines }
}

/// Guards against an owner that is behind, or ahead, running forwarded work by another route than its client's node.
#[gtest]
fn given_work_routed_by_an_older_or_newer_configuration_then_the_owner_rejects_it_unrun() {
    let kinds = [
        "QUERY w1 WRITE k d\r\n",
        "QUERY r1 READ k\r\n",
        "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d\r\n",
        "QUERY - DEFINE w1 WRITE q\r\nQUERY w1 EXECUTE w1 k d\r\n",
    ];
    for lines in kinds {
        for version in [1, 3] {
            let (mut node, link) = owner();
            node.receive_from_peer(link, request(1, version, lines));
            let rejected = (link, ForwardMessage::Rejected { session: SESSION, request: 1 });
            expect_that!(node.peer_messages, elements_are![eq(&rejected)], "{lines:?} of version {version}");
            expect_that!((node.statement_count("k"), node.statement_count("BEGIN")), eq((0, 0)));
        }
        let (mut node, link) = owner();
        node.receive_from_peer(link, request(1, 2, lines));
        expect_that!(node.sent_statements.is_empty(), eq(false), "{lines:?}");
        // An earlier build does not say which version it goes by.
        let (mut node, link) = owner();
        let lines = lines.as_bytes().to_vec();
        node.receive_from_peer(link, ForwardMessage::UnversionedRequest { session: SESSION, request: 1, lines });
        expect_that!(node.statement_count("k"), eq(0));
    }
}

/// Guards against a session that was opened under an earlier configuration, or its open transaction, being cut off.
#[gtest]
fn given_a_transaction_open_at_the_owner_when_the_configuration_changes_then_it_ends_there_and_new_work_is_rejected() {
    let (mut node, link) = owner();
    node.receive_from_peer(link, request(1, 2, "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d\r\n"));
    let db = node.busy_connection().expect("it was sent");
    node.db_sends(db, "COMPLETE -\r\nIDLE T 3.9\r\n", 1);
    node.db_sends(db, "COMPLETE stamp-1\r\nIDLE T 3.9\r\n", 1);
    node.configure(3, "");
    node.receive_from_peer(link, request(2, 2, "QUERY t3 COMMIT\r\n"));
    expect_that!(node.statement_count("COMMIT"), eq(1));
    node.db_sends(db, "COMPLETE stamp-2\r\nIDLE I 3.10\r\n", 1);
    node.receive_from_peer(link, request(3, 2, "QUERY w1 WRITE k d\r\n"));
    expect_that!(node.statement_count("QUERY w1"), eq(0));
    node.receive_from_peer(
        link,
        ForwardMessage::Open { session: SESSION, host: "shop".to_owned(), user: "me".to_owned() },
    );
    node.receive_from_peer(link, request(1, 3, "QUERY w2 WRITE k d\r\n"));
    expect_that!(node.statement_count("QUERY w2"), eq(1));
}

/// Guards against a transaction being forwarded under a newer version than the one that its `BEGIN` was routed by.
#[gtest]
fn given_a_configuration_change_between_begin_and_the_first_statement_then_the_request_names_the_version_of_begin() {
    let versions = |node: &TestNode| -> Vec<u64> {
        let version = |(_, message): &(u64, ForwardMessage)| match message {
            ForwardMessage::Request { configuration_version, .. } => Some(*configuration_version),
            _ => None,
        };
        node.peer_messages.iter().filter_map(version).collect()
    };
    let mut node = TestNode::with_remote_owner();
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY t1 BEGIN");
    node.configure(2, PARTNERS);
    node.send_line(client, "QUERY t2 WRITE k d");
    let other = node.connect_client("shop");
    node.send_line(other, "QUERY w1 WRITE k d");
    expect_that!(versions(&node), eq(&vec![1, 2]));
}

/// Guards against requests being forwarded to a node that ignores their version, and against being refused meanwhile.
#[gtest]
fn given_an_owner_that_does_not_answer_hello_then_requests_are_executed_here_in_time() {
    let mut node = TestNode::with_remote_owner();
    node.peers_answer_hello = false;
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY w1 WRITE k d");
    expect_that!(node.statement_count("QUERY w1"), eq(0));
    node.advance(50 * MS);
    expect_that!(node.statement_count("QUERY w1"), eq(1));
    // An earlier build closes the link at once.
    let mut node = TestNode::with_remote_owner();
    node.peers_answer_hello = false;
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY w1 WRITE k d");
    let link = *node.peer_links.last().expect("the owner was dialled");
    node.core.peer_link_down(link, node.now);
    node.apply_effects();
    expect_that!(node.statement_count("QUERY w1"), eq(1));
    expect_that!(node.peer_messages.iter().any(|(_, sent)| matches!(sent, ForwardMessage::Request { .. })), eq(false));
}

/// Guards against a node that stood still acting on what it knew before: its databases may have lost the lead and
/// regained it in a split that it has not heard of.
#[gtest]
fn given_a_stall_then_requests_for_a_primary_wait_for_a_snapshot_of_a_new_session() {
    for line in ["QUERY w1 WRITE k d", "QUERY w1 READ k", "QUERY t1 BEGIN\r\nQUERY w1 WRITE k d"] {
        let mut node = TestNode::new();
        let client = node.connect_client("shop");
        node.now += 3_000 * MS;
        node.send_line(client, line);
        // A snapshot of the session before the stall may be as old as the stall.
        let snapshot = snapshot();
        node.core.apply_feed_message(snapshot.clone(), node.now).expect("snapshot is accepted");
        node.apply_effects();
        expect_that!(node.core.needs_new_session(), eq(true));
        expect_that!(node.statement_count(" k"), eq(0), "{line}");
        expect_that!(node.core.begin_control_session(node.now), eq((0, 0)));
        node.core.apply_feed_message(snapshot, node.now).expect("snapshot is accepted");
        node.apply_effects();
        node.advance(20 * MS);
        expect_that!(node.sent_statements.is_empty(), eq(false), "{line}");
    }
}

fn report_serials(node: &mut TestNode) -> Vec<u64> {
    let serial = |message: Message| match message {
        Message::ShardReport(report) => Some(report.serial),
        _ => None,
    };
    node.core.take_split_reports(false).into_iter().filter_map(serial).collect()
}

fn map(version: u64, term: u64) -> FeedUpdate {
    FeedUpdate::Slots(SlotMap { shard: "s".to_owned(), version, term, ..SlotMap::default() })
}

/// Guards against writes that a split does not know of: a plan was in force for a moment before its slot map came, and
/// what was first written then was left behind.
#[gtest]
fn given_a_plan_without_a_slot_map_then_nothing_is_sent_and_with_one_first_writes_wait_until_their_names_are_kept() {
    let mut node = TestNode::new();
    let (writer, reader) = (node.connect_client("shop"), node.connect_client("shop"));
    node.configure(2, PLAN);
    node.send_line(writer, "QUERY w1 WRITE k d");
    node.send_line(reader, "QUERY r1 READ k");
    node.advance(20 * MS);
    expect_that!(node.statement_count("k"), eq(0));
    node.publish(map(1, 0));
    node.advance(10 * MS);
    expect_that!((node.statement_count("BEGIN"), node.statement_count("WRITE")), eq((1, 0)), "reads go on");
    let serials = report_serials(&mut node);
    expect_that!(serials.len(), eq(1));
    node.core.shard_report_acked("s", (NODE_INCARNATION, serials[0]), node.now);
    node.apply_effects();
    node.advance(5 * MS);
    expect_that!(node.statement_count("QUERY w1"), eq(1));
}

/// Guards against a request that waited when the plan came being sent without a report of its key.
#[gtest]
fn given_a_write_that_waits_when_its_shard_gets_a_plan_then_its_key_is_reported_first() {
    for line in ["QUERY w1 WRITE k d", "QUERY d1 DEFINE mine WRITE q\r\nQUERY w1 EXECUTE mine k d"] {
        let mut node = TestNode::new();
        let client = node.connect_client("shop");
        // Only the stall keeps it from being sent.
        node.now += 3_000 * MS;
        node.send_line(client, line);
        node.configure(2, PLAN);
        node.publish(map(1, 0));
        node.core.begin_control_session(node.now);
        node.core.apply_feed_message(snapshot(), node.now).expect("snapshot is accepted");
        node.apply_effects();
        node.advance(20 * MS);
        expect_that!(node.statement_count("QUERY w1"), eq(0), "{line}");
        expect_that!(report_serials(&mut node).len(), eq(1), "{line}");
    }
}

/// Guards against a withdrawn plan leaving first writes refused for ever, and against names kept for an earlier plan
/// being taken for kept when the plan is made again.
#[gtest]
fn given_a_plan_withdrawn_and_made_again_then_writes_go_on_meanwhile_and_names_are_kept_anew() {
    let mut node = TestNode::new();
    let client = node.connect_client("shop");
    node.configure(2, PLAN);
    node.publish(map(1, 0));
    node.send_line(client, "QUERY w1 WRITE k d");
    let serials = report_serials(&mut node);
    node.core.shard_report_acked("s", (NODE_INCARNATION, serials[0]), node.now);
    node.apply_effects();
    node.advance(10 * MS);
    let db = node.busy_connection().expect("it was sent");
    node.db_sends(db, "COMPLETE stamp-1\r\nIDLE I 3.9\r\n", 1);
    node.configure(3, "");
    // The feed of a control node may still hold the map of the withdrawn plan.
    node.publish(map(2, 3));
    node.send_line(client, "QUERY w2 WRITE l d");
    node.advance(10 * MS);
    expect_that!(node.statement_count("QUERY w2"), eq(1));
    let db = node.busy_connection().expect("it was sent");
    node.db_sends(db, "COMPLETE stamp-2\r\nIDLE I 3.10\r\n", 1);
    node.configure(4, PLAN);
    node.send_line(client, "QUERY w3 WRITE k d");
    node.advance(10 * MS);
    expect_that!(node.statement_count("QUERY w3"), eq(0));
    expect_that!(report_serials(&mut node).len(), eq(1));
}
