//! Stories of the set of voters: machines that go for good, others that come, and all that was acknowledged stays.
mod steps;

use googletest::prelude::*;
use steps::{put_version, voters};
use wv_simulation::{Simulation, MS, S};

fn read(world: &mut Simulation, control: usize) -> (u16, String) {
    let token = world.call(control, "GET", "/configuration", b"");
    world.run(1200 * MS);
    let (status, body) = world.responses.get(&token).cloned().unwrap_or_default();
    (status, String::from_utf8_lossy(&body).into_owned())
}

fn conf(version: u64) -> String {
    String::from_utf8_lossy(&Simulation::config(version)).into_owned()
}

/// Gone for good; an empty machine comes to another address a second later. Returns its place.
fn replace(world: &mut Simulation, control: usize) -> usize {
    world.kill_control(control);
    world.run(S);
    // Its seeds are whoever serves control at that time.
    let seeds: Vec<usize> = (0..world.controls.len()).filter(|at| world.controls[*at].core.is_some()).collect();
    world.add_control(&seeds)
}

#[gtest]
fn given_each_voter_replaced_in_turn_then_the_set_follows_and_nothing_acknowledged_is_missing() {
    for gone in 0..3 {
        let mut world = Simulation::configured(2, 3);
        expect_that!(put_version(&mut world, (gone + 1) % 3, 20), eq(200));
        let new = replace(&mut world, gone);
        world.run(3 * S);
        let (number, addrs) = voters(&mut world, new);
        expect_that!(number, eq(2), "gone {gone}");
        expect_that!(addrs.contains(&world.controls[new].addr), eq(true), "gone {gone}");
        expect_that!(addrs.contains(&world.controls[gone].addr), eq(false), "gone {gone}");
        // The next loss after the replacement: the newcomer and one other are a majority.
        world.kill_control((gone + 1) % 3);
        expect_that!(read(&mut world, new), eq(&(200, conf(20))), "gone {gone}");
        world.run(2 * S);
        expect_that!(put_version(&mut world, new, 21), eq(200), "gone {gone}");
    }
}

#[gtest]
fn given_all_voters_turned_over_and_then_all_power_lost_then_the_last_acknowledged_is_read_back() {
    let mut world = Simulation::configured(2, 3);
    let mut new = Vec::new();
    for gone in 0..3 {
        let by = if gone < 2 { gone + 1 } else { new[0] };
        expect_that!(put_version(&mut world, by, 30 + gone as u64), eq(200));
        new.push(replace(&mut world, gone));
        world.run(3500 * MS);
    }
    expect_that!(put_version(&mut world, new[1], 40), eq(200));
    new.iter().for_each(|at| world.kill_control(*at));
    world.run(S);
    // Their seeds are all gone: they find each other by what their disks keep.
    new.iter().for_each(|at| world.start_control(*at, false));
    world.run(3 * S);
    for at in new {
        expect_that!(read(&mut world, at), eq(&(200, conf(40))), "control {at}");
    }
}

#[gtest]
fn given_more_core_machines_than_the_first_set_then_it_grows_to_an_odd_number_and_bears_more_losses() {
    let mut world = Simulation::configured(2, 8);
    world.run(3 * S);
    let (number, addrs) = voters(&mut world, 7);
    expect_that!(number, eq(3));
    expect_that!(addrs.len(), eq(7));
    expect_that!(put_version(&mut world, 0, 20), eq(200));
    // Two lose their disks while one more is away.
    for at in [0, 1] {
        world.kill_control(at);
        world.controls[at].files.files.borrow_mut().clear();
    }
    world.kill_control(2);
    world.run(500 * MS);
    expect_that!(read(&mut world, 5), eq(&(200, conf(20))));
    expect_that!(put_version(&mut world, 6, 21), eq(200));
    [0, 1].into_iter().for_each(|at| world.start_control(at, false));
    world.run(4 * S);
    expect_that!(read(&mut world, 0), eq(&(200, conf(21))));
    let (_, addrs) = voters(&mut world, 0);
    expect_that!(addrs.len(), eq(7));
}

#[gtest]
fn given_two_that_both_hold_the_change_then_one_successor_is_settled_everywhere() {
    for split in 0..4u64 {
        let mut world = Simulation::configured(1, 5);
        world.run(2 * S);
        // Neither side hears the other for a while, so that each has a holder of its own; then one is lost.
        for (one, other) in [("c0", "c3"), ("c0", "c4"), ("c1", "c4"), ("c2", "c3")] {
            world.dropped_links.insert((one.to_owned(), other.to_owned()));
        }
        world.kill_control((split % 3) as usize);
        world.add_control(&[0, 1, 2]);
        world.add_control(&[0, 1, 2]);
        world.run(split * 70 * MS + 2600 * MS);
        world.dropped_links.clear();
        world.run(5 * S);
        let all: Vec<(u64, Vec<String>)> =
            (0..7).filter(|at| *at != (split % 3) as usize).map(|at| voters(&mut world, at)).collect();
        expect_that!(all.iter().all(|held| *held == all[0]), eq(true), "split {split}: {all:?}");
        expect_that!(all[0].1.len() % 2, eq(1));
        expect_that!(put_version(&mut world, 3, 20), eq(200), "split {split}");
    }
}

#[gtest]
fn given_the_holder_killed_at_any_step_of_a_change_then_another_ends_it_and_nothing_is_forgotten() {
    // A change takes some ten messages of half a millisecond each: every one of its moments is tried.
    for step in 0..24u64 {
        let mut world = Simulation::configured(1, 4);
        expect_that!(put_version(&mut world, 1, 20), eq(200));
        world.kill_control(0);
        world.run(1900 * MS);
        let is_under_way = |world: &Simulation| (1..4).find(|at| world.is_changing_voters(*at));
        let mut waited = 0;
        while is_under_way(&world).is_none() && waited < 3000 {
            world.run(MS / 4);
            waited += 1;
        }
        let holder = is_under_way(&world);
        world.run(step * MS / 4);
        let Some(holder) = holder else { return expect_that!(waited, eq(0), "no change came about") };
        world.kill_control(holder);
        let new = world.add_control(&[0, 1, 2]);
        world.run(500 * MS);
        world.start_control(holder, false);
        world.run(6 * S);
        expect_that!(read(&mut world, new), eq(&(200, conf(20))), "step {step}");
        expect_that!(put_version(&mut world, new, 22), eq(200), "step {step}");
    }
}

#[gtest]
fn given_writes_claims_and_a_promotion_under_way_while_voters_are_replaced_then_all_is_kept_once() {
    let mut world = Simulation::configured(3, 3);
    world.start_load(12, "p");
    world.run(S);
    world.crash(0);
    world.run(300 * MS);
    let new = replace(&mut world, 1);
    let mut last = 0;
    for version in 50..62 {
        let by = if version % 2 == 0 { 0 } else { 2 };
        let token = world.call(by, "PUT", "/configuration", &Simulation::config(version));
        world.run(237 * MS);
        if world.responses.get(&token).is_some_and(|ret| ret.0 == 200) {
            last = version;
        }
    }
    world.run(3 * S);
    expect_that!(last, ge(55));
    expect_that!(read(&mut world, new).1, any![eq(&conf(last)), eq(&conf(61))]);
    expect_that!(world.primary(), not(eq(0)));
    world.revive(0);
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    expect_that!(world.check_rules(), is_empty());
}

#[gtest]
fn given_a_voter_that_was_replaced_while_it_was_cut_off_then_it_answers_no_quorum_when_it_wakes() {
    let mut world = Simulation::configured(1, 4);
    let others = ["c1", "c2", "c3"];
    others.iter().for_each(|other| {
        world.dropped_links.insert(("c0".to_owned(), (*other).to_owned()));
    });
    world.run(4 * S);
    let (number, addrs) = voters(&mut world, 2);
    expect_that!(number, eq(2));
    expect_that!(addrs.contains(&world.controls[0].addr), eq(false));
    expect_that!(put_version(&mut world, 3, 20), eq(200));
    // What it still holds is old; alone with one of the others it must not pass for a majority.
    world.kill_control(2);
    world.kill_control(3);
    world.dropped_links.clear();
    world.run(S);
    expect_that!(read(&mut world, 0).0, eq(503));
    expect_that!(put_version(&mut world, 0, 19), eq(503));
    world.start_control(3, false);
    world.run(3 * S);
    expect_that!(read(&mut world, 0), eq(&(200, conf(20))));
}

#[gtest]
fn given_a_voter_whose_disk_came_back_empty_then_it_is_taken_in_anew_at_its_old_address() {
    let mut world = Simulation::configured(1, 3);
    expect_that!(put_version(&mut world, 0, 20), eq(200));
    world.kill_control(2);
    world.controls[2].files.files.borrow_mut().clear();
    world.start_control(2, false);
    world.run(1500 * MS);
    let (number, addrs) = voters(&mut world, 2);
    expect_that!(number, eq(2));
    expect_that!(addrs.len(), eq(3));
    world.kill_control(0);
    expect_that!(read(&mut world, 2), eq(&(200, conf(20))));
}

#[gtest]
fn given_a_seed_without_a_disk_then_it_gives_its_vote_to_a_machine_that_has_one() {
    let mut world = Simulation::configured(1, 4);
    world.kill_control(2);
    world.controls[2].has_disk = false;
    world.controls[2].files = Default::default();
    world.start_control(2, false);
    world.run(1500 * MS);
    let (_, addrs) = voters(&mut world, 0);
    expect_that!(addrs.contains(&world.controls[2].addr), eq(false));
    expect_that!(addrs.contains(&world.controls[3].addr), eq(true));
    // A long body neither comes nor goes over its small link: the caller is sent to a voter.
    for (method, body, ret) in
        [("PUT", Simulation::config(20), b"{}".to_vec()), ("GET", Vec::new(), Simulation::config(20))]
    {
        let token = world.call(2, method, "/configuration", &body);
        let (status, place) = world.responses.get(&token).cloned().unwrap_or_default();
        expect_that!(status, eq(307));
        let places = world.controls.iter().map(|control| format!("http://{}/configuration", control.addr));
        let to = places.into_iter().position(|named| named.as_bytes() == place).unwrap_or(2);
        expect_that!(addrs.contains(&world.controls[to].addr), eq(true));
        let token = world.call(to, method, "/configuration", &body);
        world.run(1200 * MS);
        expect_that!(world.responses.get(&token), some(eq(&(200, ret))));
    }
    [0, 1, 3].into_iter().for_each(|at| world.kill_control(at));
    world.run(2 * S);
    let token = world.call(2, "GET", "/configuration", b"");
    world.run(2 * S);
    expect_that!(world.responses.get(&token).map(|ret| ret.0), some(eq(503)));
}
