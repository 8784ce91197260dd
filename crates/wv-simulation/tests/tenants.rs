//! Tenants that share access nodes: a surge of one must not exceed its share at the expense of the others.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

/// Tenant `scans` on routes `p` and `b`, tenant `apps` on `x`; without `shares` there are no tenants.
fn configuration(version: u64, shares: Option<(u64, u64)>) -> Vec<u8> {
    let mut value: serde_json::Value =
        serde_json::from_slice(&Simulation::configuration(version)).expect("the default configuration is valid JSON");
    let mut route = value["routing"][0].clone();
    (route["label"], route["host"]) = ("x".into(), "x".into());
    value["routing"].as_array_mut().expect("routing is an array").push(route);
    value["services"][0]["maxConnections"] = 18.into();
    if let Some((scans, apps)) = shares {
        value["tenants"] = serde_json::json!([
            {"label": "scans", "weight": scans, "hosts": ["p", "b"]},
            {"label": "apps", "weight": apps, "hosts": ["x"]},
        ]);
    }
    value.to_string().into_bytes()
}

fn fleet(shares: Option<(u64, u64)>) -> Simulation {
    let mut sim = Simulation::configured(2, 3);
    let token = sim.call(0, "PUT", "/configuration", &configuration(2, shares));
    sim.run(S);
    assert_eq!(sim.responses.get(&token).map(|ret| ret.0), Some(200), "shares accepted");
    sim.databases.iter_mut().for_each(|db| db.statement_us = 8 * MS);
    sim
}

fn route_done(sim: &Simulation, route: &str) -> (u32, u32) {
    sim.route_counts(route)
}

/// Steady load from scans while apps send many times their share. Returns the completed and failed scans.
fn surge(shares: Option<(u64, u64)>) -> (Simulation, u32, u32) {
    let mut sim = fleet(shares);
    sim.start_load(10, "p");
    sim.start_load(6, "b");
    sim.run(3 * S);
    sim.start_load(150, "x");
    // Some clients stay idle inside transactions.
    for at in 0..12 {
        let client = sim.open_client(at % 2, "x");
        sim.send_line(client, &format!("QUERY r{at} BEGIN"));
        sim.send_line(client, &format!("QUERY w{at} WRITE k d"));
    }
    sim.run(S);
    let before = route_done(&sim, "p");
    sim.reset_slowest();
    sim.run(4 * S);
    let after = route_done(&sim, "p");
    (sim, after.0 - before.0, after.1 - before.1)
}

#[gtest]
fn given_a_surge_of_apps_with_slow_and_idle_clients_then_scans_succeed_and_lookup_latency_is_bounded() {
    let (mut sim, completed, failed) = surge(Some((3, 1)));
    expect_that!(completed, gt(150));
    expect_that!(failed * 20, lt(completed), "of {completed}");
    expect_that!(sim.slowest_us("b"), lt(800 * MS));
    // Apps use the capacity that scans leave.
    expect_that!(route_done(&sim, "x").0, gt(200));
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US * 2);
    expect_that!(sim.check_rules(), is_empty());
}

#[gtest]
fn given_the_same_surge_without_shares_then_many_scans_fail() {
    let (mut sim, completed, failed) = surge(None);
    expect_that!(failed * 20, ge(completed), "{failed} failed of {completed}");
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US * 2);
    expect_that!(sim.check_rules(), is_empty());
}

#[gtest]
fn given_two_saturating_tenants_then_each_gets_its_share_by_weight() {
    let mut sim = fleet(Some((1, 1)));
    sim.start_load(60, "x");
    sim.run(3 * S);
    // With equal demand and weights, both tenants get equal shares.
    sim.start_load(60, "p");
    sim.run(S);
    let (apps, scans) = (route_done(&sim, "x").0, route_done(&sim, "p").0);
    sim.run(4 * S);
    let (apps, scans) = (route_done(&sim, "x").0 - apps, route_done(&sim, "p").0 - scans);
    expect_that!(f64::from(apps) / f64::from(scans), all![gt(0.8), lt(1.25)], "{apps} and {scans}");
}

#[gtest]
fn given_a_failover_during_a_surge_then_scans_are_served_again_and_nothing_is_lost_or_duplicated() {
    let (mut sim, _, _) = surge(Some((3, 1)));
    sim.crash(0);
    sim.run(3 * S);
    expect_that!(sim.primary(), not(eq(0)));
    let before = route_done(&sim, "p");
    sim.run(3 * S);
    let after = route_done(&sim, "p");
    expect_that!(after.0 - before.0, gt(100));
    expect_that!((after.1 - before.1) * 10, lt(after.0 - before.0));
    sim.revive(0);
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US * 2);
    expect_that!(sim.check_rules(), is_empty());
}

#[gtest]
fn given_changed_weights_then_they_apply_without_a_restart_and_an_invalid_section_is_rejected() {
    let mut sim = fleet(Some((1, 1)));
    sim.start_load(60, "x");
    sim.start_load(60, "p");
    let token = sim.call(0, "PUT", "/configuration", &configuration(3, Some((4, 1))));
    sim.run(2 * S);
    expect_that!(sim.responses.get(&token).map(|ret| ret.0), some(eq(200)));
    let weights = |sim: &Simulation| {
        let core = sim.access[0].core.as_ref().expect("the node is running");
        let value: serde_json::Value = serde_json::from_str(&core.tenants_json()).expect("valid JSON");
        let row = |label: &str| {
            let rows = value["tenants"].as_array().cloned().unwrap_or_default();
            rows.into_iter().find(|row| row["label"] == label).unwrap_or_default()
        };
        (row("scans")["weight"].as_u64(), row("apps")["weight"].as_u64())
    };
    expect_that!(weights(&sim), eq((Some(4), Some(1))));
    for (invalid_section, reason) in [
        ("[{\"label\":\"a\",\"weight\":0,\"hosts\":[\"p\"]}]", "tenants[0].weight"),
        ("[{\"label\":\"a\",\"weight\":1,\"hosts\":[\"nowhere\"]}]", "nowhere"),
        (
            "[{\"label\":\"a\",\"weight\":1,\"hosts\":[\"p\"]},{\"label\":\"a\",\"weight\":1,\"hosts\":[\"b\"]}]",
            "twice",
        ),
        (
            "[{\"label\":\"a\",\"weight\":1,\"hosts\":[\"p\"]},{\"label\":\"c\",\"weight\":1,\"hosts\":[\"p\"]}]",
            "already",
        ),
        ("{\"label\":\"a\"}", "tenants"),
    ] {
        let mut value: serde_json::Value =
            serde_json::from_slice(&Simulation::configuration(9)).expect("the default configuration is valid JSON");
        value["tenants"] = serde_json::from_str(invalid_section).expect("valid JSON");
        let token = sim.call(0, "PUT", "/configuration", value.to_string().as_bytes());
        sim.run(200 * MS);
        let (status, body) = sim.responses.get(&token).cloned().unwrap_or_default();
        expect_that!(status, eq(400), "{invalid_section}");
        expect_that!(String::from_utf8_lossy(&body).into_owned(), contains_substring(reason));
    }
}
