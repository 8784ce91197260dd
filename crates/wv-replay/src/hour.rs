//! Recorded hours: who was subscribed to which database, and when requests came. The format, version 1, a line each:
//!
//! `recording 1 NAME=VALUE …`, then `SECONDS open CLIENT HOST bounded|primary SERVICE`, `SECONDS ask CLIENT
//! read|write|txn:STATEMENTS:r|w`, `SECONDS close CLIENT`, and last `end COUNT`. Merged, a client is `NODE/CLIENT`.
use std::collections::BTreeMap;
use wv_simulation::RequestKind;

pub const VERSION: u32 = 1;
const LINES_MAX: usize = 40_000_000;

#[derive(thiserror::Error, Debug, PartialEq, Eq)]
pub enum HourError {
    #[error("{0}: is empty")]
    Empty(String),
    #[error("{0}, line 1: {1:?} is no recording (expected: recording {VERSION} …)")]
    NoRecording(String, String),
    #[error("{0}, line 1: version {1} is too new, this program reads up to {VERSION}")]
    TooNew(String, u32),
    #[error("{0}, line {1}: {2:?}: expected {3}")]
    Line(String, usize, String, &'static str),
    #[error("{0}, line {1}: the file ends without its last line: it was cut off")]
    CutOff(String, usize),
    #[error("{0}, line {1}: {2} events stand before this line and it says {3}: lines are missing or mixed up")]
    Count(String, usize, usize, usize),
    #[error("{0}, line {1}: {2} is not open here")]
    NotOpen(String, usize, String),
    #[error("{0}, line {1}: its time is before that of the line above")]
    Back(String, usize),
    #[error("{0} and {1} are both recordings of node {2}")]
    SameNode(String, String, String),
    #[error("--drop {0}: {1}")]
    Drop(String, String),
    #[error("{0}")]
    Setting(String),
}

#[derive(Clone, PartialEq, Debug)]
pub enum Entry {
    Open { host: String, is_bounded: bool, service: String },
    Ask(RequestKind),
    Close,
}

/// One event of one client, at microseconds from the recording's start.
#[derive(Clone, PartialEq, Debug)]
pub struct Noted {
    pub at_us: u64,
    pub client: String,
    pub entry: Entry,
}

/// A recording, of one node or merged.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Hour {
    /// `node`, `nodes`, `start`, `lost`, `kinds`, `deadlines`, `generated`.
    pub head: BTreeMap<String, String>,
    pub events: Vec<Noted>,
}

fn kind(word: &str) -> Option<RequestKind> {
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

pub fn kind_text(kind: RequestKind) -> String {
    match kind {
        RequestKind::Read => "read".to_owned(),
        RequestKind::Write => "write".to_owned(),
        RequestKind::Txn { statements, writes } => format!("txn:{statements}:{}", if writes { "w" } else { "r" }),
    }
}

fn entry(words: &[&str]) -> Result<Entry, &'static str> {
    match words {
        ["open", _, host, category @ ("bounded" | "primary"), service] => Ok(Entry::Open {
            host: (*host).to_owned(),
            is_bounded: *category == "bounded",
            service: (*service).to_owned(),
        }),
        ["open", ..] => Err("open CLIENT HOST bounded|primary SERVICE"),
        ["ask", _, word] => kind(word).map(Entry::Ask).ok_or("read, write or txn:STATEMENTS:r|w"),
        ["ask", ..] => Err("ask CLIENT KIND"),
        ["close", _] => Ok(Entry::Close),
        ["close", ..] => Err("close CLIENT"),
        _ => Err("open, ask or close"),
    }
}

impl Hour {
    /// Reads a recording; `name` stands for it in errors.
    pub fn parse(name: &str, text: &str) -> Result<Hour, HourError> {
        let own = || name.to_owned();
        let mut lines = text.lines().enumerate().take(LINES_MAX).map(|(at, line)| (at + 1, line.trim()));
        let Some((_, first)) = lines.next().filter(|(_, line)| !line.is_empty()) else {
            return Err(HourError::Empty(own()));
        };
        let mut words = first.split_whitespace();
        let version = words.next().filter(|word| *word == "recording").and_then(|_| words.next()?.parse::<u32>().ok());
        let version = version.ok_or_else(|| HourError::NoRecording(own(), first.chars().take(60).collect()))?;
        if version > VERSION {
            return Err(HourError::TooNew(own(), version));
        }
        let pair = |word: &str| word.split_once('=').map(|(name, value)| (name.to_owned(), value.to_owned()));
        let mut hour = Hour { head: words.filter_map(pair).collect(), events: Vec::new() };
        let mut open: hashbrown::HashSet<String> = hashbrown::HashSet::new();
        let (mut last, mut is_ended) = (1, false);
        for (at, line) in lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#')) {
            last = at;
            let wrong = |expected| HourError::Line(own(), at, line.chars().take(80).collect(), expected);
            if is_ended {
                return Err(wrong("nothing after the last line"));
            }
            if let Some(count) = line.strip_prefix("end ") {
                let count = count.trim().parse().map_err(|_| wrong("end COUNT"))?;
                if count != hour.events.len() {
                    return Err(HourError::Count(own(), at, hour.events.len(), count));
                }
                is_ended = true;
                continue;
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            let seconds = words.first().and_then(|word| word.parse::<f64>().ok());
            let at_us =
                seconds.filter(|found| (0.0..=1e6).contains(found)).ok_or_else(|| wrong("a time in seconds"))?;
            let (at_us, entry) = ((at_us * 1e6).round() as u64, entry(&words[1..]).map_err(wrong)?);
            if hour.events.last().is_some_and(|held| held.at_us > at_us) {
                return Err(HourError::Back(own(), at));
            }
            let client = words[2].to_owned();
            let is_open = open.contains(&client);
            match &entry {
                Entry::Open { .. } if is_open => return Err(wrong("a client that is not open yet")),
                Entry::Open { .. } => _ = open.insert(client.clone()),
                _ if !is_open => return Err(HourError::NotOpen(own(), at, client)),
                Entry::Close => _ = open.remove(&client),
                Entry::Ask(_) => {}
            }
            hour.events.push(Noted { at_us, client, entry });
        }
        if !is_ended {
            return Err(HourError::CutOff(own(), last));
        }
        if hour.events.is_empty() {
            return Err(HourError::Empty(own()));
        }
        Ok(hour)
    }

    pub fn text(&self) -> String {
        let head: String = self.head.iter().map(|(name, value)| format!(" {name}={value}")).collect();
        let mut out = format!("recording {VERSION}{head}\n");
        for noted in &self.events {
            let (at, client) = (noted.at_us as f64 / 1e6, &noted.client);
            out.push_str(&match &noted.entry {
                Entry::Open { host, is_bounded, service } => {
                    let category = if *is_bounded { "bounded" } else { "primary" };
                    format!("{at:.6} open {client} {host} {category} {service}\n")
                }
                Entry::Ask(kind) => format!("{at:.6} ask {client} {}\n", kind_text(*kind)),
                Entry::Close => format!("{at:.6} close {client}\n"),
            });
        }
        out.push_str(&format!("end {}\n", self.events.len()));
        out
    }

    /// Several nodes' recordings as one, by their starts; `offsets` are added to the times of nodes whose clocks are known
    /// to be off, in microseconds.
    pub fn merge(parts: &[(String, Hour)], offsets: &BTreeMap<String, i64>) -> Result<Hour, HourError> {
        let mut names: BTreeMap<String, &str> = BTreeMap::new();
        let mut all: Vec<(i64, Noted)> = Vec::new();
        let mut lost = 0u64;
        for (file, part) in parts {
            let missing = || HourError::Setting(format!("{file}: line 1 names no node"));
            let node = part.head.get("node").cloned().ok_or_else(missing)?;
            if let Some(other) = names.insert(node.clone(), file) {
                return Err(HourError::SameNode(other.to_owned(), file.clone(), node));
            }
            let number = |name: &str| part.head.get(name).and_then(|value| value.parse::<f64>().ok()).unwrap_or(0.0);
            lost += number("lost") as u64;
            let start = (number("start") * 1e6) as i64 + offsets.get(&node).copied().unwrap_or(0);
            let named = |noted: &Noted| Noted { client: format!("{node}/{}", noted.client), ..noted.clone() };
            all.extend(part.events.iter().map(|noted| (start + noted.at_us as i64, named(noted))));
        }
        all.sort_by_key(|(at, _)| *at);
        let first = all.first().map_or(0, |(at, _)| *at);
        let nodes = names.keys().cloned().collect::<Vec<String>>().join(",");
        let mut head = parts.first().map(|(_, part)| part.head.clone()).unwrap_or_default();
        head.remove("node");
        head.extend([
            ("nodes".to_owned(), nodes),
            ("start".to_owned(), format!("{:.6}", first as f64 / 1e6)),
            ("lost".to_owned(), lost.to_string()),
        ]);
        let events = all.into_iter().map(|(at, noted)| Noted { at_us: (at - first) as u64, ..noted }).collect();
        Ok(Hour { head, events })
    }

    /// The nodes that clients were at.
    pub fn nodes(&self) -> Vec<String> {
        let listed = self.head.get("nodes").or_else(|| self.head.get("node"));
        listed.map(|names| names.split(',').map(str::to_owned).collect()).unwrap_or_default()
    }
}
