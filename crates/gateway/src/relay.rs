//! Relays a stream event by event and resumes it at another target when one fails.

use bytes::Bytes;
use http::{Response, StatusCode, header, response};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame};
use log::info;
use rwd_placement::{SlotOutcome, Timestamp, Version};
use rwd_types::InstanceName;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

use crate::connection::Connection;
use crate::events::{Event, EventReader, Next};
use crate::gateway::{Aborted, Body};
use crate::held_stream::{Gone, HeldSender, Item};
use crate::proof::Permit;
use crate::run::{ActiveRequest, Attempt, Dispatch};
use crate::slots::Slot;
use crate::{Protocol, clock};

/// Events buffered for a slow caller before reading from the target pauses.
const MAX_BUFFERED_EVENTS: usize = 16;

/// A stream whose first event has arrived.
pub(crate) struct StartedStream {
    pub parts: response::Parts,
    pub reader: EventReader,
    pub connection: Connection,
    /// The first event; none if the stream ended without events.
    pub first: Option<Event>,
    pub sent: Timestamp,
    /// Start time of the target's process.
    pub born: u64,
    /// Version of its software.
    pub version: Version,
    /// The node that carries the connection, if it is not this one's.
    pub carrier: Option<InstanceName>,
}

/// Where a caller's events go.
enum Tx {
    /// A few events; a slow caller makes the relay wait.
    Bounded(mpsc::Sender<Item>),
    /// All events, within the node's budget for slow callers.
    Held(HeldSender),
}

impl Tx {
    // Fails if the caller has disconnected or was given up.
    async fn send(&mut self, event: Bytes) -> Result<(), Gone> {
        match self {
            Self::Bounded(tx) => tx.send(Ok(event)).await.map_err(|_| Gone),
            Self::Held(tx) => tx.send(&event).await,
        }
    }

    async fn abort(&self) {
        match self {
            // Fails only if the caller has disconnected meanwhile.
            Self::Bounded(tx) => drop(tx.send(Err(Aborted)).await),
            Self::Held(tx) => tx.abort(),
        }
    }

    async fn closed(&self) {
        match self {
            Self::Bounded(tx) => tx.closed().await,
            Self::Held(tx) => tx.closed().await,
        }
    }

    // How long the relay has waited for this caller's room, which is not the target's time.
    fn waited_ms(&self) -> f64 {
        match self {
            Self::Bounded(_) => 0.0,
            Self::Held(tx) => tx.waited_ms(),
        }
    }

    // Waits until a caller for which events are held has them.
    async fn drained(&self) -> Result<(), Gone> {
        match self {
            Self::Bounded(_) => Ok(()),
            Self::Held(tx) => tx.drained().await,
        }
    }

    fn is_given_up(&self) -> bool {
        matches!(self, Self::Held(tx) if tx.is_given_up())
    }
}

/// Why a relay ended.
enum Ended {
    Complete,
    CallerGone,
    TimedOut,
    Broken,
}

pub(crate) struct Relay<P> {
    request: ActiveRequest<P>,
    // Status that the caller has.
    status: StatusCode,
    tx: Tx,
    last_event: Option<u64>,
}

impl<P: Protocol> Relay<P> {
    /// Responds with the stream's head and relays its events.
    pub fn start(request: ActiveRequest<P>, slot: Slot, started: StartedStream) -> Response<Body> {
        let id = &request.admitted.head.id;
        let (tx, body) = match &request.gateway.held_streams {
            Some(held) => {
                let (tx, rx) = held.open(id, &request.parts);
                (Tx::Held(tx), EventBody::Held(rx))
            }
            None => {
                let (tx, rx) = mpsc::channel(MAX_BUFFERED_EVENTS);
                (Tx::Bounded(tx), EventBody::Bounded(rx))
            }
        };
        let mut response = Response::new(body.boxed_unsync());
        *response.status_mut() = started.parts.status;
        let mut headers = request
            .gateway
            .protocol
            .response_headers(&started.parts.headers);
        // The stream may be resumed at another target, so its length is not known.
        headers.remove(header::CONTENT_LENGTH);
        *response.headers_mut() = headers;
        let last_event = request.admitted.head.last_event;
        let first_ms = clock::now() - request.admitted.arrived;
        request.gateway.metrics.first_token_ms.record(first_ms, &[]);
        let relay = Self {
            request,
            status: started.parts.status,
            tx,
            last_event,
        };
        tokio::spawn(relay.run(slot, started));
        response
    }

    async fn run(mut self, slot: Slot, started: StartedStream) {
        let ended = match self.relay_all(slot, started).await {
            Ended::Complete if self.tx.drained().await.is_err() => Ended::CallerGone,
            ended => ended,
        };
        let status = self.status.as_u16();
        match ended {
            Ended::Complete => self.request.record_end("complete", status),
            Ended::CallerGone if self.tx.is_given_up() => {
                self.request.record_end("slow-reader", status);
            }
            Ended::CallerGone => self.request.record_end("caller-gone", status),
            Ended::TimedOut | Ended::Broken => {
                let outcome = match ended {
                    Ended::TimedOut => "stream-timeout",
                    _ => "stream-broken",
                };
                self.request.record_end(outcome, status);
                self.tx.abort().await;
            }
        }
    }

    async fn relay_all(&mut self, mut slot: Slot, mut started: StartedStream) -> Ended {
        loop {
            let (sent, born, version) = (started.sent, started.born, started.version.clone());
            let carrier = started.carrier.clone();
            match self.relay_target(slot, started).await {
                Ok(ended) => return ended,
                Err((failed, attempt)) => {
                    let dispatch = Dispatch {
                        slot: failed,
                        sent,
                        born,
                        version,
                        carrier,
                    };
                    let (_, permit) = self.request.record_failure(dispatch, attempt);
                    if self.request.is_expired() {
                        return Ended::TimedOut;
                    }
                    match self.resume(permit).await {
                        Ok(pair) => (slot, started) = pair,
                        Err(ended) => return ended,
                    }
                }
            }
        }
    }

    async fn resume(&mut self, mut permit: Option<Permit>) -> Result<(Slot, StartedStream), Ended> {
        while let Some(next) = permit {
            let next = self.request.next_attempt(next, self.last_event);
            let next = tokio::select! {
                next = next => next,
                () = self.tx.closed() => return Err(Ended::CallerGone),
            };
            match next {
                Ok((dispatch, Attempt::Started(started)))
                    if started.parts.status != self.status =>
                {
                    let (id, status) = (&self.request.admitted.head.id, started.parts.status);
                    info!(event = "distrusted", request:% = id, target:% = dispatch.slot.target, reason = "other status", status = status.as_u16(); "response rejected");
                    (_, permit) = self.request.record_failure(dispatch, Attempt::Malformed);
                }
                Ok((dispatch, Attempt::Started(started))) => {
                    info!(event = "resumed", request:% = self.request.admitted.head.id, target:% = dispatch.slot.target, after:? = self.last_event; "stream resumed on another target");
                    return Ok((dispatch.slot, *started));
                }
                Ok((dispatch, attempt)) => {
                    (_, permit) = self.request.record_failure(dispatch, attempt);
                }
                Err(refusal) => {
                    info!(event = "not_resumed", request:% = self.request.admitted.head.id, reason:% = refusal; "stream cannot be resumed");
                    return Err(Ended::Broken);
                }
            }
        }
        Err(Ended::Broken)
    }

    // Relays one target's part of the stream; returns the slot if the target failed.
    async fn relay_target(
        &mut self,
        mut slot: Slot,
        started: StartedStream,
    ) -> Result<Ended, (Slot, Attempt)> {
        let StartedStream {
            parts,
            mut reader,
            connection,
            first,
            sent,
            ..
        } = started;
        let first_ms = clock::now() - sent;
        let route = &self.request.admitted.route.name;
        slot.record_answer(route, false, first_ms);
        slot.record_first_byte(first_ms).await;
        let first_byte = clock::now();
        self.request.writing_since = Some(first_byte);
        let events_before = self.request.events;
        let waited_before = self.tx.waited_ms();
        let mut next = match first {
            Some(event) => Next::Event(event),
            None => Next::End,
        };
        loop {
            match next {
                Next::Event(event) => {
                    if self.relay_event(event).await.is_err() {
                        return Ok(Ended::CallerGone);
                    }
                }
                Next::End => {
                    self.request
                        .gateway
                        .connections
                        .release(connection, &parts.headers);
                    let output = self.tokens(self.request.events - events_before);
                    let waited_ms = self.tx.waited_ms() - waited_before;
                    let rest_ms = (clock::now() - first_byte - waited_ms).max(0.0);
                    info!(
                        event = "stream_end", request:% = self.request.admitted.head.id,
                        target:% = slot.target, first_ms = first_ms as u64,
                        rest_ms = rest_ms as u64, events = self.request.events - events_before;
                        "a target completed its stream"
                    );
                    self.request.record_sound(sent);
                    slot.release(SlotOutcome::Complete {
                        first_ms,
                        rest_ms,
                        output,
                    });
                    let total = self.tokens(self.request.events);
                    self.request
                        .gateway
                        .record_output(&self.request.admitted, total);
                    return Ok(Ended::Complete);
                }
                Next::Broken(e) => {
                    let attempt = self.request.broken_stream(&slot.target, &e, &connection);
                    return Err((slot, attempt));
                }
            }
            let limit = self.request.stream_idle_timeout();
            let received = self
                .request
                .wait_or_fail_over(reader.next(), limit, &slot.target);
            let received = tokio::select! {
                received = received => received,
                () = self.tx.closed() => return Ok(Ended::CallerGone),
            };
            next = match received {
                Some(next) => next,
                None if self.request.is_expired() => return Ok(Ended::TimedOut),
                None => return Err((slot, Attempt::Unresponsive)),
            };
            if self.request.is_expired() {
                return Ok(Ended::TimedOut);
            }
        }
    }

    // Fails if the caller has disconnected.
    async fn relay_event(&mut self, event: Event) -> Result<(), Gone> {
        self.last_event = Some(event.id);
        self.request.events += 1;
        self.tx.send(event.raw).await
    }

    fn tokens(&self, events: u32) -> u32 {
        let a = &self.request.admitted;
        let pool = a.catalog.pools.get(&a.pool);
        events.saturating_mul(pool.map_or(1, |p| p.tokens_per_event))
    }
}

enum EventBody {
    Bounded(mpsc::Receiver<Item>),
    Held(mpsc::UnboundedReceiver<Item>),
}

impl HttpBody for EventBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let item = match &mut *self {
            Self::Bounded(rx) => rx.poll_recv(cx),
            Self::Held(rx) => rx.poll_recv(cx),
        };
        item.map(|item| item.map(|r| r.map(Frame::data)))
    }
}
