//! How full a shard is, how it goes on, and when its operators are to hear of it.
mod forecast;
mod history;
mod methods;
mod sample;
mod slot;
mod warn;

pub use forecast::{forecast, Crossing, Forecast, Outlook};
pub use history::{History, Point, BIN_US};
pub use methods::{Level, Method, METHOD};
pub use sample::{KeySample, Sample, KEPT};
pub use slot::hash;
pub use warn::{advise, Advice, Need};
pub use wv_internal_protocol::{slot_for_key, SLOT_COUNT};

pub const HOUR_US: u64 = 3_600_000_000;
pub const DAY_US: u64 = 24 * HOUR_US;
