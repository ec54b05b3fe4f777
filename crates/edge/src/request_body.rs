//! Reads the bodies of requests, up to a bound.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::timeout;

/// Most bytes of a body that is too large which are read and dropped.
///
/// A connection that is closed with unread bytes is reset, and a reset can overtake the answer that
/// says what was wrong.
const MAX_DISCARDED: usize = 16 << 20;

/// Why a body was not taken.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BodyError {
    /// It is larger than allowed.
    #[display("body is too large")]
    TooLarge,
    /// It broke off.
    #[display("body broke off")]
    Broken,
    /// It took too long.
    #[display("body took too long")]
    TooSlow,
}

/// Reads a body of at most `most` bytes within `limit`.
///
/// # Errors
///
/// Fails when the body is larger, breaks off or takes longer.
pub async fn receive_body(
    mut body: Incoming,
    most: usize,
    limit: Duration,
) -> Result<Bytes, BodyError> {
    let received = async {
        match Limited::new(&mut body, most).collect().await {
            Ok(whole) => Ok(whole.to_bytes()),
            Err(e) if e.is::<LengthLimitError>() => {
                discard(&mut body).await;
                Err(BodyError::TooLarge)
            }
            Err(_) => Err(BodyError::Broken),
        }
    };
    timeout(limit, received)
        .await
        .unwrap_or(Err(BodyError::TooSlow))
}

async fn discard(body: &mut Incoming) {
    let mut left = MAX_DISCARDED;
    while let Some(Ok(frame)) = body.frame().await {
        let len = frame.data_ref().map_or(0, Bytes::len);
        match left.checked_sub(len) {
            Some(rest) => left = rest,
            None => return,
        }
    }
}
