//! Definition of the command line.
use clap::{Arg, ArgAction, ArgMatches, Command};

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .visible_alias("boot")
        .value_name("FILE")
        .help("Settings file; overrides WINDVALVE_BOOT")
}

fn log() -> Arg {
    Arg::new("log")
        .long("log")
        .value_name("LEVEL")
        .default_value("warn")
        .value_parser(["error", "warn", "info", "debug", "trace"])
        .help("Records up to this level are written at once; others are buffered in memory until an error is logged")
}

fn calendar(help: &'static str) -> Arg {
    Arg::new("calendar").long("calendar").value_name("CRON").help(help)
}

fn number(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value_name).value_parser(clap::value_parser!(f64)).help(help)
}

pub fn command() -> Command {
    let access = Command::new("access")
        .about("Serves clients over pooled connections")
        .args([
            settings(),
            log(),
            calendar("When old connections are recycled (six cron fields, UTC; default: always)"),
        ])
        .arg(
            Arg::new("ease")
                .long("ease")
                .value_parser(["on", "off"])
                .default_value("on")
                .help("Whether recovered databases get a slow start"),
        )
        .arg(number("ease-ms", "MS", "Duration of the slow start of a recovered database (default 3000)"))
        .arg(number(
            "record",
            "EVENTS",
            "Record sessions and requests, up to this number of events (default 0: no recording)",
        ))
        .arg(number("ease-first", "SHARE", "Initial share of the capacity during slow start, 0.01 to 2 (default 0.5)"));
    let control = Command::new("control").about("Tracks databases and nodes, and stores the configuration").args([
        settings(),
        log(),
        calendar("When repair sweeps run at full speed (six cron fields, UTC; default: always)"),
    ]);
    let check = Command::new("check")
        .about("Checks a settings file, a configuration or a data directory")
        .arg(settings())
        .arg(
            Arg::new("configuration")
                .long("configuration")
                .value_name("FILE")
                .conflicts_with("settings")
                .help("Configuration file"),
        )
        .arg(
            Arg::new("data")
                .long("data")
                .value_name("DIR")
                .conflicts_with_all(["settings", "configuration"])
                .help("Data directory of a control node; it is not modified"),
        );
    let replay = replay();
    Command::new("windvalve")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Database pooler with failover")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([access, control, check, replay])
}

pub fn text<'a>(args: &'a ArgMatches, name: &str) -> Option<&'a str> {
    args.get_one::<String>(name).map(String::as_str)
}

fn replay() -> Command {
    let file = Arg::new("file").value_name("FILE").num_args(1..).required_unless_present_any(["generate", "hunt"]);
    let repeated = |name: &'static str, value_name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value_name).action(ArgAction::Append).help(help)
    };
    Command::new("replay")
        .about("Replays a day (fault scenario) or an hour (recording) in a simulated fleet with the real logic")
        .arg(
            Arg::new("hunt")
                .long("hunt")
                .value_name("N")
                .value_parser(clap::value_parser!(u64).range(1..=10_000_000))
                .conflicts_with_all(["file", "generate"])
                .help("Run this number of random days with mixed faults; status 1 if a rule is broken"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("FILE")
                .requires("hunt")
                .help("Hunt: output file for the shortest day that breaks a rule (default nemesis.day)"),
        )
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .value_name("N")
                .requires("hunt")
                .value_parser(clap::value_parser!(u64).range(1..=64))
                .help("Hunt: number of threads (default 1)"),
        )
        .arg(file.help("A day, an hour (one merged file or the files of several nodes), or a log with --from-log"))
        .arg(number("until", "S", "Stop at this second"))
        .arg(Arg::new("service").long("service").value_name("NAME").help("Day: skip events of other services"))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print the full report as JSON"))
        .arg(
            Arg::new("from-log")
                .long("from-log")
                .action(ArgAction::SetTrue)
                .help("Print the day reconstructed from a log"),
        )
        .arg(
            Arg::new("merge")
                .long("merge")
                .action(ArgAction::SetTrue)
                .help("Hour: print the files merged into one recording"),
        )
        .arg(repeated("offset", "NODE=S", "Hour: add an offset to the timestamps of a node with a wrong clock"))
        .arg(repeated(
            "drop",
            "NODE@S[:S]",
            "Hour: stop an access node, c0, c1, … or a database, and restart it at the second time",
        ))
        .arg(number("from", "S", "Hour: start at this second, with the sessions open then"))
        .arg(number("seed", "N", "Hour: random seed; hunt: the first seed (default 1)"))
        .arg(number("control", "N", "Hour: number of control nodes (default 3)"))
        .arg(number("work-ms", "MS", "Hour: processing time of a statement at the database (default 3)"))
        .arg(number(
            "browse-ms",
            "MS",
            "Hour: limit of the p99 latency of browse requests (default: the target of the route)",
        ))
        .arg(
            Arg::new("generate")
                .long("generate")
                .value_name("USERS")
                .help("Print a generated hour: couriers or cadastre"),
        )
        .arg(number("nodes", "N", "Generated hour: number of access nodes (default 6)"))
        .arg(number("services", "N", "Generated hour: number of services (default 2)"))
        .arg(number("sessions", "N", "Generated hour: number of sessions (default 200)"))
        .arg(number("seconds", "S", "Generated hour: duration (default 60)"))
        .arg(number("rate", "N", "Generated hour: mean requests per second (default 100)"))
}
