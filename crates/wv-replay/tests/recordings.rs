//! Recordings: parsing, merging, generation, recording on a node, and playback with dropped nodes.
use googletest::prelude::*;
use std::collections::BTreeMap;
use wv_replay::{
    generate_recording, play_recording, GeneratorOptions, NodeDrop, PlaybackOptions, RecordedAction, Recording,
    RecordingError, RecordingReport,
};

fn generator_options(profile: &str) -> GeneratorOptions {
    GeneratorOptions {
        profile: profile.to_owned(),
        nodes: 4,
        services: 2,
        sessions: 80,
        seconds: 20,
        requests_per_s: 80.0,
        seed: 3,
    }
}

fn playback_options(drops: &[&str]) -> PlaybackOptions {
    let drops = drops.iter().map(|text| text.parse::<NodeDrop>().expect("valid drop")).collect();
    PlaybackOptions {
        drops,
        control_nodes: 3,
        from_us: 0,
        until_us: 1_000_000_000,
        seed: 5,
        statement_us: 3000,
        browse_limit_us: None,
    }
}

fn generate_and_play(profile: &str, drops: &[&str]) -> RecordingReport {
    let recording = generate_recording(&generator_options(profile)).expect("valid options");
    play_recording(&recording, &playback_options(drops)).expect("playable recording")
}

#[gtest]
fn given_peak_traffic_of_each_profile_when_nodes_drop_then_no_write_is_lost_or_repeated_and_browsing_stays_fast() {
    for profile in ["couriers", "cadastre"] {
        for drops in [&["n1@13"][..], &["c0@13"][..], &["s00@13:18"][..], &["n2@13:16", "c1@13", "s10@13"][..]] {
            let report = generate_and_play(profile, drops);
            expect_that!(report.violations(), is_empty(), "{profile} {drops:?}");
            let json: serde_json::Value = serde_json::from_str(&report.to_json()).expect("valid JSON");
            let served = json["served"].as_u64().unwrap_or(0);
            expect_that!(served, gt(1400));
            // Few requests fail, and all failures are reported.
            let others = json["refused"].as_u64().unwrap_or(0) + json["unclear"].as_u64().unwrap_or(0);
            expect_that!(others, lt(served / 50), "{profile} {drops:?}");
            expect_that!(json["drops"].as_array().map(Vec::len), some(eq(drops.len())));
            expect_that!(json["drops"][0]["takenOverMs"].as_u64(), some(lt(3000)), "{profile} {drops:?}");
        }
    }
}

#[gtest]
fn given_a_dropped_primary_then_each_affected_request_is_reported_with_its_latency_and_serving_node() {
    let report = generate_and_play("cadastre", &["s00@13"]);
    let json: serde_json::Value = serde_json::from_str(&report.to_json()).expect("valid JSON");
    let waited = json["waited"].as_array().cloned().unwrap_or_default();
    expect_that!(waited.len(), gt(10));
    expect_that!(waited[0]["ms"].as_f64(), some(gt(200.0)));
    let kinds: Vec<&str> = waited.iter().filter_map(|row| row["kind"].as_str()).collect();
    for kind in ["clerk-write", "transfer", "map-view"] {
        expect_that!(kinds.contains(&kind), eq(true), "{kind}");
    }
    expect_that!(
        waited.iter().filter(|row| row["outcome"] == "served").all(|row| row["servedBy"].is_string()),
        eq(true)
    );
    expect_that!(report.to_text(), contains_substring("requests were waiting then or came in the takeover"));
}

#[gtest]
fn given_browse_requests_refused_during_a_promotion_then_their_retry_delay_keeps_them_within_the_latency_target() {
    for profile in ["couriers", "cadastre"] {
        let busy = GeneratorOptions {
            requests_per_s: 200.0,
            sessions: 300,
            nodes: 6,
            seconds: 30,
            ..generator_options(profile)
        };
        let recording = generate_recording(&busy).expect("valid options");
        let report = play_recording(&recording, &playback_options(&["s00@20"])).expect("playable recording");
        expect_that!(report.violations(), is_empty(), "{profile}");
    }
}

#[gtest]
fn given_the_same_recording_and_seed_then_the_report_is_identical_and_another_seed_differs() {
    let recording = generate_recording(&generator_options("couriers")).expect("valid options");
    let text = |seed| {
        let report = play_recording(&recording, &PlaybackOptions { seed, ..playback_options(&["n0@12", "s00@13"]) })
            .expect("playable recording");
        report.to_json()
    };
    expect_that!(text(1) == text(1), eq(true));
    expect_that!(text(1) == text(2), eq(false));
}

#[gtest]
fn given_an_exceeded_latency_limit_then_the_report_contains_a_violation() {
    let recording = generate_recording(&generator_options("cadastre")).expect("valid options");
    let report =
        play_recording(&recording, &PlaybackOptions { browse_limit_us: Some(1000), ..playback_options(&["n1@13"]) })
            .expect("playable recording");
    expect_that!(report.violations(), contains(starts_with("SLOW: browsing took")));
}

#[gtest]
fn given_invalid_recordings_then_each_error_names_the_file_and_line() {
    let read = |text: &str| Recording::parse("x", text).map(|_| ()).unwrap_err();
    let line = |at, found: &str, expected| RecordingError::InvalidLine("x".to_owned(), at, found.to_owned(), expected);
    let open = "recording 1 node=a\n0.1 open c h primary s\n";
    expect_that!(read(""), eq(&RecordingError::Empty("x".to_owned())));
    expect_that!(read("recording 1\nend 0\n"), eq(&RecordingError::Empty("x".to_owned())));
    expect_that!(read("0 conf 1\n"), eq(&RecordingError::NotARecording("x".to_owned(), "0 conf 1".to_owned())));
    expect_that!(read("recording 3\n"), eq(&RecordingError::UnsupportedVersion("x".to_owned(), 3)));
    expect_that!(read(open), eq(&RecordingError::Truncated("x".to_owned(), 2)));
    expect_that!(read(&format!("{open}end 7\n")), eq(&RecordingError::CountMismatch("x".to_owned(), 3, 1, 7)));
    expect_that!(
        read(&format!("{open}0.2 ask d read\nend 2\n")),
        eq(&RecordingError::ClientNotOpen("x".to_owned(), 3, "d".to_owned()))
    );
    expect_that!(
        read(&format!("{open}0.05 ask c read\nend 2\n")),
        eq(&RecordingError::TimeDecreased("x".to_owned(), 3))
    );
    let invalid = format!("{open}0.2 ask c txn:0:w\nend 2\n");
    expect_that!(read(&invalid), eq(&line(3, "0.2 ask c txn:0:w", "read, write or txn:STATEMENTS:r|w")));
    let invalid = format!("{open}0.2 dance c\nend 2\n");
    expect_that!(read(&invalid), eq(&line(3, "0.2 dance c", "open, ask or close")));
    expect_that!(read(&format!("{open}0.2 ask\nend 2\n")), eq(&line(3, "0.2 ask", "ask CLIENT KIND")));
    expect_that!(read(&format!("{open}later\nend 2\n")), eq(&line(3, "later", "a time in seconds")));
}

#[gtest]
fn given_drops_of_invalid_syntax_or_unknown_nodes_then_they_are_rejected() {
    for text in ["n1", "n1@x", "@3", "n1@5:4", "n1@-1"] {
        expect_that!(text.parse::<NodeDrop>(), err(displays_as(contains_substring(text))), "{text}");
    }
    let recording = generate_recording(&generator_options("couriers")).expect("valid options");
    let error = play_recording(&recording, &playback_options(&["n9@3"])).map(|_| ()).unwrap_err();
    expect_that!(error, displays_as(contains_substring("unknown node \"n9\"; access nodes: n0 n1 n2")));
}

#[gtest]
fn given_two_nodes_with_clock_skew_then_merging_orders_their_events() {
    let part = |node: &str, start: f64| {
        let text =
            format!("recording 1 node={node} start={start} lost=2\n1 open c h primary s\n2 ask c write\nend 2\n");
        (format!("{node}.rec"), Recording::parse(node, &text).expect("valid recording"))
    };
    let parts = [part("a", 100.0), part("b", 130.5)];
    // The second clock is 30 s ahead.
    let offsets = BTreeMap::from([("b".to_owned(), -30_000_000)]);
    let merged = Recording::merge(&parts, &offsets).expect("mergeable recordings");
    let order: Vec<(u64, &str)> =
        merged.events.iter().map(|event| (event.at_us / 1000, event.client.as_str())).collect();
    expect_that!(order, eq(&vec![(0, "a/c"), (500, "b/c"), (1000, "a/c"), (1500, "b/c")]));
    expect_that!(merged.header.get("lost"), some(eq(&"4".to_owned())));
    expect_that!(Recording::parse("merged", &merged.to_text()), ok(eq(&merged)));
    let twice = [part("a", 1.0), part("a", 2.0)];
    expect_that!(Recording::merge(&twice, &BTreeMap::new()), err(anything()));
}

#[gtest]
fn given_a_recording_node_then_its_recording_has_sessions_and_request_kinds_but_no_statement_text() {
    let mut sim = wv_simulation::Simulation::configured(1, 3);
    sim.access[0].core.iter_mut().for_each(|core| core.set_recording(8, 77, 5_000_000));
    let client = sim.open_client(0, "p");
    for text in
        ["q1 WRITE secretthing secretdata", "q2 BEGIN", "q3 READ secretthing", "q4 WRITE secretthing x", "q5 COMMIT"]
    {
        sim.send_line(client, &format!("QUERY {text}"));
        sim.run(100 * wv_simulation::MS);
    }
    sim.close_client(client);
    let text = sim.access[0].core.as_ref().map(|core| core.recording()).unwrap_or_default();
    expect_that!(text, not(contains_substring("secret")));
    let recording = Recording::parse("a0", &text).expect("valid recording");
    let kinds: Vec<&RecordedAction> = recording.events.iter().map(|event| &event.action).collect();
    let txn = wv_simulation::RequestKind::Txn { statements: 2, writes: true };
    let opened = RecordedAction::Open { host: "p".to_owned(), is_bounded: false, service: "s".to_owned() };
    expect_that!(
        kinds,
        eq(&vec![
            &opened,
            &RecordedAction::Request(wv_simulation::RequestKind::Write),
            &RecordedAction::Request(txn),
            &RecordedAction::Close
        ])
    );
    // The recording can be played.
    let merged = Recording::merge(&[("a0".to_owned(), recording)], &BTreeMap::new()).expect("mergeable recording");
    let report = play_recording(&merged, &playback_options(&[])).expect("playable recording");
    expect_that!(report.violations(), is_empty());
    // Events beyond the buffer size are counted as lost.
    (0..6).for_each(|_| {
        let client = sim.open_client(0, "b");
        sim.close_client(client);
    });
    let text = sim.access[0].core.as_ref().map(|core| core.recording()).unwrap_or_default();
    expect_that!(text, contains_substring("lost=8"));
    expect_that!(Recording::parse("a0", &text), ok(anything()));
}
