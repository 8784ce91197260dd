//! Stories of disks that come to hold what voters hold: in parts, from wherever it can be had, and only what differs.
use googletest::prelude::*;
use wv_consensus::{register_value, Store};
use wv_internal_protocol::Ballot;
use wv_simulation::{Simulation, MS, S};

const LEARNER: usize = 3;
/// A part, and what stands around it.
const PART: u64 = 66 << 10;

fn put(world: &mut Simulation, control: usize, version: u64) -> u16 {
    let token = world.call(control, "PUT", "/configuration", &Simulation::config(version));
    world.run(100 * MS);
    world.responses.get(&token).map_or(0, |ret| ret.0)
}

fn store(world: &Simulation, control: usize) -> Store {
    Store::open(Box::new(world.controls[control].files.copy())).expect("readable")
}

fn shared(store: &Store) -> Vec<(String, u64)> {
    let shared = store.iter().filter(|(key, _)| !key.starts_with("local/"));
    shared.map(|(key, held)| (key.to_owned(), held.value.version)).collect()
}

fn is_ready(world: &Simulation, control: usize) -> bool {
    world.controls[control].core.as_ref().is_some_and(|core| core.is_ready_to_vote())
}

/// Bytes and parts that came to a control node since it was last asked.
fn came(world: &mut Simulation, control: usize) -> wv_simulation::LinkTraffic {
    let name = world.controls[control].name.clone();
    world.traffic.replace(Default::default()).unwrap_or_default().remove(&name).unwrap_or_default()
}

/// Three voters that hold `count` registers of `len` bytes each beside their own, and a machine with an empty disk that
/// has only just come. Returns also the bytes of those registers.
fn long(count: usize, len: usize) -> (Simulation, u64) {
    let mut world = Simulation::configured(0, 3);
    for at in 0..3 {
        world.kill_control(at);
        let mut store = Store::open(Box::new(world.controls[at].files.clone())).expect("readable");
        for number in 0..count {
            // A kind of register that nobody sweeps.
            let cell = register_value(1, vec![number as u8; len]);
            store.accept(&format!("kept/{number}"), Ballot { round: (1 << 40) + 1, proposer: 1 }, &cell).expect("kept");
        }
    }
    (0..3).for_each(|at| world.start_control(at, false));
    world.run(2 * S);
    world.traffic = Some(Default::default());
    assert_eq!(world.add_control(&[0, 1, 2]), LEARNER);
    (world, (count * len) as u64)
}

#[gtest]
fn given_a_long_state_then_a_newcomer_takes_it_over_in_short_parts_and_each_byte_once() {
    // Eight megabytes less what stands beside them: as much as a store ever holds.
    let (mut world, bytes) = long(330, 24 << 10);
    world.run(4 * S);
    expect_that!(shared(&store(&world, LEARNER)), eq(&shared(&store(&world, 0))));
    expect_that!(is_ready(&world, LEARNER), eq(true));
    let came = came(&mut world, LEARNER);
    expect_that!(came.longest_bytes, le(PART));
    expect_that!(came.bytes, all!(ge(bytes), le(bytes + bytes / 20)));
    expect_that!(came.register_parts, le(bytes / (48 << 10) + 2));
    println!("{bytes} bytes of registers: {came:?}");
}

#[gtest]
fn given_a_source_that_falls_silent_and_a_newcomer_that_is_killed_half_way_then_what_came_is_not_sent_again() {
    let (mut world, bytes) = long(330, 24 << 10);
    let is_half = |world: &Simulation| store(world, LEARNER).size_bytes() as u64 > bytes / 3;
    while !is_half(&world) {
        world.run(20 * MS);
    }
    // Whoever it asked, nothing passes any more; another is there.
    for other in ["c0", "c1"] {
        world.dropped_links.insert((other.to_owned(), "c3".to_owned()));
    }
    world.run(2 * S);
    expect_that!(shared(&store(&world, LEARNER)), eq(&shared(&store(&world, 2))));
    world.dropped_links.clear();
    world.run(S);
    let whole = came(&mut world, LEARNER);
    expect_that!(whole.bytes, le(bytes + bytes / 20));

    let (mut world, bytes) = long(330, 24 << 10);
    while !is_half(&world) {
        world.run(20 * MS);
    }
    world.kill_control(LEARNER);
    world.run(S);
    world.start_control(LEARNER, false);
    world.run(4 * S);
    expect_that!(shared(&store(&world, LEARNER)), eq(&shared(&store(&world, 0))));
    expect_that!(came(&mut world, LEARNER).bytes, le(bytes + bytes / 20));
}

#[gtest]
fn given_a_thousand_changes_while_a_replaced_voter_was_away_then_it_learns_in_a_second_and_takes_only_what_differs() {
    let mut world = Simulation::configured(0, 4);
    world.run(2 * S);
    world.kill_control(2);
    world.run(6 * S);
    for version in 2..1002 {
        expect_that!(put(&mut world, (version % 2) as usize, version), eq(200));
    }
    world.traffic = Some(Default::default());
    world.start_control(2, false);
    world.run(S);
    expect_that!(is_ready(&world, 2), eq(true));
    expect_that!(shared(&store(&world, 2)), eq(&shared(&store(&world, 0))));
    let came = came(&mut world, 2);
    expect_that!(came.register_parts, le(3));
    println!("after a thousand changes: {came:?}");
}

#[gtest]
fn given_a_learner_and_changes_that_go_on_then_it_stays_ready_and_not_while_it_hears_of_no_voter() {
    let mut world = Simulation::configured(0, 4);
    world.run(2 * S);
    world.traffic = Some(Default::default());
    for version in 2..40 {
        expect_that!(put(&mut world, (version % 3) as usize, version), eq(200));
        expect_that!(is_ready(&world, LEARNER), eq(true), "{version}");
    }
    // A comparison may be as old as this: no more is missing.
    world.run(1200 * MS);
    expect_that!(shared(&store(&world, LEARNER)), eq(&shared(&store(&world, 0))));
    for other in ["c0", "c1", "c2"] {
        world.dropped_links.insert((other.to_owned(), "c3".to_owned()));
    }
    world.run(1500 * MS);
    expect_that!(is_ready(&world, LEARNER), eq(false));
}
