//! Responses that the gateway generates itself.

use bytes::Bytes;
use derive_more::Display;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use serde_json::json;

use crate::Body;

/// Retry-after time when no better estimate is known, in milliseconds.
const RETRY_AFTER_MS: f64 = 500.0;

/// Retry-after time of requests that never fit, in milliseconds.
const TOO_LARGE_RETRY_AFTER_MS: f64 = 30_000.0;

/// Why a request gets no response from a target.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub(crate) enum Refusal {
    /// The head or the body cannot be read.
    #[display("bad-request")]
    BadRequest,
    /// The body exceeds the size limit.
    #[display("too-large")]
    TooLarge,
    /// The key is missing or belongs to no workspace.
    #[display("unknown-key")]
    UnknownKey,
    /// No route matches.
    #[display("unknown-route")]
    UnknownRoute,
    /// The node has no configuration, or one that is too old to decide by.
    #[display("stale-configuration")]
    Stale,
    /// The node is about to shut down.
    #[display("leaving")]
    Leaving,
    /// The workspace is over quota.
    #[display("over-quota")]
    OverQuota {
        /// Time until the workspace is within its quota again, in milliseconds.
        retry_after_ms: f64,
    },
    /// No slot became free in time.
    #[display("overload")]
    Overload {
        /// Retry-after time for the caller, in milliseconds.
        retry_after_ms: f64,
    },
    /// All targets want no request from this node for a while.
    #[display("held")]
    Held {
        /// Time until the first one may get requests again, in milliseconds.
        retry_after_ms: f64,
    },
    /// Requests like this one crash targets.
    #[display("crashes-targets")]
    CrashesTargets {
        /// Retry-after time for the caller, in milliseconds.
        retry_after_ms: f64,
    },
    /// The caller takes up a stream, and nothing tells which version of a target's software began it.
    #[display("unknown-origin")]
    UnknownOrigin,
    /// The caller takes up a stream of a version that no target has any more.
    #[display("version-left")]
    VersionLeft,
    /// The prompt and the longest response exceed the memory of any target.
    #[display("exceeds-memory")]
    ExceedsMemory,
    /// Targets refused the request, or none could be reached; it has not run.
    #[display("not-run")]
    NotRun,
    /// The request was sent, and its outcome is unknown.
    #[display("unknown")]
    Unknown,
    /// The deadline passed after the request was sent.
    #[display("timeout")]
    Timeout,
}

impl Refusal {
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::Stale
            | Self::Leaving
            | Self::Overload { .. }
            | Self::Held { .. }
            | Self::CrashesTargets { .. }
            | Self::UnknownOrigin
            | Self::VersionLeft
            | Self::ExceedsMemory
            | Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn ran(self) -> &'static str {
        match self {
            Self::Unknown | Self::Timeout => "unknown",
            _ => "no",
        }
    }

    pub fn retry_after_ms(self) -> Option<f64> {
        match self {
            Self::OverQuota { retry_after_ms }
            | Self::Overload { retry_after_ms }
            | Self::Held { retry_after_ms }
            | Self::CrashesTargets { retry_after_ms } => Some(retry_after_ms),
            // Another node accepts the request immediately.
            Self::Leaving => Some(0.0),
            Self::ExceedsMemory => Some(TOO_LARGE_RETRY_AFTER_MS),
            Self::Stale | Self::NotRun | Self::UnknownOrigin | Self::VersionLeft => {
                Some(RETRY_AFTER_MS)
            }
            _ => None,
        }
    }

    /// The response, as `application/problem+json`.
    pub fn response(self) -> Response<Body> {
        let status = self.status();
        let problem = json!({
            "type": format!("urn:redwingdrift:{self}"),
            "title": status.canonical_reason(),
            "status": status.as_u16(),
            "ran": self.ran(),
            "retry_after_ms": self.retry_after_ms(),
        });
        let body = Full::new(Bytes::from(problem.to_string()));
        let body = body.map_err(|never| match never {}).boxed_unsync();
        let mut response = Response::new(body);
        *response.status_mut() = status;
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, json);
        let retry_after = self
            .retry_after_ms()
            .map(|ms| format!("{:.3}", ms / 1000.0));
        if let Some(Ok(value)) = retry_after.map(HeaderValue::try_from) {
            headers.insert(header::RETRY_AFTER, value);
        }
        response
    }
}
