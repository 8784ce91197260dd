//! Delta encoding between two bodies, in pieces that each end at a closing brace.
use crate::{checksum, compress, decompress, CompressionError};
use nanoserde::{DeBin, SerBin};

/// Maximum length of a decompressed delta.
const MAX_DELTA_BYTES: usize = 2 << 20;

const FORMAT_DELTA: u8 = 2;

#[derive(SerBin, DeBin)]
enum Piece {
    /// `count` pieces of the old body, starting at index `from`.
    Copy {
        from: u32,
        count: u32,
    },
    Bytes(Vec<u8>),
}

#[derive(SerBin, DeBin)]
struct Delta {
    /// The first byte; differs from the format bytes of compressed bodies.
    format: u8,
    len: u32,
    checksum: u32,
    pieces: Vec<Piece>,
}

/// Splits the text after each closing brace.
pub(crate) fn split_pieces(body: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut from = 0;
    let ends = memchr::memchr_iter(b'}', body).map(|at| at + 1);
    let last = (!body.is_empty() && !body.ends_with(b"}")).then_some(body.len());
    ends.chain(last).map(move |end| &body[std::mem::replace(&mut from, end)..end])
}

/// Encodes the delta that turns `old` into `new`.
pub fn encode_delta(old: &[u8], new: &[u8]) -> Vec<u8> {
    let old_pieces: Vec<&[u8]> = split_pieces(old).collect();
    let mut matcher = crate::PieceMatcher::new(old_pieces.len(), |index| old_pieces[index]);
    let mut pieces: Vec<Piece> = Vec::new();
    for piece in split_pieces(new) {
        let found = matcher.find(piece).map(|index| index as u32);
        match (pieces.last_mut(), found) {
            (Some(Piece::Copy { from, count }), Some(index)) if *from + *count == index => *count += 1,
            (_, Some(from)) => pieces.push(Piece::Copy { from, count: 1 }),
            (Some(Piece::Bytes(bytes)), None) => bytes.extend_from_slice(piece),
            (_, None) => pieces.push(Piece::Bytes(piece.to_vec())),
        }
    }
    let delta = Delta { format: FORMAT_DELTA, len: new.len() as u32, checksum: checksum(new), pieces };
    compress(&nanoserde::SerBin::serialize_bin(&delta))
}

/// Applies a delta to `old`. Fails unless the result has the length and checksum of the encoded body.
pub fn apply_delta(old: &[u8], delta: &[u8], bound: usize) -> Result<Vec<u8>, CompressionError> {
    let delta = decompress(delta, MAX_DELTA_BYTES)?;
    let delta: Delta = nanoserde::DeBin::deserialize_bin(&delta).map_err(|_| CompressionError::InvalidDelta)?;
    if delta.format != FORMAT_DELTA || delta.len as usize > bound {
        return Err(CompressionError::InvalidDelta);
    }
    let mut ends = vec![0];
    split_pieces(old).for_each(|piece| ends.push(ends[ends.len() - 1] + piece.len()));
    let mut new = Vec::with_capacity(delta.len as usize);
    for piece in &delta.pieces {
        match piece {
            Piece::Copy { from, count } => {
                let (from, to) = (*from as usize, (*from as usize).saturating_add(*count as usize));
                let (start, end) = ends.get(from).zip(ends.get(to)).ok_or(CompressionError::InvalidDelta)?;
                new.extend_from_slice(old.get(*start..*end).ok_or(CompressionError::InvalidDelta)?);
            }
            Piece::Bytes(bytes) => new.extend_from_slice(bytes),
        }
        if new.len() > delta.len as usize {
            return Err(CompressionError::ChecksumMismatch);
        }
    }
    (new.len() == delta.len as usize && checksum(&new) == delta.checksum)
        .then_some(new)
        .ok_or(CompressionError::ChecksumMismatch)
}
