use googletest::prelude::*;
use wv_compression::{
    apply_delta, compress, decompress, encode_delta, ChunkedCompressor, CompressionError, PieceMatcher,
};

fn body(issue: u32, routes: std::ops::Range<u32>) -> Vec<u8> {
    let routes: Vec<String> =
        routes.map(|at| format!("{{\"label\":\"r-{}\",\"host\":\"h{at}\"}}", at * 7919)).collect();
    format!("{{\"issue\":{issue},\"routing\":[{}],\"limits\":{{}}}}", routes.join(",")).into_bytes()
}

#[gtest]
fn given_added_and_removed_routes_then_the_delta_is_short_and_restores_the_new_body() {
    let (old, new) = (body(1, 0..1400), body(2, 3..1403));
    let delta = encode_delta(&old, &new);
    expect_that!(delta.len(), lt(600));
    expect_that!(apply_delta(&old, &delta, 1 << 20), ok(eq(&new)));
    // Applied to any other body it fails rather than producing a wrong body.
    expect_that!(apply_delta(&body(1, 1..1401), &delta, 1 << 20), err(eq(&CompressionError::ChecksumMismatch)));
    expect_that!(apply_delta(&body(1, 0..5), &delta, 1 << 20), err(eq(&CompressionError::InvalidDelta)));
    expect_that!(apply_delta(&old, &delta, 100), err(eq(&CompressionError::InvalidDelta)));
    expect_that!(apply_delta(&old, b"\x01nonsense", 1 << 20), err(anything()));
}

#[gtest]
fn given_equal_empty_or_unrelated_bodies_then_the_delta_restores_the_new_body() {
    for (old, new) in [(body(1, 0..3), body(1, 0..3)), (Vec::new(), body(1, 0..3)), (body(1, 0..3), b"x".to_vec())] {
        expect_that!(apply_delta(&old, &encode_delta(&old, &new), 1 << 20), ok(eq(&new)));
    }
}

#[gtest]
fn given_a_compressed_body_then_it_decompresses_unchanged_and_within_the_length_limit() {
    let long = body(1, 0..1400);
    let compressed = compress(&long);
    expect_that!(compressed.len() * 3, lt(long.len()));
    expect_that!(decompress(&compressed, long.len()).map(|body| body.into_owned()), ok(eq(&long)));
    expect_that!(
        decompress(&compressed, long.len() - 1).map(|body| body.into_owned()),
        err(eq(&CompressionError::InvalidCompressed))
    );
    expect_that!(decompress(b"{}", 10).map(|body| body.into_owned()), ok(eq(&b"{}".to_vec())));
    expect_that!(
        decompress(&compressed[..compressed.len() / 2], 1 << 20).map(|body| body.into_owned()),
        err(anything())
    );
}

#[gtest]
fn given_a_chunked_body_then_a_small_change_affects_only_few_chunks() {
    let (old, new) = (body(1, 0..4000), body(2, 100..4001));
    let mut compressor = ChunkedCompressor::default();
    let first = compressor.compress(&old);
    expect_that!(first.len(), lt(compress(&old).len() * 6 / 5));
    compressor.set_reference(old.clone().into(), first.clone());
    expect_that!(compressor.compress(&old), eq(&first));
    let second = compressor.compress(&new);
    // The output does not depend on the reference, so that all nodes store identical bytes.
    expect_that!(second, eq(&ChunkedCompressor::default().compress(&new)));
    let chunks = |bytes: &[u8]| -> Vec<Vec<u8>> {
        let (mut at, mut found) = (1, Vec::new());
        while at < bytes.len() {
            let len = u32::from_le_bytes(bytes[at + 4..at + 8].try_into().expect("four bytes")) as usize;
            found.push(bytes[at + 8..at + 8 + len].to_vec());
            at += 8 + len;
        }
        found
    };
    let (old_chunks, new_chunks) = (chunks(&first), chunks(&second));
    expect_that!(new_chunks.len(), gt(8));
    expect_that!(new_chunks.iter().filter(|chunk| !old_chunks.contains(chunk)).count(), le(3));
    for bytes in [&first, &second] {
        let whole = if *bytes == first { &old } else { &new };
        expect_that!(compressor.decompress(bytes, 1 << 20), ok(eq(whole)));
        expect_that!(decompress(bytes, 1 << 20).map(|body| body.into_owned()), ok(eq(whole)));
        expect_that!(compressor.decompress(bytes, whole.len() - 1), err(eq(&CompressionError::InvalidCompressed)));
    }
    expect_that!(compressor.decompress(&compress(&new), 1 << 20), ok(eq(&new)));
    expect_that!(
        compressor.decompress(&first[..first.len() - 1], 1 << 20),
        err(eq(&CompressionError::InvalidCompressed))
    );
    expect_that!(
        compressor.decompress(&[3, 255, 255, 255, 255, 1, 0, 0, 0, 7], 1 << 20),
        err(eq(&CompressionError::InvalidCompressed))
    );
}

#[gtest]
fn given_moved_added_and_removed_pieces_then_known_pieces_are_found() {
    let old_pieces: Vec<Vec<u8>> = (0..100u32).map(|at| at.to_string().into_bytes()).collect();
    let mut matcher = PieceMatcher::new(old_pieces.len(), |at| old_pieces[at].as_slice());
    let in_order = [("0", Some(0)), ("3", Some(3)), ("x", None), ("y", None), ("4", Some(4))];
    // Pieces outside the near window are found only after several consecutive misses.
    let distant = [("90", None), ("91", None), ("92", None), ("93", Some(93)), ("94", Some(94)), ("2", None)];
    for (wanted, found) in in_order.into_iter().chain(distant) {
        expect_that!(matcher.find(wanted.as_bytes()), eq(found), "{wanted}");
    }
}
