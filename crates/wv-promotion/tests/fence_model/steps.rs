//! What may happen between nodes, register and platform.
use super::{Step, World, LAPSE_US};
use std::hash::Hasher;
use wv_promotion::Event;

fn reply(event: &Event) -> String {
    match event {
        Event::Claimed(claimed) => format!("its claim of {}", claimed.map_or(0, |claimed| claimed.0)),
        Event::Confirmed(true) => "that its fence stands".to_owned(),
        Event::Confirmed(false) => "that its fence is another's".to_owned(),
        Event::Row { id, .. } => format!("of {id}"),
        Event::Posted(code) => format!("{}", code.unwrap_or(0)),
    }
}

impl wv_model_checker::Model for World {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (at, node) in self.nodes.iter().enumerate() {
            steps.extend((self.turns > 0 && !node.is_holder).then_some(Step::Turn(at)));
            steps.push(Step::Tick(at));
            steps.extend((self.lapses > 0 && !node.duty.is_resting()).then_some(Step::Lapse(at)));
            steps.extend(
                [true, false].into_iter().filter(|kind| node.asked.contains(kind)).map(|kind| Step::Decide(at, kind)),
            );
            steps.extend(node.events.iter().enumerate().map(|(place, event)| Step::Hear(at, place, reply(event))));
            steps.extend(node.calls.iter().enumerate().map(|(place, call)| Step::Call(at, place, call.1)));
        }
        steps
    }

    fn take(&mut self, step: &Step) -> Result<(), String> {
        let reply = match step {
            Step::Turn(at) => {
                self.turns -= 1;
                // Whoever had it goes on as its holder until it next looks at the clock.
                self.nodes.iter_mut().for_each(|node| node.is_overtaken = node.is_holder);
                self.nodes[*at].is_holder = true;
                self.nodes[*at].is_overtaken = false;
                Ok(())
            }
            Step::Tick(at) => {
                let node = &mut self.nodes[*at];
                node.is_holder &= !std::mem::take(&mut node.is_overtaken);
                if node.duty.is_engaged() && node.duty.is_resting() && node.tries > 0 {
                    (node.now, node.tries) = (node.now + LAPSE_US, node.tries - 1);
                }
                self.with(*at, |duty, view| duty.tick(view))
            }
            Step::Decide(at, is_claim) => {
                self.decide(*at, *is_claim);
                Ok(())
            }
            Step::Hear(at, place, _) => {
                let event = self.nodes[*at].events.remove(*place);
                self.with(*at, |duty, view| duty.event(event, view))
            }
            Step::Call(at, place, _) => self.call(*at, *place),
            Step::Lapse(at) => {
                self.lapses -= 1;
                self.nodes[*at].now += LAPSE_US;
                Ok(())
            }
        };
        (0..self.nodes.len()).for_each(|at| self.note_engaged(at));
        reply
    }

    fn digest(&self, hasher: &mut dyn Hasher) {
        let rest = (self.register, self.seen, &self.owners, self.engaged, self.leads, self.turns, self.lapses);
        wv_model_checker::hash_debug(&(rest, &self.nodes), hasher);
    }
}
