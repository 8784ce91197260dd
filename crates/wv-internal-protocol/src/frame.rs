//! Length-prefixed framing of messages between windvalve processes.
use nanoserde::{DeBin, SerBin};

/// Maximum length of a frame body in bytes.
pub const MAX_FRAME_BYTES: usize = 2 << 20;

#[derive(thiserror::Error, Debug, PartialEq, Eq)]
pub enum FrameError {
    #[error("frame of {0} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLarge(usize),
    #[error("malformed frame")]
    Malformed,
}

/// Appends `message` to `out` as one frame.
pub fn encode_frame<T: SerBin>(out: &mut Vec<u8>, message: &T) {
    let body = message.serialize_bin();
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&body);
}

/// Decodes the first frame in `buf` and returns it with its encoded length, or `None` if the frame is incomplete.
pub fn decode_frame<T: DeBin>(buf: &[u8]) -> Result<Option<(T, usize)>, FrameError> {
    let Some(header) = buf.first_chunk::<4>() else { return Ok(None) };
    let len = u32::from_le_bytes(*header) as usize;
    // Reject the length without waiting for the body: the peer is faulty or does not speak this protocol.
    if len > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(len));
    }
    buf.get(4..4 + len)
        .map(|body| DeBin::deserialize_bin(body).map(|message| (message, 4 + len)).map_err(|_| FrameError::Malformed))
        .transpose()
}
