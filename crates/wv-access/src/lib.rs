//! The access role: client sessions over pooled database connections. The core does no I/O; `run` executes its effects.
mod client;
mod contact;
mod control_session;
mod core;
mod db;
mod dispatch;
mod drain;
mod exec;
mod feed;
mod forward_response;
mod forwarded_sessions;
mod forwarding;
mod health_reports;
mod load_test_node;
mod maintenance;
mod metrics;
mod peer_links;
mod pool;
mod recorded_names;
mod recorder;
mod release;
mod request;
mod response;
mod run;
mod send;
mod slot_maps;
mod slots;
mod slow_start;
mod socket;
mod split_reports;
mod tenant_shares;
mod timer;
mod txn;
mod types;
mod wait_limit;

pub use crate::core::Core;
pub use health_reports::ReportScope;
pub use load_test_node::LoadTestNode;
pub use recorded_names::{decode_recorded_name, encode_recorded_name, recording_version, RECORDING_VERSION};
pub use recorder::EVENT_BYTES;
pub use run::{run, Options};
pub use types::{ConnectionLoss, Effect};

#[derive(thiserror::Error, Debug)]
pub enum AccessError {
    #[error("the settings file gives this role no {0} address")]
    NoAddress(&'static str),
    #[error("cannot listen on {0}: {1}")]
    Listen(std::net::SocketAddr, std::io::Error),
}
