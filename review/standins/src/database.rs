//! The sockets of one database: it accepts while it runs, and cuts everything when it does not.
use crate::fleet::Fleet;
use crate::statements::Connection;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

/// Serves the database `id` at its address for ever, with pauses while it is down.
pub fn serve(fleet: &Arc<Fleet>, id: &str) {
    let (fleet, id) = (fleet.clone(), id.to_owned());
    let address = fleet.with(&id, |db| db.address.clone()).unwrap_or_default();
    std::thread::spawn(move || {
        let mut number = 0;
        loop {
            if !fleet.is_running(&id) {
                crate::sleep_ms(5);
                continue;
            }
            let Ok(listener) = TcpListener::bind(&address) else {
                crate::sleep_ms(5);
                continue;
            };
            let _ = listener.set_nonblocking(true);
            while fleet.is_running(&id) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        number += 1;
                        accept(&fleet, &id, number, stream);
                    }
                    Err(_) => crate::sleep_ms(2),
                }
            }
        }
    });
}

fn accept(fleet: &Arc<Fleet>, id: &str, number: u64, stream: TcpStream) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let is_taken = fleet.with(id, |db| db.is_running && db.streams.insert(number, copy).is_none());
    if is_taken != Some(true) {
        return;
    }
    let (fleet, id) = (fleet.clone(), id.to_owned());
    std::thread::spawn(move || {
        let _ = talk(&fleet, &id, &stream);
        let _ = stream.shutdown(std::net::Shutdown::Both);
        fleet.with(&id, |db| db.streams.remove(&number));
    });
}

fn talk(fleet: &Arc<Fleet>, id: &str, stream: &TcpStream) -> std::io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut connection = Connection::default();
    for line in BufReader::new(stream.try_clone()?).lines() {
        let line = line?;
        let words: Vec<&str> = line.splitn(3, ' ').collect();
        match words[..] {
            ["SETUP", service, rest] => {
                let expected = rest.split(' ').nth(1);
                let known = fleet.with(id, |db| (db.service == service, db.position()));
                let (is_service, position) = known.unwrap_or_default();
                if !is_service || expected.is_some_and(|expected| expected != id) {
                    out.write_all(b"ERROR WRONGNODE another\r\n")?;
                    break;
                }
                out.write_all(format!("IDLE I {position}\r\n").as_bytes())?;
            }
            ["QUERY", query, text] => {
                let Some(answer) = connection.run(fleet, id, query, text) else { break };
                if query != "-" {
                    if !answer.contains("ERROR ") {
                        fleet.note_run(id, query);
                    }
                    fleet.record.line(&format!("{id} ran {query} {text}: {}", answer.replace("\r\n", "; ")));
                }
                out.write_all(answer.as_bytes())?;
            }
            _ => break,
        }
    }
    Ok(())
}
