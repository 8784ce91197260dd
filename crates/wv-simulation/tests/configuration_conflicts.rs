//! Concurrent, repeated and late configuration writes: each version has one accepted content, and no write starves.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

fn conflicting(conf: &[u8]) -> Vec<u8> {
    String::from_utf8_lossy(conf).replace("\"targetMs\":800", "\"targetMs\":700").into_bytes()
}

fn put_configuration(sim: &mut Simulation, at: usize, body: &[u8]) -> u16 {
    let token = sim.call(at, "PUT", "/configuration", body);
    let end = sim.now + 1200 * MS;
    while !sim.responses.contains_key(&token) && sim.now < end {
        sim.run(5 * MS);
    }
    sim.responses.get(&token).map_or(0, |ret| ret.0)
}

fn get_configuration(sim: &mut Simulation, at: usize) -> (u16, Vec<u8>) {
    let token = sim.call(at, "GET", "/configuration", b"");
    sim.run(1200 * MS);
    sim.responses.get(&token).cloned().unwrap_or_default()
}

/// Retries a configuration write on each node in turn until a response other than 503 arrives.
fn put_until_answered(sim: &mut Simulation, first: usize, body: &[u8]) -> u16 {
    let count = sim.controls.len();
    for attempt in 0..20 {
        match put_configuration(sim, (first + attempt) % count, body) {
            0 | 503 => sim.run(200 * MS),
            code => return code,
        }
    }
    0
}

#[gtest]
fn given_two_configurations_with_one_version_then_one_is_accepted_and_the_other_always_rejected() {
    // The second write follows within ten milliseconds, at the same node or at another one.
    for (delay_us, to) in (0..20u64).flat_map(|step| (0..3).map(move |to| (step * MS / 2, to))) {
        let mut sim = Simulation::configured(1, 3);
        let one = Simulation::configuration(40);
        let two = conflicting(&one);
        let first = sim.call(0, "PUT", "/configuration", &one);
        sim.run(delay_us);
        let second = sim.call(to, "PUT", "/configuration", &two);
        sim.run(S);
        let codes = [first, second].map(|token| sim.responses.get(&token).map_or(0, |ret| ret.0));
        expect_that!(codes, any![eq([200, 409]), eq([409, 200])], "{delay_us} us apart, to {to}");
        // Repeats at every node, after later versions and a restart of all nodes, get the same answers.
        for version in 41..44 {
            expect_that!(
                put_configuration(&mut sim, (version % 3) as usize, &Simulation::configuration(version)),
                eq(200)
            );
        }
        (0..3).for_each(|at| sim.kill_control(at));
        (0..3).for_each(|at| sim.start_control(at, false));
        sim.run(2 * S);
        for at in 0..3 {
            expect_that!(
                [put_configuration(&mut sim, at, &one), put_configuration(&mut sim, at, &two)],
                eq(codes),
                "{delay_us} us apart, at {at}"
            );
        }
        expect_that!(get_configuration(&mut sim, to), eq(&(200, Simulation::configuration(43))));
    }
}

#[gtest]
fn given_the_node_that_receives_a_configuration_crashes_at_any_step_then_only_one_of_two_contents_is_accepted() {
    for step in 0..24u64 {
        let mut sim = Simulation::configured(1, 3);
        let one = Simulation::configuration(40);
        let two = conflicting(&one);
        let token = sim.call(0, "PUT", "/configuration", &one);
        sim.run(step * MS / 4);
        let status = sim.responses.get(&token).map(|ret| ret.0);
        sim.kill_control(0);
        // The conflicting content is sent first, then the original again: whichever is accepted stays.
        let conflict = put_until_answered(&mut sim, 1, &two);
        let repeat = put_until_answered(&mut sim, 2, &one);
        expect_that!([repeat, conflict], any![eq([200, 409]), eq([409, 200])], "step {step}");
        expect_that!(status.is_none_or(|code| code == repeat), eq(true), "step {step}: {status:?}, then {repeat}");
        let current = get_configuration(&mut sim, 1).1;
        expect_that!(current, eq(if repeat == 200 { &one } else { &two }), "step {step}");
        sim.start_control(0, false);
        sim.run(2 * S);
        expect_that!(
            [put_configuration(&mut sim, 0, &one), put_configuration(&mut sim, 0, &two)],
            eq([repeat, conflict]),
            "step {step}"
        );
    }
}

#[gtest]
fn given_an_older_unused_version_then_it_is_acknowledged_and_changes_nothing() {
    let mut sim = Simulation::configured(1, 3);
    expect_that!(put_configuration(&mut sim, 0, &Simulation::configuration(40)), eq(200));
    expect_that!(put_configuration(&mut sim, 1, &Simulation::configuration(30)), eq(200));
    expect_that!(put_configuration(&mut sim, 2, &conflicting(&Simulation::configuration(30))), eq(200));
    expect_that!(get_configuration(&mut sim, 1), eq(&(200, Simulation::configuration(40))));
    // A version older than all whose contents are remembered is acknowledged as superseded, not rejected.
    for version in 41..181 {
        expect_that!(put_configuration(&mut sim, (version % 3) as usize, &Simulation::configuration(version)), eq(200));
    }
    expect_that!(put_configuration(&mut sim, 0, &Simulation::configuration(40)), eq(200));
    expect_that!(put_configuration(&mut sim, 0, &Simulation::configuration(180)), eq(200));
    expect_that!(put_configuration(&mut sim, 0, &conflicting(&Simulation::configuration(180))), eq(409));
    expect_that!(get_configuration(&mut sim, 2), eq(&(200, Simulation::configuration(180))));
}

#[gtest]
fn given_eight_concurrent_configurations_across_all_nodes_then_each_is_acknowledged_in_time() {
    let mut slowest = 0;
    for round in 0..10u64 {
        let mut sim = Simulation::configured(1, 7);
        sim.run(2 * S);
        let start = sim.now;
        let tokens: Vec<u64> = (0..8)
            .map(|at| {
                sim.call((at % 7) as usize, "PUT", "/configuration", &Simulation::configuration(40 + (at + round) % 8))
            })
            .collect();
        while tokens.iter().any(|token| !sim.responses.contains_key(token)) && sim.now < start + 2 * S {
            sim.run(MS);
        }
        slowest = slowest.max(sim.now - start);
        let codes: Vec<u16> = tokens.iter().map(|token| sim.responses.get(token).map_or(0, |ret| ret.0)).collect();
        expect_that!(codes, each(eq(&200)), "round {round}");
        expect_that!(get_configuration(&mut sim, 3), eq(&(200, Simulation::configuration(47))));
    }
    println!("slowest acknowledgement of eight concurrent configurations: {slowest} us");
    expect_that!(slowest, le(900 * MS));
}

#[gtest]
fn given_conflicting_configurations_with_lost_answers_then_each_version_has_one_content() {
    for seed in 0..6u64 {
        let mut sim = Simulation::configured(2, 3);
        let mut accepted: Vec<(u64, [u16; 2])> = Vec::new();
        for version in 40..52u64 {
            let (one, two) = (Simulation::configuration(version), conflicting(&Simulation::configuration(version)));
            let at = ((version + seed) % 3) as usize;
            // The answers to these two are not read.
            sim.call(at, "PUT", "/configuration", &one);
            sim.run((seed * 613 + version * 97) % (3 * MS));
            sim.call((at + 1) % 3, "PUT", "/configuration", &two);
            let codes = [put_until_answered(&mut sim, (at + 2) % 3, &one), put_until_answered(&mut sim, at, &two)];
            expect_that!(codes, any![eq([200, 409]), eq([409, 200])], "seed {seed}, {version}");
            accepted.push((version, codes));
        }
        sim.run(S);
        for (version, codes) in accepted {
            let (one, two) = (Simulation::configuration(version), conflicting(&Simulation::configuration(version)));
            for at in 0..3 {
                expect_that!(
                    [put_configuration(&mut sim, at, &one), put_configuration(&mut sim, at, &two)],
                    eq(codes),
                    "seed {seed}, {version}"
                );
            }
        }
        expect_that!(sim.access.iter().filter_map(|node| node.core.as_ref()).all(|core| core.is_ready()), eq(true));
    }
}
