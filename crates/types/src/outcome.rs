//! What a caller is told when a request has no whole answer.

use compact_str::CompactString;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::Millis;

/// Whether the work of a request ran on a target.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// The work never ran and never will under this key.
    #[display("no")]
    No,
    /// The work ran.
    #[display("yes")]
    Yes,
    /// The work may have run.
    #[display("unknown")]
    Unknown,
}

/// The kinds of failure a caller can be told of.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum ProblemKind {
    /// The request is malformed.
    #[display("bad-request")]
    BadRequest,
    /// The body is larger than the limit.
    #[display("too-large")]
    TooLarge,
    /// No such model, service, tier or path.
    #[display("not-found")]
    NotFound,
    /// The workspace key is missing or wrong.
    #[display("unauthorized")]
    Unauthorized,
    /// The idempotency key belongs to another workspace or was issued by no node.
    #[display("foreign-key")]
    ForeignKey,
    /// The key was used before for a different request.
    #[display("key-reused")]
    KeyReused,
    /// The workspace is over one of its limits.
    #[display("workspace-limit")]
    WorkspaceLimit,
    /// The work was shed, because more valuable work needs the capacity or the queue is full.
    #[display("shed")]
    Shed,
    /// The deadline passed, or cannot be met any more.
    #[display("deadline")]
    Deadline,
    /// No node or target could take the request.
    #[display("unavailable")]
    Unavailable,
    /// The witness of a non-idempotent request could not record it.
    #[display("witness-unavailable")]
    WitnessUnavailable,
    /// The witness closed the key before it was dispatched.
    #[display("key-closed")]
    KeyClosed,
    /// The key is older than what the node still remembers.
    #[display("key-expired")]
    KeyExpired,
    /// The home of the key cannot be reached.
    #[display("home-lost")]
    HomeLost,
    /// The target's answer broke off and could not be resumed.
    #[display("target-lost")]
    TargetLost,
    /// The target refused the request.
    #[display("target-error")]
    TargetError,
    /// Running work was cancelled for more valuable work.
    #[display("cancelled")]
    Cancelled,
}

impl ProblemKind {
    /// The HTTP status that goes with this kind.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::ForeignKey => 403,
            Self::NotFound => 404,
            Self::KeyClosed | Self::KeyReused => 409,
            Self::KeyExpired => 410,
            Self::TooLarge => 413,
            Self::WorkspaceLimit => 429,
            Self::TargetLost | Self::TargetError => 502,
            Self::Shed
            | Self::Unavailable
            | Self::WitnessUnavailable
            | Self::HomeLost
            | Self::Cancelled => 503,
            Self::Deadline => 504,
        }
    }
}

/// A failure as a caller sees it.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq, Serialize, Deserialize)]
#[display("{kind}: {detail} (ran: {ran})")]
pub struct Problem {
    /// The kind of failure.
    pub kind: ProblemKind,
    /// Whether the work ran; [`Executed::No`] is a promise.
    pub ran: Executed,
    /// One sentence for a person; names the field where the input was bad.
    pub detail: CompactString,
    /// When a new try makes sense, if one does.
    pub retry_after: Option<Millis>,
}

impl Problem {
    /// A failure of work that never ran.
    pub fn not_run(kind: ProblemKind, detail: impl Into<CompactString>) -> Self {
        Self {
            kind,
            ran: Executed::No,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// A failure of work that may have run.
    pub fn unknown(kind: ProblemKind, detail: impl Into<CompactString>) -> Self {
        Self {
            ran: Executed::Unknown,
            ..Self::not_run(kind, detail)
        }
    }

    /// The same failure with a hint when to try again.
    pub fn retry_after(self, after: Millis) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }
}
