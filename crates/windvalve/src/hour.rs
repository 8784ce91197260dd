//! Recorded hours on the command line: made, merged, played.
use crate::{read, MainError};
use clap::ArgMatches;
use std::collections::BTreeMap;
use wv_replay::{
    generate_recording, play_recording, GeneratorOptions, NodeDrop, PlaybackOptions, Recording, RecordingError,
};

fn number(
    found: &ArgMatches,
    name: &'static str,
    default: f64,
    bounds: (f64, f64),
    kind: &'static str,
) -> Result<f64, MainError> {
    let value = found.get_one::<f64>(name).copied().unwrap_or(default);
    (bounds.0..=bounds.1).contains(&value).then_some(value).ok_or(MainError::Flag(name, value, kind))
}

fn load(path: &str) -> Result<Recording, MainError> {
    let body = read(path)?;
    let body = String::from_utf8(body).map_err(|_| {
        MainError::Hour(RecordingError::NotARecording(path.to_owned(), "bytes that are no text".to_owned()))
    })?;
    Ok(Recording::parse(path, &body)?)
}

/// Whether the file is a recording rather than a day: by its first word.
pub fn is_hour(path: &str) -> Result<bool, MainError> {
    Ok(read(path)?.starts_with(b"recording"))
}

pub fn generate(found: &ArgMatches, users: &str) -> Result<(), MainError> {
    let recipe = GeneratorOptions {
        profile: users.to_owned(),
        nodes: number(found, "nodes", 6.0, (1.0, 2000.0), "1 to 2000")? as usize,
        services: number(found, "services", 2.0, (1.0, 2000.0), "1 to 2000")? as usize,
        sessions: number(found, "sessions", 200.0, (1.0, 1e6), "1 to 1000000")? as usize,
        seconds: number(found, "seconds", 60.0, (2.0, 86_400.0), "2 to 86400 seconds")? as u64,
        requests_per_s: number(found, "rate", 100.0, (0.1, 1e5), "0.1 to 100000 a second")?,
        seed: number(found, "seed", 1.0, (0.0, 1e15), "0 to 10^15")? as u64,
    };
    print!("{}", generate_recording(&recipe)?.to_text());
    Ok(())
}

/// `--offset NODE=SECONDS`: clocks that are known to be off.
fn offsets(found: &ArgMatches) -> Result<BTreeMap<String, i64>, MainError> {
    let all = found.get_many::<String>("offset").unwrap_or_default();
    let parse = |text: &String| {
        let pair = text.split_once('=').and_then(|(node, seconds)| Some((node, seconds.parse::<f64>().ok()?)));
        let wrong = || MainError::Hour(RecordingError::Invalid(format!("--offset {text}: expected NODE=SECONDS")));
        pair.map(|(node, seconds)| (node.to_owned(), (seconds * 1e6) as i64)).ok_or_else(wrong)
    };
    all.map(parse).collect()
}

fn merged(found: &ArgMatches, paths: &[String]) -> Result<Recording, MainError> {
    let parts: Vec<(String, Recording)> =
        paths.iter().map(|path| Ok((path.clone(), load(path)?))).collect::<Result<_, MainError>>()?;
    let is_whole = parts.len() == 1 && parts[0].1.header.contains_key("nodes");
    match parts.into_iter().next().filter(|_| is_whole) {
        Some((_, hour)) => Ok(hour),
        None => {
            let parts: Vec<(String, Recording)> =
                paths.iter().map(|path| Ok((path.clone(), load(path)?))).collect::<Result<_, MainError>>()?;
            Ok(Recording::merge(&parts, &offsets(found)?)?)
        }
    }
}

pub fn run(found: &ArgMatches, paths: &[String]) -> Result<(), MainError> {
    let hour = merged(found, paths)?;
    if found.get_flag("merge") {
        print!("{}", hour.to_text());
        return Ok(());
    }
    let drops: Result<Vec<NodeDrop>, RecordingError> =
        found.get_many::<String>("drop").unwrap_or_default().map(|text| text.parse()).collect();
    let from = number(found, "from", 0.0, (0.0, 1e6), "0 to 1000000 seconds")?;
    let until = number(found, "until", 1e6, (0.0, 1e6), "0 to 1000000 seconds")?;
    if until <= from {
        return Err(MainError::Flag("until", until, "what comes after --from"));
    }
    let browse = found.get_one::<f64>("browse-ms").copied();
    let course = PlaybackOptions {
        drops: drops?,
        control_nodes: number(found, "control", 3.0, (1.0, 99.0), "1 to 99")? as usize,
        from_us: (from * 1e6) as u64,
        until_us: (until * 1e6) as u64,
        seed: number(found, "seed", 1.0, (0.0, 1e15), "0 to 10^15")? as u64,
        statement_us: (number(found, "work-ms", 3.0, (0.1, 10_000.0), "0.1 to 10000")? * 1e3) as u64,
        browse_limit_us: browse.map(|ms| (ms * 1e3) as u64),
    };
    let tally = play_recording(&hour, &course)?;
    if found.get_flag("json") {
        println!("{}", tally.to_json());
    } else {
        print!("{}", tally.to_text());
    }
    tally.violations().is_empty().then_some(()).ok_or(MainError::Broken)
}
