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
