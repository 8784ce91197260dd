//! The register of the duty in the model: stands for `duty_register.rs` of wv-control.
use super::{Disabled, World};
use wv_promotion::{DutyState, Effect, Event, PromotionCall};

/// A pending request of a node to the register.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(super) enum RegisterRequest {
    Claim,
    Confirm,
    /// Confirm the fence and record these calls.
    Record(Vec<PromotionCall>),
}

impl World {
    /// The recorded calls as a node learns of them.
    pub(super) fn recorded_calls(&self) -> Vec<PromotionCall> {
        if self.setup.disabled == Disabled::FencePresentation {
            return Vec::new();
        }
        self.recorded.clone()
    }

    pub(super) fn record_request(&self, at: usize, effect: &Effect) -> RegisterRequest {
        match effect {
            Effect::RecordCall { .. } | Effect::RecordResolution => {
                RegisterRequest::Record(self.nodes[at].coordinator.unresolved_calls())
            }
            _ => RegisterRequest::Confirm,
        }
    }

    /// The register answers a confirmation; calls are recorded only for the owner of the fence.
    pub(super) fn confirm(&mut self, at: usize, request: &RegisterRequest) -> Event {
        let is_own = self.register == (self.nodes[at].fence, at);
        if let RegisterRequest::Record(calls) = request {
            self.recorded = if is_own { calls.clone() } else { self.recorded.clone() };
        }
        Event::FenceConfirmed(is_own)
    }

    pub(super) fn decide(&mut self, at: usize, is_claim: bool) {
        let is_decided = |(_, request): &(u64, RegisterRequest)| (*request == RegisterRequest::Claim) == is_claim;
        let index = self.nodes[at].register_requests.iter().position(is_decided);
        let (step, request) = self.nodes[at].register_requests.remove(index.unwrap_or(0));
        if !is_claim {
            let event = self.confirm(at, &request);
            return self.push_event(at, step, event);
        }
        let before = self.register.0;
        let node = &mut self.nodes[at];
        let fence = if self.setup.disabled == Disabled::FenceIncrement { before.max(1) } else { before + 1 };
        if self.register == (node.fence, at) {
            self.recorded = node.coordinator.unresolved_calls();
        }
        (self.register, node.fence) = ((fence, at), fence);
        let recorded = self.recorded_calls();
        self.push_event(at, step, Event::FenceClaimed(Some(DutyState { fence, recorded })));
    }
}
