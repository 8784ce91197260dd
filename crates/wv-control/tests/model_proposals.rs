//! Checks all interleavings of a few proposed configurations: the real `proposal.rs` on the model of the register.
#[allow(dead_code)]
#[path = "../../wv-consensus/tests/register_model/mod.rs"]
mod register_model;

use googletest::prelude::*;
use register_model::{Request, Setup, Verdict, Without, World};
use wv_control::proposal::{accept, digest, DecidedConfiguration, Proposal};
use wv_internal_protocol::RegisterValue;
use wv_model_checker::{search, SearchLimits};

/// Limit of visited states; `WV_MODEL_DEPTH` removes it.
const STATES: usize = 5_000;
const W: fn(u64, u8) -> Request = Request::Write;

fn proposal(number: u64, content: u8) -> Proposal {
    Proposal { number, digest: digest(&[content]) }
}

fn verdict(cell: &RegisterValue, number: u64, content: u8) -> Verdict {
    match DecidedConfiguration::read(cell).status(&proposal(number, content)) {
        wv_control::proposal::ProposalStatus::Accepted => Verdict::Applied,
        wv_control::proposal::ProposalStatus::Conflict => Verdict::Rejected,
        wv_control::proposal::ProposalStatus::Superseded => Verdict::NeverApplied,
        wv_control::proposal::ProposalStatus::Unknown => Verdict::Unknown,
    }
}

fn setup(requests: &[&[Request]]) -> Setup {
    Setup {
        without: Without::Nothing,
        update: |number, content| accept(proposal(number, content), vec![content]),
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
    let seen = search(World::new(setup), SearchLimits::with_env_override(99, STATES));
    println!("{}", seen.summary(name));
    expect_that!(seen.violation.map(|found| found.fault), none(), "{name}");
}

fn expect_fault(name: &str, setup: Setup, fault: &str) {
    let seen = search(World::new(setup), SearchLimits { depth: 99, states: 100_000 });
    println!("{}", seen.summary(name));
    expect_that!(seen.violation.map(|found| found.fault), some(eq(fault)), "{name}");
}

#[gtest]
fn given_two_proposals_of_one_number_and_retries_then_one_is_always_accepted_and_the_other_always_conflicts() {
    expect_no_fault("proposals of one number, both retried", setup(&[&[W(1, 1), W(1, 1)], &[W(1, 2), W(1, 2)]]));
    expect_no_fault("a retry elsewhere", Setup { crashes: 1, ..setup(&[&[W(1, 1)], &[W(1, 2), W(1, 1)]]) });
}

#[gtest]
fn given_a_proposal_replaced_by_a_later_one_then_its_retry_is_still_acknowledged() {
    expect_no_fault("a superseded proposal is retried", setup(&[&[W(1, 1), W(2, 2), W(1, 1)], &[W(1, 3)]]));
    expect_no_fault("proposals of later numbers elsewhere", setup(&[&[W(1, 1), W(1, 1)], &[W(2, 2), W(1, 3)]]));
}

#[gtest]
fn given_a_register_that_lists_only_the_newest_proposal_then_the_model_finds_a_refused_retry() {
    let requests: &[&[Request]] = &[&[W(1, 1), W(2, 2), W(1, 1)]];
    let newest_only: fn(u64, u8) -> wv_consensus::UpdateFn = |number, content| {
        // Encodes each proposal as if it were the first one.
        let fresh = accept(proposal(number, content), vec![content])(&RegisterValue::default());
        Box::new(move |current| fresh.clone().filter(|_| current.version < number))
    };
    expect_fault(
        "only the newest proposal is listed",
        Setup { update: newest_only, ..setup(requests) },
        "1:1 is rejected after it was acknowledged",
    );
    expect_no_fault("all are listed", setup(requests));
}

#[gtest]
fn given_proposals_identified_by_number_alone_then_the_model_finds_a_number_acknowledged_twice() {
    let verdict: fn(&RegisterValue, u64, u8) -> Verdict = |cell, number, _| {
        let is_accepted = DecidedConfiguration::read(cell).accepted.iter().any(|accepted| accepted.number == number);
        if is_accepted {
            Verdict::Applied
        } else {
            Verdict::NeverApplied
        }
    };
    let requests: &[&[Request]] = &[&[W(1, 1)], &[W(1, 2)]];
    expect_fault("digests not compared", Setup { verdict, ..setup(requests) }, "version 1 is acknowledged twice");
}
