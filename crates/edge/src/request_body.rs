//! Receives request bodies with bounds on size and time.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum number of bytes that are read and discarded from an oversized body.
///
/// Closing a connection with unread bytes resets it, and the reset can reach the caller before the
/// error response does.
const MAX_DISCARDED: usize = 16 << 20;

/// Why a body was rejected.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BodyError {
    /// It is larger than allowed.
    #[display("body is too large")]
    TooLarge,
    /// It ended early.
    #[display("body ended early")]
    Broken,
    /// It was not received in time.
    #[display("body was not received in time")]
    TooSlow,
}

/// Receives a body of at most `max_bytes` within `limit`.
///
/// # Errors
///
/// Fails if the body is larger, ends early or takes longer.
pub async fn receive_body(
    mut body: Incoming,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, BodyError> {
    let received = async {
        match Limited::new(&mut body, max_bytes).collect().await {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(e) if e.is::<LengthLimitError>() => {
                discard_body(&mut body).await;
                Err(BodyError::TooLarge)
            }
            Err(_) => Err(BodyError::Broken),
        }
    };
    timeout(limit, received)
        .await
        .unwrap_or(Err(BodyError::TooSlow))
}

/// Reads the rest of a body that is refused, up to a limit.
pub async fn discard_body(body: &mut Incoming) {
    let mut left = MAX_DISCARDED;
    while let Some(Ok(frame)) = body.frame().await {
        let len = frame.data_ref().map_or(0, Bytes::len);
        match left.checked_sub(len) {
            Some(rest) => left = rest,
            None => return,
        }
    }
}
