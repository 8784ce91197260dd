//! Shutdown of control nodes: their state and duties are handed over before they exit.
mod scenario;

use googletest::prelude::*;
use scenario::put_config_version;
use wv_simulation::{Simulation, MS, S};

/// The number of the voter set known to `control`, and its members as JSON.
fn voter_set(world: &mut Simulation, control: usize) -> (u64, String) {
    let token = world.call(control, "GET", "/voters", b"");
    let body = world.responses.get(&token).cloned().unwrap_or_default().1;
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    (value["number"].as_u64().unwrap_or(0), value["members"].to_string())
}

/// Shuts a control node down as on SIGTERM: it exits after 1.5 s, or up to 3 s later while it is still needed.
/// Returns the duration.
fn shut_down(world: &mut Simulation, control: usize) -> u64 {
    let start = world.now;
    let begin_shutdown = |core: &mut wv_control::Core| core.begin_shutdown(start);
    world.controls[control].core.iter_mut().for_each(begin_shutdown);
    let is_done = |world: &Simulation| {
        let may_exit = world.controls[control].core.as_ref().is_none_or(|core| core.may_exit());
        let elapsed = world.now - start;
        elapsed > 4500 * MS || (elapsed > 1500 * MS && may_exit)
    };
    while !is_done(world) {
        world.run(100 * MS);
    }
    world.kill_control(control);
    world.now - start
}

#[gtest]
fn given_a_voter_of_three_that_shuts_down_with_a_learner_then_it_is_replaced_before_it_exits() {
    for stopped in 0..3 {
        let mut world = Simulation::configured(1, 4);
        expect_that!(put_config_version(&mut world, stopped, 20), eq(200));
        expect_that!(shut_down(&mut world, stopped), le(1700 * MS), "stopped {stopped}");
        let other = (stopped + 1) % 3;
        let (number, members) = voter_set(&mut world, other);
        expect_that!(number, eq(2), "stopped {stopped}");
        expect_that!(members.contains(&world.controls[stopped].addr), eq(false), "stopped {stopped}");
        // A second voter fails as the first one exits.
        world.kill_control((stopped + 2) % 3);
        world.run(500 * MS);
        expect_that!(put_config_version(&mut world, other, 21), eq(200), "stopped {stopped}");
        let token = world.call(3, "GET", "/configuration", b"");
        world.run(1200 * MS);
        expect_that!(world.responses.get(&token), some(eq(&(200, Simulation::config(21)))), "stopped {stopped}");
    }
}

#[gtest]
fn given_a_rolling_restart_of_a_large_voter_set_then_the_set_is_unchanged() {
    let mut world = Simulation::configured(1, 8);
    world.run(4 * S);
    let before = voter_set(&mut world, 0);
    expect_that!(before.0, eq(3));
    for at in 0..8 {
        expect_that!(shut_down(&mut world, at), le(1700 * MS), "control {at}");
        world.run(300 * MS);
        world.start_control(at, false);
        world.run(S);
        expect_that!(put_config_version(&mut world, (at + 1) % 8, 20 + at as u64), eq(200), "control {at}");
    }
    expect_that!(voter_set(&mut world, 0), eq(&before));
}

#[gtest]
fn given_a_voter_that_shuts_down_without_a_learner_then_it_exits_in_time_and_the_set_is_unchanged() {
    let mut world = Simulation::configured(1, 3);
    expect_that!(shut_down(&mut world, 1), le(1700 * MS));
    world.run(4 * S);
    expect_that!(voter_set(&mut world, 0).0, eq(1));
    expect_that!(put_config_version(&mut world, 2, 20), eq(200));
}

#[gtest]
fn given_a_control_node_about_to_exit_when_a_primary_crashes_then_promotion_is_not_delayed() {
    for at in 0..3 {
        let mut world = Simulation::configured(4, 3);
        world.start_load(10, "p");
        world.run(2 * S);
        let now = world.now;
        world.controls[at].core.iter_mut().for_each(|core| core.begin_shutdown(now));
        world.run(1400 * MS);
        world.crash(0);
        // It exits before it can act; the others would detect its absence only later.
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

/// The configuration version and the newest voter set on the disk of `control`.
fn read_disk(world: &Simulation, control: usize) -> (u64, wv_internal_protocol::VoterSet) {
    let files = Box::new(world.controls[control].files.copy());
    let mut store = wv_consensus::Store::open(files).expect("the store is readable");
    let addr = &world.controls[control].addr;
    let state = wv_consensus::VoterState::open(&mut store, addr, &[], false, 1).expect("the store has a voter state");
    (store.get("conf").map_or(0, |held| held.value.version), state.voters)
}

#[gtest]
fn given_writes_held_only_by_an_exiting_voter_and_one_other_then_the_next_set_holds_them() {
    let mut acks = 0;
    for (stopped, missing, other) in [(0, 1, 2), (0, 2, 1), (1, 0, 2), (1, 2, 0), (2, 0, 1), (2, 1, 0)] {
        for step in 0..12 {
            let mut world = Simulation::configured(1, 4);
            world.run(3 * S + step * 31 * MS);
            let now = world.now;
            world.controls[stopped].core.iter_mut().for_each(|core| core.begin_shutdown(now));
            let token = world.call(stopped, "PUT", "/configuration", &Simulation::config(20));
            world.run(2 * MS);
            // The link between the exiting voter and one of the others is cut.
            world.dropped_links.insert((format!("c{stopped}"), format!("c{missing}")));
            let (mut tokens, mut acked) = (vec![(20, token)], 0);
            while [other, missing].iter().all(|at| read_disk(&world, *at).1.number == 1) && tokens.len() < 400 {
                let version = 20 + tokens.len() as u64;
                tokens.push((version, world.call(stopped, "PUT", "/configuration", &Simulation::config(version))));
                world.run(MS / 2);
                let is_acked = |(_, token): &&(u64, u64)| world.responses.get(token).is_some_and(|ret| ret.0 == 200);
                acked = tokens.iter().filter(is_acked).map(|(version, _)| *version).max().unwrap_or(acked);
            }
            let next = [other, missing].map(|at| read_disk(&world, at).1).into_iter().max_by_key(|known| known.number);
            let next = next.unwrap_or_default();
            let is_holder = |at: &usize| next.contains(&world.controls[*at].addr) && read_disk(&world, *at).0 >= acked;
            let holders = (0..4).filter(is_holder).count();
            expect_that!(next.number, eq(2), "{stopped} {missing} {step}");
            expect_that!(next.contains(&world.controls[stopped].addr), eq(false), "{stopped} {missing} {step}");
            expect_that!(holders, ge(next.majority()), "{stopped} {missing} {step}: {acked}");
            acks += u64::from(acked >= 20);
        }
    }
    expect_that!(acks, ge(36));
}
