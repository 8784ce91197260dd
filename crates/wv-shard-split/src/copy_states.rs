//! The states in which rows are copied: before and after the moving slots are sealed.
use crate::row_copier::{CopyContext, CopyOutcome};
use crate::split::Split;
use crate::state::{AfterWrite, Goal, State};
use crate::transitions::MIN_TIME_LEFT_US;
use crate::{Reply, View};
use wv_internal_protocol::{DirtyKeys, SlotMap, SplitPhase};

/// The moving slots are sealed once no more rows than this remain to be copied.
const MAX_ROWS_TO_SEAL: usize = 64;
/// Timeout for the last write marks of all writers; after it, all moving rows are copied again.
const LAST_MARKS_TIMEOUT_US: u64 = 1_500_000;

impl Split {
    pub(crate) fn enqueue_all(&mut self) {
        let Some(map) = &self.map else { return };
        let moving = self.key_names.iter().filter(|key| map.is_moving(slot(key)));
        moving.for_each(|key| self.copier.enqueue(key));
    }

    fn copy_context<'a>(&self, view: &View<'a>) -> Option<CopyContext<'a>> {
        let map = self.map.as_ref()?;
        Some(CopyContext {
            now_us: view.now_us,
            source: view.source_leader?.0,
            target: view.target_leader?.0,
            source_term: map.term,
            target_term: map.target_term,
            capacity: view.capacity,
            max_rows_per_s: view.plan?.max_rows_per_s,
            is_sealed: map.phase == SplitPhase::Sealed,
        })
    }

    pub(crate) fn on_copy_replies(&mut self, token: u64, replies: Option<Vec<Reply>>, view: &View<'_>) {
        let Some(context) = self.copy_context(view) else { return };
        let (outcome, commands) = self.copier.on_replies(token, replies, &context);
        self.commands.extend(commands);
        if outcome == CopyOutcome::Abort {
            return self.abort(view, "a database was promoted or cannot be copied from or to");
        }
        self.tick(view);
    }

    fn start_copies(&mut self, view: &View<'_>) {
        let Some(context) = self.copy_context(view) else { return };
        let commands = self.copier.start_batches(&context, &mut self.token);
        self.commands.extend(commands);
    }

    pub(crate) fn tick_copying(&mut self, view: &View<'_>) {
        let Some(map) = self.map.clone() else { return self.drop_ballot(view.now_us) };
        if self.has_leader_changed(view) {
            return self.abort(view, "another database leads the source");
        }
        let is_over =
            map.deadline_us < view.epoch_us + MIN_TIME_LEFT_US || view.deadline_us.is_none() || view.plan.is_none();
        if is_over {
            return self.abort(view, "the window is over");
        }
        if self.copier.remaining() <= MAX_ROWS_TO_SEAL && self.copier.is_idle() {
            return self.write(
                SlotMap { superseded_term: map.term, ..map },
                AfterWrite::AwaitTerms(Goal::Seal),
                view.now_us,
            );
        }
        self.start_copies(view);
    }

    pub(crate) fn tick_sealed(&mut self, view: &View<'_>) {
        let State::Sealed { since_us, has_last_marks } = self.state else { return };
        let Some(map) = self.map.clone() else { return self.drop_ballot(view.now_us) };
        if self.has_leader_changed(view) {
            return self.abort(view, "another database leads the source");
        }
        if since_us + view.plan.map_or(0, |plan| plan.seal_timeout_us) < view.now_us {
            return self.abort(view, "the last copies took too long");
        }
        if !has_last_marks {
            let has_all_marks = self.writers.values().all(|is_last| *is_last);
            let is_late = since_us + LAST_MARKS_TIMEOUT_US < view.now_us;
            if !has_all_marks && !is_late {
                return;
            }
            // A node without last marks may have written to any moving key before it was fenced off.
            if !has_all_marks {
                self.enqueue_all();
            }
            self.state = State::Sealed { since_us, has_last_marks: true };
        }
        if self.copier.is_done() {
            let map = SlotMap { superseded_term: map.term, superseded_target_term: map.target_term, ..map };
            return self.write(map, AfterWrite::AwaitTerms(Goal::Finish), view.now_us);
        }
        self.start_copies(view);
    }

    /// Handles the keys that a node is about to write, or the last ones that it has written.
    pub(crate) fn on_write_marks(&mut self, node: String, marks: DirtyKeys) {
        for key in &marks.keys {
            self.key_names.add(key);
        }
        let Some(map) = &self.map else { return };
        let moving: Vec<&Vec<u8>> = marks.keys.iter().filter(|key| map.is_moving(slot(key))).collect();
        moving.into_iter().for_each(|key| self.copier.enqueue(key));
        let is_current = marks.attempt == map.attempt;
        let writer = (node, marks.incarnation);
        if is_current && map.phase == SplitPhase::Copying {
            self.writers.entry(writer).or_insert(false);
        } else if is_current && map.phase == SplitPhase::Sealed && marks.is_last {
            self.writers.insert(writer, true);
        }
    }
}

fn slot(key: &[u8]) -> u16 {
    wv_internal_protocol::slot_for_key(key)
}
