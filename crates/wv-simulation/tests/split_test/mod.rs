//! Shared fixture of the shard split tests: shard `s` with split target `t`, under load on many keys.
#![allow(dead_code)]
use wv_simulation::{Simulation, MS, S};

/// A configuration with a split plan for shard `s`, adjusted by `change`.
pub fn planned_configuration(version: u64, change: impl FnOnce(&mut serde_json::Value)) -> Vec<u8> {
    let mut value: serde_json::Value =
        serde_json::from_slice(&Simulation::configuration(version)).expect("the default configuration is valid JSON");
    let target = serde_json::json!({"label": "t", "maxConnections": 100, "syncReplicas": 1});
    value["services"].as_array_mut().expect("services is an array").push(target);
    let mut plan =
        serde_json::json!({"shard": "s", "upper": "t", "rowsMax": 100_000, "quiet": "* * 1-4 * * *", "rowsPerS": 60});
    change(&mut plan);
    value["shardPlans"] = serde_json::json!([plan]);
    value.to_string().into_bytes()
}

pub struct SplitTest {
    pub sim: Simulation,
}

impl SplitTest {
    /// Three access nodes and three control nodes under load on 200 keys, with the plan distributed to all nodes.
    pub fn start() -> SplitTest {
        SplitTest::with_plan(|_| {})
    }

    pub fn with_plan(change: impl FnOnce(&mut serde_json::Value)) -> SplitTest {
        SplitTest::starting_at(0, change)
    }

    /// Like `with_plan`, with the given wall-clock time at the start.
    pub fn starting_at(epoch_us: u64, change: impl FnOnce(&mut serde_json::Value)) -> SplitTest {
        let mut sim = Simulation::with_services(3, 3, &["s".to_owned(), "t".to_owned()]);
        (sim.key_count, sim.epoch_us) = (200, epoch_us);
        sim.run(2 * S);
        let token = sim.call(0, "PUT", "/configuration", &planned_configuration(1, change));
        sim.run(2 * S);
        assert_eq!(
            sim.responses.get(&token).map(|ret| ret.0),
            Some(200),
            "plan accepted: {:?}",
            sim.responses.get(&token)
        );
        sim.start_load(12, "p");
        sim.start_load(8, "b");
        sim.run(14 * S);
        SplitTest { sim }
    }

    /// Sends an operator call, following redirects and retrying while the service is unavailable.
    pub fn call(&mut self, method: &str, path: &str, body: &[u8]) -> (u16, String) {
        let mut at = (0..self.sim.controls.len()).find(|at| self.sim.controls[*at].core.is_some()).unwrap_or(0);
        for _ in 0..20 {
            let token = self.sim.call(at, method, path, body);
            let deadline = self.sim.now + 4 * S;
            while !self.sim.responses.contains_key(&token) && self.sim.now < deadline {
                self.sim.run(50 * MS);
            }
            let (status, text) = self.sim.responses.get(&token).cloned().unwrap_or((0, Vec::new()));
            let text = String::from_utf8_lossy(&text).into_owned();
            match status {
                307 => {
                    let location = text.trim_start_matches("http://").split('/').next().unwrap_or_default().to_owned();
                    at = self.sim.controls.iter().position(|control| control.addr == location).unwrap_or(at);
                }
                0 | 503 => self.sim.run(300 * MS),
                _ => return (status, text),
            }
        }
        (0, String::new())
    }

    /// Requests the split without waiting for the response.
    pub fn request_split(&mut self) {
        let duty_holder = self.duty_holder();
        self.sim.call(duty_holder, "PUT", "/splits/s", b"");
    }

    pub fn has_moved(&self) -> bool {
        !self.sim.slot_map("s").moved.is_empty()
    }

    /// Runs until the upper slots have moved; `false` if they have not after `us` microseconds.
    pub fn wait_for_move(&mut self, us: u64) -> bool {
        let deadline = self.sim.now + us;
        while !self.has_moved() && self.sim.now < deadline {
            self.sim.run(20 * MS);
        }
        self.has_moved()
    }

    /// Runs until the slot map reaches `phase`; `false` if it has not after `us` microseconds.
    pub fn wait_for_phase(&mut self, phase: wv_internal_protocol::SplitPhase, us: u64) -> bool {
        let deadline = self.sim.now + us;
        while self.sim.slot_map("s").phase != phase && self.sim.now < deadline {
            self.sim.run(5 * MS);
        }
        self.sim.slot_map("s").phase == phase
    }

    /// Stops the load, lets the fleet settle and returns the invariants that were violated.
    pub fn finish_and_check(&mut self) -> Vec<String> {
        self.sim.stop_load();
        self.sim.run(wv_simulation::SETTLE_US);
        let moved = self.sim.slot_map("s").moved;
        let mut violations = self.sim.check_rows("s", "t", &moved);
        violations.extend(self.sim.check_rules());
        violations
    }

    /// The control node that drives the split.
    pub fn duty_holder(&self) -> usize {
        let cores = self.sim.controls.iter().enumerate();
        cores
            .filter_map(|(at, control)| control.core.as_ref().filter(|core| core.holds_shard("s")).map(|_| at))
            .next()
            .unwrap_or(0)
    }

    /// A key of the load whose slot satisfies the predicate.
    pub fn key_where(&self, is_match: impl Fn(u16) -> bool) -> String {
        let mut all = (0..200).map(|at| format!("{{{at}}}x"));
        all.find(|name| is_match(wv_internal_protocol::slot_for_key(name.as_bytes())))
            .expect("some key of the load has such a slot")
    }

    pub fn moving_key(&self) -> String {
        self.key_where(|slot| slot >= 512)
    }
}
