//! Runs statements at a database in order on a dedicated connection, stopping at the first that fails.
use crate::exec::Node;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wv_shard_split::Reply;
use wv_wire_protocol::{split_line, DatabaseLine};

const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);
/// Timeout for all replies but the last, and again for the last.
const REPLY_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(2_500);
const REPLY_MAX_BYTES: usize = 2 << 20;

/// Reads one reply. `None` if it is malformed.
async fn read(stream: &mut tokio::net::TcpStream, buf: &mut Vec<u8>) -> Option<Reply> {
    let mut reply = Reply::default();
    loop {
        while let Some((line, len)) = split_line(buf) {
            let is_complete = match DatabaseLine::parse(line) {
                DatabaseLine::Row(row) => {
                    reply.rows.push(row.to_vec());
                    false
                }
                DatabaseLine::Complete(_) => false,
                DatabaseLine::Error(code, _) => {
                    reply.code = Some(code);
                    false
                }
                DatabaseLine::Idle(_, position) => {
                    reply.position = position;
                    true
                }
                DatabaseLine::Unknown => return None,
            };
            buf.drain(..len);
            if is_complete {
                return Some(reply);
            }
        }
        let len = stream.read_buf(buf).await.ok()?;
        if len == 0 || buf.len() > REPLY_MAX_BYTES {
            return None;
        }
    }
}

async fn set_up(addr: &str, service: &str, id: &str, buf: &mut Vec<u8>) -> Option<tokio::net::TcpStream> {
    let mut stream = wv_http::connect(addr.parse().ok()?, CONNECT_TIMEOUT).await.ok()?;
    let mut out = Vec::new();
    wv_wire_protocol::write_line(&mut out, &[b"SETUP", service.as_bytes(), b"windvalve", id.as_bytes()]);
    stream.write_all(&out).await.ok()?;
    read(&mut stream, buf).await.filter(|reply| reply.code.is_none()).map(|_| stream)
}

/// Pipelines statements and reads their replies. `None` if not all replies arrived.
async fn exchange(
    stream: &mut tokio::net::TcpStream,
    buf: &mut Vec<u8>,
    statements: &[Vec<u8>],
    replies: &mut Vec<Reply>,
) -> Option<()> {
    // Unsolicited data would be mistaken for the first reply and shift all that follow.
    if !buf.is_empty() {
        return None;
    }
    let mut out = Vec::new();
    statements.iter().for_each(|text| wv_wire_protocol::write_query(&mut out, b"-", &[text]));
    stream.write_all(&out).await.ok()?;
    for _ in statements {
        replies.push(read(stream, buf).await?);
    }
    buf.is_empty().then_some(())
}

/// Runs statements up to the first that fails and returns the replies received.
///
/// Statements after `BEGIN` are sent once it is acknowledged, the last one once all others succeeded. `None` if the
/// last one, which ends the transaction, was sent and its outcome is unknown. Nothing is sent twice.
pub async fn run_statements(addr: &str, service: &str, id: &str, statements: &[Vec<u8>]) -> Option<Vec<Reply>> {
    let (mut buf, mut replies) = (Vec::new(), Vec::new());
    let begin = statements.iter().position(|text| text == b"BEGIN").map_or(0, |at| at + 1);
    let last = statements.len().saturating_sub(1).max(begin);
    let body = async {
        let mut stream = set_up(addr, service, id, &mut buf).await?;
        for part in [&statements[..begin], &statements[begin..last]] {
            exchange(&mut stream, &mut buf, part, &mut replies).await?;
            replies.iter().all(|reply| reply.code.is_none()).then_some(())?;
        }
        Some(stream)
    };
    // Dropping the connection rolls the transaction back: its last statement was not sent.
    let Some(mut stream) = tokio::time::timeout(REPLY_TIMEOUT, body).await.ok().flatten() else {
        return Some(replies);
    };
    // The commit is sent only after all statements before it succeeded.
    let end = exchange(&mut stream, &mut buf, &statements[last..], &mut replies);
    tokio::time::timeout(REPLY_TIMEOUT, end).await.ok().flatten()?;
    let _ = stream.write_all(b"RELEASE\r\n").await;
    Some(replies)
}

impl Node {
    pub(crate) async fn run_statements(
        self,
        request: u64,
        service: String,
        (id, addr): (String, String),
        statements: Vec<Vec<u8>>,
    ) {
        let replies = run_statements(&addr, &service, &id, &statements).await;
        self.with_core(|core, now| core.on_statements_run(request, replies, now));
    }
}
