//! A model of voter set changes with the real voter states, stores, plans and changes. Messages may be delivered at any
//! time, repeatedly, or never. Coordination, handover and catch-up stand in for `voter_set.rs`,
//! `voter_handover.rs` and `voter_catch_up.rs` of wv-control.
mod effects;
mod invariants;
mod steps;

use std::collections::BTreeSet;
use std::rc::Rc;
use wv_consensus::{MemoryFiles, Store, StoreState, VoterSetChange, VoterState};
use wv_internal_protocol::{AcceptorState, Ballot, Member, Message, VoterSet};

pub const KEY: &str = "k";
pub const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// The guard to remove, to check that the model finds the fault it prevents.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Without {
    Nothing,
    /// A successor is accepted right after preparation, without sealing and handover.
    Handover,
    /// Voters keep voting in a sealed set.
    Seal,
    /// A coordinator ignores successors accepted before.
    AcceptedSuccessor,
    /// A voter accepts under a fence lower than one it has seen.
    Fence,
    /// A lost disk comes back under the same ID.
    NewDiskId,
    /// Candidates join without having caught up.
    CaughtUp,
}

/// The faults to inject and their numbers.
#[derive(Clone, Copy)]
pub struct Setup {
    pub without: Without,
    /// Number of nodes; the first three form the first set.
    pub nodes: usize,
    pub writes: u64,
    pub plans: u8,
    pub failures: u8,
    pub restarts: u8,
    pub disk_losses: u8,
    /// Live members that a coordinator considers lost or leaving.
    pub false_suspicions: u8,
    /// Replies can be lost as well as requests.
    pub loses_replies: bool,
    /// A set counts once it is accepted, even if no node that knows of it is left.
    pub is_strict: bool,
}

#[derive(Clone, Debug)]
pub struct Delivery {
    from: usize,
    to: usize,
    msg: Message,
}

#[derive(Clone)]
pub enum Step {
    /// The proposal is delivered and accepted, and the writer receives the reply.
    Write(usize),
    /// The writer learns of a newer set.
    Switch(u64),
    /// A node plans a change; it may consider a live member lost or leaving.
    Plan(usize, Option<usize>),
    /// A message is delivered with its reply, or the reply is lost.
    Deliver(Rc<(Delivery, u64)>),
    LoseReply(Rc<(Delivery, u64)>),
    Abort(usize),
    /// The first node sends its newest set to the second.
    Inform(usize, usize),
    /// The first node catches up from the second.
    CatchUp(usize, usize),
    Fail(usize),
    Restart(usize),
    LoseDisk(usize),
}

impl std::fmt::Debug for Step {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = |at: &usize| NAMES[*at];
        let describe = |delivery: &Delivery| {
            let what = match &delivery.msg {
                Message::PrepareSuccessor { .. } => "prepares",
                Message::AcceptSuccessor { .. } => "proposes to",
                Message::Handover(wv_internal_protocol::Handover::Seal { .. }) => "seals",
                _ => "hands over to",
            };
            format!("{} {what} {}", name(&delivery.from), name(&delivery.to))
        };
        match self {
            Step::Write(at) => write!(to, "{} accepts a write", name(at)),
            Step::Switch(set) => write!(to, "the writer switches to set {set}"),
            Step::Plan(at, None) => write!(to, "{} plans", name(at)),
            Step::Plan(at, Some(lost)) => write!(to, "{} plans without {}", name(at), name(lost)),
            Step::Deliver(delivery) => write!(to, "{}", describe(&delivery.0)),
            Step::LoseReply(delivery) => write!(to, "{}, reply lost", describe(&delivery.0)),
            Step::Abort(at) => write!(to, "{} aborts", name(at)),
            Step::Inform(from, at) => write!(to, "{} informs {}", name(from), name(at)),
            Step::CatchUp(at, from) => write!(to, "{} catches up from {}", name(at), name(from)),
            Step::Fail(at) => write!(to, "{} fails", name(at)),
            Step::Restart(at) => write!(to, "{} restarts", name(at)),
            Step::LoseDisk(at) => write!(to, "{} restarts without its disk", name(at)),
        }
    }
}

/// The contents of a disk with their hash.
pub struct Disk {
    files: MemoryFiles,
    voter_state: VoterState,
    register: AcceptorState,
    hash: u64,
}

#[derive(Clone)]
pub struct Node {
    disk: Rc<Disk>,
    is_up: bool,
    /// The change, its request ID and its hash.
    change: Option<Rc<(VoterSetChange, u64, u64)>>,
    /// The highest fence observed.
    highest_fence_seen: u64,
    /// Members of the previous set whose registers were copied completely.
    copied_from: BTreeSet<usize>,
    is_ready: bool,
}

/// Writes increasing numbers under increasing ballots and continues a pending one in the next set. Concurrent writers
/// are covered by the register model; this model checks that acknowledged writes are kept.
#[derive(Clone, Debug)]
struct Writer {
    set: VoterSet,
    number: u64,
    accepted_by: BTreeSet<usize>,
    acknowledged: u64,
}

#[derive(Clone)]
pub struct World {
    setup: Setup,
    nodes: Vec<Node>,
    deliveries: Vec<Rc<(Delivery, u64)>>,
    writer: Writer,
    plans: u8,
    failures: u8,
    restarts: u8,
    disk_losses: u8,
    false_suspicions: u8,
}

fn opened(files: &MemoryFiles) -> (Store, MemoryFiles) {
    let files = files.copy();
    (Store::open(Box::new(files.clone())).expect("store opens"), files)
}

fn seeds() -> Vec<String> {
    NAMES[..3].iter().map(|name| (*name).to_owned()).collect()
}

/// Returns the disk of an initial start.
fn initial_disk(at: usize, number: u64) -> Rc<Disk> {
    let (mut store, files) = opened(&MemoryFiles::default());
    let voter_state = VoterState::open(&mut store, NAMES[at], &seeds(), true, number).expect("write succeeds");
    closed(store, files, voter_state)
}

/// Returns an empty disk with this ID.
fn empty_disk(at: usize, number: u64) -> Rc<Disk> {
    let (mut store, files) = opened(&MemoryFiles::default());
    store.reset(StoreState::default()).expect("write succeeds");
    let voter_state = VoterState::open(&mut store, NAMES[at], &[], false, number).expect("write succeeds");
    closed(store, files, voter_state)
}

fn closed(store: Store, files: MemoryFiles, voter_state: VoterState) -> Rc<Disk> {
    let register = store.get(KEY).cloned().unwrap_or_default();
    let hash = wv_model_checker::hash_of(&(&register, &voter_state));
    Rc::new(Disk { files, voter_state, register, hash })
}

impl World {
    pub fn new(setup: Setup) -> World {
        let node = |at| Node {
            disk: initial_disk(at, 10 + at as u64),
            is_up: true,
            change: None,
            highest_fence_seen: 0,
            copied_from: BTreeSet::new(),
            is_ready: false,
        };
        let mut nodes: Vec<Node> = (0..setup.nodes).map(node).collect();
        let set = nodes[0].disk.voter_state.voters.clone();
        // The other nodes know of the first set.
        for at in 3..setup.nodes {
            let (mut store, files) = opened(&nodes[at].disk.files);
            let mut voter_state = nodes[at].disk.voter_state.clone();
            voter_state.update_voters(&mut store, NAMES[at], &set, &VoterSet::default()).expect("write succeeds");
            nodes[at].disk = closed(store, files, voter_state);
        }
        World {
            writer: Writer { set, number: 1, accepted_by: BTreeSet::new(), acknowledged: 0 },
            nodes,
            deliveries: Vec::new(),
            plans: setup.plans,
            failures: setup.failures,
            restarts: setup.restarts,
            disk_losses: setup.disk_losses,
            false_suspicions: setup.false_suspicions,
            setup,
        }
    }

    fn voter_state(&self, at: usize) -> &VoterState {
        &self.nodes[at].disk.voter_state
    }

    /// Runs `act` on a node's disk.
    fn on_disk<T>(&mut self, at: usize, act: impl FnOnce(&mut VoterState, &mut Store) -> T) -> T {
        let (mut store, files) = opened(&self.nodes[at].disk.files);
        // Reopens the files, as after a restart.
        let mut voter_state = VoterState::open(&mut store, NAMES[at], &[], false, 99).expect("write succeeds");
        let result = act(&mut voter_state, &mut store);
        self.nodes[at].disk = closed(store, files, voter_state);
        result
    }

    /// Returns the set on whose registers a node votes.
    fn voting_set(&self, at: usize) -> u64 {
        match self.setup.without {
            Without::Seal => self.voter_state(at).successor_voting_set(NAMES[at]),
            _ => self.voter_state(at).voting_set(NAMES[at]),
        }
    }

    fn is_up(&self, member: &Member) -> bool {
        self.at(member).is_some_and(|at| self.nodes[at].is_up)
    }

    /// Returns the node with this address and disk.
    fn at(&self, member: &Member) -> Option<usize> {
        (0..self.nodes.len()).find(|at| NAMES[*at] == member.addr && self.voter_state(*at).disk == member.disk)
    }

    fn ballot(&self) -> Ballot {
        Ballot { round: (self.writer.set.number << 40) + self.writer.number, proposer: 1 }
    }
}
