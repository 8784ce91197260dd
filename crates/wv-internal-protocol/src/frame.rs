//! Messages as length-prefixed frames.
use nanoserde::{DeBin, SerBin};

/// No frame is ever longer than this.
pub const FRAME_MAX: usize = 2 << 20;

#[derive(thiserror::Error, Debug, PartialEq, Eq)]
pub enum InnerError {
    #[error("a frame of {0} bytes is over the bound")]
    Oversize(usize),
    #[error("a frame could not be read")]
    Malformed,
}

/// Appends `msg` as one frame.
pub fn put_frame<T: SerBin>(out: &mut Vec<u8>, msg: &T) {
    let body = msg.serialize_bin();
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&body);
}

/// Cuts one frame off `buf`; `None` while it is not whole.
pub fn cut_frame<T: DeBin>(buf: &[u8]) -> Result<Option<(T, usize)>, InnerError> {
    let Some(head) = buf.first_chunk::<4>() else { return Ok(None) };
    let len = u32::from_le_bytes(*head) as usize;
    // A length beyond the bound is a foreign or broken speaker: the link is closed, nothing is read on.
    if len > FRAME_MAX {
        return Err(InnerError::Oversize(len));
    }
    buf.get(4..4 + len)
        .map(|body| DeBin::deserialize_bin(body).map(|msg| (msg, 4 + len)).map_err(|_| InnerError::Malformed))
        .transpose()
}
