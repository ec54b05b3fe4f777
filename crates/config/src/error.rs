//! Errors of settings files and configurations.

use compact_str::{CompactString, ToCompactString};
use derive_more::{Display, Error};
use rwd_types::Revision;

/// An error and the JSON path at which it occurred.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{path}: {kind}")]
pub struct Error {
    /// The JSON path, such as `targets.e1.class`; `.` is the document itself.
    pub path: CompactString,
    /// The kind of error.
    pub kind: ErrorKind,
}

/// Kinds of errors.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[expect(missing_docs, reason = "each variant's Display text says what it is")]
pub enum ErrorKind {
    #[display("{message}")]
    Json { message: CompactString },
    #[display("must not be empty")]
    Empty,
    #[display("must be at least {least}")]
    TooSmall { least: u64 },
    #[display("must be at most {most}")]
    TooLarge { most: u64 },
    #[display("names the unknown {what} `{name}`")]
    Unknown {
        what: &'static str,
        name: CompactString,
    },
    #[display("is already used by `{other}`")]
    Duplicate { other: CompactString },
    #[display("the preset in force must be one of `presets`")]
    PresetMissing,
    #[display("cannot be read: {message}")]
    Unreadable { message: CompactString },
    #[display("the change does not apply to revision {base}: {message}")]
    Patch {
        base: Revision,
        message: CompactString,
    },
}

impl Error {
    /// Creates an error of `kind` at `path`.
    pub fn new(path: impl ToCompactString, kind: ErrorKind) -> Self {
        Self {
            path: path.to_compact_string(),
            kind,
        }
    }

    pub(crate) fn from_json(e: serde_path_to_error::Error<serde_json::Error>) -> Self {
        Self::new(
            e.path(),
            ErrorKind::Json {
                message: e.inner().to_compact_string(),
            },
        )
    }

    pub(crate) fn from_trailing(e: serde_json::Error) -> Self {
        Self::new(
            ".",
            ErrorKind::Json {
                message: e.to_compact_string(),
            },
        )
    }
}
