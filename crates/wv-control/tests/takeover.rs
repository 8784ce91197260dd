//! Stories of one control node, message by message: when it leaves a set, and when it votes in the next.
mod common;

use common::Node;
use googletest::prelude::*;
use wv_consensus::{cell, parts};
use wv_internal_protocol::{AcceptorState, Ballot, CatchUp, Member, Message, RegisterRequest, VoterSet};

fn set(number: u64, names: &str) -> VoterSet {
    let member = |name: char| Member { addr: format!("{name}:80"), disk: u64::from(name == 'd') };
    VoterSet { number, members: names.chars().map(member).collect() }
}

/// The set in which it says that it votes.
fn votes_in(node: &mut Node) -> u64 {
    let said = node.receive("b", Message::Ping { requester: 7, request: 1 });
    said.into_iter()
        .find_map(|(_, msg)| if let Message::Pong { voter_set: set, .. } = msg { Some(set) } else { None })
        .unwrap_or(0)
}

/// Whether it answers a look in `set`.
fn is_voting(node: &mut Node, set: u64) -> bool {
    let step = RegisterRequest::Read { known: Ballot::default() };
    let said = node
        .receive("b", Message::RegisterRequest { requester: 7, request: 1, voter_set: set, key: "k".to_owned(), step });
    said.iter().any(|(_, msg)| matches!(msg, Message::RegisterReply { .. }))
}

/// Whom it asks to compare, and under which request.
fn asked(node: &Node, said: &[(u64, Message)]) -> Option<(String, u64)> {
    said.iter().find_map(|(link, msg)| match msg {
        Message::Takeover(CatchUp::Compare { request, .. }) => {
            let addr = node.links.iter().find(|(_, held)| *held == link)?.0;
            Some((addr[..1].to_owned(), *request))
        }
        _ => None,
    })
}

fn peers(voters: VoterSet, before: VoterSet) -> Message {
    Message::Peers { addresses: Vec::new(), zones: Vec::new(), voters, previous_voters: before }
}

#[gtest]
fn given_a_voter_that_is_asked_by_a_member_of_the_next_set_then_it_has_left_its_own_when_it_tells() {
    let mut node = Node::start("a", true);
    expect_that!(is_voting(&mut node, 1), eq(true));
    let (voters, before) = (set(2, "abd"), set(1, "abc"));
    let said =
        node.receive("b", Message::Takeover(CatchUp::Compare { request: 5, voters, previous: before, digest: 0 }));
    let told = said.iter().find_map(|(_, msg)| match msg {
        Message::Takeover(CatchUp::Digests { request: 5, set, .. }) => Some(*set),
        _ => None,
    });
    expect_that!(told, some(eq(1)));
    expect_that!(is_voting(&mut node, 1), eq(false));
}

#[gtest]
fn given_a_member_of_the_next_set_then_it_votes_once_a_majority_of_the_old_one_has_told_and_all_stands_here() {
    let mut node = Node::start("d", false);
    let said = node.receive("a", peers(set(2, "abd"), set(1, "abc")));
    let (first, request) = asked(&node, &said).expect("it asks at once");
    // The first says that it holds something else; one register of it comes, and that is all.
    let mut sums = vec![0; parts::RANGES];
    let said = node.receive(&first, Message::Takeover(CatchUp::Digests { request, set: 1, digests: sums.clone() }));
    let is_lacking = |msg: &Message| matches!(msg, Message::Takeover(CatchUp::CompareRanges { .. }));
    expect_that!(said.iter().any(|(_, msg)| is_lacking(msg)), eq(true));
    let ballot = Ballot { round: (1 << 40) + 1, proposer: 3 };
    let copy = AcceptorState { promised: ballot, accepted: ballot, value: cell(4, vec![4]) };
    let part = CatchUp::NewerRegisters { request, registers: vec![("k".to_owned(), copy)], is_complete: false };
    let said = node.receive(&first, Message::Takeover(part));
    expect_that!(said.iter().any(|(_, msg)| is_lacking(msg)), eq(true), "not all of it");
    expect_that!(votes_in(&mut node), eq(0));
    let said = node.receive(
        &first,
        Message::Takeover(CatchUp::NewerRegisters { request, registers: Vec::new(), is_complete: true }),
    );
    // One of three that left is no majority: another is asked.
    expect_that!(votes_in(&mut node), eq(0));
    expect_that!(is_voting(&mut node, 2), eq(false));
    let (second, request) = asked(&node, &said).expect("another is asked");
    expect_that!(second, not(eq(&first)));
    // A late word of the first counts for nothing.
    sums.clear();
    node.receive(&first, Message::Takeover(CatchUp::Digests { request, set: 1, digests: sums.clone() }));
    expect_that!(votes_in(&mut node), eq(0));
    node.receive(&second, Message::Takeover(CatchUp::Digests { request, set: 1, digests: sums }));
    expect_that!(votes_in(&mut node), eq(2));
    expect_that!(is_voting(&mut node, 2), eq(true));
}

#[gtest]
fn given_a_voter_of_the_next_set_then_its_word_alone_is_enough_and_one_of_an_older_set_never() {
    for (told, voting) in [(3, 3), (1, 0)] {
        let mut node = Node::start("d", false);
        let mut said = node.receive("a", peers(set(3, "abd"), set(2, "abc")));
        for _ in 0..12 {
            if let Some((asked, request)) = asked(&node, &said) {
                node.receive(&asked, Message::Takeover(CatchUp::Digests { request, set: told, digests: Vec::new() }));
            }
            said = node.tick();
        }
        expect_that!(votes_in(&mut node), eq(voting));
    }
    // One that is silent is passed over for another.
    let mut node = Node::start("d", false);
    let said = node.receive("a", peers(set(2, "abd"), set(1, "abc")));
    let (first, _) = asked(&node, &said).expect("it asks at once");
    let next = (0..20).find_map(|_| {
        let said = node.tick();
        asked(&node, &said)
    });
    expect_that!(next.map(|(addr, _)| addr), some(not(eq(&first))));
}
