//! Converts the log dump of a node into a scenario file.
use std::collections::BTreeMap;

/// Parses `HH:MM:SS.mmm` into seconds since midnight.
fn parse_time(word: &str) -> Option<f64> {
    let mut parts = word.split(':');
    let mut part = || parts.next().and_then(|part| part.parse::<f64>().ok());
    Some(part()? * 3600.0 + part()? * 60.0 + part()?)
}

/// Converts the log lines `saw ID refused|dark|up`, `in force N` and `nodes N` into scenario events; other lines are
/// ignored. Databases become `s0`, `s1` and `s2` in order of appearance; all after the second become `s2`.
pub fn scenario_from_log(text: &str) -> String {
    let mut names: BTreeMap<String, String> = BTreeMap::new();
    let (mut events, mut nodes, mut first) = (Vec::new(), 3, None);
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        let Some((start, at)) = words.iter().enumerate().find_map(|(at, word)| parse_time(word).map(|time| (at, time)))
        else {
            continue;
        };
        let zero = *first.get_or_insert(at);
        // A time before the first one means that the log passed midnight.
        let at = if at < zero { at + 86_400.0 } else { at } - zero + 4.0;
        match words.get(start + 2..).unwrap_or_default() {
            ["saw", id, state, ..] => {
                let next = format!("s{}", names.len().min(2));
                let name = names.entry((*id).to_owned()).or_insert(next).clone();
                match *state {
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
    let mut out = String::from("# converted from a log; databases in order of appearance:\n");
    names.iter().for_each(|(id, name)| out.push_str(&format!("# {name} was {id}\n")));
    out.push_str(&format!("fleet access={nodes} control=3\n0 conf 1\n1 load p 10\n1 load b 5\n"));
    events.iter().for_each(|event| out.push_str(&format!("{event}\n")));
    out
}
