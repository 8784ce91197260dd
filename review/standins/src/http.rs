//! HTTP calls to control nodes, as operators and databases make them, and the reading of calls.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Answer {
    pub status: u16,
    pub body: String,
    location: Option<String>,
}

/// One call; a second of silence is a failure.
pub fn call_once(address: &str, method: &str, path: &str, body: &str) -> std::io::Result<Answer> {
    let timeout = Some(Duration::from_secs(1));
    let address: SocketAddr = address.parse().map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidInput))?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(timeout)?;
    stream.set_write_timeout(timeout)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length(&headers)];
    reader.read_exact(&mut body)?;
    let location = header(&headers, "location").map(str::to_owned);
    Ok(Answer { status, body: String::from_utf8_lossy(&body).into_owned(), location })
}

/// A call that follows 307 twice.
pub fn call(address: &str, method: &str, path: &str, body: &str) -> std::io::Result<Answer> {
    let (mut address, mut path) = (address.to_owned(), path.to_owned());
    for _ in 0..2 {
        let answer = call_once(&address, method, &path, body)?;
        let Some(location) = answer.location.as_ref().filter(|_| answer.status == 307) else { return Ok(answer) };
        let rest = location.strip_prefix("http://").unwrap_or(location).to_owned();
        let (host, target) = rest.split_once('/').unwrap_or((&rest, ""));
        (address, path) = (host.to_owned(), format!("/{target}"));
    }
    call_once(&address, method, &path, body)
}

/// Calls one node after the other, with a pause that grows, until one answers clearly.
pub fn insist(addresses: &[String], method: &str, path: &str, body: &str, limit_ms: u64) -> Option<Answer> {
    let (mut waited, mut pause) = (0, 50);
    for address in addresses.iter().cycle() {
        match call(address, method, path, body) {
            Ok(answer) if answer.status < 500 && answer.status != 408 && answer.status != 429 => return Some(answer),
            _ => {}
        }
        if waited > limit_ms {
            return None;
        }
        crate::sleep_ms(pause);
        (waited, pause) = (waited + pause, (pause * 2).min(500));
    }
    None
}

pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<(String, Vec<String>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof));
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let first = if lines.is_empty() { String::new() } else { lines.remove(0) };
    Ok((first, lines))
}

pub fn header<'a>(headers: &'a [String], name: &str) -> Option<&'a str> {
    headers.iter().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

pub fn length(headers: &[String]) -> usize {
    header(headers, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// The text value of `"name":"…"` in a flat JSON object.
pub fn text_field(body: &str, name: &str) -> Option<String> {
    let rest = body.split_once(&format!("\"{name}\""))?.1;
    Some(rest.split('"').nth(1)?.to_owned())
}
