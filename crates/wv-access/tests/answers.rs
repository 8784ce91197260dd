//! Stories of answers on connections to databases: each meets its own client, or nobody.
mod common;

use common::{Bare, MS};
use googletest::prelude::*;

const OK: &str = "COMPLETE stamp-1\r\nIDLE I 3.9\r\n";

/// A write under way, with its client and connection.
fn writing(bare: &mut Bare, tag: &str) -> (u64, u64) {
    let client = bare.client("shop");
    bare.say(client, &format!("QUERY {tag} WRITE k d"));
    (client, bare.ran.last().expect("it was sent").0)
}

#[gtest]
fn given_a_write_before_it_is_sent_when_all_connections_are_reset_then_it_runs_once_elsewhere() {
    let mut bare = Bare::new();
    bare.dbs.keys().copied().collect::<Vec<u64>>().into_iter().for_each(|db| bare.reset(db));
    let client = bare.client("shop");
    bare.say(client, "QUERY w1 WRITE k d");
    bare.run(50 * MS);
    let db = bare.busy().expect("a new connection took it");
    bare.db_says(db, OK, 1);
    expect_that!(bare.heard(client), starts_with("COMPLETE stamp-1"));
    expect_that!(bare.count("QUERY w1"), eq(1));
}

#[gtest]
fn given_a_write_or_commit_sent_when_the_connection_is_reset_at_any_byte_of_the_answer_then_it_is_never_sent_again() {
    for len in 0..OK.len() {
        let mut bare = Bare::new();
        let (client, db) = writing(&mut bare, "w1");
        bare.db_says(db, &OK[..len], 0);
        bare.reset(db);
        bare.run(2_000 * MS);
        expect_that!(bare.heard(client), starts_with("ERROR INDETERM"), "after {len} bytes");
        expect_that!(bare.count("QUERY w1"), eq(1));

        let client = bare.client("shop");
        bare.say(client, "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d");
        let db = bare.ran.last().expect("it was sent").0;
        bare.db_says(db, "COMPLETE -\r\nIDLE T -\r\n", 1);
        bare.db_says(db, "COMPLETE stamp-2\r\nIDLE T -\r\n", 1);
        bare.say(client, "QUERY t3 COMMIT");
        bare.heard(client);
        bare.db_says(db, &OK[..len], 0);
        bare.reset(db);
        bare.run(2_000 * MS);
        expect_that!(bare.heard(client), starts_with("ERROR INDETERM"), "after {len} bytes");
        expect_that!((bare.count("QUERY t2"), bare.count("COMMIT")), eq((1, 1)));
    }
    // After the answer there is nothing left to be unclear.
    let mut bare = Bare::new();
    let (client, db) = writing(&mut bare, "w1");
    bare.db_says(db, OK, 1);
    bare.reset(db);
    expect_that!(bare.heard(client), eq(OK));
    expect_that!(bare.count("QUERY w1"), eq(1));
}

#[gtest]
fn given_a_transaction_reset_before_its_commit_then_it_is_rolled_back_and_its_client_is_promised_so() {
    let mut bare = Bare::new();
    let client = bare.client("shop");
    bare.say(client, "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d");
    let db = bare.ran.last().expect("it was sent").0;
    bare.db_says(db, "COMPLETE -\r\nIDLE T -\r\n", 1);
    bare.db_says(db, "COMPLETE stamp-2\r\nIDLE T -\r\n", 1);
    bare.heard(client);
    bare.reset(db);
    bare.say(client, "QUERY t3 COMMIT");
    expect_that!(bare.heard(client), starts_with("ERROR ABORTED"));
    expect_that!(bare.count("COMMIT"), eq(0));
}

#[gtest]
fn given_bytes_left_over_behind_an_answer_when_another_client_waits_then_they_are_not_taken_for_its_answer() {
    for rest in ["COMPLETE stamp-0\r\nIDLE I 3.8\r\n", "COMP", "IDLE I 3.8\r\n"] {
        let mut bare = Bare::new();
        let (client, db) = writing(&mut bare, "w1");
        // All other connections are busy: the next client gets this one as soon as it is free.
        let others: Vec<(u64, u64)> = (0..40).map(|at| writing(&mut bare, &format!("o{at}"))).collect();
        let waiting = bare.client("shop");
        bare.say(waiting, "QUERY w2 WRITE l d");
        bare.db_says(db, &format!("{OK}{rest}"), 1);
        // Which of the two is its own nobody can say.
        expect_that!(bare.heard(client), starts_with("ERROR INDETERM"));
        expect_that!(bare.heard(waiting), eq(""));
        expect_that!(bare.dbs.contains_key(&db), eq(false));
        expect_that!(others.len(), eq(40));
    }
}

#[gtest]
fn given_an_answer_without_a_question_on_a_resting_connection_then_that_is_closed_and_nobody_hears_it() {
    let mut bare = Bare::new();
    let db = *bare.dbs.keys().next().expect("one is kept ready");
    bare.db_says(db, OK, 0);
    expect_that!(bare.dbs.contains_key(&db), eq(false));
    let (client, other) = writing(&mut bare, "w1");
    expect_that!(other, not(eq(db)));
    bare.db_says(other, OK, 1);
    expect_that!(bare.heard(client), eq(OK));
}

#[gtest]
fn given_a_torn_answer_joined_with_the_next_one_then_it_is_not_passed_for_a_whole_one() {
    // Of the read and the ABORT behind it; the first one stops somewhere and the second one follows at once.
    let (own, end) = ("ROW x\r\nCOMPLETE stamp-1\r\nIDLE T 3.9\r\n", "COMPLETE -\r\nIDLE I 3.9\r\n");
    for len in 0..own.len() {
        let mut bare = Bare::new();
        let client = bare.client("shop");
        bare.say(client, "QUERY r1 READ k");
        let db = bare.ran.last().expect("it was begun").0;
        bare.db_says(db, "COMPLETE -\r\nIDLE T -\r\n", 1);
        bare.db_says(db, &format!("{}{end}", &own[..len]), 2);
        let heard = bare.heard(client);
        let is_whole = heard.starts_with("ROW x\r\nCOMPLETE stamp-1\r\nIDLE I");
        expect_that!(heard.is_empty() || is_whole, eq(true), "after {len} bytes: {heard:?}");
    }
}

#[gtest]
fn given_the_answer_to_an_own_statement_lost_then_the_next_one_is_not_taken_for_it() {
    let mut bare = Bare::new();
    let client = bare.client("shop");
    bare.say(client, "QUERY a1 ASSIGN zone x\r\nQUERY w1 WRITE k d");
    bare.heard(client);
    let db = bare.ran.last().expect("it was sent").0;
    // The write's own answer comes first: it is not the one to ASSIGN.
    bare.db_says(db, OK, 2);
    expect_that!(bare.heard(client), starts_with("ERROR INDETERM"));
    expect_that!(bare.count("QUERY w1"), eq(1));
}

#[gtest]
fn given_values_refused_by_the_database_then_a_write_behind_them_is_unclear_and_a_transaction_begins_elsewhere() {
    let refused = "ERROR CONGESTED full\r\nIDLE I -\r\n";
    let mut bare = Bare::new();
    let client = bare.client("shop");
    bare.say(client, "QUERY a1 ASSIGN zone x\r\nQUERY w1 WRITE k d");
    bare.heard(client);
    let db = bare.ran.last().expect("it was sent").0;
    bare.db_says(db, &format!("{refused}{OK}"), 2);
    expect_that!(bare.heard(client), starts_with("ERROR INDETERM"));
    bare.say(client, "QUERY t1 BEGIN\r\nQUERY t2 WRITE k d");
    bare.heard(client);
    let db = bare.ran.last().expect("it was begun").0;
    bare.db_says(db, &format!("{refused}COMPLETE -\r\nIDLE T -\r\n"), 2);
    expect_that!(bare.heard(client), eq(""));
    let again = bare.ran.last().expect("it was begun again").0;
    expect_that!(again, not(eq(db)));
    bare.db_says(again, "COMPLETE -\r\nIDLE I -\r\nCOMPLETE -\r\nIDLE T -\r\n", 2);
    bare.db_says(again, "COMPLETE stamp-2\r\nIDLE T -\r\n", 1);
    expect_that!(bare.heard(client), starts_with("COMPLETE stamp-2"));
    expect_that!(bare.count("QUERY t2"), eq(1));
}

#[gtest]
fn given_rows_that_went_out_already_when_the_read_is_torn_then_the_client_is_cut_and_never_given_them_twice() {
    let mut bare = Bare::new();
    let client = bare.client("look");
    bare.say(client, "QUERY r1 READ k");
    let db = bare.ran.last().expect("it was sent").0;
    bare.db_says(db, "COMPLETE -\r\nIDLE T -\r\n", 1);
    bare.db_says(db, &format!("ROW {}\r\n", "x".repeat(70_000)), 0);
    bare.reset(db);
    bare.run(50 * MS);
    expect_that!(bare.closed, contains(eq(&client)));
    expect_that!(bare.count("QUERY r1"), eq(1));
}

#[gtest]
fn given_returns_to_own_statements_lost_then_their_connections_do_not_take_places_for_ever() {
    let mut bare = Bare::new();
    let client = bare.client("shop");
    bare.say(client, "QUERY r1 READ k");
    let db = bare.ran.last().expect("it was begun").0;
    bare.db_says(db, "COMPLETE -\r\nIDLE T -\r\n", 1);
    // The read comes back, the ABORT behind it never does.
    bare.db_says(db, "ROW x\r\nCOMPLETE stamp-1\r\nIDLE T 3.9\r\n", 1);
    expect_that!(bare.heard(client), contains_substring("stamp-1"));
    bare.run(2_900 * MS);
    expect_that!(bare.dbs.contains_key(&db), eq(true));
    bare.run(300 * MS);
    expect_that!(bare.dbs.contains_key(&db), eq(false));
}

#[gtest]
fn given_half_a_line_or_an_early_end_of_a_client_then_nothing_of_it_runs_and_nobody_else_gets_its_answer() {
    let mut bare = Bare::new();
    let client = bare.client("shop");
    bare.core.client_data(client, b"QUERY w1 WRITE k d", bare.now);
    bare.core.client_gone(client, bare.now);
    bare.obey();
    expect_that!(bare.count("QUERY w1"), eq(0));
    let (client, db) = writing(&mut bare, "w2");
    bare.core.client_gone(client, bare.now);
    bare.obey();
    expect_that!(bare.dbs.contains_key(&db), eq(false), "its return has nobody to go to");
    bare.db_says(db, OK, 1);
    let (next, other) = writing(&mut bare, "w3");
    expect_that!((other != db, bare.heard(next).is_empty()), eq((true, true)));
}

#[gtest]
fn given_lines_sent_ahead_then_each_is_answered_in_turn_and_none_is_sent_before_the_one_ahead_is_over() {
    let mut bare = Bare::new();
    let client = bare.client("shop");
    bare.say(client, "QUERY w1 WRITE k a\r\nQUERY w2 WRITE k b\r\nQUERY w3 WRITE k c");
    expect_that!((bare.count("QUERY w1"), bare.count("QUERY w2")), eq((1, 0)));
    let db = bare.busy().expect("it was sent");
    bare.reset(db);
    let db = bare.busy().expect("the next one was sent");
    bare.db_says(db, OK, 1);
    let db = bare.busy().expect("the last one was sent");
    bare.db_says(db, "ERROR READONLY d1\r\nIDLE I 3.9\r\n", 1);
    bare.run(400 * MS);
    let heard = bare.heard(client);
    let firsts: Vec<&str> = heard.lines().filter(|line| !line.starts_with("IDLE")).collect();
    expect_that!(firsts[0], starts_with("ERROR INDETERM"));
    expect_that!(firsts[1], eq("COMPLETE stamp-1"));
    expect_that!(firsts.len(), eq(3), "{heard}");
    expect_that!((bare.count("QUERY w1"), bare.count("QUERY w2")), eq((1, 1)));
}
