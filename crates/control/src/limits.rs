//! Bounds the use that each workspace makes of a node.
//!
//! A workspace's limits hold for the whole system. Its callers are told a fixed
//! set of nodes, and each of these enforces an equal share.

use derive_more::Display;
use indexmap::IndexMap;
use rwd_config::Limits;
use rwd_types::{Tokens, WorkspaceName};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::time::Instant;

/// Seconds of a limit that may be used at once after a pause.
const BURST_S: f64 = 2.0;

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
    // A bucket may go into debt by its last request, so that a request larger than the burst is
    // possible at all; the debt delays the next ones.
    fn take(&mut self, amount: f64, rate: f64, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + passed * rate).min(rate * BURST_S);
        self.at = now;
        let enough = self.level >= amount.min(rate * BURST_S).max(f64::MIN_POSITIVE);
        if enough {
            self.level -= amount;
        }
        enough
    }
}

#[derive(Debug)]
struct Use {
    requests: Bucket,
    tokens: Bucket,
    concurrent: u64,
}

/// Enforces the limits of all workspaces on one node.
#[derive(Debug, Default)]
pub struct Limiter {
    uses: Mutex<IndexMap<WorkspaceName, Use>>,
}

/// Counts as one request in progress until it is dropped.
#[derive(Debug)]
pub struct Permit {
    limiter: Arc<Limiter>,
    workspace: WorkspaceName,
}

impl Limiter {
    fn lock(&self) -> MutexGuard<'_, IndexMap<WorkspaceName, Use>> {
        self.uses.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Admits a request, given the number of nodes that share the limits.
    ///
    /// # Errors
    ///
    /// The limit that the request would exceed.
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
            level: rate.map_or(0.0, share) * BURST_S,
            at: now,
        };
        let requests_per_s = limits.requests_per_s;
        let tokens_per_s = limits.tokens_per_s.map(|r| r.0);
        let mut uses = self.lock();
        let used = uses.entry(workspace.clone()).or_insert_with(|| Use {
            requests: full(requests_per_s),
            tokens: full(tokens_per_s),
            concurrent: 0,
        });
        // A share below one request would shut the workspace out of this node.
        let concurrent = limits.concurrent.map(|c| share(c).ceil() as u64);
        if concurrent.is_some_and(|most| used.concurrent >= most) {
            return Err(LimitKind::Concurrent);
        }
        if requests_per_s.is_some_and(|r| !used.requests.take(1.0, share(r), now)) {
            return Err(LimitKind::Requests);
        }
        if tokens_per_s.is_some_and(|r| !used.tokens.take(tokens.0 as f64, share(r), now)) {
            return Err(LimitKind::Tokens);
        }
        used.concurrent += 1;
        Ok(Permit {
            limiter: self.clone(),
            workspace: workspace.clone(),
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(used) = self.limiter.lock().get_mut(&self.workspace) {
            used.concurrent -= 1;
        }
    }
}
