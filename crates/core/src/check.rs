//! Validates a settings or configuration file offline.

use rwd_config::{Configuration, Settings};
use std::path::Path;
use std::process::ExitCode;

use crate::{Error, Result};

/// Fields that occur in a configuration but not in settings.
const CONFIGURATION_FIELDS: [&str; 4] = ["tiers", "presets", "workspaces", "targets"];

/// Validates a file with fields of a configuration as such, and any other file as settings.
pub(crate) fn run(file: &Path) -> Result<ExitCode> {
    let text = std::fs::read_to_string(file).map_err(|source| Error::File {
        path: file.display().to_string(),
        source,
    })?;
    let value: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let result = match CONFIGURATION_FIELDS.iter().any(|f| value.get(f).is_some()) {
        true => Configuration::from_json(&text).map(|_| "configuration"),
        false => Settings::from_json(&text).map(|_| "settings"),
    };
    match result {
        Ok(kind) => {
            println!("{}: good {kind}", file.display());
            Ok(ExitCode::SUCCESS)
        }
        Err(e) => {
            eprintln!("{}: {e}", file.display());
            Ok(ExitCode::from(crate::EXIT_BAD_INPUT))
        }
    }
}
