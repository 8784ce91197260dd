//! Stories of answers to what a control node asked: each counts for its own question, once, or not at all.
use googletest::prelude::*;
use wv_control::{Action, Core, Start};
use wv_internal_protocol::Message;
use wv_promotion::StatusReply;
use wv_wire_protocol::{DatabaseStatus, LogPosition};

const ME: &str = "10.0.0.1:80";
const MS: u64 = 1_000;
const CONF: &str = r#"{"issue":1,"routing":[{"label":"p","host":"shop","category":"primary","expiryMs":1000,
  "targetMs":200,"destination":"s"}],"services":[{"label":"s","syncReplicas":1}]}"#;

/// One control node that is its own majority, or has silent voters beside it.
struct Node {
    core: Core,
    now: u64,
    /// What was asked of databases and the platform: ask, database, text.
    asked: Vec<(u64, String, String)>,
    responses: Vec<(u64, u16)>,
}

impl Node {
    fn new(seeds: &[&str]) -> Node {
        let start = Start {
            address: ME.to_owned(),
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
        let store = wv_consensus::Store::open(Box::new(wv_consensus::MemFiles::default())).expect("an empty folder");
        let core = Core::new(start, store).expect("a first start");
        Node { core, now: 0, asked: Vec::new(), responses: Vec::new() }
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
        for act in self.core.take_actions() {
            match act {
                Action::QueryDatabase { request: ask, id, statement: text, .. } => self.asked.push((ask, id, text)),
                Action::PromoteDatabase { request: ask, id, fence, .. } => {
                    self.asked.push((ask, id, format!("POST {fence}")))
                }
                Action::Respond { token, status, .. } => self.responses.push((token, status)),
                _ => {}
            }
        }
    }

    fn call(&mut self, method: &str, path: &str, body: &str) -> Option<u16> {
        let token = self.core.allocate_id();
        self.core.handle_call(token, method, path, Some(body.as_bytes()), self.now);
        self.apply_actions();
        self.responses.iter().find(|told| told.0 == token).map(|told| told.1)
    }

    fn heartbeat(&mut self, id: &str, state: &str, sequence: u32) -> Option<u16> {
        let role = if id == "d1" { "primary" } else { "replica" };
        let body = serde_json::json!({"destination": "s", "address": format!("10.9.0.{}:80", &id[1..]), "zone": "z0",
            "issue": "v1", "capacity": 10, "state": state, "coldLeftMs": 0, "dbRole": role, "sequence": sequence});
        self.call("PUT", &format!("/instances/{id}"), &body.to_string())
    }

    fn reply_row(&mut self, ask: u64, received: u64, held: u64) {
        let received = LogPosition { term: 3, number: received };
        let word: StatusReply = Ok(DatabaseStatus {
            is_primary: false,
            term: 3,
            received,
            suspended_term: held,
            lag_us: 0,
            busy_connections: 0,
            connections: 1,
        });
        self.core.row(ask, word, self.now);
        self.apply_actions();
    }

    fn take_asked(&mut self) -> Vec<(u64, String, String)> {
        std::mem::take(&mut self.asked)
    }

    /// Everything of this text that was asked since, waited for.
    fn await_asks(&mut self, text: &str) -> Vec<(u64, String, String)> {
        for _ in 0..40 {
            if self.asked.iter().any(|(_, _, asked)| asked.starts_with(text)) {
                break;
            }
            self.run(100 * MS);
        }
        let all = self.take_asked();
        all.into_iter().filter(|(_, _, asked)| asked.starts_with(text)).collect()
    }
}

/// A node whose duty is to replace a primary that leaves, with the looks that it sent.
fn looking() -> (Node, Vec<(u64, String, String)>) {
    let mut node = Node::new(&[ME]);
    node.run(1_000 * MS);
    node.call("PUT", "/configuration", CONF);
    for id in ["d1", "d2", "d3"] {
        node.heartbeat(id, "in_service", 1);
    }
    node.run(1_000 * MS);
    node.take_asked();
    node.heartbeat("d1", "draining", 2);
    let looks = node.await_asks("ENQUIRY");
    (node, looks)
}

#[gtest]
fn given_rows_of_an_earlier_look_then_they_do_not_pass_for_suspensions() {
    let (mut node, looks) = looking();
    expect_that!(looks.len(), eq(2));
    // None comes in time; the attempt ends, and the next one looks again.
    let again = node.await_asks("ENQUIRY");
    looks.iter().for_each(|(ask, _, _)| node.reply_row(*ask, 9, 0));
    expect_that!(node.take_asked(), is_empty(), "late rows of the first look move nothing");
    again.iter().for_each(|(ask, _, _)| node.reply_row(*ask, 9, 0));
    let suspended = node.await_asks("SUSPEND");
    expect_that!(suspended.len(), eq(1), "all but the nominee");
    // A second row to the look, and to the first one: the suspension is not in force until its own row says so.
    looks.iter().chain(&again).for_each(|(ask, _, _)| node.reply_row(*ask, 9, 0));
    expect_that!(node.take_asked(), is_empty());
    node.reply_row(suspended[0].0, 9, 4);
    expect_that!(node.await_asks("POST").len(), eq(1));
}

#[gtest]
fn given_rows_of_what_lifted_suspensions_then_they_do_not_pass_for_the_next_looks() {
    let (mut node, looks) = looking();
    looks.iter().for_each(|(ask, _, _)| node.reply_row(*ask, 9, 0));
    let suspended = node.await_asks("SUSPEND");
    // Its row does not come: all is lifted, and begun again.
    let lifted = node.await_asks("CONTINUE");
    expect_that!(lifted.is_empty(), eq(false), "{suspended:?}");
    let again = node.await_asks("ENQUIRY");
    expect_that!(again.len(), eq(2));
    lifted.iter().for_each(|(ask, _, _)| node.reply_row(*ask, 9, 0));
    suspended.iter().for_each(|(ask, _, _)| node.reply_row(*ask, 9, 4));
    expect_that!(node.take_asked(), is_empty());
}

#[gtest]
fn given_returns_of_the_platform_twice_or_to_an_earlier_call_then_only_the_open_call_hears_its_own() {
    let (mut node, looks) = looking();
    looks.iter().for_each(|(ask, _, _)| node.reply_row(*ask, 9, 0));
    let suspended = node.await_asks("SUSPEND");
    suspended.iter().for_each(|(ask, _, _)| node.reply_row(*ask, 9, 4));
    let first = node.await_asks("POST");
    expect_that!(first.len(), eq(1));
    // Silence: it is looked what came of it, nothing is posted again by itself, and then all begins anew.
    let mut asked = Vec::new();
    let mut second = Vec::new();
    for _ in 0..100 {
        node.run(100 * MS);
        for (ask, id, text) in node.take_asked() {
            match text.split(' ').next() {
                Some("SUSPEND") => node.reply_row(ask, 9, 4),
                Some("ENQUIRY") => node.reply_row(ask, 9, 0),
                Some("POST") => second.push((ask, id.clone(), text.clone())),
                _ => {}
            }
            asked.push(text);
        }
        if !second.is_empty() {
            break;
        }
    }
    expect_that!(second.len(), eq(1));
    expect_that!(second[0].2, not(eq(&first[0].2)), "another attempt has another fence");
    // The first call's refusal is late: the second one is not given up for it.
    asked.clear();
    node.core.posted(first[0].0, Some(409), node.now);
    node.apply_actions();
    expect_that!(node.take_asked().iter().any(|(_, _, text)| text == "CONTINUE"), eq(false));
    node.core.posted(second[0].0, Some(409), node.now);
    node.apply_actions();
    expect_that!(node.take_asked().iter().any(|(_, _, text)| text == "CONTINUE"), eq(true));
}

#[gtest]
fn given_a_stray_primary_that_is_told_to_yield_then_the_row_of_that_is_not_the_one_of_its_suspension() {
    let (mut node, looks) = looking();
    let link = node.core.accept_link(node.now);
    let hello = Message::Hello {
        node: "a0".to_owned(),
        control_address: String::new(),
        zone: String::new(),
        handover_address: String::new(),
        incarnation: 5,
    };
    let sight = wv_internal_protocol::HealthReport {
        id: "d1".to_owned(),
        health: wv_internal_protocol::Health::Up,
        health_age_us: 0,
        last_heard_age_us: 0,
        fenced_position: "3.9".to_owned(),
        fenced_age_us: 0,
    };
    node.core.handle_message(link, hello, node.now);
    node.core.handle_message(link, Message::HealthReports(vec![sight]), node.now);
    for (ask, id, _) in &looks {
        let (is_primary, term, number) = if id == "d2" { (true, 2, 5) } else { (false, 3, 9) };
        let received = LogPosition { term, number };
        node.core.row(*ask, Ok(DatabaseStatus { is_primary, term, received, ..DatabaseStatus::default() }), node.now);
        node.apply_actions();
    }
    let asked = node.take_asked();
    let of =
        |text: &str| asked.iter().find(|(_, id, asked)| id == "d2" && asked.starts_with(text)).map(|(ask, ..)| *ask);
    let (Some(yielded), Some(suspended)) = (of("YIELD"), of("SUSPEND")) else {
        return expect_that!(asked, is_empty(), "both are asked of it");
    };
    node.reply_row(yielded, 5, 0);
    expect_that!(node.take_asked(), is_empty(), "not suspended yet");
    node.reply_row(suspended, 5, 4);
    expect_that!(node.await_asks("POST").len(), eq(1));
}
