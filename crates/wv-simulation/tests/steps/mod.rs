//! Steps that many stories of the fleet share: calls of operators and databases, a load, and the end with its verdict.
#![allow(dead_code)]
use wv_simulation::{Simulation, MS, S};

/// Clients write and look up at every node of a fleet that serves.
pub fn busy(access: usize, controls: usize) -> Simulation {
    let mut world = Simulation::configured(access, controls);
    world.start_load(10, "p");
    world.start_load(5, "b");
    world.run(3 * S);
    world
}

/// All comes to rest; the rules that were broken.
pub fn end(world: &mut Simulation) -> Vec<String> {
    world.stop_load();
    world.run(wv_simulation::SETTLE_US);
    world.check_rules()
}

/// An operator sends a configuration; the status of the answer, 0 for none.
pub fn put(world: &mut Simulation, control: usize, body: &[u8]) -> u16 {
    let token = world.call(control, "PUT", "/configuration", body);
    world.run(1200 * MS);
    world.responses.get(&token).map_or(0, |ret| ret.0)
}

/// The same with the usual configuration of this version.
pub fn put_version(world: &mut Simulation, control: usize, version: u64) -> u16 {
    put(world, control, &Simulation::config(version))
}

/// An operator reads the configuration back.
pub fn get(world: &mut Simulation, control: usize) -> (u16, Vec<u8>) {
    let token = world.call(control, "GET", "/configuration", b"");
    world.run(1200 * MS);
    world.responses.get(&token).cloned().unwrap_or_default()
}

/// The number of the set of voters as `control` knows it, and the addresses in it.
pub fn voters(world: &mut Simulation, control: usize) -> (u64, Vec<String>) {
    let token = world.call(control, "GET", "/voters", b"");
    let body = world.responses.get(&token).cloned().unwrap_or_default().1;
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let members = value["members"].as_array().cloned().unwrap_or_default();
    let addrs = members.iter().filter_map(|member| member["address"].as_str().map(str::to_owned)).collect();
    (value["number"].as_u64().unwrap_or(0), addrs)
}

/// The database says that it is gone, and nothing of `draining` before.
pub fn delete(world: &mut Simulation, base: usize) {
    let id = world.databases[base].id.clone();
    world.databases[base].is_removed = true;
    world.call(1, "DELETE", &format!("/instances/{id}"), b"");
    world.run(20 * MS);
}
