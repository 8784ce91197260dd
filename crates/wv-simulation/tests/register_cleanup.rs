//! Registers of removed services: their content is deleted, and fences still increase if the service returns.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

fn service_names(all: &[&str]) -> Vec<String> {
    all.iter().map(|name| (*name).to_owned()).collect()
}

fn put_configuration(sim: &mut Simulation, body: &[u8]) -> u16 {
    let token = sim.call(1, "PUT", "/configuration", body);
    sim.run(S);
    sim.responses.get(&token).map_or(0, |ret| ret.0)
}

/// The version and the value of a register on the disk of `control`.
fn read_register(sim: &Simulation, control: usize, key: &str) -> (u64, Vec<u8>) {
    let store = wv_consensus::Store::open(Box::new(sim.controls[control].files.copy())).expect("the store is readable");
    store.get(key).map(|cell| (cell.value.version, cell.value.bytes.clone())).unwrap_or_default()
}

#[gtest]
fn given_a_service_removed_and_added_again_then_its_register_was_emptied_and_its_fences_still_increase() {
    let all = service_names(&["s", "t"]);
    let mut sim = Simulation::with_services(2, 3, &all);
    sim.run(2 * S);
    expect_that!(put_configuration(&mut sim, &Simulation::configuration_for(1, &all)), eq(200));
    sim.run(2 * S);
    // A promotion in `t` assigns a duty holder and a fence.
    sim.start_load(4, "p.t");
    sim.run(S);
    sim.crash(3);
    sim.run(4 * S);
    sim.stop_load();
    sim.revive(3);
    sim.run(2 * S);
    let fences = |sim: &Simulation| -> Vec<u64> {
        sim.promotion_calls.iter().filter(|post| post.0 == "t").map(|post| post.2).collect()
    };
    let first = fences(&sim);
    expect_that!(first, not(is_empty()));
    let before_removal = read_register(&sim, 0, "duty/t");
    expect_that!(before_removal.1, not(is_empty()));
    // The register is kept at first and later emptied on every disk, with a higher version.
    expect_that!(put_configuration(&mut sim, &Simulation::configuration_for(2, &service_names(&["s"]))), eq(200));
    sim.run(60 * S);
    expect_that!(read_register(&sim, 0, "duty/t").1, not(is_empty()));
    sim.run(100 * S);
    for at in 0..3 {
        let now = read_register(&sim, at, "duty/t");
        expect_that!(now.1, is_empty(), "control {at}");
        expect_that!(now.0, gt(before_removal.0), "control {at}");
    }
    expect_that!(read_register(&sim, 0, "duty/s").1.len() + read_register(&sim, 0, "conf").1.len(), gt(0));
    // After the service returns, a second failover uses a fence above all earlier ones.
    expect_that!(put_configuration(&mut sim, &Simulation::configuration_for(3, &all)), eq(200));
    sim.start_load(4, "p.t");
    sim.run(2 * S);
    let primary = (3..6).find(|at| sim.databases[*at].is_primary).unwrap_or(3);
    sim.crash(primary);
    sim.run(5 * S);
    let later: Vec<u64> = fences(&sim).split_off(first.len());
    expect_that!(later, not(is_empty()));
    expect_that!(later.iter().min() > first.iter().max(), eq(true), "{first:?} then {later:?}");
    sim.revive(primary);
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US + MS);
    expect_that!(sim.check_rules(), is_empty());
}
