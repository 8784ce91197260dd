//! Line splitting: only CR LF ends a line, wherever the input is cut.
use googletest::prelude::*;
use wv_wire_protocol::{is_overlong, split_line, write_query, ClientLine};

/// The lines of `input` when it arrives in the given parts.
fn lines_of(parts: &[&[u8]]) -> Vec<Vec<u8>> {
    let (mut buf, mut lines) = (Vec::new(), Vec::new());
    for part in parts {
        buf.extend_from_slice(part);
        while let Some((line, len)) = split_line(&buf) {
            lines.push(line.to_vec());
            buf.drain(..len);
        }
    }
    expect_that!(buf, is_empty(), "input left over");
    lines
}

/// Guards against a line feed or carriage return inside a field ending the line.
#[gtest]
fn given_lone_line_feeds_and_carriage_returns_in_fields_then_each_line_arrives_whole_for_every_cut() {
    let texts: [&[u8]; 6] = [
        b"WRITE a gate 4\nring twice",
        b"WRITE b x\nQUERY f0 WRITE c forged",
        b"WRITE d \n",
        b"WRITE e one\rtwo\r",
        b"WRITE f \n\n\r\r",
        b"WRITE g \xff\n\xfe",
    ];
    let mut input = Vec::new();
    texts.iter().for_each(|text| write_query(&mut input, b"q1", &[text]));
    let expected: Vec<Vec<u8>> = texts.iter().map(|text| [b"QUERY q1 ", *text].concat()).collect();
    for cut in 0..=input.len() {
        expect_that!(lines_of(&[&input[..cut], &input[cut..]]), eq(&expected), "cut at {cut}");
    }
    let bytes: Vec<&[u8]> = input.chunks(1).collect();
    expect_that!(lines_of(&bytes), eq(&expected));
}

#[gtest]
fn given_a_line_feed_in_the_text_of_a_query_then_it_is_parsed_as_part_of_the_text() {
    let (line, _) = split_line(b"QUERY q1 WRITE a x\nRELEASE\r\n").expect("a complete line");
    let text: &[u8] = b"WRITE a x\nRELEASE";
    expect_that!(ClientLine::parse(line), eq(ClientLine::Query { id: b"q1", text }));
}

#[gtest]
fn given_a_line_as_long_as_the_bound_then_it_is_not_overlong_while_its_terminator_is_incomplete() {
    expect_that!((is_overlong(b"abc", 3), is_overlong(b"abc\r", 3)), eq((false, false)));
    expect_that!((is_overlong(b"abcd", 3), is_overlong(b"abc\r\r", 3)), eq((true, true)));
}
