//! Calls to the platform: each in its turn, and only while the fence is confirmed at a majority. Where the platform
//! doesn't check fences, this is all that keeps an old holder's call from coming after a new one's.
use crate::core::{Act, Core};
use crate::types::Waiting;
use std::collections::BTreeMap;
use wv_consensus::OperationOutcome;
use wv_internal_protocol::{FeedUpdate, Message};
use wv_promotion::Event;

/// How long nodes may count on a writer after the platform was called.
const PROMOTING_US: u64 = 1_500_000;
/// A call leaves within this of the moment in which its confirmation was begun, or not at all. Another holder takes longer
/// than this from its claim to its first call in all but the quickest cases, and its higher fence is met by the next
/// confirmation in those.
const CONFIRMED_US: u64 = 250_000;

/// Spaces the calls to the platform: all nodes together stay within its rate.
#[derive(Default)]
struct Pace {
    gap_us: u64,
    next: u64,
}

impl Pace {
    /// How long the next call has to wait.
    fn turn(&mut self, now: u64) -> u64 {
        let at = self.next.max(now);
        self.next = at + self.gap_us;
        at - now
    }
}

/// What a node keeps of its calls.
#[derive(Default)]
pub(crate) struct Calls {
    /// When each service's fence was last begun to be confirmed.
    pub confirms: BTreeMap<String, u64>,
    /// What duties asked for, of databases too, and is not answered yet.
    pub asks: BTreeMap<u64, crate::types::Asked>,
    waiting: Vec<Call>,
    pace: Pace,
    /// When one was made last, of whichever service.
    pub made_at: u64,
}

/// A call that waits for its turn, and is confirmed anew in it.
pub(crate) struct Call {
    ask: u64,
    due: u64,
    service: String,
    id: String,
    fence: u64,
}

impl Core {
    /// Calls to the platform leave this node no closer to each other.
    pub fn set_pace(&mut self, gap_us: u64) {
        self.calls.pace.gap_us = gap_us;
    }

    pub(crate) fn post(&mut self, service: &str, id: String, fence: u64) {
        if self.feed.leader(service).is_none_or(|lead| lead.id != id) {
            let (service, id, us) = (service.to_owned(), id.clone(), PROMOTING_US);
            self.send_peers(&Message::Promoting { service: service.clone(), id: id.clone(), max_wait_us: us });
            self.publish(FeedUpdate::Promoting { service, id, max_wait_us: us });
        }
        let turn = self.duty_step(service);
        let ask = self.track_request(service, &id, turn);
        let wait = self.calls.pace.turn(self.now);
        let began = self.calls.confirms.get(service).copied().unwrap_or(0);
        if wait == 0 && began + CONFIRMED_US > self.now {
            return self.call_platform(ask, service, id, (fence, began));
        }
        self.calls.waiting.push(Call { ask, due: self.now + wait, service: service.to_owned(), id, fence });
        self.acts.push(Act::Wake { us: wait.max(1) });
    }

    fn call_platform(&mut self, ask: u64, service: &str, id: String, (fence, began): (u64, u64)) {
        self.calls.made_at = self.now;
        self.count_promotion_call(service);
        let until = began + CONFIRMED_US;
        self.acts.push(Act::Post { ask, service: service.to_owned(), id, fence, until });
    }

    /// Those whose turn has come are confirmed from here on.
    pub(crate) fn run_calls(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.calls.waiting).into_iter().partition(|call| call.due <= now);
        self.calls.waiting = rest;
        let due: Vec<Call> = due;
        for call in due {
            self.calls.confirms.insert(call.service.clone(), now);
            let service = call.service.clone();
            self.start_duty_op(&service, Waiting::Call(Box::new(call)), None);
        }
    }

    pub(crate) fn call_confirmed(&mut self, call: Call, outcome: OperationOutcome) {
        let began = self.calls.confirms.get(&call.service).copied().unwrap_or(0);
        let is_ours =
            self.holds_duty_register(&call.service, &outcome) && self.fences.get(&call.service) == Some(&call.fence);
        if is_ours && began + CONFIRMED_US > self.now {
            return self.call_platform(call.ask, &call.service, call.id, (call.fence, began));
        }
        self.unsent(call.ask);
    }

    /// The call was not made: its confirmation is too old, or its fence another's.
    fn unsent(&mut self, ask: u64) {
        let Some(asked) = self.calls.asks.remove(&ask) else { return };
        log::warn!("duty {}: no call under a confirmation that is over", asked.service);
        self.on_duty_event(&asked.service, asked.turn, Event::FenceConfirmed(false));
    }

    /// The same, from the one that was to make it.
    pub fn late(&mut self, ask: u64, now: u64) {
        self.advance_clock(now);
        self.unsent(ask);
        self.run_quorum();
    }
}
