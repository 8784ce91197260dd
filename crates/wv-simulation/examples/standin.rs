//! Simulated database on a loopback address, for manual tests:
//! `standin CONTROL LISTEN ID SERVICE primary|replica`. Data is kept in memory only and not replicated.
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use wv_simulation::{Database, StandaloneReply};

type Shared = Arc<Mutex<Database>>;

fn send_heartbeat(control: SocketAddr, addr: &str, database: &Shared) -> std::io::Result<()> {
    let (path, body) = {
        let Ok(mut instance) = database.lock() else { return Ok(()) };
        instance.sequence += 1;
        let role = if instance.is_primary { "primary" } else { "replica" };
        let body = serde_json::json!({"destination": instance.service, "address": addr, "zone": "here", "issue": "v1",
            "capacity": 10, "state": "in_service", "coldLeftMs": 0, "dbRole": role, "sequence": instance.sequence});
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

fn serve(stream: TcpStream, connection_id: u64, database: &Shared) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(line) = wv_simulation::read_line(&mut reader)? {
        let words: Vec<&str> = line.splitn(3, ' ').collect();
        let Ok(mut instance) = database.lock() else { break };
        let text = match words[..] {
            ["SETUP", _, _] => instance.set_up(connection_id),
            ["QUERY", id, text] => match instance.execute_standalone(connection_id, id, text) {
                StandaloneReply::Text(text) => text,
                StandaloneReply::UnknownConnection => break,
            },
            _ => break,
        };
        drop(instance);
        out.write_all(text.as_bytes())?;
    }
    if let Ok(mut instance) = database.lock() {
        instance.connections.remove(&connection_id);
    }
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [control, listen, id, service, role] = &args[..] else {
        return Err("usage: standin CONTROL LISTEN ID SERVICE primary|replica".into());
    };
    let control: SocketAddr = control.parse()?;
    let mut database = Database::new(service, usize::from(role != "primary"));
    database.id = id.clone();
    let database: Shared = Arc::new(Mutex::new(database));
    let listener = TcpListener::bind(listen)?;
    let (shared, addr) = (database.clone(), listen.clone());
    std::thread::spawn(move || loop {
        if let Err(error) = send_heartbeat(control, &addr, &shared) {
            eprintln!("heartbeat failed: {error}");
        }
        std::thread::sleep(std::time::Duration::from_secs(1));
    });
    for (connection_id, stream) in listener.incoming().enumerate() {
        let (stream, database) = (stream?, database.clone());
        std::thread::spawn(move || serve(stream, connection_id as u64, &database));
    }
    Ok(())
}
