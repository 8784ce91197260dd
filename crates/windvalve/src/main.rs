//! windvalve: a database pooler with failover. One program; the role is a subcommand.
mod ring;

use clap::{Arg, Command};

#[derive(thiserror::Error, Debug)]
enum MainError {
    #[error(transparent)]
    Boot(#[from] wv_boot::BootError),
    #[error("configuration {0}: {1}")]
    Read(String, std::io::Error),
    #[error("configuration {0}: {1}")]
    Conf(String, wv_conf::ConfError),
    #[error(transparent)]
    Access(#[from] wv_access::AccessError),
    #[error(transparent)]
    Control(#[from] wv_control::ControlError),
    #[error("logging: {0}")]
    Log(#[from] flexi_logger::FlexiLoggerError),
}

impl MainError {
    /// 2 for what the operator wrote, 1 for what went wrong while running.
    fn exit_code(&self) -> u8 {
        match self {
            MainError::Boot(_) | MainError::Read(..) | MainError::Conf(..) => 2,
            _ => 1,
        }
    }
}

fn command() -> Command {
    let boot = || Arg::new("boot").long("boot").value_name("FILE").help("Boot file, in place of WINDVALVE_BOOT");
    let log = || {
        Arg::new("log")
            .long("log")
            .value_name("LEVEL")
            .default_value("warn")
            .value_parser(["error", "warn", "info", "debug", "trace"])
            .help("What is written at once; the rest stays in memory until something goes wrong")
    };
    Command::new("windvalve")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Database pooler with failover")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("access").about("Serves clients over pooled connections").arg(boot()).arg(log()))
        .subcommand(
            Command::new("control").about("Knows databases and nodes, holds the configuration").arg(boot()).arg(log()),
        )
        .subcommand(
            Command::new("check")
                .about("Checks a boot file or an operator's configuration")
                .arg(boot())
                .arg(Arg::new("configuration").long("configuration").value_name("FILE").conflicts_with("boot")),
        )
}

fn check(found: &clap::ArgMatches) -> Result<(), MainError> {
    if let Some(path) = found.get_one::<String>("configuration") {
        let body = std::fs::read(path).map_err(|error| MainError::Read(path.clone(), error))?;
        let conf = wv_conf::Conf::parse(&body).map_err(|error| MainError::Conf(path.clone(), error))?;
        println!("valid: issue {}, {} routes, {} services", conf.sequence, conf.lanes.len(), conf.services.len());
        return Ok(());
    }
    let path = wv_boot::Boot::path(found.get_one::<String>("boot").map(String::as_str))?;
    let boot = wv_boot::Boot::load(&path)?;
    println!("valid: node {} in zone {}", boot.node, boot.zone);
    Ok(())
}

fn serve(role: &str, found: &clap::ArgMatches) -> Result<(), MainError> {
    ring::start(found.get_one::<String>("log").map_or("warn", String::as_str))?;
    let path = wv_boot::Boot::path(found.get_one::<String>("boot").map(String::as_str))?;
    let boot = wv_boot::Boot::load(&path)?;
    if role == "access" {
        wv_access::run(boot, &path)?;
    } else {
        wv_control::run(boot, &path)?;
    }
    Ok(())
}

fn main() -> std::process::ExitCode {
    let found = command().get_matches();
    let result = match found.subcommand() {
        Some(("check", found)) => check(found),
        Some((role, found)) => serve(role, found),
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
