//! Status of planned shards, and routing of operator calls on them.
use crate::configuration::error_body;
use crate::core::Core;
use crate::shards::Shard;
use wv_shard_forecast::{Forecast, ForecastResult, ThresholdCrossing};

fn forecast_json(result: Option<&ForecastResult>) -> serde_json::Value {
    let time = |us: Option<u64>| us.map(wv_calendar::format_utc);
    match result {
        None => serde_json::json!({ "state": "not measured yet" }),
        Some(ForecastResult::InsufficientHistory { days, required_days: wanted }) => {
            serde_json::json!({ "state": "too little history", "days": days, "wanted": wanted })
        }
        Some(ForecastResult::Available(Forecast {
            rows_per_day,
            bytes_per_day,
            crossing,
            is_limited_by_bytes,
            days,
            ..
        })) => {
            let ThresholdCrossing { early_us, likely_us, late_us } = *crossing;
            serde_json::json!({
                "state": "known", "days": days,
                "rowsPerDay": rows_per_day.round(), "bytesPerDay": bytes_per_day.round(),
                "reachedFirst": if *is_limited_by_bytes { "bytes" } else { "rows" },
                "early": time(early_us), "likely": time(likely_us), "late": time(late_us), "confidence": 0.9,
            })
        }
    }
}

impl Core {
    /// Whether this node drives the splits of the shard.
    pub fn holds_shard(&self, shard: &str) -> bool {
        self.shards.get(shard).is_some_and(|state| state.split.has_ballot())
    }

    /// The slot map of a shard as known to this node.
    pub fn slot_map(&self, shard: &str) -> Option<wv_internal_protocol::SlotMap> {
        self.feed.slots().get(shard).cloned()
    }

    /// The usage, forecast and split progress of one planned shard.
    pub(crate) fn shard_status_json(&self, shard: &str, state: &Shard) -> serde_json::Value {
        let (rows, bytes) = self.shard_totals(shard, state);
        let plan = self.shard_plan(shard);
        let share = |found: u64, max: u64| (max > 0).then(|| (found as f64 / max as f64 * 1e4).round() / 1e4);
        let map = self.feed.slots().get(shard);
        let moving = map.and_then(|map| map.moving.as_ref());
        let moved: Vec<serde_json::Value> = map
            .iter()
            .flat_map(|map| &map.moved)
            .map(|range| serde_json::json!({ "from": range.from, "until": range.until, "at": range.target }))
            .collect();
        let (copied, left, surges) = state.split.copy_counts();
        let advice = state.usage.advice.as_ref();
        serde_json::json!({
            "shard": shard, "rows": rows, "bytes": bytes,
            "error": (state.usage.sample.relative_error() * 1e4).round() / 1e4,
            "rowsShare": plan.and_then(|plan| share(rows, plan.max_rows)),
            "bytesShare": plan.and_then(|plan| share(bytes, plan.max_bytes)),
            "names": state.split.key_names.len(), "forecast": forecast_json(state.usage.forecast.as_ref()),
            "warning": advice.map(|advice| serde_json::json!({
                "early": wv_calendar::format_utc(advice.early_us),
                "likely": advice.likely_us.map(wv_calendar::format_utc),
                "splitFrom": wv_calendar::format_utc(advice.window_start_us),
                "splitUntil": wv_calendar::format_utc(advice.window_end_us),
                "raised": wv_calendar::format_utc(advice.raised_us),
            })),
            "split": {
                "phase": map.map(|map| format!("{:?}", map.phase).to_lowercase()), "step": state.split.state_name(),
                "number": map.map_or(0, |map| map.version), "term": map.map_or(0, |map| map.term),
                "moving": moving.map(|range| {
                    serde_json::json!({ "from": range.from, "until": range.until, "at": range.target })
                }),
                "moved": moved, "copied": copied, "left": left, "pausesForOthers": surges, "why": state.split.reason,
            },
        })
    }

    /// `GET /forecast` and `GET /splits`: all planned shards, as last reported by their holders.
    pub(crate) fn list_shard_status(&mut self, token: u64) {
        let Some(configuration) = self.configuration.as_ref() else {
            return self.respond_no_configuration(token);
        };
        let reported = |plan: &wv_configuration::ShardPlan| {
            let text = self.shard_status.get(&plan.shard)?;
            serde_json::from_str::<serde_json::Value>(text).ok()
        };
        let unknown = |shard: &str| serde_json::json!({ "shard": shard, "forecast": forecast_json(None) });
        let list: Vec<serde_json::Value> = configuration
            .shard_plans
            .iter()
            .map(|plan| reported(plan).unwrap_or_else(|| unknown(&plan.shard)))
            .collect();
        self.respond(token, 200, serde_json::json!({ "shards": list, "fresh": self.is_caught_up() }).to_string());
    }

    /// Handles calls that modify a planned shard; a node other than the holder redirects the caller to it.
    pub(crate) fn handle_shard_call(&mut self, token: u64, method: &str, path: (&str, &str), body: Option<&[u8]>) {
        let (part, shard) = path;
        // Only a node that knows the newest configuration may answer that a plan does not exist.
        if self.configuration.is_none() || !self.is_caught_up() {
            return self.respond(token, 503, error_body("no majority of the voters is in contact, call again"));
        }
        if self.shard_plan(shard).is_none() {
            return self.respond(token, 404, error_body("no such planned shard"));
        }
        let holder = self.shard_holder(shard);
        if holder != self.address {
            return self.respond(token, 307, format!("http://{holder}/{part}/{shard}"));
        }
        let text = body.and_then(|body| std::str::from_utf8(body).ok());
        match (method, part, text) {
            (_, _, None) => self.respond(token, 413, error_body("the body is over the bound, or no text")),
            ("PUT", "splits", _) => self.request_split(shard, true, token),
            ("DELETE", "splits", _) => self.request_split(shard, false, token),
            ("PUT", "things", Some(text)) => self.add_listed_keys(shard, text, token),
            ("PUT", "forecast", Some(text)) => self.import_history(shard, text, token),
            _ => self.respond(token, 405, error_body("this method is not served here")),
        }
    }
}
