//! windvalve, a database pooler with failover. The subcommand selects the role of the process.
mod cli;
mod fuzz;
mod log_buffer;
mod recording;

use clap::ArgMatches;
use cli::text;

#[derive(thiserror::Error, Debug)]
enum MainError {
    #[error(transparent)]
    Settings(#[from] wv_settings::SettingsError),
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    #[error("configuration {0}: {1}")]
    Configuration(String, wv_configuration::ConfigurationError),
    #[error("data directory {0}: {1}")]
    DataDir(String, wv_consensus::RegisterError),
    #[error("{0}: {1}")]
    Replay(String, wv_replay::ReplayError),
    #[error("{0}: {1}")]
    Scenario(String, wv_simulation::nemesis::ScheduleError),
    #[error("--out {0}: {1}")]
    Write(String, std::io::Error),
    #[error(transparent)]
    Recording(#[from] wv_replay::RecordingError),
    #[error("--{0}: {1} is not within {2}")]
    OutOfRange(&'static str, f64, &'static str),
    #[error("--calendar: {0}")]
    Calendar(#[from] wv_calendar::CalendarError),
    #[error("a rule was broken")]
    RuleViolation,
    #[error(transparent)]
    Access(#[from] wv_access::AccessError),
    #[error(transparent)]
    Control(#[from] wv_control::ControlError),
    #[error("logging: {0}")]
    Log(#[from] flexi_logger::FlexiLoggerError),
}

impl MainError {
    /// 2 for invalid arguments or files, 1 for failures at run time and rule violations.
    fn exit_code(&self) -> u8 {
        match self {
            MainError::Access(_) | MainError::Control(_) | MainError::Log(_) | MainError::RuleViolation => 1,
            _ => 2,
        }
    }
}

pub(crate) fn read(path: &str) -> Result<Vec<u8>, MainError> {
    std::fs::read(path).map_err(|error| MainError::Read(path.to_owned(), error))
}

fn check(args: &ArgMatches) -> Result<(), MainError> {
    if let Some(dir) = text(args, "data") {
        return check_data(dir);
    }
    if let Some(path) = text(args, "configuration") {
        let configuration = wv_configuration::Configuration::parse(&read(path)?)
            .map_err(|error| MainError::Configuration(path.to_owned(), error))?;
        println!(
            "valid: issue {}, {} routes, {} services",
            configuration.version,
            configuration.routes.len(),
            configuration.services.len()
        );
        configuration.tenants.iter().for_each(|tenant| println!("tenant {} of weight {}", tenant.label, tenant.weight));
        configuration
            .partners
            .iter()
            .for_each(|partner| println!("partner {} with portion {}", partner.label, partner.portion));
        return Ok(());
    }
    let settings = wv_settings::Settings::load(&wv_settings::Settings::resolve_path(text(args, "settings"))?)?;
    println!("valid: node {} in zone {}", settings.node_name, settings.zone);
    Ok(())
}

/// Prints the contents of a data directory without modifying it.
fn check_data(dir: &str) -> Result<(), MainError> {
    let to_error = |error| MainError::DataDir(dir.to_owned(), error);
    let (state, voter) = wv_consensus::inspect_data_dir(std::path::Path::new(dir)).map_err(to_error)?;
    println!("disk {:x} of {}", voter.disk, state.addr);
    println!("votes in set {}, newest set {}:", voter.installed_set, voter.voters.number);
    voter.voters.members.iter().for_each(|member| println!("  {} disk {:x}", member.addr, member.disk));
    let replicated = state.registers.iter().filter(|(key, _)| !key.starts_with(wv_consensus::LOCAL_KEY_PREFIX));
    for (key, register) in replicated {
        println!(
            "{key}: version {}, {} bytes, round {}",
            register.value.version,
            register.value.bytes.len(),
            register.accepted.round
        );
    }
    Ok(())
}

fn replay(args: &ArgMatches) -> Result<(), MainError> {
    if let Some(users) = text(args, "generate") {
        return recording::generate(args, users);
    }
    if let Some(days) = args.get_one::<u64>("hunt").copied() {
        return fuzz::run(args, days);
    }
    let paths: Vec<String> = args.get_many::<String>("file").unwrap_or_default().cloned().collect();
    let path = paths.first().map(String::as_str).unwrap_or_default();
    if !args.get_flag("from-log") && recording::is_recording(path)? {
        return recording::run(args, &paths);
    }
    if !args.get_flag("from-log") && fuzz::is_scenario(path)? {
        return fuzz::play(args, path);
    }
    let body = String::from_utf8_lossy(&read(path)?).into_owned();
    if args.get_flag("from-log") {
        print!("{}", wv_replay::scenario_from_log(&body));
        return Ok(());
    }
    let until = args.get_one::<f64>("until").copied();
    if let Some(invalid) = until.filter(|until| !(0.0..=86_400.0).contains(until)) {
        return Err(MainError::OutOfRange("until", invalid, "0 to 86400 seconds"));
    }
    let until_us = until.map(|until| (until * 1e6) as u64);
    let report = wv_replay::Scenario::parse(&body)
        .and_then(|scenario| wv_replay::play_scenario(&scenario, until_us, text(args, "service")))
        .map_err(|error| MainError::Replay(path.to_owned(), error))?;
    if args.get_flag("json") {
        println!("{}", report.to_json());
    } else {
        print!("{}", report.to_text());
    }
    report.is_ok().then_some(()).ok_or(MainError::RuleViolation)
}

fn calendar(args: &ArgMatches) -> Result<wv_calendar::Calendar, MainError> {
    Ok(text(args, "calendar").map(wv_calendar::Calendar::parse).transpose()?.unwrap_or_default())
}

fn access_options(args: &ArgMatches) -> Result<wv_access::Options, MainError> {
    let mut slow_start = wv_slow_start::SlowStartConfig {
        is_enabled: text(args, "ease") != Some("off"),
        ..wv_slow_start::SlowStartConfig::default()
    };
    if let Some(ms) = args.get_one::<f64>("ease-ms").copied() {
        if !(1.0..=600_000.0).contains(&ms) {
            return Err(MainError::OutOfRange("ease-ms", ms, "1 to 600000"));
        }
        slow_start.duration_us = (ms * 1000.0) as u64;
    }
    if let Some(initial_share) = args.get_one::<f64>("ease-first").copied() {
        if !(0.01..=2.0).contains(&initial_share) {
            return Err(MainError::OutOfRange("ease-first", initial_share, "0.01 to 2"));
        }
        slow_start.initial_share = initial_share;
    }
    let record = args.get_one::<f64>("record").copied().unwrap_or(0.0);
    if !(0.0..=1e8).contains(&record) {
        return Err(MainError::OutOfRange("record", record, "0 to 100000000 events"));
    }
    Ok(wv_access::Options { slow_start, calendar: calendar(args)?, record_events: record as usize })
}

fn load_settings(args: &ArgMatches) -> Result<(wv_settings::Settings, String), MainError> {
    log_buffer::start(text(args, "log").unwrap_or("warn"))?;
    let path = wv_settings::Settings::resolve_path(text(args, "settings"))?;
    Ok((wv_settings::Settings::load(&path)?, path))
}

fn main() -> std::process::ExitCode {
    let matches = cli::command().get_matches();
    let result = match matches.subcommand() {
        Some(("check", args)) => check(args),
        Some(("replay", args)) => replay(args),
        Some(("access", args)) => access_options(args).and_then(|options| {
            let (settings, path) = load_settings(args)?;
            Ok(wv_access::run(settings, &path, options)?)
        }),
        Some((_, args)) => calendar(args).and_then(|calendar| {
            let (settings, path) = load_settings(args)?;
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
