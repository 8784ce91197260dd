//! Split reports between nodes of different versions: keys were text in earlier ones and are bytes now.
use googletest::prelude::*;
use nanoserde::{DeBin, SerBin};
use wv_internal_protocol::{DirtyKeys, ShardReport};

/// `DirtyKeys` as sent by earlier versions.
#[derive(SerBin, DeBin, Default)]
struct TextDirtyKeys {
    shard: String,
    attempt: u64,
    incarnation: u64,
    serial: u64,
    keys: Vec<String>,
    is_last: bool,
}

/// Guards against nodes of two versions reading each other's reports differently.
#[gtest]
fn given_a_report_of_an_earlier_version_then_its_keys_are_read_and_the_other_way_round() {
    let keys = ["{7}deed", "caf\u{e9}", "two\nlines"];
    let sent = TextDirtyKeys {
        shard: "s".to_owned(),
        attempt: 5,
        incarnation: 77,
        serial: 3,
        keys: keys.map(str::to_owned).to_vec(),
        is_last: true,
    };
    let read: DirtyKeys = DeBin::deserialize_bin(&sent.serialize_bin()).expect("a report");
    let expected = keys.map(|key| key.as_bytes().to_vec()).to_vec();
    expect_that!((&read.keys, read.is_last, read.serial), eq((&expected, true, 3)));
    expect_that!(read.serialize_bin(), eq(&sent.serialize_bin()));
}

#[gtest]
fn given_a_key_that_is_not_utf8_then_the_report_is_read_back_unchanged() {
    let sent = ShardReport { shard: "s".to_owned(), keys: vec![b"caf\xe9\n".to_vec()], ..ShardReport::default() };
    let read: ShardReport = DeBin::deserialize_bin(&sent.serialize_bin()).expect("a report");
    expect_that!(read, eq(&sent));
}
