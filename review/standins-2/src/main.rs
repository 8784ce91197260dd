//! `standins-2 CASE BINARY FOLDER RECORD`: plays one case of the review against the project's processes. Exit status: 1 if the
//! rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.
mod day;
mod fleet;
mod flood;
mod http;
mod late;
mod load;
mod multiline;
mod platform;
mod record;
mod wire;
mod world;

use day::{Day, Verdict};
use std::time::Duration;

fn play(args: &[String]) -> Result<Verdict, String> {
    let [case, binary, dir, record] = args else {
        return Err("usage: standins-2 CASE BINARY FOLDER RECORD".to_owned());
    };
    let record = record::Record::create(record).map_err(|error| error.to_string())?;
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    let is_quiet = trouble == "0";
    match case.as_str() {
        "late" => {
            let delay = if is_quiet { Duration::from_millis(20) } else { late::PLATFORM_DELAY };
            let mut day = Day::start(binary, dir, record, delay)?;
            day.start_clients(2)?;
            let verdict = late::run(&mut day, !is_quiet, trouble != "hears");
            day.end();
            Ok(verdict)
        }
        "multiline" => {
            let mut day = Day::start(binary, dir, record, Duration::from_millis(20))?;
            let verdict = multiline::run(&mut day, !is_quiet);
            day.end();
            Ok(verdict)
        }
        "flood" => {
            let mut day = Day::start(binary, dir, record, Duration::from_millis(20))?;
            day.start_clients(2)?;
            let verdict = flood::run(&mut day, !is_quiet);
            day.end();
            Ok(verdict)
        }
        _ => Err(format!("no such case: {case}")),
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let verdict = std::panic::catch_unwind(|| play(&args)).unwrap_or_else(|_| Err("the stand-in failed".to_owned()));
    let status = match verdict {
        Ok(Verdict::Held) => {
            println!("the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            println!("the rule was broken");
            1
        }
        Ok(Verdict::NotRun(text)) | Err(text) => {
            println!("the case could not run: {text}");
            2
        }
    };
    std::process::exit(status);
}
