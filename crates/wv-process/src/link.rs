//! Framed links between windvalve's own processes.
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Sends and receives frames until either side closes the link, a write takes longer than `write_timeout`, or nothing
/// is received for `idle_timeout`, if given.
pub async fn run_link<T: nanoserde::SerBin + nanoserde::DeBin>(
    mut stream: tokio::net::TcpStream,
    mut receiver: tokio::sync::mpsc::Receiver<T>,
    write_timeout: Duration,
    idle_timeout: Option<Duration>,
    mut on_message: impl FnMut(T),
) {
    let (mut buf, mut out) = (Vec::new(), Vec::new());
    // Without an idle timeout, a year stands for no limit.
    let read_timeout = idle_timeout.unwrap_or(Duration::from_secs(365 * 86_400));
    loop {
        tokio::select! {
            msg = receiver.recv() => {
                let Some(msg) = msg else { return };
                wv_internal_protocol::encode_frame(&mut out, &msg);
                while let Ok(msg) = receiver.try_recv() {
                    wv_internal_protocol::encode_frame(&mut out, &msg);
                }
                match tokio::time::timeout(write_timeout, stream.write_all(&out)).await {
                    Ok(Ok(())) => out.clear(),
                    _ => return,
                }
            }
            read = tokio::time::timeout(read_timeout, stream.read_buf(&mut buf)) => match read {
                Ok(Ok(len)) if len > 0 => {
                    if !take_frames(&mut buf, &mut on_message) {
                        return;
                    }
                }
                _ => return,
            },
        }
    }
}

fn take_frames<T: nanoserde::DeBin>(buf: &mut Vec<u8>, on_message: &mut impl FnMut(T)) -> bool {
    let mut at = 0;
    loop {
        match wv_internal_protocol::decode_frame(&buf[at..]) {
            Ok(None) => {
                buf.drain(..at);
                return true;
            }
            Ok(Some((msg, len))) => {
                at += len;
                on_message(msg);
            }
            Err(error) => {
                log::warn!("link closed: {error}");
                return false;
            }
        }
    }
}
