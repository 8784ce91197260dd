//! Registers across a change of the voter set: a value held by a voter left behind must not replace a newer decision.
use googletest::prelude::*;
use wv_consensus::{
    register_value, write_if_newer, MemoryFiles, OperationOutcome, Proposer, Store, StoreState, VoterState,
};
use wv_internal_protocol::{
    AcceptorState, Ballot, Member, Message, RegisterReply, RegisterRequest, RegisterValue, VoterSet,
};

/// Four stores: `a b c` form the first set and `a b d` the second.
struct Cluster {
    stores: [Store; 4],
    now: u64,
}

fn set(number: u64, names: &str) -> VoterSet {
    let members = names.split(' ').map(|name| Member { addr: name.to_owned(), disk: 0 }).collect();
    VoterSet { number, members }
}

fn at(name: &str) -> usize {
    ["a", "b", "c", "d"].iter().position(|known| *known == name).unwrap_or(0)
}

/// Handles a request like a voter.
fn handle_request(store: &mut Store, key: &str, step: &RegisterRequest) -> RegisterReply {
    let is_accepted = match step {
        RegisterRequest::Read { .. } => true,
        RegisterRequest::Prepare { ballot, .. } => store.promise(key, *ballot).expect("write succeeds"),
        RegisterRequest::Accept { ballot, value } => store.accept(key, *ballot, value).expect("write succeeds"),
    };
    let held = store.get(key).cloned().unwrap_or_default();
    match step {
        _ if !is_accepted => RegisterReply::Rejected { promised: held.promised.max(held.accepted) },
        RegisterRequest::Accept { .. } => RegisterReply::Accepted,
        _ => RegisterReply::Current { accepted: held.accepted, value: Some(held.value) },
    }
}

/// Returns a proposer that has observed a ballot of this round in its set.
fn proposer(incarnation: u64, voters: VoterSet, observed_round: u64) -> Proposer {
    let mut proposer = Proposer::new(incarnation);
    let round = (voters.number << 40) + observed_round;
    proposer.set_voters(voters);
    if observed_round > 0 {
        proposer.observe_ballot(Ballot { round, proposer: 0 });
    }
    proposer
}

impl Cluster {
    fn new() -> Cluster {
        let store = |_| {
            let mut store = Store::open(Box::new(MemoryFiles::default())).expect("store opens");
            store.reset(StoreState::default()).expect("write succeeds");
            store
        };
        Cluster { stores: [0, 1, 2, 3].map(store), now: 1_000 }
    }

    /// Runs one operation; only voters in `reachable` receive requests, and accept requests go only to those in
    /// `accepting`.
    fn run(
        &mut self,
        proposer: &mut Proposer,
        update: Option<(u64, u8)>,
        reachable: &str,
        accepting: &str,
    ) -> Option<OperationOutcome> {
        let update = update.map(|(version, value)| write_if_newer(register_value(version, vec![value])));
        proposer.start(1, "k", update, self.now);
        for _ in 0..80 {
            self.now += 10_000;
            proposer.tick(self.now);
            for (to, msg) in proposer.take_messages() {
                let Message::RegisterRequest { requester, request, key, step, .. } = msg else { continue };
                let receivers = if matches!(step, RegisterRequest::Accept { .. }) { accepting } else { reachable };
                if receivers.split(' ').any(|name| name == to) {
                    let reply = handle_request(&mut self.stores[at(&to)], &key, &step);
                    proposer.on_reply(&to, (requester, request), &key, reply, self.now);
                }
            }
        }
        proposer.take_completions().pop().map(|done| done.outcome)
    }

    /// Copies newer registers from `from` to `to`, as during catch-up.
    fn copy_registers(&mut self, to: &str, from: &str) {
        let newer: Vec<(String, AcceptorState)> =
            VoterState::newer_registers(&self.stores[at(from)], &VoterState::register_summaries(&self.stores[at(to)]));
        self.stores[at(to)].adopt_newer(newer).expect("write succeeds");
    }

    fn read(&mut self, reachable: &str) -> Option<RegisterValue> {
        match self.run(&mut proposer(99, set(2, "a b d"), 0), None, reachable, reachable) {
            Some(OperationOutcome::Read(value)) => Some(value),
            _ => None,
        }
    }
}

#[gtest]
fn given_a_proposal_accepted_only_by_a_voter_left_behind_then_it_does_not_undo_a_decision_of_the_next_set() {
    let mut cluster = Cluster::new();
    let all = "a b c";
    let written = cluster.run(&mut proposer(1, set(1, all), 0), Some((5, 5)), all, all);
    expect_that!(written, some(eq(&OperationOutcome::Written(register_value(5, vec![5])))));
    // Promised by two voters and accepted only by the one that leaves; the caller gets no reply.
    cluster.run(&mut proposer(2, set(1, all), 9), Some((6, 6)), "b c", "c");
    // The new member copies from two of three voters; the other proposer has not observed the ballot.
    ["a", "b"].into_iter().for_each(|from| cluster.copy_registers("d", from));
    let written = cluster.run(&mut proposer(3, set(2, "a b d"), 0), Some((7, 7)), "a d", "a d");
    expect_that!(written, some(eq(&OperationOutcome::Written(register_value(7, vec![7])))));
    // The third voter catches up from the voter left behind and then from a voter of the new set.
    ["c", "a"].into_iter().for_each(|from| cluster.copy_registers("b", from));
    for reachable in ["a b", "b d", "a d", "a b d"] {
        expect_that!(cluster.read(reachable), some(eq(&register_value(7, vec![7]))), "{reachable}");
    }
}

#[gtest]
fn given_a_value_copied_below_a_promise_then_it_is_returned_only_when_it_cannot_be_undone() {
    let mut cluster = Cluster::new();
    let all = "a b c";
    cluster.run(&mut proposer(1, set(1, all), 0), Some((5, 5)), all, all);
    // One proposal is accepted only by the first voter; a later one that did not see it, only by the last.
    cluster.run(&mut proposer(2, set(1, all), 9), Some((6, 6)), all, "a");
    cluster.run(&mut proposer(3, set(1, all), 19), Some((7, 7)), "b c", "c");
    // The second voter copies the first one's value, as the new member does.
    ["b", "d"].into_iter().for_each(|to| cluster.copy_registers(to, "a"));
    let returned = cluster.read("b d");
    // The new member then copies from the voter left behind; the value read before must not change.
    cluster.copy_registers("d", "c");
    expect_that!(returned, some(anything()));
    for reachable in ["b d", "a d", "a b d"] {
        expect_that!(cluster.read(reachable), eq(&returned), "{reachable}");
    }
}

#[gtest]
fn given_a_register_that_was_never_written_then_a_read_makes_no_promise() {
    let mut cluster = Cluster::new();
    expect_that!(cluster.read("a b d"), some(eq(&RegisterValue::default())));
    expect_that!(cluster.stores[0].get("k"), none());
}

#[gtest]
fn given_a_ballot_of_an_unknown_set_then_the_proposer_stays_below_it() {
    let mut cluster = Cluster::new();
    let (all, mut proposer) = ("a b c", proposer(1, set(1, "a b c"), 0));
    let later = Ballot { round: (2 << 40) + 5, proposer: 0 };
    proposer.observe_ballot(later);
    let written = cluster.run(&mut proposer, Some((5, 5)), all, all);
    expect_that!(written, some(eq(&OperationOutcome::Written(register_value(5, vec![5])))));
    expect_that!(cluster.stores[0].get("k").map(|held| held.accepted < later), some(eq(true)));
}
