//! Usage of planned shards, their forecasts, and operator calls that wait for stored state.
use crate::configuration::error_body;
use crate::core::Core;
use crate::shards::Shard;
use nanoserde::{DeBin, SerBin};
use wv_internal_protocol::Message;
use wv_shard_forecast::{
    advise, forecast, ForecastResult, History, KeySample, Sample, SplitAdvice, SplitSchedule, DEFAULT_METHOD,
};

/// Minimum interval between writes of the measurements.
const WRITE_INTERVAL_US: u64 = 2_000_000;
/// Interval between history points and forecasts.
const MEASURE_INTERVAL_US: u64 = 60_000_000;
/// Interval at which the status shown to operators is sent to peers.
const REPORT_INTERVAL_US: u64 = 1_000_000;
/// How long a requested split may run.
pub(crate) const SPLIT_REQUEST_VALIDITY_US: u64 = 3_600_000_000;
/// Duration of a move in addition to copying its rows: promotions and final copies.
const MOVE_OVERHEAD_US: u64 = 60_000_000;

/// Tells an operator that the change was not stored.
pub(crate) const NOT_STORED: &str = "not kept, call again";

/// The usage of a shard as stored in its register.
#[derive(SerBin, DeBin, Clone, Default, Debug)]
pub struct StoredUsage {
    pub entries: Vec<KeySample>,
    pub history: History,
    pub advice: Option<SplitAdvice>,
    /// The time until which a requested split may run, 0 if none.
    pub requested_until_us: u64,
}

#[derive(Default)]
pub(crate) struct ShardUsage {
    pub sample: Sample,
    pub history: History,
    pub advice: Option<SplitAdvice>,
    pub requested_until_us: u64,
    pub forecast: Option<ForecastResult>,
    pub is_dirty: bool,
    /// Whether a write of the usage or of a part of the key names is in progress.
    pub is_writing: bool,
    written_at: u64,
    pub measured_at: u64,
    reported_at: u64,
    /// Access nodes to acknowledge: those whose key names are not yet being written, and those in the current write.
    pub pending_acks: Vec<(String, u64, u64)>,
    in_flight_acks: Vec<(String, u64, u64)>,
    /// Operator calls to answer once everything is stored.
    pub pending_calls: Vec<u64>,
}

impl ShardUsage {
    /// Merges the stored state into what was received since.
    pub fn merge_stored(&mut self, stored: StoredUsage) {
        self.sample.merge(stored.entries);
        self.history.merge(&stored.history);
        self.advice = stored.advice.or(self.advice.take());
        self.requested_until_us = self.requested_until_us.max(stored.requested_until_us);
        (self.is_writing, self.is_dirty) = (false, true);
    }

    /// Forgets who waits for names to be stored: access nodes send their reports again, and the returned calls are to be
    /// refused.
    pub fn drop_unstored(&mut self) -> Vec<u64> {
        self.pending_acks.clear();
        self.in_flight_acks.clear();
        std::mem::take(&mut self.pending_calls)
    }

    fn to_stored(&self) -> StoredUsage {
        StoredUsage {
            entries: self.sample.entries().collect(),
            history: self.history.clone(),
            advice: self.advice.clone(),
            requested_until_us: self.requested_until_us,
        }
    }
}

impl Core {
    /// Estimated rows and bytes in the shard: the planned base values plus what was written since.
    pub(crate) fn shard_totals(&self, shard: &str, state: &Shard) -> (u64, u64) {
        let (from, until) = self.held_slots(shard);
        let initial = self.initial_slots(shard);
        let ratio = f64::from(until - from) / f64::from((initial.1 - initial.0).max(1));
        let (rows, bytes) = state.usage.sample.estimate_totals(|slot| (from..until).contains(&slot));
        let base = self.shard_plan(shard).map_or((0, 0), |plan| (plan.base_rows, plan.base_bytes));
        (rows + (base.0 as f64 * ratio) as u64, bytes + (base.1 as f64 * ratio) as u64)
    }

    fn held_slots(&self, shard: &str) -> (u16, u16) {
        let moved = self.feed.slots().get(shard).map(|map| map.moved.clone()).unwrap_or_default();
        wv_shard_split::held_slots(self.initial_slots(shard), &moved)
    }

    /// The deadline of the split that is currently requested or advised, if any.
    pub(crate) fn split_deadline_us(&self, shard: &str, state: &Shard) -> Option<u64> {
        let plan = self.shard_plan(shard)?;
        let now = self.epoch_us();
        let moved_us = self.feed.slots().get(shard).map_or(0, |map| map.last_moved_us);
        if state.usage.requested_until_us > now {
            return Some(state.usage.requested_until_us);
        }
        let advice = state.usage.advice.as_ref().filter(|_| plan.is_automatic)?;
        let is_open = (advice.window_start_us..advice.window_end_us).contains(&now) && plan.quiet_windows.is_open(now);
        (is_open && advice.raised_us > moved_us).then_some(advice.window_end_us)
    }

    /// Updates measurements and the forecast of one shard, and writes what changed.
    pub(crate) fn run_shard_usage(&mut self, shard: &str) {
        let (now, epoch) = (self.now, self.epoch_us());
        if !self.shards.get(shard).is_some_and(|state| state.split.has_ballot()) {
            return;
        }
        let Some(mut state) = self.shards.remove(shard) else { return };
        let moved_us = self.feed.slots().get(shard).map_or(0, |map| map.last_moved_us);
        let usage = &mut state.usage;
        // The requested split has completed or expired.
        if usage.requested_until_us > 0
            && (usage.requested_until_us <= epoch || moved_us + SPLIT_REQUEST_VALIDITY_US > usage.requested_until_us)
        {
            (usage.requested_until_us, usage.is_dirty) = (0, true);
        }
        if usage.advice.as_ref().is_some_and(|advice| moved_us > advice.raised_us) {
            // The history continues with the half that stayed in this shard.
            usage.history.scale(0.5);
            (usage.advice, usage.is_dirty) = (None, true);
        }
        if usage.measured_at + MEASURE_INTERVAL_US <= now || usage.measured_at == 0 {
            state.usage.measured_at = now;
            let (rows, bytes) = self.shard_totals(shard, &state);
            state.usage.history.record(epoch, rows, bytes);
            self.update_forecast(shard, &mut state);
        }
        self.write_next_part(shard, &mut state);
        let is_stored = !state.usage.is_dirty && !state.usage.is_writing && state.split.key_names.is_stored();
        let calls = if is_stored { std::mem::take(&mut state.usage.pending_calls) } else { Vec::new() };
        calls.into_iter().for_each(|token| self.respond(token, 200, "{}"));
        if is_stored {
            // Reports that named only stored keys can be acknowledged at once.
            let acks = std::mem::take(&mut state.usage.pending_acks);
            acks.into_iter().for_each(|ack| self.send_report_ack(shard, ack));
        }
        if state.usage.reported_at + REPORT_INTERVAL_US <= now {
            state.usage.reported_at = now;
            let text = self.shard_status_json(shard, &state).to_string();
            if self.shard_status.get(shard) != Some(&text) {
                self.send_peers(&Message::ShardStatus { shard: shard.to_owned(), text: text.clone() });
                self.shard_status.insert(shard.to_owned(), text);
            }
        }
        self.shards.insert(shard.to_owned(), state);
    }

    fn update_forecast(&self, shard: &str, state: &mut Shard) {
        let Some(plan) = self.shard_plan(shard) else { return };
        let warn_level = |max: u64| (max as f64 * plan.warn_ratio) as u64;
        let result =
            forecast(&state.usage.history, (warn_level(plan.max_rows), warn_level(plan.max_bytes)), DEFAULT_METHOD);
        let rows = state.usage.history.points().last().map_or(0, |point| point.rows);
        let move_us = MOVE_OVERHEAD_US + rows / 2 * 1_000_000 / u64::from(plan.max_rows_per_s);
        let schedule =
            SplitSchedule { now_us: self.epoch_us(), windows: plan.quiet_windows.windows(self.epoch_us(), 4), move_us };
        let (advice, is_changed) = advise(&result, &schedule, state.usage.advice.as_ref());
        if is_changed {
            match &advice {
                Some(advice) => log::warn!(
                    "forecast: shard {shard} reaches its warning level no earlier than {}; split it between {} and {}",
                    wv_calendar::format_utc(advice.early_us),
                    wv_calendar::format_utc(advice.window_start_us),
                    wv_calendar::format_utc(advice.window_end_us)
                ),
                None => log::warn!("forecast: a split of shard {shard} is no longer needed"),
            }
        }
        state.usage.is_dirty |= is_changed || advice != state.usage.advice;
        (state.usage.advice, state.usage.forecast) = (advice, Some(result));
    }

    /// Starts at most one write at a time: new key names first, since requests wait for them, then usage, then name
    /// chunks.
    fn write_next_part(&mut self, shard: &str, state: &mut Shard) {
        if state.usage.is_writing {
            return;
        }
        let is_usage_due = state.usage.is_dirty
            && (state.usage.written_at + WRITE_INTERVAL_US <= self.now || !state.usage.pending_calls.is_empty());
        state.usage.is_writing = true;
        if let Some(list) = state.split.key_names.take_new() {
            state.usage.in_flight_acks = std::mem::take(&mut state.usage.pending_acks);
            self.write_new_keys(shard, state.next_version(), &list);
        } else if is_usage_due {
            (state.usage.is_dirty, state.usage.written_at) = (false, self.now);
            self.write_usage(shard, state.next_version(), SerBin::serialize_bin(&state.usage.to_stored()));
        } else if let Some((at, list)) = state.split.key_names.take_dirty_chunk() {
            self.write_keys(shard, state.next_version(), (at, &list));
        } else {
            state.usage.is_writing = false;
        }
    }

    /// Handles the end of a write of one part.
    pub(crate) fn on_part_written(
        &mut self,
        shard: &str,
        part: &crate::shard_registers::ShardRegisterOp,
        is_ours: bool,
    ) {
        let Some(state) = self.shards.get_mut(shard) else { return };
        state.usage.is_writing = false;
        let acked = std::mem::take(&mut state.usage.in_flight_acks);
        match (part, is_ours) {
            (crate::shard_registers::ShardRegisterOp::WriteKeys(_), true) => state.split.key_names.on_chunk_written(),
            (crate::shard_registers::ShardRegisterOp::WriteKeys(at), false) => state.split.key_names.restore_chunk(*at),
            (crate::shard_registers::ShardRegisterOp::WriteNewKeys, false) => state.split.key_names.restore_new(),
            (crate::shard_registers::ShardRegisterOp::WriteUsage, false) => state.usage.is_dirty = true,
            _ => {}
        }
        if !is_ours {
            // Access nodes resend their reports; operators receive an error, as the change was not stored.
            let calls = std::mem::take(&mut state.usage.pending_calls);
            return calls.into_iter().for_each(|token| self.respond(token, 503, error_body(NOT_STORED)));
        }
        acked.into_iter().for_each(|ack| self.send_report_ack(shard, ack));
        self.run_shard_usage(shard);
    }
}
