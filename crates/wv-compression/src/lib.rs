//! Long bodies made short: packed, or told as what differs from a body that the other side holds.
mod align;
mod chunks;
mod delta;

pub use align::Align;
pub use chunks::Packs;
pub use delta::{apply, delta};

#[derive(thiserror::Error, Debug, PartialEq, Eq)]
pub enum PackError {
    #[error("a packed body cannot be unpacked or is over its bound")]
    Packed,
    #[error("a change cannot be read or reaches beyond the body that it changes")]
    Change,
    #[error("the changed body is not the one that was meant")]
    Digest,
}

/// Packed bodies begin with this, which no text in JSON begins with.
const MARK: u8 = 1;
/// Short bodies gain nothing.
const SHORT: usize = 512;
/// Quick rather than small: the machines are slow and most of what can be gained is gained at once.
const LEVEL: u8 = 3;

/// The body packed, or as it is where that is no longer.
pub fn pack(body: &[u8]) -> Vec<u8> {
    if body.len() < SHORT {
        return body.to_vec();
    }
    let packed = miniz_oxide::deflate::compress_to_vec(body, LEVEL);
    if packed.len() + 1 >= body.len() {
        return body.to_vec();
    }
    let mut out = Vec::with_capacity(packed.len() + 1);
    out.push(MARK);
    out.extend_from_slice(&packed);
    out
}

/// The body again, whether it was packed, in chunks or as one, or not; never longer than `bound`.
pub fn unpack(bytes: &[u8], bound: usize) -> Result<std::borrow::Cow<'_, [u8]>, PackError> {
    match bytes.split_first() {
        Some((&MARK, packed)) => miniz_oxide::inflate::decompress_to_vec_with_limit(packed, bound)
            .map(std::borrow::Cow::Owned)
            .map_err(|_| PackError::Packed),
        Some((&chunks::MARK, _)) => Packs::default().unpack(bytes, bound).map(std::borrow::Cow::Owned),
        _ if bytes.len() > bound => Err(PackError::Packed),
        _ => Ok(std::borrow::Cow::Borrowed(bytes)),
    }
}

pub fn digest(body: &[u8]) -> u32 {
    crc32fast::hash(body)
}
