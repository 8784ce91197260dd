use googletest::prelude::*;
use wv_compression::{apply, delta, pack, unpack, Align, PackError, Packs};

fn body(issue: u32, routes: std::ops::Range<u32>) -> Vec<u8> {
    let routes: Vec<String> =
        routes.map(|at| format!("{{\"label\":\"r-{}\",\"host\":\"h{at}\"}}", at * 7919)).collect();
    format!("{{\"issue\":{issue},\"routing\":[{}],\"limits\":{{}}}}", routes.join(",")).into_bytes()
}

#[gtest]
fn given_a_long_configuration_that_gains_and_loses_routes_then_the_change_is_short_and_makes_it_whole() {
    let (old, new) = (body(1, 0..1400), body(2, 3..1403));
    let change = delta(&old, &new);
    expect_that!(change.len(), lt(600));
    expect_that!(apply(&old, &change, 1 << 20), ok(eq(&new)));
    // From any other body it makes nothing at all, rather than something else.
    expect_that!(apply(&body(1, 1..1401), &change, 1 << 20), err(eq(&PackError::Digest)));
    expect_that!(apply(&body(1, 0..5), &change, 1 << 20), err(eq(&PackError::Change)));
    expect_that!(apply(&old, &change, 100), err(eq(&PackError::Change)));
    expect_that!(apply(&old, b"\x01nonsense", 1 << 20), err(anything()));
}

#[gtest]
fn given_bodies_equal_empty_or_unlike_each_other_then_the_change_between_them_makes_the_new_one() {
    for (old, new) in [(body(1, 0..3), body(1, 0..3)), (Vec::new(), body(1, 0..3)), (body(1, 0..3), b"x".to_vec())] {
        expect_that!(apply(&old, &delta(&old, &new), 1 << 20), ok(eq(&new)));
    }
}

#[gtest]
fn given_a_packed_body_then_it_comes_back_as_it_was_and_never_longer_than_its_bound() {
    let long = body(1, 0..1400);
    let packed = pack(&long);
    expect_that!(packed.len() * 3, lt(long.len()));
    expect_that!(unpack(&packed, long.len()).map(|body| body.into_owned()), ok(eq(&long)));
    expect_that!(unpack(&packed, long.len() - 1).map(|body| body.into_owned()), err(eq(&PackError::Packed)));
    expect_that!(unpack(b"{}", 10).map(|body| body.into_owned()), ok(eq(&b"{}".to_vec())));
    expect_that!(unpack(&packed[..packed.len() / 2], 1 << 20).map(|body| body.into_owned()), err(anything()));
}

#[gtest]
fn given_a_body_in_chunks_then_a_small_change_packs_and_unpacks_only_the_chunks_that_it_touches() {
    let (old, new) = (body(1, 0..4000), body(2, 100..4001));
    let mut packs = Packs::default();
    let first = packs.pack(&old);
    expect_that!(first.len(), lt(pack(&old).len() * 6 / 5));
    packs.note(old.clone().into(), first.clone());
    expect_that!(packs.pack(&old), eq(&first));
    let second = packs.pack(&new);
    // Of whatever came before, the same bytes: copies of one body on several nodes are alike.
    expect_that!(second, eq(&Packs::default().pack(&new)));
    let chunks = |bytes: &[u8]| -> Vec<Vec<u8>> {
        let (mut at, mut found) = (1, Vec::new());
        while at < bytes.len() {
            let len = u32::from_le_bytes(bytes[at + 4..at + 8].try_into().expect("four bytes")) as usize;
            found.push(bytes[at + 8..at + 8 + len].to_vec());
            at += 8 + len;
        }
        found
    };
    let (olds, news) = (chunks(&first), chunks(&second));
    expect_that!(news.len(), gt(8));
    expect_that!(news.iter().filter(|chunk| !olds.contains(chunk)).count(), le(3));
    for bytes in [&first, &second] {
        let whole = if *bytes == first { &old } else { &new };
        expect_that!(packs.unpack(bytes, 1 << 20), ok(eq(whole)));
        expect_that!(unpack(bytes, 1 << 20).map(|body| body.into_owned()), ok(eq(whole)));
        expect_that!(packs.unpack(bytes, whole.len() - 1), err(eq(&PackError::Packed)));
    }
    expect_that!(packs.unpack(&pack(&new), 1 << 20), ok(eq(&new)));
    expect_that!(packs.unpack(&first[..first.len() - 1], 1 << 20), err(eq(&PackError::Packed)));
    expect_that!(packs.unpack(&[3, 255, 255, 255, 255, 1, 0, 0, 0, 7], 1 << 20), err(eq(&PackError::Packed)));
}

#[gtest]
fn given_pieces_that_moved_came_or_went_then_each_that_stood_before_is_found() {
    let olds: Vec<Vec<u8>> = (0..100u32).map(|at| at.to_string().into_bytes()).collect();
    let mut align = Align::new(olds.len(), |at| olds[at].as_slice());
    let course = [("0", Some(0)), ("3", Some(3)), ("x", None), ("y", None), ("4", Some(4))];
    // What lies further off is looked for once several in a row were not where they are expected.
    let lost = [("90", None), ("91", None), ("92", None), ("93", Some(93)), ("94", Some(94)), ("2", None)];
    for (wanted, found) in course.into_iter().chain(lost) {
        expect_that!(align.find(wanted.as_bytes()), eq(found), "{wanted}");
    }
}
