//! Enforces the limits of workspaces with token buckets.
//!
//! A workspace's limits hold for the whole system. Its callers are given a fixed
//! set of nodes, and each of these enforces an equal share.

use derive_more::Display;
use indexmap::IndexMap;
use rwd_config::Limits;
use rwd_types::{Tokens, WorkspaceName};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::time::Instant;

/// Capacity of a bucket, in seconds of its refill rate.
const BURST_SECONDS: f64 = 2.0;

/// The limit that a request would exceed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LimitKind {
    /// Requests per second.
    #[display("requests_per_s")]
    Requests,
    /// Tokens per second.
    #[display("tokens_per_s")]
    Tokens,
    /// Requests in progress.
    #[display("concurrent")]
    Concurrent,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    at: Instant,
}

impl Bucket {
    // A full bucket admits even a request larger than its capacity, which would otherwise never be
    // admitted. The level then goes negative and delays the following requests.
    fn take(&mut self, amount: f64, rate: f64, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + elapsed * rate).min(rate * BURST_SECONDS);
        self.at = now;
        let enough = self.level >= amount.min(rate * BURST_SECONDS).max(f64::MIN_POSITIVE);
        if enough {
            self.level -= amount;
        }
        enough
    }
}

#[derive(Debug)]
struct Usage {
    requests: Bucket,
    tokens: Bucket,
    concurrent: u64,
}

/// Enforces the limits of all workspaces on one node.
#[derive(Debug, Default)]
pub struct Limiter {
    usages: Mutex<IndexMap<WorkspaceName, Usage>>,
}

/// Counts as one concurrent request until dropped.
#[derive(Debug)]
pub struct Permit {
    limiter: Arc<Limiter>,
    workspace: WorkspaceName,
}

impl Limiter {
    fn lock(&self) -> MutexGuard<'_, IndexMap<WorkspaceName, Usage>> {
        self.usages.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Admits a request if it is within this node's share, where `nodes` share the limits.
    ///
    /// # Errors
    ///
    /// Returns the limit that the request would exceed.
    pub fn admit(
        self: &Arc<Self>,
        workspace: &WorkspaceName,
        limits: &Limits,
        tokens: Tokens,
        nodes: usize,
    ) -> Result<Permit, LimitKind> {
        let now = Instant::now();
        let share = |limit: u64| limit as f64 / nodes.max(1) as f64;
        let full = |rate: Option<u64>| Bucket {
            level: rate.map_or(0.0, share) * BURST_SECONDS,
            at: now,
        };
        let requests_per_s = limits.requests_per_s;
        let tokens_per_s = limits.tokens_per_s.map(|r| r.0);
        let mut usages = self.lock();
        let usage = usages.entry(workspace.clone()).or_insert_with(|| Usage {
            requests: full(requests_per_s),
            tokens: full(tokens_per_s),
            concurrent: 0,
        });
        // Rounded up: with a share below one, this node would reject every request.
        let concurrent = limits.concurrent.map(|c| share(c).ceil() as u64);
        if concurrent.is_some_and(|max| usage.concurrent >= max) {
            return Err(LimitKind::Concurrent);
        }
        if requests_per_s.is_some_and(|r| !usage.requests.take(1.0, share(r), now)) {
            return Err(LimitKind::Requests);
        }
        if tokens_per_s.is_some_and(|r| !usage.tokens.take(tokens.0 as f64, share(r), now)) {
            return Err(LimitKind::Tokens);
        }
        usage.concurrent += 1;
        Ok(Permit {
            limiter: self.clone(),
            workspace: workspace.clone(),
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(usage) = self.limiter.lock().get_mut(&self.workspace) {
            usage.concurrent -= 1;
        }
    }
}
