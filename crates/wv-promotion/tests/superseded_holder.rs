//! A duty holder whose fence another node has superseded: the replicas are suspended for the other node's promotion.
mod common;

use common::{with_leaving_primary, S};
use wv_promotion::{DutyState, Effect, Event, PromotionCoordinator, ServiceView, StatusReply};
use wv_wire_protocol::{DatabaseStatus, LogPosition};

/// The primary `p` is leaving, `c` is the candidate and `d` is suspended for its promotion.
struct Scenario {
    coordinator: PromotionCoordinator,
    now: u64,
}

fn status(suspended_term: u64) -> StatusReply {
    let received = LogPosition { term: 3, number: 8 };
    Ok(DatabaseStatus { is_primary: false, term: 3, received, suspended_term, ..DatabaseStatus::default() })
}

fn resumes(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Continue { .. })).count()
}

impl Scenario {
    /// Runs an attempt up to the confirmation of its fence.
    fn confirming() -> Scenario {
        let mut scenario = Scenario { coordinator: PromotionCoordinator::default(), now: S };
        scenario.tick();
        scenario.event(Event::DutyRead(Some(DutyState::default())));
        scenario.status_events(0);
        scenario.now += S;
        assert_eq!(scenario.tick(), [Effect::ClaimFence]);
        scenario.event(Event::FenceClaimed(Some(DutyState { fence: 7, ..DutyState::default() })));
        scenario.status_events(0);
        scenario.event(Event::Status { id: "d".to_owned(), reply: status(4) });
        scenario
    }

    fn with(&mut self, apply: impl FnOnce(&mut PromotionCoordinator, &ServiceView<'_>)) -> Vec<Effect> {
        with_leaving_primary(&mut self.coordinator, self.now, false, apply)
    }

    fn tick(&mut self) -> Vec<Effect> {
        self.with(|coordinator, view| coordinator.tick(view))
    }

    fn event(&mut self, event: Event) -> Vec<Effect> {
        self.with(|coordinator, view| coordinator.handle_event(event, view))
    }

    fn status_events(&mut self, suspended_term: u64) {
        for id in ["c", "d"] {
            self.event(Event::Status { id: id.to_owned(), reply: status(suspended_term) });
        }
    }
}

/// Guards against a superseded holder that lifts the suspensions on which its successor's promotion rests.
#[test]
fn given_a_fence_that_another_node_superseded_then_no_replica_is_resumed() {
    let mut scenario = Scenario::confirming();
    let mut effects = scenario.event(Event::FenceConfirmed(false));
    // Whatever it confirms before it resumes anything is not confirmed either.
    for _ in 0..4 {
        effects.extend(scenario.event(Event::FenceConfirmed(false)));
        effects.extend(scenario.tick());
    }
    assert_eq!(resumes(&effects), 0, "{effects:?}");
}

/// Guards against replicas that stay suspended after a call that the platform refused.
#[test]
fn given_a_refused_call_and_a_fence_that_is_still_held_then_the_replicas_are_resumed() {
    let mut scenario = Scenario::confirming();
    scenario.event(Event::FenceConfirmed(true));
    let mut effects = scenario.event(Event::PromotionReturned(Some(409)));
    effects.extend(scenario.event(Event::FenceConfirmed(true)));
    assert_eq!(resumes(&effects), 1, "{effects:?}");
}
