//! Client sessions on pooled connections: statements must not run twice, leak between sessions or get a false result.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

/// Sends one line and returns the lines that the client receives within 150 ms.
fn exchange(sim: &mut Simulation, client: usize, line: &str) -> Vec<String> {
    sim.take_lines(client);
    sim.send_line(client, line);
    sim.run(150 * MS);
    sim.take_lines(client)
}

#[gtest]
fn given_a_fleet_without_faults_then_all_requests_succeed_and_no_invariant_is_violated() {
    let mut sim = Simulation::configured(4, 3);
    sim.start_load(12, "p");
    sim.start_load(8, "b");
    sim.run(10 * S);
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US);
    let (done, failed) = sim.load_counts();
    expect_that!(done, gt(1000));
    expect_that!(failed, eq(0));
    expect_that!(sim.check_rules(), is_empty());
    expect_that!(sim.promotion_calls, is_empty());
}

#[gtest]
fn given_an_unknown_database_when_a_client_sets_up_then_nodb_and_close() {
    let mut sim = Simulation::configured(1, 3);
    let client = sim.open_client(0, "nowhere");
    expect_that!(sim.take_lines(client), elements_are![starts_with("ERROR NODB")]);
    expect_that!(sim.is_client_closed(client), eq(true));
}

#[gtest]
fn given_no_configuration_yet_when_a_client_sets_up_then_it_waits_for_the_first_one() {
    let mut sim = Simulation::new(1, 3);
    sim.run(2 * S);
    let client = sim.open_client(0, "p");
    expect_that!(sim.take_lines(client), is_empty());
    sim.call(0, "PUT", "/configuration", &Simulation::configuration(1));
    sim.run(S);
    expect_that!(sim.take_lines(client), elements_are![eq("IDLE I -")]);
}

#[gtest]
fn given_a_transaction_then_begin_is_answered_by_the_access_node_and_commit_by_the_database() {
    let mut sim = Simulation::configured(1, 3);
    let client = sim.open_client(0, "p");
    expect_that!(exchange(&mut sim, client, "QUERY a1 BEGIN"), elements_are![eq("COMPLETE -"), eq("IDLE T -")]);
    expect_that!(exchange(&mut sim, client, "QUERY a2 WRITE k d")[0], starts_with("COMPLETE stamp"));
    let commit = exchange(&mut sim, client, "QUERY a3 COMMIT");
    expect_that!(commit[0], starts_with("COMPLETE stamp"));
    expect_that!(commit[1], starts_with("IDLE I"));
    expect_that!(exchange(&mut sim, client, "QUERY a4 COMMIT")[0], starts_with("ERROR MALFORMED"));
}

#[gtest]
fn given_sessions_with_equal_statement_names_on_shared_connections_then_each_runs_its_own_statement() {
    let mut sim = Simulation::configured(1, 3);
    sim.start_load(9, "p");
    sim.start_load(9, "b");
    sim.run(6 * S);
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US);
    // The simulated databases compare variables and statements at each run; the oracle records mismatches.
    expect_that!(sim.check_rules(), is_empty());
    expect_that!(sim.oracle.reads, gt(300));
}

#[gtest]
fn given_an_undefined_statement_name_when_executed_then_undefined_and_nothing_is_sent() {
    let mut sim = Simulation::configured(1, 3);
    let client = sim.open_client(0, "p");
    expect_that!(exchange(&mut sim, client, "QUERY a1 EXECUTE s1 k")[0], starts_with("ERROR UNDEFINED"));
    expect_that!(sim.oracle.executions.contains_key("a1"), eq(false));
}

#[gtest]
fn given_a_write_with_a_lost_response_then_indeterm_and_it_is_not_resent() {
    let mut sim = Simulation::configured(1, 3);
    let client = sim.open_client(0, "p");
    sim.databases[0].lost_replies = 1;
    sim.take_lines(client);
    sim.send_line(client, "QUERY a1 WRITE k d");
    sim.run(2 * S);
    expect_that!(sim.take_lines(client)[0], starts_with("ERROR INDETERM"));
    expect_that!(sim.oracle.executions.get("a1"), some(eq(&1)));
    expect_that!(sim.databases[0].log.iter().filter(|entry| entry.write.tag == "a1").count(), eq(1));
}

#[gtest]
fn given_a_commit_with_a_lost_response_then_indeterm_with_writes_and_aborted_without() {
    let mut sim = Simulation::configured(1, 3);
    let client = sim.open_client(0, "p");
    for (writes, expected) in [(true, "ERROR INDETERM"), (false, "ERROR ABORTED")] {
        exchange(&mut sim, client, "QUERY a1 BEGIN");
        exchange(&mut sim, client, if writes { "QUERY a2 WRITE k d" } else { "QUERY a2 READ k" });
        sim.databases[0].lost_replies = 1;
        sim.send_line(client, "QUERY a3 COMMIT");
        sim.run(2 * S);
        let received = sim.take_lines(client);
        expect_that!(received[0], starts_with(expected));
        expect_that!(received[1], starts_with("IDLE I"));
    }
}

#[gtest]
fn given_a_transaction_when_its_database_crashes_then_aborted_until_the_client_ends_it() {
    let mut sim = Simulation::configured(1, 3);
    let client = sim.open_client(0, "p");
    exchange(&mut sim, client, "QUERY a1 BEGIN");
    exchange(&mut sim, client, "QUERY a2 WRITE k d");
    sim.crash(0);
    sim.run(50 * MS);
    let received = exchange(&mut sim, client, "QUERY a3 READ k");
    expect_that!(received[0], starts_with("ERROR ABORTED"));
    expect_that!(received[1], starts_with("IDLE E"));
    expect_that!(exchange(&mut sim, client, "QUERY a4 READ k")[0], starts_with("ERROR MALFORMED"));
    expect_that!(exchange(&mut sim, client, "QUERY a5 ABORT")[1], starts_with("IDLE I"));
}

#[gtest]
fn given_a_transaction_idle_for_too_long_then_it_is_rolled_back_and_reported_at_the_next_statement() {
    let mut sim = Simulation::configured(1, 3);
    let client = sim.open_client(0, "p");
    exchange(&mut sim, client, "QUERY a1 BEGIN");
    exchange(&mut sim, client, "QUERY a2 WRITE k d");
    sim.run(4 * S);
    expect_that!(sim.take_lines(client), is_empty());
    expect_that!(exchange(&mut sim, client, "QUERY a3 COMMIT")[0], starts_with("ERROR ABORTED"));
    expect_that!(sim.databases[0].log, is_empty());
}

#[gtest]
fn given_a_client_that_disconnects_in_a_transaction_then_it_is_rolled_back_and_others_are_served() {
    let mut sim = Simulation::configured(1, 3);
    let client = sim.open_client(0, "p");
    exchange(&mut sim, client, "QUERY a1 BEGIN");
    sim.send_line(client, "QUERY a2 WRITE k d");
    sim.run(2 * MS);
    sim.close_client(client);
    sim.run(S);
    expect_that!(sim.databases[0].log, is_empty());
    let other = sim.open_client(0, "p");
    expect_that!(exchange(&mut sim, other, "QUERY b1 WRITE k d")[0], starts_with("COMPLETE stamp"));
}

#[gtest]
fn given_lagging_replicas_then_no_bounded_read_exceeds_its_staleness_bound() {
    let mut sim = Simulation::configured(3, 3);
    (1..3).for_each(|at| sim.databases[at].apply_lag_us = 3 * S);
    sim.start_load(6, "p");
    sim.start_load(6, "b");
    sim.run(8 * S);
    sim.stop_load();
    sim.run(wv_simulation::SETTLE_US);
    expect_that!(sim.check_rules(), is_empty());
    expect_that!(sim.load_counts().0, gt(300));
}

#[gtest]
fn given_a_congested_primary_then_a_write_is_rejected_at_once_and_not_applied() {
    let mut sim = Simulation::configured(1, 3);
    sim.databases[0].is_congested = true;
    let client = sim.open_client(0, "p");
    let received = exchange(&mut sim, client, "QUERY a1 WRITE k d");
    expect_that!(received[0], starts_with("ERROR CONGESTED"));
    expect_that!(received[0], contains_substring("retry after"));
    expect_that!(sim.databases[0].log, is_empty());
}

#[gtest]
fn given_a_line_over_the_size_limit_then_oversize_and_close() {
    let mut sim = Simulation::configured(1, 3);
    let client = sim.open_client(0, "p");
    sim.take_lines(client);
    sim.send_line(client, &format!("QUERY a1 WRITE k {}", "x".repeat(400_000)));
    sim.run(50 * MS);
    expect_that!(sim.take_lines(client)[0], starts_with("ERROR OVERSIZE"));
    expect_that!(sim.is_client_closed(client), eq(true));
}

#[gtest]
fn given_shutdown_with_an_open_transaction_then_it_can_commit_and_idle_sessions_are_closed() {
    let mut sim = Simulation::configured(2, 3);
    let (open, idle) = (sim.open_client(0, "p"), sim.open_client(0, "p"));
    exchange(&mut sim, open, "QUERY a1 BEGIN");
    exchange(&mut sim, open, "QUERY a2 WRITE k d");
    let now = sim.now;
    sim.access[0].core.iter_mut().for_each(|core| core.begin_shutdown(now));
    expect_that!(sim.access[0].core.as_ref().map(|core| core.is_ready()), some(eq(false)));
    sim.run(2600 * MS);
    expect_that!(sim.is_client_closed(idle), eq(true));
    expect_that!(exchange(&mut sim, open, "QUERY a3 COMMIT")[0], starts_with("COMPLETE stamp"));
}

#[gtest]
fn given_a_lost_response_then_reads_are_retried_elsewhere_and_transactions_are_aborted() {
    let mut sim = Simulation::configured(1, 3);
    let (one, other) = (sim.open_client(0, "p"), sim.open_client(0, "p"));
    exchange(&mut sim, one, "QUERY a1 BEGIN");
    exchange(&mut sim, one, "QUERY a2 WRITE k d");
    sim.databases[0].lost_replies = 1;
    sim.take_lines(one);
    sim.send_line(one, "QUERY a3 READ k");
    sim.run(20 * MS);
    for _ in 0..4 {
        expect_that!(exchange(&mut sim, other, "QUERY b1 READ k")[0], starts_with("ROW"));
    }
    let received = sim.take_lines(one);
    expect_that!(received[0], starts_with("ERROR ABORTED"));
    expect_that!(received[1], starts_with("IDLE E"));
    exchange(&mut sim, one, "QUERY a4 ABORT");
    sim.databases[0].lost_replies = 1;
    sim.send_line(one, "QUERY a5 READ k");
    sim.run(20 * MS);
    (0..4).for_each(|_| assert!(!exchange(&mut sim, other, "QUERY b2 READ k").is_empty()));
    expect_that!(sim.take_lines(one)[0], starts_with("ROW"));
    // For a single write, later responses prove nothing: its client must not get a result yet.
    sim.databases[0].lost_replies = 1;
    sim.send_line(one, "QUERY a6 WRITE k d");
    sim.run(20 * MS);
    (0..4).for_each(|_| assert!(!exchange(&mut sim, other, "QUERY b3 READ k").is_empty()));
    expect_that!(sim.take_lines(one), is_empty());
}

#[gtest]
fn given_reset_connections_in_a_transaction_then_it_restarts_elsewhere_only_before_its_first_response() {
    let mut sim = Simulation::configured(1, 3);
    let client = sim.open_client(0, "p");
    exchange(&mut sim, client, "QUERY a1 BEGIN");
    sim.send_line(client, "QUERY a2 WRITE k d");
    sim.run(3 * MS);
    sim.reset_connections(0);
    sim.run(100 * MS);
    expect_that!(sim.take_lines(client)[0], starts_with("COMPLETE stamp"));
    expect_that!(exchange(&mut sim, client, "QUERY a3 COMMIT")[0], starts_with("COMPLETE stamp"));
    expect_that!(sim.databases[0].log.iter().filter(|entry| entry.write.tag == "a2").count(), eq(1));
    exchange(&mut sim, client, "QUERY b1 BEGIN");
    exchange(&mut sim, client, "QUERY b2 WRITE k d");
    sim.send_line(client, "QUERY b3 READ k");
    sim.run(3 * MS);
    sim.reset_connections(0);
    sim.run(100 * MS);
    expect_that!(sim.take_lines(client)[0], starts_with("ERROR ABORTED"));
    expect_that!(sim.databases[0].log.iter().any(|entry| entry.write.tag == "b2"), eq(false));
}
