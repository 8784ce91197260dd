//! What access nodes say to each other: work handed over to the owner of its shard.
use nanoserde::{DeBin, SerBin};

/// One client's session at an owner, named by who opened it: its life, drawn at random, and a number given once in it.
#[derive(SerBin, DeBin, Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct HandId {
    pub life: u64,
    pub number: u64,
}

/// Asks of one hand are counted from 1; an answer names the one that it belongs to.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug)]
pub enum Hand {
    Open {
        hand: HandId,
        host: String,
        who: String,
    },
    /// Lines as the client would say them there: its values and shapes first, then what it asks.
    Request {
        hand: HandId,
        ask: u64,
        lines: Vec<u8>,
    },
    /// What a client there would have heard, of this ask alone.
    Return {
        hand: HandId,
        ask: u64,
        bytes: Vec<u8>,
    },
    /// Not this node's shard any more, or no new work is taken; nothing of this ask has run or will, 0 for any.
    Refused {
        hand: HandId,
        ask: u64,
    },
    End {
        hand: HandId,
    },
}
