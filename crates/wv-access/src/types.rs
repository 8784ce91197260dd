use std::rc::Rc;
use wv_configuration::Route;
use wv_health::DatabaseKey;
use wv_wire_protocol::ErrorCode;

/// What the executor is told to do.
#[derive(Clone, PartialEq, Debug)]
pub enum Act {
    WriteClient(u64),
    WriteDb(u64),
    /// Closes once these last bytes went out.
    CloseClient(u64, Vec<u8>),
    CloseDb(u64),
    OpenDb {
        db: u64,
        addr: String,
    },
    /// A link to the node that owns a shard, and what goes over it.
    DialHand {
        link: u64,
        place: String,
    },
    SendHand {
        link: u64,
        msg: wv_internal_protocol::ForwardMessage,
    },
}

/// How a connection to a database came to its end.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Lost {
    Refused,
    /// Nothing came back at all: the far end or the way there is dark.
    Dark,
    Closed,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verb {
    Read,
    Write,
    Commit,
}

/// The statement that a client waits for; its buffers are kept from one to the next.
#[derive(Default)]
pub struct Request {
    pub is_open: bool,
    /// Counts the session's statements, so that old timers and returns are known as such.
    pub number: u64,
    pub id: Vec<u8>,
    /// The text as sent to databases: prepared names are already ours.
    pub text: Vec<u8>,
    pub verb: Option<Verb>,
    pub shape: Option<u32>,
    pub at: u64,
    pub limit: u64,
    /// When the client's own time is over, counted from its first try.
    pub patience: u64,
    pub tries: u32,
    pub refused: Vec<DatabaseKey>,
    /// The connection it was sent on.
    pub db: Option<u64>,
    /// In the waiting line of this pool.
    pub queued: Option<DatabaseKey>,
    pub last_code: Option<ErrorCode>,
    /// Since when it waits to be offered, or offered again.
    pub waits_since: u64,
    pub route: Option<Rc<Route>>,
    pub named: crate::slots::RequestKey,
    pub first_byte: u64,
    pub ret: Vec<u8>,
    pub is_streamed: bool,
    /// A single read inside a transaction of our own.
    pub is_wrapped: bool,
    /// The session at an owner that it was handed over on.
    pub hand: Option<u64>,
    /// Handed over once already: whatever comes, it is done here.
    pub is_direct: bool,
}

impl Request {
    pub fn verb(&self) -> Verb {
        self.verb.unwrap_or(Verb::Write)
    }

    /// Routes that read on replicas carry other work than those that do not.
    pub fn kind(&self) -> usize {
        let is_bounded =
            |route: &Rc<Route>| matches!(route.category, wv_configuration::Category::BoundedStaleness { .. });
        usize::from(self.route.as_ref().is_some_and(is_bounded))
    }
}

/// A failed transaction, and whether its client has heard so.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fail {
    Untold,
    Told,
}

/// A client's open transaction.
pub struct Txn {
    pub route: Rc<Route>,
    pub begin_id: Vec<u8>,
    pub only_reads: bool,
    /// Begun as a plain one, which only a database that leads goes on with.
    pub is_plain: bool,
    /// When its first byte came.
    pub at: u64,
    pub db: Option<u64>,
    /// The session at an owner that it runs on.
    pub hand: Option<u64>,
    /// A statement of it has succeeded: it can no longer begin elsewhere.
    pub is_begun: bool,
    /// A statement that may have written was sent.
    pub may_have_written: bool,
    /// The slot of the first thing that it named, and what it has written.
    pub slot: Option<u16>,
    pub written: Vec<(Vec<u8>, u32)>,
    /// Where it stands in the recording.
    pub recorded: Option<usize>,
    pub fail: Option<Fail>,
    pub rests_since: u64,
}

/// Whose session here this client is: the link and hand it came over, and the ask that is open or was answered last.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Guest {
    pub link: u64,
    pub hand: wv_internal_protocol::ForwardedSessionId,
    pub ask: u64,
}

pub struct Client {
    pub database: Option<String>,
    /// The word after the database's name, and the tenant that both make it one of.
    pub who: String,
    pub tenant: u16,
    /// Its session at an owner, and the link and hand that it came over itself.
    pub hand: Option<u64>,
    pub guest: Option<Guest>,
    /// The database it asked for before this node had a configuration.
    pub awaited: Option<String>,
    pub inbuf: Vec<u8>,
    pub out: Vec<u8>,
    pub session: wv_session_state::Session,
    pub request: Request,
    pub txn: Option<Txn>,
    pub is_closing: bool,
    pub first_byte: u64,
    /// Since when it tries in vain, and when it was last refused: it comes back for the same thing.
    pub tries_since: Option<(u64, u64)>,
}

/// What the next lines of a database answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum What {
    Setup,
    Sync,
    Begin {
        client: u64,
        number: u64,
    },
    Abort,
    /// Under which term the database is.
    Probe,
    Request {
        client: u64,
        number: u64,
    },
}

#[derive(Clone, Copy, Debug)]
pub struct Expect {
    pub what: What,
    pub sent: u64,
    /// Runs inside a plain transaction, so that only a database that leads can have run it.
    pub is_fenced: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Opening,
    Idle,
    Busy,
}

/// A connection to a database.
pub struct Db {
    pub spot: DatabaseKey,
    pub id: String,
    pub phase: Phase,
    pub inbuf: Vec<u8>,
    pub out: Vec<u8>,
    pub tie: wv_session_state::ConnectionState,
    pub expects: std::collections::VecDeque<Expect>,
    /// The error of what is being read, if one came, and whether its stamp did.
    pub code: Option<ErrorCode>,
    pub is_stamped: bool,
    /// Bytes stand behind the line that is being read.
    pub has_more: bool,
    /// Own statements did not go as they must, or nobody waits any more: close, never use again.
    pub is_doubtful: bool,
    /// The client whose transaction holds it.
    pub holder: Option<u64>,
    /// The term that the database said when the connection was set up, 0 where it was not asked.
    pub term: u64,
    /// Whose share its present use counts against.
    pub charge: Option<crate::tenant_shares::Charge>,
    pub since: u64,
    pub opened: u64,
}
