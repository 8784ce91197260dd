//! State transitions after terms were read and maps were written.
use crate::split::{Split, PROMOTION_TIMEOUT_US};
use crate::state::{AfterWrite, Goal, State};
use crate::term_probe::TermProbe;
use crate::{slots_to_move, Reply, RowCopier, View};
use wv_internal_protocol::{SlotMap, SplitPhase};

/// Maximum number of attempts in one window.
const MAX_ATTEMPTS: u32 = 8;
/// No attempt begins, and no slots are sealed, with less time than this left in the window.
pub(crate) const MIN_TIME_LEFT_US: u64 = 5_000_000;

impl Split {
    pub(crate) fn on_statements_run(&mut self, token: u64, replies: Option<Vec<Reply>>, view: &View<'_>) {
        let is_probe = match &mut self.state {
            State::Probing { probe, .. } | State::AwaitingTerms { probe, .. } => probe.on_replies(token, &replies),
            _ => false,
        };
        match self.state.clone() {
            State::Probing { goal, probe, .. } if is_probe => self.on_terms_read(goal, &probe, view),
            State::AwaitingTerms { goal, probe, .. } if is_probe => self.on_terms_reported(goal, &probe, view),
            State::Copying | State::Sealed { .. } => self.on_copy_replies(token, replies, view),
            _ => {}
        }
    }

    fn on_terms_read(&mut self, goal: Goal, probe: &TermProbe, view: &View<'_>) {
        let (now, current) = (view.now_us, self.map.clone().unwrap_or_default());
        let shard = view.plan.map_or(current.shard.clone(), |plan| plan.shard.clone());
        if probe.source_term == 0 || (goal == Goal::Begin && probe.target_term == 0) {
            return;
        }
        if goal == Goal::Fence {
            return self.start_fence(SlotMap { shard, ..current }, probe.source_term, now);
        }
        if goal == Goal::Bind {
            self.bound_leader = view.source_leader.map(|(id, term)| (id.to_owned(), term));
            let is_same = current.term == probe.source_term
                && current.phase == SplitPhase::Resting
                && current.superseded_term + current.superseded_target_term == 0;
            if is_same && !std::mem::take(&mut self.needs_rewrite) {
                self.state = State::Resting { until_us: now };
                return;
            }
            let map = SlotMap {
                shard,
                term: probe.source_term,
                phase: SplitPhase::Resting,
                moving: None,
                target_term: 0,
                superseded_term: 0,
                superseded_target_term: 0,
                ..current
            };
            return self.write(map, AfterWrite::Rest, now);
        }
        // The source was promoted since the map was bound: rebind first.
        if probe.source_term != current.term {
            self.bound_leader = None;
            self.state = State::Resting { until_us: now };
            return;
        }
        let Some(plan) = view.plan else { return self.drop_ballot(now) };
        let until_us = view.deadline_us.unwrap_or(0);
        if current.attempt_count >= MAX_ATTEMPTS && current.deadline_us == until_us {
            return self.pause(now, "given up for this window after too many tries");
        }
        let Some(range) = slots_to_move(view.initial_slots, &current, &plan.target) else {
            return self.pause(now, "a single slot is left here");
        };
        if until_us < view.epoch_us + MIN_TIME_LEFT_US {
            return self.pause(now, "the window is over");
        }
        (self.copier, self.reason) = (RowCopier::default(), String::new());
        self.writers.clear();
        let map = SlotMap {
            moving: Some(range),
            superseded_term: current.term,
            // Copies of an earlier attempt may still arrive at the target, so its current term is superseded too.
            superseded_target_term: probe.target_term,
            deadline_us: until_us,
            attempt: current.version,
            attempt_count: current.attempt_count + 1,
            ..current
        };
        self.write(map, AfterWrite::AwaitTerms(Goal::Begin), now);
    }

    /// Publishes the map of a new plan under the current term, which the source has to leave. An earlier coordinator may
    /// have done so already; then the term that it named remains.
    fn start_fence(&mut self, map: SlotMap, term: u64, now: u64) {
        let superseded_term = if map.superseded_term > 0 { map.superseded_term } else { term };
        self.write(SlotMap { term, superseded_term, ..map }, AfterWrite::AwaitTerms(Goal::Fence), now);
    }

    /// Writes the map for `goal` once both primaries have passed the superseded terms.
    fn on_terms_reported(&mut self, goal: Goal, probe: &TermProbe, view: &View<'_>) {
        let Some(current) = self.map.clone() else { return self.drop_ballot(view.now_us) };
        let is_target_awaited = goal != Goal::Fence && probe.target_term <= current.superseded_target_term;
        if probe.source_term <= current.superseded_term || is_target_awaited {
            return;
        }
        self.bound_leader = None;
        let next = SlotMap { term: probe.source_term, superseded_term: 0, superseded_target_term: 0, ..current };
        match goal {
            Goal::Begin => {
                let map = SlotMap { phase: SplitPhase::Copying, target_term: probe.target_term, ..next };
                self.write(map, AfterWrite::Copy, view.now_us);
            }
            Goal::Seal if probe.target_term != next.target_term => self.abort(view, "the target was promoted"),
            Goal::Seal => self.write(SlotMap { phase: SplitPhase::Sealed, ..next }, AfterWrite::Seal, view.now_us),
            Goal::Finish => {
                let moved = next.moved.iter().cloned().chain(next.moving.clone()).collect();
                let map = SlotMap {
                    phase: SplitPhase::Resting,
                    moving: None,
                    target_term: 0,
                    moved,
                    last_moved_us: view.epoch_us,
                    attempt_count: 0,
                    ..next
                };
                self.write(map, AfterWrite::Rest, view.now_us);
            }
            Goal::Fence => self.write(next, AfterWrite::Rest, view.now_us),
            Goal::Bind => {}
        }
    }

    pub(crate) fn on_written(&mut self, then: AfterWrite, view: &View<'_>) {
        let now = view.now_us;
        self.needs_rewrite = false;
        match then {
            AfterWrite::Rest => {
                let is_moved = self.map.as_ref().is_some_and(|map| map.last_moved_us == view.epoch_us);
                if is_moved {
                    self.commands.push(crate::Command::Log("split completed".to_owned()));
                }
                // After an aborted attempt, wait before the next one.
                let until_us = if self.reason.is_empty() { now } else { now + crate::split::RETRY_PAUSE_US };
                self.state = State::Resting { until_us };
            }
            AfterWrite::AwaitTerms(goal) => {
                self.state =
                    State::AwaitingTerms { goal, deadline_us: now + PROMOTION_TIMEOUT_US, probe: TermProbe::default() }
            }
            AfterWrite::Copy => {
                self.bind(view);
                self.enqueue_all();
                self.state = State::Copying;
            }
            AfterWrite::Seal => {
                self.bind(view);
                self.state = State::Sealed { since_us: now, has_last_marks: false };
            }
        }
    }

    /// Whether the feed reports another primary of the source than the map was bound to. The reported term is no sign of
    /// a change: the same promotion is reported first by the database and then with its term. Each copy checks the term
    /// that the databases are in.
    pub(crate) fn has_leader_changed(&self, view: &View<'_>) -> bool {
        view.source_leader.is_some_and(|(id, _)| self.bound_leader.as_ref().is_none_or(|leader| leader.0 != id))
    }

    fn bind(&mut self, view: &View<'_>) {
        self.bound_leader = view.source_leader.map(|(id, term)| (id.to_owned(), term));
    }
}
