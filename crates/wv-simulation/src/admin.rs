//! Status lines, node additions, configurations and control API calls.
use crate::nodes::ControlNode;
use crate::simulation::{Event, Simulation};

impl Simulation {
    /// One line for each database's role and for each access node's routing state of a database.
    pub fn status_lines(&self) -> Vec<String> {
        let mut lines: Vec<String> = self
            .databases
            .iter()
            .map(|database| {
                let role = if database.is_primary { "primary" } else { "replica" };
                let up = if !database.is_up {
                    "down"
                } else if database.is_unreachable {
                    "dark"
                } else {
                    "up"
                };
                format!("{} is {up}, {role} of term {}", database.id, database.term)
            })
            .collect();
        for node in &self.access {
            let routes = node.core.iter().flat_map(|core| core.routing_states());
            lines.extend(routes.map(|(id, state)| format!("{} routes {id}: {state}", node.name)));
        }
        lines
    }

    /// Adds a control node with an empty disk that knows the seed nodes at the indexes `seeds`.
    pub fn add_control(&mut self, seeds: &[usize]) -> usize {
        let at = self.controls.len();
        let seeds: Vec<String> = seeds.iter().map(|seed| self.controls[*seed].addr.clone()).collect();
        self.controls.push(ControlNode::new(at, &format!("10.1.0.{}:80", at + 1), &seeds));
        self.start_control(at, false);
        at
    }

    /// Adds a control node without a disk, with the first three control nodes as seeds.
    pub fn add_diskless_control(&mut self) -> usize {
        let at = self.controls.len();
        let seeds: Vec<String> = self.controls.iter().take(3).map(|node| node.addr.clone()).collect();
        self.controls.push(ControlNode::new(at, &format!("10.1.0.{}:80", at + 1), &seeds));
        self.controls[at].has_disk = false;
        self.start_control(at, false);
        at
    }

    /// Starts an access node again if its process has ended.
    pub fn restart_access(&mut self, at: usize) {
        if self.access[at].core.is_none() {
            self.start_access(at);
        }
    }

    /// Whether this control node is taking part in a change of voters.
    pub fn is_changing_voters(&self, at: usize) -> bool {
        self.controls[at].core.as_ref().is_some_and(|core| core.is_changing_voters())
    }

    /// A configuration with a primary route `p` and a bounded-staleness route `b` to service `s`.
    pub fn configuration(version: u64) -> Vec<u8> {
        Simulation::configuration_for(version, &["s".to_owned()])
    }

    /// The first service's routes are `p` and `b`, the others' `p.NAME` and `b.NAME`.
    pub fn configuration_for(version: u64, services: &[String]) -> Vec<u8> {
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

    pub fn set_slow_start(&mut self, plan: wv_slow_start::SlowStartConfig) {
        self.access.iter_mut().filter_map(|node| node.core.as_mut()).for_each(|core| core.set_slow_start(plan));
    }

    /// Sends an HTTP request of an operator or a database to a control node; returns the token of its response.
    pub fn call(&mut self, control: usize, method: &str, path: &str, body: &[u8]) -> u64 {
        let (method, path, body) = (method.to_owned(), path.to_owned(), body.to_vec());
        // Request ids start again with each incarnation, so the token includes the node and its incarnation.
        let incarnation = (control as u64) << 48 | (self.controls[control].incarnation & 0xffff) << 32;
        let core = self.controls[control].core.as_mut();
        let Some(token) = core.map(|core| core.allocate_id() | incarnation) else { return 0 };
        self.track_call(token, &method, &path, &body);
        let call =
            Event::ControlCall { control, incarnation: self.controls[control].incarnation, token, method, path, body };
        match self.frozen_controls.contains(&control) {
            true => self.deferred_events.push(call),
            false => self.defer(call).into_iter().for_each(|call| self.dispatch(call)),
        }
        token
    }
}
