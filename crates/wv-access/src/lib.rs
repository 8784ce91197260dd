//! The access role: clients' sessions over pooled connections. Logic without sockets; `run` executes.
mod answer;
mod care;
mod client;
mod core;
mod db;
mod ease;
mod ends;
mod exec;
mod guests;
mod hands;
mod hollow;
mod leaving;
mod link;
mod links;
mod metrics;
mod news;
mod offer;
mod open;
mod pool;
mod record;
mod reports;
mod returns;
mod run;
mod send;
mod share;
mod sights;
mod slots;
mod sock;
mod timer;
mod txn;
mod types;

pub use crate::core::Core;
pub use hollow::Hollow;
pub use record::EVENT_BYTES;
pub use run::{run, Options};
pub use sights::Telling;
pub use types::{Act, Lost};

#[derive(thiserror::Error, Debug)]
pub enum AccessError {
    #[error("the settings file gives this role no {0} address")]
    NoAddress(&'static str),
    #[error("cannot listen on {0}: {1}")]
    Listen(std::net::SocketAddr, std::io::Error),
}
