//! Checks interleavings of voter set changes with the real voter states, plans, changes and stores.
mod change_model;

use change_model::{Setup, Without, World};
use googletest::prelude::*;
use wv_model_checker::{search, Model, SearchLimits};

const NO_FAULTS: Setup = Setup {
    without: Without::Nothing,
    nodes: 4,
    writes: 1,
    plans: 1,
    failures: 0,
    restarts: 0,
    disk_losses: 0,
    false_suspicions: 0,
    loses_replies: false,
    is_strict: false,
};

/// Limits the duration of the tests; `WV_MODEL_DEPTH` removes the limit.
const STATES: usize = 5_000;

/// Takes the steps with the given descriptions.
fn after_steps(mut world: World, steps: &[&str]) -> World {
    for description in steps {
        let step = world.steps().into_iter().find(|step| format!("{step:?}") == *description);
        let step = step.unwrap_or_else(|| panic!("{description}: step is not possible"));
        world.apply(&step).and_then(|()| world.check()).unwrap_or_else(|fault| panic!("{description}: {fault}"));
    }
    world
}

fn expect_no_fault(name: &str, world: World) {
    let seen = search(world, SearchLimits::with_env_override(99, STATES));
    println!("{}", seen.summary(name));
    expect_that!(seen.violation.map(|found| found.fault), none(), "{name}");
}

/// Expects the fault, found by the given shortest path after `before`, without the guard, and no fault with it.
fn expect_fault(setup: Setup, before: &[&str], fault: &str, expected_steps: &[&str]) {
    let seen = search(after_steps(World::new(setup), before), SearchLimits { depth: 99, states: 100_000 });
    println!("{}", seen.summary(&format!("without {:?}", setup.without)));
    let Some(found) = seen.violation else { panic!("{:?} is not detected", setup.without) };
    let steps: Vec<String> = found.steps.iter().map(|step| format!("{step:?}")).collect();
    expect_that!(found.fault, eq(fault));
    expect_that!(steps, eq(expected_steps));
    let guarded = Setup { without: Without::Nothing, is_strict: false, ..setup };
    expect_no_fault("guarded", after_steps(World::new(guarded), before));
}

/// The second set, `a b d` without `c`, is accepted and known only to `a` and `d`.
const SECOND: [&str; 11] = [
    "d catches up from a",
    "a plans without c",
    "a prepares a",
    "a prepares b",
    "a seals a",
    "a seals b",
    "a hands over to a",
    "a hands over to d",
    "a proposes to a",
    "a proposes to b",
    "a informs d",
];

#[gtest]
fn given_one_or_two_failed_members_at_any_step_then_acknowledged_writes_are_kept_and_the_set_makes_progress() {
    expect_no_fault("one loss", World::new(Setup { failures: 1, ..NO_FAULTS }));
    expect_no_fault("two losses", World::new(Setup { failures: 2, ..NO_FAULTS }));
    expect_no_fault("two losses, nothing written", World::new(Setup { failures: 2, writes: 0, ..NO_FAULTS }));
}

#[gtest]
fn given_a_member_that_restarts_at_any_step_with_or_without_its_disk_then_the_same_holds() {
    expect_no_fault("a failure and a restart", World::new(Setup { failures: 1, restarts: 1, ..NO_FAULTS }));
    expect_no_fault(
        "two losses, a disk is replaced",
        World::new(Setup { failures: 2, disk_losses: 1, nodes: 3, ..NO_FAULTS }),
    );
}

#[gtest]
fn given_a_member_that_leaves_or_is_wrongly_considered_lost_then_the_same_holds() {
    expect_no_fault("a leaving member", World::new(Setup { false_suspicions: 1, ..NO_FAULTS }));
    expect_no_fault(
        "a leaving member, nothing written",
        World::new(Setup { false_suspicions: 1, writes: 0, ..NO_FAULTS }),
    );
    expect_no_fault(
        "a leaving member and a loss",
        World::new(Setup { false_suspicions: 1, failures: 1, writes: 0, ..NO_FAULTS }),
    );
}

#[gtest]
fn given_two_coordinators_or_lost_replies_then_one_successor_is_accepted() {
    expect_no_fault("two plans and a loss", World::new(Setup { plans: 2, failures: 1, writes: 0, ..NO_FAULTS }));
    expect_no_fault(
        "two plans, two leaving members",
        World::new(Setup { plans: 2, false_suspicions: 2, writes: 0, ..NO_FAULTS }),
    );
    expect_no_fault(
        "lost replies",
        World::new(Setup { false_suspicions: 1, writes: 0, loses_replies: true, ..NO_FAULTS }),
    );
}

#[gtest]
fn given_a_second_set_known_to_few_nodes_then_a_third_follows_despite_any_failure() {
    let setup = Setup { nodes: 5, plans: 2, false_suspicions: 1, failures: 1, ..NO_FAULTS };
    expect_no_fault("a loss after the second set", after_steps(World::new(setup), &SECOND));
    let setup = Setup { nodes: 5, plans: 2, false_suspicions: 2, failures: 1, writes: 0, ..NO_FAULTS };
    expect_no_fault("a leaving member after the second set", after_steps(World::new(setup), &SECOND));
}

#[gtest]
fn given_candidates_that_have_not_caught_up_then_a_change_only_takes_longer() {
    expect_no_fault(
        "candidates that have not caught up",
        World::new(Setup { without: Without::CaughtUp, failures: 2, ..NO_FAULTS }),
    );
}

#[gtest]
fn given_a_successor_accepted_without_handover_then_the_model_finds_that_neither_set_makes_progress() {
    let steps = [
        "a fails",
        "d catches up from b",
        "b plans",
        "b prepares b",
        "b prepares c",
        "b proposes to b",
        "b proposes to c",
        "c fails",
    ];
    let setup = Setup { without: Without::Handover, failures: 2, writes: 0, ..NO_FAULTS };
    expect_fault(setup, &[], "set 2 has a majority up and cannot make progress", &steps);
}

#[gtest]
fn given_voters_that_keep_voting_in_a_sealed_set_then_the_model_finds_it() {
    let steps = [
        "a fails",
        "d catches up from b",
        "b plans",
        "b prepares b",
        "b prepares c",
        "b seals b",
        "b seals c",
        "b hands over to b",
        "b hands over to d",
        "b proposes to b",
        "b proposes to c",
        "b informs d",
    ];
    expect_fault(
        Setup { without: Without::Seal, failures: 1, ..NO_FAULTS },
        &[],
        "sets 1 and 2 both have a voting majority",
        &steps,
    );
}

#[gtest]
fn given_a_coordinator_that_ignores_accepted_successors_then_the_model_finds_it() {
    let before = [&SECOND[..10], &["b plans without a", "b prepares b", "b prepares c"]].concat();
    let steps =
        ["b seals b", "b seals c", "b hands over to b", "b hands over to c", "b proposes to b", "b proposes to c"];
    let setup = Setup { without: Without::AcceptedSuccessor, plans: 2, false_suspicions: 2, writes: 0, ..NO_FAULTS };
    expect_fault(setup, &before, "two different sets have number 2", &steps);
}

#[gtest]
fn given_a_voter_that_accepts_under_a_fence_below_one_it_has_seen_then_the_model_finds_it() {
    let rival = [
        "b plans without a",
        "b prepares b",
        "b prepares c",
        "b seals b",
        "b seals c",
        "b hands over to b",
        "b hands over to d",
    ];
    let before = [&SECOND[..9], &rival].concat();
    let steps = ["a proposes to b", "b proposes to b", "b proposes to c"];
    let setup = Setup { without: Without::Fence, plans: 2, false_suspicions: 2, writes: 0, ..NO_FAULTS };
    expect_fault(setup, &before, "two different sets have number 2", &steps);
}

#[gtest]
fn given_a_lost_disk_that_comes_back_under_the_same_id_then_the_model_finds_it() {
    let steps = ["a accepts a write", "a fails", "b accepts a write", "a restarts without its disk"];
    let setup = Setup { without: Without::NewDiskId, failures: 1, disk_losses: 1, ..NO_FAULTS };
    expect_fault(setup, &[], "a majority of set 1 lacks an acknowledged write", &steps);
}

/// A known limitation: the set is accepted while no node that knows of it is left.
#[gtest]
fn given_a_set_known_only_to_its_coordinator_that_fails_then_the_known_limitation_is_found() {
    let setup = Setup { is_strict: true, failures: 2, writes: 0, ..NO_FAULTS };
    let steps = [
        "a fails",
        "d catches up from b",
        "b plans",
        "b prepares b",
        "b prepares c",
        "b seals b",
        "b seals c",
        "b hands over to b",
        "b hands over to c",
        "b proposes to b",
        "b fails",
        "b proposes to c, reply lost",
    ];
    expect_fault(setup, &[], "set 2 has a majority up and cannot make progress", &steps);
}
