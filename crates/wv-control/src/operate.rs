//! What operators ask of planned shards: a split now, names of things, histories.
use crate::conf::error_body;
use crate::core::Core;
use crate::fills::{Fill, REQUEST_US};
use wv_shard_forecast::History;

impl Core {
    /// An operator asks for a split now, or calls one off.
    pub(crate) fn want_split(&mut self, shard: &str, is_wanted: bool, token: u64) {
        let until = self.epoch_us() + REQUEST_US;
        self.with_fill(shard, token, |fill, _| {
            fill.wanted_until_us = if is_wanted { until } else { 0 };
            // What was called off is not begun again by the forecast in the same window.
            if !is_wanted {
                fill.advice = None;
            }
            Ok(())
        });
    }

    /// An operator lists things that stand in the shard, a name a line.
    pub(crate) fn list_things(&mut self, shard: &str, text: &str, token: u64) {
        self.with_fill(shard, token, |_, split| {
            let names = || text.lines().map(str::trim).filter(|name| !name.is_empty());
            if let Some(name) = names().find(|name| name.contains(' ') || name.len() > 1024) {
                return Err(format!("{name:?} is no name of a thing"));
            }
            names().for_each(|name| split.names.list(name));
            Ok(())
        });
    }

    /// An operator brings what other instruments have measured: `[[seconds since the epoch, rows, bytes], …]`.
    pub(crate) fn bring_history(&mut self, shard: &str, text: &str, token: u64) {
        self.with_fill(shard, token, |fill, _| {
            let points: Vec<(u64, u64, u64)> = serde_json::from_str(text).map_err(|error| error.to_string())?;
            if points.windows(2).any(|pair| pair[0].0 >= pair[1].0) {
                return Err("the times do not rise".to_owned());
            }
            let mut brought = History::default();
            points.into_iter().for_each(|(at, rows, bytes)| brought.note(at.saturating_mul(1_000_000), rows, bytes));
            fill.history.merge(&brought);
            fill.looked_at = 0;
            Ok(())
        });
    }

    fn with_fill(
        &mut self,
        shard: &str,
        token: u64,
        change: impl FnOnce(&mut Fill, &mut wv_shard_split::Split) -> Result<(), String>,
    ) {
        let Some(held) = self.shards.get_mut(shard).filter(|held| held.split.has_ballot()) else {
            return self.respond(token, 503, error_body("the holder of this shard is not ready, call again"));
        };
        match change(&mut held.fill, &mut held.split) {
            Ok(()) => {
                held.fill.is_due = true;
                held.fill.calls.push(token);
            }
            Err(text) => self.respond(token, 400, error_body(&text)),
        }
    }
}
