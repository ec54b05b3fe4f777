//! Follows the published configuration and enforces what it says about use.
//!
//! The order of the platform's log decides every race between operators, so all
//! nodes reach the same verdict without talking to one another.

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
pub use crate::reader::Reader;
pub use crate::record::{Change, PublishId, Record, Snapshot};

use compact_str::CompactString;
use derive_more::{Display, Error, From};
use rwd_types::Revision;

/// A failed publication or an unusable record.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The platform's log cannot be used now.
    #[display("the log is away, nothing was published: {_0}")]
    Log(rwd_edge::Error),
    /// The configuration is wrong.
    #[display("{_0}")]
    Config(rwd_config::Error),
    /// Another change was accepted first.
    #[display("revision {base} was changed by {winner} first; revision {in_force} is in force")]
    #[from(skip)]
    Conflict {
        /// The revision that the change was made on.
        base: Revision,
        /// The revision in force now.
        in_force: Revision,
        /// Who published the change that won.
        winner: CompactString,
    },
    /// The log lost the answer, and the record has not shown up.
    #[display(
        "the log gave no answer and does not show the change; publish it again with the same id"
    )]
    #[from(skip)]
    UnknownOutcome,
    /// A record of the log is not in the expected form.
    #[display("bad record: {_0}")]
    Record(serde_json::Error),
}

/// The result of work with the configuration.
pub type Result<T> = std::result::Result<T, Error>;
