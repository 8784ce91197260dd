//! Stories of registers while one set of voters follows another: what was decided in the newer one is never undone by
//! what a straggler of the older one still holds.
use googletest::prelude::*;
use wv_consensus::{
    register_value, write_if_newer, MemoryFiles, OperationOutcome, Proposer, Store, StoreState, VoterState,
};
use wv_internal_protocol::{
    AcceptorState, Ballot, Member, Message, RegisterReply, RegisterRequest, RegisterValue, VoterSet,
};

/// Four disks, of which `a b c` are the first set and `a b d` the second.
struct Fleet {
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

/// What a voter's disk says to a step.
fn vote(store: &mut Store, key: &str, step: &RegisterRequest) -> RegisterReply {
    let is_kept = match step {
        RegisterRequest::Read { .. } => true,
        RegisterRequest::Prepare { ballot, .. } => store.promise(key, *ballot).expect("kept"),
        RegisterRequest::Accept { ballot, value: cell } => store.accept(key, *ballot, cell).expect("kept"),
    };
    let held = store.get(key).cloned().unwrap_or_default();
    match step {
        _ if !is_kept => RegisterReply::Rejected { promised: held.promised.max(held.accepted) },
        RegisterRequest::Accept { .. } => RegisterReply::Accepted,
        _ => RegisterReply::Current { accepted: held.accepted, value: Some(held.value) },
    }
}

/// A proposer of the set, in a life of its own, that has met a ballot of this round in it.
fn proposer(who: u64, voters: VoterSet, met: u64) -> Proposer {
    let mut quorum = Proposer::new(who);
    let round = (voters.number << 40) + met;
    quorum.set_voters(voters);
    if met > 0 {
        quorum.observe_ballot(Ballot { round, proposer: 0 });
    }
    quorum
}

impl Fleet {
    fn new() -> Fleet {
        let store = |_| {
            let mut store = Store::open(Box::new(MemoryFiles::default())).expect("readable");
            store.reset(StoreState::default()).expect("kept");
            store
        };
        Fleet { stores: [0, 1, 2, 3].map(store), now: 1_000 }
    }

    /// Runs one operation; only the voters in `heard` are reached, and no proposal but by those in `kept`.
    fn run(
        &mut self,
        quorum: &mut Proposer,
        edit: Option<(u64, u8)>,
        heard: &str,
        kept: &str,
    ) -> Option<OperationOutcome> {
        let edit = edit.map(|(version, value)| write_if_newer(register_value(version, vec![value])));
        quorum.start(1, "k", edit, self.now);
        for _ in 0..80 {
            self.now += 10_000;
            quorum.tick(self.now);
            for (to, msg) in quorum.take_messages() {
                let Message::RegisterRequest { requester: asker, request, key, step, .. } = msg else { continue };
                let reached = if matches!(step, RegisterRequest::Accept { .. }) { kept } else { heard };
                if reached.split(' ').any(|name| name == to) {
                    let vote = vote(&mut self.stores[at(&to)], &key, &step);
                    quorum.on_reply(&to, (asker, request), &key, vote, self.now);
                }
            }
        }
        quorum.take_completions().pop().map(|done| done.outcome)
    }

    /// What `from` tells stands at `to`, as when a vote is taken up.
    fn take(&mut self, to: &str, from: &str) {
        let told: Vec<(String, AcceptorState)> =
            VoterState::newer_registers(&self.stores[at(from)], &VoterState::register_summaries(&self.stores[at(to)]));
        self.stores[at(to)].adopt_newer(told).expect("kept");
    }

    fn read(&mut self, heard: &str) -> Option<RegisterValue> {
        match self.run(&mut proposer(99, set(2, "a b d"), 0), None, heard, heard) {
            Some(OperationOutcome::Read(cell)) => Some(cell),
            _ => None,
        }
    }
}

#[gtest]
fn given_a_proposal_that_only_a_voter_left_behind_kept_then_it_never_undoes_what_the_next_set_decided() {
    let mut fleet = Fleet::new();
    let all = "a b c";
    let written = fleet.run(&mut proposer(1, set(1, all), 0), Some((5, 5)), all, all);
    expect_that!(written, some(eq(&OperationOutcome::Written(register_value(5, vec![5])))));
    // Prepared at two, kept by the one that goes; its caller never hears of it.
    fleet.run(&mut proposer(2, set(1, all), 9), Some((6, 6)), "b c", "c");
    // Two of three have told the newcomer; another proposer has never met that ballot.
    ["a", "b"].into_iter().for_each(|from| fleet.take("d", from));
    let written = fleet.run(&mut proposer(3, set(2, "a b d"), 0), Some((7, 7)), "a d", "a d");
    expect_that!(written, some(eq(&OperationOutcome::Written(register_value(7, vec![7])))));
    // The third takes up its vote from a voter of the new set, having heard the straggler before.
    ["c", "a"].into_iter().for_each(|from| fleet.take("b", from));
    for heard in ["a b", "b d", "a d", "a b d"] {
        expect_that!(fleet.read(heard), some(eq(&register_value(7, vec![7]))), "{heard}");
    }
}

#[gtest]
fn given_a_copy_that_came_by_taking_over_below_a_promise_then_it_is_shown_only_once_nothing_can_undo_it() {
    let mut fleet = Fleet::new();
    let all = "a b c";
    fleet.run(&mut proposer(1, set(1, all), 0), Some((5, 5)), all, all);
    // One proposal is kept by the first alone; a later one, which has not met it, by the last alone.
    fleet.run(&mut proposer(2, set(1, all), 9), Some((6, 6)), all, "a");
    fleet.run(&mut proposer(3, set(1, all), 19), Some((7, 7)), "b c", "c");
    // The second takes the first's copy over, as the newcomer does.
    ["b", "d"].into_iter().for_each(|to| fleet.take(to, "a"));
    let shown = fleet.read("b d");
    // Then the straggler is heard by the newcomer: whatever was shown stays.
    fleet.take("d", "c");
    expect_that!(shown, some(anything()));
    for heard in ["b d", "a d", "a b d"] {
        expect_that!(fleet.read(heard), eq(&shown), "{heard}");
    }
}

#[gtest]
fn given_a_register_that_nobody_wrote_then_a_read_of_it_promises_nothing() {
    let mut fleet = Fleet::new();
    expect_that!(fleet.read("a b d"), some(eq(&RegisterValue::default())));
    expect_that!(fleet.stores[0].get("k"), none());
}

#[gtest]
fn given_a_proposer_that_has_met_a_ballot_of_a_set_it_does_not_know_then_its_own_stay_below_those() {
    let mut fleet = Fleet::new();
    let (all, mut quorum) = ("a b c", proposer(1, set(1, "a b c"), 0));
    let later = Ballot { round: (2 << 40) + 5, proposer: 0 };
    quorum.observe_ballot(later);
    let written = fleet.run(&mut quorum, Some((5, 5)), all, all);
    expect_that!(written, some(eq(&OperationOutcome::Written(register_value(5, vec![5])))));
    expect_that!(fleet.stores[0].get("k").map(|held| held.accepted < later), some(eq(true)));
}
