//! Stories of recorded hours: read, merged, made, taken from nodes, and played with nodes dropped.
use googletest::prelude::*;
use std::collections::BTreeMap;
use wv_replay::{make, rerun, Course, Drop, Entry, Hour, HourError, Recipe, Tally};

fn recipe(users: &str) -> Recipe {
    Recipe { users: users.to_owned(), nodes: 4, services: 2, sessions: 80, seconds: 20, per_s: 80.0, seed: 3 }
}

fn course(drops: &[&str]) -> Course {
    let drops = drops.iter().map(|text| text.parse::<Drop>().expect("a drop")).collect();
    Course { drops, controls: 3, from_us: 0, until_us: 1_000_000_000, seed: 5, work_us: 3000, browse_us: None }
}

fn played(users: &str, drops: &[&str]) -> Tally {
    let hour = make(&recipe(users)).expect("a recipe that fits");
    rerun(&hour, &course(drops)).expect("an hour that plays")
}

#[gtest]
fn given_a_busy_hour_of_each_user_when_nodes_drop_at_its_top_then_all_lands_once_and_browsing_stays_prompt() {
    for users in ["couriers", "cadastre"] {
        for drops in [&["n1@13"][..], &["c0@13"][..], &["s00@13:18"][..], &["n2@13:16", "c1@13", "s10@13"][..]] {
            let tally = played(users, drops);
            expect_that!(tally.faults(), is_empty(), "{users} {drops:?}");
            let json: serde_json::Value = serde_json::from_str(&tally.json()).expect("its own JSON");
            let served = json["served"].as_u64().unwrap_or(0);
            expect_that!(served, gt(1400));
            // What fails for good is a handful, and said.
            let others = json["refused"].as_u64().unwrap_or(0) + json["unclear"].as_u64().unwrap_or(0);
            expect_that!(others, lt(served / 50), "{users} {drops:?}");
            expect_that!(json["drops"].as_array().map(Vec::len), some(eq(drops.len())));
            expect_that!(json["drops"][0]["takenOverMs"].as_u64(), some(lt(3000)), "{users} {drops:?}");
        }
    }
}

#[gtest]
fn given_a_primary_that_drops_then_each_request_that_waited_is_shown_with_its_time_and_who_served_it() {
    let tally = played("cadastre", &["s00@13"]);
    let json: serde_json::Value = serde_json::from_str(&tally.json()).expect("its own JSON");
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
    expect_that!(tally.text(), contains_substring("requests were waiting then or came in the takeover"));
}

#[gtest]
fn given_browsers_refused_while_a_primary_is_replaced_then_they_are_told_to_come_back_within_their_aim() {
    for users in ["couriers", "cadastre"] {
        let busy = Recipe { per_s: 200.0, sessions: 300, nodes: 6, seconds: 30, ..recipe(users) };
        let hour = make(&busy).expect("a recipe that fits");
        let tally = rerun(&hour, &course(&["s00@20"])).expect("an hour that plays");
        expect_that!(tally.faults(), is_empty(), "{users}");
    }
}

#[gtest]
fn given_the_same_hour_and_seed_then_the_same_comes_out_and_another_seed_differs() {
    let hour = make(&recipe("couriers")).expect("a recipe that fits");
    let text = |seed| {
        let tally = rerun(&hour, &Course { seed, ..course(&["n0@12", "s00@13"]) }).expect("an hour that plays");
        tally.json()
    };
    expect_that!(text(1) == text(1), eq(true));
    expect_that!(text(1) == text(2), eq(false));
}

#[gtest]
fn given_a_bound_that_members_do_not_tolerate_then_the_verdict_is_red() {
    let hour = make(&recipe("cadastre")).expect("a recipe that fits");
    let tally = rerun(&hour, &Course { browse_us: Some(1000), ..course(&["n1@13"]) }).expect("an hour that plays");
    expect_that!(tally.faults(), contains(starts_with("SLOW: browsing took")));
}

#[gtest]
fn given_files_that_are_no_whole_recordings_then_each_is_named_with_its_line() {
    let read = |text: &str| Hour::parse("x", text).map(|_| ()).unwrap_err();
    let line = |at, found: &str, expected| HourError::Line("x".to_owned(), at, found.to_owned(), expected);
    let open = "recording 1 node=a\n0.1 open c h primary s\n";
    expect_that!(read(""), eq(&HourError::Empty("x".to_owned())));
    expect_that!(read("recording 1\nend 0\n"), eq(&HourError::Empty("x".to_owned())));
    expect_that!(read("0 conf 1\n"), eq(&HourError::NoRecording("x".to_owned(), "0 conf 1".to_owned())));
    expect_that!(read("recording 2\n"), eq(&HourError::TooNew("x".to_owned(), 2)));
    expect_that!(read(open), eq(&HourError::CutOff("x".to_owned(), 2)));
    expect_that!(read(&format!("{open}end 7\n")), eq(&HourError::Count("x".to_owned(), 3, 1, 7)));
    expect_that!(
        read(&format!("{open}0.2 ask d read\nend 2\n")),
        eq(&HourError::NotOpen("x".to_owned(), 3, "d".to_owned()))
    );
    expect_that!(read(&format!("{open}0.05 ask c read\nend 2\n")), eq(&HourError::Back("x".to_owned(), 3)));
    let wrong = format!("{open}0.2 ask c txn:0:w\nend 2\n");
    expect_that!(read(&wrong), eq(&line(3, "0.2 ask c txn:0:w", "read, write or txn:STATEMENTS:r|w")));
    let wrong = format!("{open}0.2 dance c\nend 2\n");
    expect_that!(read(&wrong), eq(&line(3, "0.2 dance c", "open, ask or close")));
    expect_that!(read(&format!("{open}0.2 ask\nend 2\n")), eq(&line(3, "0.2 ask", "ask CLIENT KIND")));
    expect_that!(read(&format!("{open}later\nend 2\n")), eq(&line(3, "later", "a time in seconds")));
}

#[gtest]
fn given_drops_that_name_nothing_then_that_is_said_and_not_played() {
    for text in ["n1", "n1@x", "@3", "n1@5:4", "n1@-1"] {
        expect_that!(text.parse::<Drop>(), err(displays_as(contains_substring(text))), "{text}");
    }
    let hour = make(&recipe("couriers")).expect("a recipe that fits");
    let error = rerun(&hour, &course(&["n9@3"])).map(|_| ()).unwrap_err();
    expect_that!(error, displays_as(contains_substring("there is no \"n9\"; access nodes are n0 n1 n2")));
}

#[gtest]
fn given_two_nodes_whose_clocks_disagree_then_merging_puts_their_events_in_order() {
    let part = |node: &str, start: f64| {
        let text =
            format!("recording 1 node={node} start={start} lost=2\n1 open c h primary s\n2 ask c write\nend 2\n");
        (format!("{node}.rec"), Hour::parse(node, &text).expect("whole"))
    };
    let parts = [part("a", 100.0), part("b", 130.5)];
    // The second clock is known to be half a minute ahead.
    let offsets = BTreeMap::from([("b".to_owned(), -30_000_000)]);
    let merged = Hour::merge(&parts, &offsets).expect("two nodes");
    let order: Vec<(u64, &str)> =
        merged.events.iter().map(|noted| (noted.at_us / 1000, noted.client.as_str())).collect();
    expect_that!(order, eq(&vec![(0, "a/c"), (500, "b/c"), (1000, "a/c"), (1500, "b/c")]));
    expect_that!(merged.head.get("lost"), some(eq(&"4".to_owned())));
    expect_that!(Hour::parse("again", &merged.text()), ok(eq(&merged)));
    let twice = [part("a", 1.0), part("a", 2.0)];
    expect_that!(Hour::merge(&twice, &BTreeMap::new()), err(anything()));
}

#[gtest]
fn given_a_node_that_records_then_what_it_gives_tells_who_came_when_and_nothing_of_what_they_said() {
    let mut world = wv_simulation::Simulation::configured(1, 3);
    world.access[0].core.iter_mut().for_each(|core| core.set_recording(8, 77, 5_000_000));
    let client = world.open_client(0, "p");
    for text in
        ["q1 WRITE secretthing secretdata", "q2 BEGIN", "q3 READ secretthing", "q4 WRITE secretthing x", "q5 COMMIT"]
    {
        world.send_line(client, &format!("QUERY {text}"));
        world.run(100 * wv_simulation::MS);
    }
    world.close_client(client);
    let text = world.access[0].core.as_ref().map(|core| core.recording()).unwrap_or_default();
    expect_that!(text, not(contains_substring("secret")));
    let hour = Hour::parse("a0", &text).expect("what a node gives can be read");
    let kinds: Vec<&Entry> = hour.events.iter().map(|noted| &noted.entry).collect();
    let txn = wv_simulation::RequestKind::Txn { statements: 2, writes: true };
    let opened = Entry::Open { host: "p".to_owned(), is_bounded: false, service: "s".to_owned() };
    expect_that!(
        kinds,
        eq(&vec![&opened, &Entry::Ask(wv_simulation::RequestKind::Write), &Entry::Ask(txn), &Entry::Close])
    );
    // It plays, too.
    let merged = Hour::merge(&[("a0".to_owned(), hour)], &BTreeMap::new()).expect("one node");
    let tally = rerun(&merged, &course(&[])).expect("an hour that plays");
    expect_that!(tally.faults(), is_empty());
    // What does not fit is counted and said.
    (0..6).for_each(|_| {
        let client = world.open_client(0, "b");
        world.close_client(client);
    });
    let text = world.access[0].core.as_ref().map(|core| core.recording()).unwrap_or_default();
    expect_that!(text, contains_substring("lost=8"));
    expect_that!(Hour::parse("a0", &text), ok(anything()));
}
