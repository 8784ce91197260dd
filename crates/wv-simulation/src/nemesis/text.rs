//! A nemesis day as text: one head, then one event a line.
use super::{Bound, Day, Event, Kind};

const EVENTS_MAX: usize = 10_000;
const NODES_MAX: usize = 40;
const MS_MAX: f64 = 600_000.0;

/// What is wrong with a day, and in which line.
#[derive(thiserror::Error, Debug, PartialEq, Eq)]
pub enum DayError {
    #[error("line {line}: {found:?}: expected {expected}")]
    Line { line: usize, found: String, expected: &'static str },
    #[error("no line begins with nemesis")]
    Head,
}

const KINDS: [(&str, Kind); 35] = [
    ("isolate", Kind::Isolate),
    ("deafen", Kind::Deafen),
    ("mute", Kind::Mute),
    ("wall", Kind::Wall),
    ("oneway", Kind::OneWay),
    ("rift", Kind::Rift),
    ("part", Kind::Part),
    ("freeze", Kind::Freeze),
    ("slow", Kind::Slow),
    ("kill", Kind::Kill),
    ("power", Kind::Power),
    ("tear", Kind::Tear),
    ("wipe", Kind::Wipe),
    ("replace", Kind::Replace),
    ("quit", Kind::Quit),
    ("stall", Kind::Stall),
    ("full", Kind::Full),
    ("clock", Kind::Clock),
    ("reset", Kind::Reset),
    ("term", Kind::Term),
    ("crash", Kind::Crash),
    ("dark", Kind::Dark),
    ("lag", Kind::Lag),
    ("drain", Kind::Drain),
    ("leave", Kind::Leave),
    ("break", Kind::Break),
    ("platform", Kind::Platform),
    ("sluggish", Kind::Sluggish),
    ("order", Kind::Order),
    ("race", Kind::Race),
    ("storm", Kind::Storm),
    ("repeat", Kind::Repeat),
    ("invalid", Kind::Invalid),
    ("unheard", Kind::Unheard),
    ("echo", Kind::Echo),
];

const BOUNDS: [(&str, Bound); 3] = [("within", Bound::Within), ("beyond", Bound::Beyond), ("wild", Bound::Wild)];

impl Kind {
    pub fn word(self) -> &'static str {
        KINDS.iter().find(|(_, kind)| *kind == self).map_or("", |(word, _)| word)
    }
}

fn seconds(ms: u64) -> String {
    format!("{}.{:03}", ms / 1000, ms % 1000)
}

impl std::fmt::Display for Event {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{} {}", seconds(self.at_ms), self.kind.word())?;
        self.targets.iter().try_for_each(|target| write!(out, " {target}"))?;
        if self.for_ms > 0 {
            write!(out, " for {}", seconds(self.for_ms))?;
        }
        if self.by > 0 {
            write!(out, " by {}", self.by)?;
        }
        Ok(())
    }
}

impl std::fmt::Display for Day {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let bound = BOUNDS.iter().find(|(_, bound)| *bound == self.bound).map_or("", |(word, _)| word);
        let Day { seed, access, core, thin, .. } = self;
        writeln!(out, "nemesis seed={seed} access={access} core={core} thin={thin} bound={bound}")?;
        self.events.iter().try_for_each(|event| writeln!(out, "{event}"))
    }
}

fn ms(word: &str) -> Option<u64> {
    let ms = word.parse::<f64>().ok()? * 1e3;
    (0.0..=MS_MAX).contains(&ms).then_some(ms.round() as u64)
}

impl Day {
    /// Whether the text is a nemesis day, by its first word that is no comment.
    pub fn is_one(text: &str) -> bool {
        let mut lines = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
        lines.next().is_some_and(|line| line.starts_with("nemesis "))
    }

    /// Reads a day; comments and blank lines are passed over.
    pub fn parse(text: &str) -> Result<Day, DayError> {
        let mut day: Option<Day> = None;
        for (at, found) in text.lines().enumerate() {
            let fail = |expected| DayError::Line { line: at + 1, found: found.to_owned(), expected };
            let line = found.split('#').next().unwrap_or_default().trim();
            match (line, day.as_mut()) {
                ("", _) => {}
                (line, None) => day = Some(head(line).map_err(fail)?),
                (_, Some(day)) if day.events.len() >= EVENTS_MAX => return Err(fail("no more than 10000 events")),
                (line, Some(day)) => day.events.push(event(line).map_err(fail)?),
            }
        }
        let mut day = day.ok_or(DayError::Head)?;
        day.events.sort_by_key(|event| event.at_ms);
        Ok(day)
    }
}

fn head(line: &str) -> Result<Day, &'static str> {
    let expected = "nemesis seed=N access=N core=N thin=N bound=within|beyond|wild";
    let mut words = line.split_whitespace();
    words.next().filter(|word| *word == "nemesis").ok_or(expected)?;
    let mut day = Day { seed: 1, access: 3, core: 3, thin: 0, bound: Bound::Within, events: Vec::new() };
    for word in words {
        let (name, value) = word.split_once('=').ok_or(expected)?;
        let number = value.parse::<u64>().ok();
        let count = number.map(|number| number as usize).filter(|count| *count <= NODES_MAX);
        match (name, number, count) {
            ("seed", Some(seed), _) => day.seed = seed,
            ("access", _, Some(count)) if count > 0 => day.access = count,
            ("core", _, Some(count)) if count > 0 => day.core = count,
            ("thin", _, Some(count)) => day.thin = count,
            ("bound", ..) => {
                day.bound = BOUNDS.iter().find(|(word, _)| *word == value).ok_or(expected)?.1;
            }
            _ => return Err(expected),
        }
    }
    Ok(day)
}

fn event(line: &str) -> Result<Event, &'static str> {
    let mut words = line.split_whitespace();
    let at_ms = words.next().and_then(ms).ok_or("a time between 0 and 600 seconds")?;
    let word = words.next().ok_or("a kind of trouble")?;
    let kind = KINDS.iter().find(|(held, _)| *held == word).ok_or("a kind of trouble, as in freeze, kill or order")?.1;
    let mut event = Event { at_ms, kind, targets: Vec::new(), for_ms: 0, by: 0 };
    while let Some(word) = words.next() {
        match word {
            "for" => event.for_ms = words.next().and_then(ms).ok_or("seconds after for, up to 600")?,
            "by" => event.by = words.next().and_then(|by| by.parse().ok()).ok_or("a whole number after by")?,
            target => event.targets.push(target.to_owned()),
        }
    }
    Ok(event)
}
