//! One link between windvalve's own processes.
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Carries frames both ways until either side ends it, a write is stuck for `stuck`, or, where `silent` is given,
/// nothing was heard for that long.
pub async fn carry<T: nanoserde::SerBin + nanoserde::DeBin>(
    mut stream: tokio::net::TcpStream,
    mut receiver: tokio::sync::mpsc::Receiver<T>,
    stuck: Duration,
    silent: Option<Duration>,
    mut hear: impl FnMut(T),
) {
    let (mut buf, mut out) = (Vec::new(), Vec::new());
    // No link stands for longer than a year in any case.
    let patience = silent.unwrap_or(Duration::from_secs(365 * 86_400));
    loop {
        tokio::select! {
            msg = receiver.recv() => {
                let Some(msg) = msg else { return };
                wv_internal_protocol::encode_frame(&mut out, &msg);
                while let Ok(msg) = receiver.try_recv() {
                    wv_internal_protocol::encode_frame(&mut out, &msg);
                }
                match tokio::time::timeout(stuck, stream.write_all(&out)).await {
                    Ok(Ok(())) => out.clear(),
                    _ => return,
                }
            }
            read = tokio::time::timeout(patience, stream.read_buf(&mut buf)) => match read {
                Ok(Ok(len)) if len > 0 => {
                    if !take_frames(&mut buf, &mut hear) {
                        return;
                    }
                }
                _ => return,
            },
        }
    }
}

fn take_frames<T: nanoserde::DeBin>(buf: &mut Vec<u8>, hear: &mut impl FnMut(T)) -> bool {
    let mut at = 0;
    loop {
        match wv_internal_protocol::decode_frame(&buf[at..]) {
            Ok(None) => {
                buf.drain(..at);
                return true;
            }
            Ok(Some((msg, len))) => {
                at += len;
                hear(msg);
            }
            Err(error) => {
                log::warn!("link closed: {error}");
                return false;
            }
        }
    }
}
