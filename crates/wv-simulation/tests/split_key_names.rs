//! Key names with line feeds in a shard split: stored, loaded by the next duty holder and listed without a change.
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

/// Guards against listed names being changed: a name with a tab at its end, or with a line feed, was listed as another.
#[gtest]
fn given_names_with_white_space_in_an_operators_list_then_a_split_moves_their_rows() {
    let mut split = SplitTest::start();
    let tabbed = moving_key("tab", "x\t");
    let (returned, broken) = (moving_key("cr", "x\r"), moving_key("two", "\nlines "));
    let keys = [tabbed.clone(), returned, broken.trim_end().to_owned()];
    // Rows from before the databases were served through windvalve.
    for database in split.sim.databases.iter_mut().filter(|database| database.service == "s") {
        keys.iter().for_each(|key| _ = database.rows.insert(key.clone(), "v".to_owned()));
    }
    expect_that!(split.call("PUT", "/things/s", format!("{tabbed}\r\n").as_bytes()).0, eq(200));
    let list = serde_json::to_vec(&keys[1..]).expect("a list of names");
    expect_that!(split.call("PUT", "/things/s", &list).0, eq(200));
    for list in [r#"["two words"]"#, r#"["k\r\nQUERY - WRITE k forged"]"#, "two words", r#"["k\r\nx"]"#] {
        expect_that!(split.call("PUT", "/things/s", list.as_bytes()).0, eq(400), "{list}");
    }
    split.request_split();
    expect_that!(split.wait_for_move(60 * S), eq(true));
    for key in &keys {
        expect_that!(row_at_target(&split, key), some(eq("v")), "{key:?}");
    }
    expect_that!(split.finish_and_check(), is_empty());
}
