//! The line wire that clients and databases share: borrowed views over owned buffers.
mod code;
mod db;
mod text;

pub use code::Code;
pub use db::{parse_status, DbLine, Pos, Status};
pub use text::{ClientLine, Kind, Text};

/// No message is ever longer than this, whatever the operator allows.
pub const MESSAGE_MAX: usize = 1 << 20;

/// Cuts the first whole line off `buf`: its bytes without the line end, and how many bytes it took.
pub fn cut_line(buf: &[u8]) -> Option<(&[u8], usize)> {
    memchr::memchr(b'\n', buf).map(|end| {
        let line = &buf[..end];
        (line.strip_suffix(b"\r").unwrap_or(line), end + 1)
    })
}

/// Splits at the first blank: the word and what follows it.
pub fn cut_word(line: &[u8]) -> (&[u8], &[u8]) {
    memchr::memchr(b' ', line).map_or((line, &line[line.len()..]), |at| (&line[..at], &line[at + 1..]))
}

/// Writes one line made of `parts` with blanks between them.
pub fn put_line(out: &mut Vec<u8>, parts: &[&[u8]]) {
    for (at, part) in parts.iter().enumerate() {
        if at > 0 {
            out.push(b' ');
        }
        out.extend_from_slice(part);
    }
    out.extend_from_slice(b"\r\n");
}

/// Writes `QUERY id text`.
pub fn put_query(out: &mut Vec<u8>, id: &[u8], text: &[&[u8]]) {
    out.extend_from_slice(b"QUERY ");
    out.extend_from_slice(id);
    out.push(b' ');
    put_line(out, text);
}

/// Writes the `IDLE` line that closes every return.
pub fn put_idle(out: &mut Vec<u8>, state: u8, pos: Option<Pos>) {
    out.extend_from_slice(b"IDLE ");
    out.push(state);
    out.push(b' ');
    match pos {
        Some(pos) => out.extend_from_slice(pos.to_string().as_bytes()),
        None => out.push(b'-'),
    }
    out.extend_from_slice(b"\r\n");
}

/// Writes `ERROR code text` and its `IDLE`.
pub fn put_error(out: &mut Vec<u8>, code: Code, text: &str, state: u8) {
    put_line(out, &[b"ERROR", code.word().as_bytes(), text.as_bytes()]);
    put_idle(out, state, None);
}
