//! Access nodes without clients, many per process, with real control sessions, feeds and health reports. They measure
//! the load of a fleet on its control nodes (`docs/CAPACITY.md`) and serve no requests.
use crate::control_session::{maintain_session, ControlSessionSettings};
use crate::core::Core;
use crate::exec::Node;
use std::net::SocketAddr;
use wv_health::DatabaseKey;

/// An access node without clients.
pub struct LoadTestNode {
    node: Node,
}

impl Core {
    /// Version of the configuration in force, 0 if there is none.
    pub fn active_configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.version)
    }

    /// Number of known databases, removed ones excluded.
    pub fn database_count(&self) -> usize {
        self.health
            .iter()
            .map(|(_, checker)| checker.databases().filter(|(_, member)| !member.instance.gone).count())
            .sum()
    }

    /// Simulates writes to the primaries of `count` services: they are reported as up, with a growing log position.
    pub fn simulate_writes(&mut self, count: usize, now: u64) {
        self.now = self.now.max(now);
        let all = self.health.iter().count().max(1);
        let position = wv_wire_protocol::LogPosition { term: 1, number: now / 1000 };
        for at in 0..count.min(all) {
            let service = ((usize::from(self.tie_break_salt) + at * 7) % all) as u16;
            let leader = self.health.service(service).and_then(|checker| checker.leader());
            let Some(key) = leader.map(|index| DatabaseKey { service, index }) else { continue };
            let pool = self.pools.entry(key).or_default();
            self.is_health_report_due |= pool.total == 0;
            (pool.total, pool.last_data_at) = (1, now.max(1));
            self.health
                .service_mut(service)
                .into_iter()
                .for_each(|checker| checker.fenced_positions.record(now, position));
        }
    }
}

impl LoadTestNode {
    /// Starts a node on the current thread's local task set; it maintains its control session while that runs.
    pub fn start(name: &str, zone: &str, seeds: Vec<SocketAddr>, internal_port: u16, incarnation: u64) -> LoadTestNode {
        let mut core = Core::new(zone, 6_000_000);
        core.set_node_name(name);
        core.set_incarnation(incarnation);
        let node = Node::new(core);
        let settings = ControlSessionSettings {
            node_name: name.to_owned(),
            zone: zone.to_owned(),
            seeds,
            internal_port,
            forwarding_address: String::new(),
        };
        let settings = std::rc::Rc::new(std::cell::RefCell::new(settings));
        tokio::task::spawn_local(maintain_session(node.clone(), settings, incarnation));
        LoadTestNode { node }
    }

    pub fn active_configuration_version(&self) -> u64 {
        self.node.core.borrow().active_configuration_version()
    }

    pub fn database_count(&self) -> usize {
        self.node.core.borrow().database_count()
    }

    /// Bytes read and written on its control sessions.
    pub fn traffic_bytes(&self) -> (u64, u64) {
        self.node.traffic.get()
    }

    pub fn simulate_writes(&self, count: usize) {
        self.node.with(|core, now| core.simulate_writes(count, now));
    }
}
