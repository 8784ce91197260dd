//! Chunked compression. Chunks that also occur in the reference body are neither compressed nor decompressed again, so
//! the cost of a small change to a long body is proportional to the change. Chunk boundaries are content-defined, so an
//! inserted entry does not change the chunks after it.
use crate::{CompressionError, DEFLATE_LEVEL, MIN_COMPRESSED_BYTES};

/// First byte of a chunked body. Neither JSON text nor any other format begins with it.
pub(crate) const FORMAT_CHUNKED: u8 = 3;
/// A chunk ends after one entry in this many, on average, or at its maximum length.
const BOUNDARY_DIVISOR: u32 = 64;
const MIN_CHUNK_BYTES: usize = 4 << 10;
const MAX_CHUNK_BYTES: usize = 64 << 10;
/// Header of each chunk: the lengths of its plain and of its compressed bytes.
const CHUNK_HEADER_BYTES: usize = 8;

#[derive(Clone, Copy)]
struct Chunk {
    plain: (usize, usize),
    compressed: (usize, usize),
}

/// Compresses and decompresses bodies, reusing the chunks of a reference body and its compressed form.
#[derive(Default)]
pub struct ChunkedCompressor {
    body: std::rc::Rc<[u8]>,
    compressed: Vec<u8>,
    chunks: Vec<Chunk>,
}

/// The length of the first chunk of a text.
fn first_chunk_len(text: &[u8]) -> usize {
    let mut len = 0;
    for piece in crate::delta::split_pieces(text) {
        len += piece.len();
        if len >= MAX_CHUNK_BYTES || (len >= MIN_CHUNK_BYTES && crate::checksum(piece).is_multiple_of(BOUNDARY_DIVISOR))
        {
            break;
        }
    }
    len.min(MAX_CHUNK_BYTES)
}

/// Parses the chunk headers of a compressed body into the byte ranges of the plain and compressed chunks.
fn parse_chunks(bytes: &[u8], bound: usize) -> Result<Vec<Chunk>, CompressionError> {
    let read_u32 = |at: usize| bytes.get(at..at + 4)?.first_chunk::<4>().map(|four| u32::from_le_bytes(*four) as usize);
    let (mut at, mut from, mut chunks) = (1, 0usize, Vec::new());
    while at < bytes.len() {
        let (len, compressed) = read_u32(at).zip(read_u32(at + 4)).ok_or(CompressionError::InvalidCompressed)?;
        let (start, end) = (at + CHUNK_HEADER_BYTES, (at + CHUNK_HEADER_BYTES).saturating_add(compressed));
        if len == 0 || len > MAX_CHUNK_BYTES || end > bytes.len() || from + len > bound {
            return Err(CompressionError::InvalidCompressed);
        }
        chunks.push(Chunk { plain: (from, from + len), compressed: (start, end) });
        (at, from) = (end, from + len);
    }
    Ok(chunks)
}

impl ChunkedCompressor {
    /// Sets the reference body and its compressed form, which may be of any format.
    pub fn set_reference(&mut self, body: std::rc::Rc<[u8]>, compressed: Vec<u8>) {
        let is_chunks = compressed.first() == Some(&FORMAT_CHUNKED);
        self.chunks = if is_chunks { parse_chunks(&compressed, body.len()).unwrap_or_default() } else { Vec::new() };
        (self.body, self.compressed) = (body, compressed);
    }

    /// The reference body and its compressed form.
    pub fn reference(&self) -> (std::rc::Rc<[u8]>, Vec<u8>) {
        (self.body.clone(), self.compressed.clone())
    }

    fn plain(&self, chunk: &Chunk) -> &[u8] {
        self.body.get(chunk.plain.0..chunk.plain.1).unwrap_or_default()
    }

    fn compressed(&self, chunk: &Chunk) -> &[u8] {
        self.compressed.get(chunk.compressed.0..chunk.compressed.1).unwrap_or_default()
    }

    /// Compresses in chunks, or returns the body unchanged where that is not shorter.
    pub fn compress(&self, body: &[u8]) -> Vec<u8> {
        if body.len() < MIN_COMPRESSED_BYTES {
            return body.to_vec();
        }
        let (mut out, mut rest) = (vec![FORMAT_CHUNKED], body);
        while !rest.is_empty() {
            let (text, left) = rest.split_at(first_chunk_len(rest));
            let reused = self.chunks.iter().find(|chunk| self.plain(chunk) == text).map(|chunk| self.compressed(chunk));
            let deflate = || miniz_oxide::deflate::compress_to_vec(text, DEFLATE_LEVEL);
            let compressed = reused.map_or_else(|| std::borrow::Cow::Owned(deflate()), std::borrow::Cow::Borrowed);
            out.extend_from_slice(&(text.len() as u32).to_le_bytes());
            out.extend_from_slice(&(compressed.len() as u32).to_le_bytes());
            out.extend_from_slice(&compressed);
            rest = left;
        }
        if out.len() < body.len() {
            out
        } else {
            body.to_vec()
        }
    }

    /// Decompresses a body of any format; fails if it is longer than `bound` bytes.
    pub fn decompress(&self, bytes: &[u8], bound: usize) -> Result<Vec<u8>, CompressionError> {
        if bytes.first() != Some(&FORMAT_CHUNKED) {
            return crate::decompress(bytes, bound).map(std::borrow::Cow::into_owned);
        }
        let chunks = parse_chunks(bytes, bound)?;
        let mut body = Vec::with_capacity(chunks.last().map_or(0, |chunk| chunk.plain.1));
        for chunk in &chunks {
            let compressed = bytes.get(chunk.compressed.0..chunk.compressed.1).unwrap_or_default();
            let len = chunk.plain.1 - chunk.plain.0;
            let known =
                self.chunks.iter().find(|known| self.compressed(known) == compressed && self.plain(known).len() == len);
            match known {
                Some(known) => body.extend_from_slice(self.plain(known)),
                None => {
                    let text = miniz_oxide::inflate::decompress_to_vec_with_limit(compressed, len);
                    let text = text.ok().filter(|text| text.len() == len).ok_or(CompressionError::InvalidCompressed)?;
                    body.extend_from_slice(&text);
                }
            }
        }
        Ok(body)
    }
}
