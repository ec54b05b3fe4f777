//! What proves that a request has not run, and so permits that it is sent again.
//!
//! A request that may have run must neither run again, if that is not allowed, nor be reported as not
//! run. Each send consumes a [`Permit`]. A request has one to begin with; requests that may run more
//! than once get further ones; all others only in exchange for a [`Proof`]. Proofs are made in this
//! module alone: from a request that the HTTP library returns unwritten, and from a refusal that can
//! only be the response to this send of the request.
//!
//! A refusal is no proof without the id of the request: bytes that belong to no request may come first
//! even on a new connection. Nor is it one if the request was sent to the same address before: it may
//! be a copy of the refusal that it got then.

use bytes::Bytes;
use compact_str::CompactString;
use derive_more::Display;
use http::{Request, StatusCode};
use http_body_util::Full;
use rwd_placement::{SlotOutcome, Timestamp};
use rwd_types::TargetName;

use crate::{RetryPolicy, Route, TargetResponseHead, clock};

/// Permits one send of a request.
#[derive(Debug)]
#[must_use]
pub(crate) struct Permit {
    proof: Option<Proof>,
}

impl Permit {
    /// For a request that has just been admitted.
    pub fn first() -> Self {
        Self { proof: None }
    }

    /// For a request that may have run as often as it was sent, if its route allows that.
    pub fn repeat(route: &Route, sends: u32) -> Option<Self> {
        let allowed = route.retry != RetryPolicy::Never && sends < route.attempts;
        allowed.then_some(Self { proof: None })
    }

    /// For a request that has not run where it was sent before.
    pub fn after(proof: Proof) -> Self {
        Self { proof: Some(proof) }
    }

    /// The proof that the request has not run where it was sent before.
    pub fn proof(&self) -> Option<&Proof> {
        self.proof.as_ref()
    }
}

/// One send of a request.
#[derive(Clone, Debug)]
pub(crate) struct SendInfo {
    /// Id of the request.
    pub id: CompactString,
    pub target: TargetName,
    pub at: Timestamp,
    /// Whether the request was sent to the target's address before.
    pub same_address: bool,
    /// Requests that were sent on the connection before.
    pub earlier: u32,
    /// How long the connection had been idle, in milliseconds.
    pub idle_ms: f64,
    /// When the connection was opened.
    pub opened: Timestamp,
}

/// Proves that a send of a request did not make it run.
#[derive(Debug)]
pub(crate) struct Proof {
    reason: Reason,
    send: SendInfo,
    at: Timestamp,
}

/// What a proof rests on.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Reason {
    /// The connection had been closed, and nothing was written to it.
    #[display("not-sent")]
    NotSent,
    /// The response refuses the request.
    #[display("refused")]
    Refused {
        status: StatusCode,
        /// Whether it says `not run`; otherwise it names the target that it came from.
        not_run: bool,
    },
}

impl Proof {
    /// From the request that the HTTP library returns if it has not begun to write it.
    pub fn not_sent(_unwritten: Request<Full<Bytes>>, send: SendInfo) -> Self {
        Self::new(Reason::NotSent, send)
    }

    fn new(reason: Reason, send: SendInfo) -> Self {
        let at = clock::now();
        Self { reason, send, at }
    }

    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// The send that it is about.
    pub fn send(&self) -> &SendInfo {
        &self.send
    }

    /// Time from the send to the proof, in milliseconds.
    pub fn after_ms(&self) -> f64 {
        self.at - self.send.at
    }
}

/// What the head of a response says about the request.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// It cannot be the response to the request, for this reason, or it contradicts itself.
    Rejected(&'static str),
    /// It says that the request has not run, with the proof if it is one; how the use of the slot ends.
    Refused(SlotOutcome, Option<Proof>),
    /// It is the response to the request.
    Accepted,
}

/// Verifies the head of the response to a send.
pub(crate) fn verify(head: &TargetResponseHead, status: StatusCode, send: &SendInfo) -> Verdict {
    match head {
        TargetResponseHead {
            id: Some(other), ..
        } if *other != send.id => Verdict::Rejected("other id"),
        TargetResponseHead { encoded: true, .. } => Verdict::Rejected("encoded"),
        TargetResponseHead { not_run: true, .. }
        | TargetResponseHead {
            misdirected: true, ..
        } => verify_refusal(head, status, send),
        _ if promises_not_run(status) => Verdict::Rejected("a refusal that does not say `not run`"),
        TargetResponseHead { id: None, .. } => Verdict::Rejected("no id"),
        TargetResponseHead { receipt: false, .. } if status.is_success() => {
            Verdict::Rejected("no receipt")
        }
        _ => Verdict::Accepted,
    }
}

fn verify_refusal(head: &TargetResponseHead, status: StatusCode, send: &SendInfo) -> Verdict {
    let from_target = head.instance.as_deref() == Some(send.target.as_str());
    let from_other = head.instance.is_some() && !from_target;
    let reason = Reason::Refused {
        status,
        not_run: head.not_run,
    };
    let proof = || Some(Proof::new(reason, send.clone()));
    match head {
        TargetResponseHead { receipt: true, .. } => Verdict::Rejected("a refusal with a receipt"),
        _ if !may_refuse(status) => {
            Verdict::Rejected("not run, with a status of requests that ran")
        }
        TargetResponseHead {
            misdirected: true, ..
        } if from_target => Verdict::Rejected("misdirected, from the intended target"),
        TargetResponseHead { id: Some(_), .. }
            if !send.same_address && (head.not_run || from_other) =>
        {
            Verdict::Refused(refusal_outcome(head), proof())
        }
        _ => Verdict::Refused(refusal_outcome(head), None),
    }
}

// How a refusal ends the use of its slot.
fn refusal_outcome(head: &TargetResponseHead) -> SlotOutcome {
    match head {
        TargetResponseHead {
            misdirected: true, ..
        } => SlotOutcome::Gone,
        TargetResponseHead { leaving: true, .. } => SlotOutcome::Leaving,
        TargetResponseHead {
            brittle: Some(per_s),
            ..
        } => SlotOutcome::Brittle { per_s: *per_s },
        TargetResponseHead {
            hold_ms: Some(for_ms),
            ..
        } => SlotOutcome::Held { for_ms: *for_ms },
        _ => SlotOutcome::Full,
    }
}

// Whether a target that has not run a request may respond with this status.
fn may_refuse(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_REQUEST
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
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
