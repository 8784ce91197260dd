//! Replacing a leaving primary while a replica is unavailable: the effects of the coordinator for each event.
mod common;

use common::{with_leaving_primary, S};
use wv_promotion::{
    BlockedReason, DutyState, Effect, Event, PromotionCoordinator, ServiceView, StatusError, StatusReply,
};
use wv_wire_protocol::{DatabaseStatus, LogPosition};

/// The primary `p` is leaving, `c` is the candidate and `d` is unavailable; this node is the duty holder.
struct Scenario {
    coordinator: PromotionCoordinator,
    now: u64,
    is_closed_to_new_work: bool,
    fence: u64,
}

fn status(is_primary: bool, term: u64, number: u64) -> StatusReply {
    Ok(DatabaseStatus { is_primary, term, received: LogPosition { term: 3, number }, ..DatabaseStatus::default() })
}

fn query(id: &str) -> Effect {
    Effect::QueryStatus { id: id.to_owned() }
}

/// The fence is confirmed and the call of `c` recorded.
fn record_call() -> Effect {
    Effect::RecordCall { id: "c".to_owned() }
}

impl Scenario {
    /// Completes the initial query of a new duty holder.
    fn new(is_closed_to_new_work: bool) -> Scenario {
        let mut scenario =
            Scenario { coordinator: PromotionCoordinator::default(), now: S, is_closed_to_new_work, fence: 0 };
        assert_eq!(scenario.tick(), [Effect::ReadDuty]);
        assert_eq!(scenario.event(Event::DutyRead(Some(DutyState::default()))), [query("c"), query("d")]);
        scenario.replica_statuses(8);
        scenario
    }

    fn with(&mut self, apply: impl FnOnce(&mut PromotionCoordinator, &ServiceView<'_>)) -> Vec<Effect> {
        with_leaving_primary(&mut self.coordinator, self.now, self.is_closed_to_new_work, apply)
    }

    fn tick(&mut self) -> Vec<Effect> {
        self.with(|coordinator, view| coordinator.tick(view))
    }

    fn event(&mut self, event: Event) -> Vec<Effect> {
        self.with(|coordinator, view| coordinator.handle_event(event, view))
    }

    fn status_event(&mut self, id: &str, reply: StatusReply) -> Vec<Effect> {
        self.event(Event::Status { id: id.to_owned(), reply })
    }

    /// `c` has received the log up to `number`, `d` is unreachable.
    fn replica_statuses(&mut self, number: u64) -> Vec<Effect> {
        self.status_event("c", status(false, 3, number));
        self.status_event("d", Err(StatusError::Unreachable))
    }

    /// Runs an attempt up to the statuses of the replicas, and returns the effects that follow.
    fn attempt(&mut self, number: u64) -> Vec<Effect> {
        // The record that the call of the previous attempt is resolved, if there was one.
        self.event(Event::FenceConfirmed(true));
        self.now += 2 * S;
        assert_eq!(self.tick(), [Effect::ClaimFence]);
        self.fence += 1;
        let claim = DutyState { fence: self.fence, ..DutyState::default() };
        assert_eq!(self.event(Event::FenceClaimed(Some(claim))), [query("c"), query("d")]);
        self.replica_statuses(number)
    }
}

fn blocked_reason(effects: &[Effect]) -> Option<BlockedReason> {
    effects.iter().find_map(|effect| match effect {
        Effect::ReportBlocked(reason) => Some(reason.clone()),
        _ => None,
    })
}

/// Whether the primary is told to yield or the platform is called.
fn has_external_call(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::Demote { .. } | Effect::RequestPromotion { .. }))
}

#[test]
fn given_a_primary_open_to_new_work_then_the_unavailable_replica_blocks_promotion() {
    let mut scenario = Scenario::new(false);
    let effects = scenario.attempt(8);
    assert!(
        matches!(blocked_reason(&effects), Some(BlockedReason::ReplicaUnavailable { replica, .. }) if replica == "d")
    );
    assert!(!has_external_call(&effects));
}

#[test]
fn given_a_primary_closed_to_new_work_then_it_yields_and_a_candidate_with_its_whole_log_is_promoted() {
    let mut scenario = Scenario::new(true);
    assert_eq!(scenario.attempt(8), [query("p")]);
    assert_eq!(scenario.status_event("p", status(true, 3, 8)), [Effect::ConfirmFence]);
    assert_eq!(scenario.event(Event::FenceConfirmed(true)), [Effect::Demote { id: "p".to_owned(), term: 4 }]);
    assert_eq!(scenario.status_event("p", status(false, 3, 8)), [record_call()]);
    let post = Effect::RequestPromotion { id: "c".to_owned(), fence: scenario.fence };
    assert_eq!(scenario.event(Event::FenceConfirmed(true)), [post]);
}

#[test]
fn given_a_candidate_behind_the_primary_then_the_primary_is_not_told_to_yield() {
    let mut scenario = Scenario::new(true);
    assert_eq!(scenario.attempt(8), [query("p")]);
    let effects = scenario.status_event("p", status(true, 3, 9));
    assert!(matches!(blocked_reason(&effects), Some(BlockedReason::CandidateBehind { ahead, .. }) if ahead == "p"));
    assert!(!has_external_call(&effects));
    // Once the candidate has caught up, the next attempt proceeds.
    assert_eq!(scenario.attempt(9), [query("p")]);
    assert_eq!(scenario.status_event("p", status(true, 3, 9)), [Effect::ConfirmFence]);
}

#[test]
fn given_a_fence_owned_by_another_node_then_the_primary_is_not_told_to_yield() {
    let mut scenario = Scenario::new(true);
    scenario.attempt(8);
    assert_eq!(scenario.status_event("p", status(true, 3, 8)), [Effect::ConfirmFence]);
    assert!(!has_external_call(&scenario.event(Event::FenceConfirmed(false))));
}

#[test]
fn given_a_former_primary_that_was_not_told_to_yield_here_then_its_status_permits_no_promotion() {
    let mut scenario = Scenario::new(true);
    assert_eq!(scenario.attempt(8), [query("p")]);
    let effects = scenario.status_event("p", status(false, 3, 8));
    assert!(blocked_reason(&effects).is_some());
    assert!(!has_external_call(&effects));
    // Neither does the status of a primary of an older term.
    assert_eq!(scenario.attempt(8), [query("p")]);
    assert!(blocked_reason(&scenario.status_event("p", status(true, 2, 8))).is_some());
}

#[test]
fn given_a_lost_reply_to_the_yield_then_the_primary_is_told_again() {
    let mut scenario = Scenario::new(true);
    scenario.attempt(8);
    scenario.status_event("p", status(true, 3, 8));
    scenario.event(Event::FenceConfirmed(true));
    assert!(!has_external_call(&scenario.status_event("p", Err(StatusError::Unreachable))));
    // The primary did yield, which is accepted because this coordinator told it to.
    assert_eq!(scenario.attempt(8), [query("p")]);
    assert_eq!(scenario.status_event("p", status(false, 3, 8)), [Effect::ConfirmFence]);
    assert!(has_external_call(&scenario.event(Event::FenceConfirmed(true))));
    assert_eq!(scenario.status_event("p", status(false, 3, 8)), [record_call()]);
}

#[test]
fn given_a_commit_between_the_query_and_the_yield_then_a_candidate_without_it_is_not_promoted() {
    let mut scenario = Scenario::new(true);
    scenario.attempt(8);
    scenario.status_event("p", status(true, 3, 8));
    scenario.event(Event::FenceConfirmed(true));
    let effects = scenario.status_event("p", status(false, 3, 9));
    assert!(matches!(blocked_reason(&effects), Some(BlockedReason::CandidateBehind { .. })));
    assert!(!has_external_call(&effects));
}

#[test]
fn given_a_primary_that_yielded_and_became_unreachable_then_a_candidate_with_its_whole_log_is_promoted() {
    let mut scenario = Scenario::new(true);
    scenario.attempt(8);
    scenario.status_event("p", status(true, 3, 8));
    scenario.event(Event::FenceConfirmed(true));
    scenario.status_event("p", status(false, 3, 8));
    // The platform rejects the call, and the primary sends nothing more.
    scenario.event(Event::FenceConfirmed(true));
    scenario.event(Event::PromotionReturned(Some(429)));
    assert_eq!(scenario.attempt(8), [record_call()]);
    // A candidate that lacks part of the log is not promoted.
    let mut other = Scenario::new(true);
    other.attempt(8);
    other.status_event("p", status(true, 3, 8));
    other.event(Event::FenceConfirmed(true));
    other.status_event("p", status(false, 3, 8));
    other.event(Event::FenceConfirmed(true));
    other.event(Event::PromotionReturned(Some(429)));
    assert_eq!(other.attempt(7), [query("p")]);
}

#[test]
fn given_a_call_rejected_for_its_fence_then_the_next_call_uses_a_new_fence() {
    let mut scenario = Scenario::new(true);
    let mut last = 0;
    for _ in 0..4 {
        scenario.attempt(8);
        scenario.status_event("p", status(true, 3, 8));
        scenario.event(Event::FenceConfirmed(true));
        let mut effects = scenario.status_event("p", status(false, 3, 8));
        if effects == [record_call()] {
            effects = scenario.event(Event::FenceConfirmed(true));
        }
        let fence = effects.iter().find_map(|effect| match effect {
            Effect::RequestPromotion { fence, .. } => Some(*fence),
            _ => None,
        });
        assert!(fence.is_none_or(|fence| fence > last), "{fence:?} after {last}");
        last = fence.unwrap_or(last);
        scenario.event(Event::PromotionReturned(Some(409)));
    }
    assert!(last > 0, "no call was made");
}

#[test]
fn given_a_primary_that_did_not_yield_or_is_of_a_later_term_then_its_status_permits_no_promotion() {
    for answer in [status(true, 3, 8), status(false, 5, 8)] {
        let mut scenario = Scenario::new(true);
        scenario.attempt(8);
        scenario.status_event("p", status(true, 3, 8));
        scenario.event(Event::FenceConfirmed(true));
        let effects = scenario.status_event("p", answer);
        assert!(!effects.contains(&Effect::ConfirmFence) && !effects.contains(&record_call()), "{effects:?}");
        assert!(!has_external_call(&effects));
    }
}
