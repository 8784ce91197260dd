//! Forwarded work under a change of routes: whichever node is behind, no machine goes back to the earlier route.
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

/// How long after the effect of a version a machine may still go by an earlier one.
const SLACK_US: u64 = 250 * MS;
const STEP_US: u64 = 20 * MS;
const KINDS: usize = 6;
/// Within this time a request is served that was refused unrun and is tried again.
const RETRY_LIMIT_US: u64 = 2 * S;

/// Both routes lead to `destination`; node `a1` owns all shards.
fn configuration(version: u64, destination: &str) -> Vec<u8> {
    let body = Simulation::configuration_for(version, &["s".to_owned(), "t".to_owned()]);
    let mut value: serde_json::Value = serde_json::from_slice(&body).expect("the configuration is valid JSON");
    for route in value["routing"].as_array_mut().expect("routing is an array") {
        route["destination"] = destination.into();
    }
    value["partners"] = serde_json::json!([{"label": "all", "portion": 1, "nodes": ["a1"]}]);
    value.to_string().into_bytes()
}

/// A session that repeats one kind of work and was opened before any change.
struct Worker {
    client: usize,
    node: usize,
    /// Lines of one operation; `ID` is replaced by a fresh query id.
    lines: Vec<&'static str>,
    next_line: usize,
    sent_us: u64,
    is_waiting: bool,
    refused_since_us: Option<u64>,
}

/// A row read: when it was asked for, through which node, and whether the new service answered.
struct Sighting {
    sent_us: u64,
    received_us: u64,
    node: usize,
    kind: usize,
    is_new: bool,
}

struct Fleet {
    sim: Simulation,
    workers: Vec<Worker>,
    sightings: Vec<Sighting>,
    longest_refusal_us: u64,
    done: usize,
    next_id: u64,
}

impl Fleet {
    fn start() -> Fleet {
        let mut sim = Simulation::with_services(2, 3, &["s".to_owned(), "t".to_owned()]);
        sim.run(2 * S);
        sim.call(0, "PUT", "/configuration", &configuration(1, "s"));
        sim.run(5 * S);
        for database in sim.databases.iter_mut() {
            let service = database.service.clone();
            database.rows.insert("where".to_owned(), service);
        }
        // Bounded reads are served where they arrive, and so are the first to show a new route.
        let kinds: [(&str, Vec<&str>); KINDS] = [
            ("b", vec!["QUERY ID READ where"]),
            ("p", vec!["QUERY ID READ where"]),
            ("p", vec!["QUERY ID BEGIN", "QUERY ID READ where", "QUERY ID COMMIT"]),
            ("p", vec!["QUERY ID EXECUTE mine where"]),
            ("p", vec!["QUERY ID BEGIN", "QUERY ID WRITE k d", "QUERY ID READ where", "QUERY ID COMMIT"]),
            ("p", vec!["QUERY ID WRITE k d", "QUERY ID READ where"]),
        ];
        let mut workers = Vec::new();
        for node in 0..2 {
            for (route, lines) in &kinds {
                let client = sim.open_client(node, route);
                sim.run(10 * MS);
                sim.send_line(client, "QUERY d1 DEFINE mine READ q");
                sim.run(10 * MS);
                sim.take_lines(client);
                let lines = lines.clone();
                workers.push(Worker {
                    client,
                    node,
                    lines,
                    next_line: 0,
                    sent_us: 0,
                    is_waiting: false,
                    refused_since_us: None,
                });
            }
        }
        Fleet { sim, workers, sightings: Vec::new(), longest_refusal_us: 0, done: 0, next_id: 0 }
    }

    fn run(&mut self, us: u64) {
        let end = self.sim.now + us;
        while self.sim.now < end {
            self.sim.run(STEP_US);
            (0..self.workers.len()).for_each(|at| self.drive(at));
        }
    }

    fn drive(&mut self, at: usize) {
        let now = self.sim.now;
        let worker = &mut self.workers[at];
        let received = self.sim.take_lines(worker.client);
        let row = received.iter().find_map(|line| line.strip_prefix("ROW "));
        if let Some(row) = row.filter(|row| matches!(*row, "s" | "t")) {
            let (sent_us, node, kind) = (worker.sent_us, worker.node, at % KINDS);
            self.sightings.push(Sighting { sent_us, received_us: now, node, kind, is_new: row == "t" });
        }
        let is_refused = received.iter().any(|line| line.starts_with("ERROR"));
        if let Some(idle) = received.iter().rev().find(|line| line.starts_with("IDLE")) {
            worker.is_waiting = false;
            if is_refused {
                worker.refused_since_us.get_or_insert(worker.sent_us);
                // A failed transaction is ended before the operation starts over.
                worker.next_line = if idle.starts_with("IDLE E") { usize::MAX } else { 0 };
            } else if worker.next_line >= worker.lines.len() {
                worker.next_line = 0;
                self.done += 1;
                let since_us = worker.refused_since_us.take();
                self.longest_refusal_us = self.longest_refusal_us.max(since_us.map_or(0, |since| now - since));
            }
        }
        if worker.is_waiting {
            return;
        }
        self.next_id += 1;
        let line = match worker.next_line {
            usize::MAX => "QUERY ID ABORT",
            next => worker.lines[next],
        };
        // The transaction counts from its first byte on.
        if worker.next_line == 0 || !worker.lines[0].contains("BEGIN") {
            worker.sent_us = now;
        }
        worker.next_line = if worker.next_line == usize::MAX { 0 } else { worker.next_line + 1 };
        worker.is_waiting = true;
        let (client, text) = (worker.client, line.replace("ID", &format!("{:x}", self.next_id)));
        self.sim.send_line(client, &text);
    }

    /// Work that was sent through a node after the node had shown the new route, and run by the earlier service.
    fn gone_back(&self) -> Vec<String> {
        let mut found = Vec::new();
        for node in 0..2 {
            let of_node = || self.sightings.iter().filter(|sighting| sighting.node == node);
            let effect_us = of_node().filter(|sighting| sighting.is_new).map(|sighting| sighting.received_us).min();
            let late = of_node().filter(|sighting| {
                !sighting.is_new && effect_us.is_some_and(|effect| sighting.sent_us > effect + SLACK_US)
            });
            found.extend(late.map(|sighting| format!("a{node}, kind {}, sent at {}", sighting.kind, sighting.sent_us)));
        }
        found
    }
}

fn put(fleet: &mut Fleet, control: usize, version: u64, destination: &str) {
    let token = fleet.sim.call(control, "PUT", "/configuration", &configuration(version, destination));
    fleet.run(100 * MS);
    expect_that!(fleet.sim.responses.get(&token).map(|response| response.0), some(eq(200)));
}

/// Guards against an owner that goes by an older configuration running handed-over work by its own, older route.
#[gtest]
fn given_a_route_change_while_a_control_node_stands_still_then_no_machine_goes_back() {
    for frozen in 0..3 {
        let mut fleet = Fleet::start();
        fleet.run(S);
        fleet.sim.freeze_control(frozen);
        put(&mut fleet, (frozen + 1) % 3, 2, "t");
        fleet.run(5 * S);
        fleet.sim.thaw_control(frozen);
        fleet.run(4 * S);
        expect_that!(fleet.gone_back(), is_empty(), "c{frozen} stands still");
        expect_that!(fleet.sightings.iter().filter(|sighting| sighting.is_new).count(), gt(100));
        expect_that!(fleet.longest_refusal_us, le(RETRY_LIMIT_US), "c{frozen} stands still");
        let before = (fleet.done, fleet.sim.forwarded_requests(0));
        fleet.run(S);
        expect_that!((fleet.done > before.0 + 50, fleet.sim.forwarded_requests(0) > before.1), eq((true, true)));
    }
}

/// Guards against the same where either node stands still itself and acts on what it received before.
#[gtest]
fn given_route_changes_while_an_access_node_stands_still_then_no_machine_goes_back() {
    for (frozen, still_us) in [(0, 700 * MS), (1, 700 * MS), (0, 4 * S), (1, 4 * S)] {
        let mut fleet = Fleet::start();
        fleet.run(S);
        fleet.sim.freeze_access(frozen);
        fleet.run(100 * MS);
        put(&mut fleet, 0, 2, "t");
        fleet.run(still_us);
        fleet.sim.thaw_access(frozen);
        fleet.run(5 * S);
        expect_that!(fleet.gone_back(), is_empty(), "a{frozen} stands still for {still_us} us");
        expect_that!(fleet.sightings.iter().filter(|sighting| sighting.is_new).count(), gt(100));
    }
}

/// Guards against the same in a series: routes that change while one node after the other is behind, owners moving.
#[gtest]
fn given_a_series_of_nodes_behind_and_a_restarted_owner_then_no_machine_goes_back() {
    let mut fleet = Fleet::start();
    fleet.run(S);
    fleet.sim.freeze_control(2);
    put(&mut fleet, 0, 2, "t");
    fleet.run(800 * MS);
    fleet.sim.freeze_access(1);
    fleet.sim.thaw_control(2);
    fleet.run(1_500 * MS);
    fleet.sim.thaw_access(1);
    fleet.sim.freeze_control(1);
    fleet.run(1_200 * MS);
    fleet.sim.thaw_control(1);
    fleet.run(3 * S);
    expect_that!(fleet.gone_back(), is_empty());
    expect_that!(fleet.sim.check_rules(), is_empty());
}
