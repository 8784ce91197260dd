//! What a node holds towards one database.

/// The connections to one database and who waits for one.
#[derive(Default)]
pub struct Pool {
    pub idle: Vec<u64>,
    pub all: u32,
    pub opening: u32,
    pub waiting: std::collections::VecDeque<u64>,
    /// When anything last came from this database.
    pub heard: u64,
    /// Openings that failed in a row, and until when the next one waits.
    pub fails: u32,
    pub not_before: u64,
    /// The newest sending time among the statements that have returned.
    pub returned: u64,
    /// How long statements take there.
    pub work: wv_slow_start::LatencyEstimate,
    /// The slowest of late, of routes that read on replicas and of the others.
    pub slowest: [wv_slow_start::MaxLatency; 2],
    /// When a request was last offered here.
    pub used: u64,
    /// Connections that said a newer term than this node's slot map binds to.
    pub early: Vec<u64>,
    /// When its line is next served while it is being eased in.
    pub wake_at: u64,
    /// Who of the tenants holds and is owed what there.
    pub line: wv_fair_queue::FairQueue,
}
