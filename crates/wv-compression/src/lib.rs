//! Compression of long bodies, whole or as a delta against a body that the receiver holds.
mod chunked;
mod delta;
mod piece_matcher;

pub use chunked::ChunkedCompressor;
pub use delta::{apply_delta, encode_delta};
pub use piece_matcher::PieceMatcher;

#[derive(thiserror::Error, Debug, PartialEq, Eq)]
pub enum CompressionError {
    #[error("compressed body is corrupt or exceeds the length limit")]
    InvalidCompressed,
    #[error("delta is malformed, exceeds the length limit or refers beyond the base body")]
    InvalidDelta,
    #[error("result of the delta does not match the expected length or checksum")]
    ChecksumMismatch,
}

/// First byte of a body compressed as a whole. No JSON text begins with it.
const FORMAT_DEFLATE: u8 = 1;
/// Shorter bodies are stored uncompressed.
const MIN_COMPRESSED_BYTES: usize = 512;
/// Favours speed over compression ratio: the machines are slow, and the first levels already gain most of it.
const DEFLATE_LEVEL: u8 = 3;

/// Compresses the body, or returns it unchanged where that is not shorter.
pub fn compress(body: &[u8]) -> Vec<u8> {
    if body.len() < MIN_COMPRESSED_BYTES {
        return body.to_vec();
    }
    let compressed = miniz_oxide::deflate::compress_to_vec(body, DEFLATE_LEVEL);
    if compressed.len() + 1 >= body.len() {
        return body.to_vec();
    }
    let mut out = Vec::with_capacity(compressed.len() + 1);
    out.push(FORMAT_DEFLATE);
    out.extend_from_slice(&compressed);
    out
}

/// Decompresses a body of any format; fails if it is longer than `bound` bytes.
pub fn decompress(bytes: &[u8], bound: usize) -> Result<std::borrow::Cow<'_, [u8]>, CompressionError> {
    match bytes.split_first() {
        Some((&FORMAT_DEFLATE, compressed)) => miniz_oxide::inflate::decompress_to_vec_with_limit(compressed, bound)
            .map(std::borrow::Cow::Owned)
            .map_err(|_| CompressionError::InvalidCompressed),
        Some((&chunked::FORMAT_CHUNKED, _)) => {
            ChunkedCompressor::default().decompress(bytes, bound).map(std::borrow::Cow::Owned)
        }
        _ if bytes.len() > bound => Err(CompressionError::InvalidCompressed),
        _ => Ok(std::borrow::Cow::Borrowed(bytes)),
    }
}

/// CRC-32 of the body.
pub fn checksum(body: &[u8]) -> u32 {
    crc32fast::hash(body)
}
