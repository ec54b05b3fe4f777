//! Reads a target's response and records what it says about the target.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, From};
use http::{Response, StatusCode, header, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use log::info;
use rwd_metrics::label;
use rwd_placement::LimitReport;
use rwd_types::TargetName;
use std::ops::RangeInclusive;
use std::time::Duration;

use super::{ActiveRequest, Attempt, Dispatch, broken};
use crate::buffers::{OverBudget, Reservation};
use crate::connection::Connection;
use crate::detour::Said;
use crate::events::{EventReader, Next, StreamError};
use crate::proof::{SendInfo, Verdict, verify};
use crate::relay::StartedStream;
use crate::{Protocol, TargetResponseHead, clock};

/// Statuses of final responses.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Why a response's body cannot be read.
#[derive(Debug, Display, From)]
enum CollectError {
    /// The connection failed.
    Connection(hyper::Error),
    /// The node may not buffer it.
    TooLarge(OverBudget),
}

impl<P: Protocol> ActiveRequest<P> {
    pub(super) async fn read_response(
        &mut self,
        response: Response<Incoming>,
        connection: Connection,
        limit: Duration,
        dispatch: &mut Dispatch,
        send: SendInfo,
        last_event: Option<u64>,
    ) -> Attempt {
        let (parts, body) = response.into_parts();
        let head = self.gateway.protocol.read_response(&parts);
        if connection.carrier().is_none() {
            self.gateway.detours.record_response(&self.admitted.pool);
        }
        let id = &self.admitted.head.id;
        let verdict = match malformed(&parts) {
            Some(reason) => Verdict::Rejected(reason),
            None => verify(&head, parts.status, &send),
        };
        let refusal = match verdict {
            Verdict::Rejected(reason) => {
                info!(event = "distrusted", request:% = id, target:% = dispatch.slot.target, reason, status = parts.status.as_u16(); "response rejected");
                return Attempt::Malformed;
            }
            Verdict::Refused(outcome, proof) => {
                self.record_refusal(&head, parts.status, &send, proof.is_some());
                Some(match proof {
                    Some(proof) => Attempt::NotRun(outcome, proof),
                    None => Attempt::Unproved(outcome),
                })
            }
            Verdict::Accepted => None,
        };
        if !head.misdirected {
            self.record_limit(&head, dispatch);
            self.record_withheld(&head, dispatch);
        }
        if self.admitted.route.streams && parts.status.is_success() {
            let mut reader =
                EventReader::new(&parts, body, last_event, self.gateway.buffers.reserve());
            let target = &dispatch.slot.target;
            let next = self.wait_or_fail_over(reader.next(), limit, target).await;
            return match next {
                Some(Next::Event(_)) if !self.record_origin(dispatch) => {
                    info!(event = "other_version", request:% = self.admitted.head.id, target:% = dispatch.slot.target, origin:? = self.origin; "the target was replaced by another version");
                    Attempt::Malformed
                }
                Some(Next::Event(first)) => Attempt::Started(Box::new(StartedStream {
                    parts,
                    reader,
                    connection,
                    first: Some(first),
                    sent: dispatch.sent,
                    born: dispatch.born,
                    version: dispatch.version.clone(),
                    carrier: dispatch.carrier.clone(),
                })),
                Some(Next::End) => Attempt::Started(Box::new(StartedStream {
                    parts,
                    reader,
                    connection,
                    first: None,
                    sent: dispatch.sent,
                    born: dispatch.born,
                    version: dispatch.version.clone(),
                    carrier: dispatch.carrier.clone(),
                })),
                Some(Next::Broken(e)) => self.broken_stream(&dispatch.slot.target, &e, &connection),
                None => Attempt::Unresponsive,
            };
        }
        let collected = collect(body, self.gateway.buffers.reserve());
        let collected = self.wait_or_fail_over(collected, limit, &dispatch.slot.target);
        match collected.await {
            Some(Ok(body)) => {
                // A copy of a refusal without an id may follow, and after 421 the connection leads to
                // another target.
                if head.id.is_some() && !head.misdirected {
                    self.gateway.connections.release(connection, &parts.headers);
                }
                refusal.unwrap_or(Attempt::Complete(parts, body))
            }
            Some(Err(e)) => {
                info!(event = "broken", request:% = self.admitted.head.id, target:% = dispatch.slot.target, reused = connection.is_reused(), error:% = e; "cannot read the response");
                refusal.unwrap_or(match e {
                    CollectError::Connection(_) => broken(&connection),
                    CollectError::TooLarge(_) => Attempt::Malformed,
                })
            }
            None => Attempt::Unresponsive,
        }
    }

    /// Logs why a target's stream broke.
    pub fn broken_stream(
        &self,
        target: &TargetName,
        e: &StreamError,
        connection: &Connection,
    ) -> Attempt {
        info!(event = "broken_stream", request:% = self.admitted.head.id, target:% = target, events = self.events, error:% = e; "a target's stream broke");
        match e {
            StreamError::Malformed(_) | StreamError::TooLarge(_) => Attempt::Malformed,
            StreamError::Truncated | StreamError::Empty | StreamError::Connection(_) => {
                broken(connection)
            }
        }
    }

    // Records a response that says that the request has not run, with what speaks for and against it.
    fn record_refusal(
        &self,
        head: &TargetResponseHead,
        status: StatusCode,
        send: &SendInfo,
        is_proof: bool,
    ) {
        info!(
            event = "refused_by_target", request:% = send.id, target:% = send.target,
            status = status.as_u16(), has_id = head.id.is_some(), not_run = head.not_run,
            receipt = head.receipt, same_address = send.same_address, earlier = send.earlier,
            idle_ms = send.idle_ms as u64, ms = (clock::now() - send.at) as u64,
            may_repeat = self.may_repeat(), is_proof;
            "the target says that it has not run the request"
        );
        let proof = match is_proof {
            true => "id",
            false => "none",
        };
        let labels = [label("proof", proof)];
        self.gateway.metrics.refused_by_targets.add(1, &labels);
    }

    // Records the request limit that the target names in its response.
    fn record_limit(&self, head: &TargetResponseHead, dispatch: &mut Dispatch) {
        let (id, target) = (&self.admitted.head.id, dispatch.slot.target.clone());
        let limit = match &head.limit {
            None => LimitReport::Unlimited,
            Some(Ok(limit)) => LimitReport::Limited {
                limit: *limit,
                after_ms: clock::now() - dispatch.sent,
            },
            Some(Err(e)) => {
                info!(event = "bad_limit", request:% = id, target:% = target, error:% = e; "the target names a limit that is not a number");
                LimitReport::Unknown
            }
        };
        let slots = &self.gateway.slots;
        if slots.record_limit(&mut dispatch.slot, limit, dispatch.sent) {
            let kind = match limit {
                LimitReport::Limited { .. } => "named",
                _ => "ended",
            };
            info!(event = "limit_changed", request:% = id, target:% = target, scheduler:% = dispatch.slot.scheduler, kind, limit:? = limit; "the response changes the target's request limit");
            let labels = [label("kind", kind)];
            self.gateway.metrics.limits_changed.add(1, &labels);
        }
    }

    // Records that the target leaves, or wants no request from this node for a while.
    fn record_withheld(&self, head: &TargetResponseHead, dispatch: &Dispatch) {
        let (id, target) = (&self.admitted.head.id, &dispatch.slot.target);
        for bad in &head.bad_headers {
            info!(event = "bad_header", request:% = id, target:% = target, error:% = bad; "a header of the response is ignored");
        }
        let withheld = &self.gateway.withheld;
        if head.leaving && withheld.record_leaving(target, dispatch.born) {
            info!(event = "target_leaving", request:% = id, target:% = target, born = dispatch.born, list_age_ms = self.gateway.replica.targets_age_ms() as u64; "the response says that its target leaves");
            let labels = [label("reason", "leaving")];
            self.gateway.metrics.targets_withheld.add(1, &labels);
        }
        let said = Said {
            leaving: head.leaving,
            hold_ms: head.hold_ms,
        };
        if let Some(carrier) = &dispatch.carrier
            && (said.leaving || said.hold_ms.is_some())
        {
            let detours = &self.gateway.detours;
            detours.tell(carrier, target, dispatch.born, said);
        }
        if let Some(hold_ms) = head.hold_ms {
            let left_ms = withheld.record_hold(target, hold_ms, clock::now());
            info!(event = "hold", request:% = id, target:% = target, named_ms = hold_ms as u64, left_ms = left_ms as u64; "the target wants no request for a while");
            let labels = [label("reason", "held")];
            self.gateway.metrics.targets_withheld.add(1, &labels);
        }
    }
}

// Why a head is not that of a final response whose end is certain, if it is not. The HTTP library takes
// any three digits for a status, and reads a body with an unknown transfer coding until the connection
// ends, where a broken response looks complete (RFC 9112, section 6.3).
fn malformed(parts: &response::Parts) -> Option<&'static str> {
    let mut codings = parts.headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        _ if !FINAL_STATUSES.contains(&parts.status.as_u16()) => Some("no final status"),
        (None, _) => None,
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => None,
        _ => Some("unknown transfer coding"),
    }
}

// Reads a body to its end. The reservation lasts as long as the bytes.
async fn collect(
    mut body: Incoming,
    mut reservation: Reservation,
) -> std::result::Result<Bytes, CollectError> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            reservation.resize(buf.len() + data.len())?;
            buf.extend_from_slice(&data);
        }
    }
    Ok(reservation.attach(buf))
}
