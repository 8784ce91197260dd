//! Simulated databases and their platform on loopback addresses, for manual tests:
//! `standins CONTROL PLATFORM FIRST SERVICE …` serves three databases of each service on consecutive ports from the
//! address FIRST on, replicates the primaries' logs, and accepts `POST /promotion` at PLATFORM. Data is kept in memory
//! only; `dump` on standard input prints each primary's rows.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use wv_simulation::{Database, StandaloneReply};

const DATABASES_PER_SERVICE: usize = 3;
type Shared = Arc<Mutex<Vec<Database>>>;

fn lock(databases: &Shared) -> MutexGuard<'_, Vec<Database>> {
    databases.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn send_heartbeat(control: SocketAddr, databases: &Shared, at: usize) -> std::io::Result<()> {
    let (path, body) = {
        let mut all = lock(databases);
        let instance = &mut all[at];
        instance.sequence += 1;
        let role = if instance.is_primary { "primary" } else { "replica" };
        let body = serde_json::json!({"destination": instance.service, "address": instance.addr, "zone": "here",
            "issue": "v1", "capacity": 10, "state": "in_service", "coldLeftMs": 0, "dbRole": role,
            "sequence": instance.sequence});
        (format!("/instances/{}", instance.id), body.to_string())
    };
    let mut stream = TcpStream::connect(control)?;
    write!(
        stream,
        "PUT {path} HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )?;
    stream.read_to_end(&mut Vec::new()).map(|_| ())
}

/// Copies the primary's log to its replicas.
fn replicate(all: &mut [Database], from: usize) {
    if !all[from].is_primary {
        return;
    }
    let service = all[from].service.clone();
    let is_replica =
        |database: &Database| database.service == service && !database.is_primary && database.suspended == 0;
    let others: Vec<usize> = (0..all.len()).filter(|at| is_replica(&all[*at])).collect();
    for other in others {
        let have = all[other].log.len().min(all[from].log.len());
        let missing = all[from].log[have..].to_vec();
        all[other].log.extend(missing);
        let len = all[other].log.len();
        all[other].apply(len);
    }
}

fn serve(stream: TcpStream, connection_id: u64, databases: &Shared, at: usize) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(line) = wv_simulation::read_line(&mut reader)? {
        let words: Vec<&str> = line.splitn(3, ' ').collect();
        let mut all = lock(databases);
        let text = match words[..] {
            ["SETUP", ..] => all[at].set_up(connection_id),
            ["QUERY", id, text] => match all[at].execute_standalone(connection_id, id, text) {
                StandaloneReply::Text(text) => text,
                StandaloneReply::UnknownConnection => break,
            },
            _ => break,
        };
        replicate(&mut all, at);
        drop(all);
        out.write_all(text.as_bytes())?;
    }
    lock(databases)[at].connections.remove(&connection_id);
    Ok(())
}

/// Makes the named database the primary of the next term, with the log that it had received.
fn promote(all: &mut [Database], id: &str) -> u16 {
    let Some(at) = all.iter().position(|database| database.id == id) else { return 409 };
    if all[at].is_primary {
        return 200;
    }
    let (service, log) = (all[at].service.clone(), all[at].log.clone());
    let term =
        all.iter().filter(|database| database.service == service).map(|database| database.term).max().unwrap_or(1) + 1;
    for (other, database) in all.iter_mut().enumerate().filter(|(_, database)| database.service == service) {
        if database.is_primary {
            database.connections.values_mut().for_each(|connection| connection.is_deposed = true);
        }
        (database.is_primary, database.term) = (other == at, term);
        database.truncate_to(&log);
    }
    all[at].suspended = 0;
    all[at].apply(log.len());
    println!("{id} leads term {term}");
    200
}

fn platform(mut stream: TcpStream, databases: &Shared) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut len = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            break;
        }
        let header = line.to_lowercase();
        len = header.strip_prefix("content-length:").and_then(|rest| rest.trim().parse().ok()).unwrap_or(len);
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body)?;
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let status = promote(&mut lock(databases), value["id"].as_str().unwrap_or_default());
    write!(stream, "HTTP/1.1 {status} X\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}")
}

fn listen(
    addr: &str,
    databases: &Shared,
    handle: impl Fn(TcpStream, u64, Shared) + Send + Clone + 'static,
) -> std::io::Result<()> {
    let (listener, databases) = (TcpListener::bind(addr)?, databases.clone());
    std::thread::spawn(move || {
        for (connection_id, stream) in (0..).zip(listener.incoming()) {
            let (databases, handle) = (databases.clone(), handle.clone());
            if let Ok(stream) = stream {
                std::thread::spawn(move || handle(stream, connection_id, databases));
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
    let created =
        services.iter().flat_map(|service| (0..DATABASES_PER_SERVICE).map(move |at| Database::new(service, at)));
    let databases: Shared = Arc::new(Mutex::new(created.collect()));
    let count = lock(&databases).len();
    for at in 0..count {
        let addr = SocketAddr::new(first.ip(), first.port() + at as u16).to_string();
        lock(&databases)[at].addr = addr.clone();
        listen(&addr, &databases, move |stream, connection_id, databases| {
            drop(serve(stream, connection_id, &databases, at))
        })?;
        let shared = databases.clone();
        std::thread::spawn(move || loop {
            if let Err(error) = send_heartbeat(control, &shared, at) {
                eprintln!("heartbeat failed: {error}");
            }
            std::thread::sleep(std::time::Duration::from_millis(700));
        });
    }
    listen(at, &databases, |stream, _, databases| drop(platform(stream, &databases)))?;
    for line in std::io::stdin().lines() {
        if line? == "dump" {
            for database in lock(&databases).iter().filter(|database| database.is_primary) {
                database.rows.iter().for_each(|(key, value)| println!("row {} {key} {value}", database.service));
                let own = |entry: &&wv_simulation::LogEntry| entry.write.tag != "-";
                database
                    .log
                    .iter()
                    .filter(own)
                    .for_each(|entry| println!("wrote {} {}", database.service, entry.write.tag));
            }
            println!("done");
        }
    }
    loop {
        std::thread::park();
    }
}
