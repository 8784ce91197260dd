//! Control nodes that are isolated or paused: they must not acknowledge requests or serve stale state, then or later.
mod isolation;

use googletest::prelude::*;
use isolation::*;
use wv_simulation::{Simulation, MS, S};

#[gtest]
fn given_an_isolated_control_node_then_it_acknowledges_nothing_and_serves_no_stale_state() {
    for (at, direction) in (0..3).flat_map(|at| CUT_DIRECTIONS.map(move |direction| (at, direction))) {
        let mut sim = Simulation::configured(3, 3);
        let other = (at + 1) % 3;
        expect_that!(
            call_timed(&mut sim, at, ("PUT", "/instances/i-x"), &heartbeat("10.9.0.1:1", "in_service", 1)).0,
            eq(200)
        );
        sim.run(S);
        cut_off(&mut sim, at, direction);
        sim.run(2 * S);
        // No access node follows it, and it answers every request that needs a majority with 503 at once.
        expect_that!(has_majority(&sim, at), eq(false), "{at} {direction:?}");
        expect_that!(sim.followed_controls(), not(contains(some(eq(&at)))), "{at} {direction:?}");
        let draining = heartbeat("10.9.0.1:1", "draining", 7);
        for (request, body) in [
            (PUT_CONFIGURATION, Simulation::configuration(7)),
            (("GET", "/configuration"), Vec::new()),
            (("PUT", "/instances/i-x"), heartbeat("10.9.0.1:1", "in_service", 6)),
            (("PUT", "/instances/i-x"), draining.clone()),
            (("PUT", "/instances/i-x"), draining.clone()),
            (("DELETE", "/instances/i-x"), Vec::new()),
            (("DELETE", "/instances/i-nobody"), Vec::new()),
            (("PUT", "/splits/s"), Vec::new()),
            (("DELETE", "/splits/s"), Vec::new()),
            (("PUT", "/things/s"), b"a".to_vec()),
            (("PUT", "/forecast/s"), b"[]".to_vec()),
        ] {
            expect_that!(call_timed(&mut sim, at, request, &body), eq((503, 0)), "{request:?} at {at}, {direction:?}");
        }
        for path in ["/instances", "/shards", "/splits", "/forecast", "/voters"] {
            let (status, text) = get_text(&mut sim, at, path);
            expect_that!(status, eq(200), "{path}");
            expect_that!(text, contains_substring("\"fresh\":false"), "{path}");
        }
        // Meanwhile the majority changes a route and a database deregisters.
        expect_that!(call_timed(&mut sim, other, PUT_CONFIGURATION, &configuration_with_host(8, "c")).0, eq(200));
        expect_that!(call_timed(&mut sim, other, ("PUT", "/instances/i-x"), &draining).0, eq(200));
        expect_that!(call_timed(&mut sim, other, ("DELETE", "/instances/i-x"), b"").0, eq(200));
        sim.run(16 * S);
        expect_that!(sim.followed_controls(), not(contains(some(eq(&at)))), "{at} {direction:?}");
        expect_that!(all_access_nodes_serve(&mut sim, "c"), eq(true));
        // After it reconnects, no response shows the earlier configuration.
        restore_links(&mut sim);
        let deadline = sim.now + 2 * S;
        while !is_caught_up(&sim, at) && sim.now < deadline {
            let token = sim.call(at, "GET", "/configuration", b"");
            sim.run(2 * MS);
            let stale =
                sim.responses.get(&token).filter(|ret| ret.0 == 200 && ret.1 != configuration_with_host(8, "c"));
            expect_that!(stale, none(), "{at} {direction:?}");
        }
        expect_that!(is_caught_up(&sim, at), eq(true), "{at} {direction:?}");
        expect_that!(get_text(&mut sim, at, "/instances").1, not(contains_substring("i-x")), "{at} {direction:?}");
        expect_that!(get_text(&mut sim, at, "/configuration").1, contains_substring("\"host\":\"c\""));
        expect_that!(
            call_timed(&mut sim, at, PUT_CONFIGURATION, &configuration_with_host(9, "d")).0,
            eq(200),
            "{at} {direction:?}"
        );
        sim.run(2 * S);
        expect_that!(all_access_nodes_serve(&mut sim, "d"), eq(true), "{at} {direction:?}");
    }
}

#[gtest]
fn given_a_control_node_paused_for_twenty_seconds_then_it_serves_no_stale_state_on_resume() {
    for (at, step) in (0..3).flat_map(|at| (0..12u64).map(move |step| (at, step))) {
        let mut sim = Simulation::configured(3, 3);
        let other = (at + 1) % 3;
        expect_that!(
            call_timed(&mut sim, other, ("PUT", "/instances/i-x"), &heartbeat("10.9.0.1:1", "in_service", 1)).0,
            eq(200)
        );
        sim.run(2 * S + step * 35 * MS);
        sim.freeze_control(at);
        sim.run(3 * S);
        expect_that!(call_timed(&mut sim, other, PUT_CONFIGURATION, &configuration_with_host(8, "c")).0, eq(200));
        let draining = heartbeat("10.9.0.1:1", "draining", 7);
        expect_that!(call_timed(&mut sim, other, ("PUT", "/instances/i-x"), &draining).0, eq(200));
        expect_that!(call_timed(&mut sim, other, ("DELETE", "/instances/i-x"), b"").0, eq(200));
        sim.run(17 * S);
        expect_that!(sim.followed_controls(), not(contains(some(eq(&at)))));
        // Requests arrive as it resumes, before it reads the messages received meanwhile.
        sim.thaw_control(at);
        let stale = heartbeat("10.9.0.1:1", "in_service", 6);
        for (request, body) in [
            (("PUT", "/instances/i-x"), &stale),
            (("PUT", "/instances/i-y"), &draining),
            (("DELETE", "/instances/i-y"), &Vec::new()),
            (("GET", "/configuration"), &Vec::new()),
            (PUT_CONFIGURATION, &configuration_with_host(9, "d")),
        ] {
            let token = sim.call(at, request.0, request.1, body);
            expect_that!(sim.responses.get(&token).map(|ret| ret.0), some(eq(503)), "{request:?} at {at}, {step}");
        }
        expect_that!(sim.controls[at].core.as_ref().map(|core| core.configuration_version()), some(eq(1)));
        let deadline = sim.now + 2 * S;
        while !is_caught_up(&sim, at) && sim.now < deadline {
            sim.run(MS);
            expect_that!(sim.followed_controls(), not(contains(some(eq(&at)))), "before it has caught up");
        }
        expect_that!(is_caught_up(&sim, at), eq(true), "{at} {step}");
        expect_that!(sim.controls[at].core.as_ref().map(|core| core.configuration_version()), some(eq(8)));
        expect_that!(get_text(&mut sim, at, "/instances").1, not(contains_substring("i-x")), "{at} {step}");
        expect_that!(
            call_timed(&mut sim, at, PUT_CONFIGURATION, &configuration_with_host(9, "d")).0,
            eq(200),
            "{at} {step}"
        );
        sim.run(2 * S);
        expect_that!(all_access_nodes_serve(&mut sim, "d"), eq(true), "{at} {step}");
    }
}

#[gtest]
fn given_outages_shorter_than_the_contact_timeout_then_followers_stay() {
    for (at, direction) in (0..3).flat_map(|at| CUT_DIRECTIONS.map(move |direction| (at, direction))) {
        let mut sim = Simulation::configured(6, 3);
        sim.run(2 * S);
        let before = sim.followed_controls();
        for _ in 0..5 {
            cut_off(&mut sim, at, direction);
            sim.run(700 * MS);
            restore_links(&mut sim);
            sim.run(S);
            expect_that!(is_caught_up(&sim, at), eq(true), "{at} {direction:?}");
        }
        expect_that!(sim.followed_controls(), eq(&before), "{at} {direction:?}");
    }
}

#[gtest]
fn given_an_isolated_control_node_without_a_disk_then_it_serves_no_stale_state() {
    for direction in CUT_DIRECTIONS {
        let mut sim = Simulation::new(3, 4);
        sim.kill_control(3);
        sim.controls[3].has_disk = false;
        sim.controls[3].files.files.borrow_mut().clear();
        sim.start_control(3, true);
        sim.run(2 * S);
        expect_that!(call_timed(&mut sim, 0, PUT_CONFIGURATION, &Simulation::configuration(1)).0, eq(200));
        sim.run(2 * S);
        expect_that!(is_caught_up(&sim, 3), eq(true));
        cut_off(&mut sim, 3, direction);
        sim.run(2 * S);
        expect_that!(has_majority(&sim, 3), eq(false), "{direction:?}");
        expect_that!(sim.followed_controls(), not(contains(some(eq(&3)))), "{direction:?}");
        expect_that!(call_timed(&mut sim, 3, ("DELETE", "/instances/i-x"), b""), eq((503, 0)), "{direction:?}");
        expect_that!(
            call_timed(&mut sim, 3, PUT_CONFIGURATION, &Simulation::configuration(7)),
            eq((503, 0)),
            "{direction:?}"
        );
        expect_that!(call_timed(&mut sim, 0, PUT_CONFIGURATION, &configuration_with_host(8, "c")).0, eq(200));
        sim.run(18 * S);
        restore_links(&mut sim);
        let deadline = sim.now + 3 * S;
        while !is_caught_up(&sim, 3) && sim.now < deadline {
            sim.run(MS);
            expect_that!(sim.followed_controls(), not(contains(some(eq(&3)))), "{direction:?}");
        }
        expect_that!(is_caught_up(&sim, 3), eq(true), "{direction:?}");
        expect_that!(
            sim.controls[3].core.as_ref().map(|core| core.configuration_version()),
            some(eq(8)),
            "{direction:?}"
        );
        expect_that!(
            call_timed(&mut sim, 3, ("PUT", "/instances/i-x"), &heartbeat("10.9.0.1:1", "draining", 3)).0,
            eq(200)
        );
    }
}
