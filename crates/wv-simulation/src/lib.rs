//! Deterministic simulation of a fleet: the production cores of access and control nodes on virtual time, with
//! simulated databases, platform, operator and clients. The same inputs give the same sequence of events.
mod admin;
mod clients;
mod connection;
mod control_nodes;
mod control_queries;
mod database;
mod database_faults;
mod database_log;
mod database_service;
mod disk;
mod drain_check;
mod events;
mod freeze;
mod line_reader;
mod links;
mod load_clients;
pub mod nemesis;
mod nodes;
mod oracle;
mod partitions;
mod peer_links;
mod platform;
mod replication;
mod simulation;
mod split_checks;
mod workload;
mod workload_requests;

pub use clients::SETTLE_US;
pub use connection::Connection;
pub use database::{Database, LogEntry, Write};
pub use database_log::StandaloneReply;
pub use drain_check::{DRAIN_BOUND_US, FAULT_FREE_US};
pub use line_reader::read_line;
pub use load_clients::LoadClient;
pub use oracle::Oracle;
pub use partitions::NodeId;
pub use simulation::{LinkTraffic, Simulation};
pub use workload::{Request, RequestKind, RequestOutcome, Session, Workload};

/// Microseconds per millisecond and per second of virtual time.
pub const MS: u64 = 1000;
pub const S: u64 = 1_000_000;

/// Seeded xorshift random number generator.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound.max(1)
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
