//! The split state machine, from acquiring the ballot to writing the map that assigns the moved slots to the target.
use crate::state::{AfterWrite, Goal, State, Writers};
use crate::term_probe::TermProbe;
use crate::{Command, Event, KeyNames, RowCopier, View};
use wv_internal_protocol::{SlotMap, SplitPhase};

const OPERATION_TIMEOUT_US: u64 = 1_500_000;
const BIND_INTERVAL_US: u64 = 5_000_000;
/// Pause after an aborted attempt.
pub(crate) const RETRY_PAUSE_US: u64 = 4_000_000;
/// Timeout for a requested promotion.
pub(crate) const PROMOTION_TIMEOUT_US: u64 = 12_000_000;
/// A split is not started sooner than this, so that all nodes know its plan.
const MIN_PLAN_AGE_US: u64 = 10_000_000;

/// The split state machine of one shard.
pub struct Split {
    pub(crate) state: State,
    pub(crate) map: Option<SlotMap>,
    pub(crate) has_ballot: bool,
    /// Whether the map must be rewritten under a newly acquired ballot, so that other nodes learn of it.
    pub(crate) needs_rewrite: bool,
    pub key_names: KeyNames,
    pub(crate) copier: RowCopier,
    pub(crate) writers: Writers,
    pub(crate) token: u64,
    pub(crate) commands: Vec<Command>,
    /// The source's primary and its term when the map was bound, as reported by the feed.
    pub(crate) bound_leader: Option<(String, u64)>,
    pub(crate) started_us: u64,
    /// Why no split is in progress, shown to operators.
    pub reason: String,
}

impl Default for Split {
    fn default() -> Split {
        Split {
            state: State::Resting { until_us: 0 },
            map: None,
            has_ballot: false,
            needs_rewrite: false,
            key_names: KeyNames::default(),
            copier: RowCopier::default(),
            writers: Writers::new(),
            token: 0,
            commands: Vec::new(),
            bound_leader: None,
            started_us: 0,
            reason: String::new(),
        }
    }
}

impl Split {
    pub fn tick(&mut self, view: &View<'_>) {
        if !view.is_holder {
            // The new holder cleans up after an attempt that started here.
            if self.has_ballot || !matches!(self.state, State::Resting { .. }) {
                *self = Split { token: self.token, ..Split::default() };
            }
            return;
        }
        if self.started_us == 0 {
            self.started_us = view.now_us;
        }
        let now = view.now_us;
        match &mut self.state {
            State::Resting { until_us } if *until_us <= now => self.tick_resting(view),
            State::Claiming { deadline_us } | State::Writing { deadline_us, .. } if *deadline_us <= now => {
                self.drop_ballot(now)
            }
            State::Probing { deadline_us, goal: Goal::Bind | Goal::Fence, .. } if *deadline_us <= now => {
                self.state = State::Resting { until_us: now }
            }
            State::Probing { deadline_us, .. } if *deadline_us <= now => {
                self.pause(now, "the databases that lead do not answer")
            }
            State::AwaitingTerms { deadline_us, goal, .. } if *deadline_us <= now => {
                let reason = format!("no promotion came for {goal:?}").to_lowercase();
                self.abort(view, &reason);
            }
            State::Probing { probe, .. } | State::AwaitingTerms { probe, .. } => {
                let commands = probe.poll(view, &mut self.token);
                self.commands.extend(commands);
            }
            State::Copying => self.tick_copying(view),
            State::Sealed { .. } => self.tick_sealed(view),
            _ => {}
        }
    }

    /// Claims the ballot, rebinds the map or begins an attempt, whichever is due.
    fn tick_resting(&mut self, view: &View<'_>) {
        let now = view.now_us;
        let is_map_resting = self.map.as_ref().is_none_or(|map| map.phase == SplitPhase::Resting);
        if view.plan.is_none() && is_map_resting && !self.has_ballot {
            return;
        }
        // The plan of an incomplete map was withdrawn.
        if view.plan.is_none() && self.has_ballot && self.resting_goal(view) == Goal::Fence {
            return self.drop_ballot(now);
        }
        if !self.has_ballot {
            self.commands.push(Command::Claim);
            self.state = State::Claiming { deadline_us: now + OPERATION_TIMEOUT_US };
            return;
        }
        // An attempt left by a previous holder, or an unplanned promotion, first resets the map under the current term.
        let is_unfinished = self
            .map
            .as_ref()
            .is_none_or(|map| map.phase != SplitPhase::Resting || map.superseded_term + map.superseded_target_term > 0);
        let leader = view.source_leader.map(|(id, term)| (id.to_owned(), term));
        if is_unfinished || self.needs_rewrite || (leader != self.bound_leader && leader.is_some()) {
            return self.start_probe(self.resting_goal(view), now);
        }
        let Some(deadline_us) = view.deadline_us.filter(|_| view.plan.is_some()) else {
            self.state = State::Resting { until_us: now + BIND_INTERVAL_US.min(100_000) };
            return;
        };
        if deadline_us <= view.epoch_us {
            return;
        }
        let known = self.key_names.len() as u64;
        if self.key_names.is_full() || known * 100 < view.estimated_rows * 95 {
            return self.pause(
                now,
                &format!("{known} things are known by name, the shard holds about {}", view.estimated_rows),
            );
        }
        if self.started_us + MIN_PLAN_AGE_US > now {
            return;
        }
        self.start_probe(Goal::Begin, now);
    }

    /// What the map needs before an attempt may begin.
    fn resting_goal(&self, view: &View<'_>) -> Goal {
        match &self.map {
            None if view.is_first_configuration => Goal::Bind,
            Some(map) if !map.is_awaiting_first_term() => Goal::Bind,
            _ => Goal::Fence,
        }
    }

    fn start_probe(&mut self, goal: Goal, now: u64) {
        self.state = State::Probing { goal, deadline_us: now + OPERATION_TIMEOUT_US, probe: TermProbe::default() };
    }

    pub(crate) fn pause(&mut self, now: u64, reason: &str) {
        if self.reason != reason {
            self.commands.push(Command::Log(reason.to_owned()));
        }
        self.reason = reason.to_owned();
        self.state = State::Resting { until_us: now + RETRY_PAUSE_US };
    }

    /// Resets the state machine after the ballot was lost or its holder is unknown.
    pub fn drop_ballot(&mut self, now: u64) {
        *self =
            Split { token: self.token, started_us: self.started_us, reason: self.reason.clone(), ..Split::default() };
        self.state = State::Resting { until_us: now + 300_000 };
    }

    /// Ends the attempt before the cutover; slot ownership is unchanged and write marks are no longer needed.
    pub(crate) fn abort(&mut self, view: &View<'_>, reason: &str) {
        self.commands.push(Command::Log(format!("split aborted: {reason}")));
        self.reason = reason.to_owned();
        self.copier.reset();
        self.writers.clear();
        self.start_probe(self.resting_goal(view), view.now_us);
    }

    pub(crate) fn write(&mut self, map: SlotMap, then: AfterWrite, now: u64) {
        self.state = State::Writing { then, deadline_us: now + OPERATION_TIMEOUT_US };
        self.commands.push(Command::Write(map));
    }

    pub fn on_event(&mut self, event: Event, view: &View<'_>) {
        let now = view.now_us;
        match event {
            Event::Claimed(None) if matches!(self.state, State::Claiming { .. }) => self.drop_ballot(now),
            Event::Claimed(Some((map, names))) if matches!(self.state, State::Claiming { .. }) => {
                (self.has_ballot, self.bound_leader) = (true, None);
                self.map = map;
                self.needs_rewrite = true;
                self.key_names.merge(names);
                self.state = State::Resting { until_us: 0 };
            }
            Event::Written(None) if matches!(self.state, State::Writing { .. }) => self.drop_ballot(now),
            Event::Written(Some(map)) => {
                if let State::Writing { then, .. } = self.state {
                    self.map = Some(map);
                    self.on_written(then, view);
                }
            }
            Event::StatementsRun { token, replies } => self.on_statements_run(token, replies, view),
            Event::WriteMarks { node, marks } => self.on_write_marks(node, marks),
            _ => {}
        }
    }
}
