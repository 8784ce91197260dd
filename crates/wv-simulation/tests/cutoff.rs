//! Stories of control nodes that are cut off, or stand still, for twenty seconds, and of what they say meanwhile and after.
mod apart;

use apart::*;
use googletest::prelude::*;
use wv_simulation::{World, MS, S};

#[gtest]
fn given_a_control_node_cut_off_for_twenty_seconds_then_it_confirms_and_tells_nothing_old() {
    for (at, way) in (0..3).flat_map(|at| WAYS.map(move |way| (at, way))) {
        let mut world = World::serving(3, 3);
        let other = (at + 1) % 3;
        expect_that!(call(&mut world, at, ("PUT", "/instances/i-x"), &beat("10.9.0.1:1", "in_service", 1)).0, eq(200));
        world.run(S);
        cut(&mut world, at, way);
        world.run(2 * S);
        // Nobody follows it, and whatever it is asked to confirm it puts off at once.
        expect_that!(is_fresh(&world, at), eq(false), "{at} {way:?}");
        expect_that!(world.followed(), not(contains(some(eq(&at)))), "{at} {way:?}");
        let drain = beat("10.9.0.1:1", "draining", 7);
        for (what, body) in [
            (CONF, World::conf(7)),
            (("GET", "/configuration"), Vec::new()),
            (("PUT", "/instances/i-x"), beat("10.9.0.1:1", "in_service", 6)),
            (("PUT", "/instances/i-x"), drain.clone()),
            (("PUT", "/instances/i-x"), drain.clone()),
            (("DELETE", "/instances/i-x"), Vec::new()),
            (("DELETE", "/instances/i-nobody"), Vec::new()),
            (("PUT", "/splits/s"), Vec::new()),
            (("DELETE", "/splits/s"), Vec::new()),
            (("PUT", "/things/s"), b"a".to_vec()),
            (("PUT", "/forecast/s"), b"[]".to_vec()),
        ] {
            expect_that!(call(&mut world, at, what, &body), eq((503, 0)), "{what:?} at {at}, {way:?}");
        }
        for path in ["/instances", "/shards", "/splits", "/forecast", "/voters"] {
            let (status, text) = text(&mut world, at, path);
            expect_that!(status, eq(200), "{path}");
            expect_that!(text, contains_substring("\"fresh\":false"), "{path}");
        }
        // Meanwhile the others go on: a route is renamed, and a database leaves.
        expect_that!(call(&mut world, other, CONF, &renamed(8, "c")).0, eq(200));
        expect_that!(call(&mut world, other, ("PUT", "/instances/i-x"), &drain).0, eq(200));
        expect_that!(call(&mut world, other, ("DELETE", "/instances/i-x"), b"").0, eq(200));
        world.run(16 * S);
        expect_that!(world.followed(), not(contains(some(eq(&at)))), "{at} {way:?}");
        expect_that!(all_serve(&mut world, "c"), eq(true));
        // Back in touch: from its first word on it knows what happened.
        join(&mut world);
        let end = world.now + 2 * S;
        while !is_caught_up(&world, at) && world.now < end {
            let token = world.call(at, "GET", "/configuration", b"");
            world.run(2 * MS);
            let old = world.returns.get(&token).filter(|ret| ret.0 == 200 && ret.1 != renamed(8, "c"));
            expect_that!(old, none(), "{at} {way:?}");
        }
        expect_that!(is_caught_up(&world, at), eq(true), "{at} {way:?}");
        expect_that!(text(&mut world, at, "/instances").1, not(contains_substring("i-x")), "{at} {way:?}");
        expect_that!(text(&mut world, at, "/configuration").1, contains_substring("\"host\":\"c\""));
        expect_that!(call(&mut world, at, CONF, &renamed(9, "d")).0, eq(200), "{at} {way:?}");
        world.run(2 * S);
        expect_that!(all_serve(&mut world, "d"), eq(true), "{at} {way:?}");
    }
}

#[gtest]
fn given_a_control_node_that_stood_still_for_twenty_seconds_then_its_first_words_are_not_of_before() {
    for (at, step) in (0..3).flat_map(|at| (0..12u64).map(move |step| (at, step))) {
        let mut world = World::serving(3, 3);
        let other = (at + 1) % 3;
        expect_that!(
            call(&mut world, other, ("PUT", "/instances/i-x"), &beat("10.9.0.1:1", "in_service", 1)).0,
            eq(200)
        );
        world.run(2 * S + step * 35 * MS);
        world.freeze_control(at);
        world.run(3 * S);
        expect_that!(call(&mut world, other, CONF, &renamed(8, "c")).0, eq(200));
        let drain = beat("10.9.0.1:1", "draining", 7);
        expect_that!(call(&mut world, other, ("PUT", "/instances/i-x"), &drain).0, eq(200));
        expect_that!(call(&mut world, other, ("DELETE", "/instances/i-x"), b"").0, eq(200));
        world.run(17 * S);
        expect_that!(world.followed(), not(contains(some(eq(&at)))));
        // It wakes, and is asked before anything else, also before it reads what came meanwhile.
        world.thaw_control(at);
        let late = beat("10.9.0.1:1", "in_service", 6);
        for (what, body) in [
            (("PUT", "/instances/i-x"), &late),
            (("PUT", "/instances/i-y"), &drain),
            (("DELETE", "/instances/i-y"), &Vec::new()),
            (("GET", "/configuration"), &Vec::new()),
            (CONF, &renamed(9, "d")),
        ] {
            let token = world.call(at, what.0, what.1, body);
            expect_that!(world.returns.get(&token).map(|ret| ret.0), some(eq(503)), "{what:?} at {at}, {step}");
        }
        expect_that!(world.controls[at].core.as_ref().map(|core| core.configuration_version()), some(eq(1)));
        let end = world.now + 2 * S;
        while !is_caught_up(&world, at) && world.now < end {
            world.run(MS);
            expect_that!(world.followed(), not(contains(some(eq(&at)))), "before it has caught up");
        }
        expect_that!(is_caught_up(&world, at), eq(true), "{at} {step}");
        expect_that!(world.controls[at].core.as_ref().map(|core| core.configuration_version()), some(eq(8)));
        expect_that!(text(&mut world, at, "/instances").1, not(contains_substring("i-x")), "{at} {step}");
        expect_that!(call(&mut world, at, CONF, &renamed(9, "d")).0, eq(200), "{at} {step}");
        world.run(2 * S);
        expect_that!(all_serve(&mut world, "d"), eq(true), "{at} {step}");
    }
}

#[gtest]
fn given_nodes_that_blink_for_less_than_contact_lasts_then_their_followers_stay() {
    for (at, way) in (0..3).flat_map(|at| WAYS.map(move |way| (at, way))) {
        let mut world = World::serving(6, 3);
        world.run(2 * S);
        let before = world.followed();
        for _ in 0..5 {
            cut(&mut world, at, way);
            world.run(700 * MS);
            join(&mut world);
            world.run(S);
            expect_that!(is_caught_up(&world, at), eq(true), "{at} {way:?}");
        }
        expect_that!(world.followed(), eq(&before), "{at} {way:?}");
    }
}

#[gtest]
fn given_a_control_node_without_a_disk_that_is_cut_off_then_it_tells_nothing_old_either() {
    for way in WAYS {
        let mut world = World::new(3, 4);
        world.kill_control(3);
        world.controls[3].is_core = false;
        world.controls[3].files.files.borrow_mut().clear();
        world.start_control(3, true);
        world.run(2 * S);
        expect_that!(call(&mut world, 0, CONF, &World::conf(1)).0, eq(200));
        world.run(2 * S);
        expect_that!(is_caught_up(&world, 3), eq(true));
        cut(&mut world, 3, way);
        world.run(2 * S);
        expect_that!(is_fresh(&world, 3), eq(false), "{way:?}");
        expect_that!(world.followed(), not(contains(some(eq(&3)))), "{way:?}");
        expect_that!(call(&mut world, 3, ("DELETE", "/instances/i-x"), b""), eq((503, 0)), "{way:?}");
        expect_that!(call(&mut world, 3, CONF, &World::conf(7)), eq((503, 0)), "{way:?}");
        expect_that!(call(&mut world, 0, CONF, &renamed(8, "c")).0, eq(200));
        world.run(18 * S);
        join(&mut world);
        let end = world.now + 3 * S;
        while !is_caught_up(&world, 3) && world.now < end {
            world.run(MS);
            expect_that!(world.followed(), not(contains(some(eq(&3)))), "{way:?}");
        }
        expect_that!(is_caught_up(&world, 3), eq(true), "{way:?}");
        expect_that!(world.controls[3].core.as_ref().map(|core| core.configuration_version()), some(eq(8)), "{way:?}");
        expect_that!(call(&mut world, 3, ("PUT", "/instances/i-x"), &beat("10.9.0.1:1", "draining", 3)).0, eq(200));
    }
}
