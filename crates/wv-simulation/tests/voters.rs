//! Voter set changes: machines are lost and added without losing acknowledged writes.
mod scenario;

use googletest::prelude::*;
use scenario::{put_configuration_version, voter_set};
use wv_simulation::{Simulation, MS, S};

fn get_configuration(sim: &mut Simulation, control: usize) -> (u16, String) {
    let token = sim.call(control, "GET", "/configuration", b"");
    sim.run(1200 * MS);
    let (status, body) = sim.responses.get(&token).cloned().unwrap_or_default();
    (status, String::from_utf8_lossy(&body).into_owned())
}

fn configuration_text(version: u64) -> String {
    String::from_utf8_lossy(&Simulation::configuration(version)).into_owned()
}

/// Kills a control node for good and adds an empty machine at another address a second later. Returns its index.
fn replace_machine(sim: &mut Simulation, control: usize) -> usize {
    sim.kill_control(control);
    sim.run(S);
    // Its seeds are the control nodes running at that time.
    let seeds: Vec<usize> = (0..sim.controls.len()).filter(|at| sim.controls[*at].core.is_some()).collect();
    sim.add_control(&seeds)
}

#[gtest]
fn given_any_voter_replaced_then_the_voter_set_is_updated_and_no_acknowledged_write_is_lost() {
    for lost in 0..3 {
        let mut sim = Simulation::configured(2, 3);
        expect_that!(put_configuration_version(&mut sim, (lost + 1) % 3, 20), eq(200));
        let new = replace_machine(&mut sim, lost);
        sim.run(3 * S);
        let (number, addrs) = voter_set(&mut sim, new);
        expect_that!(number, eq(2), "lost {lost}");
        expect_that!(addrs.contains(&sim.controls[new].addr), eq(true), "lost {lost}");
        expect_that!(addrs.contains(&sim.controls[lost].addr), eq(false), "lost {lost}");
        // After a further loss the new voter and one other form a majority.
        sim.kill_control((lost + 1) % 3);
        expect_that!(get_configuration(&mut sim, new), eq(&(200, configuration_text(20))), "lost {lost}");
        sim.run(2 * S);
        expect_that!(put_configuration_version(&mut sim, new, 21), eq(200), "lost {lost}");
    }
}

#[gtest]
fn given_all_voters_replaced_and_a_power_loss_then_the_last_acknowledged_write_is_read() {
    let mut sim = Simulation::configured(2, 3);
    let mut new = Vec::new();
    for lost in 0..3 {
        let writer = if lost < 2 { lost + 1 } else { new[0] };
        expect_that!(put_configuration_version(&mut sim, writer, 30 + lost as u64), eq(200));
        new.push(replace_machine(&mut sim, lost));
        sim.run(3500 * MS);
    }
    expect_that!(put_configuration_version(&mut sim, new[1], 40), eq(200));
    new.iter().for_each(|at| sim.kill_control(*at));
    sim.run(S);
    // None of their seeds runs any more: they find each other by the addresses on their disks.
    new.iter().for_each(|at| sim.start_control(*at, false));
    sim.run(3 * S);
    for at in new {
        expect_that!(get_configuration(&mut sim, at), eq(&(200, configuration_text(40))), "control {at}");
    }
}

#[gtest]
fn given_more_core_machines_than_initial_voters_then_the_set_grows_to_an_odd_size_and_tolerates_more_losses() {
    let mut sim = Simulation::configured(2, 8);
    sim.run(3 * S);
    let (number, addrs) = voter_set(&mut sim, 7);
    expect_that!(number, eq(3));
    expect_that!(addrs.len(), eq(7));
    expect_that!(put_configuration_version(&mut sim, 0, 20), eq(200));
    // Two lose their disks while a third is down.
    for at in [0, 1] {
        sim.kill_control(at);
        sim.controls[at].files.files.borrow_mut().clear();
    }
    sim.kill_control(2);
    sim.run(500 * MS);
    expect_that!(get_configuration(&mut sim, 5), eq(&(200, configuration_text(20))));
    expect_that!(put_configuration_version(&mut sim, 6, 21), eq(200));
    [0, 1].into_iter().for_each(|at| sim.start_control(at, false));
    sim.run(4 * S);
    expect_that!(get_configuration(&mut sim, 0), eq(&(200, configuration_text(21))));
    let (_, addrs) = voter_set(&mut sim, 0);
    expect_that!(addrs.len(), eq(7));
}

#[gtest]
fn given_two_concurrent_drivers_of_a_change_then_all_nodes_agree_on_one_next_set() {
    for round in 0..4u64 {
        let mut sim = Simulation::configured(1, 5);
        sim.run(2 * S);
        // During a partition each side has its own duty holder; then one node is lost.
        for (one, other) in [("c0", "c3"), ("c0", "c4"), ("c1", "c4"), ("c2", "c3")] {
            sim.dropped_links.insert((one.to_owned(), other.to_owned()));
        }
        sim.kill_control((round % 3) as usize);
        sim.add_control(&[0, 1, 2]);
        sim.add_control(&[0, 1, 2]);
        sim.run(round * 70 * MS + 2600 * MS);
        sim.dropped_links.clear();
        sim.run(5 * S);
        let all: Vec<(u64, Vec<String>)> =
            (0..7).filter(|at| *at != (round % 3) as usize).map(|at| voter_set(&mut sim, at)).collect();
        expect_that!(all.iter().all(|set| *set == all[0]), eq(true), "round {round}: {all:?}");
        expect_that!(all[0].1.len() % 2, eq(1));
        expect_that!(put_configuration_version(&mut sim, 3, 20), eq(200), "round {round}");
    }
}

#[gtest]
fn given_the_duty_holder_killed_at_any_step_of_a_change_then_another_completes_it_without_loss() {
    // A change takes about ten messages of half a millisecond each; the steps cover its whole duration.
    for step in 0..24u64 {
        let mut sim = Simulation::configured(1, 4);
        expect_that!(put_configuration_version(&mut sim, 1, 20), eq(200));
        sim.kill_control(0);
        sim.run(1900 * MS);
        let change_driver = |sim: &Simulation| (1..4).find(|at| sim.is_changing_voters(*at));
        let mut waited = 0;
        while change_driver(&sim).is_none() && waited < 3000 {
            sim.run(MS / 4);
            waited += 1;
        }
        let duty_holder = change_driver(&sim);
        sim.run(step * MS / 4);
        let Some(duty_holder) = duty_holder else { return expect_that!(waited, eq(0), "no voter set change started") };
        sim.kill_control(duty_holder);
        let new = sim.add_control(&[0, 1, 2]);
        sim.run(500 * MS);
        sim.start_control(duty_holder, false);
        sim.run(6 * S);
        expect_that!(get_configuration(&mut sim, new), eq(&(200, configuration_text(20))), "step {step}");
        expect_that!(put_configuration_version(&mut sim, new, 22), eq(200), "step {step}");
    }
}

#[gtest]
fn given_writes_and_a_promotion_in_progress_during_a_voter_replacement_then_both_complete() {
    let mut sim = Simulation::configured(3, 3);
    sim.start_load(12, "p");
    sim.run(S);
    sim.crash(0);
    sim.run(300 * MS);
    let new = replace_machine(&mut sim, 1);
    let mut last = 0;
    for version in 50..62 {
        let writer = if version % 2 == 0 { 0 } else { 2 };
        let token = sim.call(writer, "PUT", "/configuration", &Simulation::configuration(version));
        sim.run(237 * MS);
        if sim.responses.get(&token).is_some_and(|ret| ret.0 == 200) {
            last = version;
        }
    }
    sim.run(3 * S);
    expect_that!(last, ge(55));
    expect_that!(get_configuration(&mut sim, new).1, any![eq(&configuration_text(last)), eq(&configuration_text(61))]);
    expect_that!(sim.primary(), not(eq(0)));
    sim.revive(0);
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US);
    expect_that!(sim.check_rules(), is_empty());
}

#[gtest]
fn given_a_voter_replaced_while_isolated_then_it_is_not_counted_in_a_quorum_when_it_returns() {
    let mut sim = Simulation::configured(1, 4);
    let others = ["c1", "c2", "c3"];
    others.iter().for_each(|other| {
        sim.dropped_links.insert(("c0".to_owned(), (*other).to_owned()));
    });
    sim.run(4 * S);
    let (number, addrs) = voter_set(&mut sim, 2);
    expect_that!(number, eq(2));
    expect_that!(addrs.contains(&sim.controls[0].addr), eq(false));
    expect_that!(put_configuration_version(&mut sim, 3, 20), eq(200));
    // Its state is stale: together with only one of the others it must not count as a majority.
    sim.kill_control(2);
    sim.kill_control(3);
    sim.dropped_links.clear();
    sim.run(S);
    expect_that!(get_configuration(&mut sim, 0).0, eq(503));
    expect_that!(put_configuration_version(&mut sim, 0, 19), eq(503));
    sim.start_control(3, false);
    sim.run(3 * S);
    expect_that!(get_configuration(&mut sim, 0), eq(&(200, configuration_text(20))));
}

#[gtest]
fn given_a_voter_that_returns_with_an_empty_disk_then_it_rejoins_at_its_old_address() {
    let mut sim = Simulation::configured(1, 3);
    expect_that!(put_configuration_version(&mut sim, 0, 20), eq(200));
    sim.kill_control(2);
    sim.controls[2].files.files.borrow_mut().clear();
    sim.start_control(2, false);
    sim.run(1500 * MS);
    let (number, addrs) = voter_set(&mut sim, 2);
    expect_that!(number, eq(2));
    expect_that!(addrs.len(), eq(3));
    sim.kill_control(0);
    expect_that!(get_configuration(&mut sim, 2), eq(&(200, configuration_text(20))));
}

#[gtest]
fn given_a_seed_without_a_disk_then_a_machine_with_one_replaces_it_as_voter() {
    let mut sim = Simulation::configured(1, 4);
    sim.kill_control(2);
    sim.controls[2].has_disk = false;
    sim.controls[2].files = Default::default();
    sim.start_control(2, false);
    sim.run(1500 * MS);
    let (_, addrs) = voter_set(&mut sim, 0);
    expect_that!(addrs.contains(&sim.controls[2].addr), eq(false));
    expect_that!(addrs.contains(&sim.controls[3].addr), eq(true));
    // Long bodies are not sent over its low-bandwidth link: the caller is redirected to a voter.
    for (method, body, ret) in
        [("PUT", Simulation::configuration(20), b"{}".to_vec()), ("GET", Vec::new(), Simulation::configuration(20))]
    {
        let token = sim.call(2, method, "/configuration", &body);
        let (status, location) = sim.responses.get(&token).cloned().unwrap_or_default();
        expect_that!(status, eq(307));
        let locations = sim.controls.iter().map(|control| format!("http://{}/configuration", control.addr));
        let to = locations.into_iter().position(|named| named.as_bytes() == location).unwrap_or(2);
        expect_that!(addrs.contains(&sim.controls[to].addr), eq(true));
        let token = sim.call(to, method, "/configuration", &body);
        sim.run(1200 * MS);
        expect_that!(sim.responses.get(&token), some(eq(&(200, ret))));
    }
    [0, 1, 3].into_iter().for_each(|at| sim.kill_control(at));
    sim.run(2 * S);
    let token = sim.call(2, "GET", "/configuration", b"");
    sim.run(2 * S);
    expect_that!(sim.responses.get(&token).map(|ret| ret.0), some(eq(503)));
}
