//! Easing a database back in: what all nodes together may start on one that has just returned.
//!
//! Each node starts no more than its share of what the database bears, so that the fleet's asks, and above all
//! its retries, add up to that and no more. The share grows over a span and then the easing is over.

/// How easing is done; the operator's to set.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Plan {
    pub is_on: bool,
    /// How long a database is eased in after its first fall; longer after each further one.
    pub span_us: u64,
    /// The part of its capacity that is offered at the start.
    pub first: f64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan { is_on: true, span_us: 2_000_000, first: 1.0 }
    }
}

/// At the end of the span more is offered than it runs at once: it has a line of its own.
const LAST: f64 = 1.5;
/// No fall makes the start smaller than this part of it.
const FALLS_MAX: u32 = 4;
/// Work is never taken to be shorter than this, so that a few quick returns open no flood.
const WORK_MIN_US: f64 = 1_000.0;
/// Unused starts do not pile up beyond this.
const SAVED_MAX: f64 = 1.0;

/// How long a statement takes at one database, as this node sees it: its own line and the way there included.
/// A database that falls behind returns later, and by that alone is offered less.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Work(f64);

impl Default for Work {
    fn default() -> Work {
        Work(20_000.0)
    }
}

impl Work {
    pub fn note(&mut self, us: u64) {
        // Slower is believed sooner than quicker.
        let part = if us as f64 > self.0 { 0.3 } else { 0.1 };
        self.0 += (us as f64 - self.0) * part;
    }

    pub fn us(&self) -> f64 {
        self.0.max(WORK_MIN_US)
    }
}

/// The slowest return of late, forgotten little by little: what takes much longer than it is lost.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Slowest(f64);

impl Default for Slowest {
    fn default() -> Slowest {
        Slowest(300_000.0)
    }
}

impl Slowest {
    pub fn note(&mut self, us: u64) {
        self.0 = (self.0 * 0.995).max(us as f64);
    }

    /// When a return is overdue.
    pub fn overdue_us(&self) -> u64 {
        (self.0 * 1.5) as u64
    }
}

/// One database being eased in, as one node does it.
#[derive(Clone, Debug)]
pub struct Ease {
    since: u64,
    span: f64,
    first: f64,
    saved: f64,
    filled: u64,
}

/// What the rate of starts depends on.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    pub now: u64,
    pub capacity: u32,
    pub nodes: u32,
    pub work_us: f64,
}

impl Ease {
    /// `falls` counts how often it fell lately, `cold_us` how long it says it is slow from its start.
    pub fn new(plan: Plan, falls: u32, cold_us: u64, now: u64) -> Ease {
        let falls = falls.clamp(1, FALLS_MAX);
        let span = (plan.span_us + cold_us) as f64 * f64::from(falls);
        Ease {
            since: now,
            span: span.max(1.0),
            first: plan.first / f64::from(1 << (falls - 1)),
            saved: 0.0,
            filled: now,
        }
    }

    pub fn is_over(&self, now: u64) -> bool {
        now.saturating_sub(self.since) as f64 >= self.span
    }

    /// What all nodes together may have under way.
    fn budget(&self, scale: &Scale) -> f64 {
        let part = (scale.now.saturating_sub(self.since) as f64 / self.span).min(1.0);
        f64::from(scale.capacity.max(1)) * (self.first + (LAST - self.first) * part * part)
    }

    /// Starts a microsecond that this node may make.
    fn rate(&self, scale: &Scale) -> f64 {
        self.budget(scale) / (scale.work_us.max(WORK_MIN_US) * f64::from(scale.nodes.max(1)))
    }

    fn filled(&self, scale: &Scale) -> f64 {
        let gone = scale.now.saturating_sub(self.filled) as f64;
        (self.saved + gone * self.rate(scale)).min(SAVED_MAX)
    }

    fn fill(&mut self, scale: &Scale) {
        self.saved = self.filled(scale);
        self.filled = self.filled.max(scale.now);
    }

    /// Whether one more may be started now, with `under_way` of this node's not returned yet. Before the first
    /// returns nothing tells how long its work takes now: then the count alone holds the fleet back.
    pub fn has(&self, scale: &Scale, under_way: u32) -> bool {
        let share = (self.budget(scale) / f64::from(scale.nodes.max(1))).ceil().max(1.0);
        f64::from(under_way) < share && self.filled(scale) >= 1.0 - 1e-9
    }

    /// One was started. What cannot wait, the next statement of an open transaction, is owed for.
    pub fn take(&mut self, scale: &Scale) {
        self.fill(scale);
        self.saved -= 1.0;
    }

    /// When the next start is due, at the rate of now.
    pub fn next(&self, scale: &Scale) -> u64 {
        let missing = (1.0 - self.filled(scale)).max(0.0);
        scale.now + ((missing / self.rate(scale)).ceil() as u64).clamp(1, 1_000_000)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    fn starts(falls: u32, nodes: u32, from: u64, until: u64, work_us: f64) -> u32 {
        let mut total = 0;
        for _ in 0..nodes {
            let mut ease = Ease::new(Plan::default(), falls, 0, 0);
            for now in (from..until).step_by(500) {
                let scale = Scale { now, capacity: 5, nodes, work_us };
                if ease.has(&scale, 0) {
                    ease.take(&scale);
                    total += 1;
                }
            }
        }
        total
    }

    #[gtest]
    fn given_any_number_of_nodes_when_all_press_then_their_starts_add_up_to_what_one_would_make() {
        let bears = starts(1, 1, 0, 1_000_000, 10_000.0);
        for nodes in [2, 11, 60] {
            expect_that!(starts(1, nodes, 0, 1_000_000, 10_000.0), le(bears + bears / 10 + nodes));
        }
        // Five slots at 10 ms each, growing: some 600 starts in the first second.
        expect_that!(bears, all![gt(450), lt(750)]);
    }

    #[gtest]
    fn given_returns_that_grow_slower_then_less_is_offered_and_after_falls_less_again() {
        expect_that!(starts(1, 4, 0, 1_000_000, 40_000.0), lt(starts(1, 4, 0, 1_000_000, 10_000.0) / 3));
        expect_that!(starts(3, 4, 0, 1_000_000, 10_000.0), lt(starts(1, 4, 0, 1_000_000, 10_000.0) / 3));
    }

    #[gtest]
    fn given_statements_under_way_then_a_node_holds_back_at_its_part_of_the_budget() {
        let ease = Ease::new(Plan::default(), 1, 0, 0);
        let scale = |nodes| Scale { now: 500_000, capacity: 10, nodes, work_us: 10_000.0 };
        expect_that!((ease.has(&scale(6), 1), ease.has(&scale(6), 2)), eq((true, false)));
        expect_that!((ease.has(&scale(60), 0), ease.has(&scale(60), 1)), eq((true, false)));
    }

    #[gtest]
    fn given_a_debt_from_open_transactions_then_new_starts_wait_it_out() {
        let mut ease = Ease::new(Plan::default(), 1, 0, 0);
        let scale = |now| Scale { now, capacity: 5, nodes: 5, work_us: 10_000.0 };
        (0..3).for_each(|_| ease.take(&scale(1000)));
        expect_that!(ease.has(&scale(30_000), 0), eq(false));
        let due = ease.next(&scale(30_000));
        expect_that!(due, gt(35_000));
        expect_that!(ease.has(&scale(due + 1000), 0), eq(true));
        expect_that!(ease.is_over(2_000_000), eq(true));
    }
}
