//! Recorded client traffic: sessions, the databases they used, and the times of their requests, one entry per line:
//!
//! `recording 1 NAME=VALUE …`, then `SECONDS open CLIENT HOST bounded|primary SERVICE`, `SECONDS ask CLIENT
//! read|write|txn:STATEMENTS:r|w`, `SECONDS close CLIENT`, and finally `end COUNT`. In merged recordings a client is
//! named `NODE/CLIENT`. In version 2, HOST and SERVICE are percent-encoded.
use std::collections::BTreeMap;
use wv_access::{decode_recorded_name, encode_recorded_name, recording_version, RECORDING_VERSION};
use wv_simulation::RequestKind;

const MAX_LINES: usize = 40_000_000;

#[derive(thiserror::Error, Debug, PartialEq, Eq)]
pub enum RecordingError {
    #[error("{0}: the file is empty")]
    Empty(String),
    #[error("{0}, line 1: {1:?} is not a recording header (expected: recording {RECORDING_VERSION} …)")]
    NotARecording(String, String),
    #[error("{0}, line 1: unsupported version {1}, supported up to {RECORDING_VERSION}")]
    UnsupportedVersion(String, u32),
    #[error("{0}, line {1}: {2:?}: expected {3}")]
    InvalidLine(String, usize, String, &'static str),
    #[error("{0}, line {1}: file truncated: no end line")]
    Truncated(String, usize),
    #[error("{0}, line {1}: event count mismatch: found {2}, expected {3}")]
    CountMismatch(String, usize, usize, usize),
    #[error("{0}, line {1}: client {2} is not open")]
    ClientNotOpen(String, usize, String),
    #[error("{0}, line {1}: time is earlier than on the previous line")]
    TimeDecreased(String, usize),
    #[error("{0} and {1} are both recordings of node {2}")]
    DuplicateNode(String, String, String),
    #[error("--drop {0}: {1}")]
    InvalidDrop(String, String),
    #[error("{0}")]
    Invalid(String),
}

#[derive(Clone, PartialEq, Debug)]
pub enum RecordedAction {
    Open { host: String, is_bounded: bool, service: String },
    Request(RequestKind),
    Close,
}

/// One event of one client, at a time relative to the start of the recording.
#[derive(Clone, PartialEq, Debug)]
pub struct RecordedEvent {
    pub at_us: u64,
    pub client: String,
    pub action: RecordedAction,
}

/// A recording of one node, or several merged.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Recording {
    /// May hold `node`, `nodes`, `start`, `lost`, `kinds`, `deadlines` and `generated`.
    pub header: BTreeMap<String, String>,
    pub events: Vec<RecordedEvent>,
}

fn parse_kind(word: &str) -> Option<RequestKind> {
    match word {
        "read" => Some(RequestKind::Read),
        "write" => Some(RequestKind::Write),
        _ => {
            let mut parts = word.strip_prefix("txn:")?.split(':');
            let statements = parts.next()?.parse().ok().filter(|count| (1..=100).contains(count))?;
            let writes = match parts.next()? {
                "w" => true,
                "r" => false,
                _ => return None,
            };
            parts.next().is_none().then_some(RequestKind::Txn { statements, writes })
        }
    }
}

pub fn format_kind(kind: RequestKind) -> String {
    match kind {
        RequestKind::Read => "read".to_owned(),
        RequestKind::Write => "write".to_owned(),
        RequestKind::Txn { statements, writes } => format!("txn:{statements}:{}", if writes { "w" } else { "r" }),
    }
}

fn parse_action(version: u32, words: &[&str]) -> Result<RecordedAction, &'static str> {
    let name = |word| {
        let name = decode_recorded_name(version, word).ok_or("percent-encoded UTF-8 names")?;
        Ok::<String, &'static str>(name.into_owned())
    };
    match words {
        ["open", _, host, category @ ("bounded" | "primary"), service] => {
            Ok(RecordedAction::Open { host: name(host)?, is_bounded: *category == "bounded", service: name(service)? })
        }
        ["open", ..] => Err("open CLIENT HOST bounded|primary SERVICE"),
        ["ask", _, word] => parse_kind(word).map(RecordedAction::Request).ok_or("read, write or txn:STATEMENTS:r|w"),
        ["ask", ..] => Err("ask CLIENT KIND"),
        ["close", _] => Ok(RecordedAction::Close),
        ["close", ..] => Err("close CLIENT"),
        _ => Err("open, ask or close"),
    }
}

impl Recording {
    /// Parses a recording; `name` identifies it in errors.
    pub fn parse(name: &str, text: &str) -> Result<Recording, RecordingError> {
        let file = || name.to_owned();
        let mut lines = text.lines().enumerate().take(MAX_LINES).map(|(at, line)| (at + 1, line.trim()));
        let Some((_, first)) = lines.next().filter(|(_, line)| !line.is_empty()) else {
            return Err(RecordingError::Empty(file()));
        };
        let mut words = first.split_whitespace();
        let version = words.next().filter(|word| *word == "recording").and_then(|_| words.next()?.parse::<u32>().ok());
        let version = version.ok_or_else(|| RecordingError::NotARecording(file(), first.chars().take(60).collect()))?;
        if version > RECORDING_VERSION {
            return Err(RecordingError::UnsupportedVersion(file(), version));
        }
        let pair = |word: &str| word.split_once('=').map(|(name, value)| (name.to_owned(), value.to_owned()));
        let mut recording = Recording { header: words.filter_map(pair).collect(), events: Vec::new() };
        let mut open: hashbrown::HashSet<String> = hashbrown::HashSet::new();
        let (mut last, mut is_ended) = (1, false);
        for (at, line) in lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#')) {
            last = at;
            let invalid = |expected| RecordingError::InvalidLine(file(), at, line.chars().take(80).collect(), expected);
            if is_ended {
                return Err(invalid("nothing after the end line"));
            }
            if let Some(count) = line.strip_prefix("end ") {
                let count = count.trim().parse().map_err(|_| invalid("end COUNT"))?;
                if count != recording.events.len() {
                    return Err(RecordingError::CountMismatch(file(), at, recording.events.len(), count));
                }
                is_ended = true;
                continue;
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            let seconds = words.first().and_then(|word| word.parse::<f64>().ok());
            let at_us =
                seconds.filter(|found| (0.0..=1e6).contains(found)).ok_or_else(|| invalid("a time in seconds"))?;
            let (at_us, action) = ((at_us * 1e6).round() as u64, parse_action(version, &words[1..]).map_err(invalid)?);
            if recording.events.last().is_some_and(|last| last.at_us > at_us) {
                return Err(RecordingError::TimeDecreased(file(), at));
            }
            let client = words[2].to_owned();
            let is_open = open.contains(&client);
            match &action {
                RecordedAction::Open { .. } if is_open => return Err(invalid("a client that is not already open")),
                RecordedAction::Open { .. } => _ = open.insert(client.clone()),
                _ if !is_open => return Err(RecordingError::ClientNotOpen(file(), at, client)),
                RecordedAction::Close => _ = open.remove(&client),
                RecordedAction::Request(_) => {}
            }
            recording.events.push(RecordedEvent { at_us, client, action });
        }
        if !is_ended {
            return Err(RecordingError::Truncated(file(), last));
        }
        if recording.events.is_empty() {
            return Err(RecordingError::Empty(file()));
        }
        Ok(recording)
    }

    pub fn to_text(&self) -> String {
        let header: String = self.header.iter().map(|(name, value)| format!(" {name}={value}")).collect();
        let names = self.events.iter().flat_map(|event| match &event.action {
            RecordedAction::Open { host, service, .. } => [host.as_str(), service.as_str()],
            _ => ["", ""],
        });
        let version = recording_version(names);
        let mut out = format!("recording {version}{header}\n");
        for event in &self.events {
            let (at, client) = (event.at_us as f64 / 1e6, &event.client);
            out.push_str(&match &event.action {
                RecordedAction::Open { host, is_bounded, service } => {
                    let category = if *is_bounded { "bounded" } else { "primary" };
                    let host = encode_recorded_name(version, host);
                    let service = encode_recorded_name(version, service);
                    format!("{at:.6} open {client} {host} {category} {service}\n")
                }
                RecordedAction::Request(kind) => format!("{at:.6} ask {client} {}\n", format_kind(*kind)),
                RecordedAction::Close => format!("{at:.6} close {client}\n"),
            });
        }
        out.push_str(&format!("end {}\n", self.events.len()));
        out
    }

    /// Merges recordings of several nodes by start time. `offsets` in microseconds are added to the times of nodes with
    /// known clock skew.
    pub fn merge(parts: &[(String, Recording)], offsets: &BTreeMap<String, i64>) -> Result<Recording, RecordingError> {
        let mut names: BTreeMap<String, &str> = BTreeMap::new();
        let mut all: Vec<(i64, RecordedEvent)> = Vec::new();
        let mut lost = 0u64;
        for (file, part) in parts {
            let missing = || RecordingError::Invalid(format!("{file}: line 1 does not name a node"));
            let node = part.header.get("node").cloned().ok_or_else(missing)?;
            if let Some(other) = names.insert(node.clone(), file) {
                return Err(RecordingError::DuplicateNode(other.to_owned(), file.clone(), node));
            }
            let number = |name: &str| part.header.get(name).and_then(|value| value.parse::<f64>().ok()).unwrap_or(0.0);
            lost += number("lost") as u64;
            let start = (number("start") * 1e6) as i64 + offsets.get(&node).copied().unwrap_or(0);
            let named =
                |event: &RecordedEvent| RecordedEvent { client: format!("{node}/{}", event.client), ..event.clone() };
            all.extend(part.events.iter().map(|event| (start + event.at_us as i64, named(event))));
        }
        all.sort_by_key(|(at, _)| *at);
        let first = all.first().map_or(0, |(at, _)| *at);
        let nodes = names.keys().cloned().collect::<Vec<String>>().join(",");
        let mut header = parts.first().map(|(_, part)| part.header.clone()).unwrap_or_default();
        header.remove("node");
        header.extend([
            ("nodes".to_owned(), nodes),
            ("start".to_owned(), format!("{:.6}", first as f64 / 1e6)),
            ("lost".to_owned(), lost.to_string()),
        ]);
        let events = all.into_iter().map(|(at, event)| RecordedEvent { at_us: (at - first) as u64, ..event }).collect();
        Ok(Recording { header, events })
    }

    /// The nodes that clients were connected to.
    pub fn nodes(&self) -> Vec<String> {
        let listed = self.header.get("nodes").or_else(|| self.header.get("node"));
        listed.map(|names| names.split(',').map(str::to_owned).collect()).unwrap_or_default()
    }
}
