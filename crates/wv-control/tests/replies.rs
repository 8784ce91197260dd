//! Replies to requests of a control node: a late or repeated reply must not count for another request.
use googletest::prelude::*;
use wv_control::{Core, Effect, Start};
use wv_internal_protocol::Message;
use wv_promotion::StatusReply;
use wv_wire_protocol::{DatabaseStatus, LogPosition};

const ADDRESS: &str = "10.0.0.1:80";
const MS: u64 = 1_000;
const CONFIGURATION: &str = r#"{"issue":1,"routing":[{"label":"p","host":"shop","category":"primary","expiryMs":1000,
  "targetMs":200,"destination":"s"}],"services":[{"label":"s","syncReplicas":1}]}"#;

/// A control node that is the only voter, or whose other voters never reply.
struct Node {
    core: Core,
    now: u64,
    /// Requests to databases and the platform: request, database, statement.
    requests: Vec<(u64, String, String)>,
    responses: Vec<(u64, u16)>,
}

impl Node {
    fn new(seeds: &[&str]) -> Node {
        let start = Start {
            address: ADDRESS.to_owned(),
            node: "c0".to_owned(),
            zone: "z0".to_owned(),
            incarnation: 5,
            seeds: seeds.iter().map(|seed| (*seed).to_owned()).collect(),
            is_initial_start: true,
            has_disk: true,
            tolerated_machines: 0,
            disk_id: 3,
            requester_id: 0x5151,
        };
        let store = wv_consensus::Store::open(Box::new(wv_consensus::MemoryFiles::default())).expect("an empty folder");
        let core = Core::new(start, store).expect("a first start");
        Node { core, now: 0, requests: Vec::new(), responses: Vec::new() }
    }

    fn run(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            self.now += 100 * MS;
            self.core.tick(self.now);
            self.apply_actions();
        }
    }

    fn apply_actions(&mut self) {
        for effect in self.core.take_effects() {
            match effect {
                Effect::QueryDatabase { request, id, statement, .. } => self.requests.push((request, id, statement)),
                Effect::PromoteDatabase { request, id, fence, .. } => {
                    self.requests.push((request, id, format!("POST {fence}")))
                }
                Effect::Respond { token, status, .. } => self.responses.push((token, status)),
                _ => {}
            }
        }
    }

    fn call(&mut self, method: &str, path: &str, body: &str) -> Option<u16> {
        let token = self.core.allocate_id();
        self.core.handle_call(token, method, path, Some(body.as_bytes()), self.now);
        self.apply_actions();
        self.responses.iter().find(|response| response.0 == token).map(|response| response.1)
    }

    fn heartbeat(&mut self, id: &str, state: &str, sequence: u32) -> Option<u16> {
        let role = if id == "d1" { "primary" } else { "replica" };
        let body = serde_json::json!({"destination": "s", "address": format!("10.9.0.{}:80", &id[1..]), "zone": "z0",
            "issue": "v1", "capacity": 10, "state": state, "coldLeftMs": 0, "dbRole": role, "sequence": sequence});
        self.call("PUT", &format!("/instances/{id}"), &body.to_string())
    }

    fn reply_row(&mut self, request: u64, received: u64, suspended_term: u64) {
        let received = LogPosition { term: 3, number: received };
        let reply: StatusReply = Ok(DatabaseStatus {
            is_primary: false,
            term: 3,
            received,
            suspended_term,
            lag_us: 0,
            busy_connections: 0,
            connections: 1,
        });
        self.core.on_db_status(request, reply, self.now);
        self.apply_actions();
    }

    fn reply_primary_row(&mut self, request: u64, received: u64) {
        let received = LogPosition { term: 3, number: received };
        let row = DatabaseStatus { is_primary: true, term: 3, received, ..DatabaseStatus::default() };
        self.core.on_db_status(request, Ok(row), self.now);
        self.apply_actions();
    }

    fn take_requests(&mut self) -> Vec<(u64, String, String)> {
        std::mem::take(&mut self.requests)
    }

    /// Runs until a statement with this prefix was requested and returns all such requests.
    fn await_requests(&mut self, text: &str) -> Vec<(u64, String, String)> {
        for _ in 0..40 {
            if self.requests.iter().any(|(_, _, statement)| statement.starts_with(text)) {
                break;
            }
            self.run(100 * MS);
        }
        let all = self.take_requests();
        all.into_iter().filter(|(_, _, statement)| statement.starts_with(text)).collect()
    }
}

/// A node that replaces a leaving primary, with the status queries that it sent.
fn start_queries() -> (Node, Vec<(u64, String, String)>) {
    let mut node = Node::new(&[ADDRESS]);
    node.run(1_000 * MS);
    node.call("PUT", "/configuration", CONFIGURATION);
    for id in ["d1", "d2", "d3"] {
        node.heartbeat(id, "in_service", 1);
    }
    node.run(1_000 * MS);
    node.take_requests();
    node.heartbeat("d1", "draining", 2);
    let queries = node.await_requests("ENQUIRY");
    (node, queries)
}

#[gtest]
fn given_rows_of_an_earlier_query_then_they_do_not_confirm_suspensions() {
    let (mut node, queries) = start_queries();
    expect_that!(queries.len(), eq(2));
    // No reply arrives in time, so the attempt ends and the next one sends new queries.
    let again = node.await_requests("ENQUIRY");
    queries.iter().for_each(|(request, _, _)| node.reply_row(*request, 9, 0));
    expect_that!(node.take_requests(), is_empty(), "late rows of the first queries have no effect");
    again.iter().for_each(|(request, _, _)| node.reply_row(*request, 9, 0));
    let suspended = node.await_requests("SUSPEND");
    expect_that!(suspended.len(), eq(1), "all but the candidate");
    // Repeated rows of either attempt must not confirm the suspension.
    queries.iter().chain(&again).for_each(|(request, _, _)| node.reply_row(*request, 9, 0));
    expect_that!(node.take_requests(), is_empty());
    node.reply_row(suspended[0].0, 9, 4);
    expect_that!(node.await_requests("POST").len(), eq(1));
}

#[gtest]
fn given_rows_of_lifted_suspensions_then_they_do_not_answer_the_next_queries() {
    let (mut node, queries) = start_queries();
    queries.iter().for_each(|(request, _, _)| node.reply_row(*request, 9, 0));
    let suspended = node.await_requests("SUSPEND");
    // The suspension gets no reply, so it is lifted and the attempt starts again.
    let lifted = node.await_requests("CONTINUE");
    expect_that!(lifted.is_empty(), eq(false), "{suspended:?}");
    let again = node.await_requests("ENQUIRY");
    expect_that!(again.len(), eq(2));
    lifted.iter().for_each(|(request, _, _)| node.reply_row(*request, 9, 0));
    suspended.iter().for_each(|(request, _, _)| node.reply_row(*request, 9, 4));
    expect_that!(node.take_requests(), is_empty());
}

#[gtest]
fn given_repeated_or_late_platform_responses_then_only_the_open_call_is_affected_by_its_own() {
    let (mut node, queries) = start_queries();
    queries.iter().for_each(|(request, _, _)| node.reply_row(*request, 9, 0));
    let suspended = node.await_requests("SUSPEND");
    suspended.iter().for_each(|(request, _, _)| node.reply_row(*request, 9, 4));
    let first = node.await_requests("POST");
    expect_that!(first.len(), eq(1));
    // Without a reply the outcome is queried and the call is not repeated; then a new attempt starts.
    let mut statements = Vec::new();
    let mut second = Vec::new();
    for _ in 0..100 {
        node.run(100 * MS);
        for (request, id, text) in node.take_requests() {
            match text.split(' ').next() {
                Some("SUSPEND") => node.reply_row(request, 9, 4),
                Some("ENQUIRY") if id == "d1" => node.reply_primary_row(request, 9),
                Some("ENQUIRY") => node.reply_row(request, 9, 0),
                Some("POST") => second.push((request, id.clone(), text.clone())),
                _ => {}
            }
            statements.push(text);
        }
        if !second.is_empty() {
            break;
        }
    }
    expect_that!(second.len(), eq(1));
    expect_that!(second[0].2, not(eq(&first[0].2)), "another attempt has another fence");
    // The late refusal of the first call must not end the second one.
    statements.clear();
    node.core.on_promotion_response(first[0].0, Some(409), node.now);
    node.apply_actions();
    expect_that!(node.take_requests().iter().any(|(_, _, text)| text == "CONTINUE"), eq(false));
    node.core.on_promotion_response(second[0].0, Some(409), node.now);
    node.apply_actions();
    expect_that!(node.take_requests().iter().any(|(_, _, text)| text == "CONTINUE"), eq(true));
}

#[gtest]
fn given_a_stale_primary_that_has_to_yield_then_the_row_of_the_yield_does_not_confirm_its_suspension() {
    let (mut node, queries) = start_queries();
    let link = node.core.accept_link(node.now);
    let hello = Message::Hello {
        node: "a0".to_owned(),
        control_address: String::new(),
        zone: String::new(),
        forwarding_address: String::new(),
        incarnation: 5,
    };
    let report = wv_internal_protocol::HealthReport {
        id: "d1".to_owned(),
        health: wv_internal_protocol::Health::Up,
        health_age_us: 0,
        last_heard_age_us: 0,
        fenced_position: "3.9".to_owned(),
        fenced_age_us: 0,
    };
    node.core.handle_message(link, hello, node.now);
    node.core.handle_message(link, Message::HealthReports(vec![report]), node.now);
    for (request, id, _) in &queries {
        let (is_primary, term, number) = if id == "d2" { (true, 2, 5) } else { (false, 3, 9) };
        let received = LogPosition { term, number };
        node.core.on_db_status(
            *request,
            Ok(DatabaseStatus { is_primary, term, received, ..DatabaseStatus::default() }),
            node.now,
        );
        node.apply_actions();
    }
    let requests = node.take_requests();
    let of = |text: &str| {
        requests
            .iter()
            .find(|(_, id, statement)| id == "d2" && statement.starts_with(text))
            .map(|(request, ..)| *request)
    };
    let (Some(yielded), Some(suspended)) = (of("YIELD"), of("SUSPEND")) else {
        return expect_that!(requests, is_empty(), "both are requested of it");
    };
    node.reply_row(yielded, 5, 0);
    expect_that!(node.take_requests(), is_empty(), "not suspended yet");
    node.reply_row(suspended, 5, 4);
    expect_that!(node.await_requests("POST").len(), eq(1));
}
