//! The command line.
use clap::{Arg, ArgAction, ArgMatches, Command};

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .visible_alias("boot")
        .value_name("FILE")
        .help("Settings file, in place of WINDVALVE_BOOT")
}

fn log() -> Arg {
    Arg::new("log")
        .long("log")
        .value_name("LEVEL")
        .default_value("warn")
        .value_parser(["error", "warn", "info", "debug", "trace"])
        .help("What is written at once; the rest stays in memory until something goes wrong")
}

fn calendar(work: &'static str) -> Arg {
    Arg::new("calendar").long("calendar").value_name("CRON").help(work)
}

fn number(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).value_parser(clap::value_parser!(f64)).help(help)
}

pub fn command() -> Command {
    let access = Command::new("access")
        .about("Serves clients over pooled connections")
        .args([settings(), log(), calendar("When old connections are recycled (six cron fields, UTC); absent: always")])
        .arg(
            Arg::new("ease")
                .long("ease")
                .value_parser(["on", "off"])
                .default_value("on")
                .help("Whether databases that return are eased in"),
        )
        .arg(number("ease-ms", "MS", "How long a returned database is eased in (default 3000)"))
        .arg(number("ease-first", "SHARE", "The share of its capacity offered at first, over 0 to 2 (default 0.5)"));
    let control = Command::new("control").about("Knows databases and nodes, holds the configuration").args([
        settings(),
        log(),
        calendar("When sweeps of repair run at their full pace (six cron fields, UTC)"),
    ]);
    let check = Command::new("check")
        .about("Checks a settings file, an operator's configuration, or what a data folder holds")
        .arg(settings())
        .arg(
            Arg::new("configuration")
                .long("configuration")
                .value_name("FILE")
                .conflicts_with("settings")
                .help("Configuration"),
        )
        .arg(
            Arg::new("data")
                .long("data")
                .value_name("DIR")
                .conflicts_with_all(["settings", "configuration"])
                .help("Data folder of a control node; it is only read"),
        );
    let replay = Command::new("replay")
        .about("Plays a recorded day through the in-memory fleet with the real logic")
        .arg(Arg::new("file").value_name("FILE").required(true).help("The day, or with --from-log a written-out log"))
        .arg(number("until", "S", "Stop at this second of the day"))
        .arg(Arg::new("service").long("service").value_name("NAME").help("Leave out what concerns other services only"))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("The timeline and the summary as JSON"))
        .arg(
            Arg::new("from-log").long("from-log").action(ArgAction::SetTrue).help("Print the day that a log tells of"),
        );
    Command::new("windvalve")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Database pooler with failover")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([access, control, check, replay])
}

pub fn text<'a>(found: &'a ArgMatches, name: &str) -> Option<&'a str> {
    found.get_one::<String>(name).map(String::as_str)
}
