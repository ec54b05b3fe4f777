//! Errors returned to callers whose request got no complete response.

use compact_str::CompactString;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::Millis;

/// Whether a target executed the request.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// The request was not executed and never will be under this key.
    #[display("no")]
    No,
    /// The request was executed.
    #[display("yes")]
    Yes,
    /// The request may have been executed.
    #[display("unknown")]
    Unknown,
}

/// Kinds of errors returned to callers.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum ProblemKind {
    /// The request is malformed.
    #[display("bad-request")]
    BadRequest,
    /// The body exceeds the size limit.
    #[display("too-large")]
    TooLarge,
    /// The model, service, tier or path does not exist.
    #[display("not-found")]
    NotFound,
    /// The workspace key is missing or invalid.
    #[display("unauthorized")]
    Unauthorized,
    /// The idempotency key belongs to another workspace, or no node issued it.
    #[display("foreign-key")]
    ForeignKey,
    /// The key was already used for a different request.
    #[display("key-reused")]
    KeyReused,
    /// The workspace exceeded one of its limits.
    #[display("workspace-limit")]
    WorkspaceLimit,
    /// The request was shed: the queue is full, or higher-priority work needs the capacity.
    #[display("shed")]
    Shed,
    /// The deadline has passed or can no longer be met.
    #[display("deadline")]
    Deadline,
    /// No node or target could accept the request.
    #[display("unavailable")]
    Unavailable,
    /// The witness of a non-idempotent request could not record it.
    #[display("witness-unavailable")]
    WitnessUnavailable,
    /// The witness closed the key before it was dispatched.
    #[display("key-closed")]
    KeyClosed,
    /// The key is older than those that the node still tracks.
    #[display("key-expired")]
    KeyExpired,
    /// The home node of the key is unreachable.
    #[display("home-lost")]
    HomeLost,
    /// The target's response broke off and could not be resumed.
    #[display("target-lost")]
    TargetLost,
    /// The target rejected the request.
    #[display("target-error")]
    TargetError,
    /// The running request was cancelled in favor of higher-priority work.
    #[display("cancelled")]
    Cancelled,
}

impl ProblemKind {
    /// The HTTP status of responses of this kind.
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

/// Error returned to a caller; becomes an RFC 9457 problem detail.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq, Serialize, Deserialize)]
#[display("{kind}: {detail} (ran: {ran})")]
pub struct Problem {
    /// The kind of error.
    pub kind: ProblemKind,
    /// Whether the request was executed; [`Executed::No`] is a guarantee.
    pub ran: Executed,
    /// A human-readable sentence that names the invalid field, if there is one.
    pub detail: CompactString,
    /// When a retry makes sense, if it does at all.
    pub retry_after: Option<Millis>,
}

impl Problem {
    /// An error of a request that was not executed.
    pub fn not_run(kind: ProblemKind, detail: impl Into<CompactString>) -> Self {
        Self {
            kind,
            ran: Executed::No,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// An error of a request that may have been executed.
    pub fn unknown(kind: ProblemKind, detail: impl Into<CompactString>) -> Self {
        Self {
            ran: Executed::Unknown,
            ..Self::not_run(kind, detail)
        }
    }

    /// Adds a hint when to retry.
    pub fn retry_after(self, after: Millis) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }
}
