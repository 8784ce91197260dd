//! Own texts at a database: one after the other on a connection of their own, up to the first that fails.
use crate::exec::Node;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wv_shard_split::Reply;
use wv_wire_protocol::{split_line, DatabaseLine};

const CONNECT: std::time::Duration = std::time::Duration::from_millis(300);
/// Until all replies but the last are in, and until that one is.
const RUN: std::time::Duration = std::time::Duration::from_millis(2_500);
const REPLY_MAX: usize = 2 << 20;

/// One whole reply. `None` for anything that is none, and for rows that are no text: they could not be written again.
async fn read(stream: &mut tokio::net::TcpStream, buf: &mut Vec<u8>) -> Option<Reply> {
    let mut reply = Reply::default();
    loop {
        while let Some((line, len)) = split_line(buf) {
            let is_over = match DatabaseLine::parse(line) {
                DatabaseLine::Row(row) => {
                    reply.rows.push(std::str::from_utf8(row).ok()?.to_owned());
                    false
                }
                DatabaseLine::Complete(_) => false,
                DatabaseLine::Error(code, _) => {
                    reply.code = Some(code);
                    false
                }
                DatabaseLine::Idle(_, pos) => {
                    reply.pos = pos;
                    true
                }
                DatabaseLine::Unknown => return None,
            };
            buf.drain(..len);
            if is_over {
                return Some(reply);
            }
        }
        let len = stream.read_buf(buf).await.ok()?;
        if len == 0 || buf.len() > REPLY_MAX {
            return None;
        }
    }
}

async fn set_up(addr: &str, service: &str, id: &str, buf: &mut Vec<u8>) -> Option<tokio::net::TcpStream> {
    let mut stream = wv_http::connect(addr.parse().ok()?, CONNECT).await.ok()?;
    let mut out = Vec::new();
    wv_wire_protocol::write_line(&mut out, &[b"SETUP", service.as_bytes(), b"windvalve", id.as_bytes()]);
    stream.write_all(&out).await.ok()?;
    read(&mut stream, buf).await.filter(|reply| reply.code.is_none()).map(|_| stream)
}

/// Sends some texts together and reads what comes back of them. `None` where not all of it came.
async fn say(
    stream: &mut tokio::net::TcpStream,
    buf: &mut Vec<u8>,
    texts: &[String],
    replies: &mut Vec<Reply>,
) -> Option<()> {
    // What came without being asked for would pass for the first of these replies, and each for the next one's.
    if !buf.is_empty() {
        return None;
    }
    let mut out = Vec::new();
    texts.iter().for_each(|text| wv_wire_protocol::write_query(&mut out, b"-", &[text.as_bytes()]));
    stream.write_all(&out).await.ok()?;
    for _ in texts {
        replies.push(read(stream, buf).await?);
    }
    buf.is_empty().then_some(())
}

/// What follows a `BEGIN` is sent only once that has come back; all the rest goes out together, but for the last text.
/// What was gone through comes back; `None` only where the last text, which ends the transaction, was sent and its end
/// isn't known. Nothing is ever sent a second time.
pub async fn run_texts(addr: &str, service: &str, id: &str, texts: &[String]) -> Option<Vec<Reply>> {
    let (mut buf, mut replies) = (Vec::new(), Vec::new());
    let begin = texts.iter().position(|text| text == "BEGIN").map_or(0, |at| at + 1);
    let last = texts.len().saturating_sub(1).max(begin);
    let early = async {
        let mut stream = set_up(addr, service, id, &mut buf).await?;
        for part in [&texts[..begin], &texts[begin..last]] {
            say(&mut stream, &mut buf, part, &mut replies).await?;
            replies.iter().all(|reply| reply.code.is_none()).then_some(())?;
        }
        Some(stream)
    };
    // The connection ends with what is open on it; nothing was asked to be kept.
    let Some(mut stream) = tokio::time::timeout(RUN, early).await.ok().flatten() else { return Some(replies) };
    // A commit is sent only when all before it came back well.
    let end = say(&mut stream, &mut buf, &texts[last..], &mut replies);
    tokio::time::timeout(RUN, end).await.ok().flatten()?;
    let _ = stream.write_all(b"RELEASE\r\n").await;
    Some(replies)
}

impl Node {
    pub(crate) async fn run_texts(
        self,
        number: u64,
        service: String,
        (id, addr): (String, String),
        texts: Vec<String>,
    ) {
        let replies = run_texts(&addr, &service, &id, &texts).await;
        self.with(|core, now| core.on_texts_run(number, replies, now));
    }
}
