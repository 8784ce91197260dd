//! Line protocol spoken by clients and databases. Parsed lines borrow from the input buffer.
//!
//! A line ends at CR LF and at nothing else, and its fields are bytes: they need not be UTF-8.
mod client;
mod database;
mod error_code;

pub use client::{ClientLine, Statement, StatementKind};
pub use database::{parse_status, DatabaseLine, DatabaseStatus, LogPosition};
pub use error_code::ErrorCode;

use memchr::memmem::Finder;
use std::sync::LazyLock;

/// Upper bound on the message size, regardless of configured limits.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Ends every line. A CR or LF on its own is part of a field.
const TERMINATOR: &[u8] = b"\r\n";

static TERMINATOR_FINDER: LazyLock<Finder<'static>> = LazyLock::new(|| Finder::new(TERMINATOR));

/// Returns the first complete line of `buf` without its terminator, and the number of bytes consumed.
pub fn split_line(buf: &[u8]) -> Option<(&[u8], usize)> {
    TERMINATOR_FINDER.find(buf).map(|end| (&buf[..end], end + TERMINATOR.len()))
}

/// Whether an incomplete line already holds more than `max_bytes`. A CR at its end may belong to the terminator.
pub fn is_overlong(incomplete: &[u8], max_bytes: usize) -> bool {
    incomplete.strip_suffix(b"\r").unwrap_or(incomplete).len() > max_bytes
}

/// Splits `line` at the first space.
pub fn split_word(line: &[u8]) -> (&[u8], &[u8]) {
    memchr::memchr(b' ', line).map_or((line, &line[line.len()..]), |at| (&line[..at], &line[at + 1..]))
}

/// Writes `parts` as one line, separated by spaces.
pub fn write_line(out: &mut Vec<u8>, parts: &[&[u8]]) {
    for (at, part) in parts.iter().enumerate() {
        if at > 0 {
            out.push(b' ');
        }
        out.extend_from_slice(part);
    }
    out.extend_from_slice(TERMINATOR);
}

/// Writes `QUERY id text`.
pub fn write_query(out: &mut Vec<u8>, id: &[u8], text: &[&[u8]]) {
    out.extend_from_slice(b"QUERY ");
    out.extend_from_slice(id);
    out.push(b' ');
    write_line(out, text);
}

/// Writes the `IDLE` line that ends every response.
pub fn write_idle(out: &mut Vec<u8>, state: u8, pos: Option<LogPosition>) {
    out.extend_from_slice(b"IDLE ");
    out.push(state);
    out.push(b' ');
    match pos {
        Some(pos) => out.extend_from_slice(pos.to_string().as_bytes()),
        None => out.push(b'-'),
    }
    out.extend_from_slice(TERMINATOR);
}

/// Writes an `ERROR` line followed by `IDLE`.
pub fn write_error(out: &mut Vec<u8>, code: ErrorCode, text: &[u8], state: u8) {
    write_line(out, &[b"ERROR", code.as_str().as_bytes(), text]);
    write_idle(out, state, None);
}
