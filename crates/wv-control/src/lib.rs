//! The control role: register, configuration, beats, feed and duties. Logic without sockets; `run` executes.
mod beats;
mod conf;
mod contact;
mod core;
mod departed;
mod drain;
mod duties;
mod exec;
mod falls;
mod fills;
mod force;
mod handover;
mod head;
mod judge;
mod keep;
mod leave_acks;
mod leaving;
mod metrics;
mod operate;
pub mod order;
mod outlook;
mod own;
mod peers;
mod post;
mod recall;
mod request;
mod run;
mod run_texts;
mod shards;
mod sweep;
mod takeover;
mod thin;
mod tick;
mod types;
mod voter;
mod voters;
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
