//! The sequenced change feed with its snapshots, and the table of database instances with its anti-entropy digests.
mod feed;
mod instance_table;

pub use feed::{Feed, Follower, Gap};
pub use instance_table::{InstanceTable, DIGEST_RANGES};
