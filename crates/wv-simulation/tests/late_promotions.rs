//! Promotion calls that take effect long after the duty holder stopped waiting for them: no acknowledged commit is lost,
//! and once the platform answers again nothing stays suspended and clients are served.
mod scenario;

use googletest::prelude::*;
use scenario::{finish_and_check, serving_under_load};
use wv_simulation::{Simulation, MS, S};

/// Later than the timeouts of several attempts, and later than a control node waits for an answer.
const PLATFORM_DELAYS_US: [u64; 3] = [6 * S, 14 * S, 40 * S];

/// A fleet whose primary crashed for two seconds. The platform was called and works on the call after `delay_us`.
struct LatePromotion {
    sim: Simulation,
    /// The database that the first call names, and the other replica.
    named: usize,
    other: usize,
    called_at: u64,
}

impl LatePromotion {
    fn new(delay_us: u64) -> LatePromotion {
        let mut sim = serving_under_load(4, 3);
        sim.platform_delay_us = delay_us;
        sim.crash(0);
        while sim.promotion_calls.is_empty() {
            sim.run(MS);
        }
        let called_at = sim.now;
        let named = sim.database_index(&sim.promotion_calls[0].1.clone()).unwrap_or(0);
        sim.run(2 * S);
        sim.revive(0);
        LatePromotion { sim, named, other: 3 - named, called_at }
    }

    /// The control node that made the last call.
    fn holder(&self) -> usize {
        self.sim.last_promotion_caller().unwrap_or(0)
    }

    fn run_until_promoted(&mut self, limit_us: u64) {
        let end = self.sim.now + limit_us;
        while self.sim.now < end && !self.sim.databases[self.named].is_primary {
            self.sim.run(10 * MS);
        }
    }

    /// Ends all troubles and asserts that clients are served again and that nothing stays suspended.
    fn expect_recovery(mut self, context: &str) {
        let delay_us = std::mem::replace(&mut self.sim.platform_delay_us, 0);
        self.sim.databases.iter_mut().for_each(|database| database.is_log_blocked = false);
        // Calls that are still on their way are worked on in this time.
        self.sim.run(delay_us + 12 * S);
        let served = self.sim.load_counts().0;
        self.sim.run(2 * S);
        expect_that!(self.sim.load_counts().0, gt(served + 50), "{context}: clients are served");
        let suspended: Vec<u64> = self.sim.databases.iter().map(|database| database.suspended).collect();
        expect_that!(suspended, each(eq(&0)), "{context}");
        expect_that!(finish_and_check(&mut self.sim), is_empty(), "{context}");
    }
}

/// Guards against replicas that are resumed when an attempt ends while its call may still take effect.
#[gtest]
fn given_a_call_that_outlives_its_attempt_when_the_named_database_receives_nothing_then_no_commit_is_lost() {
    for delay_us in PLATFORM_DELAYS_US {
        let mut late = LatePromotion::new(delay_us);
        late.sim.run(2_400 * MS);
        let named = late.named;
        late.sim.databases[named].is_log_blocked = true;
        late.run_until_promoted(delay_us + 2 * S);
        expect_that!(late.sim.databases[named].is_primary, eq(true), "promoted late, {delay_us}");
        late.expect_recovery(&format!("platform delay {delay_us} us"));
    }
}

/// Guards against a service that is not served while a call is outstanding although all databases are well.
#[gtest]
fn given_a_call_without_an_answer_when_the_primary_is_back_then_clients_are_served_meanwhile() {
    let mut late = LatePromotion::new(40 * S);
    late.sim.run(3 * S);
    let served = late.sim.load_counts().0;
    late.sim.run(4 * S);
    expect_that!(late.sim.load_counts().0, gt(served + 100));
    expect_that!(late.sim.databases[late.named].suspended, eq(0), "the named database receives");
    expect_that!(late.sim.databases[late.other].suspended, gt(0), "the other one is suspended");
    late.expect_recovery("primary back");
}

/// Guards against a successor that resumes replicas although its predecessor's call may still take effect.
#[gtest]
fn given_a_holder_that_ends_after_its_call_when_the_named_database_receives_nothing_then_no_commit_is_lost() {
    for delay_us in PLATFORM_DELAYS_US {
        for kill_after_us in [0, 500 * MS, 3 * S] {
            let mut late = LatePromotion::new(delay_us);
            late.sim.run(kill_after_us);
            let holder = late.holder();
            late.sim.kill_control(holder);
            late.sim.run(2_400 * MS);
            let named = late.named;
            late.sim.databases[named].is_log_blocked = true;
            let until = late.called_at + delay_us + S;
            late.run_until_promoted(until.saturating_sub(late.sim.now));
            expect_that!(late.sim.databases[named].is_primary, eq(true), "promoted late, {delay_us} {kill_after_us}");
            late.sim.start_control(holder, false);
            late.expect_recovery(&format!("platform delay {delay_us} us, killed after {kill_after_us} us"));
        }
    }
}

/// Guards against all control nodes forgetting a call that one of them made before they ended together.
#[gtest]
fn given_all_control_nodes_restarted_after_a_call_then_no_commit_is_lost() {
    let mut late = LatePromotion::new(14 * S);
    (0..3).for_each(|at| late.sim.kill_control(at));
    late.sim.run(500 * MS);
    (0..3).for_each(|at| late.sim.start_control(at, false));
    late.sim.run(4 * S);
    let named = late.named;
    late.sim.databases[named].is_log_blocked = true;
    late.run_until_promoted(14 * S);
    expect_that!(late.sim.databases[named].is_primary, eq(true));
    late.expect_recovery("all control nodes restarted");
}

/// Guards against a replica that receives again after its restart while a call names another one.
#[gtest]
fn given_a_suspended_replica_that_restarts_then_it_is_suspended_again() {
    let mut late = LatePromotion::new(14 * S);
    late.sim.run(3 * S);
    let (named, other) = (late.named, late.other);
    late.sim.crash(other);
    late.sim.run(300 * MS);
    late.sim.revive(other);
    late.sim.run(2 * S);
    expect_that!(late.sim.databases[other].suspended, gt(0));
    late.sim.databases[named].is_log_blocked = true;
    late.run_until_promoted(14 * S);
    late.expect_recovery("replica restarted");
}

/// Guards against a service that waits for ever for a database that is named by a call and does not return.
#[gtest]
fn given_a_named_database_that_is_gone_then_a_higher_fence_ends_the_wait() {
    for is_unreachable in [false, true] {
        let mut late = LatePromotion::new(6 * S);
        late.sim.run(S);
        let named = late.named;
        match is_unreachable {
            true => late.sim.make_unreachable(named),
            false => late.sim.crash(named),
        }
        late.sim.run(20 * S);
        let served = late.sim.load_counts().0;
        late.sim.run(2 * S);
        expect_that!(late.sim.load_counts().0, gt(served + 50), "served without it, unreachable: {is_unreachable}");
        late.sim.revive(named);
        late.expect_recovery("named database gone");
    }
}

/// Guards against a call whose answer is lost being taken for one that had no effect.
#[gtest]
fn given_lost_answers_of_the_platform_then_the_database_that_was_promoted_leads() {
    let mut sim = serving_under_load(4, 3);
    sim.is_platform_losing_answers = true;
    sim.crash(0);
    sim.run(6 * S);
    expect_that!(sim.primary(), not(eq(0)));
    sim.is_platform_losing_answers = false;
    sim.revive(0);
    sim.run(6 * S);
    let served = sim.load_counts().0;
    sim.run(2 * S);
    expect_that!(sim.load_counts().0, gt(served + 50));
    expect_that!(sim.databases.iter().all(|database| database.suspended == 0), eq(true));
    expect_that!(finish_and_check(&mut sim), is_empty());
}

/// Guards against a replica that restarts and acknowledges what the named database, which receives nothing, lacks.
#[gtest]
fn given_a_replica_that_restarts_while_the_named_database_receives_nothing_then_no_commit_is_lost() {
    for down_us in [600 * MS, 1_500 * MS, 3 * S] {
        let mut late = LatePromotion::new(10 * S);
        late.sim.run(2 * S);
        let (named, other) = (late.named, late.other);
        late.sim.crash(other);
        late.sim.databases[named].is_log_blocked = true;
        late.sim.run(down_us);
        late.sim.revive(other);
        late.run_until_promoted(10 * S);
        expect_that!(late.sim.databases[named].is_primary, eq(true), "promoted late");
        late.expect_recovery(&format!("replica down for {down_us} us"));
    }
}

/// Guards against a leader that yielded for an unresolved call and is never replaced.
#[gtest]
fn given_a_leader_that_yielded_when_the_named_database_is_gone_then_the_service_has_a_leader_again() {
    for outage_us in [0, 12 * S] {
        let mut late = LatePromotion::new(6 * S);
        late.sim.run(2 * S);
        let (named, other) = (late.named, late.other);
        late.sim.crash(other);
        late.sim.crash(named);
        late.sim.run(S);
        late.sim.revive(other);
        late.sim.run(4 * S);
        // The platform may be down just when the leader is to be named again.
        late.sim.is_platform_down = outage_us > 0;
        late.sim.run(outage_us);
        late.sim.is_platform_down = false;
        late.sim.run(16 * S);
        let served = late.sim.load_counts().0;
        late.sim.run(2 * S);
        expect_that!(late.sim.load_counts().0, gt(served + 50), "served without the named database, {outage_us}");
        late.sim.revive(named);
        late.expect_recovery(&format!("leader yielded, outage of {outage_us} us"));
    }
}
