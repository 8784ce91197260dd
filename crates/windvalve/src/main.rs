//! windvalve: a database pooler with failover. One program; the role is a subcommand.
mod cli;
mod hour;
mod hunt;
mod ring;

use clap::ArgMatches;
use cli::text;

#[derive(thiserror::Error, Debug)]
enum MainError {
    #[error(transparent)]
    Settings(#[from] wv_settings::SettingsError),
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    #[error("configuration {0}: {1}")]
    Conf(String, wv_configuration::ConfigurationError),
    #[error("data folder {0}: {1}")]
    Data(String, wv_consensus::RegisterError),
    #[error("{0}: {1}")]
    Replay(String, wv_replay::ReplayError),
    #[error("{0}: {1}")]
    Nemesis(String, wv_simulation::nemesis::ScheduleError),
    #[error("--out {0}: {1}")]
    Write(String, std::io::Error),
    #[error(transparent)]
    Hour(#[from] wv_replay::HourError),
    #[error("--{0}: {1} is not within {2}")]
    Flag(&'static str, f64, &'static str),
    #[error("--calendar: {0}")]
    When(#[from] wv_calendar::WhenError),
    #[error("a rule was broken")]
    Broken,
    #[error(transparent)]
    Access(#[from] wv_access::AccessError),
    #[error(transparent)]
    Control(#[from] wv_control::ControlError),
    #[error("logging: {0}")]
    Log(#[from] flexi_logger::FlexiLoggerError),
}

impl MainError {
    /// 2 for what the caller wrote, 1 for what went wrong while running.
    fn exit_code(&self) -> u8 {
        match self {
            MainError::Access(_) | MainError::Control(_) | MainError::Log(_) | MainError::Broken => 1,
            _ => 2,
        }
    }
}

pub(crate) fn read(path: &str) -> Result<Vec<u8>, MainError> {
    std::fs::read(path).map_err(|error| MainError::Read(path.to_owned(), error))
}

fn check(found: &ArgMatches) -> Result<(), MainError> {
    if let Some(dir) = text(found, "data") {
        return check_data(dir);
    }
    if let Some(path) = text(found, "configuration") {
        let conf = wv_configuration::Configuration::parse(&read(path)?)
            .map_err(|error| MainError::Conf(path.to_owned(), error))?;
        println!("valid: issue {}, {} routes, {} services", conf.version, conf.routes.len(), conf.services.len());
        conf.tenants.iter().for_each(|tenant| println!("tenant {} of weight {}", tenant.label, tenant.weight));
        conf.partners.iter().for_each(|partner| println!("partner {} with portion {}", partner.label, partner.portion));
        return Ok(());
    }
    let settings = wv_settings::Settings::load(&wv_settings::Settings::resolve_path(text(found, "settings"))?)?;
    println!("valid: node {} in zone {}", settings.node_name, settings.zone);
    Ok(())
}

/// Says what a data folder holds, and changes nothing in it.
fn check_data(dir: &str) -> Result<(), MainError> {
    let named = |error| MainError::Data(dir.to_owned(), error);
    let (state, seat) = wv_consensus::inspect_data_dir(std::path::Path::new(dir)).map_err(named)?;
    println!("disk {:x} of {}", seat.disk, state.addr);
    println!("votes in set {}, newest set {}:", seat.installed_set, seat.voters.number);
    seat.voters.members.iter().for_each(|member| println!("  {} disk {:x}", member.addr, member.disk));
    let shown = state.registers.iter().filter(|(key, _)| !key.starts_with(wv_consensus::LOCAL_KEY_PREFIX));
    for (key, held) in shown {
        println!(
            "{key}: version {}, {} bytes, round {}",
            held.value.version,
            held.value.bytes.len(),
            held.accepted.round
        );
    }
    Ok(())
}

fn replay(found: &ArgMatches) -> Result<(), MainError> {
    if let Some(users) = text(found, "generate") {
        return hour::generate(found, users);
    }
    if let Some(days) = found.get_one::<u64>("hunt").copied() {
        return hunt::run(found, days);
    }
    let paths: Vec<String> = found.get_many::<String>("file").unwrap_or_default().cloned().collect();
    let path = paths.first().map(String::as_str).unwrap_or_default();
    if !found.get_flag("from-log") && hour::is_hour(path)? {
        return hour::run(found, &paths);
    }
    if !found.get_flag("from-log") && hunt::is_day(path)? {
        return hunt::play(found, path);
    }
    let body = String::from_utf8_lossy(&read(path)?).into_owned();
    if found.get_flag("from-log") {
        print!("{}", wv_replay::from_ring(&body));
        return Ok(());
    }
    let until = found.get_one::<f64>("until").copied();
    if let Some(wrong) = until.filter(|until| !(0.0..=86_400.0).contains(until)) {
        return Err(MainError::Flag("until", wrong, "0 to 86400 seconds"));
    }
    let until_us = until.map(|until| (until * 1e6) as u64);
    let report = wv_replay::Day::parse(&body)
        .and_then(|day| wv_replay::play(&day, until_us, text(found, "service")))
        .map_err(|error| MainError::Replay(path.to_owned(), error))?;
    if found.get_flag("json") {
        println!("{}", report.json());
    } else {
        print!("{}", report.text());
    }
    report.is_sound().then_some(()).ok_or(MainError::Broken)
}

fn calendar(found: &ArgMatches) -> Result<wv_calendar::Calendar, MainError> {
    Ok(text(found, "calendar").map(wv_calendar::Calendar::parse).transpose()?.unwrap_or_default())
}

fn access_options(found: &ArgMatches) -> Result<wv_access::Options, MainError> {
    let mut ease = wv_slow_start::Plan { is_on: text(found, "ease") != Some("off"), ..wv_slow_start::Plan::default() };
    if let Some(ms) = found.get_one::<f64>("ease-ms").copied() {
        if !(1.0..=600_000.0).contains(&ms) {
            return Err(MainError::Flag("ease-ms", ms, "1 to 600000"));
        }
        ease.span_us = (ms * 1000.0) as u64;
    }
    if let Some(first) = found.get_one::<f64>("ease-first").copied() {
        if !(0.01..=2.0).contains(&first) {
            return Err(MainError::Flag("ease-first", first, "0.01 to 2"));
        }
        ease.first = first;
    }
    let record = found.get_one::<f64>("record").copied().unwrap_or(0.0);
    if !(0.0..=1e8).contains(&record) {
        return Err(MainError::Flag("record", record, "0 to 100000000 events"));
    }
    Ok(wv_access::Options { ease, calendar: calendar(found)?, record: record as usize })
}

fn load_settings(found: &ArgMatches) -> Result<(wv_settings::Settings, String), MainError> {
    ring::start(text(found, "log").unwrap_or("warn"))?;
    let path = wv_settings::Settings::resolve_path(text(found, "settings"))?;
    Ok((wv_settings::Settings::load(&path)?, path))
}

fn main() -> std::process::ExitCode {
    let found = cli::command().get_matches();
    let result = match found.subcommand() {
        Some(("check", found)) => check(found),
        Some(("replay", found)) => replay(found),
        Some(("access", found)) => access_options(found).and_then(|options| {
            let (settings, path) = load_settings(found)?;
            Ok(wv_access::run(settings, &path, options)?)
        }),
        Some((_, found)) => calendar(found).and_then(|calendar| {
            let (settings, path) = load_settings(found)?;
            Ok(wv_control::run(settings, &path, calendar)?)
        }),
        None => Ok(()),
    };
    result.map_or_else(
        |error| {
            eprintln!("windvalve: {error}");
            std::process::ExitCode::from(error.exit_code())
        },
        |()| std::process::ExitCode::SUCCESS,
    )
}
