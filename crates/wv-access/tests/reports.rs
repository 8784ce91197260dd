//! Stories of what the holder of a planned shard's split has taken: of this life's reports, by their numbers.
mod common;

use common::{TestNode, NODE_INCARNATION};
use googletest::prelude::*;
use wv_internal_protocol::{Message, SlotMap, SlotRange, SplitPhase};

#[gtest]
fn given_word_to_reports_of_an_earlier_life_or_try_then_a_write_waits_for_that_to_its_own() {
    let moving = Some(SlotRange { from: 0, until: 1024, target: "t".to_owned() });
    let (shard, phase) = ("s".to_owned(), SplitPhase::Copying);
    let map = SlotMap { shard, phase, moving, version: 9, term: 3, attempt: 5, ..SlotMap::default() };
    let mut bare = TestNode::with_split_plan(map);
    let client = bare.connect_client("shop");
    bare.send_line(client, "QUERY w1 WRITE k d");
    let (mut marks, mut fill) = (0, 0);
    for msg in bare.core.take_reports(false) {
        match msg {
            Message::DirtyKeys(sent) => {
                (marks, _) = (sent.serial, expect_that!((sent.incarnation, sent.attempt), eq((NODE_INCARNATION, 5))))
            }
            Message::KeySamples(sent) => {
                (fill, _) = (sent.serial, expect_that!(sent.incarnation, eq(NODE_INCARNATION)))
            }
            _ => {}
        }
    }
    expect_that!((marks > 0, fill > 0), eq((true, true)));
    // A node of this name had a life before, in which its numbers were the same.
    bare.core.marked("s", 5, (NODE_INCARNATION - 1, marks), bare.now);
    bare.core.marked("s", 4, (NODE_INCARNATION, marks), bare.now);
    bare.core.filled("s", (NODE_INCARNATION, fill), bare.now);
    bare.apply_effects();
    expect_that!(bare.statement_count("WRITE"), eq(0), "the holder does not know yet that this life writes");
    bare.core.marked("s", 5, (NODE_INCARNATION, marks), bare.now);
    bare.apply_effects();
    expect_that!(bare.statement_count("WRITE"), eq(1));
    let client = bare.connect_client("shop");
    bare.send_line(client, "QUERY w2 WRITE l d");
    let told = |msg: &Message| match msg {
        Message::KeySamples(sent) => Some(sent.serial),
        _ => None,
    };
    let fill = bare.core.take_reports(false).iter().find_map(told).expect("a new name is told");
    bare.core.filled("s", (NODE_INCARNATION - 1, fill), bare.now);
    bare.apply_effects();
    expect_that!(bare.statement_count("QUERY w2"), eq(0), "its name is not kept yet");
    bare.core.filled("s", (NODE_INCARNATION, fill), bare.now);
    bare.apply_effects();
    expect_that!(bare.statement_count("QUERY w2"), eq(1));
}
