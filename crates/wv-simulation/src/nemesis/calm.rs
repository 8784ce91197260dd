//! What is asked of the fleet once all troubles are over, and what operators do on a day's events.
use super::play::Player;
use super::{Bound, Calm, Event, Kind};
use crate::{MS, S};

/// Calm machines are in touch after this.
const CONTACT: u64 = 4 * S;
/// A new order to any node that is up is acknowledged within this.
const ACK: u64 = S;
/// A version that was acknowledged is in force everywhere within this.
const APPLY: u64 = 3 * S;

impl Player {
    /// One order, at this node first.
    pub(super) fn order(&mut self, name: &str) -> usize {
        let (now, number) = (self.world.now, self.operators.next_number());
        let order = self.operators.write(&mut self.history, number, 0, now);
        self.send(order, name, 0);
        order
    }

    fn send(&mut self, order: usize, name: &str, after: u64) {
        let at = match self.node(name) {
            Some(crate::NodeId::Control(at)) => at,
            _ => 0,
        };
        let when = self.world.now + after;
        self.operators.send(order, at, when);
    }

    /// What operators do.
    pub(super) fn ask(&mut self, event: &Event) {
        let now = self.world.now;
        let target = |at: usize| event.targets.get(at).or(event.targets.first()).cloned().unwrap_or_default();
        match event.kind {
            Kind::Order => {
                self.order(&target(0));
            }
            Kind::Race => {
                let number = self.operators.next_number();
                for which in 0..2u64 {
                    let order = self.operators.write(&mut self.history, number, which, now);
                    self.send(order, &target(which as usize), which * event.by);
                }
            }
            Kind::Storm => {
                for at in 0..event.by.min(8) as usize {
                    self.order(&event.targets[at % event.targets.len().max(1)].clone());
                }
            }
            Kind::Repeat => {
                let valid = |at: &usize| self.history.orders[*at].is_valid;
                let sent: Vec<usize> = (0..self.history.orders.len()).filter(valid).collect();
                let which = self.luck.below(sent.len() as u64) as usize;
                if let Some(order) = sent.get(which).copied() {
                    self.send(order, &target(0), 0);
                }
            }
            Kind::Invalid => {
                let order = self.operators.write_invalid(&mut self.history, event.by, now);
                self.send(order, &target(0), 0);
            }
            _ => {}
        }
    }

    fn miss(&mut self, check: &'static str, text: String) {
        self.history.calm.push(Calm { check, text });
    }

    /// All troubles are over: after the time that machines take to be in touch, everything is as it should be.
    pub(super) fn calm(&mut self, bound: Bound) {
        self.world.log_event("nemesis: calm");
        self.run(CONTACT);
        let up = |at: &usize| self.world.controls[*at].core.is_some();
        let up: Vec<usize> = (0..self.world.controls.len()).filter(up).collect();
        if bound == Bound::Wild {
            up.into_iter().for_each(|at| self.operators.read_at(&mut self.world, at));
            return self.run(2 * S);
        }
        for at in &up {
            let name = self.world.controls[*at].name.clone();
            let (begun, order) = (self.world.now, self.order(&name));
            while self.history.acks(order).next().is_none() && self.world.now < begun + ACK {
                self.run(10 * MS);
            }
            if self.history.acks(order).next().is_none() {
                let said: Vec<u16> =
                    self.history.answers.iter().filter(|it| it.order == order).map(|it| it.status).collect();
                self.miss("late-acknowledged", format!("an order to {name} has no acknowledgement: {said:?}"));
            }
        }
        self.run(APPLY);
        let newest = self.history.newest_acked(self.world.now);
        self.settled(&up, newest);
        self.served();
        let open = self.operators.open();
        if let Some(order) = open.first().map(|order| &self.history.orders[*order]) {
            let text = format!("{} orders are still open, the first is {}", open.len(), order.number);
            self.miss("order-open", text);
        }
    }

    /// Everybody has the newest version, and one set of voters stands.
    fn settled(&mut self, up: &[usize], newest: u64) {
        let late: Vec<String> = self
            .world
            .access
            .iter()
            .filter(|node| {
                node.core.as_ref().is_none_or(|core| core.held_configuration_version() < newest || !core.is_ready())
            })
            .map(|node| {
                let state = node.core.as_ref().map(|core| (core.held_configuration_version(), core.is_ready()));
                format!("{} {state:?} at {:?}", node.name, node.session)
            })
            .collect();
        if !late.is_empty() {
            self.miss("late-in-force", format!("{newest} is acknowledged; {}", late.join(", ")));
        }
        let reads = self.history.reads.len();
        up.iter().for_each(|at| self.operators.read_at(&mut self.world, *at));
        self.run(S);
        let came = self.history.reads.len() - reads;
        if came < up.len() {
            self.miss("not-read", format!("{came} of {} nodes answer a reading", up.len()));
        }
        let tokens: Vec<u64> = up.iter().map(|at| self.world.call(*at, "GET", "/voters", b"")).collect();
        self.run(200 * MS);
        let sets: Vec<String> = tokens
            .iter()
            .map(|token| {
                self.world.responses.get(token).map_or(String::new(), |ret| String::from_utf8_lossy(&ret.1).into())
            })
            .collect();
        let numbers: std::collections::BTreeSet<Option<u64>> = sets.iter().map(|set| set_number(set)).collect();
        let voting = sets.iter().map(|set| set.matches("\"votes\"").count()).max().unwrap_or(0);
        let members = sets.iter().map(|set| set.matches("\"address\"").count()).max().unwrap_or(0);
        // As many more may be lost as a set of all that are there would bear.
        let core = up.iter().filter(|at| self.world.controls[**at].has_disk).count().min(7);
        let bears = core.saturating_sub(1) / 2;
        if numbers.len() != 1 || members % 2 == 0 || voting < members / 2 + 1 + bears {
            self.miss("not-settled", format!("sets {numbers:?}, {voting} of {members} vote: {}", sets.join(" ")));
        }
    }

    /// Clients are served on both routes.
    fn served(&mut self) {
        let before = [self.world.route_counts("p"), self.world.route_counts("b")];
        self.run(2 * S);
        let after = [self.world.route_counts("p"), self.world.route_counts("b")];
        for (route, (before, after)) in ["p", "b"].iter().zip(before.iter().zip(after.iter())) {
            let (done, failed) = (after.0 - before.0, after.1 - before.1);
            if done < 10 || failed > done / 4 {
                let states = self.world.status_lines().join("; ");
                self.miss(
                    "not-served",
                    format!("route {route}: {done} done, {failed} failed in two seconds; {states}"),
                );
            }
        }
    }
}

fn set_number(text: &str) -> Option<u64> {
    serde_json::from_str::<serde_json::Value>(text).ok()?["number"].as_u64()
}
