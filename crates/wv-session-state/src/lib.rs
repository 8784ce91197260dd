//! Client session state and its replication onto pooled connections.
mod prepared;
mod session;

pub use prepared::PreparedStatements;
pub use session::{sync_connection, ConnectionState, Session, SessionError, SyncCost};
