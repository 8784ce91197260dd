//! Clients: sessions that send one statement after the other and note what they are told.
use crate::wire::{shown, take_line};
use crate::world::World;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Answers by statement: the lines before `IDLE`.
pub type Answers = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

pub struct Session {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Session {
    /// Opens a session; `None` if it is refused.
    pub fn open(front: &str, host: &str, who: &str) -> Option<Session> {
        let stream = TcpStream::connect_timeout(&front.parse().ok()?, Duration::from_millis(500)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut session = Session { stream, buf: Vec::new() };
        session.send(&format!("SETUP {host} {who}"))?;
        session.line().filter(|line| line.starts_with("IDLE"))?;
        Some(session)
    }

    pub fn send(&mut self, line: &str) -> Option<()> {
        self.stream.write_all(format!("{line}\r\n").as_bytes()).ok()
    }

    pub fn line(&mut self) -> Option<String> {
        let mut bytes = [0; 4096];
        loop {
            if let Some(line) = take_line(&mut self.buf) {
                return Some(line);
            }
            match self.stream.read(&mut bytes) {
                Ok(len) if len > 0 => self.buf.extend_from_slice(&bytes[..len]),
                _ => return None,
            }
        }
    }

    /// The lines up to and with `IDLE`; `None` if the session ended before.
    pub fn answer(&mut self) -> Option<Vec<String>> {
        let mut lines = Vec::new();
        loop {
            let line = self.line()?;
            let is_last = line.starts_with("IDLE ");
            lines.push(line);
            if is_last {
                return Some(lines);
            }
        }
    }
}

/// Writes new things one after the other until the day is over; each statement has an id of its own.
pub fn write_things(world: World, fronts: Vec<String>, host: String, number: usize, answers: Answers) {
    let (mut count, mut at) = (0u64, number);
    while !world.lock().is_over {
        let Some(mut session) = Session::open(&fronts[at % fronts.len()], &host, &format!("client-{number}")) else {
            at += 1;
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        while !world.lock().is_over {
            count += 1;
            let id = format!("{:04x}{:08x}", number, count);
            let text = format!("WRITE thing-{number}-{} data-{id}", count % 50);
            world.lock().sent.insert(id.clone(), text.clone());
            world.record.line(&format!("client {number} sends {id} {}", shown(&text)));
            let answer = session.send(&format!("QUERY {id} {text}")).and_then(|()| session.answer());
            world.record.line(&format!("client {number} gets {id} {answer:?}"));
            let Some(answer) = answer else { break };
            let is_done = answer.iter().any(|line| line.starts_with("COMPLETE "));
            answers.lock().unwrap_or_else(std::sync::PoisonError::into_inner).insert(id, answer);
            std::thread::sleep(Duration::from_millis(if is_done { 20 } else { 100 }));
        }
        at += 1;
        std::thread::sleep(Duration::from_millis(100));
    }
}
