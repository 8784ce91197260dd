//! Days from logs: the ring that a node wrote out names what it saw, and that can be played again.
use std::collections::BTreeMap;

/// Seconds of the day from `HH:MM:SS.mmm`.
fn time(word: &str) -> Option<f64> {
    let mut parts = word.split(':');
    let mut part = || parts.next().and_then(|part| part.parse::<f64>().ok());
    Some(part()? * 3600.0 + part()? * 60.0 + part()?)
}

/// Turns a written-out ring into a day: `saw ID refused|dark|up`, `in force N` and `nodes N` are what counts in it.
/// Databases are named in the order in which they are met. Lines of other kinds are passed over.
pub fn from_ring(text: &str) -> String {
    let mut names: BTreeMap<String, String> = BTreeMap::new();
    let (mut events, mut nodes, mut first) = (Vec::new(), 3, None);
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        let Some((start, at)) = words.iter().enumerate().find_map(|(at, word)| time(word).map(|time| (at, time)))
        else {
            continue;
        };
        let zero = *first.get_or_insert(at);
        // A clock that passed midnight goes on counting.
        let at = if at < zero { at + 86_400.0 } else { at } - zero + 4.0;
        match words.get(start + 2..).unwrap_or_default() {
            ["saw", id, sight, ..] => {
                let next = format!("s{}", names.len().min(2));
                let name = names.entry((*id).to_owned()).or_insert(next).clone();
                match *sight {
                    "refused" => events.push(format!("{at:.3} crash {name}")),
                    "dark" => events.push(format!("{at:.3} dark {name}")),
                    "up" => events.push(format!("{at:.3} revive {name}")),
                    _ => {}
                }
            }
            ["in", "force", version, ..] if version.parse::<u64>().is_ok_and(|version| version > 1) => {
                events.push(format!("{at:.3} conf {version}"));
            }
            ["nodes", count, ..] => nodes = count.parse().unwrap_or(nodes).clamp(1, 200),
            _ => {}
        }
    }
    let mut out = String::from("# made from a log; databases in the order they were met:\n");
    names.iter().for_each(|(id, name)| out.push_str(&format!("# {name} was {id}\n")));
    out.push_str(&format!("fleet access={nodes} control=3\n0 conf 1\n1 load p 10\n1 load b 5\n"));
    events.iter().for_each(|event| out.push_str(&format!("{event}\n")));
    out
}
