//! Text form of a schedule: a header line, then one event per line.
use super::{Event, EventKind, FaultBound, Schedule};

const EVENTS_MAX: usize = 10_000;
const NODES_MAX: usize = 40;
const TIME_MAX_MS: f64 = 600_000.0;

#[derive(thiserror::Error, Debug, PartialEq, Eq)]
pub enum ScheduleError {
    #[error("line {line}: {found:?}: expected {expected}")]
    Line { line: usize, found: String, expected: &'static str },
    #[error("no line begins with nemesis")]
    MissingHeader,
}

const KINDS: [(&str, EventKind); 41] = [
    ("isolate", EventKind::Isolate),
    ("deafen", EventKind::DropInbound),
    ("mute", EventKind::DropOutbound),
    ("wall", EventKind::Partition),
    ("oneway", EventKind::OneWayPartition),
    ("rift", EventKind::PermanentPartition),
    ("part", EventKind::IsolateFromPeers),
    ("freeze", EventKind::Freeze),
    ("slow", EventKind::Slow),
    ("kill", EventKind::Kill),
    ("power", EventKind::PowerLoss),
    ("tear", EventKind::TornWrite),
    ("wipe", EventKind::LoseDisk),
    ("replace", EventKind::Replace),
    ("quit", EventKind::Decommission),
    ("stall", EventKind::DiskStall),
    ("full", EventKind::DiskFull),
    ("clock", EventKind::ClockStep),
    ("reset", EventKind::ResetLinks),
    ("term", EventKind::Terminate),
    ("crash", EventKind::Crash),
    ("dark", EventKind::Unreachable),
    ("lag", EventKind::ReplicationLag),
    ("drain", EventKind::Drain),
    ("leave", EventKind::Deregister),
    ("break", EventKind::ResetConnections),
    ("platform", EventKind::PlatformOutage),
    ("sluggish", EventKind::SlowPromotion),
    ("unanswered", EventKind::LostPlatformAnswers),
    ("starve", EventKind::ReplicationStopped),
    ("order", EventKind::Update),
    ("race", EventKind::ConcurrentUpdates),
    ("storm", EventKind::UpdateBurst),
    ("repeat", EventKind::ResendUpdate),
    ("invalid", EventKind::InvalidUpdate),
    ("route", EventKind::MoveRoute),
    ("partners", EventKind::MovePartners),
    ("plan", EventKind::MakePlan),
    ("unplan", EventKind::WithdrawPlan),
    ("unheard", EventKind::LostResponses),
    ("echo", EventKind::DelayedDuplicates),
];

const FAULT_BOUNDS: [(&str, FaultBound); 3] =
    [("within", FaultBound::WithinTolerance), ("beyond", FaultBound::BeyondTolerance), ("wild", FaultBound::Unlimited)];

impl EventKind {
    pub fn keyword(self) -> &'static str {
        KINDS.iter().find(|(_, kind)| *kind == self).map_or("", |(word, _)| word)
    }
}

fn format_seconds(ms: u64) -> String {
    format!("{}.{:03}", ms / 1000, ms % 1000)
}

impl std::fmt::Display for Event {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{} {}", format_seconds(self.at_ms), self.kind.keyword())?;
        self.targets.iter().try_for_each(|target| write!(out, " {target}"))?;
        if self.duration_ms > 0 {
            write!(out, " for {}", format_seconds(self.duration_ms))?;
        }
        if self.amount > 0 {
            write!(out, " by {}", self.amount)?;
        }
        Ok(())
    }
}

impl std::fmt::Display for Schedule {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let bound = FAULT_BOUNDS.iter().find(|(_, bound)| *bound == self.fault_bound).map_or("", |(word, _)| word);
        let Schedule { seed, access_nodes, core_nodes, diskless_nodes, .. } = self;
        writeln!(
            out,
            "nemesis seed={seed} access={access_nodes} core={core_nodes} thin={diskless_nodes} bound={bound}"
        )?;
        self.events.iter().try_for_each(|event| writeln!(out, "{event}"))
    }
}

fn parse_ms(word: &str) -> Option<u64> {
    let ms = word.parse::<f64>().ok()? * 1e3;
    (0.0..=TIME_MAX_MS).contains(&ms).then_some(ms.round() as u64)
}

impl Schedule {
    /// Whether the first line that is not blank or a comment is a schedule header.
    pub fn is_schedule(text: &str) -> bool {
        let mut lines = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
        lines.next().is_some_and(|line| line.starts_with("nemesis "))
    }

    /// Parses a schedule; comments and blank lines are skipped.
    pub fn parse(text: &str) -> Result<Schedule, ScheduleError> {
        let mut schedule: Option<Schedule> = None;
        for (at, found) in text.lines().enumerate() {
            let error_at = |expected| ScheduleError::Line { line: at + 1, found: found.to_owned(), expected };
            let line = found.split('#').next().unwrap_or_default().trim();
            match (line, schedule.as_mut()) {
                ("", _) => {}
                (line, None) => schedule = Some(parse_header(line).map_err(error_at)?),
                (_, Some(schedule)) if schedule.events.len() >= EVENTS_MAX => {
                    return Err(error_at("no more than 10000 events"))
                }
                (line, Some(schedule)) => schedule.events.push(parse_event(line).map_err(error_at)?),
            }
        }
        let mut schedule = schedule.ok_or(ScheduleError::MissingHeader)?;
        schedule.events.sort_by_key(|event| event.at_ms);
        Ok(schedule)
    }
}

fn parse_header(line: &str) -> Result<Schedule, &'static str> {
    let expected = "nemesis seed=N access=N core=N thin=N bound=within|beyond|wild";
    let mut words = line.split_whitespace();
    words.next().filter(|word| *word == "nemesis").ok_or(expected)?;
    let mut schedule = Schedule {
        seed: 1,
        access_nodes: 3,
        core_nodes: 3,
        diskless_nodes: 0,
        fault_bound: FaultBound::WithinTolerance,
        events: Vec::new(),
    };
    for word in words {
        let (name, value) = word.split_once('=').ok_or(expected)?;
        let number = value.parse::<u64>().ok();
        let count = number.map(|number| number as usize).filter(|count| *count <= NODES_MAX);
        match (name, number, count) {
            ("seed", Some(seed), _) => schedule.seed = seed,
            ("access", _, Some(count)) if count > 0 => schedule.access_nodes = count,
            ("core", _, Some(count)) if count > 0 => schedule.core_nodes = count,
            ("thin", _, Some(count)) => schedule.diskless_nodes = count,
            ("bound", ..) => {
                schedule.fault_bound = FAULT_BOUNDS.iter().find(|(word, _)| *word == value).ok_or(expected)?.1;
            }
            _ => return Err(expected),
        }
    }
    Ok(schedule)
}

fn parse_event(line: &str) -> Result<Event, &'static str> {
    let mut words = line.split_whitespace();
    let at_ms = words.next().and_then(parse_ms).ok_or("a time between 0 and 600 seconds")?;
    let word = words.next().ok_or("an event kind")?;
    let kind =
        KINDS.iter().find(|(keyword, _)| *keyword == word).ok_or("an event kind, such as freeze, kill or order")?.1;
    let mut event = Event { at_ms, kind, targets: Vec::new(), duration_ms: 0, amount: 0 };
    while let Some(word) = words.next() {
        match word {
            "for" => event.duration_ms = words.next().and_then(parse_ms).ok_or("seconds after for, up to 600")?,
            "by" => event.amount = words.next().and_then(|by| by.parse().ok()).ok_or("a whole number after by")?,
            target => event.targets.push(target.to_owned()),
        }
    }
    Ok(event)
}
