//! Definition of the command line; `resolved` validates the values.

use clap::{Arg, ArgAction, Command, value_parser};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Builds the parser of the command line.
pub(crate) fn app() -> Command {
    let app = Command::new("redwingdrift")
        .about("Schedules requests for heterogeneous model engines and services")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve())
        .subcommand(gateway())
        .subcommand(check())
        .subcommand(explain())
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
        .about("Runs a node; SIGTERM shuts it down gracefully")
        .arg(
            file("settings", "The node's settings (JSON)")
                .long("settings")
                .required(true),
        )
        .arg(log_format())
}

fn gateway() -> Command {
    Command::new("gateway")
        .about("Runs a node on the users' platform; SIGTERM shuts it down gracefully")
        .arg(
            file("settings", "The node's settings (JSON)")
                .long("settings")
                .required(true),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Checks a settings file or a configuration and reports the JSON path of an error")
        .arg(file("file", "The file to check").required(true))
}

fn explain() -> Command {
    Command::new("explain")
        .about("Prints what the logs of gateway nodes say about one request, in order of time")
        .arg(
            Arg::new("request")
                .long("request")
                .value_name("ID")
                .required(true)
                .help("The request's id"),
        )
        .arg(
            file(
                "files",
                "Logs of the nodes; their names stand in front of the lines",
            )
            .required(true)
            .num_args(1..),
        )
}

fn publish() -> Command {
    with_node_args(Command::new("publish"))
        .about("Publishes a configuration; prints its revision, or who published first")
        .arg(file("file", "The configuration (JSON)").required(true))
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("REVISION")
                .help("Revision that the file is based on; defaults to the active one")
                .value_parser(value_parser!(u64)),
        )
}

fn preset() -> Command {
    with_node_args(Command::new("preset"))
        .about("Activates a preset: ordinary, peak or maintenance")
        .arg(Arg::new("name").required(true))
}

fn drain() -> Command {
    with_node_args(Command::new("drain"))
        .about("Drains a node or a target")
        .arg(Arg::new("name").required(true))
        .arg(
            Arg::new("undo")
                .long("undo")
                .help("Ends the drain")
                .action(ArgAction::SetTrue),
        )
}

fn status() -> Command {
    with_node_args(Command::new("status"))
        .about("Shows nodes, targets, queues by tier, the active revision and drains")
        .arg(format())
}

fn demo() -> Command {
    Command::new("demo")
        .about("Runs fakes and 6 nodes in this process and sends both workloads through them")
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
                .help("Load as a multiple of the targets' capacity; defaults to the scenario's")
                .value_parser(value_parser!(f64)),
        )
        .arg(file("preset", "Preset (JSON) to use instead of the default one").long("preset"))
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
        .about("Runs one fake as a process of its own; faults are injected over HTTP")
        .subcommand_required(true)
        .subcommand(
            fake("engine", "A model engine")
                .arg(name())
                .arg(number("batch", "16", "Requests in a batch"))
                .arg(number(
                    "step-ms",
                    "15",
                    "Duration of a step in milliseconds",
                )),
        )
        .subcommand(fake("service", "A service").arg(name()).arg(number(
            "delay-ms",
            "5",
            "Duration of a call in milliseconds",
        )))
        .subcommand(fake("log", "The platform's log"))
        .subcommand(
            fake("instances", "The platform's instance list").arg(number(
                "lag-ms",
                "300",
                "Milliseconds until a change is visible",
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

fn with_node_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("node")
                .long("node")
                .value_name("ADDR")
                .default_value("127.0.0.1:7001")
                .help("Address on which a node listens for callers")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .value_name("FILE")
                .help("File with the operator token; defaults to REDWINGDRIFT_TOKEN")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("by")
                .long("by")
                .default_value("operator")
                .help("Publisher's name, as recorded with the change"),
        )
}
