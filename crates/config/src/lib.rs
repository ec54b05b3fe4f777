//! Settings of a node and the configuration that operators publish.
//!
//! Both are JSON. The text is first deserialized into a typed value, which is
//! then validated as a whole. Every error names the JSON path.

mod configuration;
mod error;
mod settings;

pub use crate::configuration::{
    Class, Configuration, Limits, Model, PathRule, Policy, Preset, Service, Target, Tier, Workspace,
};
pub use crate::error::{Error, ErrorKind};
pub use crate::settings::{PlatformSettings, Settings};

/// The result of reading settings or a configuration.
pub type Result<T> = std::result::Result<T, Error>;

// Adds the JSON path to serde's errors, which have only line and column.
fn read<'a, T: serde::Deserialize<'a>>(text: &'a str) -> Result<T> {
    let mut de = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut de).map_err(Error::from_json)?;
    de.end().map_err(Error::from_trailing)?;
    Ok(value)
}
