use crate::split_word;

/// A line received from a client.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ClientLine<'a> {
    Setup { database: &'a [u8], login: &'a [u8] },
    Query { id: &'a [u8], text: &'a [u8] },
    Release,
    Unknown,
}

impl<'a> ClientLine<'a> {
    pub fn parse(line: &'a [u8]) -> ClientLine<'a> {
        let (word, rest) = split_word(line);
        match word {
            b"SETUP" => {
                let (database, login) = split_word(rest);
                ClientLine::Setup { database, login }
            }
            b"QUERY" => match split_word(rest) {
                (b"" | b"-", _) | (_, b"") => ClientLine::Unknown,
                (id, text) => ClientLine::Query { id, text },
            },
            b"RELEASE" => ClientLine::Release,
            _ => ClientLine::Unknown,
        }
    }
}

/// Access mode of a prepared statement.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum StatementKind {
    Read,
    Write,
}

/// Statement carried by a `QUERY` line.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Statement<'a> {
    Begin { is_read_only: bool },
    Commit,
    Abort,
    Read,
    Write,
    Assign { name: &'a [u8], value: &'a [u8] },
    Define { name: &'a [u8], kind: StatementKind, body: &'a [u8] },
    Execute { name: &'a [u8], arguments: &'a [u8] },
    Undefine { name: &'a [u8] },
    Unknown,
}

impl<'a> Statement<'a> {
    pub fn parse(text: &'a [u8]) -> Statement<'a> {
        let (verb, rest) = split_word(text);
        let (first, more) = split_word(rest);
        match verb {
            b"BEGIN" if rest.is_empty() => Statement::Begin { is_read_only: false },
            b"BEGIN" if rest == b"READ" => Statement::Begin { is_read_only: true },
            b"COMMIT" if rest.is_empty() => Statement::Commit,
            b"ABORT" if rest.is_empty() => Statement::Abort,
            b"READ" if !first.is_empty() => Statement::Read,
            b"WRITE" if !first.is_empty() => Statement::Write,
            b"ASSIGN" if !first.is_empty() => Statement::Assign { name: first, value: more },
            b"DEFINE" if !first.is_empty() => match split_word(more) {
                (b"READ", body) if !body.is_empty() => {
                    Statement::Define { name: first, kind: StatementKind::Read, body }
                }
                (b"WRITE", body) if !body.is_empty() => {
                    Statement::Define { name: first, kind: StatementKind::Write, body }
                }
                _ => Statement::Unknown,
            },
            b"EXECUTE" if !first.is_empty() => Statement::Execute { name: first, arguments: more },
            b"UNDEFINE" if !first.is_empty() && more.is_empty() => Statement::Undefine { name: first },
            _ => Statement::Unknown,
        }
    }
}
