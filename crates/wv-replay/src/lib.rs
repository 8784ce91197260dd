//! Replays scenario files and recorded client traffic on a simulated fleet that runs the production logic.
mod generator;
mod log_import;
mod recording;
mod recording_player;
mod recording_report;
mod scenario;
mod scenario_player;
mod seed_search;

pub use generator::{generate_recording, GeneratorOptions};
pub use log_import::scenario_from_log;
pub use recording::{format_kind, RecordedAction, RecordedEvent, Recording, RecordingError};
pub use recording_player::{play_recording, NodeDrop, PlaybackOptions};
pub use recording_report::{DropOutcome, RecordingReport};
pub use scenario::{Action, Event, Scenario};
pub use scenario_player::{play_scenario, ScenarioReport, TimelineEntry};
pub use seed_search::{minimize_seed, search_seeds, NemesisRun, SeedFailure, SeedSearch};

#[derive(thiserror::Error, Debug, PartialEq, Eq)]
pub enum ReplayError {
    #[error("line {line}: {found:?}: expected {expected}")]
    InvalidLine { line: usize, found: String, expected: &'static str },
    #[error("line {line}: no {kind} {name:?} in the fleet")]
    Unknown { line: usize, kind: &'static str, name: String },
    #[error("the scenario has no events")]
    Empty,
}
