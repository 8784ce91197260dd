//! Stored lists of key names: any name comes back as it was, and lists of earlier versions are still read.
use googletest::prelude::*;
use wv_shard_split::{decode_key_list, encode_key_list};

fn decoded(list: &[u8]) -> Vec<Vec<u8>> {
    decode_key_list(list).into_iter().map(Vec::from).collect()
}

/// Guards against a name being read back as two names, or as another one.
#[gtest]
fn given_names_of_any_bytes_then_the_stored_list_holds_exactly_these() {
    let names: [&[u8]; 9] =
        [b"a\nb", b"\n", b"\\", b"\\n", b"c\\\nd\\", b"\x02", b"e\r", b"caf\xe9\x00\x02", b"{7}deed"];
    for end in 0..=names.len() {
        let list = encode_key_list(names[..end].iter().copied());
        expect_that!(decoded(&list), eq(&names[..end].iter().map(|name| name.to_vec()).collect::<Vec<_>>()));
    }
}

#[gtest]
fn given_names_without_line_feeds_then_the_list_is_stored_as_by_earlier_versions() {
    let list = b"a\\nb\n\x02\n{7}deed\n";
    expect_that!(decoded(list), eq(&vec![b"a\\nb".to_vec(), b"\x02".to_vec(), b"{7}deed".to_vec()]));
    let names = decode_key_list(list);
    expect_that!(encode_key_list(names.iter().map(|name| &**name)), eq(&list.to_vec()));
    // Earlier versions could store an empty name.
    expect_that!(decoded(b"\na\n"), eq(&vec![b"a".to_vec()]));
}

/// Guards against a list that was cut off being read as other names.
#[gtest]
fn given_a_list_cut_at_any_byte_then_the_names_before_the_cut_are_read_and_no_others() {
    let plain: [&[u8]; 3] = [b"first", b"sec\\nond", b"third"];
    let escaped: [&[u8]; 3] = [b"first", b"sec\nond", b"th\\ird"];
    for names in [plain, escaped] {
        let list = encode_key_list(names.into_iter());
        for cut in 0..=list.len() {
            let read = decoded(&list[..cut]);
            expect_that!(
                read,
                eq(&names[..read.len()].iter().map(|name| name.to_vec()).collect::<Vec<_>>()),
                "cut at {cut}"
            );
        }
        expect_that!(decoded(&list).len(), eq(3));
    }
}
