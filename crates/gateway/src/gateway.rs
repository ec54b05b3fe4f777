//! Admits callers' requests: authentication, routing, quotas and deadlines.

use bytes::Bytes;
use compact_str::CompactString;
use http::{Request, Response, request};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use indexmap::IndexMap;
use log::info;
use rand::RngExt;
use rwd_edge::{BodyError, receive_body};
use rwd_metrics::{Metrics, label};
use rwd_peer::Directory;
use rwd_placement::{Rank, Timestamp};
use rwd_types::{InstanceName, PoolName, ZoneName};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

use crate::buffers::BufferBudget;
use crate::connection::ConnectionPool;
use crate::crash_sync::CrashGuard;
use crate::detour::Detours;
use crate::fingerprint::Fingerprinter;
use crate::held_stream::HeldStreams;
use crate::limits::Limiter;
use crate::proof::Permit;
use crate::quota::QuotaStatus;
use crate::refusal::Refusal;
use crate::request_body;
use crate::rollout::Rollouts;
use crate::run::ActiveRequest;
use crate::slots::Slots;
use crate::stop::Admission;
use crate::stream_sync::StreamSync;
use crate::{
    Catalog, Protocol, RequestHead, Route, StoreReplica, WithheldTargets, Workspace, clock,
};

/// Safety margin within `key_removal_ms`, in milliseconds: requests spend time in transit before
/// their keys are checked.
const KEY_MARGIN_MS: f64 = 500.0;
/// Fraction of a route's latency objective for which a request may wait for quota units.
const QUOTA_WAIT_SHARE: f64 = 0.2;
/// How often a request may wait for quota units. Each bucket starts empty, and while nodes are lost a
/// request may meet two new ones: this node's own share, then that of the next quota coordinator.
const MAX_QUOTA_WAITS: u32 = 2;
/// Time reserved for the response to reach the caller, in milliseconds.
const RESPONSE_TRANSIT_MS: f64 = 20.0;
/// Bytes of responses that a node buffers before it passes them on.
pub(crate) const MAX_BUFFERED_BYTES: usize = 16 << 20;
/// Longest time for which any request is kept, in milliseconds.
const MAX_REQUEST_MS: f64 = 86_400_000.0;
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Initial estimate of the output length, as a fraction of the maximum that the request allows.
const INITIAL_OUTPUT_SHARE: f64 = 0.5;
/// Factor by which a route's largest caller timeout decays with each request.
const MAX_TIME_LEFT_DECAY: f64 = 0.9999;
/// Relative shortfall from a route's largest caller timeout that identifies a caller's retry.
const MIN_RETRY_SHORTFALL: f64 = 0.03;
/// Weight of a new sample in the moving average of output lengths.
const OUTPUT_SAMPLE_WEIGHT: f64 = 0.05;

/// Aborts a response body, so that a truncated response cannot be mistaken for a complete one.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("response aborted")]
pub struct Aborted;

/// A response body.
pub type Body = UnsyncBoxBody<Bytes, Aborted>;

/// State shared by all requests of one node.
pub(crate) struct Gateway<P> {
    pub protocol: P,
    pub instance: InstanceName,
    pub zone: ZoneName,
    pub replica: Arc<StoreReplica>,
    pub slots: Arc<Slots>,
    pub connections: Arc<ConnectionPool>,
    pub detours: Arc<Detours>,
    pub buffers: Arc<BufferBudget>,
    /// What is held for slow readers of streams; none if the node's memory is not configured.
    pub held_streams: Option<Arc<HeldStreams>>,
    /// What is held for request bodies; none if the node's memory is not configured.
    pub bodies: Option<Arc<BufferBudget>>,
    pub withheld: Arc<WithheldTargets>,
    pub directory: Arc<Directory>,
    pub limiter: Arc<Limiter>,
    pub crash_guard: Arc<CrashGuard>,
    pub fingerprinter: Fingerprinter,
    pub streams: Arc<StreamSync>,
    pub rollouts: Arc<Rollouts>,
    pub output_shares: Mutex<IndexMap<CompactString, f64>>,
    /// The largest timeout that callers of each route set, in milliseconds.
    pub max_time_left_ms: Mutex<IndexMap<CompactString, f64>>,
    pub metrics: Arc<Metrics>,
    pub in_progress: AtomicUsize,
    pub admission: watch::Sender<Admission>,
}

/// Counts a request as in progress until dropped.
pub(crate) struct InProgress<P>(Arc<Gateway<P>>);

impl<P> Drop for InProgress<P> {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An admitted request.
pub(crate) struct Admitted {
    pub head: RequestHead,
    pub route: Arc<Route>,
    pub workspace: Option<Arc<Workspace>>,
    pub pool: PoolName,
    pub rank: Rank,
    pub arrived: Timestamp,
    /// Whether the request is assumed to be a retry by a caller that was refused before.
    pub returned: bool,
    pub deadline: Timestamp,
    /// Quota units charged for the request.
    pub units: f64,
    /// Whether the units are over quota and only tolerated.
    pub beyond_quota: bool,
    pub catalog: Arc<Catalog>,
}

impl<P: Protocol> Gateway<P> {
    /// Serves one request.
    pub async fn serve(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        let in_progress = InProgress(self.clone());
        self.metrics.accepted.add(1, &[]);
        let arrived = clock::now();
        let (parts, body) = req.into_parts();
        if *self.admission.borrow() != Admission::Open {
            return self.refuse("", Refusal::Leaving);
        }
        let admitted = match self.admit(&parts, arrived).await {
            Ok(admitted) => admitted,
            Err((id, refusal)) => return self.refuse(&id, refusal),
        };
        let body = match self.read_body(body, &admitted).await {
            Ok(body) => body,
            Err(refusal) => {
                self.refund_units(&admitted);
                return self.refuse(&admitted.head.id, refusal);
            }
        };
        ActiveRequest::new(self, admitted, parts, body, in_progress)
            .execute(Permit::first())
            .await
    }

    fn refuse(&self, id: &str, refusal: Refusal) -> Response<Body> {
        let (status, age_ms) = (refusal.status().as_u16(), self.replica.catalog_age_ms());
        let config = self.replica.catalog().map(|c| c.version);
        info!(event = "answer", request = id, outcome:% = refusal, status, config:?, config_age_ms = age_ms as u64; "refused");
        self.metrics.ended.add(1, &[label("outcome", refusal)]);
        refusal.response()
    }

    async fn read_body(&self, body: Incoming, admitted: &Admitted) -> Result<Bytes, Refusal> {
        let max_bytes = admitted.catalog.limits.body_bytes;
        if let Some(budget) = &self.bodies {
            return request_body::receive(body, max_bytes, BODY_TIMEOUT, budget.reserve()).await;
        }
        let received = receive_body(body, max_bytes, BODY_TIMEOUT).await;
        received.map_err(|e| match e {
            BodyError::TooLarge => Refusal::TooLarge,
            BodyError::Broken | BodyError::TooSlow => Refusal::BadRequest,
        })
    }

    async fn admit(
        &self,
        parts: &request::Parts,
        arrived: Timestamp,
    ) -> Result<Admitted, (CompactString, Refusal)> {
        let head = match self.protocol.read_request(parts) {
            Ok(head) => head,
            Err(e) => {
                info!(event = "bad_request", field = e.field, reason:% = e.reason; "malformed request");
                return Err((CompactString::default(), Refusal::BadRequest));
            }
        };
        let id = head.id.clone();
        let mut admitted = self
            .admit_head(parts, head, arrived)
            .map_err(|r| (id.clone(), r))?;
        match self.charge_quota(&mut admitted).await {
            Ok(()) => Ok(admitted),
            Err(refusal) => Err((id, refusal)),
        }
    }

    fn admit_head(
        &self,
        parts: &request::Parts,
        head: RequestHead,
        arrived: Timestamp,
    ) -> Result<Admitted, Refusal> {
        let bounds = self.limiter.bounds();
        let catalog = self.replica.catalog().ok_or(Refusal::Stale)?;
        let age_ms = self.replica.catalog_age_ms();
        // A stale configuration does not prove that a key or a route is unknown.
        let is_fresh = age_ms < bounds.apply_ms;
        let unknown = |refusal| if is_fresh { refusal } else { Refusal::Stale };
        let host = parts.headers.get(http::header::HOST);
        let host = host.and_then(|h| h.to_str().ok()).or(parts.uri.host());
        let host = host.ok_or(Refusal::BadRequest)?;
        let route = catalog.route(host, parts.uri.path());
        let route = route.ok_or(unknown(Refusal::UnknownRoute))?.clone();
        let workspace = match (&head.key, catalog.needs_key(&route)) {
            (_, false) => None,
            // A configuration this old may still contain removed keys, so no key is accepted.
            _ if age_ms > bounds.key_removal_ms - KEY_MARGIN_MS => return Err(Refusal::Stale),
            (None, true) => return Err(Refusal::UnknownKey),
            (Some(key), true) => {
                let workspace = catalog.workspace(key);
                Some(workspace.ok_or(unknown(Refusal::UnknownKey))?.clone())
            }
        };
        let pool = choose_pool(&route).ok_or(Refusal::NotRun)?;
        let longest_ms = route.timeout_ms.min(MAX_REQUEST_MS);
        let timeout_ms = match head.time_left_ms {
            Some(left) => longest_ms.min(left - RESPONSE_TRANSIT_MS),
            None => longest_ms,
        };
        let rank = Rank {
            workspace: workspace.as_ref().map_or(0, |w| w.priority),
            route: route.priority,
        };
        Ok(Admitted {
            returned: self.is_caller_retry(&route, head.time_left_ms),
            head,
            route,
            workspace,
            pool,
            rank,
            arrived,
            deadline: arrived + timeout_ms,
            units: 0.0,
            beyond_quota: false,
            catalog,
        })
    }

    // A caller that retries after a refusal has less time left than others. Its latency objective
    // may have passed, but it has no retries left, so its request is served like a new one.
    fn is_caller_retry(&self, route: &Route, time_left_ms: Option<f64>) -> bool {
        let Some(left) = time_left_ms else {
            return false;
        };
        let mut times = self
            .max_time_left_ms
            .lock()
            .unwrap_or_else(|e| e.into_inner());
        let longest = times.entry(route.name.clone()).or_insert(left);
        *longest = (*longest * MAX_TIME_LEFT_DECAY).max(left);
        *longest - left > *longest * MIN_RETRY_SHORTFALL
    }

    // Charges the request to its workspace's quota and records it for the pool's retry budget.
    async fn charge_quota(&self, admitted: &mut Admitted) -> Result<(), Refusal> {
        self.limiter.record_request(&admitted.pool);
        let Some(workspace) = &admitted.workspace else {
            return Ok(());
        };
        let quota = &workspace.quota;
        let head = &admitted.head;
        let units = match quota.in_tokens {
            true if head.counts_tokens => {
                f64::from(head.prompt_tokens) + f64::from(head.max_output_tokens)
            }
            true => quota.plain_tokens,
            false => 1.0,
        };
        let mut left_ms = admitted.route.objective_ms * QUOTA_WAIT_SHARE;
        let mut taken = self.limiter.take(workspace, units).await;
        for _ in 0..MAX_QUOTA_WAITS {
            match taken {
                Err(wait_ms) if wait_ms <= left_ms => {
                    left_ms -= wait_ms;
                    tokio::time::sleep(Duration::from_secs_f64(wait_ms / 1000.0)).await;
                    taken = self.limiter.take(workspace, units).await;
                }
                _ => break,
            }
        }
        let quota_status = taken.map_err(|retry_after_ms| {
            info!(event = "over_quota", request:% = admitted.head.id, workspace:% = workspace.name, units, retry_after_ms = retry_after_ms as u64; "workspace quota exhausted");
            Refusal::OverQuota { retry_after_ms }
        })?;
        info!(event = "charged", request:% = admitted.head.id, workspace:% = workspace.name, units, status:? = quota_status; "charged to the workspace's quota");
        admitted.beyond_quota = quota_status == QuotaStatus::Beyond;
        admitted.units = units;
        Ok(())
    }

    /// Refunds the quota units of a request that did not run, unless they are over quota: those
    /// would be refunded as units within the quota.
    pub fn refund_units(&self, admitted: &Admitted) {
        if let Some(workspace) = admitted
            .workspace
            .as_ref()
            .filter(|_| !admitted.beyond_quota)
        {
            self.limiter.refund(&workspace.name, admitted.units);
        }
    }

    /// Estimates the output length, in tokens.
    pub fn expected_output(&self, admitted: &Admitted) -> u32 {
        let max = admitted.head.max_output_tokens;
        if let Some(hint) = admitted.head.output_hint {
            return hint.min(max);
        }
        let shares = self.output_shares.lock().unwrap_or_else(|e| e.into_inner());
        let share = shares.get(&admitted.route.name);
        (f64::from(max) * share.copied().unwrap_or(INITIAL_OUTPUT_SHARE)) as u32
    }

    /// Updates the estimate of output lengths.
    pub fn record_output(&self, admitted: &Admitted, tokens: u32) {
        let max = admitted.head.max_output_tokens.max(1);
        let sample = (f64::from(tokens) / f64::from(max)).min(1.0);
        let mut shares = self.output_shares.lock().unwrap_or_else(|e| e.into_inner());
        let name = admitted.route.name.clone();
        let share = shares.entry(name).or_insert(INITIAL_OUTPUT_SHARE);
        *share += OUTPUT_SAMPLE_WEIGHT * (sample - *share);
    }
}

// Picks one of the route's pools at random, by weight.
fn choose_pool(route: &Route) -> Option<PoolName> {
    let total: u64 = route.pools.iter().map(|(_, w)| u64::from(*w)).sum();
    if total == 0 {
        return route.pools.first().map(|(pool, _)| pool.clone());
    }
    let mut pick = rand::rng().random_range(0..total);
    let chosen = route.pools.iter().find(|(_, weight)| {
        let weight = u64::from(*weight);
        match pick < weight {
            true => true,
            false => {
                pick -= weight;
                false
            }
        }
    });
    chosen.map(|(pool, _)| pool.clone())
}
