//! The platform in the model, and events on their way to the nodes.
use super::{PendingCall, PendingEvent, World};
use wv_promotion::Event;

impl World {
    pub(super) fn call(&mut self, at: usize, index: usize) -> Result<(), String> {
        let PendingCall { step, id, fence } = self.nodes[at].calls.remove(index);
        if self.owners.iter().any(|(known, owner)| *known == fence && *owner != at) {
            return Err(format!("two nodes call with fence {fence}"));
        }
        self.owners.push((fence, at));
        self.owners.sort();
        self.owners.dedup();
        if self.setup.checks_fences && fence < self.highest_seen {
            self.push_answer(at, step, fence, 409);
            return Ok(());
        }
        if fence < self.highest_seen {
            return Err(format!("fence {fence} is sent after fence {}", self.highest_seen));
        }
        // Of calls that name the same database, the one with the highest fence stands for all.
        let is_known = self.known_calls.iter().any(|call| call.id == id && call.fence >= fence);
        if fence < self.fence_in_use && !is_known {
            return Err(format!("fence {fence} is accepted after fence {} was in use", self.fence_in_use));
        }
        self.highest_seen = fence;
        if id == "r" {
            self.leader = "r";
        }
        self.push_answer(at, step, fence, 200);
        Ok(())
    }

    pub(super) fn push_event(&mut self, at: usize, step: u64, event: Event) {
        self.nodes[at].events.push(PendingEvent { step, event, late: None });
    }

    fn push_answer(&mut self, at: usize, step: u64, fence: u64, status: u16) {
        let late = Some(Event::LateAnswer { fence, status: Some(status) });
        self.nodes[at].events.push(PendingEvent { step, event: Event::PromotionReturned(Some(status)), late });
    }
}
