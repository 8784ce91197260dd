//! Fair sharing of one queue's slots among tenants.
use googletest::prelude::*;
use wv_fair_queue::{FairQueue, Tenants};

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

/// Schedules a single slot for `rounds` rounds. `demand(round, tenant)` tells whether a tenant is waiting, and
/// `work(tenant)` how long it holds the slot. Returns the time held, by tenant.
fn serve(tenants: &Tenants, rounds: u64, demand: impl Fn(u64, u16) -> bool, work: impl Fn(u16) -> u64) -> Vec<u64> {
    let (mut queue, mut held) = (FairQueue::default(), vec![0; tenants.len()]);
    for round in 0..rounds {
        let waiting = (0..tenants.len() as u16).filter(|tenant| demand(round, *tenant));
        let Some(next) = queue.scheduler.select(waiting) else { continue };
        let weight = tenants.weight(next);
        let expected = queue.start(next, weight);
        queue.finish(next, weight, expected, work(next));
        held[next as usize] += work(next);
    }
    held
}

#[gtest]
fn given_two_saturating_tenants_with_weights_3_and_1_then_slot_time_is_3_to_1_for_any_request_duration() {
    let tenants = tenants(&[("a", 3), ("b", 1)]);
    for (long, short) in [(10_000, 10_000), (40_000, 5_000), (3_000, 30_000)] {
        let held = serve(&tenants, 20_000, |_, tenant| tenant > 0, |tenant| if tenant == 1 { long } else { short });
        let ratio = held[1] as f64 / held[2] as f64;
        expect_that!(ratio, all![gt(2.9), lt(3.1)], "requests of {long} and {short}");
    }
}

#[gtest]
fn given_one_active_tenant_then_it_gets_all_slots_and_incurs_no_debt() {
    let tenants = tenants(&[("a", 1), ("b", 1)]);
    // The second tenant is alone for 5,000 rounds, then both saturate the slot.
    let alone = serve(&tenants, 5_000, |_, tenant| tenant == 2, |_| 10_000);
    expect_that!(alone[2], eq(50_000_000));
    let both = serve(&tenants, 10_000, |round, tenant| tenant == 2 || (tenant == 1 && round >= 5_000), |_| 10_000);
    let (first, second) = (both[1], both[2] - 50_000_000);
    // The first gets no credit for its idle time, and the second is not penalized for using spare capacity.
    expect_that!((first as i64 - second as i64).abs(), le(20_000));
}

#[gtest]
fn given_a_tenant_with_long_holds_then_slots_of_other_active_tenants_stay_free() {
    let tenants = tenants(&[("a", 1), ("b", 1)]);
    let mut queue = FairQueue::default();
    queue.record_request(1, 1_000_000);
    queue.record_request(2, 1_000_000);
    let mut taken = 0;
    while queue.may_hold_slot(&tenants, 2, 8, 1_100_000) && taken < 8 {
        queue.start(2, 1);
        taken += 1;
    }
    expect_that!(taken, eq(4));
    expect_that!(queue.may_hold_slot(&tenants, 1, 8, 1_100_000), eq(true));
    // Once the other tenant is inactive, all slots may be taken.
    expect_that!(queue.may_hold_slot(&tenants, 2, 8, 9_000_000), eq(true));
}

#[gtest]
fn given_a_changed_configuration_then_sessions_resolve_to_tenants_with_unchanged_numbers() {
    let tenant = |label: &str, weight: u64, users: &[&str]| wv_configuration::Tenant {
        label: label.to_owned(),
        weight,
        hosts: vec!["shared".to_owned()],
        users: users.iter().map(|user| (*user).to_owned()).collect(),
    };
    let first = Tenants::new(&[tenant("a", 3, &["apps-*"]), tenant("b", 1, &["scan"])], &Tenants::default());
    expect_that!(first.tenant_of("shared", "apps-7"), eq(1));
    expect_that!(first.tenant_of("shared", "scan"), eq(2));
    expect_that!(first.tenant_of("shared", "scanner"), eq(wv_fair_queue::DEFAULT_TENANT));
    expect_that!(first.tenant_of("other", "scan"), eq(wv_fair_queue::DEFAULT_TENANT));
    let second = Tenants::new(&[tenant("b", 5, &["scan"])], &first);
    expect_that!((second.tenant_of("shared", "scan"), second.weight(2)), eq((2, 5)));
    expect_that!((second.tenant_of("shared", "apps-7"), second.weight(1)), eq((wv_fair_queue::DEFAULT_TENANT, 1)));
}
