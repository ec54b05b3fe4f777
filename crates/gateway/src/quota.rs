//! This node's share of limits that hold for all nodes together.
//!
//! Every node takes the same fixed share, so that nodes that cannot talk to one
//! another stay within the limit together.

use indexmap::IndexMap;
use rwd_placement::Moment;
use rwd_types::{InstanceName, PoolName, WorkspaceName};
use std::collections::VecDeque;

use crate::{Bounds, Quota};

/// Share of the slack that buckets may hold beyond the burst; the rest covers restarts and
/// nodes that disagree on their number.
const SLACK_SHARE: f64 = 0.4;
/// Share of the stated repeats that is used.
const REPEAT_SHARE: f64 = 0.8;
/// How long a node that is gone keeps its share, in milliseconds: for as long it may in truth be
/// cut off and serving.
const SHARE_RETENTION_MS: f64 = 12_000.0;

/// Counts the nodes that shares are made for.
#[derive(Default)]
pub struct Shares {
    seen: IndexMap<InstanceName, Moment>,
}

impl Shares {
    /// Takes in the nodes that are alive now and gives the number of shares.
    pub fn count<'a>(
        &mut self,
        alive: impl Iterator<Item = &'a InstanceName>,
        now: Moment,
    ) -> usize {
        for name in alive {
            self.seen.insert(name.clone(), now);
        }
        self.seen.retain(|_, at| now - *at < SHARE_RETENTION_MS);
        self.seen.len().max(1)
    }
}

struct Bucket {
    level: f64,
    at: Moment,
}

/// Token buckets of the workspaces.
#[derive(Default)]
pub struct Quotas {
    buckets: IndexMap<WorkspaceName, Bucket>,
}

impl Quotas {
    /// Takes `units` from a workspace's share, or says in how many milliseconds they will be there.
    ///
    /// # Errors
    ///
    /// The milliseconds until the share holds that many units.
    pub fn take(
        &mut self,
        workspace: &WorkspaceName,
        quota: &Quota,
        units: f64,
        nodes: usize,
        bounds: &Bounds,
        now: Moment,
    ) -> Result<(), f64> {
        if quota.per_s <= 0.0 {
            return Ok(());
        }
        let nodes = nodes.max(1) as f64;
        let rate = quota.per_s / nodes / 1000.0;
        let capacity = (quota.burst + bounds.quota_slack * SLACK_SHARE) / nodes;
        let bucket = self.buckets.entry(workspace.clone()).or_insert(Bucket {
            level: capacity / 2.0,
            at: now,
        });
        bucket.level = (bucket.level + (now - bucket.at).max(0.0) * rate).min(capacity);
        bucket.at = now;
        // A request larger than the whole share passes when the bucket is full.
        let need = units.min(capacity);
        match bucket.level >= need {
            true => {
                bucket.level -= units;
                Ok(())
            }
            false => Err((need - bucket.level) / rate),
        }
    }

    /// Gives back units of a request that did not run.
    pub fn put_back(&mut self, workspace: &WorkspaceName, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.level += units;
        }
    }
}

/// Repeated sends of one pool in a sliding window.
#[derive(Default)]
struct Window {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

/// Bounds repeated sends so that they cannot multiply the load of a failing pool.
#[derive(Default)]
pub struct RepeatBudget {
    pools: IndexMap<PoolName, Window>,
}

impl RepeatBudget {
    /// Counts a request of a caller.
    pub fn request(&mut self, pool: &PoolName, bounds: &Bounds, now: Moment) {
        let window = self.pools.entry(pool.clone()).or_default();
        window.requests.push_back(now);
        window.trim(bounds, now);
    }

    /// Whether one more repeated send is within this node's share; counts it if so.
    pub fn repeat(&mut self, pool: &PoolName, nodes: usize, bounds: &Bounds, now: Moment) -> bool {
        let window = self.pools.entry(pool.clone()).or_default();
        window.trim(bounds, now);
        let slack = bounds.repeat_slack / nodes.max(1) as f64;
        let allowed = REPEAT_SHARE * (bounds.repeat_ratio * window.requests.len() as f64 + slack);
        let within = (window.repeats.len() as f64) + 1.0 <= allowed;
        if within {
            window.repeats.push_back(now);
        }
        within
    }
}

impl Window {
    fn trim(&mut self, bounds: &Bounds, now: Moment) {
        let oldest = now + -(bounds.repeat_window_s * 1000.0);
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|t| *t < oldest) {
                times.pop_front();
            }
        }
    }
}
