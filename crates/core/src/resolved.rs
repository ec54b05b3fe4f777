//! The validated command line as one value.

use clap::ArgMatches;
#[cfg(feature = "lab")]
use rwd_config::Policy;
use rwd_config::Settings;
use rwd_gateway::GatewaySettings;
#[cfg(feature = "lab")]
use rwd_lab::bench::{BenchSettings, Scenario};
use rwd_types::{PresetName, Revision};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
#[cfg(feature = "lab")]
use std::time::Duration;

use crate::{Error, Result};

/// How a result is printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Format {
    Table,
    Json,
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LogFormat {
    Off,
    Text,
    Json,
    // JSON on standard output; drops lines instead of waiting for a slow reader.
    Bounded,
}

/// The node to which an operator command is sent, and the operator's credentials.
#[derive(Clone, Debug)]
pub(crate) struct AdminEndpoint {
    pub node: SocketAddr,
    pub token: String,
    pub by: String,
}

/// A fake to run.
#[cfg(feature = "lab")]
#[derive(Clone, Debug)]
pub(crate) enum Fake {
    Engine(rwd_lab::fake::EngineSettings),
    Service(rwd_lab::fake::ServiceSettings),
    Log,
    Instances { lag: Duration },
}

/// A validated command.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    Serve {
        settings: Box<Settings>,
        log: LogFormat,
    },
    Gateway {
        settings: Box<GatewaySettings>,
        file: PathBuf,
    },
    Check {
        file: PathBuf,
    },
    Explain {
        request: String,
        files: Vec<PathBuf>,
    },
    Publish {
        to: AdminEndpoint,
        file: PathBuf,
        base: Option<Revision>,
    },
    Preset {
        to: AdminEndpoint,
        name: PresetName,
    },
    Drain {
        to: AdminEndpoint,
        name: String,
        on: bool,
    },
    Status {
        to: AdminEndpoint,
        format: Format,
    },
    #[cfg(feature = "lab")]
    Bench {
        settings: Vec<BenchSettings>,
        format: Format,
        log: LogFormat,
    },
    #[cfg(feature = "lab")]
    Lab {
        fake: Fake,
        listen: SocketAddr,
    },
}

impl Command {
    /// Validates the flags.
    pub fn resolve(matches: &ArgMatches) -> Result<Self> {
        match matches.subcommand() {
            Some(("serve", m)) => Ok(Self::Serve {
                settings: Box::new(Settings::from_file(path(m, "settings"))?),
                log: log_format(m, LogFormat::Text)?,
            }),
            Some(("gateway", m)) => Ok(Self::Gateway {
                settings: Box::new(GatewaySettings::from_file(path(m, "settings"))?),
                file: path(m, "settings").to_owned(),
            }),
            Some(("check", m)) => Ok(Self::Check {
                file: path(m, "file").to_owned(),
            }),
            Some(("explain", m)) => Ok(Self::Explain {
                request: text(m, "request").to_owned(),
                files: m.get_many("files").into_iter().flatten().cloned().collect(),
            }),
            Some(("publish", m)) => Ok(Self::Publish {
                to: admin_endpoint(m)?,
                file: path(m, "file").to_owned(),
                base: m.get_one::<u64>("base").copied().map(Revision),
            }),
            Some(("preset", m)) => Ok(Self::Preset {
                to: admin_endpoint(m)?,
                name: parse(m, "name")?,
            }),
            Some(("drain", m)) => Ok(Self::Drain {
                to: admin_endpoint(m)?,
                name: text(m, "name").to_owned(),
                on: !m.get_flag("undo"),
            }),
            Some(("status", m)) => Ok(Self::Status {
                to: admin_endpoint(m)?,
                format: format(m)?,
            }),
            #[cfg(feature = "lab")]
            Some(("demo", m)) => demo(m),
            #[cfg(feature = "lab")]
            Some(("bench", m)) => bench(m),
            #[cfg(feature = "lab")]
            Some(("lab", m)) => lab(m),
            _ => unreachable!("clap requires a known subcommand"),
        }
    }

    /// The log format of the command.
    pub fn log(&self) -> LogFormat {
        match self {
            Self::Serve { log, .. } => *log,
            Self::Gateway { .. } => LogFormat::Bounded,
            #[cfg(feature = "lab")]
            Self::Bench { log, .. } => *log,
            _ => LogFormat::Off,
        }
    }
}

#[cfg(feature = "lab")]
fn demo(m: &ArgMatches) -> Result<Command> {
    let time = duration(m)?;
    let settings = |workload| BenchSettings {
        scenario: Scenario::Demo,
        workload,
        seed: number(m, "seed"),
        time,
        ..BenchSettings::default()
    };
    Ok(Command::Bench {
        settings: vec![
            settings(rwd_lab::WorkloadName::Neonvalg),
            settings(rwd_lab::WorkloadName::Naidu),
        ],
        format: format(m)?,
        log: log_format(m, LogFormat::Off)?,
    })
}

#[cfg(feature = "lab")]
fn bench(m: &ArgMatches) -> Result<Command> {
    let preset = match m.get_one::<PathBuf>("preset") {
        Some(file) => read_json(file)?,
        None => rwd_config::Preset::default(),
    };
    let settings = BenchSettings {
        scenario: parse(m, "scenario")?,
        policy: policy(m)?,
        workload: parse(m, "workload")?,
        seed: number(m, "seed"),
        time: duration(m)?,
        nodes: m.get_one::<usize>("nodes").copied().unwrap_or(6).max(1),
        preset,
        load: m.get_one::<f64>("load").copied(),
        plot: m.get_one::<PathBuf>("plot").cloned(),
    };
    Ok(Command::Bench {
        settings: vec![settings],
        format: format(m)?,
        log: log_format(m, LogFormat::Off)?,
    })
}

#[cfg(feature = "lab")]
fn lab(m: &ArgMatches) -> Result<Command> {
    use rwd_lab::fake::{EngineSettings, ServiceSettings};
    let Some((kind, m)) = m.subcommand() else {
        unreachable!("clap requires a known subcommand")
    };
    let fake = match kind {
        "engine" => Fake::Engine(EngineSettings {
            name: text(m, "name").to_owned(),
            batch: number(m, "batch") as usize,
            step_ms: number(m, "step-ms") as f64,
            ..EngineSettings::default()
        }),
        "service" => Fake::Service(ServiceSettings {
            name: text(m, "name").to_owned(),
            delay: Duration::from_millis(number(m, "delay-ms")),
        }),
        "log" => Fake::Log,
        _ => Fake::Instances {
            lag: Duration::from_millis(number(m, "lag-ms")),
        },
    };
    let listen = m.get_one::<SocketAddr>("listen").copied();
    let listen = listen.unwrap_or_else(|| unreachable!("clap requires --listen"));
    Ok(Command::Lab { fake, listen })
}

fn admin_endpoint(m: &ArgMatches) -> Result<AdminEndpoint> {
    let node = m.get_one::<SocketAddr>("node").copied();
    let token = match m.get_one::<PathBuf>("token-file") {
        Some(file) => read_file(file)?.trim().to_owned(),
        None => std::env::var("REDWINGDRIFT_TOKEN").unwrap_or_default(),
    };
    if token.is_empty() {
        let message = "no operator token: specify a file or set REDWINGDRIFT_TOKEN".into();
        return Err(Error::Flag {
            flag: "token-file",
            message,
        });
    }
    Ok(AdminEndpoint {
        node: node.unwrap_or_else(|| unreachable!("--node has a default")),
        token,
        by: text(m, "by").to_owned(),
    })
}

fn read_file(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).map_err(|source| Error::File {
        path: file.display().to_string(),
        source,
    })
}

#[cfg(feature = "lab")]
fn read_json<T: serde::de::DeserializeOwned>(file: &Path) -> Result<T> {
    serde_json::from_str(&read_file(file)?).map_err(|e| Error::Flag {
        flag: "preset",
        message: format!("{}: {e}", file.display()),
    })
}

fn path<'a>(m: &'a ArgMatches, name: &str) -> &'a Path {
    let path = m.get_one::<PathBuf>(name);
    path.unwrap_or_else(|| unreachable!("clap requires the argument"))
}

fn text<'a>(m: &'a ArgMatches, name: &str) -> &'a str {
    m.get_one::<String>(name).map_or("", String::as_str)
}

#[cfg(feature = "lab")]
fn number(m: &ArgMatches, name: &str) -> u64 {
    m.get_one::<u64>(name).copied().unwrap_or(0)
}

#[cfg(feature = "lab")]
fn duration(m: &ArgMatches) -> Result<Duration> {
    let seconds = m.get_one::<f64>("seconds").copied().unwrap_or(10.0);
    Duration::try_from_secs_f64(seconds).map_err(|e| Error::Flag {
        flag: "seconds",
        message: e.to_string(),
    })
}

fn parse<T: FromStr>(m: &ArgMatches, name: &'static str) -> Result<T>
where
    T::Err: ToString,
{
    text(m, name).parse().map_err(|e: T::Err| Error::Flag {
        flag: name,
        message: e.to_string(),
    })
}

fn choice<T: Copy>(flag: &'static str, value: &str, choices: &[(&str, T)]) -> Result<T> {
    let found = choices.iter().find(|(name, _)| *name == value);
    found.map(|(_, choice)| *choice).ok_or_else(|| {
        let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
        let message = format!("expected one of {}, found `{value}`", names.join(", "));
        Error::Flag { flag, message }
    })
}

fn format(m: &ArgMatches) -> Result<Format> {
    choice(
        "format",
        text(m, "format"),
        &[("table", Format::Table), ("json", Format::Json)],
    )
}

fn log_format(m: &ArgMatches, default: LogFormat) -> Result<LogFormat> {
    let choices = [
        ("off", LogFormat::Off),
        ("text", LogFormat::Text),
        ("json", LogFormat::Json),
    ];
    match m.get_one::<String>("log") {
        Some(value) => choice("log", value, &choices),
        None => Ok(default),
    }
}

#[cfg(feature = "lab")]
fn policy(m: &ArgMatches) -> Result<Policy> {
    let choices = [
        ("granted", Policy::Granted),
        ("round-robin", Policy::RoundRobin),
        ("least-reported", Policy::LeastReported),
    ];
    choice("policy", text(m, "policy"), &choices)
}
