//! Acknowledgements of split reports count only for the reports of the same incarnation and split attempt.
mod common;

use common::{TestNode, NODE_INCARNATION};
use googletest::prelude::*;
use wv_internal_protocol::{Message, SlotMap, SlotRange, SplitPhase};

#[gtest]
fn given_acknowledgements_of_an_earlier_incarnation_or_attempt_then_a_write_keeps_waiting() {
    let moving = Some(SlotRange { from: 0, until: 1024, target: "t".to_owned() });
    let (shard, phase) = ("s".to_owned(), SplitPhase::Copying);
    let map = SlotMap { shard, phase, moving, version: 9, term: 3, attempt: 5, ..SlotMap::default() };
    let mut node = TestNode::with_split_plan(map);
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY w1 WRITE k d");
    let (mut dirty_serial, mut sample_serial) = (0, 0);
    for message in node.core.take_split_reports(false) {
        match message {
            Message::DirtyKeys(report) => {
                (dirty_serial, _) =
                    (report.serial, expect_that!((report.incarnation, report.attempt), eq((NODE_INCARNATION, 5))))
            }
            Message::ShardReport(report) => {
                (sample_serial, _) = (report.serial, expect_that!(report.incarnation, eq(NODE_INCARNATION)))
            }
            _ => {}
        }
    }
    expect_that!((dirty_serial > 0, sample_serial > 0), eq((true, true)));
    // An earlier incarnation of the node used the same serial numbers.
    node.core.dirty_keys_acked("s", 5, (NODE_INCARNATION - 1, dirty_serial), node.now);
    node.core.dirty_keys_acked("s", 4, (NODE_INCARNATION, dirty_serial), node.now);
    node.core.shard_report_acked("s", (NODE_INCARNATION, sample_serial), node.now);
    node.apply_effects();
    expect_that!(
        node.statement_count("WRITE"),
        eq(0),
        "the coordinator does not yet know that this incarnation writes"
    );
    node.core.dirty_keys_acked("s", 5, (NODE_INCARNATION, dirty_serial), node.now);
    node.apply_effects();
    expect_that!(node.statement_count("WRITE"), eq(1));
    let client = node.connect_client("shop");
    node.send_line(client, "QUERY w2 WRITE l d");
    let serial = |message: &Message| match message {
        Message::ShardReport(report) => Some(report.serial),
        _ => None,
    };
    let sample_serial = node.core.take_split_reports(false).iter().find_map(serial).expect("a new key is reported");
    node.core.shard_report_acked("s", (NODE_INCARNATION - 1, sample_serial), node.now);
    node.apply_effects();
    expect_that!(node.statement_count("QUERY w2"), eq(0), "its key is not yet persisted");
    node.core.shard_report_acked("s", (NODE_INCARNATION, sample_serial), node.now);
    node.apply_effects();
    expect_that!(node.statement_count("QUERY w2"), eq(1));
}

/// Guards against a key that is not UTF-8 being reported under another name: its first write was never run, and a
/// split left its row behind.
#[gtest]
fn given_a_key_that_is_not_utf8_then_it_is_reported_byte_for_byte_and_its_write_proceeds() {
    let key = b"caf\xe9\n\xc3".to_vec();
    let moving = Some(SlotRange { from: 0, until: 1024, target: "t".to_owned() });
    let (shard, phase) = ("s".to_owned(), SplitPhase::Copying);
    let map = SlotMap { shard, phase, moving, version: 9, term: 3, attempt: 5, ..SlotMap::default() };
    let mut node = TestNode::with_split_plan(map);
    let client = node.connect_client("shop");
    node.core.client_data(client, &[b"QUERY w1 WRITE ", &key[..], b" d\r\n"].concat(), node.now);
    node.apply_effects();
    let mut reported_keys = Vec::new();
    for message in node.core.take_split_reports(false) {
        match message {
            Message::DirtyKeys(report) => {
                node.core.dirty_keys_acked("s", 5, (NODE_INCARNATION, report.serial), node.now);
            }
            Message::ShardReport(report) => {
                node.core.shard_report_acked("s", (NODE_INCARNATION, report.serial), node.now);
                reported_keys.extend(report.keys);
            }
            _ => {}
        }
    }
    node.apply_effects();
    expect_that!(reported_keys, eq(&vec![key.clone()]));
    expect_that!(node.statement_count("QUERY w1 WRITE caf"), eq(1));
    // The write has ended: the key is copied again.
    let db = node.busy_connection().expect("the write was sent");
    node.db_sends(db, "COMPLETE stamp-1\r\nIDLE I 3.9\r\n", 1);
    let dirty = node.core.take_split_reports(false).into_iter().find_map(|message| match message {
        Message::DirtyKeys(report) => Some(report.keys),
        _ => None,
    });
    expect_that!(dirty, some(eq(&vec![key])));
}
