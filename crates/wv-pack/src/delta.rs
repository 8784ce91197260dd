//! What differs between two bodies, in pieces that end where an object ends: entries that came, went or changed.
use crate::{digest, pack, unpack, PackError};
use nanoserde::{DeBin, SerBin};

/// No change is longer than this once unpacked.
const CHANGE_MAX: usize = 2 << 20;

const FORM: u8 = 2;

#[derive(SerBin, DeBin)]
enum Piece {
    /// So many pieces of the old body from this one on.
    Copy {
        from: u32,
        count: u32,
    },
    Bytes(Vec<u8>),
}

#[derive(SerBin, DeBin)]
struct Change {
    /// First, and never the mark of a packed body.
    form: u8,
    len: u32,
    sum: u32,
    pieces: Vec<Piece>,
}

fn split(body: &[u8]) -> impl Iterator<Item = &[u8]> {
    body.split_inclusive(|byte| *byte == b'}')
}

/// What makes `new` of `old`.
pub fn delta(old: &[u8], new: &[u8]) -> Vec<u8> {
    let places: hashbrown::HashMap<&[u8], u32, ahash::RandomState> =
        split(old).enumerate().map(|(at, piece)| (piece, at as u32)).collect();
    let mut pieces: Vec<Piece> = Vec::new();
    for piece in split(new) {
        let place = places.get(piece).copied();
        match (pieces.last_mut(), place) {
            (Some(Piece::Copy { from, count }), Some(place)) if *from + *count == place => *count += 1,
            (_, Some(from)) => pieces.push(Piece::Copy { from, count: 1 }),
            (Some(Piece::Bytes(bytes)), None) => bytes.extend_from_slice(piece),
            (_, None) => pieces.push(Piece::Bytes(piece.to_vec())),
        }
    }
    let change = Change { form: FORM, len: new.len() as u32, sum: digest(new), pieces };
    pack(&nanoserde::SerBin::serialize_bin(&change))
}

/// Makes the new body of the old one; it is returned only if it is the very one that was meant.
pub fn apply(old: &[u8], change: &[u8], bound: usize) -> Result<Vec<u8>, PackError> {
    let change = unpack(change, CHANGE_MAX)?;
    let change: Change = nanoserde::DeBin::deserialize_bin(&change).map_err(|_| PackError::Change)?;
    if change.form != FORM || change.len as usize > bound {
        return Err(PackError::Change);
    }
    let olds: Vec<&[u8]> = split(old).collect();
    let mut new = Vec::with_capacity(change.len as usize);
    for piece in &change.pieces {
        match piece {
            Piece::Copy { from, count } => {
                let (from, to) = (*from as usize, (*from as usize).saturating_add(*count as usize));
                olds.get(from..to).ok_or(PackError::Change)?.iter().for_each(|piece| new.extend_from_slice(piece));
            }
            Piece::Bytes(bytes) => new.extend_from_slice(bytes),
        }
        if new.len() > change.len as usize {
            return Err(PackError::Digest);
        }
    }
    (new.len() == change.len as usize && digest(&new) == change.sum).then_some(new).ok_or(PackError::Digest)
}
