//! A client: one session at an access node, one statement at a time.
use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Session {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

/// How a statement ended.
#[derive(Debug, PartialEq)]
pub enum Ending {
    Success {
        rows: Vec<String>,
        stamp: String,
    },
    Error(String),
    /// A cut or silence: nothing is promised.
    Unclear,
}

impl Session {
    pub fn open(front: &str, database: &str) -> Option<Session> {
        let address: SocketAddr = front.parse().ok()?;
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let mut session = Session { reader: BufReader::new(stream.try_clone().ok()?), writer: stream };
        session.writer.write_all(format!("SETUP {database} u1\r\n").as_bytes()).ok()?;
        session.line()?.starts_with("IDLE").then_some(session)
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let len = self.reader.read_line(&mut line).ok()?;
        (len > 0 && line.ends_with('\n')).then(|| line.trim_end_matches(['\r', '\n']).to_owned())
    }

    pub fn ask(&mut self, id: &str, text: &str) -> Ending {
        if self.writer.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).is_err() {
            return Ending::Unclear;
        }
        let (mut rows, mut stamp, mut error) = (Vec::new(), String::new(), None);
        loop {
            let Some(line) = self.line() else { return Ending::Unclear };
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "COMPLETE" => stamp = rest.to_owned(),
                "ERROR" => error = Some(rest.to_owned()),
                "IDLE" => {
                    return error.map_or(Ending::Success { rows, stamp }, Ending::Error);
                }
                _ => return Ending::Unclear,
            }
        }
    }
}

/// A client that keeps trying: a new session at the next front after a close.
pub struct Caller<'a> {
    pub record: &'a Record,
    pub fronts: Vec<String>,
    pub database: &'static str,
    pub at: usize,
    pub session: Option<Session>,
}

impl Caller<'_> {
    pub fn ask(&mut self, id: &str, text: &str) -> Ending {
        if self.session.is_none() {
            let front = &self.fronts[self.at % self.fronts.len()];
            self.session = Session::open(front, self.database);
            if self.session.is_none() {
                self.at += 1;
                return Ending::Error("no session".to_owned());
            }
        }
        let front = &self.fronts[self.at % self.fronts.len()];
        self.record.line(&format!("client -> {front}: {id} {text}"));
        let ending = self.session.as_mut().map_or(Ending::Unclear, |session| session.ask(id, text));
        self.record.line(&format!("client <- {front}: {id} {ending:?}"));
        if ending == Ending::Unclear {
            self.session = None;
            self.at += 1;
        }
        ending
    }
}
