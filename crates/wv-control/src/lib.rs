//! The control role: registers, configuration, database heartbeats, change feed and failover duties.
//!
//! `Core` is free of I/O; `run` executes the effects that it requests.
mod admission;
mod committed;
mod configuration;
mod contact;
mod core;
mod database_calls;
mod departed;
mod diskless;
mod duties;
mod duty_register;
mod exec;
mod health_reports;
mod heartbeats;
mod leave_acks;
mod leave_ages;
mod metrics;
mod outages;
mod outbound;
mod peers;
mod plan_confirmation;
mod platform_calls;
pub mod proposal;
mod redirect;
mod register_voter;
mod run;
mod shard_owners;
mod shard_registers;
mod shard_reports;
mod shard_requests;
mod shard_status;
mod shard_usage;
mod shards;
mod shutdown;
mod statements;
mod stored_table;
mod sweep;
mod term_raises;
mod tick;
mod types;
mod voter_catch_up;
mod voter_handover;
mod voter_set;

pub use crate::core::{Core, Effect, Start};
pub use run::run;
pub use statements::run_statements;

#[derive(thiserror::Error, Debug)]
pub enum ControlError {
    #[error("the settings file has no listen address for the control role")]
    NoAddress,
    #[error("cannot listen on {0}: {1}")]
    Listen(std::net::SocketAddr, std::io::Error),
    #[error(transparent)]
    Register(#[from] wv_consensus::RegisterError),
}
