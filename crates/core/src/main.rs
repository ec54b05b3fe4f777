//! `redwingdrift`: a request scheduler for heterogeneous model engines and services.
//!
//! The binary only parses flags, sets up logging and calls the libraries.

mod check;
mod error;
mod explain;
mod flags;
mod gateway;
#[cfg(feature = "lab")]
mod lab;
mod log_writer;
mod logging;
mod operate;
mod resolved;
mod serve;

use std::process::ExitCode;
use tokio::runtime::Builder;

use crate::error::{Error, Result};
use crate::resolved::Command;

/// Exit status for invalid input.
const EXIT_BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    let matches = flags::app().get_matches();
    let result = resolved::Command::resolve(&matches).and_then(run);
    match result {
        Ok(code) => code,
        Err(e) => {
            eprintln!("redwingdrift: {e}");
            match e {
                Error::Flag { .. } | Error::Config(_) | Error::Settings(_) => {
                    ExitCode::from(EXIT_BAD_INPUT)
                }
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn run(command: Command) -> Result<ExitCode> {
    let logger = logging::start(command.log())?;
    let result = execute(command);
    if let Some(logger) = logger {
        logger.shutdown();
    }
    result
}

fn execute(command: Command) -> Result<ExitCode> {
    let mut builder = match command {
        // Gateway machines have less than one core, so more threads would only cost memory.
        Command::Gateway { .. } => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    let runtime = builder.enable_all().build().map_err(Error::Runtime)?;
    runtime.block_on(async {
        match command {
            Command::Serve { settings, .. } => serve::run(*settings).await,
            Command::Gateway { settings, file } => gateway::run(*settings, file).await,
            Command::Check { file } => check::run(&file),
            Command::Explain { request, files } => explain::run(&request, &files),
            Command::Publish { to, file, base } => operate::publish(&to, &file, base).await,
            Command::Preset { to, name } => operate::preset(&to, name).await,
            Command::Drain { to, name, on } => operate::drain(&to, name, on).await,
            Command::Status { to, format } => operate::status(&to, format).await,
            #[cfg(feature = "lab")]
            Command::Bench {
                settings, format, ..
            } => lab::bench(&settings, format).await,
            #[cfg(feature = "lab")]
            Command::Lab { fake, listen } => lab::fake(fake, listen).await,
        }
    })
}
