//! What the stories of splits share: a planned shard `s` with its target `t`, under a load that writes to many things.
use wv_simulation::{Simulation, MS, S};

/// The plan of the stories, with what a story changes of it.
pub fn conf(version: u64, change: impl FnOnce(&mut serde_json::Value)) -> Vec<u8> {
    let mut value: serde_json::Value =
        serde_json::from_slice(&Simulation::config(version)).expect("the stand-in's own");
    let target = serde_json::json!({"label": "t", "maxConnections": 100, "syncReplicas": 1});
    value["services"].as_array_mut().expect("a list").push(target);
    let mut plan =
        serde_json::json!({"shard": "s", "upper": "t", "rowsMax": 100_000, "quiet": "* * 1-4 * * *", "rowsPerS": 60});
    change(&mut plan);
    value["shardPlans"] = serde_json::json!([plan]);
    value.to_string().into_bytes()
}

pub struct Story {
    pub world: Simulation,
}

impl Story {
    /// Three access nodes, three control nodes, writes and lookups on 200 things; the plan is known everywhere.
    pub fn begin() -> Story {
        Story::with(|_| {})
    }

    pub fn with(change: impl FnOnce(&mut serde_json::Value)) -> Story {
        Story::at(0, change)
    }

    /// The same, beginning at a time of day.
    pub fn at(epoch_us: u64, change: impl FnOnce(&mut serde_json::Value)) -> Story {
        let mut world = Simulation::with_services(3, 3, &["s".to_owned(), "t".to_owned()]);
        (world.key_count, world.epoch_us) = (200, epoch_us);
        world.run(2 * S);
        let token = world.call(0, "PUT", "/configuration", &conf(1, change));
        world.run(2 * S);
        assert_eq!(
            world.responses.get(&token).map(|ret| ret.0),
            Some(200),
            "the plan is taken: {:?}",
            world.responses.get(&token)
        );
        world.start_load(12, "p");
        world.start_load(8, "b");
        world.run(14 * S);
        Story { world }
    }

    /// A call of the operator, sent on to where it is answered.
    pub fn call(&mut self, method: &str, path: &str, body: &[u8]) -> (u16, String) {
        let mut at = (0..self.world.controls.len()).find(|at| self.world.controls[*at].core.is_some()).unwrap_or(0);
        for _ in 0..20 {
            let token = self.world.call(at, method, path, body);
            let wait = self.world.now + 4 * S;
            while !self.world.responses.contains_key(&token) && self.world.now < wait {
                self.world.run(50 * MS);
            }
            let (status, text) = self.world.responses.get(&token).cloned().unwrap_or((0, Vec::new()));
            let text = String::from_utf8_lossy(&text).into_owned();
            match status {
                307 => {
                    let place = text.trim_start_matches("http://").split('/').next().unwrap_or_default().to_owned();
                    at = self.world.controls.iter().position(|control| control.addr == place).unwrap_or(at);
                }
                0 | 503 => self.world.run(300 * MS),
                _ => return (status, text),
            }
        }
        (0, String::new())
    }

    /// An operator asks for the split; what comes of the call is not waited for.
    pub fn request(&mut self) {
        let holder = self.holder();
        self.world.call(holder, "PUT", "/splits/s", b"");
    }

    pub fn moved(&self) -> bool {
        !self.world.slot_map("s").moved.is_empty()
    }

    /// Lets time pass until the upper slots have moved.
    pub fn moves_within(&mut self, us: u64) -> bool {
        let limit = self.world.now + us;
        while !self.moved() && self.world.now < limit {
            self.world.run(20 * MS);
        }
        self.moved()
    }

    /// Lets time pass until the map is in this phase; `false` if it never is.
    pub fn comes_to(&mut self, phase: wv_internal_protocol::SplitPhase, us: u64) -> bool {
        let limit = self.world.now + us;
        while self.world.slot_map("s").phase != phase && self.world.now < limit {
            self.world.run(5 * MS);
        }
        self.world.slot_map("s").phase == phase
    }

    /// All comes to rest; what is wrong then.
    pub fn end(&mut self) -> Vec<String> {
        self.world.stop_load();
        self.world.run(wv_simulation::SETTLE_US);
        let moved = self.world.slot_map("s").moved;
        let mut broken = self.world.check_rows("s", "t", &moved);
        broken.extend(self.world.check_rules());
        broken
    }

    /// The control node that drives the split.
    pub fn holder(&self) -> usize {
        let cores = self.world.controls.iter().enumerate();
        cores
            .filter_map(|(at, control)| control.core.as_ref().filter(|core| core.holds_shard("s")).map(|_| at))
            .next()
            .unwrap_or(0)
    }

    /// A thing of the load whose slot is meant.
    pub fn thing(&self, is_meant: impl Fn(u16) -> bool) -> String {
        let mut all = (0..200).map(|at| format!("{{{at}}}x"));
        all.find(|name| is_meant(wv_internal_protocol::slot_for_key(name.as_bytes())))
            .expect("there are things in all slots")
    }

    pub fn moving_thing(&self) -> String {
        self.thing(|slot| slot >= 512)
    }
}
