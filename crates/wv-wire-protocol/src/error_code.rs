/// Error codes of the `ERROR` line.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ErrorCode {
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

const CODES: [(ErrorCode, &str); 14] = [
    (ErrorCode::Congested, "CONGESTED"),
    (ErrorCode::Lagging, "LAGGING"),
    (ErrorCode::ReadOnly, "READONLY"),
    (ErrorCode::WrongNode, "WRONGNODE"),
    (ErrorCode::Overload, "OVERLOAD"),
    (ErrorCode::Failed, "FAILED"),
    (ErrorCode::Undefined, "UNDEFINED"),
    (ErrorCode::Expired, "EXPIRED"),
    (ErrorCode::Unauth, "UNAUTH"),
    (ErrorCode::NoDb, "NODB"),
    (ErrorCode::Oversize, "OVERSIZE"),
    (ErrorCode::Malformed, "MALFORMED"),
    (ErrorCode::Aborted, "ABORTED"),
    (ErrorCode::Indeterm, "INDETERM"),
];

impl ErrorCode {
    pub fn as_str(self) -> &'static str {
        CODES.iter().find(|(code, _)| *code == self).map_or("FAILED", |(_, text)| text)
    }

    /// Treats an unknown code as `Failed`: the statement may have been executed.
    pub fn parse(text: &[u8]) -> ErrorCode {
        CODES.iter().find(|(_, known)| known.as_bytes() == text).map_or(ErrorCode::Failed, |(code, _)| *code)
    }

    /// Whether the code guarantees that the database did not execute the statement.
    pub fn is_not_executed(self) -> bool {
        matches!(
            self,
            ErrorCode::Congested
                | ErrorCode::Lagging
                | ErrorCode::ReadOnly
                | ErrorCode::WrongNode
                | ErrorCode::Overload
                | ErrorCode::Undefined
        )
    }
}
