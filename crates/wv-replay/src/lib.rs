//! Replay of recorded days: a documented line format played through the in-memory fleet with the real logic.
mod day;
mod play;
mod ring;

pub use day::{Day, Event, What};
pub use play::{play, Line, Report};
pub use ring::from_ring;

#[derive(thiserror::Error, Debug, PartialEq, Eq)]
pub enum ReplayError {
    #[error("line {line}: {found:?}: expected {expected}")]
    Line { line: usize, found: String, expected: &'static str },
    #[error("line {line}: there is no {kind} {name:?} in this day's fleet")]
    Unknown { line: usize, kind: &'static str, name: String },
    #[error("the day has no events")]
    Empty,
}
