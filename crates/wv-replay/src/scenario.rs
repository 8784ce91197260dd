//! Scenario files (`*.day`): timed events and faults for a simulated fleet, one per line.
use crate::ReplayError;

const MAX_LINES: usize = 200_000;
const MAX_NODES: usize = 200;
const MAX_TIME_S: f64 = 86_400.0;

/// What an event does. The timeline contains the debug output, so names of variants and fields are part of it.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Applies the default routes under this version.
    Conf(u64),
    /// Applies a literal configuration.
    Put(String),
    Load {
        route: String,
        count: usize,
    },
    Stop,
    Crash(String),
    /// Makes the database's machine unresponsive.
    Dark(String),
    Revive(String),
    Drain(String),
    Leave(String),
    /// Stops the database from receiving replication.
    Deaf(String),
    Hear(String),
    Lag {
        db: String,
        ms: u64,
    },
    /// Drops the next `count` replies of the database after it has executed their statements.
    Lose {
        db: String,
        count: u32,
    },
    Congest {
        db: String,
        is_on: bool,
    },
    /// Crashes the database when it executes more than `count` statements at once.
    Bears {
        db: String,
        count: usize,
    },
    Kill(String),
    Start(String),
    Term(String),
    Wipe(String),
    Cut(String, String),
    Join(String, String),
    Platform {
        is_up: bool,
    },
    Client {
        name: String,
        node: String,
        route: String,
    },
    Say {
        name: String,
        text: String,
    },
}

#[derive(Clone, PartialEq, Debug)]
pub struct Event {
    pub at_us: u64,
    pub line: usize,
    pub action: Action,
}

/// A parsed scenario file.
#[derive(Clone, PartialEq, Debug)]
pub struct Scenario {
    pub access_nodes: usize,
    pub control_nodes: usize,
    pub services: Vec<String>,
    pub is_slow_start_on: bool,
    pub events: Vec<Event>,
}

struct LineReader<'a> {
    line: usize,
    text: &'a str,
    rest: &'a str,
}

impl<'a> LineReader<'a> {
    fn error<T>(&self, expected: &'static str) -> Result<T, ReplayError> {
        Err(ReplayError::InvalidLine { line: self.line, found: self.text.to_owned(), expected })
    }

    fn next_word(&mut self, expected: &'static str) -> Result<&'a str, ReplayError> {
        let rest = self.rest.trim_start();
        let (word, rest) = rest.split_once(' ').unwrap_or((rest, ""));
        self.rest = rest;
        if word.is_empty() {
            return self.error(expected);
        }
        Ok(word)
    }

    fn next_number<N: std::str::FromStr>(&mut self, expected: &'static str) -> Result<N, ReplayError> {
        let word = self.next_word(expected)?;
        word.parse().or_else(|_| self.error(expected))
    }

    fn next_name(&mut self, expected: &'static str) -> Result<String, ReplayError> {
        self.next_word(expected).map(str::to_owned)
    }

    fn take_rest(&mut self, expected: &'static str) -> Result<String, ReplayError> {
        let rest = std::mem::take(&mut self.rest).trim();
        if rest.is_empty() {
            return self.error(expected);
        }
        Ok(rest.to_owned())
    }

    fn expect_end(&self) -> Result<(), ReplayError> {
        if self.rest.trim().is_empty() {
            return Ok(());
        }
        self.error("the end of the line")
    }
}

fn parse_action(reader: &mut LineReader<'_>) -> Result<Action, ReplayError> {
    let db = "a database such as s0";
    let node = "a node such as a0 or c1";
    Ok(match reader.next_word("an event")? {
        "conf" => Action::Conf(reader.next_number("a version")?),
        "put" => Action::Put(reader.take_rest("a configuration")?),
        "load" => Action::Load {
            route: reader.next_name("a route such as p")?,
            count: reader.next_number::<usize>("a number of clients")?.min(10_000),
        },
        "stop" => Action::Stop,
        "crash" => Action::Crash(reader.next_name(db)?),
        "dark" => Action::Dark(reader.next_name(db)?),
        "revive" => Action::Revive(reader.next_name(db)?),
        "drain" => Action::Drain(reader.next_name(db)?),
        "leave" => Action::Leave(reader.next_name(db)?),
        "deaf" => Action::Deaf(reader.next_name(db)?),
        "hear" => Action::Hear(reader.next_name(db)?),
        "lag" => {
            Action::Lag { db: reader.next_name(db)?, ms: reader.next_number::<u64>("milliseconds")?.min(3_600_000) }
        }
        "lose" => Action::Lose { db: reader.next_name(db)?, count: reader.next_number("a number of replies")? },
        "congest" => Action::Congest {
            db: reader.next_name(db)?,
            is_on: match reader.next_word("on or off")? {
                "on" => true,
                "off" => false,
                _ => return reader.error("on or off"),
            },
        },
        "bears" => Action::Bears { db: reader.next_name(db)?, count: reader.next_number("a number of statements")? },
        "kill" => Action::Kill(reader.next_name(node)?),
        "start" => Action::Start(reader.next_name(node)?),
        "term" => Action::Term(reader.next_name("an access node such as a0")?),
        "wipe" => Action::Wipe(reader.next_name("a control node such as c0")?),
        "cut" => Action::Cut(reader.next_name(node)?, reader.next_name("the other end")?),
        "join" => Action::Join(reader.next_name(node)?, reader.next_name("the other end")?),
        "platform" => Action::Platform {
            is_up: match reader.next_word("up or down")? {
                "up" => true,
                "down" => false,
                _ => return reader.error("up or down"),
            },
        },
        "client" => Action::Client {
            name: reader.next_name("a name")?,
            node: reader.next_name("an access node such as a0")?,
            route: reader.next_name("a route such as p")?,
        },
        "say" => Action::Say { name: reader.next_name("a client's name")?, text: reader.take_rest("a protocol line")? },
        _ => return reader.error("an event such as conf, load, crash, dark, kill, cut, client or say"),
    })
}

impl Scenario {
    /// Parses a scenario; comments and blank lines are skipped.
    pub fn parse(text: &str) -> Result<Scenario, ReplayError> {
        let mut scenario = Scenario {
            access_nodes: 3,
            control_nodes: 3,
            services: vec!["s".to_owned()],
            is_slow_start_on: true,
            events: Vec::new(),
        };
        for (at, text) in text.lines().enumerate().take(MAX_LINES) {
            let line = at + 1;
            // A comment may follow any event but `put` and `say`, whose text is taken literally.
            let has_literal_text = [" put ", " say "].iter().any(|verb| text.contains(verb));
            let text = text.split_once(" #").filter(|_| !has_literal_text).map_or(text, |(event, _)| event);
            let trimmed = text.trim();
            if trimmed.is_empty() || trimmed.starts_with('#') {
                continue;
            }
            let mut reader = LineReader { line, text: trimmed, rest: trimmed };
            if trimmed.starts_with("fleet ") {
                reader.next_word("fleet")?;
                scenario.parse_fleet(&mut reader)?;
                continue;
            }
            let seconds: f64 = reader.next_number("a time in seconds, or fleet")?;
            if !(0.0..=MAX_TIME_S).contains(&seconds) {
                return reader.error("a time between 0 and 86400 seconds");
            }
            let action = parse_action(&mut reader)?;
            reader.expect_end()?;
            scenario.events.push(Event { at_us: (seconds * 1e6).round() as u64, line, action });
        }
        if scenario.events.is_empty() {
            return Err(ReplayError::Empty);
        }
        // The sort is stable: events at the same time keep their order in the file.
        scenario.events.sort_by_key(|event| event.at_us);
        Ok(scenario)
    }

    fn parse_fleet(&mut self, reader: &mut LineReader<'_>) -> Result<(), ReplayError> {
        while !reader.rest.trim().is_empty() {
            let setting = reader.next_word("a setting")?;
            let expected = "access=N, control=N, services=NAME,… or ease=on|off";
            let Some((name, value)) = setting.split_once('=') else { return reader.error(expected) };
            let number = value.parse::<usize>().ok().filter(|number| (1..=MAX_NODES).contains(number));
            match (name, number) {
                ("access", Some(number)) => self.access_nodes = number,
                ("control", Some(number)) => self.control_nodes = number,
                ("services", _) if !value.is_empty() => {
                    self.services = value.split(',').map(str::to_owned).collect();
                }
                ("ease", _) if value == "on" || value == "off" => self.is_slow_start_on = value == "on",
                _ => return reader.error(expected),
            }
        }
        Ok(())
    }
}
