//! Names of databases and services in recordings, whose lines are made of words separated by blanks.
//!
//! Version 1 has names as they are. Version 2, written only if a name would break a line, has them percent-encoded.
use percent_encoding::{percent_decode_str, utf8_percent_encode, AsciiSet, CONTROLS};
use std::borrow::Cow;

/// The newest version of the recording format.
pub const RECORDING_VERSION: u32 = 2;
const ENCODED: &AsciiSet = &CONTROLS.add(b' ').add(b'%');

/// The version of a recording with these names.
pub fn recording_version<'a>(mut names: impl Iterator<Item = &'a str>) -> u32 {
    let breaks_line = |name: &str| name.chars().any(|char| char.is_whitespace() || char.is_control());
    if names.any(breaks_line) {
        2
    } else {
        1
    }
}

/// A name as written in a recording of `version`.
pub fn encode_recorded_name(version: u32, name: &str) -> Cow<'_, str> {
    match version {
        ..=1 => Cow::Borrowed(name),
        _ => utf8_percent_encode(name, ENCODED).into(),
    }
}

/// The name that `word` stands for in a recording of `version`; `None` if it is not UTF-8.
pub fn decode_recorded_name(version: u32, word: &str) -> Option<Cow<'_, str>> {
    match version {
        ..=1 => Some(Cow::Borrowed(word)),
        _ => percent_decode_str(word).decode_utf8().ok(),
    }
}
