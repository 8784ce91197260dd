//! All interleavings of a few orders of operators on the register of the configuration: the real decision on orders
//! (`order.rs`) over the model of the register.
#[allow(dead_code)]
#[path = "../../wv-consensus/tests/register_model/mod.rs"]
mod register_model;

use googletest::prelude::*;
use register_model::{Request, Setup, Verdict, Without, World};
use wv_control::order::{digest, take, Decided, Order};
use wv_internal_protocol::RegisterValue;
use wv_model_checker::{search, Bound};

/// As many states as take some seconds in all; `WV_MODEL_DEPTH` takes the bound away.
const STATES: usize = 5_000;
const W: fn(u64, u8) -> Request = Request::Write;

fn order(number: u64, content: u8) -> Order {
    Order { number, digest: digest(&[content]) }
}

fn verdict(cell: &RegisterValue, number: u64, content: u8) -> Verdict {
    match Decided::read(cell).verdict(&order(number, content)) {
        wv_control::order::Verdict::Taken => Verdict::Applied,
        wv_control::order::Verdict::Lost => Verdict::Rejected,
        wv_control::order::Verdict::Overtaken => Verdict::NeverApplied,
        wv_control::order::Verdict::Unknown => Verdict::Unknown,
    }
}

fn setup(requests: &[&[Request]]) -> Setup {
    Setup {
        without: Without::Nothing,
        update: |number, content| take(order(number, content), vec![content]),
        verdict,
        requests: requests.iter().map(|requests| requests.to_vec()).collect(),
        backoffs: 0,
        crashes: 0,
        restarts: 0,
        disk_losses: 0,
        has_late_replies: false,
    }
}

fn expect_no_fault(name: &str, setup: Setup) {
    let seen = search(World::new(setup), Bound::of(99, STATES));
    println!("{}", seen.line(name));
    expect_that!(seen.found.map(|found| found.fault), none(), "{name}");
}

fn expect_fault(name: &str, setup: Setup, fault: &str) {
    let seen = search(World::new(setup), Bound { depth: 99, states: 100_000 });
    println!("{}", seen.line(name));
    expect_that!(seen.found.map(|found| found.fault), some(eq(fault)), "{name}");
}

#[gtest]
fn given_two_orders_of_one_number_and_their_repeats_then_the_one_is_taken_at_each_and_the_other_lost_at_each() {
    expect_no_fault("orders of one number, both repeated", setup(&[&[W(1, 1), W(1, 1)], &[W(1, 2), W(1, 2)]]));
    expect_no_fault("a repeat elsewhere", Setup { crashes: 1, ..setup(&[&[W(1, 1)], &[W(1, 2), W(1, 1)]]) });
}

#[gtest]
fn given_an_order_that_a_following_one_replaced_then_its_repeat_is_still_acknowledged() {
    expect_no_fault("an overtaken order is repeated", setup(&[&[W(1, 1), W(2, 2), W(1, 1)], &[W(1, 3)]]));
    expect_no_fault("orders of following numbers elsewhere", setup(&[&[W(1, 1), W(1, 1)], &[W(2, 2), W(1, 3)]]));
}

#[gtest]
fn given_a_register_that_tells_only_the_newest_order_then_the_model_finds_a_repeat_refused() {
    let requests: &[&[Request]] = &[&[W(1, 1), W(2, 2), W(1, 1)]];
    let forgetful: fn(u64, u8) -> wv_consensus::UpdateFn = |number, content| {
        // As if each order were the first one.
        let fresh = take(order(number, content), vec![content])(&RegisterValue::default());
        Box::new(move |held| fresh.clone().filter(|_| held.version < number))
    };
    expect_fault(
        "only the newest order is told",
        Setup { update: forgetful, ..setup(requests) },
        "1:1 is rejected after it was acknowledged",
    );
    expect_no_fault("all are told", setup(requests));
}

#[gtest]
fn given_orders_known_by_their_number_alone_then_the_model_finds_a_number_acknowledged_twice() {
    let verdict: fn(&RegisterValue, u64, u8) -> Verdict = |cell, number, _| {
        let is_taken = Decided::read(cell).taken.iter().any(|taken| taken.number == number);
        if is_taken {
            Verdict::Applied
        } else {
            Verdict::NeverApplied
        }
    };
    let requests: &[&[Request]] = &[&[W(1, 1)], &[W(1, 2)]];
    expect_fault("digests not compared", Setup { verdict, ..setup(requests) }, "version 1 is acknowledged twice");
}
