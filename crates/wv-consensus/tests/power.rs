//! Every moment at which a process may be killed or lose its power, and all that its disk may hold then: what was
//! acknowledged stands, and at most the step that was under way.
mod disk;

use disk::{Disk, Left};
use googletest::prelude::*;
use std::collections::BTreeSet;
use wv_consensus::{register_value, RegisterError, Store, StoreState, SyncedDirectory};
use wv_internal_protocol::{AcceptorState, Ballot};

/// Short enough that the log is folded every few steps.
const LOG_MIN: usize = 400;
const NEVER: usize = usize::MAX;

/// One call whose success is an acknowledgement.
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

fn take(store: &mut Store, step: Step) -> Result<(), RegisterError> {
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
    Store::open_with_log_limit(Box::new(SyncedDirectory::over(disk.clone())?), LOG_MIN)
}

/// What the steps make, before the first and after each.
fn states() -> Vec<Option<StoreState>> {
    let mut store = opened(&Disk::new(NEVER)).expect("readable");
    let mut states = vec![None];
    for step in STEPS {
        take(&mut store, step).expect("kept");
        states.push(store.state().cloned());
    }
    states
}

/// Takes steps from the `from`th on until the disk dies; how many were taken in all.
fn go_on(store: &mut Store, from: usize) -> usize {
    from + STEPS[from..].iter().take_while(|step| take(store, **step).is_ok()).count()
}

fn run(disk: &Disk, from: usize) -> usize {
    opened(disk).map_or(from, |mut store| go_on(&mut store, from))
}

/// How far the disk is: the number of steps whose outcome it holds, exactly.
fn found(left: &Left, states: &[Option<StoreState>]) -> Option<usize> {
    let store = opened(&Disk::holding(left, NEVER)).ok()?;
    states.iter().position(|state| state.as_ref() == store.state())
}

fn calls_of_all() -> usize {
    let disk = Disk::new(NEVER);
    run(&disk, 0);
    NEVER - disk.calls.get()
}

/// Whether what is left is all that `taken` steps made, or one more.
fn is_held(left: &Left, taken: usize, states: &[Option<StoreState>]) -> bool {
    found(left, states).is_some_and(|found| found == taken || found == taken + 1)
}

#[gtest]
fn given_a_loss_of_power_at_any_call_then_the_store_holds_what_was_acknowledged_or_one_step_more() {
    let (states, mut count) = (states(), 0);
    for calls in 0..=calls_of_all() {
        let disk = Disk::new(calls);
        let taken = run(&disk, 0);
        for left in disk.lost_power() {
            count += 1;
            expect_that!(is_held(&left, taken, &states), eq(true), "after {calls} calls, {taken} steps: {left:?}");
        }
    }
    expect_that!(count, ge(150));
}

#[gtest]
fn given_a_loss_of_power_while_the_one_before_is_mended_then_nothing_more_is_missing() {
    let (states, mut seen) = (states(), BTreeSet::new());
    for calls in 0..=calls_of_all() {
        let disk = Disk::new(calls);
        run(&disk, 0);
        let new: Vec<Left> = disk.lost_power().into_iter().filter(|left| seen.insert(left.clone())).collect();
        for left in new {
            let Some(held) = found(&left, &states) else { continue };
            // At every call of opening it again and of the next two steps.
            for calls in 0..24 {
                let disk = Disk::holding(&left, calls);
                let taken = run(&disk, held);
                for left in disk.lost_power() {
                    expect_that!(is_held(&left, taken, &states), eq(true), "{calls} calls on from {held}: {left:?}");
                }
            }
        }
    }
}

#[gtest]
fn given_a_killed_process_and_then_a_loss_of_power_then_what_the_next_process_read_stands_too() {
    let states = states();
    for calls in 0..=calls_of_all() {
        let disk = Disk::new(calls);
        let before = run(&disk, 0);
        for more in 0..24 {
            let disk = disk.restarted(more);
            let Ok(mut store) = opened(&disk) else {
                // Nothing was read yet: nobody rests on more than was acknowledged.
                for left in disk.lost_power() {
                    expect_that!(is_held(&left, before, &states), eq(true), "{calls} + {more} calls: {left:?}");
                }
                continue;
            };
            let read = states.iter().position(|state| state.as_ref() == store.state()).unwrap_or(NEVER);
            expect_that!(read == before || read == before + 1, eq(true), "{calls} + {more} calls: {read}, {before}");
            let taken = go_on(&mut store, read);
            for left in disk.lost_power() {
                expect_that!(is_held(&left, taken, &states), eq(true), "{calls} + {more} calls, {read}: {left:?}");
            }
        }
    }
}

/// What one more step makes of a state.
fn after(state: &StoreState, step: Step) -> StoreState {
    let mut store = opened(&Disk::new(NEVER)).expect("readable");
    store.reset(state.clone()).expect("kept");
    take(&mut store, step).expect("kept");
    store.state().cloned().unwrap_or_default()
}

/// All steps on a disk whose calls fail at these places, counted from the start.
fn run_failing(failing: &[usize]) {
    let mut disk = Disk::new(1 << 20);
    disk.failing = failing.iter().map(|at| (1 << 20) - at).collect();
    let Ok(mut store) = opened(&disk) else { return };
    // What may stand beside the state that the store shows: steps that failed since the last acknowledgement.
    let (mut sure, mut maybe, mut calm) = (StoreState::default(), Vec::new(), 0);
    for step in STEPS {
        match take(&mut store, step) {
            Ok(()) => (sure, maybe, calm) = (store.state().cloned().unwrap_or_default(), Vec::new(), calm + 1),
            Err(_) => {
                maybe.push(after(&sure, step));
                calm = 0;
            }
        }
        expect_that!(store.state().is_none_or(|state| *state == sure), eq(true), "{step:?} shows what failed");
        // Long after a failure nothing differs any more.
        if calm > 3 {
            continue;
        }
        for left in disk.lost_power() {
            let store = opened(&Disk::holding(&left, NEVER)).expect("readable");
            let held = store.state().cloned().unwrap_or_default();
            let is_known = held == sure || maybe.contains(&held);
            expect_that!(is_known, eq(true), "calls {failing:?} fail, after {step:?}: {left:?}");
        }
    }
}

#[gtest]
fn given_calls_that_fail_for_a_while_and_then_a_loss_of_power_then_nothing_acknowledged_is_missing() {
    let all = calls_of_all();
    for (first, span) in (3..all).flat_map(|first| [1, 2, 5].map(|span| (first, span))) {
        run_failing(&(first..first + span).collect::<Vec<_>>());
    }
    // Any two apart, also three.
    for (first, next) in (3..all).flat_map(|first| (2..9).map(move |next| (first, next))) {
        run_failing(&[first, first + next]);
        run_failing(&[first, first + next, first + 2 * next]);
    }
}
