//! The `replay` subcommand for recordings: generates, merges and replays them.
use crate::{read, MainError};
use clap::ArgMatches;
use std::collections::BTreeMap;
use wv_replay::{
    generate_recording, play_recording, GeneratorOptions, NodeDrop, PlaybackOptions, Recording, RecordingError,
};

fn number(
    args: &ArgMatches,
    name: &'static str,
    default: f64,
    range: (f64, f64),
    range_text: &'static str,
) -> Result<f64, MainError> {
    let value = args.get_one::<f64>(name).copied().unwrap_or(default);
    (range.0..=range.1).contains(&value).then_some(value).ok_or(MainError::OutOfRange(name, value, range_text))
}

fn load(path: &str) -> Result<Recording, MainError> {
    let body = read(path)?;
    let body = String::from_utf8(body).map_err(|_| {
        MainError::Recording(RecordingError::NotARecording(path.to_owned(), "not valid UTF-8".to_owned()))
    })?;
    Ok(Recording::parse(path, &body)?)
}

/// Whether the file is a recording rather than a scenario, determined by its first word.
pub fn is_recording(path: &str) -> Result<bool, MainError> {
    Ok(read(path)?.starts_with(b"recording"))
}

pub fn generate(args: &ArgMatches, users: &str) -> Result<(), MainError> {
    let options = GeneratorOptions {
        profile: users.to_owned(),
        nodes: number(args, "nodes", 6.0, (1.0, 2000.0), "1 to 2000")? as usize,
        services: number(args, "services", 2.0, (1.0, 2000.0), "1 to 2000")? as usize,
        sessions: number(args, "sessions", 200.0, (1.0, 1e6), "1 to 1000000")? as usize,
        seconds: number(args, "seconds", 60.0, (2.0, 86_400.0), "2 to 86400 seconds")? as u64,
        requests_per_s: number(args, "rate", 100.0, (0.1, 1e5), "0.1 to 100000 a second")?,
        seed: number(args, "seed", 1.0, (0.0, 1e15), "0 to 10^15")? as u64,
    };
    print!("{}", generate_recording(&options)?.to_text());
    Ok(())
}

/// `--offset NODE=SECONDS`: corrections of the clocks of nodes, in microseconds.
fn clock_offsets(args: &ArgMatches) -> Result<BTreeMap<String, i64>, MainError> {
    let all = args.get_many::<String>("offset").unwrap_or_default();
    let parse = |text: &String| {
        let pair = text.split_once('=').and_then(|(node, seconds)| Some((node, seconds.parse::<f64>().ok()?)));
        let invalid =
            || MainError::Recording(RecordingError::Invalid(format!("--offset {text}: expected NODE=SECONDS")));
        pair.map(|(node, seconds)| (node.to_owned(), (seconds * 1e6) as i64)).ok_or_else(invalid)
    };
    all.map(parse).collect()
}

fn load_merged(args: &ArgMatches, paths: &[String]) -> Result<Recording, MainError> {
    let parts: Vec<(String, Recording)> =
        paths.iter().map(|path| Ok((path.clone(), load(path)?))).collect::<Result<_, MainError>>()?;
    let is_merged = parts.len() == 1 && parts[0].1.header.contains_key("nodes");
    match parts.into_iter().next().filter(|_| is_merged) {
        Some((_, recording)) => Ok(recording),
        None => {
            let parts: Vec<(String, Recording)> =
                paths.iter().map(|path| Ok((path.clone(), load(path)?))).collect::<Result<_, MainError>>()?;
            Ok(Recording::merge(&parts, &clock_offsets(args)?)?)
        }
    }
}

pub fn run(args: &ArgMatches, paths: &[String]) -> Result<(), MainError> {
    let recording = load_merged(args, paths)?;
    if args.get_flag("merge") {
        print!("{}", recording.to_text());
        return Ok(());
    }
    let drops: Result<Vec<NodeDrop>, RecordingError> =
        args.get_many::<String>("drop").unwrap_or_default().map(|text| text.parse()).collect();
    let from = number(args, "from", 0.0, (0.0, 1e6), "0 to 1000000 seconds")?;
    let until = number(args, "until", 1e6, (0.0, 1e6), "0 to 1000000 seconds")?;
    if until <= from {
        return Err(MainError::OutOfRange("until", until, "the times after --from"));
    }
    let browse = args.get_one::<f64>("browse-ms").copied();
    let options = PlaybackOptions {
        drops: drops?,
        control_nodes: number(args, "control", 3.0, (1.0, 99.0), "1 to 99")? as usize,
        from_us: (from * 1e6) as u64,
        until_us: (until * 1e6) as u64,
        seed: number(args, "seed", 1.0, (0.0, 1e15), "0 to 10^15")? as u64,
        statement_us: (number(args, "work-ms", 3.0, (0.1, 10_000.0), "0.1 to 10000")? * 1e3) as u64,
        browse_limit_us: browse.map(|ms| (ms * 1e3) as u64),
    };
    let report = play_recording(&recording, &options)?;
    if args.get_flag("json") {
        println!("{}", report.to_json());
    } else {
        print!("{}", report.to_text());
    }
    report.violations().is_empty().then_some(()).ok_or(MainError::RuleViolation)
}
