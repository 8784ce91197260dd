//! Proposers and voters in one room: the real proposer's side over real stores, call by call.
use std::collections::VecDeque;
use wv_consensus::{
    register_value, write_if_newer, Completion, MemoryFiles, OperationOutcome, Proposer, Store, StoreState,
};
use wv_internal_protocol::{Ballot, Member, Message, RegisterReply, RegisterRequest, RegisterValue, VoterSet};

pub const VOTERS: [&str; 3] = ["a", "b", "c"];

pub struct Call {
    pub from: usize,
    pub to: String,
    pub asker: u64,
    pub request: u64,
    pub key: String,
    pub step: RegisterRequest,
}

/// Proposers, voters and the calls between them that have not arrived.
pub struct Room {
    pub now: u64,
    pub quorums: Vec<Proposer>,
    pub stores: Vec<Store>,
    pub calls: VecDeque<Call>,
    pub done: Vec<(usize, Completion)>,
    /// Syncs of all voters, and messages both ways.
    pub syncs: usize,
    pub messages: usize,
}

pub fn set(number: u64) -> VoterSet {
    VoterSet { number, members: VOTERS.iter().map(|addr| Member { addr: (*addr).to_owned(), disk: 0 }).collect() }
}

impl Room {
    pub fn new(proposers: usize) -> Room {
        let quorum = |who| {
            let mut quorum = Proposer::new(who as u64 + 1);
            quorum.set_voters(set(1));
            quorum
        };
        let store = |_| {
            let mut store = Store::open(Box::new(MemoryFiles::default())).expect("readable");
            store.reset(StoreState::default()).expect("kept");
            store
        };
        Room {
            now: 1_000,
            quorums: (0..proposers).map(quorum).collect(),
            stores: (0..VOTERS.len()).map(store).collect(),
            calls: VecDeque::new(),
            done: Vec::new(),
            syncs: 0,
            messages: 0,
        }
    }

    /// A caller at `from` wants `value` under `version`, or to read with none.
    pub fn start(&mut self, from: usize, token: u64, wanted: Option<(u64, u8)>) {
        let edit = wanted.map(|(version, value)| write_if_newer(register_value(version, vec![value])));
        self.quorums[from].start(token, "k", edit, self.now);
        self.collect(from);
    }

    pub fn collect(&mut self, from: usize) {
        let quorum = &mut self.quorums[from];
        quorum.tick(self.now);
        for (to, msg) in quorum.take_messages() {
            if let Message::RegisterRequest { requester: asker, request, key, step, .. } = msg {
                self.calls.push_back(Call { from, to, asker, request, key, step });
            }
        }
        self.done.extend(quorum.take_completions().into_iter().map(|done| (from, done)));
    }

    /// What a voter's disk says to a step, as a control node's does.
    pub fn vote(store: &mut Store, key: &str, step: &RegisterRequest) -> RegisterReply {
        let refused = |store: &Store| RegisterReply::Rejected {
            promised: store.get(key).map_or(Ballot::default(), |held| held.promised.max(held.accepted)),
        };
        let holds = |store: &Store| {
            let held = store.get(key).cloned().unwrap_or_default();
            RegisterReply::Current { accepted: held.accepted, value: Some(held.value) }
        };
        match step {
            RegisterRequest::Read { .. } => holds(store),
            RegisterRequest::Prepare { ballot, .. } => match store.promise(key, *ballot).expect("kept") {
                true => holds(store),
                false => refused(store),
            },
            RegisterRequest::Accept { ballot, value: cell } => match store.accept(key, *ballot, cell).expect("kept") {
                true => RegisterReply::Accepted,
                false => refused(store),
            },
        }
    }

    pub fn deliver(&mut self, call: Call) {
        let at = VOTERS.iter().position(|voter| *voter == call.to).unwrap_or(0);
        let vote = Room::vote(&mut self.stores[at], &call.key, &call.step);
        self.syncs += usize::from(!matches!(call.step, RegisterRequest::Read { .. }));
        self.messages += 2;
        self.quorums[call.from].on_reply(&call.to, (call.asker, call.request), &call.key, vote, self.now);
        self.collect(call.from);
    }

    /// Delivers all that is under way, each call and its answer taking a millisecond.
    pub fn settle(&mut self, limit_us: u64) {
        let end = self.now + limit_us;
        while self.now < end {
            self.now += 1_000;
            let calls = std::mem::take(&mut self.calls);
            calls.into_iter().for_each(|call| self.deliver(call));
            (0..self.quorums.len()).for_each(|at| self.collect(at));
        }
    }

    pub fn outcome(&self, token: u64) -> Option<&OperationOutcome> {
        self.done.iter().find(|(_, done)| done.token == token).map(|(_, done)| &done.outcome)
    }

    pub fn read(&mut self, from: usize, token: u64) -> RegisterValue {
        self.read_without(from, token, "")
    }

    /// The same while nothing reaches one of the voters.
    pub fn read_without(&mut self, from: usize, token: u64, lost: &str) -> RegisterValue {
        self.start(from, token, None);
        for _ in 0..200 {
            self.now += 1_000;
            let calls = std::mem::take(&mut self.calls);
            calls.into_iter().filter(|call| call.to != lost).for_each(|call| self.deliver(call));
            self.collect(from);
        }
        match self.outcome(token) {
            Some(OperationOutcome::Read(cell)) => cell.clone(),
            other => panic!("{other:?}"),
        }
    }
}
