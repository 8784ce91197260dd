use crate::{split_word, ErrorCode};

/// Position in a database's log, ordered by term, then by entry number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct LogPosition {
    pub term: u64,
    pub number: u64,
}

impl LogPosition {
    pub fn parse(word: &[u8]) -> Option<LogPosition> {
        let (term, number) = std::str::from_utf8(word).ok()?.split_once('.')?;
        Some(LogPosition { term: term.parse().ok()?, number: number.parse().ok()? })
    }
}

impl std::fmt::Display for LogPosition {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}.{}", self.term, self.number)
    }
}

/// A line received from a database.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DatabaseLine<'a> {
    Row(&'a [u8]),
    Complete(&'a [u8]),
    Error(ErrorCode, &'a [u8]),
    Idle(u8, Option<LogPosition>),
    Unknown,
}

impl<'a> DatabaseLine<'a> {
    pub fn parse(line: &'a [u8]) -> DatabaseLine<'a> {
        let (word, rest) = split_word(line);
        match word {
            b"ROW" => DatabaseLine::Row(rest),
            b"COMPLETE" => DatabaseLine::Complete(rest),
            b"ERROR" => {
                let (code, text) = split_word(rest);
                DatabaseLine::Error(ErrorCode::parse(code), text)
            }
            b"IDLE" => {
                let (state, pos) = split_word(rest);
                match state {
                    [state @ (b'I' | b'T' | b'E')] => DatabaseLine::Idle(*state, LogPosition::parse(pos)),
                    _ => DatabaseLine::Unknown,
                }
            }
            _ => DatabaseLine::Unknown,
        }
    }
}

/// Status row returned by `ENQUIRY`, `SUSPEND`, `CONTINUE` and `YIELD`.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct DatabaseStatus {
    pub is_primary: bool,
    pub term: u64,
    pub received: LogPosition,
    /// Highest term for which `SUSPEND` is in effect, or 0.
    pub suspended_term: u64,
    pub lag_us: u64,
    pub busy_connections: u32,
    pub connections: u32,
}

/// Parses `role term position suspended_term lag_ms busy connections`.
pub fn parse_status(row: &[u8]) -> Option<DatabaseStatus> {
    let mut words = std::str::from_utf8(row).ok()?.split(' ');
    let role = words.next()?;
    let term = words.next()?.parse().ok()?;
    let received = LogPosition::parse(words.next()?.as_bytes()).unwrap_or_default();
    let mut number = || words.next().and_then(|word| word.parse::<f64>().ok()).unwrap_or(0.0).max(0.0) as u64;
    Some(DatabaseStatus {
        is_primary: role == "primary",
        term,
        received,
        suspended_term: number(),
        lag_us: number().saturating_mul(1000),
        busy_connections: number() as u32,
        connections: number() as u32,
    })
}
