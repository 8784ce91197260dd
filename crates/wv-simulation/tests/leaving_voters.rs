//! Stories of control nodes that are told to end: what they hold is in others' hands before they do.
mod steps;

use googletest::prelude::*;
use steps::put_version;
use wv_simulation::{Simulation, MS, S};

/// The number of the set as `control` knows it, and the addresses in it.
fn voters(world: &mut Simulation, control: usize) -> (u64, String) {
    let token = world.call(control, "GET", "/voters", b"");
    let body = world.responses.get(&token).cloned().unwrap_or_default().1;
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    (value["number"].as_u64().unwrap_or(0), value["members"].to_string())
}

/// SIGTERM, and the end as the process has it: after a quarter of six seconds, and up to three while it is needed.
fn term(world: &mut Simulation, control: usize) -> u64 {
    let start = world.now;
    let leave = |core: &mut wv_control::Core| core.begin_shutdown(start);
    world.controls[control].core.iter_mut().for_each(leave);
    let is_over = |world: &Simulation| {
        let is_relieved = world.controls[control].core.as_ref().is_none_or(|core| core.may_exit());
        let left = world.now - start;
        left > 4500 * MS || (left > 1500 * MS && is_relieved)
    };
    while !is_over(world) {
        world.run(100 * MS);
    }
    world.kill_control(control);
    world.now - start
}

#[gtest]
fn given_a_voter_of_three_that_ends_where_one_stands_by_then_the_next_set_stands_before_it_goes() {
    for gone in 0..3 {
        let mut world = Simulation::configured(1, 4);
        expect_that!(put_version(&mut world, gone, 20), eq(200));
        expect_that!(term(&mut world, gone), le(1700 * MS), "gone {gone}");
        let other = (gone + 1) % 3;
        let (number, members) = voters(&mut world, other);
        expect_that!(number, eq(2), "gone {gone}");
        expect_that!(members.contains(&world.controls[gone].addr), eq(false), "gone {gone}");
        // One more loss in the moment of its end.
        world.kill_control((gone + 2) % 3);
        world.run(500 * MS);
        expect_that!(put_version(&mut world, other, 21), eq(200), "gone {gone}");
        let token = world.call(3, "GET", "/configuration", b"");
        world.run(1200 * MS);
        expect_that!(world.responses.get(&token), some(eq(&(200, Simulation::config(21)))), "gone {gone}");
    }
}

#[gtest]
fn given_voters_that_end_and_start_again_in_turn_then_a_set_that_bears_it_stays_as_it_is() {
    let mut world = Simulation::configured(1, 8);
    world.run(4 * S);
    let before = voters(&mut world, 0);
    expect_that!(before.0, eq(3));
    for at in 0..8 {
        expect_that!(term(&mut world, at), le(1700 * MS), "control {at}");
        world.run(300 * MS);
        world.start_control(at, false);
        world.run(S);
        expect_that!(put_version(&mut world, (at + 1) % 8, 20 + at as u64), eq(200), "control {at}");
    }
    expect_that!(voters(&mut world, 0), eq(&before));
}

#[gtest]
fn given_a_voter_that_ends_where_nobody_stands_by_then_it_goes_in_its_time_and_the_set_stays() {
    let mut world = Simulation::configured(1, 3);
    expect_that!(term(&mut world, 1), le(1700 * MS));
    world.run(4 * S);
    expect_that!(voters(&mut world, 0).0, eq(1));
    expect_that!(put_version(&mut world, 2, 20), eq(200));
}

#[gtest]
fn given_any_control_node_that_is_about_to_end_when_a_primary_crashes_then_the_promotion_is_not_held_up() {
    for at in 0..3 {
        let mut world = Simulation::configured(4, 3);
        world.start_load(10, "p");
        world.run(2 * S);
        let now = world.now;
        world.controls[at].core.iter_mut().for_each(|core| core.begin_shutdown(now));
        world.run(1400 * MS);
        world.crash(0);
        // It ends before it could have done anything; that it is gone the others would notice only later.
        world.run(100 * MS);
        world.kill_control(at);
        world.run(900 * MS);
        expect_that!(world.primary(), not(eq(0)), "control {at}");
        world.revive(0);
        world.run(S);
        world.stop_load();
        world.run(wv_simulation::SETTLE_US);
        expect_that!(world.check_rules(), is_empty(), "control {at}");
    }
}

/// The version of the configuration on the disk of `control`, and the newest set known there.
fn disk(world: &Simulation, control: usize) -> (u64, wv_internal_protocol::VoterSet) {
    let files = Box::new(world.controls[control].files.copy());
    let mut store = wv_consensus::Store::open(files).expect("it can be read");
    let addr = &world.controls[control].addr;
    let seat = wv_consensus::VoterState::open(&mut store, addr, &[], false, 1).expect("it has one");
    (store.get("conf").map_or(0, |held| held.value.version), seat.voters)
}

#[gtest]
fn given_writes_that_one_that_ends_and_one_other_hold_alone_then_the_next_set_has_them_before_it_is_settled() {
    let mut acks = 0;
    for (gone, missing, other) in [(0, 1, 2), (0, 2, 1), (1, 0, 2), (1, 2, 0), (2, 0, 1), (2, 1, 0)] {
        for wait in 0..12 {
            let mut world = Simulation::configured(1, 4);
            world.run(3 * S + wait * 31 * MS);
            let now = world.now;
            world.controls[gone].core.iter_mut().for_each(|core| core.begin_shutdown(now));
            let token = world.call(gone, "PUT", "/configuration", &Simulation::config(20));
            world.run(2 * MS);
            // From here on nothing passes between the one that ends and one of the others.
            world.dropped_links.insert((format!("c{gone}"), format!("c{missing}")));
            let (mut tokens, mut acked) = (vec![(20, token)], 0);
            while [other, missing].iter().all(|at| disk(&world, *at).1.number == 1) && tokens.len() < 400 {
                let version = 20 + tokens.len() as u64;
                tokens.push((version, world.call(gone, "PUT", "/configuration", &Simulation::config(version))));
                world.run(MS / 2);
                let is_acked = |(_, token): &&(u64, u64)| world.responses.get(token).is_some_and(|ret| ret.0 == 200);
                acked = tokens.iter().filter(is_acked).map(|(version, _)| *version).max().unwrap_or(acked);
            }
            let next = [other, missing].map(|at| disk(&world, at).1).into_iter().max_by_key(|known| known.number);
            let next = next.unwrap_or_default();
            let is_holder = |at: &usize| next.contains(&world.controls[*at].addr) && disk(&world, *at).0 >= acked;
            let holders = (0..4).filter(is_holder).count();
            expect_that!(next.number, eq(2), "{gone} {missing} {wait}");
            expect_that!(next.contains(&world.controls[gone].addr), eq(false), "{gone} {missing} {wait}");
            expect_that!(holders, ge(next.majority()), "{gone} {missing} {wait}: {acked}");
            acks += u64::from(acked >= 20);
        }
    }
    expect_that!(acks, ge(36));
}
