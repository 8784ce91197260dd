//! The change of voters as a model: the real seats, disks, plans and attempts (`VoterState`, `Store`, `plan`, `VoterSetChange`) with
//! the net between them. What was asked may arrive at any time, any number of times, or never. Who may plan, what is
//! carried and how a disk takes its vote up stand for `voters.rs`, `handover.rs` and `takeover.rs` of wv-control.
mod act;
mod promise;
mod steps;

use std::collections::BTreeSet;
use std::rc::Rc;
use wv_consensus::{MemoryFiles, Store, StoreState, VoterSetChange, VoterState};
use wv_internal_protocol::{AcceptorState, Ballot, Member, Message, VoterSet};

pub const KEY: &str = "k";
pub const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// A guard that is taken out, to see that the model finds what it guards against.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Without {
    Nothing,
    /// A successor is settled as soon as it is claimed: nobody is sealed, nothing is handed over.
    Handover,
    /// Voters go on in their set though they were sealed for the next one.
    Seal,
    /// A planner passes over what was accepted before.
    Accepted,
    /// A voter accepts under a fence below one that it has seen.
    Fence,
    /// A disk that was lost comes back under its number.
    Disk,
    /// Newcomers come in that have learnt nothing.
    Ready,
}

/// What may go wrong, and how often.
#[derive(Clone, Copy)]
pub struct Setup {
    pub without: Without,
    /// Machines of which the first three are the first set.
    pub nodes: usize,
    pub writes: u64,
    pub plans: u8,
    pub falls: u8,
    pub rises: u8,
    pub wipes: u8,
    /// Members that a planner takes for lost though they live, or that want to leave.
    pub doubts: u8,
    /// Answers get lost, not only what was asked.
    pub is_lossy: bool,
    /// A set counts from when it is settled, though nobody may be left that knows it.
    pub is_strict: bool,
}

#[derive(Clone, Debug)]
pub struct Ask {
    from: usize,
    to: usize,
    msg: Message,
}

#[derive(Clone)]
pub enum Step {
    /// The writer's proposal arrives, is kept, and the writer hears of it.
    Write(usize),
    /// The writer hears of a newer set.
    Switch(u64),
    /// A node plans; it takes a living member for lost, or for one that leaves.
    Plan(usize, Option<usize>),
    /// What a planner asks arrives and so does the answer, or that alone is lost.
    Ask(Rc<(Ask, u64)>),
    Mute(Rc<(Ask, u64)>),
    Abandon(usize),
    /// What the first knows of settled sets reaches the second.
    Tell(usize, usize),
    /// The first takes over, or learns beforehand, from the second.
    Take(usize, usize),
    Fall(usize),
    Rise(usize),
    Wipe(usize),
}

impl std::fmt::Debug for Step {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = |at: &usize| NAMES[*at];
        let word = |ask: &Ask| {
            let what = match &ask.msg {
                Message::PrepareSuccessor { .. } => "claims",
                Message::AcceptSuccessor { .. } => "settles",
                Message::Handover(wv_internal_protocol::Handover::Seal { .. }) => "seals",
                _ => "hands to",
            };
            format!("{} {what} {}", name(&ask.from), name(&ask.to))
        };
        match self {
            Step::Write(at) => write!(to, "{} is written", name(at)),
            Step::Switch(set) => write!(to, "the writer goes to set {set}"),
            Step::Plan(at, None) => write!(to, "{} plans", name(at)),
            Step::Plan(at, Some(lost)) => write!(to, "{} plans without {}", name(at), name(lost)),
            Step::Ask(ask) => write!(to, "{}", word(&ask.0)),
            Step::Mute(ask) => write!(to, "{} unheard", word(&ask.0)),
            Step::Abandon(at) => write!(to, "{} gives up", name(at)),
            Step::Tell(from, at) => write!(to, "{} tells {}", name(from), name(at)),
            Step::Take(at, from) => write!(to, "{} takes over from {}", name(at), name(from)),
            Step::Fall(at) => write!(to, "{} falls", name(at)),
            Step::Rise(at) => write!(to, "{} comes back", name(at)),
            Step::Wipe(at) => write!(to, "{} comes back without its disk", name(at)),
        }
    }
}

/// What stands on a disk, with its hash.
pub struct Disk {
    files: MemoryFiles,
    seat: VoterState,
    held: AcceptorState,
    hash: u64,
}

#[derive(Clone)]
pub struct Node {
    disk: Rc<Disk>,
    is_up: bool,
    /// With the request that its answers are known by, and its hash.
    change: Option<Rc<(VoterSetChange, u64, u64)>>,
    /// The highest fence that was met.
    met: u64,
    /// Members of the set before that told all.
    told: BTreeSet<usize>,
    is_ready: bool,
}

/// Writes one number after the other, under rising ballots; a number goes on in the next set where the last one fell
/// silent. The decision among writers is the model of the register's; here what is acknowledged has to be kept.
#[derive(Clone, Debug)]
struct Writer {
    set: VoterSet,
    number: u64,
    kept: BTreeSet<usize>,
    acknowledged: u64,
}

#[derive(Clone)]
pub struct World {
    setup: Setup,
    nodes: Vec<Node>,
    asks: Vec<Rc<(Ask, u64)>>,
    writer: Writer,
    plans: u8,
    falls: u8,
    rises: u8,
    wipes: u8,
    doubts: u8,
}

fn opened(files: &MemoryFiles) -> (Store, MemoryFiles) {
    let files = files.copy();
    (Store::open(Box::new(files.clone())).expect("readable"), files)
}

fn seeds() -> Vec<String> {
    NAMES[..3].iter().map(|name| (*name).to_owned()).collect()
}

/// A disk of a first start.
fn fresh(at: usize, number: u64) -> Rc<Disk> {
    let (mut store, files) = opened(&MemoryFiles::default());
    let seat = VoterState::open(&mut store, NAMES[at], &seeds(), true, number).expect("kept");
    closed(store, files, seat)
}

/// A disk that comes back empty, under this number.
fn wiped(at: usize, number: u64) -> Rc<Disk> {
    let (mut store, files) = opened(&MemoryFiles::default());
    store.reset(StoreState::default()).expect("kept");
    let seat = VoterState::open(&mut store, NAMES[at], &[], false, number).expect("kept");
    closed(store, files, seat)
}

fn closed(store: Store, files: MemoryFiles, seat: VoterState) -> Rc<Disk> {
    let held = store.get(KEY).cloned().unwrap_or_default();
    let hash = wv_model_checker::hash_of(&(&held, &seat));
    Rc::new(Disk { files, seat, held, hash })
}

impl World {
    pub fn new(setup: Setup) -> World {
        let node = |at| Node {
            disk: fresh(at, 10 + at as u64),
            is_up: true,
            change: None,
            met: 0,
            told: BTreeSet::new(),
            is_ready: false,
        };
        let mut nodes: Vec<Node> = (0..setup.nodes).map(node).collect();
        let set = nodes[0].disk.seat.voters.clone();
        // The others have heard of the first set.
        for at in 3..setup.nodes {
            let (mut store, files) = opened(&nodes[at].disk.files);
            let mut seat = nodes[at].disk.seat.clone();
            seat.update_voters(&mut store, NAMES[at], &set, &VoterSet::default()).expect("kept");
            nodes[at].disk = closed(store, files, seat);
        }
        World {
            writer: Writer { set, number: 1, kept: BTreeSet::new(), acknowledged: 0 },
            nodes,
            asks: Vec::new(),
            plans: setup.plans,
            falls: setup.falls,
            rises: setup.rises,
            wipes: setup.wipes,
            doubts: setup.doubts,
            setup,
        }
    }

    fn seat(&self, at: usize) -> &VoterState {
        &self.nodes[at].disk.seat
    }

    /// Lets a node's disk do something.
    fn on_disk<T>(&mut self, at: usize, act: impl FnOnce(&mut VoterState, &mut Store) -> T) -> T {
        let (mut store, files) = opened(&self.nodes[at].disk.files);
        // Read again from its files, as after a restart.
        let mut seat = VoterState::open(&mut store, NAMES[at], &[], false, 99).expect("kept");
        let word = act(&mut seat, &mut store);
        self.nodes[at].disk = closed(store, files, seat);
        word
    }

    /// The set in whose registers a node votes.
    fn voting_set(&self, at: usize) -> u64 {
        match self.setup.without {
            Without::Seal => self.seat(at).successor_voting_set(NAMES[at]),
            _ => self.seat(at).voting_set(NAMES[at]),
        }
    }

    fn is_up(&self, member: &Member) -> bool {
        self.at(member).is_some_and(|at| self.nodes[at].is_up)
    }

    /// The node that is this member, wherever it stands.
    fn at(&self, member: &Member) -> Option<usize> {
        (0..self.nodes.len()).find(|at| NAMES[*at] == member.addr && self.seat(*at).disk == member.disk)
    }

    fn ballot(&self) -> Ballot {
        Ballot { round: (self.writer.set.number << 40) + self.writer.number, proposer: 1 }
    }
}
