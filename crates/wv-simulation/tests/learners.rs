//! Stories of a second loss right after a replacement: what was acknowledged stands on a majority of the next set before
//! it is settled, and who survives is never stuck with all of it in hands.
mod steps;

use googletest::prelude::*;
use std::collections::BTreeSet;
use steps::{get, put_version};
use wv_consensus::{Store, VoterState};
use wv_simulation::{Simulation, MS, S};

/// Five times there and back, at a millisecond each and with disks that take no time.
const WINDOW: u64 = 5 * MS;

/// What the disk of `control` says of the sets, and the version of the configuration on it.
fn disk(world: &Simulation, control: usize) -> (VoterState, u64) {
    let files = Box::new(world.controls[control].files.copy());
    let mut store = Store::open(files).expect("it can be read");
    let seat = VoterState::open(&mut store, &world.controls[control].addr, &[], false, 1).expect("it has one");
    (seat, store.get("conf").map_or(0, |held| held.value.version))
}

/// The newest set known on the disk of any of `controls`.
fn newest(world: &Simulation, controls: &[usize]) -> wv_internal_protocol::VoterSet {
    let known = controls.iter().map(|at| disk(world, *at).0.voters);
    known.max_by_key(|voters| voters.number).unwrap_or_default()
}

/// Runs by quarters of a millisecond until `is_there`, a second at most.
fn until(world: &mut Simulation, limit: u64, is_there: impl Fn(&Simulation) -> bool) -> bool {
    let end = world.now + limit;
    while !is_there(world) && world.now < end {
        world.run(MS / 4);
    }
    is_there(world)
}

fn is_under_way(world: &Simulation) -> bool {
    (0..world.controls.len()).any(|at| world.is_changing_voters(at))
}

/// Three voters and a learner; one voter goes for good, and its replacement has just begun.
fn replacing(gone: usize) -> Simulation {
    let mut world = Simulation::configured(1, 4);
    assert_eq!(put_version(&mut world, gone, 20), 200);
    world.run(2 * S);
    world.kill_control(gone);
    assert!(until(&mut world, 6 * S, is_under_way), "no change came about");
    world
}

#[gtest]
fn given_a_replacement_and_a_second_loss_at_each_of_its_steps_then_who_knows_of_the_new_set_goes_on_in_it() {
    let (mut stuck, mut going) = (BTreeSet::new(), 0);
    for (gone, also) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        for step in 0..40u64 {
            let mut world = replacing(gone);
            world.run(step * MS / 4);
            let left: Vec<usize> = (0..4).filter(|at| *at != gone && *at != also).collect();
            // What was known in that moment, but for what is still on its way.
            world.kill_control(also);
            world.run(2 * MS);
            let is_known = newest(&world, &left).number == 2;
            world.run(4 * S);
            let status = put_version(&mut world, left[0], 21);
            expect_that!(status, if is_known { eq(200) } else { eq(503) }, "{gone} {also} at {step}");
            if is_known {
                going += 1;
                expect_that!(get(&mut world, left[1]), eq(&(200, Simulation::config(21))), "{gone} {also} at {step}");
            } else {
                stuck.insert(step);
            }
            // The second one's disk was not lost: all goes on with it, whatever was under way.
            world.start_control(also, false);
            world.run(5 * S);
            expect_that!(put_version(&mut world, also, 22), eq(200), "{gone} {also} at {step}");
            expect_that!(newest(&world, &left).number, ge(2), "{gone} {also} at {step}");
        }
    }
    expect_that!(going, ge(60));
    // The window that remains: from the first word to the one that tells what is settled.
    expect_that!(stuck.last().copied().unwrap_or(0) * MS / 4, le(WINDOW));
}

#[gtest]
fn given_a_write_acknowledged_up_to_the_change_then_it_stands_on_a_majority_of_the_next_set_once_that_is_known() {
    for gone in 0..3 {
        for ago in 0..16u64 {
            let mut world = Simulation::configured(1, 4);
            world.run(2 * S);
            world.kill_control(gone);
            // One after the other, so that the last acknowledgement falls anywhere around the beginning of the change.
            let mut acked = 1;
            world.run(1950 * MS + ago * MS / 4);
            for version in 30..400 {
                let token = world.call((gone + 1) % 3, "PUT", "/configuration", &Simulation::config(version));
                until(&mut world, S, |world| is_under_way(world) || world.responses.contains_key(&token));
                if is_under_way(&world) {
                    until(&mut world, S, |world| newest(world, &[0, 1, 2, 3]).number == 2);
                }
                if world.responses.get(&token).is_some_and(|ret| ret.0 == 200) {
                    acked = version;
                }
                if newest(&world, &[0, 1, 2, 3]).number == 2 {
                    break;
                }
            }
            let next = newest(&world, &[0, 1, 2, 3]);
            let is_holder =
                |addr: &str| (0..4).any(|at| world.controls[at].addr == addr && disk(&world, at).1 >= acked);
            let holders = next.addrs().filter(|addr| is_holder(addr)).count();
            expect_that!(acked, ge(30));
            expect_that!(holders, ge(next.majority()), "{gone} {ago}: {acked} at {next:?}");
        }
    }
}

#[gtest]
fn given_a_newcomer_that_holds_nothing_yet_then_the_set_stays_as_it_is_and_goes_on_until_it_is_ready() {
    let mut world = Simulation::configured(1, 3);
    expect_that!(put_version(&mut world, 0, 20), eq(200));
    world.kill_control(2);
    let new = world.add_control(&[0, 1]);
    // Its disk takes nothing: it is there, and answers, and can learn nothing.
    world.controls[new].files.is_full.set(true);
    world.run(5 * S);
    expect_that!(newest(&world, &[0, 1]).number, eq(1));
    expect_that!(put_version(&mut world, 1, 21), eq(200));
    world.controls[new].files.is_full.set(false);
    expect_that!(until(&mut world, 6 * S, |world| newest(world, &[0, 1]).number == 2), eq(true));
    expect_that!(disk(&world, new).1, eq(21));
}

#[gtest]
fn given_a_member_that_does_not_come_to_vote_then_the_next_change_waits_for_it_but_not_without_end() {
    let mut world = Simulation::configured(1, 5);
    world.run(3 * S);
    expect_that!(newest(&world, &[0]).members.len(), eq(5));
    let new = [world.add_control(&[0, 1, 2]), world.add_control(&[0, 1, 2])];
    // They are ready and about to make it seven; then their disks take nothing more.
    expect_that!(until(&mut world, 3 * S, is_under_way), eq(true));
    world.run(3 * MS);
    new.iter().for_each(|at| world.controls[*at].files.is_full.set(true));
    expect_that!(until(&mut world, S, |world| newest(world, &[1]).members.len() == 7), eq(true));
    let (started, number) = (world.now, newest(&world, &[1]).number);
    world.add_control(&[1, 2, 3]);
    world.kill_control(0);
    // Five of seven vote, and one of those is gone: it would be replaced by now.
    world.run(4500 * MS);
    expect_that!(newest(&world, &[1]).number, eq(number));
    expect_that!(put_version(&mut world, 1, 20), eq(200));
    expect_that!(until(&mut world, 3 * S, |world| newest(world, &[1]).number > number), eq(true));
    expect_that!(world.now - started, le(7 * S));
    expect_that!(newest(&world, &[1]).contains(&world.controls[0].addr), eq(false));
}
