//! Stalls of this process. After one, this node may have missed changes of leaders, plans and routes, and its databases
//! cannot tell: a database that lost and regained the lead meanwhile accepts its writes. Requests for a primary
//! therefore wait until a session with a control node that began after the stall has delivered a snapshot.
use crate::core::Core;

/// A longer gap between events means that the process was stalled. Maintenance runs several times within it.
const STALL_US: u64 = 1_000_000;

/// Whether what this node was told may be outdated because the process was stalled.
#[derive(Default)]
pub(crate) struct ControlContact {
    last_event_us: u64,
    state: Confirmation,
}

#[derive(Clone, Copy, PartialEq, Eq, Default)]
enum Confirmation {
    #[default]
    Confirmed,
    /// The session in progress began before the stall: its messages may be as old as the stall.
    Stalled,
    /// A session that began after the stall has not delivered its snapshot yet.
    Subscribed,
}

impl ControlContact {
    pub fn is_unconfirmed(&self) -> bool {
        self.state != Confirmation::Confirmed
    }

    fn observe(&mut self, now: u64) {
        if self.last_event_us > 0 && now > self.last_event_us + STALL_US {
            self.state = Confirmation::Stalled;
        }
        self.last_event_us = self.last_event_us.max(now);
    }

    /// A snapshot was received.
    pub fn confirm(&mut self) {
        if self.state == Confirmation::Subscribed {
            self.state = Confirmation::Confirmed;
        }
    }
}

impl Core {
    /// Advances the clock and detects a stall. Called before each event is handled.
    pub(crate) fn advance_clock(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.contact.observe(self.now);
    }

    /// Whether the session with a control node has to be replaced by a new one, because the process was stalled.
    pub fn needs_new_session(&self) -> bool {
        self.contact.state == Confirmation::Stalled
    }

    /// A session with a control node begins. Returns the incarnation and position of the feed to subscribe from; after a
    /// stall these ask for a snapshot.
    pub fn begin_control_session(&mut self, now: u64) -> (u64, u64) {
        self.advance_clock(now);
        if !self.contact.is_unconfirmed() {
            return self.feed_position();
        }
        self.contact.state = Confirmation::Subscribed;
        (0, 0)
    }
}
