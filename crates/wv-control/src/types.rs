//! What a control node keeps on its links, peers and calls.
use wv_internal_protocol::Message;

/// What the executor is told to do.
#[derive(Clone, PartialEq, Debug)]
pub enum Act {
    Send {
        link: u64,
        msg: Message,
    },
    Close {
        link: u64,
    },
    Dial {
        link: u64,
        addr: String,
    },
    Return {
        token: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// Ask a database of `service` something of the control side; the row comes back as an event, with this number.
    Request {
        ask: u64,
        service: String,
        id: String,
        addr: String,
        text: String,
    },
    /// Texts for a database, one after the other on a connection of their own, up to the first that fails.
    Run {
        run: u64,
        service: String,
        id: String,
        addr: String,
        texts: Vec<String>,
    },
    /// Call `wake` after this many microseconds.
    Wake {
        us: u64,
    },
    /// `POST /promotion` under the fence, once; its return comes back as an event, with this number.
    Post {
        ask: u64,
        service: String,
        id: String,
        fence: u64,
        /// It is not to leave after this.
        until: u64,
    },
}

/// What a control node is started with.
pub struct Start {
    pub me: String,
    pub node: String,
    pub zone: String,
    pub life: u64,
    pub seeds: Vec<String>,
    pub is_first: bool,
    /// Whether what this node keeps outlives its process, so that it may vote.
    pub is_core: bool,
    /// How many machines may be lost at once with all rules kept.
    pub tolerate: usize,
    /// A number drawn at random for a disk that is written for the first time.
    pub disk: u64,
    /// Drawn at random for this life: proposals and answers of another one never pass for those of this one.
    pub who: u64,
}

pub(crate) struct Link {
    /// The control address of a control node, once it said hello.
    pub peer: Option<String>,
    /// The name of an access node, once it follows.
    pub node: Option<String>,
    pub is_follower: bool,
    /// Where it wants to follow from, while this node is too young to say.
    pub awaited: Option<(u64, u64)>,
}

#[derive(Default)]
pub(crate) struct Peer {
    /// The link this side dialled.
    pub link: Option<u64>,
    pub is_up: bool,
    pub dialed: u64,
    /// When the ping was sent that it answered last, 0 for none.
    pub contact: u64,
    /// The set it votes in and its disk, as it last said; `since` when it was first heard of.
    pub set: u64,
    pub disk: Option<u64>,
    /// The set in which it is sealed for a successor that is not settled yet, 0 for none.
    pub sealed: u64,
    /// Whether that disk, no member yet, lacked nothing but the last moments.
    pub is_ready: bool,
    /// It has said that it is about to end.
    pub is_leaving: bool,
    pub since: u64,
    pub zone: String,
    /// The version of the configuration that it last said to hold.
    pub conf: u64,
}

/// What a duty asked of a database or of the platform, and in which of its steps; 0 where no step waits for it.
pub(crate) struct Asked {
    pub service: String,
    pub id: String,
    pub turn: u64,
}

pub(crate) enum Waiting {
    /// An order to take a configuration.
    Put(crate::order::Order),
    Get,
    /// Begun in this spell of contact.
    Sync(u64),
    /// The map of a shard whose plan an order drops.
    Judge(u64, String),
    /// A duty's register, and the duty's step that waits for it.
    Claim(String, u64),
    Confirm(String, u64),
    /// A call to the platform whose turn has come.
    Call(Box<crate::post::Call>),
    Own(String),
    /// A register of what is gone was emptied.
    Swept,
    /// A step of what a planned shard's holder keeps.
    Keep(String, crate::keep::Keep),
}

#[derive(Default)]
pub(crate) struct Fall {
    pub falls: u32,
    pub last: u64,
    pub is_down: bool,
}
