//! The lifecycle of one request: slots, dispatches and retries.
//!
//! A request counts as sent from just before its first byte goes to a target. From then on, the
//! gateway reports it as not run only if the target itself has reported that.

mod failure;
mod receive;

use bytes::Bytes;
use http::{Request, Response, Uri, request, response};
use http_body_util::{BodyExt, Full};
use log::{info, warn};
use rwd_metrics::label;
use rwd_placement::{
    Feature, Fingerprint, Offer, Origin, SlotOutcome, StreamKey, Timestamp, Version, VersionRule,
    features,
};
use rwd_types::{InstanceName, TargetName};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use crate::connection::{ConnectError, Connection, Reuse, SendResult};
use crate::crash_sync::Trial;
use crate::gateway::{Admitted, Body, Gateway, InProgress};
use crate::proof::{Permit, Proof, Reason};
use crate::refusal::Refusal;
use crate::relay::{Relay, StartedStream};
use crate::rollout::InUse;
use crate::slots::Slot;
use crate::stop::Admission;
use crate::{Protocol, RetryPolicy, TargetRequestHead, Withheld, clock};

/// Minimum time left for which a request is still dispatched, in milliseconds.
const MIN_DISPATCH_MS: f64 = 25.0;
/// Shortest retry-after time of requests that are blocked because they crash targets, in milliseconds.
const MIN_BLOCKED_RETRY_MS: f64 = 500.0;
/// Longest retry-after time of these, in milliseconds.
const MAX_BLOCKED_RETRY_MS: f64 = 30_000.0;
/// First-byte timeout of a target, as a multiple of the expected time to first byte.
const FIRST_BYTE_TIMEOUT_FACTOR: f64 = 3.0;
/// Minimum first-byte timeout, in milliseconds.
const MIN_FIRST_BYTE_TIMEOUT_MS: f64 = 900.0;
/// Minimum first-byte timeout of a target that has recently responded to others, in milliseconds.
const PROVEN_FIRST_BYTE_TIMEOUT_MS: f64 = 2000.0;
/// Time for which a target is not granted to this node again after a slot of it was given back because
/// of a roll-out, in milliseconds.
const ROLLOUT_HOLD_MS: f64 = 200.0;
/// Idle timeout of a stream in progress, in milliseconds.
const STREAM_IDLE_TIMEOUT_MS: f64 = 1600.0;

/// A request in progress.
pub(crate) struct ActiveRequest<P> {
    pub gateway: Arc<Gateway<P>>,
    pub admitted: Admitted,
    pub parts: request::Parts,
    body: Bytes,
    fingerprint: Fingerprint,
    // What it may have in common with requests that crash targets.
    features: Vec<Feature>,
    // Set if it is sent to see whether it still crashes targets.
    trial: Option<Trial>,
    exclude: Vec<TargetName>,
    // A slot for failover from an unresponsive target, already charged to the retry budget.
    failover_slot: Option<Slot>,
    // Whether a target has the request, or may have it.
    in_flight: bool,
    // Dispatches after which the request may have run.
    sends: u32,
    // Dispatches that reached a target, whatever its response.
    arrivals: u32,
    refusals: u32,
    unreachable: u32,
    // Slots that were given back because of what their targets' responses said.
    withheld: u32,
    // Where it has been sent.
    addresses: Vec<SocketAddr>,
    // Which version began its stream; none if it has not begun.
    origin: Option<Origin>,
    // Whether its last send went to the old version of a roll-out; none if there was no send.
    began_old: Option<bool>,
    /// Events of the response that have been relayed.
    pub events: u32,
    /// When the current target began to write its response.
    pub writing_since: Option<Timestamp>,
    _in_progress: InProgress<P>,
}

/// The outcome of one dispatch.
pub(crate) enum Attempt {
    /// Nothing was sent.
    Unreachable(Permit),
    /// Nothing was sent, because nothing listens at the target's address.
    Down(Permit),
    /// Nothing was sent, as this node has no path to the target.
    NoPath(Permit),
    /// Nothing was sent, because the target is draining.
    Draining(Permit),
    /// Nothing was sent, because of what the target's responses said.
    Withheld(Withheld, Permit),
    /// Nothing was sent, because requests like this one crash targets.
    Blocked(Refusal),
    /// The target has not run the request.
    NotRun(SlotOutcome, Proof),
    /// A refusal that may not be the response to the request, which may have run.
    Unproved(SlotOutcome),
    /// A complete response.
    Complete(response::Parts, Bytes),
    /// The head and first event of a stream.
    Started(Box<StartedStream>),
    /// The exchange failed, and the request may have run.
    Broken,
    /// The node that carried the connection was lost, and the request may have run.
    CarrierLost,
    /// The target sent bytes that are no part of its response, and the request may have run.
    Malformed,
    /// The target was unresponsive, and the request may have run.
    Unresponsive,
}

/// How the dispatches of a request end.
enum Outcome {
    /// A complete response.
    Complete(response::Parts, Bytes),
    /// A stream that has started at a target.
    Started(Slot, Box<StartedStream>),
    /// No response of a target.
    Refused(Refusal),
}

impl<P: Protocol> ActiveRequest<P> {
    pub fn new(
        gateway: Arc<Gateway<P>>,
        admitted: Admitted,
        parts: request::Parts,
        body: Bytes,
        in_progress: InProgress<P>,
    ) -> Self {
        let workspace = admitted.workspace.as_ref().map(|w| &w.name);
        let fingerprint = gateway.fingerprinter.of(&parts, workspace, &body);
        let features = features(&admitted.head.parts, fingerprint);
        Self {
            gateway,
            admitted,
            parts,
            body,
            fingerprint,
            features,
            trial: None,
            exclude: Vec::new(),
            failover_slot: None,
            in_flight: false,
            sends: 0,
            arrivals: 0,
            refusals: 0,
            unreachable: 0,
            withheld: 0,
            addresses: Vec::new(),
            origin: None,
            began_old: None,
            events: 0,
            writing_since: None,
            _in_progress: in_progress,
        }
    }

    fn left_ms(&self) -> f64 {
        self.admitted.deadline - clock::now()
    }

    /// Dispatches the request until it gets a response, or refuses it.
    pub async fn execute(mut self, first: Permit) -> Response<Body> {
        let gateway = self.gateway.clone();
        let mut admission = gateway.admission.subscribe();
        let outcome = tokio::select! {
            outcome = self.dispatch(first) => outcome,
            // The sender lives as long as the gateway.
            _ = admission.wait_for(|a| *a == Admission::Over) => {
                self.sends += u32::from(self.in_flight);
                Outcome::Refused(Refusal::Leaving)
            }
        };
        match outcome {
            Outcome::Complete(parts, body) => self.complete(parts, body),
            Outcome::Started(slot, started) => Relay::start(self, slot, *started),
            Outcome::Refused(refusal) => self.refuse(refusal),
        }
    }

    async fn dispatch(&mut self, first: Permit) -> Outcome {
        let mut last_failure = None;
        let mut permit = first;
        if let Err(refusal) = self.find_origin().await {
            return Outcome::Refused(refusal);
        }
        let refusal = loop {
            let last_event = self.admitted.head.last_event;
            let (dispatch, attempt) = match self.next_attempt(permit, last_event).await {
                Ok(pair) => pair,
                Err(refusal) => break refusal,
            };
            match attempt {
                Attempt::Complete(parts, body) => {
                    let failed = parts.status.is_server_error();
                    let ms = clock::now() - dispatch.sent;
                    let route = &self.admitted.route.name;
                    dispatch.slot.record_answer(route, failed, ms);
                    let outcome = if failed {
                        SlotOutcome::Failed
                    } else {
                        self.record_sound(dispatch.sent);
                        self.complete_outcome(&dispatch)
                    };
                    self.exclude.push(dispatch.slot.target.clone());
                    dispatch.slot.release(outcome);
                    let repeat = match failed {
                        true => self.permit_after_error(),
                        false => None,
                    };
                    match repeat {
                        Some(next) => {
                            last_failure = Some((parts, body));
                            permit = next;
                        }
                        None => return Outcome::Complete(parts, body),
                    }
                }
                Attempt::Started(started) => return Outcome::Started(dispatch.slot, started),
                other => match self.record_failure(dispatch, other) {
                    (_, Some(next)) => permit = next,
                    (refusal, None) => break refusal,
                },
            }
        };
        match last_failure {
            // The target's own error says more than the lack of another response.
            Some((parts, body)) => Outcome::Complete(parts, body),
            None => Outcome::Refused(refusal),
        }
    }

    // Finds out which version began the stream that the caller takes up.
    async fn find_origin(&mut self) -> Result<(), Refusal> {
        let (head, pool) = (&self.admitted.head, &self.admitted.pool);
        let takes_up = head.last_event.is_some_and(|id| id > 0) || head.resumes.is_some();
        if !takes_up || !self.is_resumable() {
            return Ok(());
        }
        let key = head.resumes.as_ref().map(|id| self.stream_key(id));
        let left = Duration::from_secs_f64(self.left_ms().max(0.0) / 1000.0);
        let origin = timeout(left, self.gateway.streams.origin(pool, key)).await;
        let origin = origin.map_err(|_| Refusal::Timeout)?;
        info!(event = "taken_up", request:% = head.id, resumes:? = head.resumes, after:? = head.last_event, origin:?; "the caller takes up a stream");
        match origin {
            Some(Origin::Version(_)) => {
                self.origin = origin;
                Ok(())
            }
            Some(Origin::Ambiguous) | None => Err(Refusal::UnknownOrigin),
        }
    }

    fn is_resumable(&self) -> bool {
        let route = &self.admitted.route;
        route.streams && route.retry == RetryPolicy::Resume
    }

    fn stream_key(&self, attempt: &str) -> StreamKey {
        let (pool, workspace) = (&self.admitted.pool, self.admitted.workspace.as_ref());
        let workspace = workspace.map(|w| &w.name);
        self.gateway.fingerprinter.stream(pool, workspace, attempt)
    }

    /// Records that the current target has sent the first event of its part of the stream. Returns whether the
    /// stream is that of one version.
    fn record_origin(&mut self, dispatch: &Dispatch) -> bool {
        if !self.is_resumable() {
            return true;
        }
        // The entry may have been that of an earlier process of the target.
        let process = self.gateway.replica.process(&dispatch.slot.target);
        let is_same = process.is_none_or(|p| p == (dispatch.born, dispatch.version.clone()));
        let origin = match is_same {
            true => Origin::Version(dispatch.version.clone()),
            false => Origin::Ambiguous,
        };
        if self.origin.as_ref().is_some_and(|began| *began != origin) {
            return false;
        }
        self.share_origin(&origin);
        self.origin = Some(origin);
        true
    }

    // Tells other nodes which version begins, or goes on with, the stream.
    fn share_origin(&self, origin: &Origin) {
        let head = &self.admitted.head;
        for attempt in [Some(&head.id), head.resumes.as_ref()]
            .into_iter()
            .flatten()
        {
            let (pool, key) = (&self.admitted.pool, self.stream_key(attempt));
            self.gateway.streams.record(pool, key, origin.clone());
        }
    }

    fn refuse(&self, refusal: Refusal) -> Response<Body> {
        let refusal = match self.sends {
            0 => {
                self.gateway.refund_units(&self.admitted);
                match (refusal, self.held_ms()) {
                    (Refusal::NotRun | Refusal::Overload { .. }, Some(retry_after_ms)) => {
                        Refusal::Held { retry_after_ms }
                    }
                    _ => refusal,
                }
            }
            // The request may have run, so no other refusal would be true.
            _ if self.left_ms() < MIN_DISPATCH_MS => Refusal::Timeout,
            _ => Refusal::Unknown,
        };
        self.record_end(&refusal.to_string(), refusal.status().as_u16());
        refusal.response()
    }

    /// Logs the end of the request and records its metrics.
    pub fn record_end(&self, outcome: &str, status: u16) {
        let ms = clock::now() - self.admitted.arrived;
        let labels = [label("outcome", outcome)];
        self.gateway.metrics.ended.add(1, &labels);
        self.gateway.metrics.answer_ms.record(ms, &labels);
        info!(
            event = "answer", request:% = self.admitted.head.id, fingerprint:% = self.fingerprint, outcome, status,
            route:% = self.admitted.route.name, config = self.admitted.catalog.version,
            sends = self.sends, arrivals = self.arrivals, unreachable = self.unreachable,
            ms = ms as u64;
            "request ended"
        );
    }

    fn complete_outcome(&self, dispatch: &Dispatch) -> SlotOutcome {
        SlotOutcome::Complete {
            first_ms: clock::now() - dispatch.sent,
            rest_ms: 0.0,
            output: 0,
        }
    }

    fn complete(&self, parts: response::Parts, body: Bytes) -> Response<Body> {
        self.record_end("answered", parts.status.as_u16());
        let body = Full::new(body).map_err(|never| match never {});
        let mut response = Response::new(body.boxed_unsync());
        *response.status_mut() = parts.status;
        *response.headers_mut() = self.gateway.protocol.response_headers(&parts.headers);
        response
    }

    /// Acquires a slot and dispatches the request there; a stream resumes after `last_event`.
    pub async fn next_attempt(
        &mut self,
        permit: Permit,
        last_event: Option<u64>,
    ) -> Result<(Dispatch, Attempt), Refusal> {
        let left_ms = self.left_ms();
        if left_ms < MIN_DISPATCH_MS {
            return Err(Refusal::Timeout);
        }
        self.check_blocked()?;
        self.writing_since = None;
        let requested_at = clock::now();
        let failover_slot = self.failover_slot.take();
        let has_budget = failover_slot.is_some();
        let slot = match failover_slot {
            Some(slot) => slot,
            None => self.acquire_slot(left_ms).await?,
        };
        // It may have been blocked while it was queued.
        self.check_blocked()?;
        let sent = clock::now();
        let process = self.gateway.replica.process(&slot.target);
        let (born, version) = process.unwrap_or_default();
        let mut dispatch = Dispatch {
            slot,
            sent,
            born,
            version,
            carrier: None,
        };
        let began = self.origin.clone();
        if began.is_some_and(|o| o != Origin::Version(dispatch.version.clone())) {
            info!(event = "other_version", request:% = self.admitted.head.id, target:% = dispatch.slot.target, version:% = dispatch.version, origin:? = self.origin; "the scheduler granted a slot of a target of another version");
            return Ok((dispatch, Attempt::Draining(permit)));
        }
        if let Some(withheld) = self.withheld(&dispatch) {
            info!(event = "withheld", request:% = self.admitted.head.id, target:% = dispatch.slot.target, scheduler:% = dispatch.slot.scheduler, reason:? = withheld; "the scheduler granted a slot of a target that wants no request");
            return Ok((dispatch, Attempt::Withheld(withheld, permit)));
        }
        if !self.gateway.replica.is_active(&dispatch.slot.target) {
            info!(event = "left", request:% = self.admitted.head.id, target:% = dispatch.slot.target, scheduler:% = dispatch.slot.scheduler; "the scheduler granted a slot of a draining target");
            return Ok((dispatch, Attempt::Draining(permit)));
        }
        if self.arrivals > 0 && !has_budget && !self.gateway.limiter.may_retry(&self.admitted.pool)
        {
            info!(event = "repeat_budget", request:% = self.admitted.head.id; "retry budget exhausted");
            return Err(Refusal::NotRun);
        }
        let (pool, slot) = (&self.admitted.pool, &dispatch.slot);
        let is_first = self.began_old.is_none();
        let entered = self
            .gateway
            .rollouts
            .enter(pool, &slot.target, &slot.rule, is_first);
        let Ok(in_use) = entered else {
            info!(event = "rollout_held", request:% = self.admitted.head.id, target:% = slot.target, rule:? = slot.rule; "a roll-out has gone on while the request waited for its slot");
            let left_ms = ROLLOUT_HOLD_MS;
            return Ok((
                dispatch,
                Attempt::Withheld(Withheld::Held { left_ms }, permit),
            ));
        };
        self.began_old = Some(!in_use.as_ref().is_some_and(InUse::is_new));
        dispatch.slot.in_use = in_use.map(Box::new);
        self.gateway
            .metrics
            .slot_wait_ms
            .record(sent - requested_at, &[]);
        self.record_spill(&dispatch.slot);
        info!(
            event = "dispatch", request:% = self.admitted.head.id, target:% = dispatch.slot.target,
            version:% = dispatch.version,
            resumes:? = self.admitted.head.resumes,
            scheduler:% = dispatch.slot.scheduler, waited_ms = (sent - requested_at) as u64,
            expected_ms = dispatch.slot.first_ms as u64, after:? = last_event,
            arrivals = self.arrivals, may_repeat = self.may_repeat(),
            list_age_ms = self.gateway.replica.targets_age_ms() as u64,
            spilled_to:? = dispatch.slot.spill.as_ref().map(|s| s.zone.as_str());
            "dispatching to a target"
        );
        // Before the target responds, so that others know it when the first event arrives. If another version
        // begins the stream after all, it is ambiguous.
        if self.is_resumable() {
            self.share_origin(&Origin::Version(dispatch.version.clone()));
        }
        let attempt = self.send(permit, &mut dispatch, last_event).await;
        Ok((dispatch, attempt))
    }

    fn record_spill(&self, slot: &Slot) {
        if let Some(spill) = &slot.spill {
            let metrics = &self.gateway.metrics;
            metrics.spilled.add(1, &[label("reason", spill.reason)]);
            let age_ms = spill.room_age_ms.iter();
            age_ms.for_each(|ms| metrics.room_age_ms.record(*ms, &[]));
        }
    }

    // Why this node must not send requests to the target of a slot.
    fn withheld(&self, dispatch: &Dispatch) -> Option<Withheld> {
        let (target, now) = (&dispatch.slot.target, clock::now());
        self.gateway.withheld.check(target, dispatch.born, now)
    }

    fn check_blocked(&mut self) -> Result<(), Refusal> {
        let guard = &self.gateway.crash_guard;
        let admitted = guard.admit(&self.features, &mut self.trial);
        admitted.map_err(|left_ms| Refusal::CrashesTargets {
            retry_after_ms: left_ms.clamp(MIN_BLOCKED_RETRY_MS, MAX_BLOCKED_RETRY_MS),
        })
    }

    /// Records that the current target, to which the request was sent at `sent`, completed it.
    pub fn record_sound(&self, sent: Timestamp) {
        let guard = &self.gateway.crash_guard;
        guard.record_complete(&self.features, sent);
    }

    async fn acquire_slot(&self, left_ms: f64) -> Result<Slot, Refusal> {
        let (offer, rule) = self.offer()?;
        if self.gateway.slots.exceeds_memory(&offer) {
            info!(event = "exceeds_memory", request:% = offer.request, pool:% = offer.pool, prompt = offer.prompt, max_output = offer.max_output; "the request is larger than the memory of a target may hold");
            return Err(Refusal::ExceedsMemory);
        }
        let slot = self.gateway.slots.acquire(offer);
        let limit = Duration::from_secs_f64(left_ms / 1000.0);
        let acquired = tokio::select! {
            biased;
            () = self.too_late() => return Err(Refusal::Leaving),
            acquired = timeout(limit, slot) => acquired,
        };
        match acquired {
            Ok(Ok(slot)) => Ok(slot.with_rule(rule)),
            Ok(Err(declined)) => {
                info!(event = "declined", request:% = self.admitted.head.id, no_target = declined.no_target; "no slot granted");
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

    // Returns once a planned stop leaves too little time for a request that no target has had.
    async fn too_late(&self) {
        if self.sends > 0 {
            return std::future::pending().await;
        }
        let mut admission = self.gateway.admission.subscribe();
        let deadline = self.admitted.deadline;
        // The sender lives as long as the gateway.
        let _ = admission.wait_for(|a| a.is_too_late(deadline)).await;
    }

    /// Waits for a target; once it is unresponsive for `limit`, tries to get a slot elsewhere too.
    ///
    /// None if the request is to fail over to that slot, or if its time is over. An unresponsive
    /// target alone is no reason to give up: without a slot elsewhere the wait continues.
    pub async fn wait_or_fail_over<T>(
        &mut self,
        pending: impl Future<Output = T>,
        limit: Duration,
        current: &TargetName,
    ) -> Option<T> {
        tokio::pin!(pending);
        if let Ok(output) = timeout(limit, &mut pending).await {
            return Some(output);
        }
        if self.may_fail_over()
            && let Ok((mut offer, rule)) = self.offer()
        {
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
                self.failover_slot = Some(slot.with_rule(rule));
                return None;
            }
        }
        let left = Duration::from_secs_f64(self.left_ms().max(1.0) / 1000.0);
        timeout(left, pending).await.ok()
    }

    // Whether the request may go to another target while one is still processing it.
    fn may_fail_over(&self) -> bool {
        self.may_repeat()
            && self.sends + 1 < self.admitted.route.attempts
            && self.left_ms() > MIN_DISPATCH_MS
    }

    // The offer, and the rule of a roll-out that it keeps to.
    fn offer(&self) -> Result<(Offer, VersionRule), Refusal> {
        let a = &self.admitted;
        let rollouts = &self.gateway.rollouts;
        let rule = match &self.origin {
            None => rollouts.choose(&a.pool, self.began_old == Some(true)),
            Some(Origin::Version(version)) => {
                let rule = rollouts.choose_resume(&a.pool, version);
                let is_served = self.gateway.replica.is_served(&a.pool, version);
                rule.filter(|_| is_served).ok_or(Refusal::VersionLeft)?
            }
            Some(Origin::Ambiguous) => return Err(Refusal::UnknownOrigin),
        };
        let offer = Offer {
            request: a.head.id.clone(),
            pool: a.pool.clone(),
            rank: a.rank,
            workspace: a.workspace.as_ref().map(|w| w.name.clone()),
            parts: a.head.parts.clone(),
            prompt: a.head.prompt_tokens,
            output: self.gateway.expected_output(a),
            max_output: a.head.max_output_tokens,
            aim_left_ms: a.arrived + a.route.objective_ms - clock::now(),
            time_left_ms: self.left_ms(),
            home: self.gateway.instance.clone(),
            zone: self.gateway.zone.clone(),
            exclude: self.exclude.clone(),
            beyond_quota: a.beyond_quota,
            returned: a.returned,
            resumes: self.sends > 0,
            reuse_ms: self.reuse().likely_idle_ms(),
            may_repeat: self.may_repeat(),
            last_resort: false,
            version: rule.clone(),
        };
        Ok((offer, rule))
    }

    async fn send(
        &mut self,
        mut permit: Permit,
        dispatch: &mut Dispatch,
        last_event: Option<u64>,
    ) -> Attempt {
        let reuse = self.reuse();
        let (target, address) = (dispatch.slot.target.clone(), dispatch.slot.address);
        loop {
            let connections = &self.gateway.connections;
            let connection = connections
                .get(&self.admitted.pool, &target, dispatch.born, address, reuse)
                .await;
            let mut connection = match connection {
                Ok(connection) => connection,
                Err(e) => {
                    info!(event = "unreachable", request:% = self.admitted.head.id, target:% = target, error:% = e; "cannot connect to the target");
                    return match e {
                        ConnectError::Timeout => Attempt::Unreachable(permit),
                        ConnectError::Refused => Attempt::Down(permit),
                        ConnectError::NoPath => Attempt::NoPath(permit),
                        ConnectError::Leaving => Attempt::Draining(permit),
                    };
                }
            };
            let left_ms = self.left_ms();
            if left_ms < MIN_DISPATCH_MS {
                return Attempt::Unreachable(permit);
            }
            dispatch.carrier = connection.carrier().cloned();
            if let Some(carrier) = &dispatch.carrier {
                info!(event = "detour", request:% = self.admitted.head.id, target:% = target, carrier:%; "sending through another node");
            }
            // It may have been blocked while it waited for the connection.
            if let Err(refusal) = self.check_blocked() {
                return Attempt::Blocked(refusal);
            }
            let req = self.target_request(&dispatch.slot, left_ms, last_event);
            self.record_second_send(&permit, &target);
            let same_address = self.addresses.contains(&address);
            let send = connection.begin_send(&self.admitted.head.id, same_address);
            dispatch.sent = send.at;
            self.in_flight = true;
            let limit = self.first_byte_timeout(&dispatch.slot, left_ms);
            let sent = self.wait_or_fail_over(connection.send(req, permit, &send), limit, &target);
            match sent.await {
                // The connection was closed while it was idle; another one is tried.
                Some(SendResult::NotSent(proof)) if connection.is_reused() => {
                    info!(event = "not_sent", request:% = self.admitted.head.id, target:% = target, idle_ms = connection.idle_ms as u64; "an idle connection had been closed; nothing was sent on it");
                    permit = Permit::after(proof);
                    continue;
                }
                Some(SendResult::NotSent(proof)) => {
                    return Attempt::Unreachable(Permit::after(proof));
                }
                Some(SendResult::Response(response)) => {
                    self.addresses.push(address);
                    let limit = limit.saturating_sub(elapsed(dispatch.sent));
                    let reading =
                        self.read_response(response, connection, limit, dispatch, send, last_event);
                    return reading.await;
                }
                Some(SendResult::Broken(e)) => {
                    self.addresses.push(address);
                    info!(event = "broken", request:% = self.admitted.head.id, target:% = target, reused = connection.is_reused(), error:% = e; "connection broke before a response");
                    return broken(&connection);
                }
                None => {
                    self.addresses.push(address);
                    return Attempt::Unresponsive;
                }
            }
        }
    }

    // How long a target may take for its first byte before the request may fail over.
    fn first_byte_timeout(&self, slot: &Slot, left_ms: f64) -> Duration {
        let least = match slot.proven {
            true => PROVEN_FIRST_BYTE_TIMEOUT_MS,
            false => MIN_FIRST_BYTE_TIMEOUT_MS,
        };
        let expected = (slot.first_ms * FIRST_BYTE_TIMEOUT_FACTOR).max(least);
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

    // Logs that a request that may run once is sent again, and why it counts as not run. Nothing else
    // would explain a request that ran twice, so this is a warning, which survives a crash.
    fn record_second_send(&self, permit: &Permit, target: &TargetName) {
        let Some(proof) = permit.proof().filter(|_| !self.may_repeat()) else {
            return;
        };
        let (status, not_run) = match proof.reason() {
            Reason::NotSent => (0, false),
            Reason::Refused { status, not_run } => (status.as_u16(), not_run),
        };
        let before = proof.send();
        warn!(
            event = "second_send", request:% = self.admitted.head.id, target:%, before:% = before.target,
            proof:% = proof.reason(), status, not_run, earlier = before.earlier,
            idle_ms = before.idle_ms as u64, age_ms = (before.at - before.opened) as u64,
            after_ms = proof.after_ms() as u64,
            route:% = self.admitted.route.name, retry:? = self.admitted.route.retry,
            config = self.admitted.catalog.version;
            "sending a request that may run once again, as it has not run"
        );
        let labels = [label("proof", proof.reason())];
        self.gateway.metrics.second_sends.add(1, &labels);
    }

    // Time until the first target of the request's pool may get requests from this node again, if none
    // may now.
    fn held_ms(&self) -> Option<f64> {
        let now = clock::now();
        let targets = self.gateway.replica.targets(&self.admitted.pool);
        let active = targets.iter().filter(|(_, entry)| !entry.leaving);
        let mut first = None;
        for (name, entry) in active {
            match self.gateway.withheld.check(name, entry.born, now)? {
                Withheld::Leaving => (),
                Withheld::Held { left_ms } => first = Some(left_ms.min(first.unwrap_or(left_ms))),
            }
        }
        first
    }

    fn reuse(&self) -> Reuse {
        match self.may_repeat() {
            true => Reuse::Allowed,
            false => Reuse::Sound,
        }
    }

    // Whether the request may run more than once.
    fn may_repeat(&self) -> bool {
        self.admitted.route.retry != RetryPolicy::Never
    }

    /// How long a stream in progress may be idle before the request may fail over.
    pub fn stream_idle_timeout(&self) -> Duration {
        let ms = STREAM_IDLE_TIMEOUT_MS.min(self.left_ms()).max(1.0);
        Duration::from_secs_f64(ms / 1000.0)
    }

    pub fn is_expired(&self) -> bool {
        self.left_ms() <= 1.0
    }
}

/// A slot and when the request was sent to its target.
pub(crate) struct Dispatch {
    pub slot: Slot,
    pub sent: Timestamp,
    /// Start time of the target's process, as listed at that time.
    pub born: u64,
    /// Version of its software, as listed at that time.
    pub version: Version,
    /// The node that carries the connection, if it is not this one's.
    pub carrier: Option<InstanceName>,
}

/// The attempt whose connection broke after the request may have been sent.
pub(crate) fn broken(connection: &Connection) -> Attempt {
    match connection.is_carrier_lost() {
        true => Attempt::CarrierLost,
        false => Attempt::Broken,
    }
}

fn elapsed(since: Timestamp) -> Duration {
    Duration::from_secs_f64((clock::now() - since).max(0.0) / 1000.0)
}

// The URI reduced to path and query, as targets expect it.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
