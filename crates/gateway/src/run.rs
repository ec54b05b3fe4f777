//! The life of one request: slots, sends, and what may be tried again.
//!
//! The request counts as sent from the moment before its first byte goes to a
//! target. From then on only the target's own word that it has not run the request
//! lets the gateway say so.

use bytes::Bytes;
use http::{Request, Response, Uri, request, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use log::info;
use rwd_metrics::label;
use rwd_placement::{Offer, SlotOutcome, Timestamp};
use rwd_types::TargetName;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use crate::connection::{Channel, ConnectError, Sent};
use crate::events::{EventReader, Next};
use crate::gateway::{Admitted, Body, Gateway, InProgress};
use crate::refusal::Refusal;
use crate::relay::{Relay, Started};
use crate::slots::Slot;
use crate::{Protocol, RetryPolicy, TargetRequestHead, TargetResponseHead, clock};

/// Largest answer that is read as a whole, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Least time that a send is worth, in milliseconds.
const MIN_SEND_MS: f64 = 25.0;
/// Targets that may refuse a request before the gateway gives it up.
const MAX_REFUSALS: u32 = 3;
/// Targets that may be unreachable before the gateway gives a request up.
const MAX_UNREACHABLE: u32 = 5;
/// A target is silent when its first byte takes this many times longer than expected ...
const SILENCE_FACTOR: f64 = 3.0;
/// ... and at least this long, in milliseconds, ...
const MIN_SILENCE_MS: f64 = 900.0;
/// ... or this long if it has just answered others.
const PROVEN_SILENCE_MS: f64 = 2000.0;
/// A target with a stream in progress is silent after this time, in milliseconds.
const STREAM_SILENCE_MS: f64 = 1600.0;

/// One request in progress.
pub(crate) struct Run<P> {
    pub gateway: Arc<Gateway<P>>,
    pub admitted: Admitted,
    parts: request::Parts,
    body: Bytes,
    exclude: Vec<TargetName>,
    // A slot, and a repeat of the budget, for a request whose target is silent.
    prepared: Option<Slot>,
    // Sends after which the request may have run.
    sends: u32,
    // Sends that reached a target, whatever it said.
    arrivals: u32,
    refusals: u32,
    unreachable: u32,
    _in_progress: InProgress<P>,
}

/// What came of one send.
pub(crate) enum Attempt {
    /// Nothing was sent.
    Unreachable,
    /// Nothing was sent, because nobody listens there.
    Down,
    /// Nothing was sent, because the target is leaving.
    Left,
    /// The target has not run the request.
    NotRun { misdirected: bool },
    /// A whole answer.
    Whole(response::Parts, Bytes),
    /// The beginning of a stream.
    Started(Box<Started>),
    /// It may have run.
    Broken,
    /// Nothing came for too long; it may have run.
    Silent,
}

impl<P: Protocol> Run<P> {
    pub fn new(
        gateway: Arc<Gateway<P>>,
        admitted: Admitted,
        parts: request::Parts,
        body: Bytes,
        in_progress: InProgress<P>,
    ) -> Self {
        Self {
            gateway,
            admitted,
            parts,
            body,
            exclude: Vec::new(),
            prepared: None,
            sends: 0,
            arrivals: 0,
            refusals: 0,
            unreachable: 0,
            _in_progress: in_progress,
        }
    }

    fn left_ms(&self) -> f64 {
        self.admitted.deadline - clock::now()
    }

    /// Gets an answer, or says why there is none.
    pub async fn answer(mut self) -> Response<Body> {
        let mut last_failure = None;
        let refusal = loop {
            let (slot, attempt) = match self.next_attempt(self.admitted.head.last_event).await {
                Ok(pair) => pair,
                Err(refusal) => break refusal,
            };
            match attempt {
                Attempt::Whole(parts, body) => {
                    let failed = parts.status.is_server_error();
                    let outcome = if failed {
                        SlotOutcome::Failed
                    } else {
                        self.complete(&slot)
                    };
                    self.exclude.push(slot.slot.target.clone());
                    slot.slot.release(outcome);
                    if failed && self.may_send_again() {
                        last_failure = Some((parts, body));
                        continue;
                    }
                    return self.whole(parts, body);
                }
                Attempt::Started(started) => return Relay::start(self, slot.slot, *started),
                other => {
                    let refusal = self.failed(slot, &other);
                    if !self.may_go_on(&other) {
                        break refusal;
                    }
                }
            }
        };
        match last_failure {
            // The target's own failure says more than that no other answer came.
            Some((parts, body)) => self.whole(parts, body),
            None => self.refused(refusal),
        }
    }

    fn refused(&self, refusal: Refusal) -> Response<Body> {
        let refusal = match self.sends {
            0 => {
                self.gateway.refund_units(&self.admitted);
                refusal
            }
            // It may have run, so nothing else can be promised.
            _ if self.left_ms() < MIN_SEND_MS => Refusal::Timeout,
            _ => Refusal::Unknown,
        };
        self.log_end(&refusal.to_string(), refusal.status().as_u16());
        refusal.response()
    }

    /// Logs and counts the end of the request.
    pub fn log_end(&self, outcome: &str, status: u16) {
        let ms = clock::now() - self.admitted.arrived;
        let labels = [label("outcome", outcome)];
        self.gateway.metrics.ended.add(1, &labels);
        self.gateway.metrics.answer_ms.record(ms, &labels);
        info!(
            event = "answer", request:% = self.admitted.head.id, outcome, status,
            route:% = self.admitted.route.name, config = self.admitted.catalog.version,
            sends = self.sends, arrivals = self.arrivals, unreachable = self.unreachable,
            ms = ms as u64;
            "request ended"
        );
    }

    fn complete(&self, slot: &Sending) -> SlotOutcome {
        SlotOutcome::Complete {
            first_ms: clock::now() - slot.sent,
            rest_ms: 0.0,
            output: 0,
        }
    }

    fn whole(&self, parts: response::Parts, body: Bytes) -> Response<Body> {
        self.log_end("answered", parts.status.as_u16());
        let body = Full::new(body).map_err(|never| match never {});
        let mut response = Response::new(body.boxed_unsync());
        *response.status_mut() = parts.status;
        *response.headers_mut() = self.gateway.protocol.response_headers(&parts.headers);
        response
    }

    /// Gets a slot and sends the request there, to go on after `last_event` if given.
    pub async fn next_attempt(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<(Sending, Attempt), Refusal> {
        let left_ms = self.left_ms();
        if left_ms < MIN_SEND_MS {
            return Err(Refusal::Timeout);
        }
        let asked = clock::now();
        let prepared = self.prepared.take();
        let has_budget = prepared.is_some();
        let slot = match prepared {
            Some(slot) => slot,
            None => self.get_slot(left_ms).await?,
        };
        let sent = clock::now();
        let mut sending = Sending { slot, sent };
        if !self.gateway.replica.is_active(&sending.slot.target) {
            info!(event = "left", request:% = self.admitted.head.id, target:% = sending.slot.target, scheduler:% = sending.slot.scheduler; "the scheduler does not know that the target leaves");
            return Ok((sending, Attempt::Left));
        }
        if self.arrivals > 0 && !has_budget && !self.gateway.limiter.may_retry(&self.admitted.pool)
        {
            info!(event = "repeat_budget", request:% = self.admitted.head.id; "no budget for another send");
            return Err(Refusal::NotRun);
        }
        self.gateway.metrics.slot_wait_ms.record(sent - asked, &[]);
        info!(
            event = "dispatch", request:% = self.admitted.head.id, target:% = sending.slot.target,
            scheduler:% = sending.slot.scheduler, waited_ms = (sent - asked) as u64,
            expected_ms = sending.slot.first_ms as u64, after:? = last_event,
            list_age_ms = self.gateway.replica.targets_age_ms() as u64;
            "sending to a target"
        );
        let attempt = self.send(&mut sending, last_event).await;
        Ok((sending, attempt))
    }

    async fn get_slot(&self, left_ms: f64) -> Result<Slot, Refusal> {
        let slot = self.gateway.slots.acquire(self.offer());
        let limit = Duration::from_secs_f64(left_ms / 1000.0);
        match timeout(limit, slot).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(declined)) => {
                info!(event = "declined", request:% = self.admitted.head.id, no_target = declined.no_target; "no slot");
                let retry_after_ms = declined.retry_after_ms;
                Err(match self.admitted.beyond_quota {
                    true => Refusal::OverQuota { retry_after_ms },
                    false => Refusal::Overload { retry_after_ms },
                })
            }
            Err(_) if self.sends == 0 => Err(Refusal::NotRun),
            Err(_) => Err(Refusal::Timeout),
        }
    }

    /// Waits for a target; once it is silent for `patience`, looks for another one meanwhile.
    ///
    /// None if the request is to go there, or if its time is over. Silence alone is no reason to
    /// give a request up: without a slot elsewhere the wait goes on.
    pub async fn wait_or_switch<T>(
        &mut self,
        pending: impl Future<Output = T>,
        patience: Duration,
        current: &TargetName,
    ) -> Option<T> {
        tokio::pin!(pending);
        if let Ok(output) = timeout(patience, &mut pending).await {
            return Some(output);
        }
        if self.may_switch() {
            let mut offer = self.offer();
            offer.exclude.push(current.clone());
            offer.resumes = true;
            let gateway = self.gateway.clone();
            let slot = tokio::select! {
                output = &mut pending => return Some(output),
                slot = gateway.slots.acquire(offer) => slot,
            };
            if let Ok(slot) = slot
                && gateway.limiter.may_retry(&self.admitted.pool)
            {
                self.prepared = Some(slot);
                return None;
            }
        }
        let left = Duration::from_secs_f64(self.left_ms().max(1.0) / 1000.0);
        timeout(left, pending).await.ok()
    }

    // Whether the request may go to one more target while one has it.
    fn may_switch(&self) -> bool {
        self.admitted.route.retry != RetryPolicy::Never
            && self.sends + 1 < self.admitted.route.attempts
            && self.left_ms() > MIN_SEND_MS
    }

    fn offer(&self) -> Offer {
        let a = &self.admitted;
        Offer {
            request: a.head.id.clone(),
            pool: a.pool.clone(),
            rank: a.rank,
            workspace: a.workspace.as_ref().map(|w| w.name.clone()),
            parts: a.head.parts.clone(),
            prompt: a.head.prompt_tokens,
            output: self.gateway.expected_output(a),
            aim_left_ms: a.arrived + a.route.objective_ms - clock::now(),
            time_left_ms: self.left_ms(),
            home: self.gateway.instance.clone(),
            zone: self.gateway.zone.clone(),
            exclude: self.exclude.clone(),
            beyond_quota: a.beyond_quota,
            returned: a.returned,
            resumes: self.sends > 0,
        }
    }

    async fn send(&mut self, sending: &mut Sending, last_event: Option<u64>) -> Attempt {
        let sure = self.admitted.route.retry == RetryPolicy::Never;
        let address = sending.slot.address;
        loop {
            let channel = self.gateway.connections.get(address, sure).await;
            let mut channel = match channel {
                Ok(channel) => channel,
                Err(e) => {
                    info!(event = "unreachable", request:% = self.admitted.head.id, target:% = sending.slot.target, error:% = e; "nothing sent");
                    return match e {
                        ConnectError::Timeout => Attempt::Unreachable,
                        ConnectError::Refused => Attempt::Down,
                    };
                }
            };
            let left_ms = self.left_ms();
            if left_ms < MIN_SEND_MS {
                return Attempt::Unreachable;
            }
            let req = self.target_request(&sending.slot, left_ms, last_event);
            sending.sent = clock::now();
            let patience = self.patience(&sending.slot, left_ms);
            let target = sending.slot.target.clone();
            let sent = self.wait_or_switch(channel.send(req), patience, &target);
            match sent.await {
                // The connection had been closed while it was idle: the next one is tried.
                Some(Sent::ClosedBefore) if channel.reused => continue,
                Some(Sent::ClosedBefore) => return Attempt::Unreachable,
                Some(Sent::Answer(response)) => {
                    let patience = patience.saturating_sub(elapsed(sending.sent));
                    return self.read(response, channel, patience, sending).await;
                }
                Some(Sent::Broken(e)) => {
                    info!(event = "broken", request:% = self.admitted.head.id, target:% = sending.slot.target, reused = channel.reused, error:% = e; "no answer");
                    return Attempt::Broken;
                }
                None => return Attempt::Silent,
            }
        }
    }

    // How long a target may take for its first byte before another one is looked for.
    fn patience(&self, slot: &Slot, left_ms: f64) -> Duration {
        let least = match slot.proven {
            true => PROVEN_SILENCE_MS,
            false => MIN_SILENCE_MS,
        };
        let expected = (slot.first_ms * SILENCE_FACTOR).max(least);
        Duration::from_secs_f64(expected.min(left_ms).max(1.0) / 1000.0)
    }

    fn target_request(
        &self,
        slot: &Slot,
        left_ms: f64,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let head = TargetRequestHead {
            target: &slot.target,
            workspace: self.admitted.workspace.as_ref().map(|w| &w.name),
            time_left_ms: left_ms,
            last_event,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.parts.method.clone();
        *req.uri_mut() = origin_form(&self.parts.uri);
        *req.headers_mut() = self
            .gateway
            .protocol
            .target_headers(&self.parts.headers, &head);
        req
    }

    async fn read(
        &mut self,
        response: Response<Incoming>,
        channel: Channel,
        patience: Duration,
        sending: &Sending,
    ) -> Attempt {
        let (parts, body) = response.into_parts();
        let head = self.gateway.protocol.read_response(&parts);
        if let Some(reason) = self.distrust(&parts, &head) {
            info!(event = "distrusted", request:% = self.admitted.head.id, target:% = sending.slot.target, reason, status = parts.status.as_u16(); "answer is not the target's");
            return Attempt::Broken;
        }
        if self.admitted.route.streams && parts.status.is_success() {
            let mut reader = EventReader::new(body);
            let target = &sending.slot.target;
            let next = self.wait_or_switch(reader.next(), patience, target).await;
            return match next {
                Some(Next::Event(first)) => Attempt::Started(Box::new(Started {
                    parts,
                    reader,
                    channel,
                    first: Some(first),
                    sent: sending.sent,
                })),
                Some(Next::End) => Attempt::Started(Box::new(Started {
                    parts,
                    reader,
                    channel,
                    first: None,
                    sent: sending.sent,
                })),
                Some(Next::Broken) => Attempt::Broken,
                None => Attempt::Silent,
            };
        }
        let whole = Limited::new(body, MAX_ANSWER_BYTES).collect();
        let whole = self.wait_or_switch(whole, patience, &sending.slot.target);
        match whole.await {
            Some(Ok(body)) => {
                self.gateway.connections.put_back(channel, &parts.headers);
                match head.not_run || head.misdirected {
                    true => Attempt::NotRun {
                        misdirected: head.misdirected,
                    },
                    false => Attempt::Whole(parts, body.to_bytes()),
                }
            }
            Some(Err(_)) if head.not_run || head.misdirected => Attempt::NotRun {
                misdirected: head.misdirected,
            },
            Some(Err(_)) => Attempt::Broken,
            None => Attempt::Silent,
        }
    }

    // Why an answer cannot be the whole answer of the target to this request.
    fn distrust(&self, parts: &response::Parts, head: &TargetResponseHead) -> Option<&'static str> {
        let refuses = head.not_run || head.misdirected;
        match head {
            TargetResponseHead { id: Some(id), .. } if *id != self.admitted.head.id => {
                Some("other id")
            }
            TargetResponseHead { encoded: true, .. } => Some("encoded"),
            _ if refuses => None,
            TargetResponseHead { id: None, .. } => Some("no id"),
            TargetResponseHead { receipt: false, .. } if parts.status.is_success() => {
                Some("no receipt")
            }
            _ => None,
        }
    }

    /// Counts a failed attempt and says what the caller would be told.
    pub fn failed(&mut self, sending: Sending, attempt: &Attempt) -> Refusal {
        self.exclude.push(sending.slot.target.clone());
        let ms = clock::now() - sending.sent;
        let (outcome, refusal, what) = match attempt {
            Attempt::Unreachable => {
                self.unreachable += 1;
                (SlotOutcome::Unreachable, Refusal::NotRun, "unreachable")
            }
            Attempt::Down => {
                self.unreachable += 1;
                (SlotOutcome::Down, Refusal::NotRun, "down")
            }
            Attempt::Left => {
                self.unreachable += 1;
                (SlotOutcome::Gone, Refusal::NotRun, "left")
            }
            Attempt::NotRun { misdirected } => {
                self.arrivals += 1;
                self.refusals += 1;
                let outcome = if *misdirected {
                    SlotOutcome::Gone
                } else {
                    SlotOutcome::Full
                };
                (outcome, Refusal::NotRun, "not_run")
            }
            Attempt::Silent => {
                self.arrivals += 1;
                self.sends += 1;
                (SlotOutcome::Silent, Refusal::Timeout, "silent")
            }
            _ => {
                self.arrivals += 1;
                self.sends += 1;
                (SlotOutcome::Broken, Refusal::Unknown, "broken")
            }
        };
        self.gateway
            .metrics
            .sends_failed
            .add(1, &[label("kind", what)]);
        info!(event = "send_failed", request:% = self.admitted.head.id, target:% = sending.slot.target, scheduler:% = sending.slot.scheduler, what, ms = ms as u64; "send failed");
        sending.slot.release(outcome);
        refusal
    }

    /// Whether the request may be sent again after a failed attempt.
    pub fn may_go_on(&self, attempt: &Attempt) -> bool {
        match attempt {
            Attempt::Unreachable | Attempt::Down | Attempt::Left => {
                self.unreachable < MAX_UNREACHABLE
            }
            Attempt::NotRun { .. } => self.refusals < MAX_REFUSALS,
            _ => self.may_resend(),
        }
    }

    /// Whether a request that may have run may be sent again.
    pub fn may_resend(&self) -> bool {
        self.admitted.route.retry != RetryPolicy::Never && self.sends < self.admitted.route.attempts
    }

    // After a whole answer that is a failure of the target.
    fn may_send_again(&mut self) -> bool {
        self.arrivals += 1;
        self.sends += 1;
        self.may_resend()
    }

    /// Time until a stream in progress counts as silent.
    pub fn stream_patience(&self) -> Duration {
        let ms = STREAM_SILENCE_MS.min(self.left_ms()).max(1.0);
        Duration::from_secs_f64(ms / 1000.0)
    }

    pub fn is_over(&self) -> bool {
        self.left_ms() <= 1.0
    }
}

/// A slot and when the request went there.
pub(crate) struct Sending {
    pub slot: Slot,
    pub sent: Timestamp,
}

fn elapsed(since: Timestamp) -> Duration {
    Duration::from_secs_f64((clock::now() - since).max(0.0) / 1000.0)
}

// Targets are addressed by path and query only.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
