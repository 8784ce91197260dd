//! Stories of one line and its tenants, slot by slot.
use googletest::prelude::*;
use wv_fair_queue::{Line, Tenants};

fn tenants(weights: &[(&str, u64)]) -> Tenants {
    let list: Vec<wv_configuration::Tenant> = weights
        .iter()
        .map(|(label, weight)| wv_configuration::Tenant {
            label: (*label).to_owned(),
            weight: *weight,
            hosts: vec![(*label).to_owned()],
            users: Vec::new(),
        })
        .collect();
    Tenants::new(&list, &Tenants::default())
}

/// Serves one slot for `rounds`; `demand(round, tenant)` says who waits, `work(tenant)` how long each holds the slot.
fn serve(tenants: &Tenants, rounds: u64, demand: impl Fn(u64, u16) -> bool, work: impl Fn(u16) -> u64) -> Vec<u64> {
    let (mut line, mut held) = (Line::default(), vec![0; tenants.len()]);
    for round in 0..rounds {
        let waiting = (0..tenants.len() as u16).filter(|tenant| demand(round, *tenant));
        let Some(next) = line.fair.nominate(waiting) else { continue };
        let weight = tenants.weight(next);
        let expected = line.start(next, weight);
        line.end(next, weight, expected, work(next));
        held[next as usize] += work(next);
    }
    held
}

#[gtest]
fn given_two_that_surge_at_weights_3_and_1_then_they_get_time_at_3_to_1_whatever_each_ask_takes() {
    let tenants = tenants(&[("a", 3), ("b", 1)]);
    for (long, short) in [(10_000, 10_000), (40_000, 5_000), (3_000, 30_000)] {
        let held = serve(&tenants, 20_000, |_, tenant| tenant > 0, |tenant| if tenant == 1 { long } else { short });
        let ratio = held[1] as f64 / held[2] as f64;
        expect_that!(ratio, all![gt(2.9), lt(3.1)], "requests of {long} and {short}");
    }
}

#[gtest]
fn given_a_tenant_alone_or_others_idle_then_it_gets_all_and_owes_nothing_after() {
    let tenants = tenants(&[("a", 1), ("b", 1)]);
    // For 5,000 rounds the second is alone; then both want all there is.
    let alone = serve(&tenants, 5_000, |_, tenant| tenant == 2, |_| 10_000);
    expect_that!(alone[2], eq(50_000_000));
    let both = serve(&tenants, 10_000, |round, tenant| tenant == 2 || (tenant == 1 && round >= 5_000), |_| 10_000);
    let (first, second) = (both[1], both[2] - 50_000_000);
    // Neither does the first make up for its idle time, nor the second pay for having had all.
    expect_that!((first as i64 - second as i64).abs(), le(20_000));
}

#[gtest]
fn given_a_borrower_of_long_holds_then_what_active_others_are_entitled_to_stays_free() {
    let tenants = tenants(&[("a", 1), ("b", 1)]);
    let mut line = Line::default();
    line.asked(1, 1_000_000);
    line.asked(2, 1_000_000);
    let mut taken = 0;
    while line.may_hold(&tenants, 2, 8, 1_100_000) && taken < 8 {
        line.start(2, 1);
        taken += 1;
    }
    expect_that!(taken, eq(4));
    expect_that!(line.may_hold(&tenants, 1, 8, 1_100_000), eq(true));
    // Once the other has asked for nothing for a while, all may be taken.
    expect_that!(line.may_hold(&tenants, 2, 8, 9_000_000), eq(true));
}

#[gtest]
fn given_hosts_users_and_a_change_of_weights_then_each_session_finds_its_tenant_under_its_old_number() {
    let tenant = |label: &str, weight: u64, users: &[&str]| wv_configuration::Tenant {
        label: label.to_owned(),
        weight,
        hosts: vec!["shared".to_owned()],
        users: users.iter().map(|user| (*user).to_owned()).collect(),
    };
    let first = Tenants::new(&[tenant("a", 3, &["apps-*"]), tenant("b", 1, &["scan"])], &Tenants::default());
    expect_that!(first.find("shared", "apps-7"), eq(1));
    expect_that!(first.find("shared", "scan"), eq(2));
    expect_that!(first.find("shared", "scanner"), eq(wv_fair_queue::DEFAULT));
    expect_that!(first.find("other", "scan"), eq(wv_fair_queue::DEFAULT));
    let second = Tenants::new(&[tenant("b", 5, &["scan"])], &first);
    expect_that!((second.find("shared", "scan"), second.weight(2)), eq((2, 5)));
    expect_that!((second.find("shared", "apps-7"), second.weight(1)), eq((wv_fair_queue::DEFAULT, 1)));
}
