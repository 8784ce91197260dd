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
        .arg(number("record", "EVENTS", "Record sessions and arrivals, up to so many events (default 0: nothing)"))
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
    let replay = replay();
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

fn replay() -> Command {
    let file = Arg::new("file").value_name("FILE").num_args(1..).required_unless_present_any(["generate", "hunt"]);
    let many = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).action(ArgAction::Append).help(help)
    };
    Command::new("replay")
        .about("Plays a recorded day or hour through the in-memory fleet with the real logic")
        .arg(
            Arg::new("hunt")
                .long("hunt")
                .value_name("N")
                .value_parser(clap::value_parser!(u64).range(1..=10_000_000))
                .conflicts_with_all(["file", "generate"])
                .help("Play so many days drawn from seeds, mixing any troubles; a broken rule is status 1"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("FILE")
                .requires("hunt")
                .help("Hunt: where the shortest day that breaks a rule goes (default nemesis.day)"),
        )
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .value_name("N")
                .requires("hunt")
                .value_parser(clap::value_parser!(u64).range(1..=64))
                .help("Hunt: threads (default 1)"),
        )
        .arg(file.help("A day, an hour (one merged file, or those of several nodes), or with --from-log a log"))
        .arg(number("until", "S", "Stop at this second"))
        .arg(Arg::new("service").long("service").value_name("NAME").help("Day: leave out what concerns other services"))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("The whole outcome as JSON"))
        .arg(Arg::new("from-log").long("from-log").action(ArgAction::SetTrue).help("Print the day that a log tells of"))
        .arg(Arg::new("merge").long("merge").action(ArgAction::SetTrue).help("Hour: print the files as one recording"))
        .arg(many("offset", "NODE=S", "Hour: add this to the times of a node whose clock is known to be off"))
        .arg(many("drop", "NODE@S[:S]", "Hour: drop an access node, c0 … or a database then, back at the second time"))
        .arg(number("from", "S", "Hour: begin at this second, with the sessions that are open then"))
        .arg(number("seed", "N", "Hour: the seed of what is drawn; hunt: the first seed (default 1)"))
        .arg(number("control", "N", "Hour: control nodes (default 3)"))
        .arg(number("work-ms", "MS", "Hour: how long a statement takes a database (default 3)"))
        .arg(number("browse-ms", "MS", "Hour: what is tolerated of browsing at the 99th (default: the route's aim)"))
        .arg(
            Arg::new("generate")
                .long("generate")
                .value_name("USERS")
                .help("Print a made-up hour: couriers or cadastre"),
        )
        .arg(number("nodes", "N", "Made-up hour: access nodes (default 6)"))
        .arg(number("services", "N", "Made-up hour: services (default 2)"))
        .arg(number("sessions", "N", "Made-up hour: sessions (default 200)"))
        .arg(number("seconds", "S", "Made-up hour: how long (default 60)"))
        .arg(number("rate", "N", "Made-up hour: requests a second in the middle of the wave (default 100)"))
}
