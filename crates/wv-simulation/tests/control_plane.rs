//! Configuration writes, heartbeats and disk failures: no acknowledged state is lost or replaced by older state.
mod scenario;

use googletest::prelude::*;
use scenario::{get_configuration, put_configuration};
use wv_simulation::{Simulation, MS, S};

fn restart(sim: &mut Simulation, control: usize) {
    sim.kill_control(control);
    sim.start_control(control, false);
}

#[gtest]
fn given_old_repeated_and_invalid_configurations_then_only_a_newer_valid_one_takes_effect() {
    let mut sim = Simulation::configured(2, 3);
    expect_that!(put_configuration(&mut sim, 1, &Simulation::configuration(5)), eq(200));
    expect_that!(put_configuration(&mut sim, 2, &Simulation::configuration(3)), eq(200));
    expect_that!(put_configuration(&mut sim, 0, &Simulation::configuration(5)), eq(200));
    expect_that!(put_configuration(&mut sim, 0, b"{\"issue\": 9, \"routing\": ["), eq(400));
    let zero_expiry =
        String::from_utf8_lossy(&Simulation::configuration(9)).replace("\"expiryMs\":1000", "\"expiryMs\":0");
    expect_that!(put_configuration(&mut sim, 0, zero_expiry.as_bytes()), eq(400));
    let unknown_service = String::from_utf8_lossy(&Simulation::configuration(2))
        .replace("\"destination\":\"s\"", "\"destination\":\"x\"");
    expect_that!(put_configuration(&mut sim, 0, unknown_service.as_bytes()), eq(400));
    let duplicate_host =
        String::from_utf8_lossy(&Simulation::configuration(9)).replace("\"host\":\"b\"", "\"host\":\"p\"");
    expect_that!(put_configuration(&mut sim, 0, duplicate_host.as_bytes()), eq(400));
    expect_that!(get_configuration(&mut sim, 2), eq(&(200, Simulation::configuration(5))));
}

#[gtest]
fn given_a_removed_route_then_new_sessions_are_rejected_and_an_open_transaction_completes() {
    let mut sim = Simulation::configured(2, 3);
    let client = sim.open_client(0, "b");
    sim.send_line(client, "QUERY a1 BEGIN READ");
    let text = String::from_utf8_lossy(&Simulation::configuration(2)).replace("\"host\":\"b\"", "\"host\":\"other\"");
    expect_that!(put_configuration(&mut sim, 0, text.as_bytes()), eq(200));
    sim.take_lines(client);
    sim.send_line(client, "QUERY a2 READ k");
    sim.run(200 * MS);
    sim.send_line(client, "QUERY a3 COMMIT");
    sim.run(200 * MS);
    expect_that!(sim.take_lines(client).iter().filter(|line| line.starts_with("COMPLETE stamp")).count(), eq(2));
    sim.send_line(client, "QUERY a4 READ k");
    expect_that!(sim.take_lines(client)[0], starts_with("ERROR NODB"));
    let late_client = sim.open_client(1, "b");
    expect_that!(sim.take_lines(late_client)[0], starts_with("ERROR NODB"));
}

#[gtest]
fn given_an_isolated_control_node_then_it_acknowledges_nothing_and_its_followers_move() {
    let mut sim = Simulation::configured(3, 3);
    sim.dropped_links.insert(("c0".to_owned(), "c1".to_owned()));
    sim.dropped_links.insert(("c0".to_owned(), "c2".to_owned()));
    sim.run(2 * S);
    expect_that!(put_configuration(&mut sim, 0, &Simulation::configuration(7)), eq(503));
    expect_that!(put_configuration(&mut sim, 1, &Simulation::configuration(8)), eq(200));
    sim.run(S);
    let text = String::from_utf8_lossy(&Simulation::configuration(9)).replace("\"host\":\"b\"", "\"host\":\"c\"");
    expect_that!(put_configuration(&mut sim, 2, text.as_bytes()), eq(200));
    sim.run(2 * S);
    for node in 0..3 {
        let client = sim.open_client(node, "c");
        expect_that!(sim.take_lines(client), elements_are![eq("IDLE I -")], "node {node}");
    }
    sim.dropped_links.clear();
    sim.run(2 * S);
    expect_that!(get_configuration(&mut sim, 0).1, eq(text.as_bytes()));
}

#[gtest]
fn given_a_power_loss_of_all_nodes_after_an_acknowledgement_then_the_configuration_is_kept() {
    let mut sim = Simulation::configured(2, 4);
    expect_that!(put_configuration(&mut sim, 3, &Simulation::configuration(12)), eq(200));
    (0..4).for_each(|at| sim.kill_control(at));
    sim.run(S);
    (0..4).for_each(|at| sim.start_control(at, false));
    sim.run(2 * S);
    for at in 0..4 {
        expect_that!(get_configuration(&mut sim, at), eq(&(200, Simulation::configuration(12))), "control {at}");
    }
}

#[gtest]
fn given_a_voter_that_loses_its_disk_while_another_was_down_then_no_acknowledged_write_is_lost() {
    for (down, wiped) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        let mut sim = Simulation::configured(1, 3);
        // With one voter down only two disks hold the write; then one of those is lost.
        sim.kill_control(down);
        sim.run(2 * S);
        let writer = 3 - down - wiped;
        expect_that!(put_configuration(&mut sim, writer, &Simulation::configuration(20)), eq(200));
        sim.kill_control(wiped);
        sim.controls[wiped].files.files.borrow_mut().clear();
        sim.start_control(wiped, false);
        sim.start_control(down, false);
        sim.run(100 * MS);
        // The voter that was down and the empty one are a majority by count, but neither has the write.
        sim.kill_control(writer);
        let early_read = get_configuration(&mut sim, down);
        expect_that!(early_read.1, not(eq(&Simulation::configuration(1))), "down {down}, wiped {wiped}");
        sim.start_control(writer, false);
        sim.run(3 * S);
        for at in 0..3 {
            let (response, expected) = (get_configuration(&mut sim, at), (200, Simulation::configuration(20)));
            expect_that!(response, eq(&expected), "down {down}, wiped {wiped}, read at {at}");
        }
    }
}

#[gtest]
fn given_a_torn_log_or_slot_then_earlier_synced_writes_are_recovered() {
    let mut sim = Simulation::configured(1, 3);
    expect_that!(put_configuration(&mut sim, 0, &Simulation::configuration(30)), eq(200));
    for at in 0..3 {
        sim.kill_control(at);
        let files = sim.controls[at].files.files.clone();
        files.borrow_mut().entry("log".to_owned()).or_default().extend_from_slice(&[200, 0, 0, 0, 1, 2, 3]);
        files.borrow_mut().insert("slot-a".to_owned(), vec![9; 40]);
    }
    (0..3).for_each(|at| sim.start_control(at, false));
    sim.run(2 * S);
    expect_that!(get_configuration(&mut sim, 1), eq(&(200, Simulation::configuration(30))));
    // Writes after the torn tail survive another restart.
    expect_that!(put_configuration(&mut sim, 1, &Simulation::configuration(31)), eq(200));
    (0..3).for_each(|at| restart(&mut sim, at));
    sim.run(2 * S);
    expect_that!(get_configuration(&mut sim, 2), eq(&(200, Simulation::configuration(31))));
}

#[gtest]
fn given_two_concurrent_configurations_with_one_version_then_all_nodes_agree_on_one() {
    let mut sim = Simulation::configured(1, 3);
    let one = Simulation::configuration(40);
    let other = String::from_utf8_lossy(&one).replace("\"targetMs\":800", "\"targetMs\":700").into_bytes();
    let tokens = (sim.call(0, "PUT", "/configuration", &one), sim.call(2, "PUT", "/configuration", &other));
    sim.run(2 * S);
    // One is accepted and the other rejected, and repeats at any node get the same answers.
    let codes = [tokens.0, tokens.1].map(|token| sim.responses.get(&token).map_or(0, |ret| ret.0));
    expect_that!(codes, any![eq([200, 409]), eq([409, 200])]);
    let current = get_configuration(&mut sim, 1).1;
    expect_that!(current, eq(if codes[0] == 200 { &one } else { &other }));
    for at in 0..3 {
        let repeated = [put_configuration(&mut sim, at, &one), put_configuration(&mut sim, at, &other)];
        expect_that!(repeated, eq(codes), "at {at}");
    }
    expect_that!(get_configuration(&mut sim, 0).1, eq(&current));
    expect_that!(get_configuration(&mut sim, 2).1, eq(&current));
}

#[gtest]
fn given_late_or_malformed_heartbeats_then_the_newest_valid_state_is_kept() {
    let mut sim = Simulation::configured(1, 3);
    let heartbeat = |sequence: u64, state: &str| {
        format!(
            "{{\"destination\":\"s\",\"address\":\"10.9.0.1:5001\",\"zone\":\"z0\",\"capacity\":10,\
             \"state\":\"{state}\",\"dbRole\":\"primary\",\"sequence\":{sequence}}}"
        )
    };
    let call = |sim: &mut Simulation, method: &str, path: &str, body: &str| {
        let token = sim.call(0, method, path, body.as_bytes());
        sim.run(300 * MS);
        sim.responses.get(&token).cloned().unwrap_or_default()
    };
    expect_that!(call(&mut sim, "PUT", "/instances/i-s0", "{\"destination\":1}").0, eq(400));
    expect_that!(call(&mut sim, "PUT", "/instances/i-s0", &heartbeat(900, "draining")).0, eq(200));
    expect_that!(call(&mut sim, "PUT", "/instances/i-s0", &heartbeat(5, "in_service")).0, eq(200));
    // Another control node has received it too, and does not return to the older state.
    let token = sim.call(2, "GET", "/instances", b"");
    let list = String::from_utf8_lossy(&sim.responses[&token].1).into_owned();
    expect_that!(list, contains_substring("draining"));
    expect_that!(call(&mut sim, "DELETE", "/instances/i-s0", "").0, eq(200));
    expect_that!(call(&mut sim, "PUT", "/instances/i-s0", &heartbeat(950, "in_service")).0, eq(200));
    let token = sim.call(1, "GET", "/instances", b"");
    expect_that!(String::from_utf8_lossy(&sim.responses[&token].1), not(contains_substring("i-s0")));
}

#[gtest]
fn given_an_access_node_that_switches_control_nodes_then_it_misses_no_change() {
    for (followed, extra) in (0..3).flat_map(|at| (1..6).map(move |extra| (at, extra))) {
        let mut sim = Simulation::configured(1, 3);
        let others: Vec<usize> = (0..3).filter(|at| *at != followed).collect();
        // The followed node has more changes than the others when it crashes: its feed positions are ahead of theirs.
        for other in &others {
            sim.dropped_links.insert((format!("c{followed}"), format!("c{other}")));
        }
        for at in 0..extra {
            let body = format!(
                "{{\"destination\":\"s\",\"address\":\"10.9.9.{at}:1\",\"state\":\"in_service\",\"sequence\":1}}"
            );
            sim.call(followed, "PUT", &format!("/instances/extra{at}"), body.as_bytes());
        }
        sim.run(50 * MS);
        sim.kill_control(followed);
        sim.dropped_links.clear();
        let text = String::from_utf8_lossy(&Simulation::configuration(9)).replace("\"host\":\"b\"", "\"host\":\"c\"");
        expect_that!(put_configuration(&mut sim, others[0], text.as_bytes()), eq(200));
        sim.run(2 * S);
        let client = sim.open_client(0, "c");
        let lines = sim.take_lines(client);
        expect_that!(lines, elements_are![eq("IDLE I -")], "without control {followed}, {extra} ahead");
    }
}

#[gtest]
fn given_a_voter_with_a_full_disk_then_configuration_writes_and_promotions_continue() {
    for full in 0..3 {
        let mut sim = Simulation::configured(3, 3);
        sim.start_load(9, "p");
        sim.run(S);
        sim.controls[full].files.is_full.set(true);
        for at in 0..3 {
            let code = put_configuration(&mut sim, at, &Simulation::configuration(50 + at as u64));
            expect_that!(code, eq(200), "full {full}, put at {at}");
        }
        sim.crash(0);
        sim.run(2 * S);
        expect_that!(sim.primary(), not(eq(0)), "full {full}");
        sim.controls[full].files.is_full.set(false);
        sim.kill_control((full + 1) % 3);
        let code = put_configuration(&mut sim, (full + 2) % 3, &Simulation::configuration(60));
        expect_that!(code, eq(200), "full {full}");
        sim.revive(0);
        sim.stop_load();
        sim.run(wv_simulation::SETTLE_US);
        expect_that!(sim.check_rules(), is_empty());
    }
}

#[gtest]
fn given_a_write_on_a_single_disk_that_was_read_once_then_later_reads_return_it() {
    let mut sim = Simulation::configured(1, 3);
    // c0 loses the other voters as it sends the write: one disk holds it, and the operator receives 503.
    let token = sim.call(0, "PUT", "/configuration", &Simulation::configuration(70));
    sim.run(1100);
    sim.dropped_links.insert(("c0".to_owned(), "c1".to_owned()));
    sim.dropped_links.insert(("c0".to_owned(), "c2".to_owned()));
    sim.run(1500 * MS);
    expect_that!(sim.responses.get(&token).map(|ret| ret.0), some(eq(503)));
    sim.kill_control(2);
    sim.dropped_links.clear();
    sim.run(2 * S);
    expect_that!(get_configuration(&mut sim, 1), eq(&(200, Simulation::configuration(70))));
    sim.kill_control(0);
    sim.start_control(2, false);
    sim.run(2 * S);
    expect_that!(get_configuration(&mut sim, 1), eq(&(200, Simulation::configuration(70))));
}
