//! Shutdown of control nodes: their state and duties are handed over before they exit.
mod scenario;

use googletest::prelude::*;
use scenario::put_configuration_version;
use wv_simulation::{Simulation, MS, S};

/// The number of the voter set known to `control`, and its members as JSON.
fn voter_set(sim: &mut Simulation, control: usize) -> (u64, String) {
    let token = sim.call(control, "GET", "/voters", b"");
    let body = sim.responses.get(&token).cloned().unwrap_or_default().1;
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    (value["number"].as_u64().unwrap_or(0), value["members"].to_string())
}

/// Shuts a control node down as on SIGTERM: it exits after 1.5 s, or up to 3 s later while it is still needed.
/// Returns the duration.
fn shut_down(sim: &mut Simulation, control: usize) -> u64 {
    let start = sim.now;
    let begin_shutdown = |core: &mut wv_control::Core| core.begin_shutdown(start);
    sim.controls[control].core.iter_mut().for_each(begin_shutdown);
    let is_done = |sim: &Simulation| {
        let may_exit = sim.controls[control].core.as_ref().is_none_or(|core| core.may_exit());
        let elapsed = sim.now - start;
        elapsed > 4500 * MS || (elapsed > 1500 * MS && may_exit)
    };
    while !is_done(sim) {
        sim.run(100 * MS);
    }
    sim.kill_control(control);
    sim.now - start
}

#[gtest]
fn given_a_voter_of_three_that_shuts_down_with_a_learner_then_it_is_replaced_before_it_exits() {
    for stopped in 0..3 {
        let mut sim = Simulation::configured(1, 4);
        expect_that!(put_configuration_version(&mut sim, stopped, 20), eq(200));
        expect_that!(shut_down(&mut sim, stopped), le(1700 * MS), "stopped {stopped}");
        let other = (stopped + 1) % 3;
        let (number, members) = voter_set(&mut sim, other);
        expect_that!(number, eq(2), "stopped {stopped}");
        expect_that!(members.contains(&sim.controls[stopped].addr), eq(false), "stopped {stopped}");
        // A second voter fails as the first one exits.
        sim.kill_control((stopped + 2) % 3);
        sim.run(500 * MS);
        expect_that!(put_configuration_version(&mut sim, other, 21), eq(200), "stopped {stopped}");
        let token = sim.call(3, "GET", "/configuration", b"");
        sim.run(1200 * MS);
        expect_that!(sim.responses.get(&token), some(eq(&(200, Simulation::configuration(21)))), "stopped {stopped}");
    }
}

#[gtest]
fn given_a_rolling_restart_of_a_large_voter_set_then_the_set_is_unchanged() {
    let mut sim = Simulation::configured(1, 8);
    sim.run(4 * S);
    let before = voter_set(&mut sim, 0);
    expect_that!(before.0, eq(3));
    for at in 0..8 {
        expect_that!(shut_down(&mut sim, at), le(1700 * MS), "control {at}");
        sim.run(300 * MS);
        sim.start_control(at, false);
        sim.run(S);
        expect_that!(put_configuration_version(&mut sim, (at + 1) % 8, 20 + at as u64), eq(200), "control {at}");
    }
    expect_that!(voter_set(&mut sim, 0), eq(&before));
}

#[gtest]
fn given_a_voter_that_shuts_down_without_a_learner_then_it_exits_in_time_and_the_set_is_unchanged() {
    let mut sim = Simulation::configured(1, 3);
    expect_that!(shut_down(&mut sim, 1), le(1700 * MS));
    sim.run(4 * S);
    expect_that!(voter_set(&mut sim, 0).0, eq(1));
    expect_that!(put_configuration_version(&mut sim, 2, 20), eq(200));
}

#[gtest]
fn given_a_control_node_about_to_exit_when_a_primary_crashes_then_promotion_is_not_delayed() {
    for at in 0..3 {
        let mut sim = Simulation::configured(4, 3);
        sim.start_load(10, "p");
        sim.run(2 * S);
        let now = sim.now;
        sim.controls[at].core.iter_mut().for_each(|core| core.begin_shutdown(now));
        sim.run(1400 * MS);
        sim.crash(0);
        // It exits before it can act; the others would detect its absence only later.
        sim.run(100 * MS);
        sim.kill_control(at);
        sim.run(900 * MS);
        expect_that!(sim.primary(), not(eq(0)), "control {at}");
        sim.revive(0);
        sim.run(S);
        sim.stop_load();
        sim.run(wv_simulation::SETTLE_US);
        expect_that!(sim.check_rules(), is_empty(), "control {at}");
    }
}

/// The configuration version and the newest voter set on the disk of `control`.
fn read_disk(sim: &Simulation, control: usize) -> (u64, wv_internal_protocol::VoterSet) {
    let files = Box::new(sim.controls[control].files.copy());
    let mut store = wv_consensus::Store::open(files).expect("the store is readable");
    let addr = &sim.controls[control].addr;
    let state = wv_consensus::VoterState::open(&mut store, addr, &[], false, 1).expect("the store has a voter state");
    (store.get("conf").map_or(0, |cell| cell.value.version), state.voters)
}

#[gtest]
fn given_writes_held_only_by_an_exiting_voter_and_one_other_then_the_next_set_holds_them() {
    let mut acks = 0;
    for (stopped, missing, other) in [(0, 1, 2), (0, 2, 1), (1, 0, 2), (1, 2, 0), (2, 0, 1), (2, 1, 0)] {
        for step in 0..12 {
            let mut sim = Simulation::configured(1, 4);
            sim.run(3 * S + step * 31 * MS);
            let now = sim.now;
            sim.controls[stopped].core.iter_mut().for_each(|core| core.begin_shutdown(now));
            let token = sim.call(stopped, "PUT", "/configuration", &Simulation::configuration(20));
            sim.run(2 * MS);
            // The link between the exiting voter and one of the others is cut.
            sim.dropped_links.insert((format!("c{stopped}"), format!("c{missing}")));
            let (mut tokens, mut acked) = (vec![(20, token)], 0);
            while [other, missing].iter().all(|at| read_disk(&sim, *at).1.number == 1) && tokens.len() < 400 {
                let version = 20 + tokens.len() as u64;
                tokens.push((version, sim.call(stopped, "PUT", "/configuration", &Simulation::configuration(version))));
                sim.run(MS / 2);
                let is_acked = |(_, token): &&(u64, u64)| sim.responses.get(token).is_some_and(|ret| ret.0 == 200);
                acked = tokens.iter().filter(is_acked).map(|(version, _)| *version).max().unwrap_or(acked);
            }
            let next = [other, missing].map(|at| read_disk(&sim, at).1).into_iter().max_by_key(|known| known.number);
            let next = next.unwrap_or_default();
            let is_holder = |at: &usize| next.contains(&sim.controls[*at].addr) && read_disk(&sim, *at).0 >= acked;
            let holders = (0..4).filter(is_holder).count();
            expect_that!(next.number, eq(2), "{stopped} {missing} {step}");
            expect_that!(next.contains(&sim.controls[stopped].addr), eq(false), "{stopped} {missing} {step}");
            expect_that!(holders, ge(next.majority()), "{stopped} {missing} {step}: {acked}");
            acks += u64::from(acked >= 20);
        }
    }
    expect_that!(acks, ge(36));
}
