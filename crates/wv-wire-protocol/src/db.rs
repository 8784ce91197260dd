use crate::{cut_word, Code};

/// A place in a database's log: term, then number; ordered in that order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Pos {
    pub term: u64,
    pub number: u64,
}

impl Pos {
    pub fn parse(word: &[u8]) -> Option<Pos> {
        let (term, number) = std::str::from_utf8(word).ok()?.split_once('.')?;
        Some(Pos { term: term.parse().ok()?, number: number.parse().ok()? })
    }
}

impl std::fmt::Display for Pos {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}.{}", self.term, self.number)
    }
}

/// What a database says, a line at a time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DbLine<'a> {
    Row(&'a [u8]),
    Complete(&'a [u8]),
    Error(Code, &'a [u8]),
    Idle(u8, Option<Pos>),
    Unknown,
}

impl<'a> DbLine<'a> {
    pub fn parse(line: &'a [u8]) -> DbLine<'a> {
        let (word, rest) = cut_word(line);
        match word {
            b"ROW" => DbLine::Row(rest),
            b"COMPLETE" => DbLine::Complete(rest),
            b"ERROR" => {
                let (code, text) = cut_word(rest);
                DbLine::Error(Code::parse(code), text)
            }
            b"IDLE" => {
                let (state, pos) = cut_word(rest);
                match state {
                    [state @ (b'I' | b'T' | b'E')] => DbLine::Idle(*state, Pos::parse(pos)),
                    _ => DbLine::Unknown,
                }
            }
            _ => DbLine::Unknown,
        }
    }
}

/// The row that `ENQUIRY`, `SUSPEND`, `CONTINUE` and `YIELD` return.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Status {
    pub is_primary: bool,
    pub term: u64,
    pub received: Pos,
    /// The highest term that a `SUSPEND` holds here, 0 for none.
    pub held: u64,
    pub lag_us: u64,
    pub busy: u32,
    pub connections: u32,
}

/// Reads a status row: role, term, position, term held, lag, busy, connections.
pub fn parse_status(row: &[u8]) -> Option<Status> {
    let mut words = std::str::from_utf8(row).ok()?.split(' ');
    let role = words.next()?;
    let term = words.next()?.parse().ok()?;
    let received = Pos::parse(words.next()?.as_bytes()).unwrap_or_default();
    let mut number = || words.next().and_then(|word| word.parse::<f64>().ok()).unwrap_or(0.0).max(0.0) as u64;
    Some(Status {
        is_primary: role == "primary",
        term,
        received,
        held: number(),
        lag_us: number().saturating_mul(1000),
        busy: number() as u32,
        connections: number() as u32,
    })
}
