//! Replicates the published configuration and enforces workspace limits.
//!
//! Concurrent publications are ordered by the platform's log, so all nodes
//! accept or reject the same changes without coordinating.

mod follower;
mod history;
mod limits;
mod publish;
mod reader;
mod record;

pub use crate::follower::{ActiveConfig, CONFIG_STREAM, Control, ControlSettings};
pub use crate::history::{ChangeOutcome, History};
pub use crate::limits::{LimitKind, Limiter, Permit};
pub use crate::publish::{Edit, Published};
pub use crate::reader::LogReader;
pub use crate::record::{Change, PublishId, Record, Snapshot};

use compact_str::CompactString;
use derive_more::{Display, Error, From};
use rwd_types::Revision;

/// A failed publication or an invalid record.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The platform's log is unavailable.
    #[display("the log is away, nothing was published: {_0}")]
    Log(rwd_edge::Error),
    /// The configuration is invalid.
    #[display("{_0}")]
    Config(rwd_config::Error),
    /// Another change was accepted first.
    #[display("revision {base} was changed by {winner} first; revision {in_force} is in force")]
    #[from(skip)]
    Conflict {
        /// The revision that the change was based on.
        base: Revision,
        /// The revision that is active now.
        in_force: Revision,
        /// Publisher of the change that was accepted.
        winner: CompactString,
    },
    /// The change has not appeared in the log in time, so its outcome is unknown.
    #[display(
        "the log gave no answer and does not show the change; publish it again with the same id"
    )]
    #[from(skip)]
    UnknownOutcome,
    /// A log record cannot be encoded or decoded.
    #[display("bad record: {_0}")]
    Record(serde_json::Error),
}

/// Result of a configuration operation.
pub type Result<T> = std::result::Result<T, Error>;
