//! The access role: client sessions over pooled database connections. The core does no I/O; `run` executes its effects.
mod care;
mod client;
mod core;
mod db;
mod dispatch;
mod ease;
mod exec;
mod forward_response;
mod guests;
mod hands;
mod hollow;
mod leaving;
mod link;
mod links;
mod metrics;
mod news;
mod pool;
mod record;
mod release;
mod reports;
mod request;
mod response;
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
pub use types::{ConnectionLoss, Effect};

#[derive(thiserror::Error, Debug)]
pub enum AccessError {
    #[error("the settings file gives this role no {0} address")]
    NoAddress(&'static str),
    #[error("cannot listen on {0}: {1}")]
    Listen(std::net::SocketAddr, std::io::Error),
}
