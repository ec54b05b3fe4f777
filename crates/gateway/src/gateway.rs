//! Takes in callers' requests: who sends them, where they may go, whether they are within limits.

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
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::connection::ConnectionPool;
use crate::limits::Limiter;
use crate::quota::QuotaStatus;
use crate::refusal::Refusal;
use crate::run::Run;
use crate::slots::Slots;
use crate::{Catalog, Protocol, RequestHead, Route, StoreReplica, Workspace, clock};

/// Part of the time in which a removed key may still be used that is kept as a margin, in
/// milliseconds: requests travel before they are read.
const KEY_MARGIN_MS: f64 = 500.0;
/// Share of a route's aim for which a request waits for quota units rather than being sent away.
const QUOTA_WAIT_SHARE: f64 = 0.2;
/// Time kept for the way back to the caller, in milliseconds.
const WAY_BACK_MS: f64 = 20.0;
/// How long a body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Output of a request without an estimate, as a share of the most it may be.
const FIRST_OUTPUT_SHARE: f64 = 0.5;
/// How the longest time that callers give is forgotten, with each request.
const FULL_TIME_DECAY: f64 = 0.9999;
/// Share of that time below which a difference says nothing.
const MIN_TRIED_SHARE: f64 = 0.03;
/// Weight of a new sample in the estimate of outputs.
const OUTPUT_WEIGHT: f64 = 0.05;

/// Ends an answer so that it cannot be taken for whole.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("answer given up")]
pub struct Aborted;

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Aborted>;

/// What all requests of one node share.
pub(crate) struct Gateway<P> {
    pub protocol: P,
    pub instance: InstanceName,
    pub zone: ZoneName,
    pub replica: Arc<StoreReplica>,
    pub slots: Slots,
    pub connections: Arc<ConnectionPool>,
    pub directory: Arc<Directory>,
    pub limiter: Arc<Limiter>,
    pub output_shares: Mutex<IndexMap<CompactString, f64>>,
    /// The most time that callers of a route give a request, in milliseconds.
    pub max_time_left_ms: Mutex<IndexMap<CompactString, f64>>,
    pub metrics: Arc<Metrics>,
    pub in_progress: AtomicUsize,
    /// Whether the node is so close to its end that it takes no further request.
    pub is_closed: AtomicBool,
}

/// Counts a request as in progress.
pub(crate) struct InProgress<P>(Arc<Gateway<P>>);

impl<P> Drop for InProgress<P> {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that was let in.
pub(crate) struct Admitted {
    pub head: RequestHead,
    pub route: Arc<Route>,
    pub workspace: Option<Arc<Workspace>>,
    pub pool: PoolName,
    pub rank: Rank,
    pub arrived: Timestamp,
    /// Whether the caller is thought to have been refused before.
    pub returned: bool,
    pub deadline: Timestamp,
    /// Quota units that were taken.
    pub units: f64,
    /// Whether they are beyond the quota and only tolerated.
    pub beyond_quota: bool,
    pub catalog: Arc<Catalog>,
}

impl<P: Protocol> Gateway<P> {
    /// Answers one request.
    pub async fn serve(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        let in_progress = InProgress(self.clone());
        self.metrics.accepted.add(1, &[]);
        let arrived = clock::now();
        let (parts, body) = req.into_parts();
        if self.is_closed.load(Ordering::Relaxed) {
            return self.refused("", Refusal::Leaving);
        }
        let admitted = match self.admit(&parts, arrived).await {
            Ok(admitted) => admitted,
            Err((id, refusal)) => return self.refused(&id, refusal),
        };
        let body = match self.read_body(body, &admitted).await {
            Ok(body) => body,
            Err(refusal) => {
                self.refund_units(&admitted);
                return self.refused(&admitted.head.id, refusal);
            }
        };
        Run::new(self, admitted, parts, body, in_progress)
            .answer()
            .await
    }

    fn refused(&self, id: &str, refusal: Refusal) -> Response<Body> {
        let (status, age_ms) = (refusal.status().as_u16(), self.replica.catalog_age_ms());
        let config = self.replica.catalog().map(|c| c.version);
        info!(event = "answer", request = id, outcome:% = refusal, status, config:?, config_age_ms = age_ms as u64; "refused");
        self.metrics.ended.add(1, &[label("outcome", refusal)]);
        refusal.response()
    }

    async fn read_body(&self, body: Incoming, admitted: &Admitted) -> Result<Bytes, Refusal> {
        let most = admitted.catalog.limits.body_bytes;
        let received = receive_body(body, most, BODY_TIMEOUT).await;
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
                info!(event = "bad_request", field = e.field, reason:% = e.reason; "request cannot be read");
                return Err((CompactString::default(), Refusal::BadRequest));
            }
        };
        let id = head.id.clone();
        let mut admitted = self
            .admit_head(parts, head, arrived)
            .map_err(|r| (id.clone(), r))?;
        match self.take_units(&mut admitted).await {
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
        // An older configuration does not show that a key or a route is unknown.
        let may_judge = age_ms < bounds.apply_ms;
        let unknown = |refusal| if may_judge { refusal } else { Refusal::Stale };
        let host = parts.headers.get(http::header::HOST);
        let host = host.and_then(|h| h.to_str().ok()).or(parts.uri.host());
        let host = host.ok_or(Refusal::BadRequest)?;
        let route = catalog.route(host, parts.uri.path());
        let route = route.ok_or(unknown(Refusal::UnknownRoute))?.clone();
        let workspace = match (&head.key, catalog.needs_key(&route)) {
            (_, false) => None,
            // A removed key could pass if the view is too old, so no key passes then.
            _ if age_ms > bounds.key_removal_ms - KEY_MARGIN_MS => return Err(Refusal::Stale),
            (None, true) => return Err(Refusal::UnknownKey),
            (Some(key), true) => {
                let workspace = catalog.workspace(key);
                Some(workspace.ok_or(unknown(Refusal::UnknownKey))?.clone())
            }
        };
        let pool = choose_pool(&route).ok_or(Refusal::NotRun)?;
        let timeout_ms = match head.time_left_ms {
            Some(left) => route.timeout_ms.min(left - WAY_BACK_MS),
            None => route.timeout_ms,
        };
        let rank = Rank {
            workspace: workspace.as_ref().map_or(0, |w| w.priority),
            route: route.priority,
        };
        Ok(Admitted {
            returned: self.has_tried(&route, head.time_left_ms),
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

    // A caller that comes back after a refusal has less time left than others. Its aim may have
    // passed, but it has no further try, so it is served like a new one.
    fn has_tried(&self, route: &Route, time_left_ms: Option<f64>) -> bool {
        let Some(left) = time_left_ms else {
            return false;
        };
        let mut times = self
            .max_time_left_ms
            .lock()
            .unwrap_or_else(|e| e.into_inner());
        let full = times.entry(route.name.clone()).or_insert(left);
        *full = (*full * FULL_TIME_DECAY).max(left);
        *full - left > *full * MIN_TRIED_SHARE
    }

    // The request counts against the quota of its workspace and towards the repeats of its pool.
    async fn take_units(&self, admitted: &mut Admitted) -> Result<(), Refusal> {
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
        let mut taken = self.limiter.take(workspace, units).await;
        let bearable_ms = admitted.route.objective_ms * QUOTA_WAIT_SHARE;
        if let Err(wait_ms) = taken
            && wait_ms <= bearable_ms
        {
            tokio::time::sleep(Duration::from_secs_f64(wait_ms / 1000.0)).await;
            taken = self.limiter.take(workspace, units).await;
        }
        let mark = taken.map_err(|retry_after_ms| {
            info!(event = "over_quota", request:% = admitted.head.id, workspace:% = workspace.name, units, retry_after_ms = retry_after_ms as u64; "the workspace's quota is used up");
            Refusal::OverQuota { retry_after_ms }
        })?;
        admitted.beyond_quota = mark == QuotaStatus::Beyond;
        admitted.units = units;
        Ok(())
    }

    /// Gives back the quota units of a request that did not run; those beyond the quota would
    /// come back as units within it.
    pub fn refund_units(&self, admitted: &Admitted) {
        if let Some(workspace) = admitted
            .workspace
            .as_ref()
            .filter(|_| !admitted.beyond_quota)
        {
            self.limiter.refund(&workspace.name, admitted.units);
        }
    }

    /// The answer length to expect, in tokens.
    pub fn expected_output(&self, admitted: &Admitted) -> u32 {
        let most = admitted.head.max_output_tokens;
        if let Some(hint) = admitted.head.output_hint {
            return hint.min(most);
        }
        let shares = self.output_shares.lock().unwrap_or_else(|e| e.into_inner());
        let share = shares.get(&admitted.route.name);
        (f64::from(most) * share.copied().unwrap_or(FIRST_OUTPUT_SHARE)) as u32
    }

    /// Learns how long answers are.
    pub fn note_output(&self, admitted: &Admitted, tokens: u32) {
        let most = admitted.head.max_output_tokens.max(1);
        let sample = (f64::from(tokens) / f64::from(most)).min(1.0);
        let mut shares = self.output_shares.lock().unwrap_or_else(|e| e.into_inner());
        let name = admitted.route.name.clone();
        let share = shares.entry(name).or_insert(FIRST_OUTPUT_SHARE);
        *share += OUTPUT_WEIGHT * (sample - *share);
    }
}

// A split sends each request to one of its pools by chance.
fn choose_pool(route: &Route) -> Option<PoolName> {
    let total: u32 = route.pools.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return route.pools.first().map(|(pool, _)| pool.clone());
    }
    let mut at = rand::rng().random_range(0..total);
    let chosen = route.pools.iter().find(|(_, weight)| match at < *weight {
        true => true,
        false => {
            at -= weight;
            false
        }
    });
    chosen.map(|(pool, _)| pool.clone())
}
