//! What a database makes of the statements on one connection.
use crate::fleet::{Db, Fleet};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

struct Transaction {
    is_read_only: bool,
    reign: u64,
    is_failed: bool,
    writes: Vec<(String, String)>,
}

#[derive(Default)]
pub struct Connection {
    transaction: Option<Transaction>,
    names: BTreeMap<String, bool>,
}

fn split(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}

impl Connection {
    fn state(&self) -> char {
        self.transaction.as_ref().map_or('I', |transaction| if transaction.is_failed { 'E' } else { 'T' })
    }

    fn error(&mut self, code: &str, position: &str) -> Option<String> {
        if let Some(transaction) = self.transaction.as_mut() {
            transaction.is_failed = true;
        }
        Some(format!("ERROR {code} refused\r\nIDLE {} {position}\r\n", self.state()))
    }

    fn done(&self, body: &str, stamp: &str, position: &str) -> Option<String> {
        Some(format!("{body}COMPLETE {stamp}\r\nIDLE {} {position}\r\n", self.state()))
    }

    /// The answer, or `None` if there is none: the connection is cut.
    pub fn run(&mut self, fleet: &Arc<Fleet>, id: &str, query: &str, text: &str) -> Option<String> {
        let (mut verb, mut rest) = split(text);
        let (position, last, is_primary, reign) =
            fleet.with(id, |db| (db.position(), db.last(), db.is_primary, db.reign))?;
        if verb == "MINPOS" {
            let (place, statement) = split(rest);
            let (term, number) = place.split_once('.')?;
            if last < (term.parse().ok()?, number.parse().ok()?) {
                return self.error("LAGGING", &position);
            }
            (verb, rest) = split(statement);
        }
        if self.transaction.as_ref().is_some_and(|open| open.is_failed) && !matches!(verb, "ABORT" | "COMMIT") {
            return self.error("MALFORMED", &position);
        }
        // A plain transaction ends with the lead.
        let is_over =
            self.transaction.as_ref().is_some_and(|open| !open.is_read_only && (!is_primary || open.reign != reign));
        if is_over && !matches!(verb, "ABORT" | "COMMIT") {
            return self.error("READONLY", &position);
        }
        match verb {
            "BEGIN" if self.transaction.is_none() => {
                let is_read_only = rest == "READ";
                if !is_read_only && !is_primary {
                    return self.error("READONLY", &position);
                }
                self.transaction = Some(Transaction { is_read_only, reign, is_failed: false, writes: Vec::new() });
                self.done("", "-", &position)
            }
            "ABORT" => {
                self.transaction = None;
                self.done("", "-", &position)
            }
            "COMMIT" => {
                let Some(open) = self.transaction.take() else { return self.error("MALFORMED", &position) };
                if open.is_failed || (is_over && !open.writes.is_empty()) {
                    return self.error(if open.is_failed { "ABORTED" } else { "READONLY" }, &position);
                }
                self.commit(fleet, id, query, open.writes)
            }
            "READ" => self.read(fleet, id, query, rest),
            "WRITE" => self.write(fleet, id, query, rest),
            "EXECUTE" => {
                let (name, arguments) = split(rest);
                match self.names.get(name) {
                    None => self.error("UNDEFINED", &position),
                    Some(true) => self.write(fleet, id, query, arguments),
                    Some(false) => self.read(fleet, id, query, arguments),
                }
            }
            "DEFINE" => {
                let (name, shape) = split(rest);
                self.names.insert(name.to_owned(), shape.starts_with("WRITE"));
                self.done("", "-", &position)
            }
            "CLEAR" => {
                self.names.clear();
                self.done("", "-", &position)
            }
            "ASSIGN" | "UNDEFINE" => self.done("", "-", &position),
            "ENQUIRY" | "SUSPEND" | "CONTINUE" | "YIELD" => {
                let term: u64 = rest.parse().unwrap_or(0);
                let row = fleet.with(id, |db| change(db, verb, term))?;
                fleet.record.line(&format!("{id} was told {text}: {row}"));
                let position = fleet.with(id, |db| db.position())?;
                self.done(&format!("{row}\r\n"), "-", &position)
            }
            _ => self.error("MALFORMED", &position),
        }
    }

    fn read(&mut self, fleet: &Arc<Fleet>, id: &str, query: &str, thing: &str) -> Option<String> {
        let (key, _) = split(thing);
        let own = self.transaction.as_ref().and_then(|open| open.writes.iter().rev().find(|(name, _)| name == key));
        let own = own.map(|(_, data)| data.clone());
        let (row, position) = fleet.with(id, |db| (own.or(db.rows.get(key).cloned()), db.position()))?;
        let body = row.map_or(String::new(), |row| format!("ROW {row}\r\n"));
        self.done(&body, &format!("r.{query}.{id}"), &position)
    }

    fn write(&mut self, fleet: &Arc<Fleet>, id: &str, query: &str, rest: &str) -> Option<String> {
        let (key, data) = split(rest);
        let write = (key.to_owned(), data.to_owned());
        let (position, is_primary) = fleet.with(id, |db| (db.position(), db.is_primary))?;
        match self.transaction.as_mut() {
            Some(open) if open.is_read_only => self.error("READONLY", &position),
            Some(open) => {
                open.writes.push(write);
                self.done("", &format!("w.{query}.{id}"), &position)
            }
            None if !is_primary => self.error("READONLY", &position),
            None => self.commit(fleet, id, query, vec![write]),
        }
    }

    /// Answered once a replica has received it.
    fn commit(&mut self, fleet: &Arc<Fleet>, id: &str, query: &str, writes: Vec<(String, String)>) -> Option<String> {
        let stamp = format!("c.{query}.{id}");
        let mut state = fleet.lock();
        let db = state.databases.iter_mut().find(|db| db.id == id && db.is_running)?;
        if writes.is_empty() {
            return self.done("", &stamp, &db.position());
        }
        if !db.is_primary {
            let position = db.position();
            return self.error("READONLY", &position);
        }
        let (service, reign) = (db.service.clone(), db.reign);
        let place = Fleet::commit(db, query, writes);
        loop {
            let has = |db: &Db| db.log.iter().rev().any(|entry| (entry.term, entry.number) == place);
            let own = state.databases.iter().find(|db| db.id == id)?;
            if !own.is_running || !own.is_primary || own.reign != reign {
                return None;
            }
            let holder = state
                .databases
                .iter()
                .find(|db| db.service == service && db.id != id && !db.is_primary && db.is_running && has(db));
            if let Some(holder) = holder {
                let (holder, position) = (holder.id.clone(), own.position());
                drop(state);
                fleet.record.line(&format!("{id} committed {query} at {}.{}, {holder} has it", place.0, place.1));
                return self.done("", &stamp, &position);
            }
            let waited = fleet.changed.wait_timeout(state, Duration::from_millis(20));
            state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }
}

fn change(db: &mut Db, verb: &str, term: u64) -> String {
    match verb {
        "SUSPEND" if !db.is_primary && term > db.term => db.suspended = term,
        "CONTINUE" => db.suspended = 0,
        "YIELD" if db.is_primary && db.term < term => (db.is_primary, db.reign) = (false, db.reign + 1),
        _ => {}
    }
    db.status()
}
