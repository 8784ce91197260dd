/// The codes an `ERROR` line may carry.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Code {
    Congested,
    Lagging,
    ReadOnly,
    WrongNode,
    Overload,
    Failed,
    Undefined,
    Expired,
    Unauth,
    NoDb,
    Oversize,
    Malformed,
    Aborted,
    Indeterm,
}

const WORDS: [(Code, &str); 14] = [
    (Code::Congested, "CONGESTED"),
    (Code::Lagging, "LAGGING"),
    (Code::ReadOnly, "READONLY"),
    (Code::WrongNode, "WRONGNODE"),
    (Code::Overload, "OVERLOAD"),
    (Code::Failed, "FAILED"),
    (Code::Undefined, "UNDEFINED"),
    (Code::Expired, "EXPIRED"),
    (Code::Unauth, "UNAUTH"),
    (Code::NoDb, "NODB"),
    (Code::Oversize, "OVERSIZE"),
    (Code::Malformed, "MALFORMED"),
    (Code::Aborted, "ABORTED"),
    (Code::Indeterm, "INDETERM"),
];

impl Code {
    pub fn word(self) -> &'static str {
        WORDS.iter().find(|(code, _)| *code == self).map_or("FAILED", |(_, word)| word)
    }

    /// An unknown word counts as `FAILED`: run, with no promise.
    pub fn parse(word: &[u8]) -> Code {
        WORDS.iter().find(|(_, known)| known.as_bytes() == word).map_or(Code::Failed, |(code, _)| *code)
    }

    /// Whether a database that says this has not run the statement.
    pub fn is_unrun(self) -> bool {
        matches!(
            self,
            Code::Congested | Code::Lagging | Code::ReadOnly | Code::WrongNode | Code::Overload | Code::Undefined
        )
    }
}
