//! Databases that leave, as an access node treats them.
use crate::core::Core;

/// How long a database that leaves may be given new work, where the settings do not say.
const DRAIN_US: u64 = 7_000_000;

/// The bound within which a database that said that it leaves is given new work.
pub(crate) struct DrainBound {
    /// The platform's own bound, from the acknowledgement of the leave on.
    pub drain_us: u64,
}

impl Default for DrainBound {
    fn default() -> DrainBound {
        DrainBound { drain_us: DRAIN_US }
    }
}

impl Core {
    pub fn set_drain(&mut self, drain_us: u64) {
        self.drain.drain_us = drain_us;
    }
}
