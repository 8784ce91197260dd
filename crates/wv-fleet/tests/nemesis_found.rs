//! Days that the nemesis found, each the shortest that broke its rule.
use googletest::prelude::*;
use wv_fleet::nemesis::{check, play, Day};

fn broken(text: &str) -> Vec<String> {
    let findings = Day::parse(text).map(|day| check(&play(&day), day.bound)).unwrap_or_default();
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
