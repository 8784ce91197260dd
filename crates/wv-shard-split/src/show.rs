//! What is seen of a split from outside.
use crate::machine::{Split, Step};
use crate::Order;
use wv_internal_protocol::SlotMap;

impl Split {
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Whether this node may write what belongs to the shard.
    pub fn has_ballot(&self) -> bool {
        self.has_ballot
    }

    pub fn map(&self) -> Option<&SlotMap> {
        self.map.as_ref()
    }

    /// How the copying stands: copied, left, pauses for other work.
    pub fn counts(&self) -> (u64, usize, u64) {
        (self.copy.copied, self.copy.left(), self.copy.surges)
    }

    pub fn step_name(&self) -> &'static str {
        match &self.step {
            Step::Rest { .. } => "resting",
            Step::Claiming { .. } => "claiming",
            Step::Looking { .. } => "looking",
            Step::Raising { .. } => "raising",
            Step::Writing { .. } => "writing",
            Step::Copying => "copying",
            Step::Sealed { .. } => "sealed",
        }
    }
}
