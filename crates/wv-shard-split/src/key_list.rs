//! Stored form of a list of key names, one per line.
//!
//! Names are stored as they are, as in all earlier versions, unless one of them holds a line feed. The list is then
//! escaped and ends with a marker; a list as stored by earlier versions is empty or ends with a line feed.

/// Ends an escaped list.
const ESCAPED_LIST_MARKER: u8 = 0x02;

/// Encodes names; an empty one is not kept.
pub fn encode_key_list<'a>(names: impl Iterator<Item = &'a [u8]> + Clone) -> Vec<u8> {
    let is_escaped = names.clone().any(|name| name.contains(&b'\n'));
    let mut list = Vec::new();
    for name in names {
        match is_escaped {
            true => escape(name, &mut list),
            false => list.extend_from_slice(name),
        }
        list.push(b'\n');
    }
    if is_escaped {
        list.push(ESCAPED_LIST_MARKER);
    }
    list
}

/// Decodes a list of this or an earlier version.
pub fn decode_key_list(list: &[u8]) -> Vec<Box<[u8]>> {
    let (lines, is_escaped) = match list.strip_suffix(&[ESCAPED_LIST_MARKER]) {
        Some(lines) => (lines, true),
        None => (list, false),
    };
    let names = lines.split(|byte| *byte == b'\n').filter(|name| !name.is_empty());
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
