//! The flags as they are typed; `resolved` checks what they mean.

use clap::{Arg, ArgAction, Command, value_parser};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The whole command line.
pub(crate) fn app() -> Command {
    let app = Command::new("redwingdrift")
        .about("Schedules requests for unlike model engines and plain services")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve())
        .subcommand(gateway())
        .subcommand(check())
        .subcommand(publish())
        .subcommand(preset())
        .subcommand(drain())
        .subcommand(status());
    match cfg!(feature = "lab") {
        true => app.subcommand(demo()).subcommand(bench()).subcommand(lab()),
        false => app,
    }
}

fn serve() -> Command {
    Command::new("serve")
        .about("Runs a node; SIGTERM is a planned stop")
        .arg(
            file("settings", "The node's settings (JSON)")
                .long("settings")
                .required(true),
        )
        .arg(log_format())
}

fn gateway() -> Command {
    Command::new("gateway")
        .about("Runs a node on the users' platform; SIGTERM is a planned stop")
        .arg(
            file("settings", "The node's settings (JSON)")
                .long("settings")
                .required(true),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Checks a settings file or a configuration and names the JSON path of an error")
        .arg(file("file", "The file to check").required(true))
}

fn publish() -> Command {
    to_node(Command::new("publish"))
        .about("Publishes a configuration; prints the revision, or who won the race")
        .arg(file("file", "The configuration (JSON)").required(true))
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("REVISION")
                .help("The revision that the file was made on; without it the one in force")
                .value_parser(value_parser!(u64)),
        )
}

fn preset() -> Command {
    to_node(Command::new("preset"))
        .about("Puts a preset in force: ordinary, peak or maintenance")
        .arg(Arg::new("name").required(true))
}

fn drain() -> Command {
    to_node(Command::new("drain"))
        .about("Marks a node or a target for a planned stop")
        .arg(Arg::new("name").required(true))
        .arg(
            Arg::new("undo")
                .long("undo")
                .help("Takes the mark back")
                .action(ArgAction::SetTrue),
        )
}

fn status() -> Command {
    to_node(Command::new("status"))
        .about("Shows nodes, targets, queues by tier, the revision in force and drains")
        .arg(format())
}

fn demo() -> Command {
    Command::new("demo")
        .about(
            "Runs stand-ins and 6 nodes in this process and sends both users' mixes through them",
        )
        .arg(seed())
        .arg(seconds("10"))
        .arg(format())
        .arg(log_format())
}

fn bench() -> Command {
    Command::new("bench")
        .about("Runs an experiment")
        .arg(
            Arg::new("scenario").long("scenario").required(true).help(
                "ordinary, month-end, straggler, fairness, drain, faults, slopes or one-node",
            ),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .default_value("granted")
                .help("granted, round-robin or least-reported"),
        )
        .arg(
            Arg::new("workload")
                .long("workload")
                .default_value("neonvalg")
                .help("neonvalg or naidu"),
        )
        .arg(seed())
        .arg(seconds("20"))
        .arg(
            Arg::new("nodes")
                .long("nodes")
                .default_value("6")
                .value_parser(value_parser!(usize)),
        )
        .arg(
            Arg::new("load")
                .long("load")
                .help("Multiple of what the targets can carry, instead of the scenario's own")
                .value_parser(value_parser!(f64)),
        )
        .arg(file("preset", "A preset (JSON) in place of the default one").long("preset"))
        .arg(
            file(
                "plot",
                "Where to write a plot (SVG), for scenarios that have one",
            )
            .long("plot"),
        )
        .arg(format())
        .arg(log_format())
}

fn lab() -> Command {
    let fake = |name: &'static str, about: &'static str| {
        Command::new(name).about(about).arg(
            Arg::new("listen")
                .long("listen")
                .required(true)
                .value_name("ADDR")
                .value_parser(value_parser!(SocketAddr)),
        )
    };
    let name = || Arg::new("name").long("name").default_value("target");
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .help(help)
            .value_parser(value_parser!(u64))
    };
    Command::new("lab")
        .about("Runs one stand-in as a process of its own; faults are set over HTTP")
        .subcommand_required(true)
        .subcommand(
            fake("engine", "A model engine")
                .arg(name())
                .arg(number("batch", "16", "Requests in a batch"))
                .arg(number("step-ms", "15", "Milliseconds of a step")),
        )
        .subcommand(fake("service", "A plain service").arg(name()).arg(number(
            "delay-ms",
            "5",
            "Milliseconds of a call",
        )))
        .subcommand(fake("log", "The platform's log"))
        .subcommand(
            fake("instances", "The platform's instance list").arg(number(
                "lag-ms",
                "300",
                "Milliseconds until a change shows",
            )),
        )
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .help(help)
        .value_parser(value_parser!(PathBuf))
}

fn seed() -> Arg {
    Arg::new("seed")
        .long("seed")
        .default_value("1")
        .value_parser(value_parser!(u64))
}

fn seconds(default: &'static str) -> Arg {
    Arg::new("seconds")
        .long("seconds")
        .default_value(default)
        .value_parser(value_parser!(f64))
}

fn format() -> Arg {
    Arg::new("format")
        .long("format")
        .default_value("table")
        .help("table or json")
}

fn log_format() -> Arg {
    Arg::new("log")
        .long("log")
        .help("Log lines on standard error: off, text or json")
}

fn to_node(command: Command) -> Command {
    command
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("ADDR")
                .default_value("127.0.0.1:7001")
                .help("Where a node listens for callers")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .value_name("FILE")
                .help("Holds the operator token; without it, REDWINGDRIFT_TOKEN does")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("by")
                .long("by")
                .default_value("operator")
                .help("Who publishes, as others will see it"),
        )
}
