//! The register as a model: the real proposers (`Proposer`) and disks (`Store`) with the net between them. What was sent
//! may arrive at any time, any number of times, or never. The voter's word stands for `wv-control/src/voter.rs`.
mod kept;
mod ledger;
mod setup;
mod steps;

use kept::{kept, Kept, Shown, ORDERS};
pub use ledger::{Ledger, Verdict};
pub use setup::{Setup, Wish, Without};
use std::rc::Rc;
use wv_consensus::{Completion, MemoryFiles, Proposer, Store, StoreState};
use wv_internal_protocol::{Ballot, Member, Message, RegisterReply, RegisterRequest as Ask, RegisterValue, VoterSet};

pub const KEY: &str = "k";
pub const NAMES: [&str; 3] = ["a", "b", "c"];

#[derive(Debug)]
pub struct Call {
    from: usize,
    to: usize,
    asker: u64,
    request: u64,
    ask: Ask,
}

impl Call {
    /// The receiver's name, in quotes, is the one that changes with the order of the voters.
    fn kept(self) -> Rc<Kept<Call>> {
        let text = format!("{:?}", (self.from, NAMES[self.to], self.asker, self.request, &self.ask));
        kept(self, &Shown(text))
    }
}

/// A call that arrived, and what was said to it.
pub struct Answer {
    call: Rc<Kept<Call>>,
    vote: RegisterReply,
}

#[derive(Clone)]
pub enum Step {
    Start(usize, Wish),
    /// The call arrives and so does the answer.
    Call(Rc<Kept<Call>>),
    /// The call arrives; its answer is lost, or comes later.
    Mute(Rc<Kept<Call>>),
    Hear(Rc<Kept<Answer>>),
    Rest(usize),
    Crash(usize),
    Restart(usize),
    Wipe(usize),
}

impl std::fmt::Debug for Step {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let word = |call: &Call| match call.ask {
            Ask::Read { .. } => format!("p{} looks at {}", call.from, NAMES[call.to]),
            Ask::Prepare { .. } => format!("p{} prepares {}", call.from, NAMES[call.to]),
            Ask::Accept { .. } => format!("p{} proposes to {}", call.from, NAMES[call.to]),
        };
        match self {
            Step::Start(at, Wish::Read) => write!(to, "p{at} reads"),
            Step::Start(at, Wish::Write(number, content)) => write!(to, "p{at} writes {number}:{content}"),
            Step::Call(call) => write!(to, "{}", word(&call.value)),
            Step::Mute(call) => write!(to, "{} unheard", word(&call.value)),
            Step::Hear(answer) => {
                let call = &answer.value.call.value;
                write!(to, "p{} hears {}", call.from, NAMES[call.to])
            }
            Step::Rest(at) => write!(to, "p{at} rested"),
            Step::Crash(at) => write!(to, "p{at} starts anew"),
            Step::Restart(at) => write!(to, "{} restarts", NAMES[*at]),
            Step::Wipe(at) => write!(to, "{} loses its disk", NAMES[*at]),
        }
    }
}

#[derive(Clone)]
struct ProposerNode {
    quorum: Rc<Kept<Proposer>>,
    /// What it asks now; answers to anything else count for nothing.
    request: u64,
    now: u64,
    lives: u64,
    begun: usize,
    /// The wish under way, and the newest version that anybody was shown before it began.
    open: Option<(Wish, u64)>,
    is_pausing: bool,
    /// The newest copy heard in this request: what a careless reader would show.
    best: (u64, Ballot, Option<RegisterValue>),
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
    /// `None` once the disk is lost.
    disks: Vec<Option<Rc<Kept<Disk>>>>,
    calls: Vec<Rc<Kept<Call>>>,
    answers: Vec<Rc<Kept<Answer>>>,
    ledger: Rc<Kept<Ledger>>,
    rests: u8,
    crashes: u8,
    restarts: u8,
    wipes: u8,
}

/// Without its list of voters, which stands for no order.
fn kept_quorum(quorum: Proposer) -> Rc<Kept<Proposer>> {
    let text = format!("{quorum:?}");
    let text = text.split_once(" incarnation: ").map_or(text.clone(), |(_, text)| text.to_owned());
    kept(quorum, &Shown(text))
}

fn quorum(at: usize, lives: u64, without: Without) -> Proposer {
    let who = if without == Without::OwnBallots { at as u64 + 1 } else { at as u64 + 1 + lives * 10 };
    let mut quorum = Proposer::new(who);
    let members = NAMES.iter().map(|addr| Member { addr: (*addr).to_owned(), disk: 0 }).collect();
    quorum.set_voters(VoterSet { number: 1, members });
    quorum
}

/// A disk as it is found again: whatever is not read from its files is lost.
fn opened(files: &MemoryFiles) -> (Store, MemoryFiles) {
    let files = files.copy();
    (Store::open(Box::new(files.clone())).expect("readable"), files)
}

fn closed(store: &Store, files: MemoryFiles) -> Rc<Kept<Disk>> {
    let (promised, accepted) = store.get(KEY).map_or(Default::default(), |held| (held.promised, held.accepted));
    kept(Disk { files, promised, accepted }, &store.state())
}

impl World {
    pub fn new(setup: Setup) -> World {
        let disk = |_| {
            let (mut store, files) = opened(&MemoryFiles::default());
            store.reset(StoreState::default()).expect("kept");
            Some(closed(&store, files))
        };
        let proposer = |at| {
            let quorum = kept_quorum(quorum(at, 0, setup.without));
            let best = (0, Ballot::default(), None);
            ProposerNode { quorum, request: 0, now: 1_000, lives: 0, begun: 0, open: None, is_pausing: false, best }
        };
        World {
            proposers: (0..setup.wishes.len()).map(proposer).collect(),
            disks: (0..NAMES.len()).map(disk).collect(),
            calls: Vec::new(),
            answers: Vec::new(),
            ledger: kept(Ledger::default(), &0),
            rests: setup.rests,
            crashes: setup.crashes,
            restarts: setup.restarts,
            wipes: setup.wipes,
            setup: Rc::new(setup),
        }
    }

    /// Lets a proposer's quorum do something and takes up what it sends and what it is done with.
    fn turn(&mut self, at: usize, act: impl FnOnce(&mut Proposer, u64)) -> Result<(), String> {
        let now = self.proposers[at].now;
        let mut quorum = self.proposers[at].quorum.value.clone();
        act(&mut quorum, now);
        quorum.tick(now);
        for (to, msg) in quorum.take_messages() {
            let Message::RegisterRequest { requester: asker, request, step, .. } = msg else { continue };
            let to = NAMES.iter().position(|name| *name == to).unwrap_or(0);
            self.note(|ledger| ledger.proposed(&step))?;
            self.proposers[at].request = request;
            let call = Call { from: at, to, asker, request, ask: step };
            let call = call.kept();
            if self.calls.iter().all(|known| known.hashes != call.hashes) {
                self.calls.push(call);
            }
        }
        let done = quorum.take_completions();
        self.proposers[at].quorum = kept_quorum(quorum);
        done.into_iter().try_for_each(|done| self.done(at, done))
    }

    fn note(&mut self, change: impl FnOnce(&mut Ledger) -> Result<(), String>) -> Result<(), String> {
        let mut ledger = self.ledger.value.clone();
        let word = change(&mut ledger);
        self.ledger = kept(ledger.clone(), &ledger);
        word
    }

    fn done(&mut self, at: usize, done: Completion) -> Result<(), String> {
        let Some((wish, floor)) = self.proposers[at].open.take() else { return Ok(()) };
        let verdict = self.setup.verdict;
        self.note(|ledger| ledger.done(wish, floor, &done.outcome, verdict))
    }

    /// Whether its answer, heard now, would count.
    fn is_asked(&self, call: &Call) -> bool {
        self.proposers[call.from].request == call.request
    }

    /// Whether it would change the disk that it reaches; `None` where there is none.
    fn is_felt(&self, call: &Call) -> Option<bool> {
        let disk = &self.disks[call.to].as_ref()?.value;
        let top = disk.promised.max(disk.accepted);
        Some(match &call.ask {
            Ask::Read { .. } => false,
            Ask::Prepare { ballot, .. } => *ballot > top,
            Ask::Accept { ballot, .. } => {
                (*ballot >= top || self.setup.without == Without::Promise) && disk.accepted != *ballot
            }
        })
    }
}
