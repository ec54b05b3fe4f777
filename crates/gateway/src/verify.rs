//! Decides what the head of a target's response proves about a request.
//!
//! A request that may have run must neither run again, if that is not allowed, nor be reported as not
//! run. So a refusal counts only if it must be the response to the request: it names the request, or
//! it is the first response of its connection. Without an id, a later one may be a copy of an earlier
//! refusal, or bytes that belong to no request.

use derive_more::Display;
use http::StatusCode;
use rwd_placement::SlotOutcome;

use crate::TargetResponseHead;

/// What relates a response to a request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Proof {
    /// The response names the request.
    #[display("id")]
    Id,
    /// It is the first response of its connection.
    #[display("first-response")]
    FirstResponse,
    /// Nothing but its place on the connection.
    #[display("none")]
    None,
}

/// What the head of a response says about the request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// It cannot be the response to the request, for this reason, or it contradicts itself.
    Rejected(&'static str),
    /// The request has not run, as far as it is proved; how the use of the slot ends.
    Refused(SlotOutcome, Proof),
    /// It is the response to the request.
    Accepted,
}

/// Verifies the head of a response to the request `id`.
pub(crate) fn verify(
    head: &TargetResponseHead,
    status: StatusCode,
    id: &str,
    is_first: bool,
) -> Verdict {
    let proof = match (&head.id, is_first) {
        (Some(_), _) => Proof::Id,
        (None, true) => Proof::FirstResponse,
        (None, false) => Proof::None,
    };
    match head {
        TargetResponseHead {
            id: Some(other), ..
        } if other != id => Verdict::Rejected("other id"),
        TargetResponseHead { encoded: true, .. } => Verdict::Rejected("encoded"),
        TargetResponseHead { not_run: true, .. } if !may_refuse(status) => {
            Verdict::Rejected("not run, with a status of requests that ran")
        }
        TargetResponseHead {
            misdirected: true, ..
        } => Verdict::Refused(SlotOutcome::Gone, proof),
        TargetResponseHead { not_run: true, .. } => Verdict::Refused(refusal_outcome(head), proof),
        _ if promises_not_run(status) => Verdict::Rejected("a refusal that does not say `not run`"),
        TargetResponseHead { id: None, .. } => Verdict::Rejected("no id"),
        TargetResponseHead { receipt: false, .. } if status.is_success() => {
            Verdict::Rejected("no receipt")
        }
        _ => Verdict::Accepted,
    }
}

// How a refusal of the intended target ends the use of its slot.
fn refusal_outcome(head: &TargetResponseHead) -> SlotOutcome {
    match head {
        TargetResponseHead { leaving: true, .. } => SlotOutcome::Leaving,
        TargetResponseHead {
            hold_ms: Some(for_ms),
            ..
        } => SlotOutcome::Held { for_ms: *for_ms },
        _ => SlotOutcome::Full,
    }
}

// Whether a target that has not run a request may respond with this status.
fn may_refuse(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

// Whether callers take this status for a promise that the request has not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
