//! Stories of the register, configurations, beats and lost disks.
mod steps;

use googletest::prelude::*;
use steps::{get, put};
use wv_simulation::{Simulation, MS, S};

fn restart(world: &mut Simulation, control: usize) {
    world.kill_control(control);
    world.start_control(control, false);
}

#[gtest]
fn given_configurations_old_equal_and_invalid_then_only_a_higher_valid_one_changes_anything() {
    let mut world = Simulation::configured(2, 3);
    expect_that!(put(&mut world, 1, &Simulation::config(5)), eq(200));
    expect_that!(put(&mut world, 2, &Simulation::config(3)), eq(200));
    expect_that!(put(&mut world, 0, &Simulation::config(5)), eq(200));
    expect_that!(put(&mut world, 0, b"{\"issue\": 9, \"routing\": ["), eq(400));
    let zero = String::from_utf8_lossy(&Simulation::config(9)).replace("\"expiryMs\":1000", "\"expiryMs\":0");
    expect_that!(put(&mut world, 0, zero.as_bytes()), eq(400));
    let unknown =
        String::from_utf8_lossy(&Simulation::config(2)).replace("\"destination\":\"s\"", "\"destination\":\"x\"");
    expect_that!(put(&mut world, 0, unknown.as_bytes()), eq(400));
    let same = String::from_utf8_lossy(&Simulation::config(9)).replace("\"host\":\"b\"", "\"host\":\"p\"");
    expect_that!(put(&mut world, 0, same.as_bytes()), eq(400));
    expect_that!(get(&mut world, 2), eq(&(200, Simulation::config(5))));
}

#[gtest]
fn given_a_route_removed_then_new_sessions_are_refused_within_a_second_and_its_open_transaction_ends() {
    let mut world = Simulation::configured(2, 3);
    let client = world.open_client(0, "b");
    world.send_line(client, "QUERY a1 BEGIN READ");
    let text = String::from_utf8_lossy(&Simulation::config(2)).replace("\"host\":\"b\"", "\"host\":\"other\"");
    expect_that!(put(&mut world, 0, text.as_bytes()), eq(200));
    world.take_lines(client);
    world.send_line(client, "QUERY a2 READ k");
    world.run(200 * MS);
    world.send_line(client, "QUERY a3 COMMIT");
    world.run(200 * MS);
    expect_that!(world.take_lines(client).iter().filter(|line| line.starts_with("COMPLETE stamp")).count(), eq(2));
    world.send_line(client, "QUERY a4 READ k");
    expect_that!(world.take_lines(client)[0], starts_with("ERROR NODB"));
    let late = world.open_client(1, "b");
    expect_that!(world.take_lines(late)[0], starts_with("ERROR NODB"));
}

#[gtest]
fn given_a_control_node_alone_then_it_acknowledges_nothing_and_its_followers_leave_it() {
    let mut world = Simulation::configured(3, 3);
    world.dropped_links.insert(("c0".to_owned(), "c1".to_owned()));
    world.dropped_links.insert(("c0".to_owned(), "c2".to_owned()));
    world.run(2 * S);
    expect_that!(put(&mut world, 0, &Simulation::config(7)), eq(503));
    expect_that!(put(&mut world, 1, &Simulation::config(8)), eq(200));
    world.run(S);
    let text = String::from_utf8_lossy(&Simulation::config(9)).replace("\"host\":\"b\"", "\"host\":\"c\"");
    expect_that!(put(&mut world, 2, text.as_bytes()), eq(200));
    world.run(2 * S);
    for node in 0..3 {
        let client = world.open_client(node, "c");
        expect_that!(world.take_lines(client), elements_are![eq("IDLE I -")], "node {node}");
    }
    world.dropped_links.clear();
    world.run(2 * S);
    expect_that!(get(&mut world, 0).1, eq(text.as_bytes()));
}

#[gtest]
fn given_all_power_lost_right_after_an_acknowledgement_then_it_is_read_back() {
    let mut world = Simulation::configured(2, 4);
    expect_that!(put(&mut world, 3, &Simulation::config(12)), eq(200));
    (0..4).for_each(|at| world.kill_control(at));
    world.run(S);
    (0..4).for_each(|at| world.start_control(at, false));
    world.run(2 * S);
    for at in 0..4 {
        expect_that!(get(&mut world, at), eq(&(200, Simulation::config(12))), "control {at}");
    }
}

#[gtest]
fn given_any_voter_loses_its_disk_after_any_other_was_away_then_nothing_acknowledged_is_forgotten() {
    for (away, wiped) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        let mut world = Simulation::configured(1, 3);
        // Written while one is away, so that only two disks hold it; then one of those is lost.
        world.kill_control(away);
        world.run(2 * S);
        let by = 3 - away - wiped;
        expect_that!(put(&mut world, by, &Simulation::config(20)), eq(200));
        world.kill_control(wiped);
        world.controls[wiped].files.files.borrow_mut().clear();
        world.start_control(wiped, false);
        world.start_control(away, false);
        world.run(100 * MS);
        // The one that was away and the empty one are a majority by number, and know nothing of it.
        world.kill_control(by);
        let early = get(&mut world, away);
        expect_that!(early.1, not(eq(&Simulation::config(1))), "away {away}, wiped {wiped}");
        world.start_control(by, false);
        world.run(3 * S);
        for at in 0..3 {
            expect_that!(
                get(&mut world, at),
                eq(&(200, Simulation::config(20))),
                "away {away}, wiped {wiped}, read at {at}"
            );
        }
    }
}

#[gtest]
fn given_a_torn_log_or_slot_then_what_was_synced_before_it_stands() {
    let mut world = Simulation::configured(1, 3);
    expect_that!(put(&mut world, 0, &Simulation::config(30)), eq(200));
    for at in 0..3 {
        world.kill_control(at);
        let files = world.controls[at].files.files.clone();
        files.borrow_mut().entry("log".to_owned()).or_default().extend_from_slice(&[200, 0, 0, 0, 1, 2, 3]);
        files.borrow_mut().insert("slot-a".to_owned(), vec![9; 40]);
    }
    (0..3).for_each(|at| world.start_control(at, false));
    world.run(2 * S);
    expect_that!(get(&mut world, 1), eq(&(200, Simulation::config(30))));
    // Written on after the torn tail, and read again after another start.
    expect_that!(put(&mut world, 1, &Simulation::config(31)), eq(200));
    (0..3).for_each(|at| restart(&mut world, at));
    world.run(2 * S);
    expect_that!(get(&mut world, 2), eq(&(200, Simulation::config(31))));
}

#[gtest]
fn given_two_operators_with_one_sequence_then_all_nodes_settle_on_one_of_them_whole() {
    let mut world = Simulation::configured(1, 3);
    let one = Simulation::config(40);
    let other = String::from_utf8_lossy(&one).replace("\"targetMs\":800", "\"targetMs\":700").into_bytes();
    let tokens = (world.call(0, "PUT", "/configuration", &one), world.call(2, "PUT", "/configuration", &other));
    world.run(2 * S);
    // One of them is taken and the other one hears that it was not; that holds wherever either is sent again.
    let codes = [tokens.0, tokens.1].map(|token| world.responses.get(&token).map_or(0, |ret| ret.0));
    expect_that!(codes, any![eq([200, 409]), eq([409, 200])]);
    let read = get(&mut world, 1).1;
    expect_that!(read, eq(if codes[0] == 200 { &one } else { &other }));
    for at in 0..3 {
        expect_that!([put(&mut world, at, &one), put(&mut world, at, &other)], eq(codes), "at {at}");
    }
    expect_that!(get(&mut world, 0).1, eq(&read));
    expect_that!(get(&mut world, 2).1, eq(&read));
}

#[gtest]
fn given_beats_late_malformed_or_of_one_that_left_then_the_table_holds_the_newest_word() {
    let mut world = Simulation::configured(1, 3);
    let beat = |sequence: u64, state: &str| {
        format!("{{\"destination\":\"s\",\"address\":\"10.9.0.1:5001\",\"zone\":\"z0\",\"capacity\":10,\"state\":\"{state}\",\"dbRole\":\"primary\",\"sequence\":{sequence}}}")
    };
    let told = |world: &mut Simulation, method: &str, path: &str, body: &str| {
        let token = world.call(0, method, path, body.as_bytes());
        world.run(300 * MS);
        world.responses.get(&token).cloned().unwrap_or_default()
    };
    expect_that!(told(&mut world, "PUT", "/instances/i-s0", "{\"destination\":1}").0, eq(400));
    expect_that!(told(&mut world, "PUT", "/instances/i-s0", &beat(900, "draining")).0, eq(200));
    expect_that!(told(&mut world, "PUT", "/instances/i-s0", &beat(5, "in_service")).0, eq(200));
    // Another control node has heard it too, and does not go back to the older word.
    let token = world.call(2, "GET", "/instances", b"");
    let list = String::from_utf8_lossy(&world.responses[&token].1).into_owned();
    expect_that!(list, contains_substring("draining"));
    expect_that!(told(&mut world, "DELETE", "/instances/i-s0", "").0, eq(200));
    expect_that!(told(&mut world, "PUT", "/instances/i-s0", &beat(950, "in_service")).0, eq(200));
    let token = world.call(1, "GET", "/instances", b"");
    expect_that!(String::from_utf8_lossy(&world.responses[&token].1), not(contains_substring("i-s0")));
}

#[gtest]
fn given_control_nodes_started_at_one_time_when_a_node_moves_between_them_then_it_misses_no_change() {
    for (followed, extra) in (0..3).flat_map(|at| (1..6).map(move |extra| (at, extra))) {
        let mut world = Simulation::configured(1, 3);
        let others: Vec<usize> = (0..3).filter(|at| *at != followed).collect();
        // The one it follows has a few changes more than the others when it dies: its places run ahead of theirs.
        for other in &others {
            world.dropped_links.insert((format!("c{followed}"), format!("c{other}")));
        }
        for at in 0..extra {
            let body = format!(
                "{{\"destination\":\"s\",\"address\":\"10.9.9.{at}:1\",\"state\":\"in_service\",\"sequence\":1}}"
            );
            world.call(followed, "PUT", &format!("/instances/extra{at}"), body.as_bytes());
        }
        world.run(50 * MS);
        world.kill_control(followed);
        world.dropped_links.clear();
        let text = String::from_utf8_lossy(&Simulation::config(9)).replace("\"host\":\"b\"", "\"host\":\"c\"");
        expect_that!(put(&mut world, others[0], text.as_bytes()), eq(200));
        world.run(2 * S);
        let client = world.open_client(0, "c");
        expect_that!(
            world.take_lines(client),
            elements_are![eq("IDLE I -")],
            "without control {followed}, {extra} ahead"
        );
    }
}

#[gtest]
fn given_a_voter_whose_disk_is_full_then_the_others_take_configurations_and_promotions_go_on() {
    for full in 0..3 {
        let mut world = Simulation::configured(3, 3);
        world.start_load(9, "p");
        world.run(S);
        world.controls[full].files.is_full.set(true);
        for at in 0..3 {
            expect_that!(put(&mut world, at, &Simulation::config(50 + at as u64)), eq(200), "full {full}, put at {at}");
        }
        world.crash(0);
        world.run(2 * S);
        expect_that!(world.primary(), not(eq(0)), "full {full}");
        world.controls[full].files.is_full.set(false);
        world.kill_control((full + 1) % 3);
        expect_that!(put(&mut world, (full + 2) % 3, &Simulation::config(60)), eq(200), "full {full}");
        world.revive(0);
        world.stop_load();
        world.run(wv_simulation::SETTLE_US);
        expect_that!(world.check_rules(), is_empty());
    }
}

#[gtest]
fn given_a_write_that_reached_one_disk_when_it_was_once_read_then_it_is_never_unread_again() {
    let mut world = Simulation::configured(1, 3);
    // The others are lost to c0 just as its write leaves: one disk holds it, and the operator hears 503.
    let token = world.call(0, "PUT", "/configuration", &Simulation::config(70));
    world.run(1100);
    world.dropped_links.insert(("c0".to_owned(), "c1".to_owned()));
    world.dropped_links.insert(("c0".to_owned(), "c2".to_owned()));
    world.run(1500 * MS);
    expect_that!(world.responses.get(&token).map(|ret| ret.0), some(eq(503)));
    world.kill_control(2);
    world.dropped_links.clear();
    world.run(2 * S);
    expect_that!(get(&mut world, 1), eq(&(200, Simulation::config(70))));
    world.kill_control(0);
    world.start_control(2, false);
    world.run(2 * S);
    expect_that!(get(&mut world, 1), eq(&(200, Simulation::config(70))));
}
