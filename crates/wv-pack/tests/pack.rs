use googletest::prelude::*;
use wv_pack::{apply, delta, pack, unpack, PackError};

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
