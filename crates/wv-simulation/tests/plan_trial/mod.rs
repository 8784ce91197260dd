//! Clients that write new keys through every access node, and an operator who makes plans, lists keys and splits.
use crate::split_test::{planned_configuration, SplitTest};
use googletest::prelude::*;
use wv_simulation::{Simulation, MS, S};

const STEP_US: u64 = 10 * MS;
/// An order is sent again after this pause.
const ORDER_PAUSE_US: u64 = 100 * MS;
const WRITE_PAUSE_US: u64 = 60 * MS;

/// A session that writes a new key each time.
struct Writer {
    client: usize,
    node: usize,
    key: Option<String>,
    next_write_us: u64,
    refused_since_us: Option<u64>,
}

pub struct Trial {
    pub split: SplitTest,
    writers: Vec<Writer>,
    sent_keys: Vec<String>,
    acknowledged: usize,
    pub longest_refusal_us: u64,
    next_id: u64,
}

pub fn plan(version: u64) -> Vec<u8> {
    planned_configuration(version, |plan| plan["rowsPerS"] = 2_000.into())
}

pub fn unplanned_configuration(version: u64) -> Vec<u8> {
    let planned = plan(version);
    let mut value: serde_json::Value = serde_json::from_slice(&planned).expect("the configuration is valid JSON");
    value.as_object_mut().expect("it is an object").remove("shardPlans");
    value.to_string().into_bytes()
}

impl Trial {
    pub fn start() -> Trial {
        let mut sim = Simulation::with_services(3, 3, &["s".to_owned(), "t".to_owned()]);
        sim.run(2 * S);
        sim.call(0, "PUT", "/configuration", &unplanned_configuration(1));
        sim.run(2 * S);
        let open = |sim: &mut Simulation, node: usize| Writer {
            client: sim.open_client(node, "p"),
            node,
            key: None,
            next_write_us: 0,
            refused_since_us: None,
        };
        let writers = (0..6).map(|at| open(&mut sim, at % 3)).collect();
        let split = SplitTest { sim };
        let mut trial =
            Trial { split, writers, sent_keys: Vec::new(), acknowledged: 0, longest_refusal_us: 0, next_id: 0 };
        trial.run(2 * S);
        trial
    }

    pub fn run(&mut self, us: u64) {
        let end = self.split.sim.now + us;
        while self.split.sim.now < end {
            self.split.sim.run(STEP_US);
            (0..self.writers.len()).for_each(|at| self.drive(at));
        }
    }

    /// Each writer sends its next key once the last one is acknowledged; a key that was refused unrun is sent again.
    fn drive(&mut self, at: usize) {
        let now = self.split.sim.now;
        let writer = &mut self.writers[at];
        let received = self.split.sim.take_lines(writer.client);
        let is_answered = received.iter().any(|line| line.starts_with("IDLE"));
        if (writer.key.is_some() && !is_answered) || (writer.key.is_none() && writer.next_write_us > now) {
            return;
        }
        let is_promise = received.iter().any(|line| {
            ["CONGESTED", "ABORTED", "READONLY"].iter().any(|code| line.starts_with(&format!("ERROR {code}")))
        });
        let key = match writer.key.take().filter(|_| is_promise) {
            Some(key) => {
                writer.refused_since_us.get_or_insert(now);
                key
            }
            None => {
                self.acknowledged += usize::from(received.iter().any(|line| line.starts_with("COMPLETE stamp")));
                let since_us = writer.refused_since_us.take();
                self.longest_refusal_us = self.longest_refusal_us.max(since_us.map_or(0, |since| now - since));
                if is_answered && writer.next_write_us <= now {
                    writer.next_write_us = now + WRITE_PAUSE_US;
                    return;
                }
                format!("{{{}}}n{}", self.next_id, writer.node)
            }
        };
        self.next_id += 1;
        writer.key = Some(key.clone());
        let (client, text) = (writer.client, format!("QUERY {:x} WRITE {key} of-{key}", self.next_id));
        self.sent_keys.push(key);
        self.split.sim.send_line(client, &text);
    }

    /// Sends an order to the control nodes in turn, or where it is redirected to, until it is answered by 200; `false` if
    /// it is not within `us`.
    fn insist(&mut self, (method, path): (&str, &str), body: &[u8], us: u64) -> bool {
        let end = self.split.sim.now + us;
        let mut control = 0;
        while self.split.sim.now < end {
            let token = self.split.sim.call(control, method, path, body);
            let call_end = self.split.sim.now + S;
            while self.split.sim.now < call_end && !self.split.sim.responses.contains_key(&token) {
                self.run(STEP_US);
            }
            let (status, text) = self.split.sim.responses.get(&token).cloned().unwrap_or_default();
            let text = String::from_utf8_lossy(&text).into_owned();
            let is_named = |addr: &str| status == 307 && text.contains(&format!("//{addr}/"));
            let next = self.split.sim.controls.iter().position(|node| is_named(&node.addr));
            control = next.unwrap_or((control + 1) % 3);
            match status {
                200 => return true,
                307 => {}
                _ => self.run(ORDER_PAUSE_US),
            }
        }
        false
    }

    pub fn configure(&mut self, body: &[u8], us: u64) -> bool {
        self.insist(("PUT", "/configuration"), body, us)
    }

    /// Makes the plan; once it is acknowledged, lists all that was sent until then.
    pub fn make_plan(&mut self, version: u64, us: u64) {
        assert!(self.configure(&plan(version), us), "the plan is acknowledged");
        let list = self.sent_keys.join("\n");
        assert!(self.insist(("PUT", "/things/s"), list.as_bytes(), 20 * S), "the list is acknowledged");
    }

    pub fn split_and_check(&mut self) {
        self.run(12 * S);
        assert!(self.insist(("PUT", "/splits/s"), b"", 20 * S), "the request is acknowledged");
        let end = self.split.sim.now + 60 * S;
        while !self.split.has_moved() && self.split.sim.now < end {
            self.run(100 * MS);
        }
        expect_that!(self.split.has_moved(), eq(true), "the split is done");
        self.run(2 * S);
    }

    /// Keys that are not at the database that has their slot now.
    pub fn missing(&mut self) -> Vec<String> {
        self.split.sim.run(wv_simulation::SETTLE_US);
        let moved = self.split.sim.slot_map("s").moved;
        let mut found = self.split.sim.check_rows("s", "t", &moved);
        found.extend(self.split.sim.check_rules());
        found
    }

    pub fn expect_served(&mut self) {
        let before = self.acknowledged;
        self.run(S);
        expect_that!(self.acknowledged, gt(before + 10), "writes are served");
    }
}
