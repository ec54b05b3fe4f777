//! Passes a stream on, event by event, and goes on at another target when one breaks.

use bytes::Bytes;
use http::{Response, header, response};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame};
use log::info;
use rwd_placement::{SlotOutcome, Timestamp};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

use crate::connection::Channel;
use crate::events::{Event, EventReader, Next};
use crate::gateway::{Aborted, Body};
use crate::run::{Attempt, Run, Sending};
use crate::slots::Slot;
use crate::{Protocol, clock};

/// Events that wait for the caller before the target is read no further.
const MAX_WAITING_EVENTS: usize = 16;

/// A stream whose first event has come.
pub(crate) struct Started {
    pub parts: response::Parts,
    pub reader: EventReader,
    pub channel: Channel,
    /// None if the stream has ended without any.
    pub first: Option<Event>,
    pub sent: Timestamp,
}

type Tx = mpsc::Sender<Result<Bytes, Aborted>>;

/// Why a relay ended.
enum Ended {
    Complete,
    CallerGone,
    TimeOut,
    Broken,
}

pub(crate) struct Relay<P> {
    run: Run<P>,
    tx: Tx,
    last_event: Option<u64>,
    events: u32,
}

impl<P: Protocol> Relay<P> {
    /// Answers with the stream's head and passes on its events.
    pub fn start(run: Run<P>, slot: Slot, started: Started) -> Response<Body> {
        let (tx, rx) = mpsc::channel(MAX_WAITING_EVENTS);
        let mut response = Response::new(EventBody { rx }.boxed_unsync());
        *response.status_mut() = started.parts.status;
        let mut headers = run
            .gateway
            .protocol
            .response_headers(&started.parts.headers);
        // The stream may go on at another target, so its length is not known.
        headers.remove(header::CONTENT_LENGTH);
        *response.headers_mut() = headers;
        let last_event = run.admitted.head.last_event;
        let first_ms = clock::now() - run.admitted.arrived;
        run.gateway.metrics.first_token_ms.record(first_ms, &[]);
        let relay = Self {
            run,
            tx,
            last_event,
            events: 0,
        };
        tokio::spawn(relay.run(slot, started));
        response
    }

    async fn run(mut self, slot: Slot, started: Started) {
        let ended = self.pass_all(slot, started).await;
        let status = 200;
        match ended {
            Ended::Complete => self.run.log_end("complete", status),
            Ended::CallerGone => self.run.log_end("caller-gone", status),
            Ended::TimeOut | Ended::Broken => {
                let outcome = match ended {
                    Ended::TimeOut => "stream-timeout",
                    _ => "stream-broken",
                };
                self.run.log_end(outcome, status);
                // The caller may have left meanwhile.
                let _ = self.tx.send(Err(Aborted)).await;
            }
        }
    }

    async fn pass_all(&mut self, mut slot: Slot, mut started: Started) -> Ended {
        loop {
            let sent = started.sent;
            match self.pass(slot, started).await {
                Ok(ended) => return ended,
                Err((broken, attempt)) => {
                    let sending = Sending { slot: broken, sent };
                    self.run.failed(sending, &attempt);
                    if self.run.is_over() {
                        return Ended::TimeOut;
                    }
                    match self.resume().await {
                        Ok(pair) => (slot, started) = pair,
                        Err(ended) => return ended,
                    }
                }
            }
        }
    }

    async fn resume(&mut self) -> Result<(Slot, Started), Ended> {
        while self.run.may_resend() {
            let tx = self.tx.clone();
            let next = self.run.next_attempt(self.last_event);
            let next = tokio::select! {
                next = next => next,
                () = tx.closed() => return Err(Ended::CallerGone),
            };
            match next {
                Ok((sending, Attempt::Started(started))) => {
                    info!(event = "resumed", request:% = self.run.admitted.head.id, target:% = sending.slot.target, after:? = self.last_event; "stream goes on");
                    return Ok((sending.slot, *started));
                }
                Ok((sending, attempt)) => {
                    self.run.failed(sending, &attempt);
                    if !self.run.may_go_on(&attempt) {
                        return Err(Ended::Broken);
                    }
                }
                Err(refusal) => {
                    info!(event = "not_resumed", request:% = self.run.admitted.head.id, reason:% = refusal; "stream cannot go on");
                    return Err(Ended::Broken);
                }
            }
        }
        Err(Ended::Broken)
    }

    // Passes on one target's part of the stream; gives the slot back if the target failed.
    async fn pass(&mut self, mut slot: Slot, started: Started) -> Result<Ended, (Slot, Attempt)> {
        let Started {
            parts,
            mut reader,
            channel,
            first,
            sent,
        } = started;
        let first_ms = clock::now() - sent;
        slot.record_first_byte(first_ms).await;
        let begun = clock::now();
        let before = self.events;
        let mut next = match first {
            Some(event) => Next::Event(event),
            None => Next::End,
        };
        loop {
            match next {
                Next::Event(event) => match self.pass_event(event).await {
                    Some(Ended::Broken) => return Err((slot, Attempt::Broken)),
                    Some(ended) => return Ok(ended),
                    None => (),
                },
                Next::End => {
                    self.run
                        .gateway
                        .connections
                        .put_back(channel, &parts.headers);
                    let output = (self.events - before) * self.tokens_per_event();
                    info!(
                        event = "stream_end", request:% = self.run.admitted.head.id,
                        target:% = slot.target, first_ms = first_ms as u64,
                        rest_ms = (clock::now() - begun) as u64, events = self.events - before;
                        "a target ended its stream"
                    );
                    slot.release(SlotOutcome::Complete {
                        first_ms,
                        rest_ms: clock::now() - begun,
                        output,
                    });
                    let whole = self.events * self.tokens_per_event();
                    self.run.gateway.note_output(&self.run.admitted, whole);
                    return Ok(Ended::Complete);
                }
                Next::Broken => return Err((slot, Attempt::Broken)),
            }
            let patience = self.run.stream_patience();
            let waited = self
                .run
                .wait_or_switch(reader.next(), patience, &slot.target);
            let waited = tokio::select! {
                waited = waited => waited,
                () = self.tx.closed() => return Ok(Ended::CallerGone),
            };
            next = match waited {
                Some(next) => next,
                None if self.run.is_over() => return Ok(Ended::TimeOut),
                None => return Err((slot, Attempt::Silent)),
            };
            if self.run.is_over() {
                return Ok(Ended::TimeOut);
            }
        }
    }

    async fn pass_event(&mut self, event: Event) -> Option<Ended> {
        match (event.id, self.last_event) {
            // A target that goes on may begin with what the caller has already.
            (Some(id), Some(last)) if id <= last => return None,
            (Some(id), Some(last)) if id != last + 1 => {
                info!(event = "event_gap", request:% = self.run.admitted.head.id, last, id; "an event is missing");
                return Some(Ended::Broken);
            }
            (Some(id), _) => self.last_event = Some(id),
            (None, _) => (),
        }
        self.events += 1;
        match self.tx.send(Ok(event.raw)).await {
            Ok(()) => None,
            Err(_) => Some(Ended::CallerGone),
        }
    }

    fn tokens_per_event(&self) -> u32 {
        let a = &self.run.admitted;
        a.catalog
            .pools
            .get(&a.pool)
            .map_or(1, |p| p.tokens_per_event)
    }
}

struct EventBody {
    rx: mpsc::Receiver<Result<Bytes, Aborted>>,
}

impl HttpBody for EventBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        self.rx
            .poll_recv(cx)
            .map(|item| item.map(|r| r.map(Frame::data)))
    }
}
