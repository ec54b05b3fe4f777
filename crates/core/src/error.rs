//! Errors of the commands.

use derive_more::{Display, Error, From};

/// A failed command.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Error {
    /// A flag has an invalid value.
    #[display("--{flag}: {message}")]
    #[from(skip)]
    Flag { flag: &'static str, message: String },
    /// A settings file or a configuration is invalid.
    #[display("{_0}")]
    Config(rwd_config::Error),
    /// The settings of a gateway node are invalid.
    #[display("{_0}")]
    Settings(rwd_gateway::SettingsError),
    /// A gateway node cannot start.
    #[display("{_0}")]
    Gateway(rwd_gateway::NodeError),
    /// A file cannot be read.
    #[display("{path}: {source}")]
    #[from(skip)]
    File {
        path: String,
        source: std::io::Error,
    },
    /// The runtime cannot start.
    #[display("cannot start: {_0}")]
    #[from(skip)]
    Runtime(std::io::Error),
    /// Logging cannot be set up.
    #[display("cannot set up logging: {_0}")]
    Logger(flexi_logger::FlexiLoggerError),
    /// A node cannot start.
    #[display("{_0}")]
    Node(rwd_node::Error),
    /// A node cannot be reached.
    #[display("cannot reach the node: {_0}")]
    Unreachable(rwd_edge::Error),
    /// A node rejected an operator's request.
    #[display("{message}")]
    #[from(skip)]
    Refused { message: String },
    /// An experiment or a fake failed.
    #[cfg(feature = "lab")]
    #[display("{_0}")]
    Lab(rwd_lab::Error),
    /// A report cannot be written.
    #[display("cannot write the report: {_0}")]
    Json(serde_json::Error),
}

/// The result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;
