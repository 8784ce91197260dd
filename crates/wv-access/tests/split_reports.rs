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
    let mut bare = TestNode::with_split_plan(map);
    let client = bare.connect_client("shop");
    bare.send_line(client, "QUERY w1 WRITE k d");
    let (mut dirty_serial, mut sample_serial) = (0, 0);
    for message in bare.core.take_split_reports(false) {
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
    bare.core.dirty_keys_acked("s", 5, (NODE_INCARNATION - 1, dirty_serial), bare.now);
    bare.core.dirty_keys_acked("s", 4, (NODE_INCARNATION, dirty_serial), bare.now);
    bare.core.shard_report_acked("s", (NODE_INCARNATION, sample_serial), bare.now);
    bare.apply_effects();
    expect_that!(
        bare.statement_count("WRITE"),
        eq(0),
        "the coordinator does not yet know that this incarnation writes"
    );
    bare.core.dirty_keys_acked("s", 5, (NODE_INCARNATION, dirty_serial), bare.now);
    bare.apply_effects();
    expect_that!(bare.statement_count("WRITE"), eq(1));
    let client = bare.connect_client("shop");
    bare.send_line(client, "QUERY w2 WRITE l d");
    let serial = |message: &Message| match message {
        Message::ShardReport(report) => Some(report.serial),
        _ => None,
    };
    let sample_serial = bare.core.take_split_reports(false).iter().find_map(serial).expect("a new key is reported");
    bare.core.shard_report_acked("s", (NODE_INCARNATION - 1, sample_serial), bare.now);
    bare.apply_effects();
    expect_that!(bare.statement_count("QUERY w2"), eq(0), "its key is not yet persisted");
    bare.core.shard_report_acked("s", (NODE_INCARNATION, sample_serial), bare.now);
    bare.apply_effects();
    expect_that!(bare.statement_count("QUERY w2"), eq(1));
}
