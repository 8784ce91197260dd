//! What stands where, in words, and the platform's side of a promotion.
use crate::nodes::Control;
use crate::world::{Ev, World};
use crate::MS;

impl World {
    /// What the databases are and how each access node routes to them, a line each.
    pub fn states(&self) -> Vec<String> {
        let mut states: Vec<String> = self
            .bases
            .iter()
            .map(|base| {
                let role = if base.is_primary { "primary" } else { "replica" };
                let up = if !base.is_up {
                    "down"
                } else if base.is_dark {
                    "dark"
                } else {
                    "up"
                };
                format!("{} is {up}, {role} of term {}", base.id, base.term)
            })
            .collect();
        for node in &self.access {
            let routes = node.core.iter().flat_map(|core| core.routing_states());
            states.extend(routes.map(|(id, state)| format!("{} routes {id}: {state}", node.name)));
        }
        states
    }

    /// An empty machine that serves control at an address of its own, told of the seeds at `seeds`.
    pub fn add_control(&mut self, seeds: &[usize]) -> usize {
        let at = self.controls.len();
        let seeds: Vec<String> = seeds.iter().map(|seed| self.controls[*seed].addr.clone()).collect();
        self.controls.push(Control::new(at, &format!("10.1.0.{}:80", at + 1), &seeds));
        self.start_control(at, false);
        at
    }

    /// A control node without a disk, told of the first three.
    pub fn add_thin(&mut self) -> usize {
        let at = self.controls.len();
        let seeds: Vec<String> = self.controls.iter().take(3).map(|node| node.addr.clone()).collect();
        self.controls.push(Control::new(at, &format!("10.1.0.{}:80", at + 1), &seeds));
        self.controls[at].is_core = false;
        self.start_control(at, false);
        at
    }

    /// An access node whose process ended comes back.
    pub fn start_access_anew(&mut self, at: usize) {
        if self.access[at].core.is_none() {
            self.start_access(at);
        }
    }

    /// Whether this control node is agreeing on the next voters.
    pub fn is_changing(&self, at: usize) -> bool {
        self.controls[at].core.as_ref().is_some_and(|core| core.is_changing_voters())
    }

    /// A configuration with one primary route `p` and one bounded route `b` onto service `s`.
    pub fn conf(version: u64) -> Vec<u8> {
        World::conf_of(version, &["s".to_owned()])
    }

    /// The first service's routes are `p` and `b`, the others' `p.NAME` and `b.NAME`.
    pub fn conf_of(version: u64, services: &[String]) -> Vec<u8> {
        let route = |at: usize, service: &str, (kind, category): (&str, &str), target: u32, precedence: u32| {
            let label = if at == 0 { kind.to_owned() } else { format!("{kind}.{service}") };
            serde_json::json!({"label": label, "host": label, "pathPrefix": "/", "category": category,
                "expiryMs": 1000, "targetMs": target, "precedence": precedence, "destination": service,
                "maxAttempts": 2, "maxStalenessMs": 1500})
        };
        let routes: Vec<serde_json::Value> = services
            .iter()
            .enumerate()
            .flat_map(|(at, service)| {
                let primary = route(at, service, ("p", "primary"), 200, 1);
                [primary, route(at, service, ("b", "bounded_staleness"), 800, 2)]
            })
            .collect();
        let services: Vec<serde_json::Value> = services
            .iter()
            .map(|service| serde_json::json!({"label": service, "maxConnections": 100, "syncReplicas": 1}))
            .collect();
        serde_json::json!({"issue": version, "routing": routes, "services": services,
            "limits": {"headerBytes": 16384, "bodyBytes": 262144, "headerTimerMs": 3000, "txnIdleMs": 3000}})
        .to_string()
        .into_bytes()
    }

    /// Sets how all access nodes ease databases in.
    pub fn set_ease(&mut self, plan: wv_slow_start::SlowStartConfig) {
        self.access.iter_mut().filter_map(|node| node.core.as_mut()).for_each(|core| core.set_slow_start(plan));
    }

    pub(crate) fn post(&mut self, control: usize, ask: u64, service: String, (id, fence): (String, u64)) {
        let base = self.base(&id);
        let seen = self.fences.get(&service).copied().unwrap_or(0);
        let code = match base.map(|at| &self.bases[at]) {
            _ if self.is_platform_down => None,
            _ if fence < seen => Some(409),
            Some(held) if held.is_primary => Some(200),
            Some(held) if held.is_up && !held.is_dark => Some(200),
            _ => Some(409),
        };
        if code.is_some() {
            self.fences.insert(service.clone(), fence.max(seen));
        }
        self.note(format!("promotion of {id} under {fence}: {code:?}"));
        let life = self.controls[control].life;
        self.posts.push((service.clone(), id, fence, code));
        self.posted_by.push((self.now, control, life));
        if let Some(base) = base.filter(|_| code == Some(200)) {
            self.put(self.promote_us, Ev::Promote { base });
        }
        self.put(if code.is_some() { 3 * MS } else { 1200 * MS }, Ev::Posted { control, life, ask, code });
    }

    /// A call of the operator or of a database to one control node.
    pub fn call(&mut self, control: usize, method: &str, path: &str, body: &[u8]) -> u64 {
        let (method, path, body) = (method.to_owned(), path.to_owned(), body.to_vec());
        // A node that was started anew counts anew: its calls are not those of its earlier life.
        let life = (control as u64) << 48 | (self.controls[control].life & 0xffff) << 32;
        let core = self.controls[control].core.as_mut();
        let Some(token) = core.map(|core| core.allocate_id() | life) else { return 0 };
        self.note_call(token, &method, &path, &body);
        let call = Ev::Call { control, life: self.controls[control].life, token, method, path, body };
        match self.frozen_controls.contains(&control) {
            true => self.held_back.push(call),
            false => self.put_off(call).into_iter().for_each(|call| self.happen(call)),
        }
        token
    }
}
