use crate::PreparedStatements;
use wv_wire_protocol::{write_query, StatementKind};

const MAX_VALUES: usize = 128;
const MAX_NAMES: usize = 512;

#[derive(thiserror::Error, Debug, PartialEq, Eq)]
pub enum SessionError {
    #[error("too many values or names in one session")]
    Full,
}

/// Name-value pairs, kept sorted by name for binary search.
type Values = Vec<(Box<[u8]>, Box<[u8]>)>;

fn assign(values: &mut Values, name: &[u8], value: &[u8]) {
    match values.binary_search_by(|(key, _)| key[..].cmp(name)) {
        Ok(at) => values[at].1 = Box::from(value),
        Err(at) => values.insert(at, (Box::from(name), Box::from(value))),
    }
}

fn find<'a>(values: &'a Values, name: &[u8]) -> Option<&'a [u8]> {
    values.binary_search_by(|(key, _)| key[..].cmp(name)).ok().map(|at| &values[at].1[..])
}

/// Session values and prepared statement names of a client.
#[derive(Default)]
pub struct Session {
    values: Values,
    names: hashbrown::HashMap<Box<[u8]>, u32, ahash::RandomState>,
}

impl Session {
    pub fn assign(&mut self, name: &[u8], value: &[u8]) -> Result<(), SessionError> {
        if self.values.len() >= MAX_VALUES && find(&self.values, name).is_none() {
            return Err(SessionError::Full);
        }
        assign(&mut self.values, name, value);
        Ok(())
    }

    pub fn define(&mut self, name: &[u8], statement_id: u32) -> Result<(), SessionError> {
        if self.names.len() >= MAX_NAMES && !self.names.contains_key(name) {
            return Err(SessionError::Full);
        }
        self.names.insert(Box::from(name), statement_id);
        Ok(())
    }

    pub fn undefine(&mut self, name: &[u8]) -> bool {
        self.names.remove(name).is_some()
    }

    pub fn statement_id(&self, name: &[u8]) -> Option<u32> {
        self.names.get(name).copied()
    }
}

/// Session values and prepared statements currently set on a database connection.
#[derive(Default)]
pub struct ConnectionState {
    values: Values,
    defined_statements: hashbrown::HashSet<u32, ahash::RandomState>,
}

/// Work needed to prepare a connection for a session's next statement; lower is cheaper.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct SyncCost {
    needs_clear: bool,
    assign_count: u32,
    define_count: u32,
}

impl ConnectionState {
    pub fn sync_cost(&self, session: &Session, statement_id: Option<u32>) -> SyncCost {
        let needs_clear = self.values.iter().any(|(name, _)| find(&session.values, name).is_none());
        let assign_count =
            session.values.iter().filter(|(name, value)| find(&self.values, name) != Some(value)).count() as u32;
        let define_count = statement_id.filter(|id| !self.defined_statements.contains(id)).is_some() as u32;
        SyncCost { needs_clear, assign_count, define_count }
    }
}

impl SyncCost {
    pub fn is_zero(&self) -> bool {
        *self == SyncCost { needs_clear: false, assign_count: 0, define_count: 0 }
    }
}

/// Writes the statements that bring the connection to the session's state and returns their count.
pub fn sync_connection(
    out: &mut Vec<u8>,
    connection: &mut ConnectionState,
    session: &Session,
    statement_id: Option<u32>,
    statements: &PreparedStatements,
) -> usize {
    let mut count = 0;
    // The protocol cannot unset a single value, so a stale one requires clearing all of them.
    if connection.values.iter().any(|(name, _)| find(&session.values, name).is_none()) {
        write_query(out, b"-", &[b"CLEAR"]);
        connection.values.clear();
        connection.defined_statements.clear();
        count += 1;
    }
    for (name, value) in &session.values {
        if find(&connection.values, name) != Some(value) {
            write_query(out, b"-", &[b"ASSIGN", name, value]);
            assign(&mut connection.values, name, value);
            count += 1;
        }
    }
    if let Some((id, (kind, body))) = statement_id.and_then(|id| statements.get(id).map(|statement| (id, statement))) {
        if connection.defined_statements.insert(id) {
            let verb: &[u8] = if kind == StatementKind::Read { b"READ" } else { b"WRITE" };
            write_query(out, b"-", &[b"DEFINE", format!("w{id}").as_bytes(), verb, body]);
            count += 1;
        }
    }
    count
}
