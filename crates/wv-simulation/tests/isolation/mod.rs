//! Shared helpers of the tests that isolate or restart control nodes.
#![allow(dead_code)]
use wv_simulation::{Simulation, MS, S};

/// The default configuration with the host of route `b` replaced.
pub fn configuration_with_host(version: u64, host: &str) -> Vec<u8> {
    String::from_utf8_lossy(&Simulation::configuration(version))
        .replace("\"host\":\"b\"", &format!("\"host\":\"{host}\""))
        .into_bytes()
}

/// The status of a call, 0 if no response arrived, and its duration in microseconds.
pub fn call_timed(sim: &mut Simulation, at: usize, (method, path): (&str, &str), body: &[u8]) -> (u16, u64) {
    let start = sim.now;
    let token = sim.call(at, method, path, body);
    while !sim.responses.contains_key(&token) && sim.now < start + S {
        sim.run(5 * MS);
    }
    (sim.responses.get(&token).map_or(0, |ret| ret.0), sim.now - start)
}

pub const PUT_CONFIGURATION: (&str, &str) = ("PUT", "/configuration");

pub fn get_text(sim: &mut Simulation, at: usize, path: &str) -> (u16, String) {
    let token = sim.call(at, "GET", path, b"");
    sim.run(950 * MS);
    let (status, body) = sim.responses.get(&token).cloned().unwrap_or_default();
    (status, String::from_utf8_lossy(&body).into_owned())
}

pub fn heartbeat(address: &str, state: &str, sequence: u64) -> Vec<u8> {
    let heartbeat = serde_json::json!({"destination": "s", "address": address, "zone": "z0", "capacity": 10,
        "state": state, "dbRole": "replica", "sequence": sequence});
    heartbeat.to_string().into_bytes()
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum CutDirection {
    Both,
    Inbound,
    Outbound,
}

pub const CUT_DIRECTIONS: [CutDirection; 3] = [CutDirection::Both, CutDirection::Inbound, CutDirection::Outbound];

/// Cuts control node `at` off from the other control nodes in the given direction.
pub fn cut_off(sim: &mut Simulation, at: usize, direction: CutDirection) {
    for other in (0..sim.controls.len()).filter(|other| *other != at) {
        let (one, other) = (format!("c{at}"), format!("c{other}"));
        match direction {
            CutDirection::Both => sim.dropped_links.insert((one, other)),
            CutDirection::Inbound => sim.dropped_one_way.insert((other, one)),
            CutDirection::Outbound => sim.dropped_one_way.insert((one, other)),
        };
    }
}

pub fn restore_links(sim: &mut Simulation) {
    sim.dropped_links.clear();
    sim.dropped_one_way.clear();
}

pub fn has_majority(sim: &Simulation, at: usize) -> bool {
    sim.controls[at].core.as_ref().is_some_and(|core| core.has_majority())
}

pub fn is_caught_up(sim: &Simulation, at: usize) -> bool {
    sim.controls[at].core.as_ref().is_some_and(|core| core.is_caught_up())
}

/// Whether every access node accepts new sessions for `host`.
pub fn all_access_nodes_serve(sim: &mut Simulation, host: &str) -> bool {
    (0..sim.access.len()).all(|node| {
        let client = sim.open_client(node, host);
        sim.take_lines(client).first().is_some_and(|line| line == "IDLE I -")
    })
}
