use crate::Shapes;
use wv_wire_protocol::{put_query, Kind};

const VALUES_MAX: usize = 128;
const NAMES_MAX: usize = 512;

#[derive(thiserror::Error, Debug, PartialEq, Eq)]
pub enum SessionError {
    #[error("too many values or names in one session")]
    Full,
}

/// Named values, sorted by name, so that equal sets compare equal.
type Values = Vec<(Box<[u8]>, Box<[u8]>)>;

fn assign(values: &mut Values, name: &[u8], value: &[u8]) {
    match values.binary_search_by(|(held, _)| held[..].cmp(name)) {
        Ok(at) => values[at].1 = Box::from(value),
        Err(at) => values.insert(at, (Box::from(name), Box::from(value))),
    }
}

fn find<'a>(values: &'a Values, name: &[u8]) -> Option<&'a [u8]> {
    values.binary_search_by(|(held, _)| held[..].cmp(name)).ok().map(|at| &values[at].1[..])
}

/// What a client's session holds: its values and its prepared names.
#[derive(Default)]
pub struct Session {
    values: Values,
    names: hashbrown::HashMap<Box<[u8]>, u32, ahash::RandomState>,
}

impl Session {
    pub fn assign(&mut self, name: &[u8], value: &[u8]) -> Result<(), SessionError> {
        if self.values.len() >= VALUES_MAX && find(&self.values, name).is_none() {
            return Err(SessionError::Full);
        }
        assign(&mut self.values, name, value);
        Ok(())
    }

    pub fn define(&mut self, name: &[u8], shape: u32) -> Result<(), SessionError> {
        if self.names.len() >= NAMES_MAX && !self.names.contains_key(name) {
            return Err(SessionError::Full);
        }
        self.names.insert(Box::from(name), shape);
        Ok(())
    }

    pub fn undefine(&mut self, name: &[u8]) -> bool {
        self.names.remove(name).is_some()
    }

    pub fn shape(&self, name: &[u8]) -> Option<u32> {
        self.names.get(name).copied()
    }
}

/// What stands on one connection.
#[derive(Default)]
pub struct Tie {
    values: Values,
    defined: hashbrown::HashSet<u32, ahash::RandomState>,
}

/// What a connection lacks for a session's next statement; less is better.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Gap {
    is_foreign: bool,
    assigns: u32,
    defines: u32,
}

impl Tie {
    pub fn gap(&self, session: &Session, shape: Option<u32>) -> Gap {
        let is_foreign = self.values.iter().any(|(name, _)| find(&session.values, name).is_none());
        let assigns =
            session.values.iter().filter(|(name, value)| find(&self.values, name) != Some(value)).count() as u32;
        let defines = shape.filter(|shape| !self.defined.contains(shape)).is_some() as u32;
        Gap { is_foreign, assigns, defines }
    }
}

impl Gap {
    pub fn is_none(&self) -> bool {
        *self == Gap { is_foreign: false, assigns: 0, defines: 0 }
    }
}

/// Writes what brings the connection in line with the session; returns how many statements that took.
pub fn sync(out: &mut Vec<u8>, tie: &mut Tie, session: &Session, shape: Option<u32>, shapes: &Shapes) -> usize {
    let mut count = 0;
    // A value that the session does not have cannot be taken back singly.
    if tie.values.iter().any(|(name, _)| find(&session.values, name).is_none()) {
        put_query(out, b"-", &[b"CLEAR"]);
        tie.values.clear();
        tie.defined.clear();
        count += 1;
    }
    for (name, value) in &session.values {
        if find(&tie.values, name) != Some(value) {
            put_query(out, b"-", &[b"ASSIGN", name, value]);
            assign(&mut tie.values, name, value);
            count += 1;
        }
    }
    if let Some((number, (kind, text))) = shape.and_then(|number| shapes.get(number).map(|shape| (number, shape))) {
        if tie.defined.insert(number) {
            let verb: &[u8] = if kind == Kind::Read { b"READ" } else { b"WRITE" };
            put_query(out, b"-", &[b"DEFINE", format!("w{number}").as_bytes(), verb, text]);
            count += 1;
        }
    }
    count
}
