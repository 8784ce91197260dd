//! Calls this side makes: rows of databases and promotions at the platform.
use crate::exec::Node;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wv_promotion::{StatusError, StatusReply};
use wv_wire_protocol::{parse_status, split_line, DatabaseLine, DatabaseStatus};

const ASK: std::time::Duration = std::time::Duration::from_millis(400);
/// A machine that does not even take a connection within this is dark; a busy database still does.
const CONNECT: std::time::Duration = std::time::Duration::from_millis(200);
const POST: std::time::Duration = std::time::Duration::from_millis(1200);
const RETURN_MAX: usize = 16 << 10;

/// Reads lines until `IDLE`; the row that came before it, if any. `None` for anything but a clean return.
async fn read_row(stream: &mut tokio::net::TcpStream, buf: &mut Vec<u8>) -> Option<Option<DatabaseStatus>> {
    let mut row = None;
    loop {
        while let Some((line, len)) = split_line(buf) {
            let parsed = DatabaseLine::parse(line);
            let is_over = match parsed {
                DatabaseLine::Row(text) => {
                    row = parse_status(text);
                    Some(false)
                }
                DatabaseLine::Complete(_) => Some(false),
                DatabaseLine::Idle(..) => Some(true),
                DatabaseLine::Error(..) | DatabaseLine::Unknown => None,
            };
            buf.drain(..len);
            if is_over? {
                return Some(row);
            }
        }
        let len = stream.read_buf(buf).await.ok()?;
        if len == 0 || buf.len() > RETURN_MAX {
            return None;
        }
    }
}

async fn request(addr: SocketAddr, service: &str, id: &str, text: &str) -> StatusReply {
    let stream = wv_http::connect(addr, CONNECT).await.map_err(|error| match error.kind() {
        std::io::ErrorKind::ConnectionRefused => StatusError::Refused,
        _ => StatusError::Unreachable,
    })?;
    converse(stream, service, id, text).await.ok_or(StatusError::Unreachable)
}

async fn converse(mut stream: tokio::net::TcpStream, service: &str, id: &str, text: &str) -> Option<DatabaseStatus> {
    let mut out = Vec::new();
    // The expected id goes along: another database may have taken the place.
    wv_wire_protocol::write_line(&mut out, &[b"SETUP", service.as_bytes(), b"windvalve", id.as_bytes()]);
    wv_wire_protocol::write_query(&mut out, b"-", &[text.as_bytes()]);
    stream.write_all(&out).await.ok()?;
    let mut buf = Vec::new();
    read_row(&mut stream, &mut buf).await?;
    let row = read_row(&mut stream, &mut buf).await?;
    let _ = stream.write_all(b"RELEASE\r\n").await;
    row
}

impl Node {
    pub(crate) async fn ask_db(self, ask: u64, service: String, id: String, (addr, text): (String, String)) {
        let word = match addr.parse() {
            Ok(addr) => tokio::time::timeout(ASK, request(addr, &service, &id, &text))
                .await
                .unwrap_or(Err(StatusError::Unreachable)),
            Err(_) => Err(StatusError::Unreachable),
        };
        self.with(|core, now| core.on_db_status(ask, word, now));
    }

    pub(crate) async fn post(self, ask: u64, service: String, id: String, (fence, until): (u64, u64)) {
        let Some(platform) = self.platform.clone() else {
            return self.with(|core, now| core.on_promotion_response(ask, None, now));
        };
        // A process that stood still since must not make a call that another holder may have overtaken.
        if self.now() > until {
            return self.with(|core, now| core.late(ask, now));
        }
        let headers = [("X-Duty-Holder", self.name.clone()), ("X-Fence-Number", fence.to_string())];
        let body = serde_json::json!({ "destination": service, "id": id }).to_string().into_bytes();
        let code = wv_http::call(platform.address, "POST", "/promotion", &headers, body, POST).await.ok();
        self.with(|core, now| core.on_promotion_response(ask, code, now));
    }
}
