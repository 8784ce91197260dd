use std::rc::Rc;
use wv_configuration::Route;
use wv_health::DatabaseKey;
use wv_wire_protocol::ErrorCode;

/// A side effect for the executor to perform.
#[derive(Clone, PartialEq, Debug)]
pub enum Effect {
    WriteClient(u64),
    WriteDb(u64),
    /// Closes the connection after writing these last bytes.
    CloseClient(u64, Vec<u8>),
    CloseDb(u64),
    OpenDb {
        db: u64,
        addr: String,
    },
    /// Connects to the access node that owns a shard.
    DialPeer {
        link: u64,
        address: String,
    },
    SendToPeer {
        link: u64,
        message: wv_internal_protocol::ForwardMessage,
    },
}

/// Why a connection to a database was lost.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ConnectionLoss {
    Refused,
    /// No response: the host or the network path is down.
    Unreachable,
    Closed,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verb {
    Read,
    Write,
    Commit,
}

/// The statement that a client waits for. Buffers are reused for later statements.
#[derive(Default)]
pub struct Request {
    pub is_open: bool,
    /// Number of the statement within the session; identifies outdated timers and responses.
    pub sequence: u64,
    pub query_id: Vec<u8>,
    /// The text as sent to databases, with internal names for prepared statements.
    pub text: Vec<u8>,
    pub verb: Option<Verb>,
    pub statement_id: Option<u32>,
    pub opened_at: u64,
    pub deadline: u64,
    /// Deadline of the client, counted from its first attempt.
    pub client_deadline: u64,
    pub attempts: u32,
    pub refused_by: Vec<DatabaseKey>,
    /// The connection that it was sent on.
    pub db: Option<u64>,
    /// The pool whose queue holds the request.
    pub queue: Option<DatabaseKey>,
    pub last_code: Option<ErrorCode>,
    /// Since when it waits to be dispatched.
    pub waiting_since: u64,
    /// The route, and the configuration version that it was taken from.
    pub route: Option<Rc<Route>>,
    pub configuration_version: u64,
    pub target_key: crate::slots::RequestKey,
    pub first_byte_at: u64,
    pub response: Vec<u8>,
    pub is_streamed: bool,
    /// A single read that the node wraps in its own transaction.
    pub is_wrapped_in_txn: bool,
    /// The session on the owner node that the request was forwarded on.
    pub forwarded_session: Option<u64>,
    /// Was forwarded before and must now be executed by this node.
    pub is_local_only: bool,
}

impl Request {
    pub fn verb(&self) -> Verb {
        self.verb.unwrap_or(Verb::Write)
    }

    /// Separates routes that read on replicas from others, as their latencies differ.
    pub fn route_class(&self) -> usize {
        let is_bounded =
            |route: &Rc<Route>| matches!(route.category, wv_configuration::Category::BoundedStaleness { .. });
        usize::from(self.route.as_ref().is_some_and(is_bounded))
    }
}

/// A failed transaction, and whether the failure was reported to the client.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TxnFailure {
    Unreported,
    Reported,
}

/// A client's open transaction.
pub struct Txn {
    /// The route of its `BEGIN`, and the configuration version that it was taken from.
    pub route: Rc<Route>,
    pub configuration_version: u64,
    pub begin_id: Vec<u8>,
    pub is_read_only: bool,
    /// Begun with a plain `BEGIN`, which only a primary accepts.
    pub is_primary_only: bool,
    /// When the first byte of its `BEGIN` was received.
    pub first_byte_at: u64,
    pub db: Option<u64>,
    /// The session on the owner node that it runs on.
    pub forwarded_session: Option<u64>,
    /// A statement has succeeded, so the transaction cannot be restarted on another connection.
    pub has_completed_statement: bool,
    /// A statement that may have written was sent.
    pub may_have_written: bool,
    /// The slot of the first key, and the keys and sizes written.
    pub slot: Option<u16>,
    pub writes: Vec<(Vec<u8>, u32)>,
    /// Index of the transaction in the recording.
    pub recording_index: Option<usize>,
    pub failure: Option<TxnFailure>,
    pub idle_since: u64,
}

/// Origin of a forwarded client: the peer link, the session, and the open or last answered request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ForwardOrigin {
    pub link: u64,
    pub session: wv_internal_protocol::ForwardedSessionId,
    pub request: u64,
}

pub struct Client {
    pub database: Option<String>,
    /// The login of `SETUP`, and the tenant that it belongs to.
    pub login: String,
    pub tenant: u16,
    /// Its session on an owner node, and its origin if another node forwarded it to this one.
    pub forwarded_session: Option<u64>,
    pub forward_origin: Option<ForwardOrigin>,
    /// The database requested before this node had a configuration.
    pub pending_database: Option<String>,
    pub inbuf: Vec<u8>,
    pub out: Vec<u8>,
    pub session: wv_session_state::Session,
    pub request: Request,
    pub txn: Option<Txn>,
    pub is_closing: bool,
    pub first_byte_at: u64,
    /// Time of the first failed attempt and of the latest refusal, while the client retries.
    pub retry_window: Option<(u64, u64)>,
}

/// What a pending reply of a database belongs to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Reply {
    Setup,
    Sync,
    Begin {
        client: u64,
        sequence: u64,
    },
    Abort,
    /// Reads the term that the database is in.
    Probe,
    Request {
        client: u64,
        sequence: u64,
    },
}

#[derive(Clone, Copy, Debug)]
pub struct Pending {
    pub kind: Reply,
    pub sent_at: u64,
    /// Runs in a plain transaction or write, so that only the current primary can have executed it.
    pub is_fenced: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Opening,
    Idle,
    Busy,
}

/// A connection to a database.
pub struct DbConnection {
    pub key: DatabaseKey,
    pub id: String,
    pub phase: Phase,
    pub inbuf: Vec<u8>,
    pub out: Vec<u8>,
    pub session_state: wv_session_state::ConnectionState,
    pub pending: std::collections::VecDeque<Pending>,
    /// The error of the reply being read, and whether its stamp was received.
    pub error: Option<ErrorCode>,
    pub has_stamp: bool,
    /// More bytes follow the line that is being parsed.
    pub has_trailing_bytes: bool,
    /// The connection state is unknown: it is closed instead of being reused.
    pub is_tainted: bool,
    /// The client whose transaction uses the connection.
    pub txn_client: Option<u64>,
    /// The term reported by the database at setup, 0 if it was not queried.
    pub term: u64,
    /// The tenant that the current use is charged to.
    pub charge: Option<crate::tenant_shares::Charge>,
    pub phase_since: u64,
    pub opened_at: u64,
}
