//! Shared helpers of the fleet tests: operator and database calls, client load, and the final invariant check.
#![allow(dead_code)]
use wv_simulation::{Simulation, MS, S};

/// A serving fleet with clients that write and read at every access node.
pub fn serving_under_load(access: usize, controls: usize) -> Simulation {
    let mut world = Simulation::configured(access, controls);
    world.start_load(10, "p");
    world.start_load(5, "b");
    world.run(3 * S);
    world
}

/// Stops the load, lets the fleet settle and returns the invariants that were violated.
pub fn finish_and_check(world: &mut Simulation) -> Vec<String> {
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    world.check_rules()
}

/// Sends a configuration and returns the response status, or 0 if none arrived.
pub fn put_config(world: &mut Simulation, control: usize, body: &[u8]) -> u16 {
    let token = world.call(control, "PUT", "/configuration", body);
    world.run(1200 * MS);
    world.responses.get(&token).map_or(0, |ret| ret.0)
}

/// Sends the default configuration under this version.
pub fn put_config_version(world: &mut Simulation, control: usize, version: u64) -> u16 {
    put_config(world, control, &Simulation::config(version))
}

pub fn get_config(world: &mut Simulation, control: usize) -> (u16, Vec<u8>) {
    let token = world.call(control, "GET", "/configuration", b"");
    world.run(1200 * MS);
    world.responses.get(&token).cloned().unwrap_or_default()
}

/// The number of the voter set known to `control`, and its member addresses.
pub fn voter_set(world: &mut Simulation, control: usize) -> (u64, Vec<String>) {
    let token = world.call(control, "GET", "/voters", b"");
    let body = world.responses.get(&token).cloned().unwrap_or_default().1;
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let members = value["members"].as_array().cloned().unwrap_or_default();
    let addrs = members.iter().filter_map(|member| member["address"].as_str().map(str::to_owned)).collect();
    (value["number"].as_u64().unwrap_or(0), addrs)
}

/// Deregisters a database that did not report `draining` before.
pub fn deregister(world: &mut Simulation, db: usize) {
    let id = world.databases[db].id.clone();
    world.databases[db].is_removed = true;
    world.call(1, "DELETE", &format!("/instances/{id}"), b"");
    world.run(20 * MS);
}
