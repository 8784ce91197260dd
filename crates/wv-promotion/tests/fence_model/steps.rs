//! Steps of the model between nodes, register and platform.
use super::register::RegisterRequest;
use super::{Step, World, TIMEOUT_US};
use std::hash::Hasher;
use wv_promotion::Event;

fn describe(event: &Event) -> String {
    match event {
        Event::DutyRead(_) => "the recorded calls".to_owned(),
        Event::FenceClaimed(claim) => format!("its claim of fence {}", claim.as_ref().map_or(0, |claim| claim.fence)),
        Event::FenceConfirmed(true) => "the confirmation of its fence".to_owned(),
        Event::FenceConfirmed(false) => "the rejection of its fence".to_owned(),
        Event::Status { id, .. } => format!("the status of {id}"),
        Event::PromotionReturned(code) => format!("{}", code.unwrap_or(0)),
        Event::Resumed { id, .. } => format!("that {id} is resumed"),
        Event::LateAnswer { fence, status } => format!("{} late, for fence {fence}", status.unwrap_or(0)),
        Event::CallNotSent { fence } => format!("that its call of fence {fence} was not sent"),
    }
}

impl wv_model_checker::Model for World {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (at, node) in self.nodes.iter().enumerate() {
            steps.extend((self.handovers > 0 && !node.is_duty_holder).then_some(Step::Handover(at)));
            steps.push(Step::Tick(at));
            steps.extend((self.timeouts > 0 && !node.coordinator.is_idle()).then_some(Step::Timeout(at)));
            steps.extend(
                [true, false]
                    .into_iter()
                    .filter(|is_claim| {
                        node.register_requests
                            .iter()
                            .any(|(_, request)| (*request == RegisterRequest::Claim) == *is_claim)
                    })
                    .map(|is_claim| Step::Decide(at, is_claim)),
            );
            steps.extend(
                node.events
                    .iter()
                    .enumerate()
                    .map(|(index, pending)| Step::Deliver(at, index, describe(&pending.event))),
            );
            steps.extend(node.calls.iter().enumerate().map(|(index, call)| Step::Call(at, index, call.fence)));
        }
        steps
    }

    fn apply(&mut self, step: &Step) -> Result<(), String> {
        let reply = match step {
            Step::Handover(at) => {
                self.handovers -= 1;
                // The previous holder continues until its next tick.
                self.nodes.iter_mut().for_each(|node| node.is_superseded = node.is_duty_holder);
                self.nodes[*at].is_duty_holder = true;
                self.nodes[*at].is_superseded = false;
                Ok(())
            }
            Step::Tick(at) => {
                let node = &mut self.nodes[*at];
                node.is_duty_holder &= !std::mem::take(&mut node.is_superseded);
                if node.coordinator.is_active() && node.coordinator.is_idle() && node.retries > 0 {
                    (node.now, node.retries) = (node.now + TIMEOUT_US, node.retries - 1);
                }
                self.with(*at, |coordinator, view| coordinator.tick(view))
            }
            Step::Decide(at, is_claim) => {
                self.decide(*at, *is_claim);
                Ok(())
            }
            Step::Deliver(at, index, _) => {
                // An event counts only in the step that requested it, as in `duties.rs` of wv-control.
                let pending = self.nodes[*at].events.remove(*index);
                let is_current = pending.step == self.nodes[*at].coordinator.step_number();
                let event = if is_current { Some(pending.event) } else { pending.late };
                event.map_or(Ok(()), |event| self.with(*at, |coordinator, view| coordinator.handle_event(event, view)))
            }
            Step::Call(at, index, _) => self.call(*at, *index),
            Step::Timeout(at) => {
                self.timeouts -= 1;
                self.nodes[*at].now += TIMEOUT_US;
                Ok(())
            }
        };
        (0..self.nodes.len()).for_each(|at| self.record_fence_in_use(at));
        reply
    }

    fn digest(&self, hasher: &mut dyn Hasher) {
        let rest = (
            (self.register, &self.recorded),
            self.highest_seen,
            &self.owners,
            (self.fence_in_use, &self.known_calls),
            self.leader,
            self.handovers,
            self.timeouts,
        );
        wv_model_checker::hash_debug(&(rest, &self.nodes), hasher);
    }
}
