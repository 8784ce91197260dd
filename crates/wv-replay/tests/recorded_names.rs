//! Recordings of databases whose names hold white space: one event a line, and the names come back as they were.
use googletest::prelude::*;
use std::collections::BTreeMap;
use wv_replay::{RecordedAction, Recording, RecordingError};
use wv_simulation::{Simulation, S};

const HOST: &str = "sho\u{85}p\n%41\tx";

/// A recording of one session on a database named `HOST`.
fn record_session() -> String {
    let mut sim = Simulation::new(1, 3);
    sim.run(2 * S);
    let mut configuration: serde_json::Value =
        serde_json::from_slice(&Simulation::configuration(1)).expect("the default configuration is valid JSON");
    configuration["routing"][0]["host"] = HOST.into();
    sim.call(0, "PUT", "/configuration", configuration.to_string().as_bytes());
    sim.run(2 * S);
    sim.access[0].core.iter_mut().for_each(|core| core.set_recording(8, 77, 5_000_000));
    let client = sim.open_client(0, HOST);
    sim.send_line(client, "QUERY q1 WRITE k one\ntwo");
    sim.run(S);
    sim.close_client(client);
    sim.access[0].core.as_ref().map(|core| core.recording()).unwrap_or_default()
}

fn hosts(recording: &Recording) -> Vec<&str> {
    let opened = recording.events.iter().filter_map(|event| match &event.action {
        RecordedAction::Open { host, .. } => Some(host.as_str()),
        _ => None,
    });
    opened.collect()
}

/// Guards against a database's name with a line feed breaking a recording's lines, which could then not be read.
#[gtest]
fn given_a_database_name_with_white_space_then_the_recording_is_read_back_unchanged() {
    let text = record_session();
    let recording = Recording::parse("a0", &text).expect("valid recording");
    expect_that!(hosts(&recording), eq(&vec![HOST]));
    expect_that!(recording.events.len(), eq(3));
    let merged = Recording::merge(&[("a0".to_owned(), recording)], &BTreeMap::new()).expect("mergeable recording");
    let again = Recording::parse("merged", &merged.to_text());
    expect_that!(again, ok(eq(&merged)));
}

#[gtest]
fn given_a_recording_of_version_1_then_its_names_are_taken_as_they_are() {
    let text = "recording 1 node=a\n0.1 open c sh%41op primary s%\nend 1\n";
    let recording = Recording::parse("a", text).expect("valid recording");
    expect_that!(hosts(&recording), eq(&vec!["sh%41op"]));
    expect_that!(recording.to_text(), starts_with("recording 1 "));
}

#[gtest]
fn given_a_name_of_version_2_that_is_not_utf8_then_its_line_is_named() {
    let text = "recording 2 node=a\n0.1 open c sh%ffop primary s\nend 1\n";
    let expected = RecordingError::InvalidLine(
        "a".to_owned(),
        2,
        "0.1 open c sh%ffop primary s".to_owned(),
        "percent-encoded UTF-8 names",
    );
    expect_that!(Recording::parse("a", text), err(eq(&expected)));
}

/// Guards against a recording that was cut off, also within an encoded name, being played as if it were whole.
#[gtest]
fn given_a_recording_cut_at_any_byte_then_it_is_refused_with_the_line_named() {
    let text = record_session();
    let whole = text.trim_end().len();
    for cut in 0..whole {
        let read = Recording::parse("a0", &text[..cut]);
        expect_that!(read, err(displays_as(contains_substring("a0"))), "cut at {cut}");
    }
    expect_that!(Recording::parse("a0", &text[..whole]), ok(anything()));
}
