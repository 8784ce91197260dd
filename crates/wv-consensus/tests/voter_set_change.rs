//! Tests of planning and agreeing on the next voter set.
use googletest::prelude::*;
use wv_consensus::{plan_successor, Candidate, ChangeOutcome, VoterSetChange, REPLACE_AFTER_US};
use wv_internal_protocol::{Handover, Member, Message, VoterSet};

fn set(number: u64, addrs: &[&str]) -> VoterSet {
    let members = addrs.iter().map(|addr| Member { addr: (*addr).to_owned(), disk: 0 }).collect();
    VoterSet { number, members }
}

fn candidates(all: &[(&str, u64, bool)]) -> Vec<Candidate> {
    let candidate = |(addr, disk, is_up): &(&str, u64, bool)| Candidate {
        member: Member { addr: (*addr).to_owned(), disk: *disk },
        is_up: *is_up,
        is_ready: true,
        ..Candidate::default()
    };
    all.iter().map(candidate).collect()
}

/// Runs the sealing and handover phases and returns the proposed successor; nothing may be proposed earlier.
fn proposed(change: &mut VoterSetChange, request: u64, holders: [&str; 2]) -> Option<VoterSet> {
    let is_proposing =
        |msgs: &[(String, Message)]| msgs.iter().any(|(_, msg)| matches!(msg, Message::AcceptSuccessor { .. }));
    let is_handing_over = |msgs: &[(String, Message)]| {
        msgs.iter().any(|(_, msg)| matches!(msg, Message::Handover(Handover::Fetch { .. })))
    };
    for voter in ["a", "b"] {
        let msgs = change.tick(0).unwrap_or_default();
        expect_that!(is_proposing(&msgs) || is_handing_over(&msgs), eq(false));
        expect_that!(change.handle_sealed(voter, request, true), none());
    }
    for member in holders {
        expect_that!(is_proposing(&change.tick(0).unwrap_or_default()), eq(false));
        change.handle_fetched(member, request);
    }
    change.tick(0).ok()?.into_iter().find_map(|(_, msg)| match msg {
        Message::AcceptSuccessor { successor: next, .. } => Some(next),
        _ => None,
    })
}

#[gtest]
fn given_a_successor_accepted_by_some_voter_then_the_next_coordinator_proposes_it_instead_of_its_own() {
    let from = set(1, &["a", "b", "c"]);
    let (ours, older, newer) = (set(2, &["a", "b", "x"]), set(2, &["a", "c", "y"]), set(2, &["b", "c", "z"]));
    let mut change = VoterSetChange::new(7, 300, from.clone(), ours.clone(), 0);
    expect_that!(change.handle_prepared("a", 7, true, 300, Some((100, older))), none());
    expect_that!(change.handle_prepared("b", 7, true, 300, Some((200, newer.clone()))), none());
    // Of several accepted successors, only the one under the highest fence can have been chosen.
    expect_that!(proposed(&mut change, 7, ["b", "c"]), some(eq(&newer)));
    expect_that!(change.handle_accepted("a", 7, true), none());
    expect_that!(change.handle_accepted("a", 7, true), none());
    expect_that!(change.handle_accepted("c", 7, true), some(eq(&ChangeOutcome::Accepted(newer))));
    // Without an accepted successor the coordinator proposes its own.
    let mut change = VoterSetChange::new(8, 400, from, ours.clone(), 0);
    change.handle_prepared("b", 8, true, 400, None);
    change.handle_prepared("c", 8, true, 400, None);
    expect_that!(proposed(&mut change, 8, ["a", "x"]), some(eq(&ours)));
    expect_that!(change.handle_accepted("b", 8, false), some(matches_pattern!(ChangeOutcome::Aborted { .. })));
}

#[gtest]
fn given_lost_wiped_or_too_few_voters_then_one_step_is_planned_and_no_member_is_removed_without_need() {
    let voters = set(4, &["a", "b", "c"]);
    let all_up = |addr: &str| if addr == "unknown" { REPLACE_AFTER_US } else { 0 };
    // A member that lost its disk is replaced by its own address before any other candidate.
    let found =
        plan_successor(&voters, &candidates(&[("a", 0, true), ("b", 9, true), ("c", 0, true), ("d", 5, true)]), all_up);
    let members = found.map(|next| next.members).unwrap_or_default();
    expect_that!(members.contains(&Member { addr: "b".to_owned(), disk: 9 }), eq(true));
    expect_that!(members.len(), eq(3));
    // A member is unreachable and there is no replacement.
    let unreachable_us = |addr: &str| if addr == "c" { REPLACE_AFTER_US } else { 0 };
    expect_that!(plan_successor(&voters, &candidates(&[("a", 0, true), ("b", 0, true)]), unreachable_us), none());
    // One additional candidate would make an even-sized set; two are added.
    let four = candidates(&[("a", 0, true), ("b", 0, true), ("c", 0, true), ("d", 5, true)]);
    expect_that!(plan_successor(&voters, &four, all_up), none());
    let five = candidates(&[("a", 0, true), ("b", 0, true), ("c", 0, true), ("d", 5, true), ("e", 6, true)]);
    expect_that!(
        plan_successor(&voters, &five, all_up).map(|next| (next.number, next.members.len())),
        some(eq((5, 5)))
    );
}

fn candidate(addr: &str, zone: &str) -> Candidate {
    let member = Member { addr: addr.to_owned(), disk: 0 };
    Candidate { member, zone: zone.to_owned(), is_up: true, is_ready: true, is_leaving: false }
}

fn has(next: &Option<VoterSet>, addr: &str) -> bool {
    next.as_ref().is_some_and(|next| next.contains(addr))
}

#[gtest]
fn given_candidates_in_several_zones_then_the_one_in_the_zone_with_the_fewest_voters_is_added() {
    let voters = set(4, &["a", "b", "c"]);
    let unreachable_us = |addr: &str| if addr == "c" { REPLACE_AFTER_US } else { 0 };
    let nodes =
        [candidate("a", "x"), candidate("b", "y"), candidate("d", "x"), candidate("e", "y"), candidate("f", "z")];
    let next = plan_successor(&voters, &nodes, unreachable_us);
    expect_that!((has(&next, "f"), next.map_or(0, |next| next.members.len())), eq((true, 3)));
    // If no other zone is available, a shared zone is accepted.
    expect_that!(has(&plan_successor(&voters, &nodes[..4], unreachable_us), "d"), eq(true));
    // The same holds when two members are added.
    let all = [
        candidate("a", "x"),
        candidate("b", "y"),
        candidate("c", "z"),
        candidate("d", "x"),
        candidate("e", "w"),
        candidate("f", "w"),
        candidate("g", "v"),
    ];
    let next = plan_successor(&voters, &all, |_| 0);
    expect_that!((has(&next, "e"), has(&next, "g"), next.map_or(0, |next| next.members.len())), eq((true, true, 5)));
}

#[gtest]
fn given_a_node_that_is_not_ready_or_is_shutting_down_then_it_is_not_added() {
    let voters = set(4, &["a", "b", "c"]);
    let unreachable_us = |addr: &str| if addr == "c" { REPLACE_AFTER_US } else { 0 };
    let [a, b, d] = [candidate("a", ""), candidate("b", ""), candidate("d", "")];
    for unsuitable in [
        Candidate { is_ready: false, ..d.clone() },
        Candidate { is_leaving: true, ..d.clone() },
        Candidate { is_up: false, ..d },
    ] {
        expect_that!(plan_successor(&voters, &[a.clone(), b.clone(), unsuitable], unreachable_us), none());
    }
    // A replaced disk is not a candidate before it has caught up; a ready candidate takes precedence.
    let wiped = Candidate { member: Member { addr: "b".to_owned(), disk: 9 }, is_ready: false, ..b };
    expect_that!(plan_successor(&voters, &[a.clone(), candidate("c", ""), wiped.clone()], |_| 0), none());
    let next = plan_successor(&voters, &[a, candidate("c", ""), wiped, candidate("d", "")], |_| 0);
    expect_that!((has(&next, "b"), has(&next, "d")), eq((false, true)));
}

#[gtest]
fn given_a_member_that_is_shutting_down_then_it_is_replaced_only_if_the_others_could_not_tolerate_a_failure() {
    let leaving = |addr: &str| Candidate { is_leaving: true, ..candidate(addr, "") };
    let three = [candidate("a", ""), candidate("b", ""), leaving("c"), candidate("d", "")];
    let next = plan_successor(&set(4, &["a", "b", "c"]), &three, |_| 0);
    expect_that!((has(&next, "c"), has(&next, "d")), eq((false, true)));
    let five = [
        candidate("a", ""),
        candidate("b", ""),
        leaving("c"),
        candidate("d", ""),
        candidate("e", ""),
        candidate("f", ""),
    ];
    expect_that!(plan_successor(&set(4, &["a", "b", "c", "d", "e"]), &five, |_| 0), none());
    // If another member is down, the leaving one is replaced; an unreachable member takes precedence over it.
    let down = [
        Candidate { is_up: false, ..candidate("a", "") },
        candidate("b", ""),
        leaving("c"),
        candidate("d", ""),
        candidate("e", ""),
        candidate("f", ""),
    ];
    let next = plan_successor(&set(4, &["a", "b", "c", "d", "e"]), &down, |_| 0);
    expect_that!((has(&next, "c"), has(&next, "f")), eq((false, true)));
    let unreachable_us = |addr: &str| if addr == "a" { REPLACE_AFTER_US } else { 0 };
    let next = plan_successor(&set(4, &["a", "b", "c", "d", "e"]), &down, unreachable_us);
    expect_that!((has(&next, "a"), has(&next, "c")), eq((false, true)));
}

#[gtest]
fn given_replies_to_other_requests_or_from_non_members_then_they_are_ignored() {
    let from = set(1, &["a", "b", "c"]);
    let mut change = VoterSetChange::new(7, 300, from, set(2, &["a", "b", "x"]), 0);
    for (voter, request) in [("b", 6), ("b", 300), ("x", 7)] {
        expect_that!(change.handle_prepared(voter, request, true, 300, None), none());
    }
    expect_that!(change.handle_prepared("b", 6, false, 900, None), none());
    change.handle_prepared("a", 7, true, 300, None);
    let is_preparing =
        |msgs: &[(String, Message)]| msgs.iter().all(|(_, msg)| matches!(msg, Message::PrepareSuccessor { .. }));
    expect_that!(
        is_preparing(&change.tick(1_000_000).unwrap_or_default()),
        eq(true),
        "one voter of three has answered"
    );
}

#[gtest]
fn given_several_incarnations_then_their_request_ids_are_disjoint() {
    let numbers = |incarnation: u64| {
        let mut proposer = wv_consensus::Proposer::new(incarnation);
        (0..1_000).map(|_| proposer.next_request()).collect::<std::collections::BTreeSet<u64>>()
    };
    let incarnations: Vec<_> = [1u64, 2, 3, 77, 1 << 63, u64::MAX].map(numbers).into_iter().collect();
    for (at, one) in incarnations.iter().enumerate() {
        expect_that!(one.contains(&0), eq(false));
        expect_that!(incarnations[at + 1..].iter().any(|other| !one.is_disjoint(other)), eq(false));
    }
}
