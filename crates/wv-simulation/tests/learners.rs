//! Voter replacement with a second failure: acknowledged writes are on a majority of the next set before it is decided,
//! and survivors that know the new set can continue.
mod scenario;

use googletest::prelude::*;
use scenario::{get_configuration, put_configuration_version};
use std::collections::BTreeSet;
use wv_consensus::{Store, VoterState};
use wv_simulation::{Simulation, MS, S};

/// Part of a change in which a second loss may block the survivors: at most five round trips of one millisecond.
const STUCK_WINDOW_US: u64 = 5 * MS;

/// The voter state and the configuration version on the disk of `control`.
fn read_disk(sim: &Simulation, control: usize) -> (VoterState, u64) {
    let files = Box::new(sim.controls[control].files.copy());
    let mut store = Store::open(files).expect("the store is readable");
    let state =
        VoterState::open(&mut store, &sim.controls[control].addr, &[], false, 1).expect("the store has a voter state");
    (state, store.get("conf").map_or(0, |cell| cell.value.version))
}

/// The newest voter set on the disks of `controls`.
fn newest_voter_set(sim: &Simulation, controls: &[usize]) -> wv_internal_protocol::VoterSet {
    let known = controls.iter().map(|at| read_disk(sim, *at).0.voters);
    known.max_by_key(|voters| voters.number).unwrap_or_default()
}

/// Runs in steps of a quarter millisecond until `is_met`, for at most `limit` microseconds.
fn run_until(sim: &mut Simulation, limit: u64, is_met: impl Fn(&Simulation) -> bool) -> bool {
    let end = sim.now + limit;
    while !is_met(sim) && sim.now < end {
        sim.run(MS / 4);
    }
    is_met(sim)
}

fn is_change_in_progress(sim: &Simulation) -> bool {
    (0..sim.controls.len()).any(|at| sim.is_changing_voters(at))
}

/// Three voters and a learner; voter `lost` is killed, and its replacement has just begun.
fn start_replacement(lost: usize) -> Simulation {
    let mut sim = Simulation::configured(1, 4);
    assert_eq!(put_configuration_version(&mut sim, lost, 20), 200);
    sim.run(2 * S);
    sim.kill_control(lost);
    assert!(run_until(&mut sim, 6 * S, is_change_in_progress), "no voter set change started");
    sim
}

#[gtest]
fn given_a_second_loss_at_each_step_of_a_replacement_then_survivors_that_know_the_new_set_continue() {
    let (mut stuck, mut continued) = (BTreeSet::new(), 0);
    for (lost, second) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        for step in 0..40u64 {
            let mut sim = start_replacement(lost);
            sim.run(step * MS / 4);
            let left: Vec<usize> = (0..4).filter(|at| *at != lost && *at != second).collect();
            // Let messages in transit arrive, then read what the survivors know.
            sim.kill_control(second);
            sim.run(2 * MS);
            let is_known = newest_voter_set(&sim, &left).number == 2;
            sim.run(4 * S);
            let status = put_configuration_version(&mut sim, left[0], 21);
            expect_that!(status, if is_known { eq(200) } else { eq(503) }, "{lost} {second} at {step}");
            if is_known {
                continued += 1;
                expect_that!(
                    get_configuration(&mut sim, left[1]),
                    eq(&(200, Simulation::configuration(21))),
                    "{lost} {second} at {step}"
                );
            } else {
                stuck.insert(step);
            }
            // The second voter returns with its disk, and the service continues whatever was in progress.
            sim.start_control(second, false);
            sim.run(5 * S);
            expect_that!(put_configuration_version(&mut sim, second, 22), eq(200), "{lost} {second} at {step}");
            expect_that!(newest_voter_set(&sim, &left).number, ge(2), "{lost} {second} at {step}");
        }
    }
    expect_that!(continued, ge(60));
    // The remaining window spans from the first message of the change to the one that announces the decision.
    expect_that!(stuck.last().copied().unwrap_or(0) * MS / 4, le(STUCK_WINDOW_US));
}

#[gtest]
fn given_a_write_acknowledged_before_a_change_then_it_is_on_a_majority_of_the_next_set() {
    for lost in 0..3 {
        for offset in 0..16u64 {
            let mut sim = Simulation::configured(1, 4);
            sim.run(2 * S);
            sim.kill_control(lost);
            // Sequential writes, so that the last acknowledgement falls close to the start of the change.
            let mut acked = 1;
            sim.run(1950 * MS + offset * MS / 4);
            for version in 30..400 {
                let token = sim.call((lost + 1) % 3, "PUT", "/configuration", &Simulation::configuration(version));
                run_until(&mut sim, S, |sim| is_change_in_progress(sim) || sim.responses.contains_key(&token));
                if is_change_in_progress(&sim) {
                    run_until(&mut sim, S, |sim| newest_voter_set(sim, &[0, 1, 2, 3]).number == 2);
                }
                if sim.responses.get(&token).is_some_and(|ret| ret.0 == 200) {
                    acked = version;
                }
                if newest_voter_set(&sim, &[0, 1, 2, 3]).number == 2 {
                    break;
                }
            }
            let next = newest_voter_set(&sim, &[0, 1, 2, 3]);
            let is_holder =
                |addr: &str| (0..4).any(|at| sim.controls[at].addr == addr && read_disk(&sim, at).1 >= acked);
            let holders = next.addrs().filter(|addr| is_holder(addr)).count();
            expect_that!(acked, ge(30));
            expect_that!(holders, ge(next.majority()), "{lost} {offset}: {acked} at {next:?}");
        }
    }
}

#[gtest]
fn given_a_learner_without_data_then_the_voter_set_is_unchanged_until_it_is_ready() {
    let mut sim = Simulation::configured(1, 3);
    expect_that!(put_configuration_version(&mut sim, 0, 20), eq(200));
    sim.kill_control(2);
    let new = sim.add_control(&[0, 1]);
    // Its disk is full: it answers but cannot store any state.
    sim.controls[new].files.is_full.set(true);
    sim.run(5 * S);
    expect_that!(newest_voter_set(&sim, &[0, 1]).number, eq(1));
    expect_that!(put_configuration_version(&mut sim, 1, 21), eq(200));
    sim.controls[new].files.is_full.set(false);
    expect_that!(run_until(&mut sim, 6 * S, |sim| newest_voter_set(sim, &[0, 1]).number == 2), eq(true));
    expect_that!(read_disk(&sim, new).1, eq(21));
}

#[gtest]
fn given_a_member_that_does_not_start_voting_then_the_next_change_waits_for_a_limited_time() {
    let mut sim = Simulation::configured(1, 5);
    sim.run(3 * S);
    expect_that!(newest_voter_set(&sim, &[0]).members.len(), eq(5));
    let new = [sim.add_control(&[0, 1, 2]), sim.add_control(&[0, 1, 2])];
    // Both are ready and about to join as the sixth and seventh member when their disks fill up.
    expect_that!(run_until(&mut sim, 3 * S, is_change_in_progress), eq(true));
    sim.run(3 * MS);
    new.iter().for_each(|at| sim.controls[*at].files.is_full.set(true));
    expect_that!(run_until(&mut sim, S, |sim| newest_voter_set(sim, &[1]).members.len() == 7), eq(true));
    let (started, number) = (sim.now, newest_voter_set(&sim, &[1]).number);
    sim.add_control(&[1, 2, 3]);
    sim.kill_control(0);
    // Five of seven vote and one of these is lost: without the wait it would be replaced by now.
    sim.run(4500 * MS);
    expect_that!(newest_voter_set(&sim, &[1]).number, eq(number));
    expect_that!(put_configuration_version(&mut sim, 1, 20), eq(200));
    expect_that!(run_until(&mut sim, 3 * S, |sim| newest_voter_set(sim, &[1]).number > number), eq(true));
    expect_that!(sim.now - started, le(7 * S));
    expect_that!(newest_voter_set(&sim, &[1]).contains(&sim.controls[0].addr), eq(false));
}
