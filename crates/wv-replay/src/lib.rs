//! Replay of recorded days: a documented line format played through the in-memory fleet with the real logic.
mod day;
mod hour;
mod hunt;
mod make;
mod play;
mod rerun;
mod ring;
mod tally;

pub use day::{Day, Event, What};
pub use hour::{kind_text, Entry, Hour, HourError, Noted, VERSION};
pub use hunt::{hunt, shortest, Caught, Hunt, Played};
pub use make::{make, Recipe};
pub use play::{play, Line, Report};
pub use rerun::{rerun, Course, Drop};
pub use ring::from_ring;
pub use tally::{Tally, Told};

#[derive(thiserror::Error, Debug, PartialEq, Eq)]
pub enum ReplayError {
    #[error("line {line}: {found:?}: expected {expected}")]
    Line { line: usize, found: String, expected: &'static str },
    #[error("line {line}: there is no {kind} {name:?} in this day's fleet")]
    Unknown { line: usize, kind: &'static str, name: String },
    #[error("the day has no events")]
    Empty,
}
