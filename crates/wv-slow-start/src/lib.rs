//! Slow start: limits the requests that all nodes together send to a database that has just recovered.
//!
//! Invariant: each node starts no more than its share of the current limit, so that the requests of all nodes,
//! including retries, add up to no more than the limit. The limit grows until the slow start is over.

/// Slow start settings.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct SlowStartConfig {
    pub is_enabled: bool,
    /// Duration after the first outage; it is multiplied by the number of recent outages.
    pub duration_us: u64,
    /// Initial limit of requests in flight, as a share of the capacity of the database.
    pub initial_share: f64,
}

impl Default for SlowStartConfig {
    fn default() -> SlowStartConfig {
        SlowStartConfig { is_enabled: true, duration_us: 2_000_000, initial_share: 1.0 }
    }
}

/// Final limit as a share of the capacity. It exceeds 1 since the database queues requests itself.
const FINAL_SHARE: f64 = 1.5;
/// Number of outages from which on further ones neither extend the slow start nor lower its initial limit.
const MAX_OUTAGES: u32 = 4;
/// Lower bound of the latency estimate, so that a few fast responses do not cause a burst.
const MIN_LATENCY_US: f64 = 1_000.0;
/// Capacity of the token bucket.
const MAX_TOKENS: f64 = 1.0;

/// Moving average of the latency of statements at one database as seen by this node, including the database's own
/// queue and the network. An overloaded database responds later and therefore receives fewer requests.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct LatencyEstimate(f64);

impl Default for LatencyEstimate {
    fn default() -> LatencyEstimate {
        LatencyEstimate(20_000.0)
    }
}

impl LatencyEstimate {
    pub fn record(&mut self, latency_us: u64) {
        // An increase of the latency is adopted faster than a decrease.
        let weight = if latency_us as f64 > self.0 { 0.3 } else { 0.1 };
        self.0 += (latency_us as f64 - self.0) * weight;
    }

    pub fn latency_us(&self) -> f64 {
        self.0.max(MIN_LATENCY_US)
    }
}

/// Decaying maximum of the response latency. A response that takes much longer is considered lost.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct MaxLatency(f64);

impl Default for MaxLatency {
    fn default() -> MaxLatency {
        MaxLatency(300_000.0)
    }
}

impl MaxLatency {
    pub fn record(&mut self, latency_us: u64) {
        self.0 = (self.0 * 0.995).max(latency_us as f64);
    }

    /// Latency above which a response is overdue.
    pub fn overdue_us(&self) -> u64 {
        (self.0 * 1.5) as u64
    }
}

/// Slow start of one database on one node: a token bucket with a growing rate.
#[derive(Clone, Debug)]
pub struct SlowStart {
    started_at_us: u64,
    duration_us: f64,
    initial_share: f64,
    tokens: f64,
    refilled_at_us: u64,
}

/// Inputs of the rate limit.
#[derive(Clone, Copy, Debug)]
pub struct RateInputs {
    pub now_us: u64,
    pub capacity: u32,
    pub nodes: u32,
    pub latency_us: f64,
}

impl SlowStart {
    /// `outages` counts the recent outages. `cold_us` is how long the database reports to be slow after its start.
    pub fn new(config: SlowStartConfig, outages: u32, cold_us: u64, now_us: u64) -> SlowStart {
        let outages = outages.clamp(1, MAX_OUTAGES);
        let duration_us = (config.duration_us + cold_us) as f64 * f64::from(outages);
        SlowStart {
            started_at_us: now_us,
            duration_us: duration_us.max(1.0),
            initial_share: config.initial_share / f64::from(1 << (outages - 1)),
            tokens: 0.0,
            refilled_at_us: now_us,
        }
    }

    pub fn is_over(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.started_at_us) as f64 >= self.duration_us
    }

    /// The number of requests that all nodes together may have in flight.
    fn in_flight_limit(&self, inputs: &RateInputs) -> f64 {
        let progress = (inputs.now_us.saturating_sub(self.started_at_us) as f64 / self.duration_us).min(1.0);
        f64::from(inputs.capacity.max(1))
            * (self.initial_share + (FINAL_SHARE - self.initial_share) * progress * progress)
    }

    /// Requests per microsecond that this node may start.
    fn rate(&self, inputs: &RateInputs) -> f64 {
        self.in_flight_limit(inputs) / (inputs.latency_us.max(MIN_LATENCY_US) * f64::from(inputs.nodes.max(1)))
    }

    fn available_tokens(&self, inputs: &RateInputs) -> f64 {
        let elapsed_us = inputs.now_us.saturating_sub(self.refilled_at_us) as f64;
        (self.tokens + elapsed_us * self.rate(inputs)).min(MAX_TOKENS)
    }

    fn refill(&mut self, inputs: &RateInputs) {
        self.tokens = self.available_tokens(inputs);
        self.refilled_at_us = self.refilled_at_us.max(inputs.now_us);
    }

    /// Whether a request may start now while this node has `in_flight` requests in progress. Until the first response
    /// the latency estimate is stale, and only the in-flight limit protects the database.
    pub fn can_start(&self, inputs: &RateInputs, in_flight: u32) -> bool {
        let share = (self.in_flight_limit(inputs) / f64::from(inputs.nodes.max(1))).ceil().max(1.0);
        f64::from(in_flight) < share && self.available_tokens(inputs) >= 1.0 - 1e-9
    }

    /// Records a started request. Statements of open transactions start without a token, so tokens may be negative.
    pub fn record_start(&mut self, inputs: &RateInputs) {
        self.refill(inputs);
        self.tokens -= 1.0;
    }

    /// When the next request may start at the current rate.
    pub fn next_start_us(&self, inputs: &RateInputs) -> u64 {
        let missing = (1.0 - self.available_tokens(inputs)).max(0.0);
        inputs.now_us + ((missing / self.rate(inputs)).ceil() as u64).clamp(1, 1_000_000)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    /// Requests that all nodes start when each tries every 500 µs.
    fn starts(outages: u32, nodes: u32, from_us: u64, until_us: u64, latency_us: f64) -> u32 {
        let mut total = 0;
        for _ in 0..nodes {
            let mut slow_start = SlowStart::new(SlowStartConfig::default(), outages, 0, 0);
            for now_us in (from_us..until_us).step_by(500) {
                let inputs = RateInputs { now_us, capacity: 5, nodes, latency_us };
                if slow_start.can_start(&inputs, 0) {
                    slow_start.record_start(&inputs);
                    total += 1;
                }
            }
        }
        total
    }

    #[gtest]
    fn given_any_number_of_nodes_under_load_then_together_they_start_as_many_requests_as_a_single_node() {
        let limit = starts(1, 1, 0, 1_000_000, 10_000.0);
        for nodes in [2, 11, 60] {
            expect_that!(starts(1, nodes, 0, 1_000_000, 10_000.0), le(limit + limit / 10 + nodes));
        }
        // A capacity of 5 at 10 ms per request with a growing share: about 600 starts in the first second.
        expect_that!(limit, all![gt(450), lt(750)]);
    }

    #[gtest]
    fn given_slower_responses_or_repeated_outages_then_fewer_requests_start() {
        expect_that!(starts(1, 4, 0, 1_000_000, 40_000.0), lt(starts(1, 4, 0, 1_000_000, 10_000.0) / 3));
        expect_that!(starts(3, 4, 0, 1_000_000, 10_000.0), lt(starts(1, 4, 0, 1_000_000, 10_000.0) / 3));
    }

    #[gtest]
    fn given_requests_in_flight_then_a_node_stops_at_its_share_of_the_limit() {
        let slow_start = SlowStart::new(SlowStartConfig::default(), 1, 0, 0);
        let inputs = |nodes| RateInputs { now_us: 500_000, capacity: 10, nodes, latency_us: 10_000.0 };
        expect_that!((slow_start.can_start(&inputs(6), 1), slow_start.can_start(&inputs(6), 2)), eq((true, false)));
        expect_that!((slow_start.can_start(&inputs(60), 0), slow_start.can_start(&inputs(60), 1)), eq((true, false)));
    }

    #[gtest]
    fn given_a_negative_balance_from_open_transactions_then_new_requests_wait_until_it_is_refilled() {
        let mut slow_start = SlowStart::new(SlowStartConfig::default(), 1, 0, 0);
        let inputs = |now_us| RateInputs { now_us, capacity: 5, nodes: 5, latency_us: 10_000.0 };
        (0..3).for_each(|_| slow_start.record_start(&inputs(1000)));
        expect_that!(slow_start.can_start(&inputs(30_000), 0), eq(false));
        let due = slow_start.next_start_us(&inputs(30_000));
        expect_that!(due, gt(35_000));
        expect_that!(slow_start.can_start(&inputs(due + 1000), 0), eq(true));
        expect_that!(slow_start.is_over(2_000_000), eq(true));
    }
}
