//! Stories of operators' orders: raced, repeated, lost on their way back, late, and many at once.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

fn other(conf: &[u8]) -> Vec<u8> {
    String::from_utf8_lossy(conf).replace("\"targetMs\":800", "\"targetMs\":700").into_bytes()
}

fn put(world: &mut Simulation, at: usize, body: &[u8]) -> u16 {
    let token = world.call(at, "PUT", "/configuration", body);
    let end = world.now + 1200 * MS;
    while !world.responses.contains_key(&token) && world.now < end {
        world.run(5 * MS);
    }
    world.responses.get(&token).map_or(0, |ret| ret.0)
}

fn read(world: &mut Simulation, at: usize) -> (u16, Vec<u8>) {
    let token = world.call(at, "GET", "/configuration", b"");
    world.run(1200 * MS);
    world.responses.get(&token).cloned().unwrap_or_default()
}

/// Sends the same order again until something clear comes, as operators do, to one node after the other.
fn insist(world: &mut Simulation, first: usize, body: &[u8]) -> u16 {
    let count = world.controls.len();
    for try_ in 0..20 {
        match put(world, (first + try_) % count, body) {
            0 | 503 => world.run(200 * MS),
            code => return code,
        }
    }
    0
}

#[gtest]
fn given_two_orders_under_one_number_at_any_two_moments_then_one_is_taken_and_the_other_refused_for_ever() {
    // The second one comes up to ten milliseconds after the first, at the same node or at another one.
    for (apart, to) in (0..20u64).flat_map(|step| (0..3).map(move |to| (step * MS / 2, to))) {
        let mut world = Simulation::configured(1, 3);
        let one = Simulation::config(40);
        let two = other(&one);
        let first = world.call(0, "PUT", "/configuration", &one);
        world.run(apart);
        let second = world.call(to, "PUT", "/configuration", &two);
        world.run(S);
        let codes = [first, second].map(|token| world.responses.get(&token).map_or(0, |ret| ret.0));
        expect_that!(codes, any![eq([200, 409]), eq([409, 200])], "{apart} us apart, to {to}");
        // Late, anywhere, after others were taken and after all nodes were started anew.
        for version in 41..44 {
            expect_that!(put(&mut world, (version % 3) as usize, &Simulation::config(version)), eq(200));
        }
        (0..3).for_each(|at| world.kill_control(at));
        (0..3).for_each(|at| world.start_control(at, false));
        world.run(2 * S);
        for at in 0..3 {
            expect_that!(
                [put(&mut world, at, &one), put(&mut world, at, &two)],
                eq(codes),
                "{apart} us apart, at {at}"
            );
        }
        expect_that!(read(&mut world, to), eq(&(200, Simulation::config(43))));
    }
}

#[gtest]
fn given_the_node_that_takes_an_order_dies_at_any_moment_then_the_repeat_is_taken_and_a_rival_is_not_taken_beside_it() {
    for step in 0..24u64 {
        let mut world = Simulation::configured(1, 3);
        let one = Simulation::config(40);
        let two = other(&one);
        let token = world.call(0, "PUT", "/configuration", &one);
        world.run(step * MS / 4);
        let told = world.responses.get(&token).map(|ret| ret.0);
        world.kill_control(0);
        // The rival comes first, then the order again: whichever is taken stays.
        let rival = insist(&mut world, 1, &two);
        let again = insist(&mut world, 2, &one);
        expect_that!([again, rival], any![eq([200, 409]), eq([409, 200])], "step {step}");
        expect_that!(told.is_none_or(|code| code == again), eq(true), "step {step}: {told:?}, then {again}");
        let read = read(&mut world, 1).1;
        expect_that!(read, eq(if again == 200 { &one } else { &two }), "step {step}");
        world.start_control(0, false);
        world.run(2 * S);
        expect_that!([put(&mut world, 0, &one), put(&mut world, 0, &two)], eq([again, rival]), "step {step}");
    }
}

#[gtest]
fn given_an_older_number_that_nobody_took_then_it_is_acknowledged_and_changes_nothing() {
    let mut world = Simulation::configured(1, 3);
    expect_that!(put(&mut world, 0, &Simulation::config(40)), eq(200));
    expect_that!(put(&mut world, 1, &Simulation::config(30)), eq(200));
    expect_that!(put(&mut world, 2, &other(&Simulation::config(30))), eq(200));
    expect_that!(read(&mut world, 1), eq(&(200, Simulation::config(40))));
    // An order far behind all that are told by name: overtaken, not refused.
    for version in 41..181 {
        expect_that!(put(&mut world, (version % 3) as usize, &Simulation::config(version)), eq(200));
    }
    expect_that!(put(&mut world, 0, &Simulation::config(40)), eq(200));
    expect_that!(put(&mut world, 0, &Simulation::config(180)), eq(200));
    expect_that!(put(&mut world, 0, &other(&Simulation::config(180))), eq(409));
    expect_that!(read(&mut world, 2), eq(&(200, Simulation::config(180))));
}

#[gtest]
fn given_eight_orders_under_way_at_once_over_all_nodes_then_none_starves() {
    let mut slowest = 0;
    for round in 0..10u64 {
        let mut world = Simulation::configured(1, 7);
        world.run(2 * S);
        let start = world.now;
        let tokens: Vec<u64> = (0..8)
            .map(|at| {
                world.call((at % 7) as usize, "PUT", "/configuration", &Simulation::config(40 + (at + round) % 8))
            })
            .collect();
        while tokens.iter().any(|token| !world.responses.contains_key(token)) && world.now < start + 2 * S {
            world.run(MS);
        }
        slowest = slowest.max(world.now - start);
        let codes: Vec<u16> = tokens.iter().map(|token| world.responses.get(token).map_or(0, |ret| ret.0)).collect();
        expect_that!(codes, each(eq(&200)), "round {round}");
        expect_that!(read(&mut world, 3), eq(&(200, Simulation::config(47))));
    }
    println!("the last of eight orders was acknowledged after {slowest} us at the most");
    expect_that!(slowest, le(900 * MS));
}

#[gtest]
fn given_a_storm_of_rivals_with_lost_answers_then_each_number_has_one_content_and_the_storm_ends() {
    for seed in 0..6u64 {
        let mut world = Simulation::configured(2, 3);
        let mut taken: Vec<(u64, [u16; 2])> = Vec::new();
        for version in 40..52u64 {
            let (one, two) = (Simulation::config(version), other(&Simulation::config(version)));
            let at = ((version + seed) % 3) as usize;
            // Nobody hears what comes of these two.
            world.call(at, "PUT", "/configuration", &one);
            world.run((seed * 613 + version * 97) % (3 * MS));
            world.call((at + 1) % 3, "PUT", "/configuration", &two);
            let codes = [insist(&mut world, (at + 2) % 3, &one), insist(&mut world, at, &two)];
            expect_that!(codes, any![eq([200, 409]), eq([409, 200])], "seed {seed}, {version}");
            taken.push((version, codes));
        }
        world.run(S);
        for (version, codes) in taken {
            let (one, two) = (Simulation::config(version), other(&Simulation::config(version)));
            for at in 0..3 {
                expect_that!(
                    [put(&mut world, at, &one), put(&mut world, at, &two)],
                    eq(codes),
                    "seed {seed}, {version}"
                );
            }
        }
        expect_that!(world.access.iter().filter_map(|node| node.core.as_ref()).all(|core| core.is_ready()), eq(true));
    }
}
