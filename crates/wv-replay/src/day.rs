use crate::ReplayError;

/// Bounds of a day: what is larger is a mistake, not a day.
const LINES_MAX: usize = 200_000;
const NODES_MAX: usize = 200;
const SECONDS_MAX: f64 = 86_400.0;

#[derive(Clone, PartialEq, Debug)]
pub enum What {
    /// The standard routes under this version.
    Conf(u64),
    /// A configuration in the operator's own words.
    Put(String),
    Load {
        route: String,
        count: usize,
    },
    Stop,
    Crash(String),
    Dark(String),
    Revive(String),
    Drain(String),
    Leave(String),
    Deaf(String),
    Hear(String),
    Lag {
        db: String,
        ms: u64,
    },
    Lose {
        db: String,
        count: u32,
    },
    Congest {
        db: String,
        is_on: bool,
    },
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
    pub what: What,
}

/// A day as read from its file.
#[derive(Clone, PartialEq, Debug)]
pub struct Day {
    pub access: usize,
    pub control: usize,
    pub services: Vec<String>,
    pub is_eased: bool,
    pub events: Vec<Event>,
}

struct Words<'a> {
    line: usize,
    text: &'a str,
    rest: &'a str,
}

impl<'a> Words<'a> {
    fn fail<T>(&self, expected: &'static str) -> Result<T, ReplayError> {
        Err(ReplayError::Line { line: self.line, found: self.text.to_owned(), expected })
    }

    fn word(&mut self, expected: &'static str) -> Result<&'a str, ReplayError> {
        let rest = self.rest.trim_start();
        let (word, rest) = rest.split_once(' ').unwrap_or((rest, ""));
        self.rest = rest;
        if word.is_empty() {
            return self.fail(expected);
        }
        Ok(word)
    }

    fn number<N: std::str::FromStr>(&mut self, expected: &'static str) -> Result<N, ReplayError> {
        let word = self.word(expected)?;
        word.parse().or_else(|_| self.fail(expected))
    }

    fn name(&mut self, expected: &'static str) -> Result<String, ReplayError> {
        self.word(expected).map(str::to_owned)
    }

    fn rest(&mut self, expected: &'static str) -> Result<String, ReplayError> {
        let rest = std::mem::take(&mut self.rest).trim();
        if rest.is_empty() {
            return self.fail(expected);
        }
        Ok(rest.to_owned())
    }

    fn end(&self) -> Result<(), ReplayError> {
        if self.rest.trim().is_empty() {
            return Ok(());
        }
        self.fail("the end of the line")
    }
}

fn read_what(words: &mut Words<'_>) -> Result<What, ReplayError> {
    let db = "a database, as in s0";
    let node = "a node, as in a0 or c1";
    Ok(match words.word("an event")? {
        "conf" => What::Conf(words.number("a version")?),
        "put" => What::Put(words.rest("a configuration")?),
        "load" => What::Load {
            route: words.name("a route, as in p")?,
            count: words.number::<usize>("a number of clients")?.min(10_000),
        },
        "stop" => What::Stop,
        "crash" => What::Crash(words.name(db)?),
        "dark" => What::Dark(words.name(db)?),
        "revive" => What::Revive(words.name(db)?),
        "drain" => What::Drain(words.name(db)?),
        "leave" => What::Leave(words.name(db)?),
        "deaf" => What::Deaf(words.name(db)?),
        "hear" => What::Hear(words.name(db)?),
        "lag" => What::Lag { db: words.name(db)?, ms: words.number::<u64>("milliseconds")?.min(3_600_000) },
        "lose" => What::Lose { db: words.name(db)?, count: words.number("a number of returns")? },
        "congest" => What::Congest {
            db: words.name(db)?,
            is_on: match words.word("on or off")? {
                "on" => true,
                "off" => false,
                _ => return words.fail("on or off"),
            },
        },
        "bears" => What::Bears { db: words.name(db)?, count: words.number("a number of statements")? },
        "kill" => What::Kill(words.name(node)?),
        "start" => What::Start(words.name(node)?),
        "term" => What::Term(words.name("an access node, as in a0")?),
        "wipe" => What::Wipe(words.name("a control node, as in c0")?),
        "cut" => What::Cut(words.name(node)?, words.name("the other end")?),
        "join" => What::Join(words.name(node)?, words.name("the other end")?),
        "platform" => What::Platform {
            is_up: match words.word("up or down")? {
                "up" => true,
                "down" => false,
                _ => return words.fail("up or down"),
            },
        },
        "client" => What::Client {
            name: words.name("a name")?,
            node: words.name("an access node, as in a0")?,
            route: words.name("a route, as in p")?,
        },
        "say" => What::Say { name: words.name("a client's name")?, text: words.rest("a line of the wire")? },
        _ => return words.fail("an event such as conf, load, crash, dark, kill, cut, client or say"),
    })
}

impl Day {
    /// Reads a day; comments and blank lines are passed over.
    pub fn parse(text: &str) -> Result<Day, ReplayError> {
        let mut day = Day { access: 3, control: 3, services: vec!["s".to_owned()], is_eased: true, events: Vec::new() };
        for (at, text) in text.lines().enumerate().take(LINES_MAX) {
            let line = at + 1;
            // A comment may follow an event, but not what is in somebody's own words.
            let is_own_words = [" put ", " say "].iter().any(|verb| text.contains(verb));
            let text = text.split_once(" #").filter(|_| !is_own_words).map_or(text, |(event, _)| event);
            let trimmed = text.trim();
            if trimmed.is_empty() || trimmed.starts_with('#') {
                continue;
            }
            let mut words = Words { line, text: trimmed, rest: trimmed };
            if trimmed.starts_with("fleet ") {
                words.word("fleet")?;
                day.read_fleet(&mut words)?;
                continue;
            }
            let seconds: f64 = words.number("a time in seconds, or fleet")?;
            if !(0.0..=SECONDS_MAX).contains(&seconds) {
                return words.fail("a time between 0 and 86400 seconds");
            }
            let what = read_what(&mut words)?;
            words.end()?;
            day.events.push(Event { at_us: (seconds * 1e6).round() as u64, line, what });
        }
        if day.events.is_empty() {
            return Err(ReplayError::Empty);
        }
        // Events of one time happen in the order of the file.
        day.events.sort_by_key(|event| event.at_us);
        Ok(day)
    }

    fn read_fleet(&mut self, words: &mut Words<'_>) -> Result<(), ReplayError> {
        while !words.rest.trim().is_empty() {
            let setting = words.word("a setting")?;
            let expected = "access=N, control=N, services=NAME,… or ease=on|off";
            let Some((name, value)) = setting.split_once('=') else { return words.fail(expected) };
            let number = value.parse::<usize>().ok().filter(|number| (1..=NODES_MAX).contains(number));
            match (name, number) {
                ("access", Some(number)) => self.access = number,
                ("control", Some(number)) => self.control = number,
                ("services", _) if !value.is_empty() => {
                    self.services = value.split(',').map(str::to_owned).collect();
                }
                ("ease", _) if value == "on" || value == "off" => self.is_eased = value == "on",
                _ => return words.fail(expected),
            }
        }
        Ok(())
    }
}
