//! Messages between the nodes of a deployment: nanoserde binary encoding in length-prefixed frames.
//!
//! A reply is matched to its request by its content, not by its connection: the incarnation of the requester (a random
//! number drawn at process start), the request number within it, and the subject (register, voter set, database, shard
//! and attempt, or session and request). The requester ignores replies that differ in any of these and counts each
//! sender once, so late, repeated and misdirected replies have no effect. Requests received over a connection are not
//! answered after it has closed.
mod access_nodes;
mod catch_up;
mod drain;
mod feed;
mod forwarding;
mod frame;
mod handover;
mod health;
mod instance;
mod register;
mod slots;
mod voters;

pub use access_nodes::{Owner, Session};
pub use catch_up::{CatchUp, RegisterSummary};
pub use drain::{new_work_window_us, LeaveTime, StallDetector, DEFAULT_CONTACT_US, DEFAULT_DRAIN_US, UNKNOWN_AGE_US};
pub use feed::FeedUpdate;
pub use forwarding::{ForwardMessage, ForwardedSessionId};
pub use frame::{decode_frame, encode_frame, FrameError, MAX_FRAME_BYTES};
pub use handover::Handover;
pub use health::{Health, HealthReport, Leader};
pub use instance::Instance;
use nanoserde::{DeBin, SerBin};
pub use register::{AcceptorState, Ballot, RegisterReply, RegisterRequest, RegisterValue};
pub use slots::{slot_for_key, DirtyKeys, KeySample, ShardReport, SlotMap, SlotRange, SplitPhase, SLOT_COUNT};
pub use voters::{Member, VoterSet};

#[derive(SerBin, DeBin, Clone, PartialEq, Debug)]
pub enum Message {
    /// First message on each connection. `control_address` is empty for access nodes.
    Hello {
        node: String,
        control_address: String,
        zone: String,
        /// Address at which an access node accepts sessions forwarded by other access nodes.
        forwarding_address: String,
        incarnation: u64,
    },
    /// An access node subscribes to the feed of `incarnation` from `position` on.
    Subscribe {
        incarnation: u64,
        position: u64,
    },
    Snapshot {
        incarnation: u64,
        position: u64,
        updates: Vec<FeedUpdate>,
    },
    Update {
        position: u64,
        update: FeedUpdate,
    },
    /// Session heartbeat of a control node: whether it was in recent contact with a majority of voters.
    ControlHeartbeat {
        has_majority: bool,
    },
    /// Session heartbeat of an access node.
    AccessHeartbeat {
        leaving: bool,
    },
    HealthReports(Vec<HealthReport>),
    /// Between control nodes: known control addresses, the latest settled voter set and its predecessor.
    Peers {
        addresses: Vec<String>,
        /// The zone of each of `addresses`, empty if unknown.
        zones: Vec<String>,
        voters: VoterSet,
        previous_voters: VoterSet,
    },
    Sessions {
        sessions: Vec<Session>,
    },
    PeerHealthReports {
        node: String,
        reports: Vec<HealthReport>,
    },
    /// The reply is valid only in the requesting incarnation and is dated by the time at which this was sent.
    Ping {
        requester: u64,
        request: u64,
    },
    /// State of the sender's disk.
    Pong {
        requester: u64,
        request: u64,
        /// Version of the configuration that the sender holds.
        version: u64,
        /// Identifier of the sender's disk, `None` if it stores nothing.
        disk: Option<u64>,
        /// The voter set in which the sender votes, 0 for none.
        voter_set: u64,
        /// The voter set in which the sender is sealed, 0 for none.
        sealed_set: u64,
        /// The disk is not a member of the latest voter set and holds a voter's data except for the most recent writes.
        ready: bool,
    },
    /// A step on a register. Voters of a set other than `voter_set` do not reply.
    RegisterRequest {
        requester: u64,
        request: u64,
        voter_set: u64,
        key: String,
        step: RegisterRequest,
    },
    /// Valid only for the requester, request and register that it names.
    RegisterReply {
        requester: u64,
        request: u64,
        key: String,
        vote: RegisterReply,
    },
    /// Requests the right to propose the successor of `voter_set` under a fence.
    PrepareSuccessor {
        request: u64,
        voter_set: u64,
        fence: u64,
    },
    /// The successor this voter last accepted; `ok` is false if it has seen a higher fence.
    SuccessorVote {
        request: u64,
        ok: bool,
        fence: u64,
        successor: Option<(u64, VoterSet)>,
    },
    AcceptSuccessor {
        request: u64,
        voter_set: u64,
        fence: u64,
        successor: VoterSet,
    },
    SuccessorAccepted {
        request: u64,
        ok: bool,
    },
    CatchUp(CatchUp),
    Handover(Handover),
    /// The sender is about to shut down; other nodes take over its duties.
    Leaving,
    /// The value accepted under this ballot is committed. Sent to voters, which already hold it.
    Committed {
        key: String,
        accepted: Ballot,
    },
    /// `request` 0 asks for no acknowledgement.
    Instance {
        requester: u64,
        request: u64,
        instance: Instance,
    },
    InstanceAck {
        requester: u64,
        request: u64,
        id: String,
    },
    /// Requests state that is not kept in registers, after a loss of contact: instances in ranges whose digests differ,
    /// leaders and owners.
    Resync {
        requester: u64,
        request: u64,
        digests: Vec<u64>,
    },
    ResyncDone {
        requester: u64,
        request: u64,
    },
    /// Anti-entropy repair: digests of the instance table by key range.
    InstanceDigests {
        digests: Vec<u64>,
    },
    InstanceRange {
        range: u32,
        instances: Vec<Instance>,
    },
    Leader(Leader),
    Owner(Owner),
    Promoting {
        service: String,
        id: String,
        max_wait_us: u64,
    },
    /// A control node observed that a database recovered from an outage.
    Recovered {
        id: String,
        outages: u32,
    },
    Slots(SlotMap),
    /// Keys written while they are being copied, sent to the holder of the shard's split.
    DirtyKeys(DirtyKeys),
    PeerDirtyKeys {
        node: String,
        dirty_keys: DirtyKeys,
    },
    DirtyKeysAck {
        node: String,
        shard: String,
        attempt: u64,
        incarnation: u64,
        serial: u64,
    },
    /// Sampled keys and new key names of a planned shard, sent to the holder of its split.
    ShardReport(ShardReport),
    PeerShardReport {
        node: String,
        report: ShardReport,
    },
    ShardReportAck {
        node: String,
        shard: String,
        incarnation: u64,
        serial: u64,
    },
    /// Status of a planned shard as its holder shows it to operators.
    ShardStatus {
        shard: String,
        text: String,
    },
    /// Requests committed configurations newer than `version`, 0 for none.
    ConfigurationRequest {
        version: u64,
    },
    /// Configurations committed by a majority, the latest last: complete, or as a delta to the one before.
    CommittedConfigurations(Vec<FeedUpdate>),
}
