//! The hunt on the command line: days drawn from seeds, and the first that breaks a rule made short.
use crate::{read, text, MainError};
use clap::ArgMatches;
use std::sync::atomic::{AtomicU64, Ordering};
use wv_replay::{hunt, Hunt, Played};
use wv_simulation::nemesis::Schedule;

/// Progress is told each time so many days are over.
const TELL_EVERY: u64 = 100;

/// Whether the file holds a day of the nemesis: by its first word that is no comment.
pub fn is_day(path: &str) -> Result<bool, MainError> {
    Ok(Schedule::is_schedule(&String::from_utf8_lossy(&read(path)?)))
}

/// Plays a day of the nemesis.
pub fn play(found: &ArgMatches, path: &str) -> Result<(), MainError> {
    let body = String::from_utf8_lossy(&read(path)?).into_owned();
    let day = Schedule::parse(&body).map_err(|error| MainError::Nemesis(path.to_owned(), error))?;
    let played = Played::of(&day);
    if found.get_flag("json") {
        println!("{}", played.json());
    } else {
        print!("{}", played.text());
    }
    played.findings.is_empty().then_some(()).ok_or(MainError::Broken)
}

/// Hunts; the shortest day of the first seed that broke a rule goes into a file.
pub fn run(found: &ArgMatches, days: u64) -> Result<(), MainError> {
    let seed = found.get_one::<f64>("seed").copied().unwrap_or(1.0);
    if !(0.0..=1e15).contains(&seed) || seed.fract() != 0.0 {
        return Err(MainError::Flag("seed", seed, "the whole numbers from 0 to 10^15"));
    }
    let jobs = found.get_one::<u64>("jobs").copied().unwrap_or(1);
    let path = text(found, "out").unwrap_or("nemesis.day");
    // A file that cannot be written is named before the hunt, not after it.
    let folder = std::path::Path::new(path).parent().filter(|folder| !folder.as_os_str().is_empty());
    if let Some(error) = folder.and_then(|folder| std::fs::read_dir(folder).err()) {
        return Err(MainError::Write(path.to_owned(), error));
    }
    let count = AtomicU64::new(0);
    let caught = hunt(&Hunt { days, seed: seed as u64, jobs }, |seed, finding| {
        let over = count.fetch_add(1, Ordering::Relaxed) + 1;
        finding.into_iter().for_each(|found| eprintln!("seed {seed}: {}: {}", found.check, found.text));
        if over.is_multiple_of(TELL_EVERY) || over == days {
            eprintln!("{over} of {days} days played");
        }
    });
    let Some(first) = caught.first() else {
        println!("{days} days from seed {seed} on: no rule broken");
        return Ok(());
    };
    let seeds: Vec<String> = caught.iter().map(|caught| caught.seed.to_string()).collect();
    println!("{days} days from seed {seed} on: {} broke a rule, of the seeds {}", caught.len(), seeds.join(", "));
    eprintln!("the day of seed {} is made short", first.seed);
    let shortest = wv_replay::shortest(first.seed, |day| eprintln!("{} events", day.events.len()));
    std::fs::write(path, shortest.unwrap_or_default()).map_err(|error| MainError::Write(path.to_owned(), error))?;
    println!("the shortest day of seed {} is in {path}: windvalve replay {path}", first.seed);
    Err(MainError::Broken)
}
