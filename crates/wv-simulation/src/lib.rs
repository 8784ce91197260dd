//! An in-memory fleet: the real logic of both roles over virtual time, with stand-ins for databases, platform,
//! operator and clients. The same story gives the same course every time.
mod base;
mod clients;
mod conn;
mod controls;
mod disk;
mod drain;
mod events;
mod falls;
mod freeze;
mod hands;
mod hour;
mod links;
mod load;
mod log;
pub mod nemesis;
mod nodes;
mod oracle;
mod replication;
mod service;
mod splits;
mod states;
mod tries;
mod walls;
mod world;

pub use base::{Base, Entry, Write};
pub use clients::REST;
pub use conn::Conn;
pub use drain::{CONTACT, DRAIN};
pub use hour::{End, Hour, Kind, Op, Session};
pub use load::Load;
pub use log::Answer;
pub use oracle::Oracle;
pub use walls::Node;
pub use world::{Crossed, World};

/// Virtual milliseconds in whole microseconds.
pub const MS: u64 = 1000;
pub const S: u64 = 1_000_000;

/// Seeded luck (xorshift).
pub struct Luck(u64);

impl Luck {
    pub fn new(seed: u64) -> Luck {
        Luck(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % bound.max(1)
    }

    pub fn is(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
