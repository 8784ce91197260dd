//! Time at which a database announced that it is leaving.
//!
//! Processes do not compare clocks. A message carries the age of the announcement, and the receiver subtracts it from
//! its own monotonic clock. After a stall the receiver also subtracts the time the message may have waited unread. The
//! computed time is therefore never later than the announcement, except by the network delay of the message.

/// Age of an announcement whose time is not known.
pub const UNKNOWN_AGE_US: u64 = 1 << 60;
/// Default limit on the time a leaving database is given work; overridden by the settings.
pub const DEFAULT_DRAIN_US: u64 = 7_000_000;
/// Default time after which a healthy node counts as in contact; overridden by the settings.
pub const DEFAULT_CONTACT_US: u64 = 4_000_000;
/// A longer gap between events means that the process was stalled.
const STALL_US: u64 = 400_000;
/// Time after a stall by which messages sent during it have been read or their connection has been closed.
const STALL_READ_US: u64 = 1_500_000;

/// Time after the announcement during which a leaving database is still given new work.
///
/// A quarter of the drain limit is reserved for messages and requests in flight. The result is also below the contact
/// time, so that a node that was cut off stops sending new work before it counts as in contact again.
pub fn new_work_window_us(drain_us: u64, contact_us: u64) -> u64 {
    (drain_us - drain_us / 4).min(contact_us - contact_us / 8)
}

/// The time at which a database first announced that it is leaving. It may lie before the start of this process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct LeaveTime(i64);

impl LeaveTime {
    pub fn from_age(now_us: u64, age_us: u64) -> LeaveTime {
        LeaveTime(now_us as i64 - age_us.min(UNKNOWN_AGE_US) as i64)
    }

    pub fn age_us(self, now_us: u64) -> u64 {
        (now_us as i64).saturating_sub(self.0).clamp(0, UNKNOWN_AGE_US as i64) as u64
    }
}

/// Detects that the process was stalled, so that messages read afterwards may be as old as the stall.
#[derive(Default, Debug)]
pub struct StallDetector {
    last_us: u64,
    until_us: u64,
    lag_us: u64,
}

impl StallDetector {
    /// Called regularly and before each event that may carry the age of an announcement.
    pub fn observe(&mut self, now_us: u64) {
        let gap_us = now_us.saturating_sub(self.last_us);
        if self.last_us > 0 && gap_us > STALL_US {
            self.lag_us = self.lag_us(now_us) + gap_us;
            self.until_us = now_us + STALL_READ_US;
        }
        self.last_us = self.last_us.max(now_us);
    }

    /// Upper bound on the time a message read now has waited, in addition to its network delay.
    pub fn lag_us(&self, now_us: u64) -> u64 {
        if now_us < self.until_us {
            self.lag_us
        } else {
            0
        }
    }
}
