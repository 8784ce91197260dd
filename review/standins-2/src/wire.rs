//! The wire of the databases: lines that end with CR LF, as the protocol's page has it.
use crate::world::{Database, Entry, State, World};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A connection is given up when a statement takes this long.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Takes the first line, without its CR LF. A bare LF or CR is part of the text.
pub fn take_line(buf: &mut Vec<u8>) -> Option<String> {
    let end = buf.windows(2).position(|pair| pair == b"\r\n")?;
    let line = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end + 2);
    Some(line)
}

/// What is shown of a text in the record.
pub fn shown(text: &str) -> String {
    text.replace('\r', "\\r").replace('\n', "\\n")
}

#[derive(Default)]
struct Session {
    life: u64,
    /// The term in which the database was when the session began.
    term: u64,
    txn: Option<Txn>,
    prepared: BTreeMap<String, (bool, String)>,
}

#[derive(Default)]
struct Txn {
    is_plain: bool,
    has_failed: bool,
    writes: Vec<(String, String)>,
}

enum Answer {
    Text(String),
    /// The commit waits until one replica has received it: number and id of its entry, the answer's first lines.
    Commit(usize, String, String),
    Close,
}

/// Serves a database's address whenever it runs.
pub fn serve(world: World, id: String, address: String) {
    while !world.lock().is_over {
        let is_up = world.with(&id, |database| database.is_up).unwrap_or(false);
        let listener = if is_up { TcpListener::bind(&address).ok() } else { None };
        let Some(listener) = listener else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        let _ = listener.set_nonblocking(true);
        while world.with(&id, |database| database.is_up).unwrap_or(false) && !world.lock().is_over {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (world, id) = (world.clone(), id.clone());
                    std::thread::spawn(move || serve_session(&world, &id, stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }
}

fn serve_session(world: &World, id: &str, mut stream: TcpStream) {
    let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
    let mut session = Session::default();
    let kept = stream.try_clone();
    let is_taken = world.with(id, |database| {
        session.life = database.life;
        database.streams.extend(kept.into_iter().filter(|_| database.is_up));
        database.connections += 1;
        database.is_up
    });
    let (mut buf, mut bytes) = (Vec::new(), [0; 8192]);
    while is_taken == Some(true) {
        let Some(line) = take_line(&mut buf) else {
            match stream.read(&mut bytes) {
                Ok(len) if len > 0 => buf.extend_from_slice(&bytes[..len]),
                _ => break,
            }
            continue;
        };
        let text = match execute(world, id, &mut session, &line) {
            Answer::Text(text) => text,
            Answer::Commit(number, entry, text) => match wait_for_replica(world, id, session.life, number, &entry) {
                Some(position) => format!("{text}IDLE I {position}\r\n"),
                None => break,
            },
            Answer::Close => break,
        };
        let is_alive = world.with(id, |database| database.life == session.life) == Some(true);
        if !is_alive || stream.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    world.with(id, |database| database.connections = database.connections.saturating_sub(1));
}

/// Waits until a replica has the entry; `None` if the database ended or lost the lead meanwhile.
fn wait_for_replica(world: &World, id: &str, life: u64, number: usize, entry: &str) -> Option<String> {
    let until = Instant::now() + COMMIT_TIMEOUT;
    let mut state = world.lock();
    loop {
        let own = state.databases.iter().find(|database| database.id == id)?;
        let is_held = own.log.get(number - 1).is_some_and(|held| held.id == entry);
        if !own.is_up || own.life != life || !is_held || !own.is_primary || Instant::now() > until || state.is_over {
            return None;
        }
        let has = |other: &&Database| other.id != id && other.service == own.service && other.is_up;
        let received = |other: &Database| other.log.get(number - 1).is_some_and(|held| held.id == entry);
        if state.databases.iter().filter(has).any(received) {
            let (service, position) = (own.service.clone(), own.position());
            state.committed.insert(entry.to_owned(), service);
            world.record.line(&format!("database {id} commits {entry} as number {number}"));
            return Some(position);
        }
        let waited = world.changed.wait_timeout(state, Duration::from_millis(5));
        state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
    }
}

fn words(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}

fn execute(world: &World, id: &str, session: &mut Session, line: &str) -> Answer {
    let mut state = world.lock();
    let State { databases, run, .. } = &mut *state;
    let Some(own) = databases.iter_mut().find(|database| database.id == id) else { return Answer::Close };
    if !own.is_up || own.life != session.life {
        return Answer::Close;
    }
    let (word, rest) = words(line);
    if word == "SETUP" {
        let fields: Vec<&str> = rest.split(' ').collect();
        let is_right = fields[0] == own.service && fields.get(2).is_none_or(|wanted| *wanted == own.id);
        session.term = own.term;
        return Answer::Text(if is_right { "IDLE I -\r\n".to_owned() } else { "ERROR WRONGNODE no\r\n".to_owned() });
    }
    if word != "QUERY" {
        return Answer::Close;
    }
    let (query, mut text) = words(rest);
    if query != "-" {
        run.push((query.to_owned(), text.to_owned()));
        world.record.line(&format!("database {id} runs {query} {}", shown(text)));
    }
    let stamp = if query == "-" { "-".to_owned() } else { format!("{id}.{query}") };
    let idle = |own: &Database, session: &Session| {
        let letter = session.txn.as_ref().map_or("I", |txn| if txn.has_failed { "E" } else { "T" });
        format!("IDLE {letter} {}\r\n", own.position())
    };
    let error = |own: &Database, session: &Session, code: &str| {
        Answer::Text(format!("ERROR {code} {}\r\n{}", own.id, idle(own, session)))
    };
    if let Some(rest) = text.strip_prefix("MINPOS ") {
        let (position, rest) = words(rest);
        let parse = |position: &str| {
            position
                .split_once('.')
                .map(|(term, number)| (term.parse::<u64>().unwrap_or(0), number.parse::<u64>().unwrap_or(0)))
        };
        if parse(&own.position()) < parse(position) {
            return error(own, session, "LAGGING");
        }
        text = rest;
    }
    let (mut verb, mut rest) = words(text);
    let shape;
    if verb == "EXECUTE" {
        let (name, arguments) = words(rest);
        let Some((is_read, _)) = session.prepared.get(name) else { return error(own, session, "UNDEFINED") };
        (shape, rest) = (if *is_read { "READ" } else { "WRITE" }, arguments);
        verb = shape;
    }
    let leads = own.is_primary && own.term == session.term;
    let has_failed = session.txn.as_ref().is_some_and(|txn| txn.has_failed);
    let is_plain = session.txn.as_ref().is_some_and(|txn| txn.is_plain);
    match verb {
        "BEGIN" if rest != "READ" && !leads => return error(own, session, "READONLY"),
        "BEGIN" => session.txn = Some(Txn { is_plain: rest != "READ", ..Txn::default() }),
        "ABORT" => session.txn = None,
        "COMMIT" if has_failed => {
            session.txn = None;
            return error(own, session, "ABORTED");
        }
        "READ" | "WRITE" if has_failed => return error(own, session, "MALFORMED"),
        "READ" if is_plain && !leads => {
            session.txn.iter_mut().for_each(|txn| txn.has_failed = true);
            return error(own, session, "READONLY");
        }
        "READ" => {
            let row = own.value(rest).map(|data| format!("ROW {data}\r\n")).unwrap_or_default();
            return Answer::Text(format!("{row}COMPLETE {stamp}\r\n{}", idle(own, session)));
        }
        "WRITE" if !leads => {
            session.txn.iter_mut().for_each(|txn| txn.has_failed = true);
            return error(own, session, "READONLY");
        }
        "WRITE" | "COMMIT" => {
            let (key, data) = words(rest);
            let write = (verb == "WRITE").then(|| (key.to_owned(), data.to_owned()));
            if let Some(txn) = session.txn.as_mut().filter(|_| verb == "WRITE") {
                txn.writes.extend(write);
                return Answer::Text(format!("COMPLETE {stamp}\r\n{}", idle(own, session)));
            }
            let writes = session.txn.take().map_or_else(|| write.into_iter().collect(), |txn| txn.writes);
            if writes.is_empty() {
                return Answer::Text(format!("COMPLETE {stamp}\r\n{}", idle(own, session)));
            }
            if !leads {
                return error(own, session, "READONLY");
            }
            own.log.push(Entry { term: own.term, id: query.to_owned(), writes, at: Instant::now() });
            return Answer::Commit(own.log.len(), query.to_owned(), format!("COMPLETE {stamp}\r\n"));
        }
        "ASSIGN" | "UNDEFINE" => {}
        "CLEAR" => session.prepared.clear(),
        "DEFINE" => {
            let (name, rest) = words(rest);
            let (kind, shape) = words(rest);
            session.prepared.insert(name.to_owned(), (kind == "READ", shape.to_owned()));
        }
        "ENQUIRY" => {}
        "SUSPEND" if !own.is_primary => own.suspended = rest.parse().unwrap_or(0),
        "CONTINUE" => own.suspended = 0,
        "YIELD" if own.term < rest.parse().unwrap_or(0) => own.is_primary = false,
        _ => return error(own, session, "MALFORMED"),
    }
    if matches!(verb, "ENQUIRY" | "SUSPEND" | "CONTINUE" | "YIELD") {
        world.record.line(&format!("database {id} answers {text} with {}", own.row().trim_end()));
        return Answer::Text(format!("{}COMPLETE -\r\n{}", own.row(), idle(own, session)));
    }
    Answer::Text(format!("COMPLETE -\r\n{}", idle(own, session)))
}
