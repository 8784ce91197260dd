//! As much of HTTP/1.1 as beats, the operator and the platform need.
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Sends one call on a new connection; status and body, if an answer comes within a second.
pub fn call(address: &str, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address.parse().ok()?, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    )
    .ok()?;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned()).unwrap_or_default()))
}

/// Reads one call: its headers, in lower case, and its body.
pub fn read_call(stream: &mut TcpStream) -> Option<(String, String)> {
    let (mut bytes, mut part) = (Vec::new(), [0; 4096]);
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_lowercase();
            let wanted = header(&head, "content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
            if body.len() >= wanted {
                return Some((head, body.to_owned()));
            }
        }
        match stream.read(&mut part) {
            Ok(len) if len > 0 => bytes.extend_from_slice(&part[..len]),
            _ => return None,
        }
    }
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(key, _)| *key == name).map(|(_, value)| value.trim())
}

pub fn respond(stream: &mut TcpStream, status: u16) {
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}"
    );
    let _ = stream.write_all(text.as_bytes());
}

/// The value of a text field of a flat JSON object.
pub fn field(body: &str, name: &str) -> Option<String> {
    let rest = body.split_once(&format!("\"{name}\""))?.1;
    rest.split('"').nth(1).map(str::to_owned)
}
