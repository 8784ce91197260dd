//! Process kills and power losses at every disk operation: acknowledged changes survive, and at most the change in
//! progress is visible in addition.
mod disk;

use disk::{Contents, Disk};
use googletest::prelude::*;
use std::collections::BTreeSet;
use wv_consensus::{register_value, RegisterError, Store, StoreState, SyncedDirectory};
use wv_internal_protocol::{AcceptorState, Ballot};

/// Small enough to compact the log every few steps.
const LOG_LIMIT_BYTES: usize = 400;
const UNLIMITED: usize = usize::MAX;

/// A call that acknowledges a change when it succeeds.
#[derive(Clone, Copy, Debug)]
enum Step {
    Reset,
    Promise(u64),
    Accept(u64, usize),
    Adopt(u64),
    Local(usize),
}

use Step::*;

const STEPS: [Step; 11] = [
    Reset,
    Accept(1, 30),
    Promise(2),
    Accept(2, 200),
    Local(10),
    Accept(3, 60),
    Promise(4),
    Adopt(5),
    Accept(6, 1),
    Local(250),
    Accept(7, 20),
];

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 1 }
}

fn apply_step(store: &mut Store, step: Step) -> Result<(), RegisterError> {
    let copy = |round| AcceptorState {
        accepted: ballot(round),
        value: register_value(round, vec![7; 40]),
        ..AcceptorState::default()
    };
    match step {
        Reset => store.reset(StoreState { addr: "me".to_owned(), ..StoreState::default() }),
        Promise(round) => store.promise("k", ballot(round)).map(|_| ()),
        Accept(round, len) => {
            store.accept("k", ballot(round), &register_value(round, vec![round as u8; len])).map(|_| ())
        }
        Adopt(round) => {
            store.adopt_newer(vec![("l".to_owned(), copy(round)), ("m".to_owned(), copy(round))]).map(|_| ())
        }
        Local(len) => store.put_local("local/x", vec![9; len]),
    }
}

fn opened(disk: &Disk) -> std::result::Result<Store, RegisterError> {
    Store::open_with_log_limit(Box::new(SyncedDirectory::over(disk.clone())?), LOG_LIMIT_BYTES)
}

/// Returns the state before the first step and after each step.
fn states() -> Vec<Option<StoreState>> {
    let mut store = opened(&Disk::new(UNLIMITED)).expect("store opens");
    let mut states = vec![None];
    for step in STEPS {
        apply_step(&mut store, step).expect("write succeeds");
        states.push(store.state().cloned());
    }
    states
}

/// Takes steps starting at `from` until the disk fails and returns the total number of steps taken.
fn take_steps(store: &mut Store, from: usize) -> usize {
    from + STEPS[from..].iter().take_while(|step| apply_step(store, **step).is_ok()).count()
}

fn run(disk: &Disk, from: usize) -> usize {
    opened(disk).map_or(from, |mut store| take_steps(&mut store, from))
}

/// Returns the number of steps whose exact result is on the disk.
fn steps_on_disk(remaining: &Contents, states: &[Option<StoreState>]) -> Option<usize> {
    let store = opened(&Disk::with_contents(remaining, UNLIMITED)).ok()?;
    states.iter().position(|state| state.as_ref() == store.state())
}

fn total_calls() -> usize {
    let disk = Disk::new(UNLIMITED);
    run(&disk, 0);
    UNLIMITED - disk.calls.get()
}

/// Whether the disk holds the result of `taken` steps or of one more.
fn is_consistent(remaining: &Contents, taken: usize, states: &[Option<StoreState>]) -> bool {
    steps_on_disk(remaining, states).is_some_and(|steps_on_disk| steps_on_disk == taken || steps_on_disk == taken + 1)
}

#[gtest]
fn given_a_power_loss_at_any_operation_then_the_store_holds_the_acknowledged_steps_or_one_more() {
    let (states, mut count) = (states(), 0);
    for calls in 0..=total_calls() {
        let disk = Disk::new(calls);
        let taken = run(&disk, 0);
        for remaining in disk.power_loss_results() {
            count += 1;
            expect_that!(
                is_consistent(&remaining, taken, &states),
                eq(true),
                "after {calls} calls, {taken} steps: {remaining:?}"
            );
        }
    }
    expect_that!(count, ge(150));
}

#[gtest]
fn given_a_power_loss_during_recovery_from_another_then_no_more_data_is_missing() {
    let (states, mut known) = (states(), BTreeSet::new());
    for calls in 0..=total_calls() {
        let disk = Disk::new(calls);
        run(&disk, 0);
        let new: Vec<Contents> =
            disk.power_loss_results().into_iter().filter(|remaining| known.insert(remaining.clone())).collect();
        for remaining in new {
            let Some(held) = steps_on_disk(&remaining, &states) else { continue };
            // Fails at every operation of reopening and of the following steps.
            for calls in 0..24 {
                let disk = Disk::with_contents(&remaining, calls);
                let taken = run(&disk, held);
                for remaining in disk.power_loss_results() {
                    expect_that!(
                        is_consistent(&remaining, taken, &states),
                        eq(true),
                        "{calls} calls on from {held}: {remaining:?}"
                    );
                }
            }
        }
    }
}

#[gtest]
fn given_a_killed_process_and_then_a_power_loss_then_the_data_read_in_between_is_kept() {
    let states = states();
    for calls in 0..=total_calls() {
        let disk = Disk::new(calls);
        let before = run(&disk, 0);
        for calls_after_restart in 0..24 {
            let disk = disk.restarted(calls_after_restart);
            let Ok(mut store) = opened(&disk) else {
                // Nothing was read, so nothing depends on changes that were not acknowledged.
                for remaining in disk.power_loss_results() {
                    expect_that!(
                        is_consistent(&remaining, before, &states),
                        eq(true),
                        "{calls} + {calls_after_restart} calls: {remaining:?}"
                    );
                }
                continue;
            };
            let read = states.iter().position(|state| state.as_ref() == store.state()).unwrap_or(UNLIMITED);
            expect_that!(
                read == before || read == before + 1,
                eq(true),
                "{calls} + {calls_after_restart} calls: {read}, {before}"
            );
            let taken = take_steps(&mut store, read);
            for remaining in disk.power_loss_results() {
                expect_that!(
                    is_consistent(&remaining, taken, &states),
                    eq(true),
                    "{calls} + {calls_after_restart} calls, {read}: {remaining:?}"
                );
            }
        }
    }
}

/// Returns the state after one more step.
fn after(state: &StoreState, step: Step) -> StoreState {
    let mut store = opened(&Disk::new(UNLIMITED)).expect("store opens");
    store.reset(state.clone()).expect("write succeeds");
    apply_step(&mut store, step).expect("write succeeds");
    store.state().cloned().unwrap_or_default()
}

/// Takes all steps on a disk whose operations fail at the given indices, counted from the start.
fn run_failing(failing_calls: &[usize]) {
    let mut disk = Disk::new(1 << 20);
    disk.failing_calls = failing_calls.iter().map(|at| (1 << 20) - at).collect();
    let Ok(mut store) = opened(&disk) else { return };
    // Besides the visible state, the disk may hold the results of steps that failed since the last acknowledgement.
    let (mut acknowledged, mut possible, mut steps_since_failure) = (StoreState::default(), Vec::new(), 0);
    for step in STEPS {
        match apply_step(&mut store, step) {
            Ok(()) => {
                (acknowledged, possible, steps_since_failure) =
                    (store.state().cloned().unwrap_or_default(), Vec::new(), steps_since_failure + 1)
            }
            Err(_) => {
                possible.push(after(&acknowledged, step));
                steps_since_failure = 0;
            }
        }
        expect_that!(
            store.state().is_none_or(|state| *state == acknowledged),
            eq(true),
            "{step:?} failed but is visible"
        );
        // Skips states long after a failure, which do not differ.
        if steps_since_failure > 3 {
            continue;
        }
        for remaining in disk.power_loss_results() {
            let store = opened(&Disk::with_contents(&remaining, UNLIMITED)).expect("store opens");
            let held = store.state().cloned().unwrap_or_default();
            let is_known = held == acknowledged || possible.contains(&held);
            expect_that!(is_known, eq(true), "calls {failing_calls:?} fail, after {step:?}: {remaining:?}");
        }
    }
}

#[gtest]
fn given_operations_that_fail_temporarily_and_then_a_power_loss_then_no_acknowledged_data_is_missing() {
    let all = total_calls();
    for (first, span) in (3..all).flat_map(|first| [1, 2, 5].map(|span| (first, span))) {
        run_failing(&(first..first + span).collect::<Vec<_>>());
    }
    // Two separate failures, and three.
    for (first, next) in (3..all).flat_map(|first| (2..9).map(move |next| (first, next))) {
        run_failing(&[first, first + next]);
        run_failing(&[first, first + next, first + 2 * next]);
    }
}
