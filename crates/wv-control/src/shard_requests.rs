//! Operator requests on planned shards: splits, key names and usage histories.
use crate::configuration::error_body;
use crate::core::Core;
use crate::shard_usage::{ShardUsage, SPLIT_REQUEST_VALIDITY_US};
use wv_shard_forecast::History;

/// Longer names are rejected in operators' lists.
const MAX_LISTED_NAME_BYTES: usize = 1024;

/// Whether the line protocol can name a key like this: a word of one line.
fn is_key_name(name: &str) -> bool {
    !name.contains(' ') && !name.contains("\r\n") && name.len() <= MAX_LISTED_NAME_BYTES
}

/// The names in an operator's list: a JSON array of strings, or one name per line, between blanks and before CR LF or LF.
fn listed_names(text: &str) -> Vec<String> {
    let line_names = || {
        let lines = text.split('\n').map(|line| line.strip_suffix('\r').unwrap_or(line));
        lines.map(|line| line.trim_matches(' ').to_owned()).collect()
    };
    let names: Vec<String> = serde_json::from_str(text).unwrap_or_else(|_| line_names());
    names.into_iter().filter(|name| !name.is_empty()).collect()
}

impl Core {
    /// Requests a split now, or cancels one.
    pub(crate) fn request_split(&mut self, shard: &str, is_wanted: bool, token: u64) {
        let until = self.epoch_us() + SPLIT_REQUEST_VALIDITY_US;
        self.update_usage(shard, token, |usage, _| {
            usage.requested_until_us = if is_wanted { until } else { 0 };
            // Keeps the forecast from restarting a cancelled split in the same window.
            if !is_wanted {
                usage.advice = None;
            }
            Ok(())
        });
    }

    /// Adds key names that exist in the shard.
    pub(crate) fn add_listed_keys(&mut self, shard: &str, text: &str, token: u64) {
        self.update_usage(shard, token, |_, split| {
            let names = listed_names(text);
            if let Some(name) = names.iter().find(|name| !is_key_name(name)) {
                return Err(format!("{name:?} is no name of a thing"));
            }
            names.iter().for_each(|name| split.key_names.add_listed(name.as_bytes()));
            Ok(())
        });
    }

    /// Imports measurements from other tools: `[[seconds since the epoch, rows, bytes], …]`.
    pub(crate) fn import_history(&mut self, shard: &str, text: &str, token: u64) {
        self.update_usage(shard, token, |usage, _| {
            let points: Vec<(u64, u64, u64)> = serde_json::from_str(text).map_err(|error| error.to_string())?;
            if points.windows(2).any(|pair| pair[0].0 >= pair[1].0) {
                return Err("the times do not rise".to_owned());
            }
            let mut imported = History::default();
            points.into_iter().for_each(|(at, rows, bytes)| imported.record(at.saturating_mul(1_000_000), rows, bytes));
            usage.history.merge(&imported);
            usage.measured_at = 0;
            Ok(())
        });
    }

    fn update_usage(
        &mut self,
        shard: &str,
        token: u64,
        change: impl FnOnce(&mut ShardUsage, &mut wv_shard_split::Split) -> Result<(), String>,
    ) {
        let Some(state) = self.shards.get_mut(shard).filter(|state| state.split.has_ballot()) else {
            return self.respond(token, 503, error_body("the holder of this shard is not ready, call again"));
        };
        match change(&mut state.usage, &mut state.split) {
            Ok(()) => {
                state.usage.is_dirty = true;
                state.usage.pending_calls.push(token);
            }
            Err(text) => self.respond(token, 400, error_body(&text)),
        }
    }
}
