//! The `replay` subcommand for random fault scenarios: runs them from seeds, shrinks the first failing one, and replays
//! scenario files.
use crate::{read, text, MainError};
use clap::ArgMatches;
use std::sync::atomic::{AtomicU64, Ordering};
use wv_replay::{search_seeds, NemesisRun, SeedSearch};
use wv_simulation::nemesis::Schedule;

/// Number of scenarios between two progress lines.
const PROGRESS_INTERVAL: u64 = 100;

/// Whether the file holds a fault scenario, determined by its first word outside of comments.
pub fn is_scenario(path: &str) -> Result<bool, MainError> {
    Ok(Schedule::is_schedule(&String::from_utf8_lossy(&read(path)?)))
}

/// Replays a fault scenario.
pub fn play(args: &ArgMatches, path: &str) -> Result<(), MainError> {
    let body = String::from_utf8_lossy(&read(path)?).into_owned();
    let schedule = Schedule::parse(&body).map_err(|error| MainError::Scenario(path.to_owned(), error))?;
    let outcome = NemesisRun::play(&schedule);
    if args.get_flag("json") {
        println!("{}", outcome.to_json());
    } else {
        print!("{}", outcome.to_text());
    }
    outcome.findings.is_empty().then_some(()).ok_or(MainError::RuleViolation)
}

/// Runs random scenarios and writes the shrunk scenario of the first failing seed to a file.
pub fn run(args: &ArgMatches, count: u64) -> Result<(), MainError> {
    let seed = args.get_one::<f64>("seed").copied().unwrap_or(1.0);
    if !(0.0..=1e15).contains(&seed) || seed.fract() != 0.0 {
        return Err(MainError::OutOfRange("seed", seed, "the integers from 0 to 10^15"));
    }
    let jobs = args.get_one::<u64>("jobs").copied().unwrap_or(1);
    let path = text(args, "out").unwrap_or("nemesis.day");
    // Detects a missing output directory before the run instead of after it.
    let directory = std::path::Path::new(path).parent().filter(|directory| !directory.as_os_str().is_empty());
    if let Some(error) = directory.and_then(|directory| std::fs::read_dir(directory).err()) {
        return Err(MainError::Write(path.to_owned(), error));
    }
    let done_count = AtomicU64::new(0);
    let failures = search_seeds(&SeedSearch { count, first_seed: seed as u64, threads: jobs }, |seed, finding| {
        let done = done_count.fetch_add(1, Ordering::Relaxed) + 1;
        finding.into_iter().for_each(|finding| eprintln!("seed {seed}: {}: {}", finding.check, finding.text));
        if done.is_multiple_of(PROGRESS_INTERVAL) || done == count {
            eprintln!("{done} of {count} days done");
        }
    });
    let Some(first) = failures.first() else {
        println!("{count} days from seed {seed} on: no rule broken");
        return Ok(());
    };
    let seeds: Vec<String> = failures.iter().map(|failure| failure.seed.to_string()).collect();
    println!("{count} days from seed {seed} on: {} broke a rule, of the seeds {}", failures.len(), seeds.join(", "));
    eprintln!("shrinking the day of seed {}", first.seed);
    let shortest = wv_replay::minimize_seed(first.seed, |schedule| eprintln!("{} events", schedule.events.len()));
    std::fs::write(path, shortest.unwrap_or_default()).map_err(|error| MainError::Write(path.to_owned(), error))?;
    println!("the shortest day of seed {} is in {path}: windvalve replay {path}", first.seed);
    Err(MainError::RuleViolation)
}
