//! Outgoing calls: control statements to databases and promotion calls to the platform.
use crate::exec::Node;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wv_promotion::{StatusError, StatusReply};
use wv_wire_protocol::{parse_status, split_line, DatabaseLine, DatabaseStatus};

const QUERY_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(400);
/// A machine that does not accept a connection within this counts as unreachable; a busy database still accepts one.
const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(200);
const PLATFORM_UNACKNOWLEDGED_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1200);
const PLATFORM_RESPONSE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);
const REPLY_MAX_BYTES: usize = 16 << 10;

/// Reads lines until `IDLE` and returns the row before it, if any. `None` on an error or a malformed reply.
async fn read_row(stream: &mut tokio::net::TcpStream, buf: &mut Vec<u8>) -> Option<Option<DatabaseStatus>> {
    let mut row = None;
    loop {
        while let Some((line, len)) = split_line(buf) {
            let parsed = DatabaseLine::parse(line);
            let is_complete = match parsed {
                DatabaseLine::Row(text) => {
                    row = parse_status(text);
                    Some(false)
                }
                DatabaseLine::Complete(_) => Some(false),
                DatabaseLine::Idle(..) => Some(true),
                DatabaseLine::Error(..) | DatabaseLine::Unknown => None,
            };
            buf.drain(..len);
            if is_complete? {
                return Some(row);
            }
        }
        let len = stream.read_buf(buf).await.ok()?;
        if len == 0 || buf.len() > REPLY_MAX_BYTES {
            return None;
        }
    }
}

async fn query_status(addr: SocketAddr, service: &str, id: &str, statement: &str) -> StatusReply {
    let stream = wv_http::connect(addr, CONNECT_TIMEOUT).await.map_err(|error| match error.kind() {
        std::io::ErrorKind::ConnectionRefused => StatusError::Refused,
        _ => StatusError::Unreachable,
    })?;
    exchange(stream, service, id, statement).await.ok_or(StatusError::Unreachable)
}

async fn exchange(
    mut stream: tokio::net::TcpStream,
    service: &str,
    id: &str,
    statement: &str,
) -> Option<DatabaseStatus> {
    let mut out = Vec::new();
    // The expected id is sent because another database may use the address by now.
    wv_wire_protocol::write_line(&mut out, &[b"SETUP", service.as_bytes(), b"windvalve", id.as_bytes()]);
    wv_wire_protocol::write_query(&mut out, b"-", &[statement.as_bytes()]);
    stream.write_all(&out).await.ok()?;
    let mut buf = Vec::new();
    read_row(&mut stream, &mut buf).await?;
    let row = read_row(&mut stream, &mut buf).await?;
    let _ = stream.write_all(b"RELEASE\r\n").await;
    row
}

impl Node {
    pub(crate) async fn query_database(
        self,
        request: u64,
        service: String,
        id: String,
        (addr, statement): (String, String),
    ) {
        let reply = match addr.parse() {
            Ok(addr) => tokio::time::timeout(QUERY_TIMEOUT, query_status(addr, &service, &id, &statement))
                .await
                .unwrap_or(Err(StatusError::Unreachable)),
            Err(_) => Err(StatusError::Unreachable),
        };
        self.with_core(|core, now| core.on_db_status(request, reply, now));
    }

    /// Calls the platform once. Its answer is awaited for long, since a late one still proves what became of the call.
    pub(crate) async fn promote_database(
        self,
        request: u64,
        service: String,
        id: String,
        (fence, deadline_us): (u64, u64),
    ) {
        let not_sent = |node: &Node| node.with_core(|core, now| core.promotion_not_sent(request, now));
        // After a process stall another duty holder may have called the platform already.
        let now = self.now();
        let Some(platform) = self.platform.clone().filter(|_| now <= deadline_us) else {
            return not_sent(&self);
        };
        let headers = [("X-Duty-Holder", self.name.clone()), ("X-Fence-Number", fence.to_string())];
        let body = serde_json::json!({ "destination": service, "id": id }).to_string().into_bytes();
        let timeouts = wv_http::Timeouts {
            connect: std::time::Duration::from_micros(deadline_us - now),
            unacknowledged: PLATFORM_UNACKNOWLEDGED_TIMEOUT,
            response: PLATFORM_RESPONSE_TIMEOUT,
        };
        let sent = wv_http::send_request(platform.address, "POST", "/promotion", &headers, body, timeouts).await;
        match sent {
            Err(wv_http::HttpError::Connect(_)) => not_sent(&self),
            sent => self.with_core(|core, now| core.on_promotion_response(request, sent.ok(), now)),
        }
    }
}
