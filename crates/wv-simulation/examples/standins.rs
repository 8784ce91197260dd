//! Stand-in databases with their platform over loopback, for trying windvalve out by hand:
//! `standins CONTROL PLATFORM FIRST SERVICE …` serves three databases of each service from the address FIRST on, one
//! port after the other, copies the primaries' logs to the replicas, and takes `POST /promotion` at PLATFORM. What they
//! hold is gone with them; `dump` on standard input prints each primary's rows.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use wv_simulation::{Answer, Base};

const EACH: usize = 3;
type Shared = Arc<Mutex<Vec<Base>>>;

fn lock(bases: &Shared) -> MutexGuard<'_, Vec<Base>> {
    bases.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn beat(control: SocketAddr, bases: &Shared, at: usize) -> std::io::Result<()> {
    let (path, body) = {
        let mut all = lock(bases);
        let held = &mut all[at];
        held.sequence += 1;
        let role = if held.is_primary { "primary" } else { "replica" };
        let body = serde_json::json!({"destination": held.service, "address": held.addr, "zone": "here", "issue": "v1",
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

/// What the primary has goes to its replicas.
fn replicate(all: &mut [Base], from: usize) {
    if !all[from].is_primary {
        return;
    }
    let service = all[from].service.clone();
    let is_replica = |base: &Base| base.service == service && !base.is_primary && base.held == 0;
    let others: Vec<usize> = (0..all.len()).filter(|at| is_replica(&all[*at])).collect();
    for other in others {
        let have = all[other].log.len().min(all[from].log.len());
        let missing = all[from].log[have..].to_vec();
        all[other].log.extend(missing);
        let len = all[other].log.len();
        all[other].apply(len);
    }
}

fn serve(stream: TcpStream, conn: u64, bases: &Shared, at: usize) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    for line in BufReader::new(stream).lines() {
        let line = line?;
        let words: Vec<&str> = line.splitn(3, ' ').collect();
        let mut all = lock(bases);
        let text = match words[..] {
            ["SETUP", ..] => all[at].set_up(conn),
            ["QUERY", id, text] => match all[at].answer(conn, id, text) {
                Answer::Text(text) => text,
                Answer::Unknown => break,
            },
            _ => break,
        };
        replicate(&mut all, at);
        drop(all);
        out.write_all(text.as_bytes())?;
    }
    lock(bases)[at].conns.remove(&conn);
    Ok(())
}

/// The named database leads the next term with what it had received.
fn promote(all: &mut [Base], id: &str) -> u16 {
    let Some(at) = all.iter().position(|base| base.id == id) else { return 409 };
    if all[at].is_primary {
        return 200;
    }
    let (service, log) = (all[at].service.clone(), all[at].log.clone());
    let term = all.iter().filter(|base| base.service == service).map(|base| base.term).max().unwrap_or(1) + 1;
    for (other, base) in all.iter_mut().enumerate().filter(|(_, base)| base.service == service) {
        if base.is_primary {
            base.conns.values_mut().for_each(|conn| conn.is_deposed = true);
        }
        (base.is_primary, base.term) = (other == at, term);
        base.cut_back(&log);
    }
    all[at].held = 0;
    all[at].apply(log.len());
    println!("{id} leads term {term}");
    200
}

fn platform(mut stream: TcpStream, bases: &Shared) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut len = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            break;
        }
        let found = line.to_lowercase();
        len = found.strip_prefix("content-length:").and_then(|rest| rest.trim().parse().ok()).unwrap_or(len);
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body)?;
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let status = promote(&mut lock(bases), value["id"].as_str().unwrap_or_default());
    write!(stream, "HTTP/1.1 {status} X\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}")
}

fn listen(
    addr: &str,
    bases: &Shared,
    handle: impl Fn(TcpStream, u64, Shared) + Send + Clone + 'static,
) -> std::io::Result<()> {
    let (listener, bases) = (TcpListener::bind(addr)?, bases.clone());
    std::thread::spawn(move || {
        for (conn, stream) in (0..).zip(listener.incoming()) {
            let (bases, handle) = (bases.clone(), handle.clone());
            if let Ok(stream) = stream {
                std::thread::spawn(move || handle(stream, conn, bases));
            }
        }
    });
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [control, at, first, services @ ..] = &args[..] else {
        return Err("usage: standins CONTROL PLATFORM FIRST SERVICE …".into());
    };
    let (control, first): (SocketAddr, SocketAddr) = (control.parse()?, first.parse()?);
    let made = services.iter().flat_map(|service| (0..EACH).map(move |at| Base::new(service, at)));
    let bases: Shared = Arc::new(Mutex::new(made.collect()));
    let count = lock(&bases).len();
    for at in 0..count {
        let addr = SocketAddr::new(first.ip(), first.port() + at as u16).to_string();
        lock(&bases)[at].addr = addr.clone();
        listen(&addr, &bases, move |stream, conn, bases| drop(serve(stream, conn, &bases, at)))?;
        let beaten = bases.clone();
        std::thread::spawn(move || loop {
            if let Err(error) = beat(control, &beaten, at) {
                eprintln!("beat: {error}");
            }
            std::thread::sleep(std::time::Duration::from_millis(700));
        });
    }
    listen(at, &bases, |stream, _, bases| drop(platform(stream, &bases)))?;
    for line in std::io::stdin().lines() {
        if line? == "dump" {
            for base in lock(&bases).iter().filter(|base| base.is_primary) {
                base.rows.iter().for_each(|(thing, data)| println!("row {} {thing} {data}", base.service));
                let own = |entry: &&wv_simulation::Entry| entry.write.tag != "-";
                base.log.iter().filter(own).for_each(|entry| println!("wrote {} {}", base.service, entry.write.tag));
            }
            println!("done");
        }
    }
    loop {
        std::thread::park();
    }
}
