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

/// The text cut behind each place where an object ends.
pub(crate) fn split(body: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut from = 0;
    let ends = memchr::memchr_iter(b'}', body).map(|at| at + 1);
    let last = (!body.is_empty() && !body.ends_with(b"}")).then_some(body.len());
    ends.chain(last).map(move |end| &body[std::mem::replace(&mut from, end)..end])
}

/// What makes `new` of `old`.
pub fn delta(old: &[u8], new: &[u8]) -> Vec<u8> {
    let olds: Vec<&[u8]> = split(old).collect();
    let mut align = crate::Align::new(olds.len(), |at| olds[at]);
    let mut pieces: Vec<Piece> = Vec::new();
    for piece in split(new) {
        let place = align.find(piece).map(|at| at as u32);
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
    let mut ends = vec![0];
    split(old).for_each(|piece| ends.push(ends[ends.len() - 1] + piece.len()));
    let mut new = Vec::with_capacity(change.len as usize);
    for piece in &change.pieces {
        match piece {
            Piece::Copy { from, count } => {
                let (from, to) = (*from as usize, (*from as usize).saturating_add(*count as usize));
                let (start, end) = ends.get(from).zip(ends.get(to)).ok_or(PackError::Change)?;
                new.extend_from_slice(old.get(*start..*end).ok_or(PackError::Change)?);
            }
            Piece::Bytes(bytes) => new.extend_from_slice(bytes),
        }
        if new.len() > change.len as usize {
            return Err(PackError::Digest);
        }
    }
    (new.len() == change.len as usize && digest(&new) == change.sum).then_some(new).ok_or(PackError::Digest)
}
