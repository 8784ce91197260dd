//! What a control node keeps on its links, peers and calls.

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
    pub ponged: u64,
    /// The set it votes in and its disk, as it last said; `since` when it was first heard of.
    pub set: u64,
    pub disk: Option<u64>,
    pub since: u64,
    pub zone: String,
}

pub(crate) enum Waiting {
    Put,
    Get,
    Sync,
    /// Reading the duty's register before it is claimed.
    Seen(String),
    Claim(String),
    Confirm(String),
    /// Reading who owns a shard before it is given to this node.
    OwnSeen(String, String),
    OwnPut(wv_inner::Owner),
}

#[derive(Default)]
pub(crate) struct Fall {
    pub falls: u32,
    pub last: u64,
    pub is_down: bool,
}

pub(crate) struct Hold {
    pub token: u64,
    pub request: u64,
    pub wanted: usize,
    pub got: usize,
    pub limit: u64,
}
