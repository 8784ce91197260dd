//! A body packed in chunks. A chunk that stood in the last body is neither packed nor unpacked again, so a small change
//! of a long body costs what it changes. Chunks end by what stands in them, not by their places: an entry that came in
//! moves the ends that follow, and does not make new ones.
use crate::{PackError, LEVEL, SHORT};

/// Bodies in chunks begin with this, which no text in JSON and no other form begins with.
pub(crate) const MARK: u8 = 3;
/// A chunk ends behind one entry in so many, on average, and wherever it has come to the greatest length.
const ENTRIES: u32 = 64;
const CHUNK_LEAST: usize = 4 << 10;
const CHUNK_MOST: usize = 64 << 10;
/// Before each chunk: the lengths of its text and of its packed bytes.
const HEAD: usize = 8;

#[derive(Clone, Copy)]
struct Chunk {
    plain: (usize, usize),
    packed: (usize, usize),
}

/// The last body and its packed form, chunk by chunk.
#[derive(Default)]
pub struct Packs {
    body: std::rc::Rc<[u8]>,
    packed: Vec<u8>,
    chunks: Vec<Chunk>,
}

/// The length of the first chunk of a text.
fn cut(text: &[u8]) -> usize {
    let mut len = 0;
    for piece in crate::delta::split(text) {
        len += piece.len();
        if len >= CHUNK_MOST || (len >= CHUNK_LEAST && crate::digest(piece).is_multiple_of(ENTRIES)) {
            break;
        }
    }
    len.min(CHUNK_MOST)
}

/// Reads the chunks of a packed body: where their texts and their packed bytes stand.
fn read(bytes: &[u8], bound: usize) -> Result<Vec<Chunk>, PackError> {
    let number = |at: usize| bytes.get(at..at + 4)?.first_chunk::<4>().map(|four| u32::from_le_bytes(*four) as usize);
    let (mut at, mut from, mut chunks) = (1, 0usize, Vec::new());
    while at < bytes.len() {
        let (len, packed) = number(at).zip(number(at + 4)).ok_or(PackError::Packed)?;
        let (start, end) = (at + HEAD, (at + HEAD).saturating_add(packed));
        if len == 0 || len > CHUNK_MOST || end > bytes.len() || from + len > bound {
            return Err(PackError::Packed);
        }
        chunks.push(Chunk { plain: (from, from + len), packed: (start, end) });
        (at, from) = (end, from + len);
    }
    Ok(chunks)
}

impl Packs {
    /// What packing and unpacking go by from now on: a body and its packed form, whichever that is.
    pub fn note(&mut self, body: std::rc::Rc<[u8]>, packed: Vec<u8>) {
        let is_chunks = packed.first() == Some(&MARK);
        self.chunks = if is_chunks { read(&packed, body.len()).unwrap_or_default() } else { Vec::new() };
        (self.body, self.packed) = (body, packed);
    }

    /// The body and its packed form that were noted last.
    pub fn held(&self) -> (std::rc::Rc<[u8]>, Vec<u8>) {
        (self.body.clone(), self.packed.clone())
    }

    fn plain(&self, chunk: &Chunk) -> &[u8] {
        self.body.get(chunk.plain.0..chunk.plain.1).unwrap_or_default()
    }

    fn packed(&self, chunk: &Chunk) -> &[u8] {
        self.packed.get(chunk.packed.0..chunk.packed.1).unwrap_or_default()
    }

    /// The body packed in chunks, or as it is where that is no longer.
    pub fn pack(&self, body: &[u8]) -> Vec<u8> {
        if body.len() < SHORT {
            return body.to_vec();
        }
        let (mut out, mut rest) = (vec![MARK], body);
        while !rest.is_empty() {
            let (text, left) = rest.split_at(cut(rest));
            let held = self.chunks.iter().find(|chunk| self.plain(chunk) == text).map(|chunk| self.packed(chunk));
            let fresh = || miniz_oxide::deflate::compress_to_vec(text, LEVEL);
            let packed = held.map_or_else(|| std::borrow::Cow::Owned(fresh()), std::borrow::Cow::Borrowed);
            out.extend_from_slice(&(text.len() as u32).to_le_bytes());
            out.extend_from_slice(&(packed.len() as u32).to_le_bytes());
            out.extend_from_slice(&packed);
            rest = left;
        }
        if out.len() < body.len() {
            out
        } else {
            body.to_vec()
        }
    }

    /// The body again, of whichever form; never longer than `bound`.
    pub fn unpack(&self, bytes: &[u8], bound: usize) -> Result<Vec<u8>, PackError> {
        if bytes.first() != Some(&MARK) {
            return crate::unpack(bytes, bound).map(std::borrow::Cow::into_owned);
        }
        let chunks = read(bytes, bound)?;
        let mut body = Vec::with_capacity(chunks.last().map_or(0, |chunk| chunk.plain.1));
        for chunk in &chunks {
            let packed = bytes.get(chunk.packed.0..chunk.packed.1).unwrap_or_default();
            let len = chunk.plain.1 - chunk.plain.0;
            let held = self.chunks.iter().find(|held| self.packed(held) == packed && self.plain(held).len() == len);
            match held {
                Some(held) => body.extend_from_slice(self.plain(held)),
                None => {
                    let text = miniz_oxide::inflate::decompress_to_vec_with_limit(packed, len);
                    let text = text.ok().filter(|text| text.len() == len).ok_or(PackError::Packed)?;
                    body.extend_from_slice(&text);
                }
            }
        }
        Ok(body)
    }
}
