//! Access nodes without clients, many to a process: their sessions, feeds and sightings are the real ones. For measuring
//! what a fleet costs its control nodes (`docs/CAPACITY.md`), not for serving.
use crate::core::Core;
use crate::exec::Node;
use crate::link::{keep, Place};
use std::net::SocketAddr;
use wv_health::Spot;

/// One hollow node.
pub struct Hollow {
    node: Node,
}

impl Core {
    /// The version of the configuration in force here.
    pub fn version(&self) -> u64 {
        self.conf.as_ref().map_or(0, |conf| conf.version)
    }

    /// Databases known here.
    pub fn databases(&self) -> usize {
        self.checks.iter().map(|(_, checker)| checker.members().filter(|(_, member)| !member.inst.gone).count()).sum()
    }

    /// As if it worked with the writers of `count` services: they are seen, and their logs grow.
    pub fn pretend(&mut self, count: usize, now: u64) {
        self.now = self.now.max(now);
        let all = self.checks.iter().count().max(1);
        let pos = wv_wire_protocol::LogPosition { term: 1, number: now / 1000 };
        for at in 0..count.min(all) {
            let service = ((usize::from(self.tie_break_salt) + at * 7) % all) as u16;
            let lead = self.checks.checker(service).and_then(|checker| checker.leader());
            let Some(spot) = lead.map(|seat| Spot { service, seat }) else { continue };
            let pool = self.pools.entry(spot).or_default();
            self.is_health_report_due |= pool.total == 0;
            (pool.total, pool.last_data_at) = (1, now.max(1));
            self.checks.checker_mut(service).into_iter().for_each(|checker| checker.fenced.note(now, pos));
        }
    }
}

impl Hollow {
    /// Starts one on this thread's worker; it keeps its session up for as long as the worker runs.
    pub fn start(name: &str, zone: &str, seeds: Vec<SocketAddr>, inner_port: u16, life: u64) -> Hollow {
        let mut core = Core::new(zone, 6_000_000);
        core.set_name(name);
        core.set_life(life);
        let node = Node::new(core);
        let place = Place { node: name.to_owned(), zone: zone.to_owned(), seeds, inner_port, hands: String::new() };
        let place = std::rc::Rc::new(std::cell::RefCell::new(place));
        tokio::task::spawn_local(keep(node.clone(), place, life));
        Hollow { node }
    }

    pub fn version(&self) -> u64 {
        self.node.core.borrow().version()
    }

    pub fn databases(&self) -> usize {
        self.node.core.borrow().databases()
    }

    /// Bytes that its sessions have read and written.
    pub fn traffic(&self) -> (u64, u64) {
        self.node.traffic.get()
    }

    pub fn pretend(&self, count: usize) {
        self.node.with(|core, now| core.pretend(count, now));
    }
}
