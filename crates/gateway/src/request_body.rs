//! Receives request bodies within the node's budget for them.
//!
//! A body reserves what has arrived, not what was announced, so a caller that sends slowly holds no room
//! that it does not use.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use log::warn;
use rwd_edge::discard_body;
use std::time::Duration;
use tokio::time::timeout;

use crate::buffers::Reservation;
use crate::refusal::Refusal;

/// How long the rest of a refused body is read, so that the refusal reaches its caller.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Receives a body of at most `max_bytes` within `limit`; its reservation lasts as long as its bytes.
///
/// # Errors
///
/// Fails if the body is larger, ends early, takes longer, or exceeds what the budget has left.
pub(crate) async fn receive(
    mut body: Incoming,
    max_bytes: usize,
    limit: Duration,
    reservation: Reservation,
) -> Result<Bytes, Refusal> {
    let received = async {
        let mut reservation = reservation;
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| Refusal::BadRequest)?.into_data() else {
                continue;
            };
            let bytes = buf.len() + data.len();
            let refusal = match reservation.resize(bytes) {
                _ if bytes > max_bytes => Refusal::TooLarge,
                Ok(()) => {
                    buf.extend_from_slice(&data);
                    continue;
                }
                Err(e) => {
                    warn!(event = "body_refused", error:% = e; "no room for a request body");
                    Refusal::NotRun
                }
            };
            return Err(refusal);
        }
        Ok(reservation.attach(buf))
    };
    let received = timeout(limit, received).await;
    let received = received.unwrap_or(Err(Refusal::BadRequest));
    if let Err(Refusal::TooLarge | Refusal::NotRun) = received {
        // The room is given back by now. A caller that sends slowly is refused before the rest.
        let _ = timeout(DISCARD_TIMEOUT, discard_body(&mut body)).await;
    }
    received
}
