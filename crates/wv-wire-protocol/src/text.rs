use crate::cut_word;

/// What a client sends, a line at a time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ClientLine<'a> {
    Setup { database: &'a [u8], who: &'a [u8] },
    Query { id: &'a [u8], text: &'a [u8] },
    Release,
    Unknown,
}

impl<'a> ClientLine<'a> {
    pub fn parse(line: &'a [u8]) -> ClientLine<'a> {
        let (word, rest) = cut_word(line);
        match word {
            b"SETUP" => {
                let (database, who) = cut_word(rest);
                ClientLine::Setup { database, who }
            }
            b"QUERY" => match cut_word(rest) {
                (b"" | b"-", _) | (_, b"") => ClientLine::Unknown,
                (id, text) => ClientLine::Query { id, text },
            },
            b"RELEASE" => ClientLine::Release,
            _ => ClientLine::Unknown,
        }
    }
}

/// Whether a prepared shape reads or writes.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum Kind {
    Read,
    Write,
}

/// The texts of a `QUERY`.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Text<'a> {
    Begin { only_reads: bool },
    Commit,
    Abort,
    Read,
    Write,
    Assign { name: &'a [u8], value: &'a [u8] },
    Define { name: &'a [u8], kind: Kind, shape: &'a [u8] },
    Execute { name: &'a [u8], rest: &'a [u8] },
    Undefine { name: &'a [u8] },
    Unknown,
}

impl<'a> Text<'a> {
    pub fn parse(text: &'a [u8]) -> Text<'a> {
        let (verb, rest) = cut_word(text);
        let (first, more) = cut_word(rest);
        match verb {
            b"BEGIN" if rest.is_empty() => Text::Begin { only_reads: false },
            b"BEGIN" if rest == b"READ" => Text::Begin { only_reads: true },
            b"COMMIT" if rest.is_empty() => Text::Commit,
            b"ABORT" if rest.is_empty() => Text::Abort,
            b"READ" if !first.is_empty() => Text::Read,
            b"WRITE" if !first.is_empty() => Text::Write,
            b"ASSIGN" if !first.is_empty() => Text::Assign { name: first, value: more },
            b"DEFINE" if !first.is_empty() => match cut_word(more) {
                (b"READ", shape) if !shape.is_empty() => Text::Define { name: first, kind: Kind::Read, shape },
                (b"WRITE", shape) if !shape.is_empty() => Text::Define { name: first, kind: Kind::Write, shape },
                _ => Text::Unknown,
            },
            b"EXECUTE" if !first.is_empty() => Text::Execute { name: first, rest: more },
            b"UNDEFINE" if !first.is_empty() && more.is_empty() => Text::Undefine { name: first },
            _ => Text::Unknown,
        }
    }
}
