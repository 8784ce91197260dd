//! What access nodes say to each other: work handed over to the owner of its shard.
use nanoserde::{DeBin, SerBin};

/// A hand is one client's session at the owner; its numbers are those of the node that opened it.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug)]
pub enum Hand {
    Open {
        hand: u64,
        host: String,
        who: String,
    },
    /// Lines as the client would say them there: its values and shapes first, then what it asks.
    Request {
        hand: u64,
        lines: Vec<u8>,
    },
    /// What a client there would have heard.
    Return {
        hand: u64,
        bytes: Vec<u8>,
    },
    /// Not this node's shard any more, or no new work is taken; nothing of the last ask has run.
    Refused {
        hand: u64,
    },
    End {
        hand: u64,
    },
}
