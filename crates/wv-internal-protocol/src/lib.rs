//! What windvalve's own processes say to each other: nanoserde binary in length-prefixed frames.
//!
//! An answer belongs to its question by what it carries, not by the link that it comes over: the life that asked (a
//! number drawn at random for each life of a process), the question's number in that life, and what it was about (the
//! register, the set of voters, the database, the shard and its try, the hand and its ask). Whoever asked passes over
//! all that does not match in each of these, and counts each speaker once. So an answer to an earlier question, to an
//! earlier life or to somebody else means nothing, however late, however often and wherever it comes. A link adds one
//! thing: what was asked over it is not answered any more once it has ended.
mod catch_up;
mod forwarding;
mod frame;
mod handover;
mod inst;
mod leaving;
mod news;
mod nodes;
mod register;
mod sight;
mod slots;
mod voters;

pub use catch_up::{CatchUp, RegisterSummary};
pub use forwarding::{ForwardMessage, ForwardedSessionId};
pub use frame::{decode_frame, encode_frame, FrameError, MAX_FRAME_BYTES};
pub use handover::Handover;
pub use inst::Inst;
pub use leaving::{new_work_us, LeavingSince, StallWatch, CONTACT_US, DRAIN_US, LONG_AGO_US};
use nanoserde::{DeBin, SerBin};
pub use news::News;
pub use nodes::{Owner, Session};
pub use register::{AcceptorState, Ballot, RegisterReply, RegisterRequest, RegisterValue};
pub use sight::{Lead, Sight, Sighting};
pub use slots::{slot_for_key, KeySample, ShardReport, SlotMap, SlotRange, SplitPhase, WriteMarks, SLOT_COUNT};
pub use voters::{Member, VoterSet};

#[derive(SerBin, DeBin, Clone, PartialEq, Debug)]
pub enum Msg {
    /// First on each link: who speaks. `control` is its control address, empty for access nodes.
    Hello {
        node: String,
        control: String,
        zone: String,
        /// Where an access node takes work handed over.
        place: String,
        life: u64,
    },
    /// An access node follows the feed of `life` from `place` on.
    Follow {
        life: u64,
        place: u64,
    },
    Snapshot {
        life: u64,
        place: u64,
        news: Vec<News>,
    },
    Change {
        place: u64,
        news: News,
    },
    /// Session beat of a control node: whether a majority of voters is in fresh contact.
    Beat {
        fresh: bool,
    },
    /// Session beat of an access node.
    Here {
        leaving: bool,
    },
    Sights(Vec<Sighting>),
    /// Control nodes tell each other: known control addresses, the newest settled voters and those before them.
    Peers {
        addrs: Vec<String>,
        /// The zone of each of `addrs`, empty where it is not known.
        zones: Vec<String>,
        voters: VoterSet,
        before: VoterSet,
    },
    Sessions {
        nodes: Vec<Session>,
    },
    PeerSights {
        node: String,
        sights: Vec<Sighting>,
    },
    /// The answer counts in the life that asks alone, and is dated by when this was sent.
    Ping {
        asker: u64,
        request: u64,
    },
    /// `disk` is the speaker's own, none where it keeps nothing; `set` the one it votes in, `sealed` that in which it is sealed,
    /// 0 for none. `ready`: that disk is no member of the newest set, and holds what a voter held but for the last moments.
    Pong {
        asker: u64,
        request: u64,
        conf: u64,
        disk: Option<u64>,
        set: u64,
        sealed: u64,
        ready: bool,
    },
    /// Calls on registers name the life that asks and the set they are counted in; voters of another one do not answer.
    Call {
        asker: u64,
        request: u64,
        set: u64,
        key: String,
        step: RegisterRequest,
    },
    /// The answer counts only in the life that asked, for that request and that register.
    Voted {
        asker: u64,
        request: u64,
        key: String,
        vote: RegisterReply,
    },
    /// The right to name the successor of `set`, under a fence.
    Claim {
        request: u64,
        set: u64,
        fence: u64,
    },
    /// What this voter last accepted as the successor; `ok` false where it has seen a higher fence.
    Claimed {
        request: u64,
        ok: bool,
        fence: u64,
        next: Option<(u64, VoterSet)>,
    },
    Settle {
        request: u64,
        set: u64,
        fence: u64,
        next: VoterSet,
    },
    Settled {
        request: u64,
        ok: bool,
    },
    Takeover(CatchUp),
    Handover(Handover),
    /// The speaker is about to end: what it holds others take up now.
    Leaving,
    /// What was accepted under this ballot stands in a register by agreement, for voters, which have it.
    Committed {
        key: String,
        accepted: Ballot,
    },
    /// `request` 0 wants no answer.
    Inst {
        asker: u64,
        request: u64,
        inst: Inst,
    },
    InstHeld {
        asker: u64,
        request: u64,
        id: String,
    },
    /// Tell what stands in no register, to one that was out of contact: databases in ranges that differ, leads, owners.
    Recap {
        asker: u64,
        request: u64,
        ranges: Vec<u64>,
    },
    Recapped {
        asker: u64,
        request: u64,
    },
    /// Repair: digests of the instance table over ranges of keys.
    Digests {
        ranges: Vec<u64>,
    },
    Range {
        range: u32,
        insts: Vec<Inst>,
    },
    Lead(Lead),
    Owner(Owner),
    Promoting {
        service: String,
        id: String,
        us: u64,
    },
    /// A control node saw a database come back from a fall.
    Eased {
        id: String,
        falls: u32,
    },
    Slots(SlotMap),
    /// A node's marks and reports, to the holder of the shard's split, and what was taken.
    Marks(WriteMarks),
    PeerMarks {
        node: String,
        marks: WriteMarks,
    },
    Marked {
        node: String,
        shard: String,
        attempt: u64,
        life: u64,
        serial: u64,
    },
    Fill(ShardReport),
    PeerFill {
        node: String,
        fill: ShardReport,
    },
    Filled {
        node: String,
        shard: String,
        life: u64,
        serial: u64,
    },
    /// What the holder of a planned shard shows of it to operators.
    Outlook {
        shard: String,
        text: String,
    },
    /// The speaker holds no newer configuration in force than this version: 0 for none.
    Lack {
        version: u64,
    },
    /// Configurations that stand on a majority, the newest last: whole, or as what differs from the one before.
    InForce(Vec<News>),
}
