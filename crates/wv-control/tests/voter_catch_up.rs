//! When a control node stops voting in a set, and when it starts to vote in the next one.
mod common;

use common::Node;
use googletest::prelude::*;
use wv_consensus::{anti_entropy, register_value};
use wv_internal_protocol::{AcceptorState, Ballot, CatchUp, Member, Message, RegisterRequest, VoterSet};

fn set(number: u64, names: &str) -> VoterSet {
    let member = |name: char| Member { addr: format!("{name}:80"), disk: u64::from(name == 'd') };
    VoterSet { number, members: names.chars().map(member).collect() }
}

/// The voter set that it reports in a pong, 0 for none.
fn reported_set(node: &mut Node) -> u64 {
    let sent = node.receive("b", Message::Ping { requester: 7, request: 1 });
    sent.into_iter()
        .find_map(|(_, message)| if let Message::Pong { voter_set: set, .. } = message { Some(set) } else { None })
        .unwrap_or(0)
}

/// Whether it answers a register read in `set`.
fn is_voting(node: &mut Node, set: u64) -> bool {
    let step = RegisterRequest::Read { known: Ballot::default() };
    let sent = node
        .receive("b", Message::RegisterRequest { requester: 7, request: 1, voter_set: set, key: "k".to_owned(), step });
    sent.iter().any(|(_, message)| matches!(message, Message::RegisterReply { .. }))
}

/// The target and request number of its comparison request, if it sent one.
fn comparison_request(node: &Node, sent: &[(u64, Message)]) -> Option<(String, u64)> {
    sent.iter().find_map(|(link, message)| match message {
        Message::CatchUp(CatchUp::Compare { request, .. }) => {
            let addr = node.links.iter().find(|(_, id)| *id == link)?.0;
            Some((addr[..1].to_owned(), *request))
        }
        _ => None,
    })
}

fn peers(voters: VoterSet, previous: VoterSet) -> Message {
    Message::Peers { addresses: Vec::new(), zones: Vec::new(), voters, previous_voters: previous }
}

#[gtest]
fn given_a_voter_asked_by_a_member_of_the_next_set_then_it_has_left_its_own_set_when_it_answers() {
    let mut node = Node::start("a", true);
    expect_that!(is_voting(&mut node, 1), eq(true));
    let (voters, previous) = (set(2, "abd"), set(1, "abc"));
    let sent = node.receive("b", Message::CatchUp(CatchUp::Compare { request: 5, voters, previous, digest: 0 }));
    let announced_set = sent.iter().find_map(|(_, message)| match message {
        Message::CatchUp(CatchUp::Digests { request: 5, set, .. }) => Some(*set),
        _ => None,
    });
    expect_that!(announced_set, some(eq(1)));
    expect_that!(is_voting(&mut node, 1), eq(false));
}

#[gtest]
fn given_a_member_of_the_next_set_then_it_votes_only_after_storing_all_registers_of_an_old_majority() {
    let mut node = Node::start("d", false);
    let sent = node.receive("a", peers(set(2, "abd"), set(1, "abc")));
    let (first, request) = comparison_request(&node, &sent).expect("a comparison request is sent at once");
    // The digests of the first source differ; it sends one register in an incomplete reply.
    let mut digests = vec![0; anti_entropy::RANGE_COUNT];
    let sent = node.receive(&first, Message::CatchUp(CatchUp::Digests { request, set: 1, digests: digests.clone() }));
    let is_range_request = |message: &Message| matches!(message, Message::CatchUp(CatchUp::CompareRanges { .. }));
    expect_that!(sent.iter().any(|(_, message)| is_range_request(message)), eq(true));
    let ballot = Ballot { round: (1 << 40) + 1, proposer: 3 };
    let copy = AcceptorState { promised: ballot, accepted: ballot, value: register_value(4, vec![4]) };
    let part = CatchUp::NewerRegisters { request, registers: vec![("k".to_owned(), copy)], is_complete: false };
    let sent = node.receive(&first, Message::CatchUp(part));
    expect_that!(sent.iter().any(|(_, message)| is_range_request(message)), eq(true), "the reply was incomplete");
    expect_that!(reported_set(&mut node), eq(0));
    let sent = node.receive(
        &first,
        Message::CatchUp(CatchUp::NewerRegisters { request, registers: Vec::new(), is_complete: true }),
    );
    // One source of three is no majority, so another one is asked.
    expect_that!(reported_set(&mut node), eq(0));
    expect_that!(is_voting(&mut node, 2), eq(false));
    let (second, request) = comparison_request(&node, &sent).expect("another source is asked");
    expect_that!(second, not(eq(&first)));
    // A late reply of the first source is ignored.
    digests.clear();
    node.receive(&first, Message::CatchUp(CatchUp::Digests { request, set: 1, digests: digests.clone() }));
    expect_that!(reported_set(&mut node), eq(0));
    node.receive(&second, Message::CatchUp(CatchUp::Digests { request, set: 1, digests }));
    expect_that!(reported_set(&mut node), eq(2));
    expect_that!(is_voting(&mut node, 2), eq(true));
}

#[gtest]
fn given_a_voter_of_the_next_set_then_it_suffices_as_the_only_source_and_one_of_an_older_set_never_does() {
    for (source_set, voting) in [(3, 3), (1, 0)] {
        let mut node = Node::start("d", false);
        let mut sent = node.receive("a", peers(set(3, "abd"), set(2, "abc")));
        for _ in 0..12 {
            if let Some((source, request)) = comparison_request(&node, &sent) {
                node.receive(
                    &source,
                    Message::CatchUp(CatchUp::Digests { request, set: source_set, digests: Vec::new() }),
                );
            }
            sent = node.tick();
        }
        expect_that!(reported_set(&mut node), eq(voting));
    }
    // After a timeout another source is asked.
    let mut node = Node::start("d", false);
    let sent = node.receive("a", peers(set(2, "abd"), set(1, "abc")));
    let (first, _) = comparison_request(&node, &sent).expect("a comparison request is sent at once");
    let next = (0..20).find_map(|_| {
        let sent = node.tick();
        comparison_request(&node, &sent)
    });
    expect_that!(next.map(|(addr, _)| addr), some(not(eq(&first))));
}
