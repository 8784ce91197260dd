//! All interleavings of a few operations on one register: the real proposers over the real disks.
mod register_model;

use googletest::prelude::*;
use register_model::{Setup, Verdict, Wish, Without, World};
use wv_internal_protocol::RegisterValue;
use wv_model_checker::{search, Bound};

/// What `raise` tells of an order: no digests are kept, so an overtaken one may have been taken.
fn verdict(cell: &RegisterValue, number: u64, content: u8) -> Verdict {
    match cell.version.cmp(&number) {
        std::cmp::Ordering::Less => Verdict::Unknown,
        std::cmp::Ordering::Greater => Verdict::Overtaken,
        std::cmp::Ordering::Equal if cell.bytes.first() == Some(&content) => Verdict::Taken,
        std::cmp::Ordering::Equal => Verdict::Lost,
    }
}

fn setup(wishes: &[&[Wish]]) -> Setup {
    Setup {
        without: Without::Nothing,
        edit: |number, content| wv_consensus::write_if_newer(wv_consensus::register_value(number, vec![content])),
        verdict,
        wishes: wishes.iter().map(|wishes| wishes.to_vec()).collect(),
        rests: 0,
        crashes: 0,
        restarts: 0,
        wipes: 0,
        is_late: false,
    }
}

/// As many states as take some seconds in all; `WV_MODEL_DEPTH` takes the bound away.
const STATES: usize = 5_000;

fn holds(name: &str, setup: Setup) {
    let seen = search(World::new(setup), Bound::of(99, STATES));
    println!("{}", seen.line(name));
    expect_that!(seen.found.map(|found| found.fault), none(), "{name}");
}

/// What is broken without the guard, and the shortest way there.
fn breaks(without: Without, setup: Setup, fault: &str, story: &[&str]) {
    let wishes: Vec<&[Wish]> = setup.wishes.iter().map(Vec::as_slice).collect();
    // With the guard nothing of the same kind is ever broken.
    let guarded = Setup { without: Without::Nothing, wishes: setup.wishes.clone(), ..setup };
    holds(&format!("guarded: {wishes:?}"), guarded);
    let seen = search(World::new(Setup { without, ..setup }), Bound { depth: 99, states: 100_000 });
    println!("{}", seen.line(&format!("without {without:?}")));
    let Some(found) = seen.found else { panic!("{without:?} is not missed") };
    let steps: Vec<String> = found.steps.iter().map(|step| format!("{step:?}")).collect();
    expect_that!(found.fault, eq(fault));
    expect_that!(steps, eq(story));
}

const W: fn(u64, u8) -> Wish = Wish::Write;
const R: Wish = Wish::Read;

#[gtest]
fn given_two_writers_of_one_number_then_it_has_one_value_whatever_is_lost_doubled_or_late() {
    holds("two writers, a pause", Setup { rests: 1, ..setup(&[&[W(1, 1)], &[W(1, 2)]]) });
    holds("two writers, late answers", Setup { is_late: true, ..setup(&[&[W(1, 1)], &[W(1, 2)]]) });
}

#[gtest]
fn given_three_writers_of_one_number_then_it_has_one_value() {
    holds("three writers", setup(&[&[W(1, 1)], &[W(1, 2)], &[W(1, 3)]]));
}

#[gtest]
fn given_following_numbers_and_readers_then_what_was_shown_once_is_seen_by_all_that_ask_later() {
    holds("following numbers at two, each read", setup(&[&[W(1, 1), R], &[W(2, 2), R]]));
    holds("following numbers at one, read at another", setup(&[&[W(1, 1), W(2, 2)], &[R, R]]));
    holds("a write, reads, late answers", Setup { is_late: true, ..setup(&[&[W(1, 1)], &[R, R]]) });
}

#[gtest]
fn given_long_values_that_voters_do_not_send_again_then_the_same_holds() {
    let edit: fn(u64, u8) -> wv_consensus::UpdateFn =
        |number, content| wv_consensus::write_if_newer(wv_consensus::register_value(number, vec![content; 1_024]));
    holds("long values", Setup { edit, ..setup(&[&[W(1, 1), R], &[R, W(2, 2)]]) });
}

#[gtest]
fn given_a_proposer_that_starts_anew_then_its_former_life_neither_votes_nor_answers_for_it() {
    holds("a new life asks again", Setup { crashes: 1, ..setup(&[&[W(1, 1), W(1, 1)], &[R, R]]) });
    holds("a new life and a rival", Setup { crashes: 1, ..setup(&[&[W(1, 1), W(1, 1)], &[W(1, 2)]]) });
}

#[gtest]
fn given_a_voter_that_restarts_or_loses_its_disk_then_the_others_hold_what_was_acknowledged() {
    let wishes: &[&[Wish]] = &[&[W(1, 1), R], &[W(1, 2)]];
    holds("a restart and a lost disk", Setup { restarts: 1, wipes: 1, ..setup(wishes) });
}

#[gtest]
fn given_voters_that_take_what_is_below_their_promise_then_the_model_finds_it() {
    let steps = [
        "p0 writes 1:1",
        "p1 writes 1:2",
        "p0 prepares a",
        "p0 prepares b",
        "p1 prepares a",
        "p1 prepares b",
        "p1 proposes to a",
        "p0 proposes to a",
    ];
    breaks(Without::Promise, setup(&[&[W(1, 1)], &[W(1, 2)]]), "ballots of a fall", &steps);
}

#[gtest]
fn given_a_promise_that_a_restart_forgets_then_the_model_finds_it() {
    let steps = [
        "p0 writes 1:1",
        "p1 writes 1:2",
        "p0 prepares a",
        "p0 prepares b",
        "p1 prepares a",
        "p1 prepares b",
        "p0 proposes to c",
        "p1 proposes to a",
        "p1 proposes to c",
        "b restarts",
        "p0 proposes to b",
    ];
    let setup = Setup { restarts: 1, ..setup(&[&[W(1, 1)], &[W(1, 2)]]) };
    breaks(Without::KeptPromise, setup, "two values of number 1", &steps);
}

#[gtest]
fn given_reads_that_show_what_no_majority_holds_then_the_model_finds_it() {
    let steps = [
        "p0 writes 1:1",
        "p1 reads",
        "p0 prepares a",
        "p0 prepares b",
        "p0 proposes to a",
        "p1 looks at a",
        "p1 looks at b",
        "p1 reads",
        "p1 looks at b",
        "p1 looks at c",
    ];
    let fault = "0 is shown though 1 was shown before it was asked for";
    breaks(Without::SettledRead, setup(&[&[W(1, 1)], &[R, R]]), fault, &steps);
}

#[gtest]
fn given_two_lives_with_the_same_ballots_then_the_model_finds_it() {
    let steps = [
        "p0 writes 1:1",
        "p0 prepares a",
        "p0 prepares b",
        "p0 starts anew",
        "p0 writes 1:2",
        "p0 prepares a",
        "p0 prepares b",
    ];
    let setup = Setup { crashes: 1, ..setup(&[&[W(1, 1), W(1, 2)]]) };
    breaks(Without::OwnBallots, setup, "one ballot with two cells", &steps);
}

#[gtest]
fn given_proposers_that_pass_over_what_was_accepted_then_the_model_finds_it() {
    let steps = [
        "p0 writes 1:1",
        "p1 writes 1:2",
        "p0 prepares a",
        "p0 prepares b",
        "p1 prepares a",
        "p0 proposes to b",
        "p1 prepares b",
        "p0 proposes to c",
        "p1 proposes to a",
        "p1 proposes to b",
    ];
    breaks(Without::Copies, setup(&[&[W(1, 1)], &[W(1, 2)]]), "two values of number 1", &steps);
}

#[gtest]
fn given_a_word_that_counts_for_two_voters_then_the_model_finds_it() {
    let steps = ["p0 writes 1:1", "p0 prepares a", "p0 proposes to a", "p0 reads", "p0 looks at b"];
    let fault = "0 is shown though 1 was shown before it was asked for";
    breaks(Without::OneVote, setup(&[&[W(1, 1), R]]), fault, &steps);
}

#[gtest]
fn given_a_lost_disk_that_votes_on_as_the_same_member_then_the_model_finds_it() {
    let steps = [
        "p0 writes 1:1",
        "p0 prepares a",
        "p0 prepares b",
        "p0 proposes to a",
        "p0 proposes to b",
        "p0 reads",
        "p0 looks at c",
        "a loses its disk",
        "p0 looks at a",
    ];
    let fault = "0 is shown though 1 was shown before it was asked for";
    breaks(Without::Member, Setup { wipes: 1, ..setup(&[&[W(1, 1), R]]) }, fault, &steps);
}
