//! Acknowledgements of split reports count only for the reports of the same incarnation and split attempt.
mod common;

use common::{Bare, LIFE};
use googletest::prelude::*;
use wv_internal_protocol::{Message, SlotMap, SlotRange, SplitPhase};

#[gtest]
fn given_acknowledgements_of_an_earlier_incarnation_or_attempt_then_a_write_keeps_waiting() {
    let moving = Some(SlotRange { from: 0, until: 1024, target: "t".to_owned() });
    let (shard, phase) = ("s".to_owned(), SplitPhase::Copying);
    let map = SlotMap { shard, phase, moving, version: 9, term: 3, attempt: 5, ..SlotMap::default() };
    let mut bare = Bare::planned(map);
    let client = bare.client("shop");
    bare.say(client, "QUERY w1 WRITE k d");
    let (mut dirty_serial, mut sample_serial) = (0, 0);
    for msg in bare.core.take_split_reports(false) {
        match msg {
            Message::DirtyKeys(report) => {
                (dirty_serial, _) = (report.serial, expect_that!((report.incarnation, report.attempt), eq((LIFE, 5))))
            }
            Message::KeySamples(report) => {
                (sample_serial, _) = (report.serial, expect_that!(report.incarnation, eq(LIFE)))
            }
            _ => {}
        }
    }
    expect_that!((dirty_serial > 0, sample_serial > 0), eq((true, true)));
    // An earlier incarnation of the node used the same serial numbers.
    bare.core.dirty_keys_acked("s", 5, (LIFE - 1, dirty_serial), bare.now);
    bare.core.dirty_keys_acked("s", 4, (LIFE, dirty_serial), bare.now);
    bare.core.key_samples_acked("s", (LIFE, sample_serial), bare.now);
    bare.obey();
    expect_that!(bare.count("WRITE"), eq(0), "the coordinator does not yet know that this incarnation writes");
    bare.core.dirty_keys_acked("s", 5, (LIFE, dirty_serial), bare.now);
    bare.obey();
    expect_that!(bare.count("WRITE"), eq(1));
    let client = bare.client("shop");
    bare.say(client, "QUERY w2 WRITE l d");
    let serial = |msg: &Message| match msg {
        Message::KeySamples(report) => Some(report.serial),
        _ => None,
    };
    let sample_serial = bare.core.take_split_reports(false).iter().find_map(serial).expect("a new key is reported");
    bare.core.key_samples_acked("s", (LIFE - 1, sample_serial), bare.now);
    bare.obey();
    expect_that!(bare.count("QUERY w2"), eq(0), "its key is not yet persisted");
    bare.core.key_samples_acked("s", (LIFE, sample_serial), bare.now);
    bare.obey();
    expect_that!(bare.count("QUERY w2"), eq(1));
}
