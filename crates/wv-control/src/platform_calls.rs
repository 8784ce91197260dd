//! Calls to the platform: rate limited, and sent only while the fence is confirmed by a majority. If the platform does
//! not check fences, this alone keeps a call of an old duty holder from arriving after one of the new holder.
use crate::core::{Core, Effect};
use crate::types::{Operation, RequestPurpose};
use std::collections::BTreeMap;
use wv_consensus::OperationOutcome;
use wv_internal_protocol::{FeedUpdate, Message};
use wv_promotion::Event;

/// How long access nodes may hold writes for the promoted database after the platform was called.
const PROMOTION_WAIT_US: u64 = 1_500_000;
/// A call is sent within this time after its confirmation began, or not at all. A new duty holder usually takes longer
/// from its claim to its first call; after the claim, confirmations of the old holder fail on the higher fence.
const CONFIRMATION_VALIDITY_US: u64 = 250_000;

/// Spaces the calls to the platform so that all nodes together stay within its rate limit.
#[derive(Default)]
struct RateLimiter {
    interval_us: u64,
    next_at: u64,
}

impl RateLimiter {
    /// Reserves the next slot and returns the delay until it.
    fn reserve(&mut self, now: u64) -> u64 {
        let at = self.next_at.max(now);
        self.next_at = at + self.interval_us;
        at - now
    }
}

/// State of the calls to databases and the platform.
#[derive(Default)]
pub(crate) struct PlatformCalls {
    /// When the last confirmation of each service's fence began.
    pub confirm_started: BTreeMap<String, u64>,
    /// Unanswered requests of duties, to databases too.
    pub requests: BTreeMap<u64, crate::types::PendingRequest>,
    queue: Vec<PlatformCall>,
    limiter: RateLimiter,
    /// When the platform was last called for any service.
    pub last_call: u64,
}

/// A queued call; its fence is confirmed again when it is due.
pub(crate) struct PlatformCall {
    request: u64,
    due: u64,
    service: String,
    id: String,
    fence: u64,
}

impl Core {
    /// Sets the minimum interval between platform calls of this node.
    pub fn set_call_interval(&mut self, interval_us: u64) {
        self.platform_calls.limiter.interval_us = interval_us;
    }

    pub(crate) fn request_promotion(&mut self, service: &str, id: String, fence: u64) {
        if self.feed.leader(service).is_none_or(|leader| leader.id != id) {
            let (service, id, us) = (service.to_owned(), id.clone(), PROMOTION_WAIT_US);
            self.send_peers(&Message::Promoting { service: service.clone(), id: id.clone(), max_wait_us: us });
            self.publish(FeedUpdate::Promoting { service, id, max_wait_us: us });
        }
        let step = self.duty_step(service);
        let request = self.track_request(service, &id, step);
        self.platform_calls.requests.get_mut(&request).into_iter().for_each(|pending| {
            pending.purpose = RequestPurpose::Promotion { fence };
        });
        let wait = self.platform_calls.limiter.reserve(self.now);
        let confirm_started = self.platform_calls.confirm_started.get(service).copied().unwrap_or(0);
        if wait == 0 && confirm_started + CONFIRMATION_VALIDITY_US > self.now {
            return self.call_platform(request, service, id, (fence, confirm_started));
        }
        self.platform_calls.queue.push(PlatformCall {
            request,
            due: self.now + wait,
            service: service.to_owned(),
            id,
            fence,
        });
        self.effects.push(Effect::Wake { delay_us: wait.max(1) });
    }

    fn call_platform(&mut self, request: u64, service: &str, id: String, (fence, confirm_started): (u64, u64)) {
        self.platform_calls.last_call = self.now;
        self.count_promotion_call(service);
        let deadline_us = confirm_started + CONFIRMATION_VALIDITY_US;
        self.effects.push(Effect::PromoteDatabase { request, service: service.to_owned(), id, fence, deadline_us });
    }

    /// Starts the confirmation of calls that are due.
    pub(crate) fn run_platform_calls(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.platform_calls.queue).into_iter().partition(|call| call.due <= now);
        self.platform_calls.queue = rest;
        let due: Vec<PlatformCall> = due;
        for call in due {
            self.platform_calls.confirm_started.insert(call.service.clone(), now);
            let service = call.service.clone();
            self.start_duty_op(&service, Operation::ConfirmPlatformCall(Box::new(call)), None);
        }
    }

    pub(crate) fn call_confirmed(&mut self, call: PlatformCall, outcome: OperationOutcome) {
        let confirm_started = self.platform_calls.confirm_started.get(&call.service).copied().unwrap_or(0);
        let is_confirmed =
            self.holds_duty_register(&call.service, &outcome) && self.fences.get(&call.service) == Some(&call.fence);
        if is_confirmed && confirm_started + CONFIRMATION_VALIDITY_US > self.now {
            return self.call_platform(call.request, &call.service, call.id, (call.fence, confirm_started));
        }
        self.call_not_sent(call.request);
    }

    /// The call was not sent: its confirmation has expired, another holder has a higher fence, or the platform accepted
    /// no connection.
    fn call_not_sent(&mut self, request: u64) {
        let Some(pending) = self.platform_calls.requests.remove(&request) else { return };
        log::warn!("duty {}: promotion call for {} was not sent", pending.service, pending.id);
        let event = if pending.step == self.duty_step(&pending.service) {
            Event::FenceConfirmed(false)
        } else {
            Event::CallNotSent { fence: pending.fence() }
        };
        self.with_duty(&pending.service, |duty, view| duty.handle_event(event, view));
    }

    /// The executor did not send the call.
    pub fn promotion_not_sent(&mut self, request: u64, now: u64) {
        self.advance_clock(now);
        self.call_not_sent(request);
        self.run_proposer();
    }

    /// Handles the platform's response to a promotion call, or the failure to get one. A response to a call of an
    /// earlier step is passed on too: it proves what became of the call.
    pub fn on_promotion_response(&mut self, request: u64, status: Option<u16>, now: u64) {
        self.advance_clock(now);
        let Some(pending) = self.platform_calls.requests.remove(&request) else { return };
        log::info!("duty {}: platform answered the promotion call for {} with {status:?}", pending.service, pending.id);
        let event = if pending.step == self.duty_step(&pending.service) {
            Event::PromotionReturned(status)
        } else {
            Event::LateAnswer { fence: pending.fence(), status }
        };
        self.with_duty(&pending.service, |duty, view| duty.handle_event(event, view));
        self.run_proposer();
    }
}
