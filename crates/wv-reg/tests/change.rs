//! Stories of agreeing on the next set of voters, word by word.
use googletest::prelude::*;
use wv_inner::{Member, Msg, Voters};
use wv_reg::{plan, Change, Core, End, AWAY_US};

fn set(number: u64, addrs: &[&str]) -> Voters {
    let members = addrs.iter().map(|addr| Member { addr: (*addr).to_owned(), disk: 0 }).collect();
    Voters { number, members }
}

fn cores(all: &[(&str, u64, bool)]) -> Vec<Core> {
    let core = |(addr, disk, is_up): &(&str, u64, bool)| Core {
        member: Member { addr: (*addr).to_owned(), disk: *disk },
        is_up: *is_up,
        is_ready: true,
        ..Core::default()
    };
    all.iter().map(core).collect()
}

/// The set is sealed and handed over as it must be before anything is proposed.
fn proposed(change: &mut Change, request: u64, holders: [&str; 2]) -> Option<Voters> {
    let is_settling = |msgs: &[(String, Msg)]| msgs.iter().any(|(_, msg)| matches!(msg, Msg::Settle { .. }));
    for voter in ["a", "b"] {
        expect_that!(is_settling(&change.tick(0).unwrap_or_default()), eq(false));
        expect_that!(change.sealed(voter, request, true), none());
    }
    for member in holders {
        expect_that!(is_settling(&change.tick(0).unwrap_or_default()), eq(false));
        change.fetched(member, request);
    }
    change.tick(0).ok()?.into_iter().find_map(|(_, msg)| match msg {
        Msg::Settle { next, .. } => Some(next),
        _ => None,
    })
}

#[gtest]
fn given_a_successor_that_some_voter_accepted_then_the_next_claimer_proposes_it_and_not_its_own() {
    let from = set(1, &["a", "b", "c"]);
    let (ours, older, newer) = (set(2, &["a", "b", "x"]), set(2, &["a", "c", "y"]), set(2, &["b", "c", "z"]));
    let mut change = Change::new(7, 300, from.clone(), ours.clone(), 0);
    expect_that!(change.claimed("a", 7, true, 300, Some((100, older))), none());
    expect_that!(change.claimed("b", 7, true, 300, Some((200, newer.clone()))), none());
    // Of several, the one under the highest fence: only that can have been settled.
    expect_that!(proposed(&mut change, 7, ["b", "c"]), some(eq(&newer)));
    expect_that!(change.settled("a", 7, true), none());
    expect_that!(change.settled("a", 7, true), none());
    expect_that!(change.settled("c", 7, true), some(eq(&End::Settled(newer))));
    // With nothing accepted before, its own.
    let mut change = Change::new(8, 400, from, ours.clone(), 0);
    change.claimed("b", 8, true, 400, None);
    change.claimed("c", 8, true, 400, None);
    expect_that!(proposed(&mut change, 8, ["a", "x"]), some(eq(&ours)));
    expect_that!(change.settled("b", 8, false), some(matches_pattern!(End::Off { .. })));
}

#[gtest]
fn given_voters_lost_wiped_or_too_few_then_one_step_is_planned_and_nobody_is_dropped_for_nothing() {
    let voters = set(4, &["a", "b", "c"]);
    let all_up = |addr: &str| if addr == "gone" { AWAY_US } else { 0 };
    // A wiped disk comes back under its own address before any other newcomer.
    let found = plan(&voters, &cores(&[("a", 0, true), ("b", 9, true), ("c", 0, true), ("d", 5, true)]), all_up);
    let members = found.map(|next| next.members).unwrap_or_default();
    expect_that!(members.contains(&Member { addr: "b".to_owned(), disk: 9 }), eq(true));
    expect_that!(members.len(), eq(3));
    // Away for long, and nobody to take its place.
    let away = |addr: &str| if addr == "c" { AWAY_US } else { 0 };
    expect_that!(plan(&voters, &cores(&[("a", 0, true), ("b", 0, true)]), away), none());
    // One more core machine than voters makes no even set; two make a larger one.
    let four = cores(&[("a", 0, true), ("b", 0, true), ("c", 0, true), ("d", 5, true)]);
    expect_that!(plan(&voters, &four, all_up), none());
    let five = cores(&[("a", 0, true), ("b", 0, true), ("c", 0, true), ("d", 5, true), ("e", 6, true)]);
    expect_that!(plan(&voters, &five, all_up).map(|next| (next.number, next.members.len())), some(eq((5, 5))));
}
