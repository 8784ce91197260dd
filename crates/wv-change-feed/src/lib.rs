//! The numbered feed of changes, its snapshot, and the table of databases with its repair digests.
mod follow;
mod table;

pub use follow::{Feed, Follower, Gap};
pub use table::{Table, RANGES};
