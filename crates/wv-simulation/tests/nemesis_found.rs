//! Days that the nemesis found, each the shortest that broke its rule.
use googletest::prelude::*;
use wv_simulation::nemesis::{check, play, Day};

fn broken(text: &str) -> Vec<String> {
    let day = Day::parse(text).expect("a day that can be read");
    let findings = check(&play(&day), day.bound);
    findings.into_iter().map(|finding| format!("{}: {}", finding.check, finding.text)).collect()
}

#[gtest]
fn given_a_replica_that_left_and_then_a_primary_that_says_only_that_it_is_gone_then_another_leads() {
    let head = "nemesis seed=10 access=2 core=7 thin=0 bound=within\n";
    // The second leaves two seconds after the first is gone, or so much later.
    for later in (0..6u64).map(|step| 9100 + step * 700) {
        let day = format!("{head}0.100 drain s0 for 0.033\n{}.{:03} leave s1 for 0.033", later / 1000, later % 1000);
        expect_that!(broken(&day), is_empty(), "{day}");
    }
}

#[gtest]
fn given_two_machines_replaced_within_moments_then_the_set_bears_as_many_losses_as_before() {
    for (seed, first, second) in [(100_733, "replace c4", "replace c3"), (5017, "replace c4", "quit c0")] {
        for later in [125, 150, 362, 900, 2600, 4000] {
            let head = format!("nemesis seed={seed} access=2 core=5 thin=1 bound=beyond\n0.100 {first} for 0.039\n");
            let day = format!("{head}{}.{:03} {second} for 0.028", later / 1000, later % 1000);
            expect_that!(broken(&day), is_empty(), "{day}");
        }
    }
}

#[gtest]
fn given_a_replica_that_said_only_that_it_is_gone_and_serves_on_then_nobody_is_promoted_past_what_it_acknowledged() {
    let head = "nemesis seed=103885 access=2 core=3 thin=1 bound=beyond\n4.266 leave s1 for 0.021\n";
    let rest = "8.219 tear c2 for 1.204\n8.446 storm c0 c1 by 3\n";
    for dark in [347, 600, 1100] {
        let day = format!("{head}{rest}8.401 dark s0 for {}.{:03}", dark / 1000, dark % 1000);
        expect_that!(broken(&day), is_empty(), "{day}");
    }
}

#[gtest]
fn given_a_holder_that_comes_back_and_was_not_told_who_leads_then_the_lead_does_not_go_back() {
    let day = "nemesis seed=101117 access=2 core=4 thin=0 bound=beyond\n\
               6.419 tear c0 for 3.415\n7.625 deafen c1 for 0.573\n7.779 drain s0 for 2.580";
    expect_that!(broken(day), is_empty());
}

#[gtest]
fn given_days_on_which_the_world_was_at_fault_and_not_the_nodes_then_nothing_is_found() {
    // A client that had not heard the answer to its first words asked twice at a node that stood still.
    let frozen = "nemesis seed=309597 access=3 core=3 thin=0 bound=within\n\
                  0.100 freeze a0 for 1.290\n0.125 term a1 for 0.026\n0.823 crash s0 for 0.624";
    // A new machine was told of nobody but the one that went at once.
    let alone = "nemesis seed=306350 access=2 core=3 thin=0 bound=beyond\n\
                 0.100 power c0 for 1.359\n1.111 power c2 for 0.129\n1.198 quit c1 for 0.028";
    for day in [frozen, alone] {
        expect_that!(broken(day), is_empty(), "{day}");
    }
}
