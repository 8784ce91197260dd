//! Stories of registers whose service is gone: nothing large stays behind, and no fence ever goes back.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

fn names(all: &[&str]) -> Vec<String> {
    all.iter().map(|name| (*name).to_owned()).collect()
}

fn put(world: &mut Simulation, body: &[u8]) -> u16 {
    let token = world.call(1, "PUT", "/configuration", body);
    world.run(S);
    world.responses.get(&token).map_or(0, |ret| ret.0)
}

/// The version and the value of a register, as the disk of `control` holds it.
fn register(world: &Simulation, control: usize, key: &str) -> (u64, Vec<u8>) {
    let store = wv_consensus::Store::open(Box::new(world.controls[control].files.copy())).expect("readable");
    store.get(key).map(|held| (held.value.version, held.value.bytes.clone())).unwrap_or_default()
}

#[gtest]
fn given_a_service_that_is_gone_and_returns_then_its_register_is_emptied_meanwhile_and_its_fences_rise_on() {
    let all = names(&["s", "t"]);
    let mut world = Simulation::with_services(2, 3, &all);
    world.run(2 * S);
    expect_that!(put(&mut world, &Simulation::config_for(1, &all)), eq(200));
    world.run(2 * S);
    // A promotion in `t` gives its duty a holder and a fence.
    world.start_load(4, "p.t");
    world.run(S);
    world.crash(3);
    world.run(4 * S);
    world.stop_load();
    world.revive(3);
    world.run(2 * S);
    let fences = |world: &Simulation| -> Vec<u64> {
        world.promotion_calls.iter().filter(|post| post.0 == "t").map(|post| post.2).collect()
    };
    let first = fences(&world);
    expect_that!(first, not(is_empty()));
    let held = register(&world, 0, "duty/t");
    expect_that!(held.1, not(is_empty()));
    // Gone for a short while it stays; gone for long it is emptied, on every disk, and its version is no lower.
    expect_that!(put(&mut world, &Simulation::config_for(2, &names(&["s"]))), eq(200));
    world.run(60 * S);
    expect_that!(register(&world, 0, "duty/t").1, not(is_empty()));
    world.run(100 * S);
    for at in 0..3 {
        let now = register(&world, at, "duty/t");
        expect_that!(now.1, is_empty(), "control {at}");
        expect_that!(now.0, gt(held.0), "control {at}");
    }
    expect_that!(register(&world, 0, "duty/s").1.len() + register(&world, 0, "conf").1.len(), gt(0));
    // It returns, and its primary fails again: the next fence is above all that were.
    expect_that!(put(&mut world, &Simulation::config_for(3, &all)), eq(200));
    world.start_load(4, "p.t");
    world.run(2 * S);
    let primary = (3..6).find(|at| world.databases[*at].is_primary).unwrap_or(3);
    world.crash(primary);
    world.run(5 * S);
    let later: Vec<u64> = fences(&world).split_off(first.len());
    expect_that!(later, not(is_empty()));
    expect_that!(later.iter().min() > first.iter().max(), eq(true), "{first:?} then {later:?}");
    world.revive(primary);
    world.stop_load();
    world.run(wv_simulation::SETTLE_US + MS);
    expect_that!(world.check_rules(), is_empty());
}
