//! Estimates the size of a shard, forecasts its growth and advises operators when to split it.
mod advice;
mod forecast;
mod hash;
mod history;
mod method;
mod sample;

pub use advice::{advise, SplitAdvice, SplitSchedule};
pub use forecast::{forecast, Forecast, ForecastResult, ThresholdCrossing};
pub use hash::hash;
pub use history::{History, Point, BIN_US};
pub use method::{GrowthModel, Method, DEFAULT_METHOD};
pub use sample::{KeySample, Sample, SAMPLE_CAPACITY};
pub use wv_internal_protocol::{slot_for_key, SLOT_COUNT};

pub const HOUR_US: u64 = 3_600_000_000;
pub const DAY_US: u64 = 24 * HOUR_US;
