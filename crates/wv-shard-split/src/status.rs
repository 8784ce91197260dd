//! Accessors to the state of a split.
use crate::split::Split;
use crate::state::State;
use crate::Command;
use wv_internal_protocol::SlotMap;

impl Split {
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Whether this node holds the ballot and may write the shard's registers.
    pub fn has_ballot(&self) -> bool {
        self.has_ballot
    }

    pub fn map(&self) -> Option<&SlotMap> {
        self.map.as_ref()
    }

    /// Rows copied, rows remaining, and pauses because the source was busy.
    pub fn copy_counts(&self) -> (u64, usize, u64) {
        (self.copier.copied_rows, self.copier.remaining(), self.copier.busy_source_pauses)
    }

    /// The state as shown to operators.
    pub fn state_name(&self) -> &'static str {
        match &self.state {
            State::Resting { .. } => "resting",
            State::Claiming { .. } => "claiming",
            State::Probing { .. } => "looking",
            State::AwaitingTerms { .. } => "raising",
            State::Writing { .. } => "writing",
            State::Copying => "copying",
            State::Sealed { .. } => "sealed",
        }
    }
}
