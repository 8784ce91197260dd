//! Shard ownership by portions while nodes join, leave and return.
use googletest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use wv_configuration::Partner;
use wv_shard_assignment::{assign_owners, live_nodes_by_partner, quotas};

fn partner(label: &str, portion: u64) -> Partner {
    Partner { label: label.to_owned(), portion, nodes: vec![format!("{label}-*")] }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|at| format!("s{at:02}")).collect()
}

fn count<'a>(owners: &'a BTreeMap<String, String>, start: &'a str) -> usize {
    owners.values().filter(|owner| owner.starts_with(start)).count()
}

fn moves(old: &BTreeMap<String, String>, new: &BTreeMap<String, String>) -> usize {
    new.iter().filter(|(shard, owner)| old.get(*shard).is_some_and(|held| held != *owner)).count()
}

#[gtest]
fn given_portions_then_each_partner_holds_its_quota_to_within_one_shard_and_its_nodes_are_balanced() {
    let partners = [partner("east", 1), partner("north", 3), partner("west", 2)];
    let nodes: Vec<String> = (0..3).flat_map(|at| ["east", "north", "west"].map(|of| format!("{of}-{at}"))).collect();
    let live: BTreeSet<&str> = nodes.iter().map(String::as_str).collect();
    for shards in [1, 2, 5, 7, 30, 31] {
        let owners = assign_owners(&partners, &live, &names(shards), &BTreeMap::new());
        expect_that!(owners.len(), eq(shards));
        for (held, portion) in partners.iter().zip([1.0, 3.0, 2.0]) {
            let exact = shards as f64 * portion / 6.0;
            expect_that!((count(&owners, &held.label) as f64 - exact).abs(), lt(1.0), "{} of {shards}", held.label);
            let loads: Vec<usize> = (0..3).map(|at| count(&owners, &format!("{}-{at}", held.label))).collect();
            expect_that!(loads.iter().max().unwrap_or(&0) - loads.iter().min().unwrap_or(&0), le(1));
        }
        // The assignment is stable: reapplying it moves nothing.
        expect_that!(assign_owners(&partners, &live, &names(shards), &owners), eq(&owners));
    }
}

#[gtest]
fn given_a_lost_node_then_only_its_shards_move_and_the_quota_of_a_partner_without_nodes_goes_to_others() {
    let partners = [partner("north", 3), partner("south", 1)];
    let all = ["north-0", "north-1", "north-2", "south-0"];
    let live: BTreeSet<&str> = all.into_iter().collect();
    let owners = assign_owners(&partners, &live, &names(24), &BTreeMap::new());
    expect_that!((count(&owners, "north"), count(&owners, "south")), eq((18, 6)));
    let fewer: BTreeSet<&str> = all.into_iter().filter(|node| *node != "north-1").collect();
    let after = assign_owners(&partners, &fewer, &names(24), &owners);
    expect_that!(moves(&owners, &after), eq(count(&owners, "north-1")));
    let without: BTreeSet<&str> = all.into_iter().filter(|node| node.starts_with("north")).collect();
    let after = assign_owners(&partners, &without, &names(24), &owners);
    expect_that!(count(&after, "north"), eq(24));
    expect_that!(moves(&owners, &after), eq(6));
    // When it returns, it regains its quota and nothing else moves.
    let back = assign_owners(&partners, &live, &names(24), &after);
    expect_that!((count(&back, "south"), moves(&after, &back)), eq((6, 6)));
}

#[gtest]
fn given_changed_portions_then_only_the_required_shards_move() {
    let live: BTreeSet<&str> = ["a-0", "a-1", "b-0", "b-1"].into_iter().collect();
    let owners = assign_owners(&[partner("a", 1), partner("b", 1)], &live, &names(20), &BTreeMap::new());
    let after = assign_owners(&[partner("a", 3), partner("b", 1)], &live, &names(20), &owners);
    expect_that!((count(&after, "a"), count(&after, "b")), eq((15, 5)));
    expect_that!(moves(&owners, &after), eq(5));
}

#[gtest]
fn given_no_live_nodes_then_no_shard_has_an_owner() {
    let partners = [partner("a", 1)];
    expect_that!(assign_owners(&partners, &BTreeSet::new(), &names(3), &BTreeMap::new()), is_empty());
    expect_that!(quotas(&partners, &live_nodes_by_partner(&partners, &BTreeSet::new()), 3), eq(&vec![0]));
}
