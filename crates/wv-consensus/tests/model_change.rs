//! All interleavings of a few steps in which voters change: the real seats, plans, attempts and disks.
mod change_model;

use change_model::{Setup, Without, World};
use googletest::prelude::*;
use wv_model_checker::{search, Bound, Model};

const CALM: Setup = Setup {
    without: Without::Nothing,
    nodes: 4,
    writes: 1,
    plans: 1,
    falls: 0,
    rises: 0,
    wipes: 0,
    doubts: 0,
    is_lossy: false,
    is_strict: false,
};

/// As many states as take some seconds in all; `WV_MODEL_DEPTH` takes the bound away.
const STATES: usize = 5_000;

/// Goes a way that is told in words.
fn gone(mut world: World, story: &[&str]) -> World {
    for word in story {
        let step = world.steps().into_iter().find(|step| format!("{step:?}") == *word);
        let step = step.unwrap_or_else(|| panic!("{word}: not now"));
        world.take(&step).and_then(|()| world.check()).unwrap_or_else(|fault| panic!("{word}: {fault}"));
    }
    world
}

fn holds(name: &str, world: World) {
    let seen = search(world, Bound::of(99, STATES));
    println!("{}", seen.line(name));
    expect_that!(seen.found.map(|found| found.fault), none(), "{name}");
}

/// What is broken without the guard, and the shortest way there from where `before` leads; with it, nothing.
fn breaks(setup: Setup, before: &[&str], fault: &str, story: &[&str]) {
    let seen = search(gone(World::new(setup), before), Bound { depth: 99, states: 100_000 });
    println!("{}", seen.line(&format!("without {:?}", setup.without)));
    let Some(found) = seen.found else { panic!("{:?} is not missed", setup.without) };
    let steps: Vec<String> = found.steps.iter().map(|step| format!("{step:?}")).collect();
    expect_that!(found.fault, eq(fault));
    expect_that!(steps, eq(story));
    let guarded = Setup { without: Without::Nothing, is_strict: false, ..setup };
    holds("guarded", gone(World::new(guarded), before));
}

/// The second set is settled and known to its planner alone: `a b d`, for which `c` was dropped.
const SECOND: [&str; 11] = [
    "d takes over from a",
    "a plans without c",
    "a claims a",
    "a claims b",
    "a seals a",
    "a seals b",
    "a hands to a",
    "a hands to d",
    "a settles a",
    "a settles b",
    "a tells d",
];

#[gtest]
fn given_a_member_that_is_lost_and_another_at_any_step_then_what_was_acknowledged_is_kept_and_the_set_goes_on() {
    holds("one loss", World::new(Setup { falls: 1, ..CALM }));
    holds("two losses", World::new(Setup { falls: 2, ..CALM }));
    holds("two losses, nothing written", World::new(Setup { falls: 2, writes: 0, ..CALM }));
}

#[gtest]
fn given_a_member_that_comes_back_at_any_step_with_its_disk_or_without_then_the_same_holds() {
    holds("a loss and a return", World::new(Setup { falls: 1, rises: 1, ..CALM }));
    holds("two losses, a disk comes back empty", World::new(Setup { falls: 2, wipes: 1, nodes: 3, ..CALM }));
}

#[gtest]
fn given_a_member_that_leaves_or_is_taken_for_lost_while_it_lives_then_the_same_holds() {
    holds("one that leaves", World::new(Setup { doubts: 1, ..CALM }));
    holds("one that leaves, nothing written", World::new(Setup { doubts: 1, writes: 0, ..CALM }));
    holds("one that leaves and a loss", World::new(Setup { doubts: 1, falls: 1, writes: 0, ..CALM }));
}

#[gtest]
fn given_two_planners_or_lost_answers_then_one_successor_is_settled() {
    holds("two plans and a loss", World::new(Setup { plans: 2, falls: 1, writes: 0, ..CALM }));
    holds("two plans, two that leave", World::new(Setup { plans: 2, doubts: 2, writes: 0, ..CALM }));
    holds("lost answers", World::new(Setup { doubts: 1, writes: 0, is_lossy: true, ..CALM }));
}

#[gtest]
fn given_a_second_set_that_few_know_then_it_is_followed_by_a_third_whatever_is_lost() {
    let setup = Setup { nodes: 5, plans: 2, doubts: 1, falls: 1, ..CALM };
    holds("a loss after the second set", gone(World::new(setup), &SECOND));
    let setup = Setup { nodes: 5, plans: 2, doubts: 2, falls: 1, writes: 0, ..CALM };
    holds("one that leaves after the second set", gone(World::new(setup), &SECOND));
}

#[gtest]
fn given_newcomers_that_have_learnt_nothing_then_a_change_only_takes_longer() {
    holds("newcomers that have learnt nothing", World::new(Setup { without: Without::Ready, falls: 2, ..CALM }));
}

#[gtest]
fn given_a_successor_that_is_settled_before_it_holds_anything_then_the_model_finds_that_neither_set_goes_on() {
    let story = [
        "a falls",
        "d takes over from b",
        "b plans",
        "b claims b",
        "b claims c",
        "b settles b",
        "b settles c",
        "c falls",
    ];
    let setup = Setup { without: Without::Handover, falls: 2, writes: 0, ..CALM };
    breaks(setup, &[], "set 2 has a majority up and never answers again", &story);
}

#[gtest]
fn given_voters_that_go_on_though_they_are_sealed_then_the_model_finds_it() {
    let story = [
        "a falls",
        "d takes over from b",
        "b plans",
        "b claims b",
        "b claims c",
        "b seals b",
        "b seals c",
        "b hands to b",
        "b hands to d",
        "b settles b",
        "b settles c",
        "b tells d",
    ];
    breaks(Setup { without: Without::Seal, falls: 1, ..CALM }, &[], "sets 1 and 2 both answer", &story);
}

#[gtest]
fn given_a_planner_that_passes_over_what_was_accepted_then_the_model_finds_it() {
    let before = [&SECOND[..10], &["b plans without a", "b claims b", "b claims c"]].concat();
    let story = ["b seals b", "b seals c", "b hands to b", "b hands to c", "b settles b", "b settles c"];
    let setup = Setup { without: Without::Accepted, plans: 2, doubts: 2, writes: 0, ..CALM };
    breaks(setup, &before, "two sets have the number 2", &story);
}

#[gtest]
fn given_a_voter_that_accepts_under_a_fence_below_one_it_has_seen_then_the_model_finds_it() {
    let rival =
        ["b plans without a", "b claims b", "b claims c", "b seals b", "b seals c", "b hands to b", "b hands to d"];
    let before = [&SECOND[..9], &rival].concat();
    let story = ["a settles b", "b settles b", "b settles c"];
    let setup = Setup { without: Without::Fence, plans: 2, doubts: 2, writes: 0, ..CALM };
    breaks(setup, &before, "two sets have the number 2", &story);
}

#[gtest]
fn given_a_lost_disk_that_comes_back_under_its_number_then_the_model_finds_it() {
    let story = ["a is written", "a falls", "b is written", "a comes back without its disk"];
    let setup = Setup { without: Without::Disk, falls: 1, wipes: 1, ..CALM };
    breaks(setup, &[], "a majority of set 1 lacks what was acknowledged", &story);
}

/// What is not promised: a set that is settled while nobody is left who knows it.
#[gtest]
fn given_a_settled_set_that_only_its_planner_knew_and_the_planner_is_lost_then_the_window_is_found() {
    let setup = Setup { is_strict: true, falls: 2, writes: 0, ..CALM };
    let story = [
        "a falls",
        "d takes over from b",
        "b plans",
        "b claims b",
        "b claims c",
        "b seals b",
        "b seals c",
        "b hands to b",
        "b hands to c",
        "b settles b",
        "b falls",
        "b settles c unheard",
    ];
    breaks(setup, &[], "set 2 has a majority up and never answers again", &story);
}
