//! Key names with line feeds in a shard split: stored and loaded by the next duty holder without a change.
mod split_test;

use googletest::prelude::*;
use split_test::SplitTest;
use wv_simulation::S;

/// A key of the moving slots whose name begins with `prefix` and ends with `suffix`.
fn moving_key(prefix: &str, suffix: &str) -> String {
    let mut names = (0..).map(|at| format!("{prefix}{{{at}}}{suffix}"));
    names.find(|name| wv_internal_protocol::slot_for_key(name.as_bytes()) >= 512).unwrap_or_default()
}

fn row_at_target(split: &SplitTest, key: &str) -> Option<String> {
    let primary = split.sim.databases.iter().find(|database| database.service == "t" && database.is_primary);
    primary.and_then(|database| database.rows.get(key).cloned())
}

/// Guards against a stored key name with a line feed being loaded as two names: its acknowledged row was left behind.
#[gtest]
fn given_a_key_with_a_line_feed_and_a_new_duty_holder_then_a_split_moves_its_row() {
    let mut split = SplitTest::start();
    let client = split.sim.open_client(0, "p");
    split.sim.run(S);
    split.sim.take_lines(client);
    let key = moving_key("two", "\nlines\\n\r");
    split.sim.send_line(client, &format!("QUERY first WRITE {key} gate 4\nring twice"));
    split.sim.run(S);
    expect_that!(split.sim.take_lines(client).first(), some(starts_with("COMPLETE stamp")));
    let duty_holder = split.duty_holder();
    split.sim.kill_control(duty_holder);
    split.sim.run(4 * S);
    split.request_split();
    expect_that!(split.wait_for_move(60 * S), eq(true));
    expect_that!(row_at_target(&split, &key), some(eq("gate 4\nring twice")));
    expect_that!(split.finish_and_check(), is_empty());
}
