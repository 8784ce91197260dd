//! All interleavings of a few orders of operators on the register of the configuration: the real decision on orders
//! (`proposal.rs`) over the model of the register.
#[allow(dead_code)]
#[path = "../../wv-consensus/tests/register_model/mod.rs"]
mod register_model;

use googletest::prelude::*;
use register_model::{Setup, Verdict, Wish, Without, World};
use wv_control::proposal::{accept, digest, DecidedConfiguration, Proposal};
use wv_internal_protocol::RegisterValue;
use wv_model_checker::{search, Bound};

/// As many states as take some seconds in all; `WV_MODEL_DEPTH` takes the bound away.
const STATES: usize = 5_000;
const W: fn(u64, u8) -> Wish = Wish::Write;

fn order(number: u64, content: u8) -> Proposal {
    Proposal { number, digest: digest(&[content]) }
}

fn verdict(cell: &RegisterValue, number: u64, content: u8) -> Verdict {
    match DecidedConfiguration::read(cell).status(&order(number, content)) {
        wv_control::proposal::ProposalStatus::Accepted => Verdict::Taken,
        wv_control::proposal::ProposalStatus::Conflict => Verdict::Lost,
        wv_control::proposal::ProposalStatus::Superseded => Verdict::Never,
        wv_control::proposal::ProposalStatus::Unknown => Verdict::Unknown,
    }
}

fn setup(wishes: &[&[Wish]]) -> Setup {
    Setup {
        without: Without::Nothing,
        edit: |number, content| accept(order(number, content), vec![content]),
        verdict,
        wishes: wishes.iter().map(|wishes| wishes.to_vec()).collect(),
        rests: 0,
        crashes: 0,
        restarts: 0,
        wipes: 0,
        is_late: false,
    }
}

fn holds(name: &str, setup: Setup) {
    let seen = search(World::new(setup), Bound::of(99, STATES));
    println!("{}", seen.line(name));
    expect_that!(seen.found.map(|found| found.fault), none(), "{name}");
}

fn breaks(name: &str, setup: Setup, fault: &str) {
    let seen = search(World::new(setup), Bound { depth: 99, states: 100_000 });
    println!("{}", seen.line(name));
    expect_that!(seen.found.map(|found| found.fault), some(eq(fault)), "{name}");
}

#[gtest]
fn given_two_orders_of_one_number_and_their_repeats_then_the_one_is_taken_at_each_and_the_other_lost_at_each() {
    holds("orders of one number, both repeated", setup(&[&[W(1, 1), W(1, 1)], &[W(1, 2), W(1, 2)]]));
    holds("a repeat elsewhere", Setup { crashes: 1, ..setup(&[&[W(1, 1)], &[W(1, 2), W(1, 1)]]) });
}

#[gtest]
fn given_an_order_that_a_following_one_replaced_then_its_repeat_is_still_acknowledged() {
    holds("an overtaken order is repeated", setup(&[&[W(1, 1), W(2, 2), W(1, 1)], &[W(1, 3)]]));
    holds("orders of following numbers elsewhere", setup(&[&[W(1, 1), W(1, 1)], &[W(2, 2), W(1, 3)]]));
}

#[gtest]
fn given_a_register_that_tells_only_the_newest_order_then_the_model_finds_a_repeat_refused() {
    let wishes: &[&[Wish]] = &[&[W(1, 1), W(2, 2), W(1, 1)]];
    let forgetful: fn(u64, u8) -> wv_consensus::Edit = |number, content| {
        // As if each order were the first one.
        let fresh = accept(order(number, content), vec![content])(&RegisterValue::default());
        Box::new(move |held| fresh.clone().filter(|_| held.version < number))
    };
    breaks(
        "only the newest order is told",
        Setup { edit: forgetful, ..setup(wishes) },
        "1:1 is refused, which was acknowledged",
    );
    holds("all are told", setup(wishes));
}

#[gtest]
fn given_orders_known_by_their_number_alone_then_the_model_finds_a_number_acknowledged_twice() {
    let verdict: fn(&RegisterValue, u64, u8) -> Verdict = |cell, number, _| {
        let is_taken = DecidedConfiguration::read(cell).accepted.iter().any(|taken| taken.number == number);
        if is_taken {
            Verdict::Taken
        } else {
            Verdict::Never
        }
    };
    let wishes: &[&[Wish]] = &[&[W(1, 1)], &[W(1, 2)]];
    breaks("digests not compared", Setup { verdict, ..setup(wishes) }, "number 1 is acknowledged twice");
}
