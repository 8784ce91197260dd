//! Connection pool of one database instance.

/// The connections to one database and the queue of requests waiting for one.
#[derive(Default)]
pub struct Pool {
    pub idle: Vec<u64>,
    pub total: u32,
    pub opening: u32,
    pub waiting: std::collections::VecDeque<u64>,
    /// When data was last received from this database.
    pub last_data_at: u64,
    /// Consecutive failed connection attempts, and the earliest time of the next one.
    pub open_failures: u32,
    pub open_not_before: u64,
    /// The latest send time among answered statements.
    pub last_returned_sent_at: u64,
    /// Typical execution time of statements.
    pub service_time: wv_slow_start::LatencyEstimate,
    /// Recent maximum latencies, by route class.
    pub slowest: [wv_slow_start::MaxLatency; 2],
    /// When a request was last routed here.
    pub last_used_at: u64,
    /// Connections that reported a newer term than this node's slot map.
    pub newer_term: Vec<u64>,
    /// When the queue is next served during slow start.
    pub wake_at: u64,
    /// Fair queue of the tenants.
    pub fair_queue: wv_fair_queue::FairQueue,
}
