//! What the stories of nodes that are cut off share.
#![allow(dead_code)]
use wv_simulation::{Simulation, MS, S};

/// A change that shows: the route `b` is found under another host.
pub fn renamed(version: u64, host: &str) -> Vec<u8> {
    String::from_utf8_lossy(&Simulation::config(version))
        .replace("\"host\":\"b\"", &format!("\"host\":\"{host}\""))
        .into_bytes()
}

/// What comes of a call, and after how long.
pub fn call(world: &mut Simulation, at: usize, (method, path): (&str, &str), body: &[u8]) -> (u16, u64) {
    let start = world.now;
    let token = world.call(at, method, path, body);
    while !world.responses.contains_key(&token) && world.now < start + S {
        world.run(5 * MS);
    }
    (world.responses.get(&token).map_or(0, |ret| ret.0), world.now - start)
}

pub const CONF: (&str, &str) = ("PUT", "/configuration");

pub fn text(world: &mut Simulation, at: usize, path: &str) -> (u16, String) {
    let token = world.call(at, "GET", path, b"");
    world.run(950 * MS);
    let (status, body) = world.responses.get(&token).cloned().unwrap_or_default();
    (status, String::from_utf8_lossy(&body).into_owned())
}

pub fn beat(address: &str, state: &str, sequence: u64) -> Vec<u8> {
    let beat = serde_json::json!({"destination": "s", "address": address, "zone": "z0", "capacity": 10, "state": state,
        "dbRole": "replica", "sequence": sequence});
    beat.to_string().into_bytes()
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Way {
    Both,
    In,
    Out,
}

pub const WAYS: [Way; 3] = [Way::Both, Way::In, Way::Out];

/// Parts control node `at` from the others.
pub fn cut(world: &mut Simulation, at: usize, way: Way) {
    for other in (0..world.controls.len()).filter(|other| *other != at) {
        let (one, other) = (format!("c{at}"), format!("c{other}"));
        match way {
            Way::Both => world.dropped_links.insert((one, other)),
            Way::In => world.dropped_one_way.insert((other, one)),
            Way::Out => world.dropped_one_way.insert((one, other)),
        };
    }
}

pub fn join(world: &mut Simulation) {
    world.dropped_links.clear();
    world.dropped_one_way.clear();
}

pub fn is_fresh(world: &Simulation, at: usize) -> bool {
    world.controls[at].core.as_ref().is_some_and(|core| core.has_majority())
}

pub fn is_caught_up(world: &Simulation, at: usize) -> bool {
    world.controls[at].core.as_ref().is_some_and(|core| core.is_caught_up())
}

/// New sessions at every access node find the route under `host`.
pub fn all_serve(world: &mut Simulation, host: &str) -> bool {
    (0..world.access.len()).all(|node| {
        let client = world.open_client(node, host);
        world.take_lines(client).first().is_some_and(|line| line == "IDLE I -")
    })
}
