//! What speaks for it that a request has not run at a target that it was sent to.

use derive_more::Display;
use rwd_types::TargetName;

/// Why a request counts as not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Reason {
    /// The connection had been closed, and nothing was written to it.
    #[display("not-sent")]
    NotSent,
    /// A response says so.
    #[display("refused")]
    Refused {
        /// Its status.
        status: u16,
        /// Whether it names the request.
        has_id: bool,
        /// Whether it says `not run` in so many words.
        not_run: bool,
    },
}

/// Why a request counts as not run at a target, and on which connection it was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Evidence {
    pub target: TargetName,
    pub reason: Reason,
    /// Requests that were sent on the connection before it.
    pub earlier: u32,
    /// How long the connection had been idle, in milliseconds.
    pub idle_ms: u64,
    /// Time since the connection was opened, in milliseconds.
    pub age_ms: u64,
    /// Time from the send to the evidence, in milliseconds.
    pub after_ms: u64,
}
