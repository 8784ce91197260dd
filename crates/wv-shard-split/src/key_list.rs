//! Stored form of a list of key names, each followed by a line feed.
//!
//! Names are stored as they are, as in all earlier versions, unless one of them holds a line feed. The list is then
//! escaped and begins with a marker that no list of an earlier version begins with.

/// Begins an escaped list. Earlier versions could store an empty name, but not two.
const ESCAPED_LIST_MARKER: &[u8] = b"\n\n";

/// Encodes names; an empty one is not kept.
pub fn encode_key_list<'a>(names: impl Iterator<Item = &'a [u8]> + Clone) -> Vec<u8> {
    let is_escaped = names.clone().any(|name| name.contains(&b'\n'));
    let mut list = if is_escaped { ESCAPED_LIST_MARKER.to_vec() } else { Vec::new() };
    for name in names.filter(|name| !name.is_empty()) {
        match is_escaped {
            true => escape(name, &mut list),
            false => list.extend_from_slice(name),
        }
        list.push(b'\n');
    }
    list
}

/// Decodes a list of this or an earlier version. A name that was cut off at its end is not returned.
pub fn decode_key_list(list: &[u8]) -> Vec<Box<[u8]>> {
    let (lines, is_escaped) = match list.strip_prefix(ESCAPED_LIST_MARKER) {
        Some(lines) => (lines, true),
        None => (list, false),
    };
    let names = lines.split_inclusive(|byte| *byte == b'\n').filter_map(|line| line.strip_suffix(b"\n"));
    let names = names.filter(|name| !name.is_empty());
    names.map(|name| if is_escaped { unescape(name) } else { Box::from(name) }).collect()
}

fn escape(name: &[u8], out: &mut Vec<u8>) {
    for byte in name {
        match byte {
            b'\\' => out.extend_from_slice(b"\\\\"),
            b'\n' => out.extend_from_slice(b"\\n"),
            byte => out.push(*byte),
        }
    }
}

fn unescape(name: &[u8]) -> Box<[u8]> {
    let mut bytes = name.iter().copied();
    let mut next = || match bytes.next()? {
        b'\\' => bytes.next().map(|byte| if byte == b'n' { b'\n' } else { byte }),
        byte => Some(byte),
    };
    std::iter::from_fn(&mut next).collect()
}
