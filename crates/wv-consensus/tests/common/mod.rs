//! A test cluster of real proposers and stores with explicit message delivery.
use std::collections::VecDeque;
use wv_consensus::{
    register_value, write_if_newer, Completion, MemoryFiles, OperationOutcome, Proposer, Store, StoreState,
};
use wv_internal_protocol::{Ballot, Member, Message, RegisterReply, RegisterRequest, RegisterValue, VoterSet};

pub const VOTERS: [&str; 3] = ["a", "b", "c"];

pub struct Call {
    pub from: usize,
    pub to: String,
    pub requester: u64,
    pub request: u64,
    pub key: String,
    pub step: RegisterRequest,
}

/// Proposers, voters and undelivered requests.
pub struct Cluster {
    pub now: u64,
    pub proposers: Vec<Proposer>,
    pub stores: Vec<Store>,
    pub calls: VecDeque<Call>,
    pub done: Vec<(usize, Completion)>,
    /// Syncs of all voters, and messages in both directions.
    pub syncs: usize,
    pub messages: usize,
}

pub fn set(number: u64) -> VoterSet {
    VoterSet { number, members: VOTERS.iter().map(|addr| Member { addr: (*addr).to_owned(), disk: 0 }).collect() }
}

impl Cluster {
    pub fn new(proposers: usize) -> Cluster {
        let proposer = |id| {
            let mut proposer = Proposer::new(id as u64 + 1);
            proposer.set_voters(set(1));
            proposer
        };
        let store = |_| {
            let mut store = Store::open(Box::new(MemoryFiles::default())).expect("store opens");
            store.reset(StoreState::default()).expect("write succeeds");
            store
        };
        Cluster {
            now: 1_000,
            proposers: (0..proposers).map(proposer).collect(),
            stores: (0..VOTERS.len()).map(store).collect(),
            calls: VecDeque::new(),
            done: Vec::new(),
            syncs: 0,
            messages: 0,
        }
    }

    /// Starts a write of the given version and value, or a read.
    pub fn start(&mut self, from: usize, token: u64, wanted: Option<(u64, u8)>) {
        let update = wanted.map(|(version, value)| write_if_newer(register_value(version, vec![value])));
        self.proposers[from].start(token, "k", update, self.now);
        self.collect(from);
    }

    pub fn collect(&mut self, from: usize) {
        let proposer = &mut self.proposers[from];
        proposer.tick(self.now);
        for (to, msg) in proposer.take_messages() {
            if let Message::RegisterRequest { requester, request, key, step, .. } = msg {
                self.calls.push_back(Call { from, to, requester, request, key, step });
            }
        }
        self.done.extend(proposer.take_completions().into_iter().map(|done| (from, done)));
    }

    /// Handles a request like a control node's voter.
    pub fn handle_request(store: &mut Store, key: &str, step: &RegisterRequest) -> RegisterReply {
        let rejected = |store: &Store| RegisterReply::Rejected {
            promised: store.get(key).map_or(Ballot::default(), |held| held.promised.max(held.accepted)),
        };
        let current = |store: &Store| {
            let held = store.get(key).cloned().unwrap_or_default();
            RegisterReply::Current { accepted: held.accepted, value: Some(held.value) }
        };
        match step {
            RegisterRequest::Read { .. } => current(store),
            RegisterRequest::Prepare { ballot, .. } => match store.promise(key, *ballot).expect("write succeeds") {
                true => current(store),
                false => rejected(store),
            },
            RegisterRequest::Accept { ballot, value } => {
                match store.accept(key, *ballot, value).expect("write succeeds") {
                    true => RegisterReply::Accepted,
                    false => rejected(store),
                }
            }
        }
    }

    pub fn deliver(&mut self, call: Call) {
        let at = VOTERS.iter().position(|voter| *voter == call.to).unwrap_or(0);
        let reply = Cluster::handle_request(&mut self.stores[at], &call.key, &call.step);
        self.syncs += usize::from(!matches!(call.step, RegisterRequest::Read { .. }));
        self.messages += 2;
        self.proposers[call.from].on_reply(&call.to, (call.requester, call.request), &call.key, reply, self.now);
        self.collect(call.from);
    }

    /// Delivers all messages; a request and its reply take one millisecond.
    pub fn run_for(&mut self, duration_us: u64) {
        let end = self.now + duration_us;
        while self.now < end {
            self.now += 1_000;
            let calls = std::mem::take(&mut self.calls);
            calls.into_iter().for_each(|call| self.deliver(call));
            (0..self.proposers.len()).for_each(|at| self.collect(at));
        }
    }

    pub fn outcome(&self, token: u64) -> Option<&OperationOutcome> {
        self.done.iter().find(|(_, done)| done.token == token).map(|(_, done)| &done.outcome)
    }

    pub fn read(&mut self, from: usize, token: u64) -> RegisterValue {
        self.read_without(from, token, "")
    }

    /// Reads while one voter is unreachable.
    pub fn read_without(&mut self, from: usize, token: u64, unreachable: &str) -> RegisterValue {
        self.start(from, token, None);
        for _ in 0..200 {
            self.now += 1_000;
            let calls = std::mem::take(&mut self.calls);
            calls.into_iter().filter(|call| call.to != unreachable).for_each(|call| self.deliver(call));
            self.collect(from);
        }
        match self.outcome(token) {
            Some(OperationOutcome::Read(value)) => value.clone(),
            other => panic!("{other:?}"),
        }
    }
}
