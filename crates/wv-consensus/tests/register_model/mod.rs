//! A model of one register with the real proposers (`Proposer`) and stores (`Store`). Messages may be delivered at any
//! time, repeatedly, or never. The voter stands in for `wv-control/src/register_voter.rs`.
mod history;
mod setup;
mod steps;
mod symmetry;

pub use history::{History, Verdict};
pub use setup::{Request, Setup, Without};
use std::rc::Rc;
use symmetry::{hashed, DebugText, Hashed, ORDERS};
use wv_consensus::{Completion, MemoryFiles, Proposer, Store, StoreState};
use wv_internal_protocol::{Ballot, Member, Message, RegisterReply, RegisterRequest, RegisterValue, VoterSet};

pub const KEY: &str = "k";
pub const NAMES: [&str; 3] = ["a", "b", "c"];

#[derive(Debug)]
pub struct Delivery {
    from: usize,
    to: usize,
    requester: u64,
    request: u64,
    step: RegisterRequest,
}

impl Delivery {
    /// The receiver's name is quoted so that it is permuted with the voters.
    fn hashed(self) -> Rc<Hashed<Delivery>> {
        let text = format!("{:?}", (self.from, NAMES[self.to], self.requester, self.request, &self.step));
        hashed(self, &DebugText(text))
    }
}

/// A delivered request and its reply.
pub struct DeliveredReply {
    delivery: Rc<Hashed<Delivery>>,
    vote: RegisterReply,
}

#[derive(Clone)]
pub enum Step {
    Start(usize, Request),
    /// The request and its reply are delivered.
    Delivery(Rc<Hashed<Delivery>>),
    /// The request is delivered; its reply is lost or delayed.
    LoseReply(Rc<Hashed<Delivery>>),
    Reply(Rc<Hashed<DeliveredReply>>),
    EndBackoff(usize),
    Crash(usize),
    Restart(usize),
    LoseDisk(usize),
}

impl std::fmt::Debug for Step {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let describe = |delivery: &Delivery| match delivery.step {
            RegisterRequest::Read { .. } => format!("p{} reads from {}", delivery.from, NAMES[delivery.to]),
            RegisterRequest::Prepare { .. } => format!("p{} prepares {}", delivery.from, NAMES[delivery.to]),
            RegisterRequest::Accept { .. } => format!("p{} proposes to {}", delivery.from, NAMES[delivery.to]),
        };
        match self {
            Step::Start(at, Request::Read) => write!(to, "p{at} reads"),
            Step::Start(at, Request::Write(number, content)) => write!(to, "p{at} writes {number}:{content}"),
            Step::Delivery(delivery) => write!(to, "{}", describe(&delivery.value)),
            Step::LoseReply(delivery) => write!(to, "{}, reply lost", describe(&delivery.value)),
            Step::Reply(reply) => {
                let delivery = &reply.value.delivery.value;
                write!(to, "p{} receives the reply of {}", delivery.from, NAMES[delivery.to])
            }
            Step::EndBackoff(at) => write!(to, "p{at} ends its backoff"),
            Step::Crash(at) => write!(to, "p{at} starts a new incarnation"),
            Step::Restart(at) => write!(to, "{} restarts", NAMES[*at]),
            Step::LoseDisk(at) => write!(to, "{} loses its disk", NAMES[*at]),
        }
    }
}

#[derive(Clone)]
struct ProposerNode {
    proposer_state: Rc<Hashed<Proposer>>,
    /// The current request; replies to other requests are ignored.
    request: u64,
    now: u64,
    incarnation: u64,
    started: usize,
    /// The active operation, and the newest version returned to any caller before it started.
    active: Option<(Request, u64)>,
    is_backing_off: bool,
    /// The newest value received for this request, returned by a read without its guard.
    newest: (u64, Ballot, Option<RegisterValue>),
}

struct Disk {
    files: MemoryFiles,
    promised: Ballot,
    accepted: Ballot,
}

#[derive(Clone)]
pub struct World {
    setup: Rc<Setup>,
    proposers: Vec<ProposerNode>,
    /// `None` after the disk was lost.
    disks: Vec<Option<Rc<Hashed<Disk>>>>,
    deliveries: Vec<Rc<Hashed<Delivery>>>,
    replies: Vec<Rc<Hashed<DeliveredReply>>>,
    history: Rc<Hashed<History>>,
    backoffs: u8,
    crashes: u8,
    restarts: u8,
    disk_losses: u8,
}

/// Omits the list of voters, which must not be permuted.
fn hashed_proposer(proposer_state: Proposer) -> Rc<Hashed<Proposer>> {
    let text = format!("{proposer_state:?}");
    let text = text.split_once(" incarnation: ").map_or(text.clone(), |(_, text)| text.to_owned());
    hashed(proposer_state, &DebugText(text))
}

fn new_proposer(at: usize, incarnation: u64, without: Without) -> Proposer {
    let id = if without == Without::UniqueBallots { at as u64 + 1 } else { at as u64 + 1 + incarnation * 10 };
    let mut proposer_state = Proposer::new(id);
    let members = NAMES.iter().map(|addr| Member { addr: (*addr).to_owned(), disk: 0 }).collect();
    proposer_state.set_voters(VoterSet { number: 1, members });
    proposer_state
}

/// Reopens a disk: only what is in its files survives.
fn opened(files: &MemoryFiles) -> (Store, MemoryFiles) {
    let files = files.copy();
    (Store::open(Box::new(files.clone())).expect("store opens"), files)
}

fn closed(store: &Store, files: MemoryFiles) -> Rc<Hashed<Disk>> {
    let (promised, accepted) =
        store.get(KEY).map_or(Default::default(), |current_state| (current_state.promised, current_state.accepted));
    hashed(Disk { files, promised, accepted }, &store.state())
}

impl World {
    pub fn new(setup: Setup) -> World {
        let disk = |_| {
            let (mut store, files) = opened(&MemoryFiles::default());
            store.reset(StoreState::default()).expect("write succeeds");
            Some(closed(&store, files))
        };
        let proposer = |at| {
            let proposer_state = hashed_proposer(new_proposer(at, 0, setup.without));
            let newest = (0, Ballot::default(), None);
            ProposerNode {
                proposer_state,
                request: 0,
                now: 1_000,
                incarnation: 0,
                started: 0,
                active: None,
                is_backing_off: false,
                newest,
            }
        };
        World {
            proposers: (0..setup.requests.len()).map(proposer).collect(),
            disks: (0..NAMES.len()).map(disk).collect(),
            deliveries: Vec::new(),
            replies: Vec::new(),
            history: hashed(History::default(), &0),
            backoffs: setup.backoffs,
            crashes: setup.crashes,
            restarts: setup.restarts,
            disk_losses: setup.disk_losses,
            setup: Rc::new(setup),
        }
    }

    /// Runs `act` on a proposer and collects its messages and completions.
    fn turn(&mut self, at: usize, act: impl FnOnce(&mut Proposer, u64)) -> Result<(), String> {
        let now = self.proposers[at].now;
        let mut proposer_state = self.proposers[at].proposer_state.value.clone();
        act(&mut proposer_state, now);
        proposer_state.tick(now);
        for (to, msg) in proposer_state.take_messages() {
            let Message::RegisterRequest { requester, request, step, .. } = msg else { continue };
            let to = NAMES.iter().position(|name| *name == to).unwrap_or(0);
            self.note(|history| history.proposed(&step))?;
            self.proposers[at].request = request;
            let delivery = Delivery { from: at, to, requester, request, step };
            let delivery = delivery.hashed();
            if self.deliveries.iter().all(|known| known.hashes != delivery.hashes) {
                self.deliveries.push(delivery);
            }
        }
        let done = proposer_state.take_completions();
        self.proposers[at].proposer_state = hashed_proposer(proposer_state);
        done.into_iter().try_for_each(|done| self.done(at, done))
    }

    fn note(&mut self, change: impl FnOnce(&mut History) -> Result<(), String>) -> Result<(), String> {
        let mut history = self.history.value.clone();
        let describe = change(&mut history);
        self.history = hashed(history.clone(), &history);
        describe
    }

    fn done(&mut self, at: usize, done: Completion) -> Result<(), String> {
        let Some((operation, floor)) = self.proposers[at].active.take() else { return Ok(()) };
        let verdict = self.setup.verdict;
        self.note(|history| history.done(operation, floor, &done.outcome, verdict))
    }

    /// Whether a reply would count now.
    fn is_current(&self, delivery: &Delivery) -> bool {
        self.proposers[delivery.from].request == delivery.request
    }

    /// Whether the request would change the receiver's disk, or `None` if the disk is lost.
    fn changes_disk(&self, delivery: &Delivery) -> Option<bool> {
        let disk = &self.disks[delivery.to].as_ref()?.value;
        let top = disk.promised.max(disk.accepted);
        Some(match &delivery.step {
            RegisterRequest::Read { .. } => false,
            RegisterRequest::Prepare { ballot, .. } => *ballot > top,
            RegisterRequest::Accept { ballot, .. } => {
                (*ballot >= top || self.setup.without == Without::Promise) && disk.accepted != *ballot
            }
        })
    }
}
