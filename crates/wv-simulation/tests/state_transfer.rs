//! State transfer to learners: it is split into parts, resumes from other sources and sends only missing registers.
use googletest::prelude::*;
use wv_consensus::{register_value, Store};
use wv_internal_protocol::Ballot;
use wv_simulation::{Simulation, MS, S};

const LEARNER: usize = 3;
/// Upper bound of a part including its framing.
const PART_MAX_BYTES: u64 = 66 << 10;

fn put_configuration_version(sim: &mut Simulation, control: usize, version: u64) -> u16 {
    let token = sim.call(control, "PUT", "/configuration", &Simulation::configuration(version));
    sim.run(100 * MS);
    sim.responses.get(&token).map_or(0, |ret| ret.0)
}

fn read_store(sim: &Simulation, control: usize) -> Store {
    Store::open(Box::new(sim.controls[control].files.copy())).expect("the store is readable")
}

fn shared_registers(store: &Store) -> Vec<(String, u64)> {
    let shared = store.iter().filter(|(key, _)| !key.starts_with("local/"));
    shared.map(|(key, cell)| (key.to_owned(), cell.value.version)).collect()
}

fn is_ready(sim: &Simulation, control: usize) -> bool {
    sim.controls[control].core.as_ref().is_some_and(|core| core.is_ready_to_vote())
}

/// Bytes and parts that a control node received since the last call.
fn take_received(sim: &mut Simulation, control: usize) -> wv_simulation::LinkTraffic {
    let name = sim.controls[control].name.clone();
    sim.traffic.replace(Default::default()).unwrap_or_default().remove(&name).unwrap_or_default()
}

/// Three voters with `count` additional registers of `len` bytes each, and a learner just added with an empty disk.
/// Also returns the total size of these registers.
fn simulation_with_large_state(count: usize, len: usize) -> (Simulation, u64) {
    let mut sim = Simulation::configured(0, 3);
    for at in 0..3 {
        sim.kill_control(at);
        let mut store = Store::open(Box::new(sim.controls[at].files.clone())).expect("the store is readable");
        for number in 0..count {
            // A register prefix that is not subject to cleanup.
            let cell = register_value(1, vec![number as u8; len]);
            store
                .accept(&format!("kept/{number}"), Ballot { round: (1 << 40) + 1, proposer: 1 }, &cell)
                .expect("the register is written");
        }
    }
    (0..3).for_each(|at| sim.start_control(at, false));
    sim.run(2 * S);
    sim.traffic = Some(Default::default());
    assert_eq!(sim.add_control(&[0, 1, 2]), LEARNER);
    (sim, (count * len) as u64)
}

#[gtest]
fn given_a_large_state_then_a_learner_fetches_it_in_small_parts_and_each_byte_once() {
    // Close to eight megabytes, the maximum size of a store.
    let (mut sim, bytes) = simulation_with_large_state(330, 24 << 10);
    sim.run(4 * S);
    expect_that!(shared_registers(&read_store(&sim, LEARNER)), eq(&shared_registers(&read_store(&sim, 0))));
    expect_that!(is_ready(&sim, LEARNER), eq(true));
    let received = take_received(&mut sim, LEARNER);
    expect_that!(received.longest_bytes, le(PART_MAX_BYTES));
    expect_that!(received.bytes, all!(ge(bytes), le(bytes + bytes / 20)));
    expect_that!(received.register_parts, le(bytes / (48 << 10) + 2));
    println!("{bytes} bytes of registers: {received:?}");
}

#[gtest]
fn given_a_silent_source_or_a_restarted_learner_then_received_parts_are_not_sent_again() {
    let (mut sim, bytes) = simulation_with_large_state(330, 24 << 10);
    let is_partial = |sim: &Simulation| read_store(sim, LEARNER).size_bytes() as u64 > bytes / 3;
    while !is_partial(&sim) {
        sim.run(20 * MS);
    }
    // Two of the three possible sources become unreachable.
    for other in ["c0", "c1"] {
        sim.dropped_links.insert((other.to_owned(), "c3".to_owned()));
    }
    sim.run(2 * S);
    expect_that!(shared_registers(&read_store(&sim, LEARNER)), eq(&shared_registers(&read_store(&sim, 2))));
    sim.dropped_links.clear();
    sim.run(S);
    let received = take_received(&mut sim, LEARNER);
    expect_that!(received.bytes, le(bytes + bytes / 20));

    let (mut sim, bytes) = simulation_with_large_state(330, 24 << 10);
    while !is_partial(&sim) {
        sim.run(20 * MS);
    }
    sim.kill_control(LEARNER);
    sim.run(S);
    sim.start_control(LEARNER, false);
    sim.run(4 * S);
    expect_that!(shared_registers(&read_store(&sim, LEARNER)), eq(&shared_registers(&read_store(&sim, 0))));
    expect_that!(take_received(&mut sim, LEARNER).bytes, le(bytes + bytes / 20));
}

#[gtest]
fn given_a_thousand_changes_while_a_replaced_voter_was_down_then_it_fetches_only_the_difference() {
    let mut sim = Simulation::configured(0, 4);
    sim.run(2 * S);
    sim.kill_control(2);
    sim.run(6 * S);
    for version in 2..1002 {
        expect_that!(put_configuration_version(&mut sim, (version % 2) as usize, version), eq(200));
    }
    sim.traffic = Some(Default::default());
    sim.start_control(2, false);
    sim.run(S);
    expect_that!(is_ready(&sim, 2), eq(true));
    expect_that!(shared_registers(&read_store(&sim, 2)), eq(&shared_registers(&read_store(&sim, 0))));
    let received = take_received(&mut sim, 2);
    expect_that!(received.register_parts, le(3));
    println!("after a thousand changes: {received:?}");
}

#[gtest]
fn given_ongoing_changes_then_a_learner_stays_ready_until_it_loses_contact_with_all_voters() {
    let mut sim = Simulation::configured(0, 4);
    sim.run(2 * S);
    sim.traffic = Some(Default::default());
    for version in 2..40 {
        expect_that!(put_configuration_version(&mut sim, (version % 3) as usize, version), eq(200));
        expect_that!(is_ready(&sim, LEARNER), eq(true), "{version}");
    }
    // After the maximum age of a comparison, nothing is missing.
    sim.run(1200 * MS);
    expect_that!(shared_registers(&read_store(&sim, LEARNER)), eq(&shared_registers(&read_store(&sim, 0))));
    for other in ["c0", "c1", "c2"] {
        sim.dropped_links.insert((other.to_owned(), "c3".to_owned()));
    }
    sim.run(1500 * MS);
    expect_that!(is_ready(&sim, LEARNER), eq(false));
}
