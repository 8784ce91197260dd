//! Shared helpers of the fleet tests: operator and database calls, client load, and the final invariant check.
#![allow(dead_code)]
use wv_simulation::{Simulation, MS, S};

/// A serving fleet with clients that write and read at every access node.
pub fn serving_under_load(access: usize, controls: usize) -> Simulation {
    let mut sim = Simulation::configured(access, controls);
    sim.start_load(10, "p");
    sim.start_load(5, "b");
    sim.run(3 * S);
    sim
}

/// Stops the load, lets the fleet settle and returns the invariants that were violated.
pub fn finish_and_check(sim: &mut Simulation) -> Vec<String> {
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US);
    sim.check_rules()
}

/// Sends a configuration and returns the response status, or 0 if none arrived.
pub fn put_configuration(sim: &mut Simulation, control: usize, body: &[u8]) -> u16 {
    let token = sim.call(control, "PUT", "/configuration", body);
    sim.run(1200 * MS);
    sim.responses.get(&token).map_or(0, |ret| ret.0)
}

/// Sends the default configuration under this version.
pub fn put_configuration_version(sim: &mut Simulation, control: usize, version: u64) -> u16 {
    put_configuration(sim, control, &Simulation::configuration(version))
}

pub fn get_configuration(sim: &mut Simulation, control: usize) -> (u16, Vec<u8>) {
    let token = sim.call(control, "GET", "/configuration", b"");
    sim.run(1200 * MS);
    sim.responses.get(&token).cloned().unwrap_or_default()
}

/// The number of the voter set known to `control`, and its member addresses.
pub fn voter_set(sim: &mut Simulation, control: usize) -> (u64, Vec<String>) {
    let token = sim.call(control, "GET", "/voters", b"");
    let body = sim.responses.get(&token).cloned().unwrap_or_default().1;
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let members = value["members"].as_array().cloned().unwrap_or_default();
    let addrs = members.iter().filter_map(|member| member["address"].as_str().map(str::to_owned)).collect();
    (value["number"].as_u64().unwrap_or(0), addrs)
}

/// Deregisters a database that did not report `draining` before.
pub fn deregister(sim: &mut Simulation, db: usize) {
    let id = sim.databases[db].id.clone();
    sim.databases[db].is_removed = true;
    sim.call(1, "DELETE", &format!("/instances/{id}"), b"");
    sim.run(20 * MS);
}
