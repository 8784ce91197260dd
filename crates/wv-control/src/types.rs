//! Effects that the core requests, and its state of links, peers and operations.
use wv_internal_protocol::Message;

/// A side effect for the executor to perform.
#[derive(Clone, PartialEq, Debug)]
pub enum Effect {
    Send {
        link: u64,
        message: Message,
    },
    Close {
        link: u64,
    },
    Dial {
        link: u64,
        addr: String,
    },
    Respond {
        token: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// Send one control statement to a database of `service`; its row is passed back under `request`.
    QueryDatabase {
        request: u64,
        service: String,
        id: String,
        addr: String,
        statement: String,
    },
    /// Run statements in order on a dedicated connection, stopping at the first that fails.
    RunStatements {
        request: u64,
        service: String,
        id: String,
        addr: String,
        statements: Vec<Vec<u8>>,
    },
    /// Call `wake` after this many microseconds.
    Wake {
        delay_us: u64,
    },
    /// Send `POST /promotion` under the fence once; its status is passed back under `request`.
    PromoteDatabase {
        request: u64,
        service: String,
        id: String,
        fence: u64,
        /// The call must not be sent after this.
        deadline_us: u64,
    },
}

/// Start parameters of a control node.
pub struct Start {
    pub address: String,
    pub node: String,
    pub zone: String,
    pub incarnation: u64,
    pub seeds: Vec<String>,
    pub is_initial_start: bool,
    /// Whether this node has durable storage, so that it may vote.
    pub has_disk: bool,
    /// How many simultaneous machine failures have to be tolerated.
    pub tolerated_machines: usize,
    /// Random id for a disk that is written for the first time.
    pub disk_id: u64,
    /// Random id of this process, so that replies to an earlier process at this address are ignored.
    pub requester_id: u64,
}

pub(crate) struct Link {
    /// The address of a control node, once its `Hello` has been received.
    pub peer: Option<String>,
    /// The name of an access node, once its `Hello` has been received.
    pub node: Option<String>,
    pub is_subscriber: bool,
    /// Incarnation and position of a subscription that this node cannot serve yet.
    pub resume_from: Option<(u64, u64)>,
}

#[derive(Default)]
pub(crate) struct Peer {
    /// The outgoing link.
    pub link: Option<u64>,
    pub is_up: bool,
    pub last_dial: u64,
    /// When the latest ping that it answered was sent, 0 for none.
    pub last_contact: u64,
    /// The voter set in which it votes and its disk, as last reported.
    pub voter_set: u64,
    pub disk_id: Option<u64>,
    /// The voter set in which it is sealed for a successor that is not decided yet, 0 for none.
    pub sealed_set: u64,
    /// Whether that disk, not a member yet, has caught up with the voters.
    pub is_ready: bool,
    /// It has announced its shutdown.
    pub is_leaving: bool,
    pub known_since: u64,
    pub zone: String,
    /// The configuration version that it last reported.
    pub configuration_version: u64,
}

/// A request of a duty to a database or the platform, and the duty's step that waits for it (0 for none).
pub(crate) struct PendingRequest {
    pub service: String,
    pub id: String,
    pub step: u64,
    pub purpose: RequestPurpose,
}

impl PendingRequest {
    /// The fence of a call to the platform.
    pub fn fence(&self) -> u64 {
        match self.purpose {
            RequestPurpose::Promotion { fence } => fence,
            RequestPurpose::Status | RequestPurpose::Resume => 0,
        }
    }
}

/// What a request of a duty is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum RequestPurpose {
    /// A status row, whatever the statement does besides.
    Status,
    /// `CONTINUE`.
    Resume,
    /// A call to the platform under this fence.
    Promotion { fence: u64 },
}

/// A register operation in progress.
pub(crate) enum Operation {
    /// Writes a proposed configuration.
    Propose(crate::proposal::Proposal),
    ReadConfiguration,
    /// Reads the configuration after contact was regained; carries the number of the contact period.
    SyncConfiguration(u64),
    /// Resets the slot map of a shard whose plan a proposal makes or removes.
    ResetShardMap(u64, String),
    /// Reads the slot map of a planned shard before a configuration with its plan is acknowledged.
    ConfirmPlan(u64, String),
    /// Writes or reads a duty's register for the given step of the duty.
    ClaimDuty(String, u64),
    ReadDuty(String, u64),
    ConfirmDuty(String, u64),
    /// Confirms the fence of a platform call that is due.
    ConfirmPlatformCall(Box<crate::platform_calls::PlatformCall>),
    WriteOwner(String),
    /// Empties an orphaned register.
    SweepRegister,
    /// An operation on the registers of a planned shard.
    ShardRegister(String, crate::shard_registers::ShardRegisterOp),
}

/// Recent outages of one database.
#[derive(Default)]
pub(crate) struct Outages {
    pub count: u32,
    pub last_at: u64,
    pub is_down: bool,
}
