//! State transfer to learners: it is split into parts, resumes from other sources and sends only missing registers.
use googletest::prelude::*;
use wv_consensus::{register_value, Store};
use wv_internal_protocol::Ballot;
use wv_simulation::{Simulation, MS, S};

const LEARNER: usize = 3;
/// Upper bound of a part including its framing.
const PART_MAX_BYTES: u64 = 66 << 10;

fn put_config_version(world: &mut Simulation, control: usize, version: u64) -> u16 {
    let token = world.call(control, "PUT", "/configuration", &Simulation::config(version));
    world.run(100 * MS);
    world.responses.get(&token).map_or(0, |ret| ret.0)
}

fn read_store(world: &Simulation, control: usize) -> Store {
    Store::open(Box::new(world.controls[control].files.copy())).expect("the store is readable")
}

fn shared_registers(store: &Store) -> Vec<(String, u64)> {
    let shared = store.iter().filter(|(key, _)| !key.starts_with("local/"));
    shared.map(|(key, held)| (key.to_owned(), held.value.version)).collect()
}

fn is_ready(world: &Simulation, control: usize) -> bool {
    world.controls[control].core.as_ref().is_some_and(|core| core.is_ready_to_vote())
}

/// Bytes and parts that a control node received since the last call.
fn take_received(world: &mut Simulation, control: usize) -> wv_simulation::LinkTraffic {
    let name = world.controls[control].name.clone();
    world.traffic.replace(Default::default()).unwrap_or_default().remove(&name).unwrap_or_default()
}

/// Three voters with `count` additional registers of `len` bytes each, and a learner just added with an empty disk.
/// Also returns the total size of these registers.
fn world_with_large_state(count: usize, len: usize) -> (Simulation, u64) {
    let mut world = Simulation::configured(0, 3);
    for at in 0..3 {
        world.kill_control(at);
        let mut store = Store::open(Box::new(world.controls[at].files.clone())).expect("the store is readable");
        for number in 0..count {
            // A register prefix that is not subject to cleanup.
            let cell = register_value(1, vec![number as u8; len]);
            store
                .accept(&format!("kept/{number}"), Ballot { round: (1 << 40) + 1, proposer: 1 }, &cell)
                .expect("the register is written");
        }
    }
    (0..3).for_each(|at| world.start_control(at, false));
    world.run(2 * S);
    world.traffic = Some(Default::default());
    assert_eq!(world.add_control(&[0, 1, 2]), LEARNER);
    (world, (count * len) as u64)
}

#[gtest]
fn given_a_large_state_then_a_learner_fetches_it_in_small_parts_and_each_byte_once() {
    // Close to eight megabytes, the maximum size of a store.
    let (mut world, bytes) = world_with_large_state(330, 24 << 10);
    world.run(4 * S);
    expect_that!(shared_registers(&read_store(&world, LEARNER)), eq(&shared_registers(&read_store(&world, 0))));
    expect_that!(is_ready(&world, LEARNER), eq(true));
    let received = take_received(&mut world, LEARNER);
    expect_that!(received.longest_bytes, le(PART_MAX_BYTES));
    expect_that!(received.bytes, all!(ge(bytes), le(bytes + bytes / 20)));
    expect_that!(received.register_parts, le(bytes / (48 << 10) + 2));
    println!("{bytes} bytes of registers: {received:?}");
}

#[gtest]
fn given_a_silent_source_or_a_restarted_learner_then_received_parts_are_not_sent_again() {
    let (mut world, bytes) = world_with_large_state(330, 24 << 10);
    let is_partial = |world: &Simulation| read_store(world, LEARNER).size_bytes() as u64 > bytes / 3;
    while !is_partial(&world) {
        world.run(20 * MS);
    }
    // Two of the three possible sources become unreachable.
    for other in ["c0", "c1"] {
        world.dropped_links.insert((other.to_owned(), "c3".to_owned()));
    }
    world.run(2 * S);
    expect_that!(shared_registers(&read_store(&world, LEARNER)), eq(&shared_registers(&read_store(&world, 2))));
    world.dropped_links.clear();
    world.run(S);
    let received = take_received(&mut world, LEARNER);
    expect_that!(received.bytes, le(bytes + bytes / 20));

    let (mut world, bytes) = world_with_large_state(330, 24 << 10);
    while !is_partial(&world) {
        world.run(20 * MS);
    }
    world.kill_control(LEARNER);
    world.run(S);
    world.start_control(LEARNER, false);
    world.run(4 * S);
    expect_that!(shared_registers(&read_store(&world, LEARNER)), eq(&shared_registers(&read_store(&world, 0))));
    expect_that!(take_received(&mut world, LEARNER).bytes, le(bytes + bytes / 20));
}

#[gtest]
fn given_a_thousand_changes_while_a_replaced_voter_was_down_then_it_fetches_only_the_difference() {
    let mut world = Simulation::configured(0, 4);
    world.run(2 * S);
    world.kill_control(2);
    world.run(6 * S);
    for version in 2..1002 {
        expect_that!(put_config_version(&mut world, (version % 2) as usize, version), eq(200));
    }
    world.traffic = Some(Default::default());
    world.start_control(2, false);
    world.run(S);
    expect_that!(is_ready(&world, 2), eq(true));
    expect_that!(shared_registers(&read_store(&world, 2)), eq(&shared_registers(&read_store(&world, 0))));
    let received = take_received(&mut world, 2);
    expect_that!(received.register_parts, le(3));
    println!("after a thousand changes: {received:?}");
}

#[gtest]
fn given_ongoing_changes_then_a_learner_stays_ready_until_it_loses_contact_with_all_voters() {
    let mut world = Simulation::configured(0, 4);
    world.run(2 * S);
    world.traffic = Some(Default::default());
    for version in 2..40 {
        expect_that!(put_config_version(&mut world, (version % 3) as usize, version), eq(200));
        expect_that!(is_ready(&world, LEARNER), eq(true), "{version}");
    }
    // After the maximum age of a comparison, nothing is missing.
    world.run(1200 * MS);
    expect_that!(shared_registers(&read_store(&world, LEARNER)), eq(&shared_registers(&read_store(&world, 0))));
    for other in ["c0", "c1", "c2"] {
        world.dropped_links.insert((other.to_owned(), "c3".to_owned()));
    }
    world.run(1500 * MS);
    expect_that!(is_ready(&world, LEARNER), eq(false));
}
