//! The control role: register, configuration, beats, feed and duties. Logic without sockets; `run` executes.
mod beats;
mod conf;
mod contact;
mod core;
mod departed;
mod duties;
mod exec;
mod force;
mod head;
mod judge;
mod keep;
mod leave_acks;
mod leave_ages;
mod metrics;
pub mod order;
mod outages;
mod peers;
mod post;
mod register_voter;
mod request;
mod run;
mod run_texts;
mod shard_owners;
mod shard_requests;
mod shard_status;
mod shard_usage;
mod shards;
mod shutdown;
mod stored_table;
mod sweep;
mod thin;
mod tick;
mod types;
mod voter_catch_up;
mod voter_handover;
mod voter_set;
mod words;

pub use crate::core::{Act, Core, Start};
pub use run::run;
pub use run_texts::run_texts;

#[derive(thiserror::Error, Debug)]
pub enum ControlError {
    #[error("the settings file gives this role no control address")]
    NoAddress,
    #[error("cannot listen on {0}: {1}")]
    Listen(std::net::SocketAddr, std::io::Error),
    #[error(transparent)]
    Reg(#[from] wv_consensus::RegisterError),
}
