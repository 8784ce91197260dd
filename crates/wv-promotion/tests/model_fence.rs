//! All interleavings of a few promotions by nodes that take the duty from each other: the real duties.
mod fence_model;

use fence_model::{Setup, Without, World};
use googletest::prelude::*;
use wv_model_checker::{search, Bound};

const FENCED: Setup =
    Setup { without: Without::Nothing, nodes: 2, is_fencing: true, is_prompt: false, turns: 1, lapses: 0, tries: 1 };
const OPEN: Setup = Setup { is_fencing: false, ..FENCED };

/// As many states as take some seconds in all; `WV_MODEL_DEPTH` takes the bound away.
const STATES: usize = 20_000;

fn holds(name: &str, setup: Setup) {
    let seen = search(World::new(setup), Bound::of(99, STATES));
    println!("{}", seen.line(name));
    expect_that!(seen.found.map(|found| found.fault), none(), "{name}");
}

/// A node comes to hold the duty, looks and claims, as far as the register.
fn claims(node: &str) -> Vec<String> {
    let ways = ["{} ticks", "{} hears of r", "{} ticks", "{} hears of p", "{}'s claim is decided"];
    ways.iter().map(|way| way.replace("{}", node)).collect()
}

/// What is broken, and the shortest way there: `claim n0` stands for what comes before and with a claim.
fn breaks(setup: Setup, fault: &str, story: &[&str]) {
    let seen = search(World::new(setup), Bound { depth: 99, states: 100_000 });
    println!("{}", seen.line(&format!("without {:?}", setup.without)));
    let Some(found) = seen.found else { panic!("{:?} is not missed", setup.without) };
    let steps: Vec<String> = found.steps.iter().map(|step| format!("{step:?}")).collect();
    expect_that!(found.fault, eq(fault));
    let told = |reply: &&str| reply.strip_prefix("claim ").map_or(vec![(*reply).to_owned()], claims);
    expect_that!(steps, eq(&story.iter().flat_map(told).collect::<Vec<String>>()));
}

#[gtest]
fn given_a_platform_that_checks_then_nothing_older_is_accepted_once_a_successor_went_on() {
    holds("one succession", FENCED);
    holds("one succession, limits run out", Setup { lapses: 1, ..FENCED });
    holds("two successions", Setup { turns: 2, ..FENCED });
    holds("three holders", Setup { turns: 2, nodes: 3, ..FENCED });
}

#[gtest]
fn given_a_platform_that_checks_nothing_and_calls_right_after_their_confirmation_then_fences_only_rise() {
    holds("unchecked, prompt", Setup { is_prompt: true, ..OPEN });
    holds("unchecked, prompt, two successions, limits run out", Setup { is_prompt: true, turns: 2, lapses: 1, ..OPEN });
}

/// What is not promised: no protocol without clocks can take back a call that waits in a frozen process.
#[gtest]
fn given_a_platform_that_checks_nothing_and_a_freeze_between_confirmation_and_call_then_the_window_is_found() {
    breaks(
        OPEN,
        "fence 1 is sent after 2",
        &[
            "claim n0",
            "n0 hears its claim of 1",
            "n0 hears of r",
            "n0's fence is read",
            "n0 hears that its fence stands",
            "the duty goes to n1",
            "claim n1",
            "n1 hears its claim of 2",
            "n1 hears of r",
            "n1's fence is read",
            "n1 hears that its fence stands",
            "n1 calls under 2",
            "n0 calls under 1",
        ],
    );
}

/// A claim's answer that comes late shows no fence that another has risen above.
#[gtest]
fn given_a_show_of_a_fence_then_it_is_confirmed_like_any_call() {
    holds("unchecked, prompt, three holders", Setup { is_prompt: true, turns: 2, nodes: 3, ..OPEN });
}

#[gtest]
fn given_calls_that_nobody_confirms_then_the_model_finds_it() {
    let setup = Setup { without: Without::Confirm, is_prompt: true, ..OPEN };
    breaks(
        setup,
        "fence 1 is sent after 2",
        &[
            "claim n0",
            "n0 hears its claim of 1",
            "n0 hears of r",
            "the duty goes to n1",
            "claim n1",
            "n1 hears its claim of 2",
            "n1 hears of r",
            "n1 hears that its fence stands",
            "n0 hears that its fence stands",
        ],
    );
}

#[gtest]
fn given_claims_that_leave_the_fence_then_the_model_finds_it() {
    breaks(
        Setup { without: Without::Rise, ..FENCED },
        "two holders call under fence 1",
        &[
            "claim n0",
            "n0 hears its claim of 1",
            "n0 hears of r",
            "n0's fence is read",
            "n0 hears that its fence stands",
            "the duty goes to n1",
            "claim n1",
            "n1 hears its claim of 1",
            "n0 calls under 1",
            "n1 hears of r",
            "n1's fence is read",
            "n1 hears that its fence stands",
            "n1 calls under 1",
        ],
    );
}

#[gtest]
fn given_a_successor_that_does_not_show_its_fence_before_it_looks_then_the_model_finds_it() {
    let fault = "fence 1 is accepted after the holder of 2 went on";
    breaks(
        Setup { without: Without::Show, ..FENCED },
        fault,
        &[
            "claim n0",
            "n0 hears its claim of 1",
            "n0 hears of r",
            "n0's fence is read",
            "n0 hears that its fence stands",
            "the duty goes to n1",
            "claim n1",
            "n1 hears its claim of 2",
            "n0 calls under 1",
        ],
    );
}
