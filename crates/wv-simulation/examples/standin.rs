//! A stand-in database over loopback, for trying windvalve out by hand:
//! `standin CONTROL LISTEN ID SERVICE primary|replica`. It keeps no data beyond its life and replicates to nobody.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use wv_simulation::{Answer, Base};

type Shared = Arc<Mutex<Base>>;

fn beat(control: SocketAddr, addr: &str, base: &Shared) -> std::io::Result<()> {
    let (path, body) = {
        let Ok(mut held) = base.lock() else { return Ok(()) };
        held.sequence += 1;
        let role = if held.is_primary { "primary" } else { "replica" };
        let body = serde_json::json!({"destination": held.service, "address": addr, "zone": "here", "issue": "v1",
            "capacity": 10, "state": "in_service", "coldLeftMs": 0, "dbRole": role, "sequence": held.sequence});
        (format!("/instances/{}", held.id), body.to_string())
    };
    let mut stream = TcpStream::connect(control)?;
    write!(
        stream,
        "PUT {path} HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )?;
    stream.read_to_end(&mut Vec::new()).map(|_| ())
}

fn serve(stream: TcpStream, conn: u64, base: &Shared) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    for line in BufReader::new(stream).lines() {
        let line = line?;
        let words: Vec<&str> = line.splitn(3, ' ').collect();
        let Ok(mut held) = base.lock() else { break };
        let text = match words[..] {
            ["SETUP", _, _] => held.set_up(conn),
            ["QUERY", id, text] => match held.answer(conn, id, text) {
                Answer::Text(text) => text,
                Answer::Unknown => break,
            },
            _ => break,
        };
        drop(held);
        out.write_all(text.as_bytes())?;
    }
    if let Ok(mut held) = base.lock() {
        held.conns.remove(&conn);
    }
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [control, listen, id, service, role] = &args[..] else {
        return Err("usage: standin CONTROL LISTEN ID SERVICE primary|replica".into());
    };
    let control: SocketAddr = control.parse()?;
    let mut base = Base::new(service, usize::from(role != "primary"));
    base.id = id.clone();
    let base: Shared = Arc::new(Mutex::new(base));
    let listener = TcpListener::bind(listen)?;
    let (beaten, addr) = (base.clone(), listen.clone());
    std::thread::spawn(move || loop {
        if let Err(error) = beat(control, &addr, &beaten) {
            eprintln!("beat: {error}");
        }
        std::thread::sleep(std::time::Duration::from_secs(1));
    });
    for (conn, stream) in listener.incoming().enumerate() {
        let (stream, base) = (stream?, base.clone());
        std::thread::spawn(move || serve(stream, conn as u64, &base));
    }
    Ok(())
}
