//! Stories of a primary that leaves while a replica is silent, on the bare duty: who is asked and told what, in which effect.
use wv_promotion::{Database, Duty, Effect, Event, Obstacle, Silent, StatusReply, View};
use wv_wire_protocol::{DatabaseStatus, LogPosition};

const S: u64 = 1_000_000;

/// The primary `p` leaves, `c` could follow it, `d` is silent; the duty is held here.
struct Story {
    duty: Duty,
    now: u64,
    is_past_drain: bool,
    fence: u64,
}

fn row(is_primary: bool, term: u64, number: u64) -> StatusReply {
    Ok(DatabaseStatus { is_primary, term, received: LogPosition { term: 3, number }, ..DatabaseStatus::default() })
}

fn look(id: &str) -> Effect {
    Effect::Look { id: id.to_owned() }
}

impl Story {
    /// The duty's first look at what a predecessor left is over.
    fn begin(is_past_drain: bool) -> Story {
        let mut story = Story { duty: Duty::default(), now: S, is_past_drain, fence: 0 };
        story.tick();
        story.hear_rows(8);
        story
    }

    fn with(&mut self, act: impl FnOnce(&mut Duty, &View<'_>)) -> Vec<Effect> {
        let database =
            |id: &str, is_draining| Database { id: id.to_owned(), is_draining, refused_us: None, left: None };
        let view = View {
            now: self.now,
            is_holder: true,
            lead: Some("p"),
            sync_replicas: 1,
            databases: &[database("p", true), database("c", false), database("d", false)],
            is_raise_wanted: false,
            is_lead_doubted: false,
            is_lead_past_drain: self.is_past_drain,
            is_lead_down: false,
            term: 3,
            fenced: Some((S, LogPosition { term: 3, number: 8 })),
        };
        act(&mut self.duty, &view);
        self.duty.take_effects()
    }

    fn tick(&mut self) -> Vec<Effect> {
        self.with(|duty, view| duty.tick(view))
    }

    fn hear(&mut self, event: Event) -> Vec<Effect> {
        self.with(|duty, view| duty.event(event, view))
    }

    fn hear_row(&mut self, id: &str, reply: StatusReply) -> Vec<Effect> {
        self.hear(Event::Row { id: id.to_owned(), reply })
    }

    /// The replicas' rows: `c` has received so much, `d` says nothing.
    fn hear_rows(&mut self, number: u64) -> Vec<Effect> {
        self.hear_row("c", row(false, 3, number));
        self.hear_row("d", Err(Silent::Dark))
    }

    /// A new attempt, as far as the replicas' rows; what it leads to.
    fn attempt(&mut self, number: u64) -> Vec<Effect> {
        self.now += 2 * S;
        assert_eq!(self.tick(), [Effect::Claim]);
        self.fence += 1;
        assert_eq!(self.hear(Event::Claimed(Some((self.fence, false)))), [look("c"), look("d")]);
        self.hear_rows(number)
    }
}

fn stalled(effects: &[Effect]) -> Option<Obstacle> {
    effects.iter().find_map(|effect| match effect {
        Effect::Stalled(obstacle) => Some(obstacle.clone()),
        _ => None,
    })
}

/// Whether the primary is told to yield, or the platform is called.
fn is_acted_on(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::Depose { .. } | Effect::Post { .. }))
}

#[test]
fn given_clients_that_the_primary_still_serves_then_the_silent_one_is_waited_for() {
    let mut story = Story::begin(false);
    let effects = story.attempt(8);
    assert!(matches!(stalled(&effects), Some(Obstacle::Silent { replica, .. }) if replica == "d"));
    assert!(!is_acted_on(&effects));
}

#[test]
fn given_a_primary_past_its_bound_then_it_says_where_its_log_ends_and_who_has_it_all_leads() {
    let mut story = Story::begin(true);
    assert_eq!(story.attempt(8), [look("p")]);
    assert_eq!(story.hear_row("p", row(true, 3, 8)), [Effect::Confirm]);
    assert_eq!(story.hear(Event::Confirmed(true)), [Effect::Depose { id: "p".to_owned(), term: 4 }]);
    assert_eq!(story.hear_row("p", row(false, 3, 8)), [Effect::Confirm]);
    let post = Effect::Post { id: "c".to_owned(), fence: story.fence };
    assert_eq!(story.hear(Event::Confirmed(true)), [post]);
}

#[test]
fn given_a_candidate_that_lacks_what_the_primary_has_then_the_primary_is_told_nothing() {
    let mut story = Story::begin(true);
    assert_eq!(story.attempt(8), [look("p")]);
    let effects = story.hear_row("p", row(true, 3, 9));
    assert!(matches!(stalled(&effects), Some(Obstacle::Behind { ahead, .. }) if ahead == "p"));
    assert!(!is_acted_on(&effects));
    // What was under way arrives, and the next attempt goes through.
    assert_eq!(story.attempt(9), [look("p")]);
    assert_eq!(story.hear_row("p", row(true, 3, 9)), [Effect::Confirm]);
}

#[test]
fn given_a_fence_that_is_another_nodes_by_then_then_the_primary_is_told_nothing() {
    let mut story = Story::begin(true);
    story.attempt(8);
    assert_eq!(story.hear_row("p", row(true, 3, 8)), [Effect::Confirm]);
    assert!(!is_acted_on(&story.hear(Event::Confirmed(false))));
}

#[test]
fn given_one_that_says_it_is_a_replica_and_was_not_told_so_here_then_nobody_leads_by_its_row() {
    let mut story = Story::begin(true);
    assert_eq!(story.attempt(8), [look("p")]);
    let effects = story.hear_row("p", row(false, 3, 8));
    assert!(stalled(&effects).is_some());
    assert!(!is_acted_on(&effects));
    // Nor by that of a primary of an older term.
    assert_eq!(story.attempt(8), [look("p")]);
    assert!(stalled(&story.hear_row("p", row(true, 2, 8))).is_some());
}

#[test]
fn given_an_answer_to_the_yield_that_is_lost_then_it_is_told_again() {
    let mut story = Story::begin(true);
    story.attempt(8);
    story.hear_row("p", row(true, 3, 8));
    story.hear(Event::Confirmed(true));
    assert!(!is_acted_on(&story.hear_row("p", Err(Silent::Dark))));
    // It did yield: known by what it was told.
    assert_eq!(story.attempt(8), [look("p")]);
    assert_eq!(story.hear_row("p", row(false, 3, 8)), [Effect::Confirm]);
    assert!(is_acted_on(&story.hear(Event::Confirmed(true))));
    assert_eq!(story.hear_row("p", row(false, 3, 8)), [Effect::Confirm]);
}

#[test]
fn given_a_commit_that_came_between_the_look_and_the_yield_then_the_candidate_does_not_lead_without_it() {
    let mut story = Story::begin(true);
    story.attempt(8);
    story.hear_row("p", row(true, 3, 8));
    story.hear(Event::Confirmed(true));
    let effects = story.hear_row("p", row(false, 3, 9));
    assert!(matches!(stalled(&effects), Some(Obstacle::Behind { .. })));
    assert!(!is_acted_on(&effects));
}

#[test]
fn given_a_primary_that_yielded_and_went_dark_then_who_has_received_all_of_its_log_leads() {
    let mut story = Story::begin(true);
    story.attempt(8);
    story.hear_row("p", row(true, 3, 8));
    story.hear(Event::Confirmed(true));
    story.hear_row("p", row(false, 3, 8));
    // The call does not go through, and nothing more is heard of the primary.
    story.hear(Event::Confirmed(true));
    story.hear(Event::Posted(Some(429)));
    assert_eq!(story.attempt(8), [Effect::Confirm]);
    // One that lacks some of it does not.
    let mut other = Story::begin(true);
    other.attempt(8);
    other.hear_row("p", row(true, 3, 8));
    other.hear(Event::Confirmed(true));
    other.hear_row("p", row(false, 3, 8));
    other.hear(Event::Confirmed(true));
    other.hear(Event::Posted(Some(429)));
    assert_eq!(other.attempt(7), [look("p")]);
}

#[test]
fn given_a_call_that_was_refused_as_another_showed_a_higher_fence_then_the_next_one_is_made_under_a_new_fence() {
    let mut story = Story::begin(true);
    let mut last = 0;
    for _ in 0..4 {
        story.attempt(8);
        story.hear_row("p", row(true, 3, 8));
        story.hear(Event::Confirmed(true));
        let mut effects = story.hear_row("p", row(false, 3, 8));
        if effects == [Effect::Confirm] {
            effects = story.hear(Event::Confirmed(true));
        }
        let fence = effects.iter().find_map(|effect| match effect {
            Effect::Post { fence, .. } => Some(*fence),
            _ => None,
        });
        assert!(fence.is_none_or(|fence| fence > last), "{fence:?} after {last}");
        last = fence.unwrap_or(last);
        story.hear(Event::Posted(Some(409)));
    }
    assert!(last > 0, "calls were made");
}

#[test]
fn given_one_that_goes_on_as_primary_or_is_of_a_later_term_after_the_yield_then_nobody_leads_by_its_row() {
    for answer in [row(true, 3, 8), row(false, 5, 8)] {
        let mut story = Story::begin(true);
        story.attempt(8);
        story.hear_row("p", row(true, 3, 8));
        story.hear(Event::Confirmed(true));
        let effects = story.hear_row("p", answer);
        assert!(!effects.contains(&Effect::Confirm), "{effects:?}");
        assert!(!is_acted_on(&effects));
    }
}
