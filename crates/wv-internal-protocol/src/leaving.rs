//! When databases said that they leave: moments on one process's steady clock, ages between processes.
//!
//! Clocks are not compared. Whoever speaks of a database says how long ago it first said that it leaves; whoever hears it
//! counts that back from its own clock, and a process that stood still counts back further, by as long as what it reads
//! may have waited. An age that nobody knows is `LONG_AGO_US`. So each process dates a leave no later than it was said,
//! but for the time that a message is under way.

/// The age of a leave of which nobody knows when it was said.
pub const LONG_AGO_US: u64 = 1 << 60;
/// Settings may say otherwise: the platform's own bound on work for a database that leaves, and the time after which a
/// machine without trouble counts as in touch.
pub const DRAIN_US: u64 = 7_000_000;
pub const CONTACT_US: u64 = 4_000_000;
/// Events further apart than this show that the process stood still.
const STALL_US: u64 = 400_000;
/// What was sent during a stall has been read, or its link been given up, this long after it.
const STALL_READ_US: u64 = 1_500_000;

/// How long after a database said that it leaves it is given new work.
///
/// A quarter of the platform's bound is left for messages and requests that are under way. And a node that learns of a
/// leave late, because it was out of touch, has to have stopped before it counts as in touch again.
pub fn new_work_us(drain_us: u64, contact_us: u64) -> u64 {
    (drain_us - drain_us / 4).min(contact_us - contact_us / 8)
}

/// The moment at which a database first said that it leaves; it may lie before the start of this process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct LeavingSince(i64);

impl LeavingSince {
    pub fn ago(now_us: u64, age_us: u64) -> LeavingSince {
        LeavingSince(now_us as i64 - age_us.min(LONG_AGO_US) as i64)
    }

    pub fn age_us(self, now_us: u64) -> u64 {
        (now_us as i64).saturating_sub(self.0).clamp(0, LONG_AGO_US as i64) as u64
    }
}

/// Notices that a process stood still: what it reads from then on may have waited as long.
#[derive(Default, Debug)]
pub struct StallWatch {
    last_us: u64,
    until_us: u64,
    lag_us: u64,
}

impl StallWatch {
    /// Called with each event that may date a leave, and regularly.
    pub fn observe(&mut self, now_us: u64) {
        let gap_us = now_us.saturating_sub(self.last_us);
        if self.last_us > 0 && gap_us > STALL_US {
            self.lag_us = self.lag_us(now_us) + gap_us;
            self.until_us = now_us + STALL_READ_US;
        }
        self.last_us = self.last_us.max(now_us);
    }

    /// How long ago what is read now may have been sent, over the time that messages take.
    pub fn lag_us(&self, now_us: u64) -> u64 {
        if now_us < self.until_us {
            self.lag_us
        } else {
            0
        }
    }
}
