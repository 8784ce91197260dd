//! Clients at every access node that read on both routes of the probes and record which service answered.
use super::{History, RouteSighting};
use crate::{Simulation, MS, S};

const PROBE_INTERVAL_US: u64 = 40 * MS;
/// A probe without an answer for this long opens a new session.
const ANSWER_TIMEOUT_US: u64 = 3 * S;
/// The key whose row names the service of its database.
pub(super) const SERVICE_KEY: &str = "where";

struct Probe {
    node: usize,
    host: &'static str,
    client: Option<usize>,
    incarnation: u64,
    sent_us: u64,
    is_waiting: bool,
}

#[derive(Default)]
pub(super) struct RouteProbes {
    probes: Vec<Probe>,
    next_us: u64,
    next_id: u64,
}

impl RouteProbes {
    pub fn start(sim: &mut Simulation) -> RouteProbes {
        for database in &mut sim.databases {
            let service = database.service.clone();
            database.rows.insert(SERVICE_KEY.to_owned(), service);
        }
        let nodes = 0..sim.access.len();
        let of_node = |node: usize| {
            ["v", "w"].map(|host| Probe { node, host, client: None, incarnation: 0, sent_us: 0, is_waiting: false })
        };
        RouteProbes { probes: nodes.flat_map(of_node).collect(), ..RouteProbes::default() }
    }

    /// Records the answers that have arrived, and sends the next reads.
    pub fn poll(&mut self, sim: &mut Simulation, history: &mut History) {
        if self.next_us > sim.now {
            return;
        }
        self.next_us = sim.now + PROBE_INTERVAL_US;
        for probe in &mut self.probes {
            self.next_id += 1;
            probe.record(sim, history);
            probe.send(sim, self.next_id);
        }
    }
}

impl Probe {
    fn record(&mut self, sim: &mut Simulation, history: &mut History) {
        let Some(client) = self.client.filter(|_| self.is_waiting) else { return };
        let lines = sim.take_lines(client);
        // A split may have moved the key's slot from `s` to `t`.
        let service = |row: &str| if row == "t" { "s".to_owned() } else { row.to_owned() };
        if let Some(service) = lines.iter().find_map(|line| line.strip_prefix("ROW ")).map(service) {
            history.route_sightings.push(RouteSighting {
                node: sim.access[self.node].name.clone(),
                incarnation: self.incarnation,
                sent_us: self.sent_us,
                received_us: sim.now,
                service,
            });
        }
        self.is_waiting = !lines.iter().any(|line| line.starts_with("IDLE"));
    }

    fn send(&mut self, sim: &mut Simulation, id: u64) {
        let node = &sim.access[self.node];
        let is_up = node.core.as_ref().is_some_and(|core| core.is_ready());
        if !is_up || sim.frozen_access.contains(&self.node) {
            return;
        }
        let is_lost = self.incarnation != node.incarnation
            || (self.is_waiting && self.sent_us + ANSWER_TIMEOUT_US < sim.now)
            || self.client.is_some_and(|client| sim.is_client_closed(client));
        if self.client.is_none() || is_lost {
            self.incarnation = node.incarnation;
            let client = sim.open_client(self.node, self.host);
            sim.take_lines(client);
            (self.client, self.is_waiting) = (Some(client), false);
        }
        if let Some(client) = self.client.filter(|_| !self.is_waiting) {
            (self.sent_us, self.is_waiting) = (sim.now, true);
            sim.send_line(client, &format!("QUERY probe{id} READ {SERVICE_KEY}"));
        }
    }
}
