//! Explores all interleavings of promotions by nodes that take over the duty from each other.
mod fence_model;

use fence_model::{Disabled, Setup, World};
use googletest::prelude::*;
use wv_model_checker::{search, SearchLimits};

const CHECKED: Setup = Setup {
    disabled: Disabled::None,
    nodes: 2,
    checks_fences: true,
    calls_at_once: false,
    handovers: 1,
    timeouts: 0,
    retries: 1,
};
const UNCHECKED: Setup = Setup { checks_fences: false, ..CHECKED };

/// Bound of the explored states, lifted by `WV_MODEL_DEPTH`.
const STATES_MAX: usize = 20_000;

fn assert_safe(name: &str, setup: Setup) {
    let result = search(World::new(setup), SearchLimits::with_env_override(99, STATES_MAX));
    println!("{}", result.summary(name));
    expect_that!(result.violation.map(|found| found.fault), none(), "{name}");
}

/// The steps from a node becoming duty holder to the decision of its claim by the register, if no call is recorded.
const CLAIM_STEPS: [&str; 6] = [
    "{} ticks",
    "{} receives the recorded calls",
    "{} receives the status of r",
    "{} ticks",
    "{} receives the status of p",
    "{}'s claim is decided",
];

/// The same if a call is recorded: the node claims the fence at once.
const TAKEOVER_STEPS: [&str; 4] =
    ["{} ticks", "{} receives the recorded calls", "{} receives the status of r", "{}'s claim is decided"];

/// Expands `claim n0` and `takeover n0`.
fn expand(step: &str) -> Vec<String> {
    let for_node = |steps: &[&str], node: &str| steps.iter().map(|step| step.replace("{}", node)).collect();
    let claim = step.strip_prefix("claim ").map(|node| for_node(&CLAIM_STEPS, node));
    let takeover = step.strip_prefix("takeover ").map(|node| for_node(&TAKEOVER_STEPS, node));
    claim.or(takeover).unwrap_or_else(|| vec![step.to_owned()])
}

/// Asserts the expected violation and the shortest steps to it.
fn assert_violation(setup: Setup, fault: &str, expected_steps: &[&str]) {
    let result = search(World::new(setup), SearchLimits { depth: 99, states: 100_000 });
    println!("{}", result.summary(&format!("disabled {:?}", setup.disabled)));
    let Some(found) = result.violation else { panic!("no violation with {:?} disabled", setup.disabled) };
    let steps: Vec<String> = found.steps.iter().map(|step| format!("{step:?}")).collect();
    expect_that!(found.fault, eq(fault));
    expect_that!(steps, eq(&expected_steps.iter().flat_map(|step| expand(step)).collect::<Vec<String>>()));
}

#[gtest]
fn given_a_platform_that_checks_fences_then_no_older_fence_is_accepted_once_a_newer_one_is_in_use() {
    assert_safe("one handover", CHECKED);
    assert_safe("one handover, timeouts", Setup { timeouts: 1, ..CHECKED });
    assert_safe("two handovers", Setup { handovers: 2, ..CHECKED });
    assert_safe("three nodes", Setup { handovers: 2, nodes: 3, ..CHECKED });
}

#[gtest]
fn given_no_fence_checks_and_calls_at_once_after_confirmation_then_fences_only_increase() {
    assert_safe("unchecked, calls at once", Setup { calls_at_once: true, ..UNCHECKED });
    assert_safe(
        "unchecked, calls at once, two handovers, timeouts",
        Setup { calls_at_once: true, handovers: 2, timeouts: 1, ..UNCHECKED },
    );
}

/// Not guaranteed without fence checks: a call may still be sent by a process that was paused after the confirmation.
#[gtest]
fn given_no_fence_checks_and_a_pause_between_confirmation_and_call_then_the_violation_is_found() {
    assert_violation(
        UNCHECKED,
        "fence 1 is sent after fence 2",
        &[
            "claim n0",
            "n0 receives its claim of fence 1",
            "n0 receives the status of r",
            "n0's confirmation is read",
            "n0 receives the confirmation of its fence",
            "the duty moves to n1",
            "takeover n1",
            "n1 receives its claim of fence 2",
            "n1 receives the status of r",
            "n1's confirmation is read",
            "n1 receives the confirmation of its fence",
            "n1 calls with fence 2",
            "n0 calls with fence 1",
        ],
    );
}

/// A late reply to a claim must not present a fence that is lower than another node's.
#[gtest]
fn given_a_presented_fence_then_it_is_confirmed_like_any_call() {
    assert_safe(
        "unchecked, calls at once, three nodes",
        Setup { calls_at_once: true, handovers: 2, nodes: 3, ..UNCHECKED },
    );
}

#[gtest]
fn given_unconfirmed_calls_then_the_violation_is_found() {
    let setup = Setup { disabled: Disabled::Confirmation, calls_at_once: true, ..UNCHECKED };
    assert_violation(
        setup,
        "fence 1 is sent after fence 2",
        &[
            "claim n0",
            "n0 receives its claim of fence 1",
            "n0 receives the status of r",
            "the duty moves to n1",
            "takeover n1",
            "n1 receives its claim of fence 2",
            "n1 receives the status of r",
            "n1 receives the confirmation of its fence",
            "n0 receives the confirmation of its fence",
        ],
    );
}

#[gtest]
fn given_claims_that_do_not_increment_the_fence_then_the_violation_is_found() {
    assert_violation(
        Setup { disabled: Disabled::FenceIncrement, ..CHECKED },
        "two nodes call with fence 1",
        &[
            "claim n0",
            "n0 receives its claim of fence 1",
            "n0 receives the status of r",
            "n0's confirmation is read",
            "n0 receives the confirmation of its fence",
            "the duty moves to n1",
            "takeover n1",
            "n1 receives its claim of fence 1",
            "n0 calls with fence 1",
            "n1 receives the status of r",
            "n1's confirmation is read",
            "n1 receives the confirmation of its fence",
            "n1 calls with fence 1",
        ],
    );
}

#[gtest]
fn given_a_new_duty_holder_that_does_not_present_its_fence_then_the_violation_is_found() {
    let fault = "fence 1 is accepted after fence 2 was in use";
    assert_violation(
        Setup { disabled: Disabled::FencePresentation, ..CHECKED },
        fault,
        &[
            "claim n0",
            "n0 receives its claim of fence 1",
            "n0 receives the status of r",
            "n0's confirmation is read",
            "n0 receives the confirmation of its fence",
            "the duty moves to n1",
            "claim n1",
            "n1 receives its claim of fence 2",
            "n0 calls with fence 1",
        ],
    );
}
