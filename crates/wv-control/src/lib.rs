//! The control role: registers, configuration, database heartbeats, change feed and failover duties.
//!
//! `Core` is free of I/O; `run` executes the actions that it requests.
mod admission;
mod committed;
mod conf;
mod contact;
mod core;
mod database_calls;
mod departed;
mod diskless;
mod drain;
mod duties;
mod exec;
mod falls;
mod fills;
mod handover;
mod health_reports;
mod heartbeats;
mod leave_acks;
mod leaving;
mod metrics;
mod operate;
mod outlook;
mod own;
mod peers;
mod platform_calls;
pub mod proposal;
mod recall;
mod redirect;
mod run;
mod shard_registers;
mod shards;
mod statements;
mod sweep;
mod takeover;
mod tick;
mod types;
mod voter;
mod voters;

pub use crate::core::{Action, Core, Start};
pub use run::run;
pub use statements::run_statements;

#[derive(thiserror::Error, Debug)]
pub enum ControlError {
    #[error("the settings file has no listen address for the control role")]
    NoAddress,
    #[error("cannot listen on {0}: {1}")]
    Listen(std::net::SocketAddr, std::io::Error),
    #[error(transparent)]
    Reg(#[from] wv_consensus::RegError),
}
