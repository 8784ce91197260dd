//! Regression tests from shrunk fault schedules that once failed a check.
use googletest::prelude::*;
use wv_simulation::nemesis::{check, run, Schedule};

fn findings_of(text: &str) -> Vec<String> {
    let schedule = Schedule::parse(text).expect("a valid schedule");
    let findings = check(&run(&schedule), schedule.fault_bound);
    findings.into_iter().map(|finding| format!("{}: {}", finding.check, finding.text)).collect()
}

#[gtest]
fn given_a_drained_replica_and_then_a_primary_removed_without_drain_then_another_is_promoted() {
    let head = "nemesis seed=10 access=2 core=7 thin=0 bound=within\n";
    // The second removal starts 2 s after the first database stops, or later.
    for second_ms in (0..6u64).map(|step| 9100 + step * 700) {
        let schedule =
            format!("{head}0.100 drain s0 for 0.033\n{}.{:03} leave s1 for 0.033", second_ms / 1000, second_ms % 1000);
        expect_that!(findings_of(&schedule), is_empty(), "{schedule}");
    }
}

#[gtest]
fn given_two_control_nodes_replaced_in_quick_succession_then_fault_tolerance_is_restored() {
    for (seed, first, second) in [(100_733, "replace c4", "replace c3"), (5017, "replace c4", "quit c0")] {
        for second_ms in [125, 150, 362, 900, 2600, 4000] {
            let head = format!("nemesis seed={seed} access=2 core=5 thin=1 bound=beyond\n0.100 {first} for 0.039\n");
            let schedule = format!("{head}{}.{:03} {second} for 0.028", second_ms / 1000, second_ms % 1000);
            expect_that!(findings_of(&schedule), is_empty(), "{schedule}");
        }
    }
}

#[gtest]
fn given_a_removed_replica_that_still_acknowledges_then_no_promotion_loses_what_it_acknowledged() {
    let head = "nemesis seed=103885 access=2 core=3 thin=1 bound=beyond\n4.266 leave s1 for 0.021\n";
    let rest = "8.219 tear c2 for 1.204\n8.446 storm c0 c1 by 3\n";
    for unreachable_ms in [347, 600, 1100] {
        let schedule = format!("{head}{rest}8.401 dark s0 for {}.{:03}", unreachable_ms / 1000, unreachable_ms % 1000);
        expect_that!(findings_of(&schedule), is_empty(), "{schedule}");
    }
}

#[gtest]
fn given_a_returning_duty_holder_that_does_not_know_the_primary_then_the_promotion_is_not_reverted() {
    let schedule = "nemesis seed=101117 access=2 core=4 thin=0 bound=beyond\n\
               6.419 tear c0 for 3.415\n7.625 deafen c1 for 0.573\n7.779 drain s0 for 2.580";
    expect_that!(findings_of(schedule), is_empty());
}

#[gtest]
fn given_schedules_that_exposed_faults_of_the_simulation_then_no_check_fails() {
    // The simulated client resent its setup to a frozen node before the first response arrived.
    let frozen = "nemesis seed=309597 access=3 core=3 thin=0 bound=within\n\
                  0.100 freeze a0 for 1.290\n0.125 term a1 for 0.026\n0.823 crash s0 for 0.624";
    // A new control node got only the seed of a node that shut down at once.
    let alone = "nemesis seed=306350 access=2 core=3 thin=0 bound=beyond\n\
                 0.100 power c0 for 1.359\n1.111 power c2 for 0.129\n1.198 quit c1 for 0.028";
    for schedule in [frozen, alone] {
        expect_that!(findings_of(schedule), is_empty(), "{schedule}");
    }
}

/// Guards against a term that was announced but never led being taken for a promotion that a split waits for, and against
/// two reports of one promotion being taken for two.
#[gtest]
fn given_a_late_or_a_twice_reported_promotion_under_a_plan_then_the_shard_is_split_all_the_same() {
    for schedule in [
        "nemesis seed=32 access=2 core=3 thin=1 bound=within\n0.100 sluggish for 1.013 by 6695\n0.359 plan c2",
        "nemesis seed=169 access=2 core=7 thin=0 bound=beyond\n0.100 slow c0 for 0.036 by 19\n0.276 plan c1",
    ] {
        expect_that!(findings_of(schedule), is_empty(), "{schedule}");
    }
}

/// Guards against the sweep of a withdrawn plan's registers reading key lists as slot maps: a control node asked for 300
/// petabytes of memory and ended.
#[gtest]
fn given_plans_withdrawn_on_a_drawn_day_then_the_sweep_ends_no_control_node() {
    let schedule = wv_simulation::nemesis::generate(114);
    expect_that!(check(&run(&schedule), schedule.fault_bound), is_empty(), "{schedule}");
}

/// Guards against a list of names being acknowledged though its coordinator lost the ballot before it was stored: what
/// was listed was left behind by the split.
#[gtest]
fn given_a_coordinator_that_loses_its_ballot_under_a_list_of_names_then_the_list_is_not_acknowledged() {
    let schedule = "nemesis seed=2400112 access=2 core=3 thin=0 bound=beyond\n0.000 partners c1\n0.598 route c2\n\
        0.755 freeze a0 for 2.703\n0.887 plan c1\n1.503 freeze c2 for 0.818\n1.575 unplan c2\n1.828 plan c2\n\
        2.069 repeat c1";
    expect_that!(findings_of(schedule), is_empty());
}
