//! Cluster-wide limits: workspace quotas and the retry budget.
//!
//! One node, the workspace's quota coordinator, has the token bucket of the workspace and grants
//! all nodes a lease for each request. A coordinator that sees only some of the nodes refills its
//! bucket at their share of the rate, so that the sides of a network partition together stay within
//! the quota. A node that gets no reply from its coordinator uses its own fixed share. Each demand
//! reports what the node was granted by others than the coordinator, which deducts it from the
//! bucket: nodes may disagree for seconds on who the coordinator is.

use indexmap::IndexMap;
use rwd_placement::Timestamp;
use rwd_types::{Incarnation, InstanceName, PoolName, WorkspaceName};
use rwd_wire::QuotaTotals;
use std::collections::VecDeque;

use crate::{Bounds, Quota};

/// Fraction of `quota_slack` and of `quota_excess` that buckets grant; the rest covers units that
/// nodes have leased but not used, and the time in which nodes disagree on the coordinator.
const TOLERANCE_SHARE: f64 = 0.65;
/// Fraction of the configured retry budget that is used.
const RETRY_BUDGET_SHARE: f64 = 0.8;
/// How long a node that is no longer seen keeps its share, in milliseconds: it may be partitioned
/// away and still serving.
const SHARE_RETENTION_MS: f64 = 20_000.0;
/// How long a node keeps the units of a request that did not run for its next requests, in
/// milliseconds.
const LEASE_MS: f64 = 1500.0;
/// Minimum burst of a bucket, in seconds of its rate.
const MIN_BURST_S: f64 = 0.5;
/// Fraction of the capacity from which on a request larger than the bucket is granted.
const NEARLY_FULL: f64 = 0.95;
/// Fraction of its own share that a node uses when its coordinator does not reply: the successor
/// may count the node as its own already.
const UNANSWERED_SHARE: f64 = 0.5;
/// Time since the last refill above which a bucket is emptied, in milliseconds: longer than a node
/// that is short of CPU takes, and shorter than its peers take to replace it.
const MAX_REFILL_GAP_MS: f64 = 1500.0;
/// Longest retry-after time given to a refused caller, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 10_000.0;

/// Number of nodes that a starting node assumes until it knows the actual number: the size that the
/// system is designed for.
const ASSUMED_NODES: usize = 390;

/// Counts the nodes among which a limit is divided.
#[derive(Debug)]
pub struct NodeCounter {
    seen: IndexMap<InstanceName, Timestamp>,
    // Lower bound of the count: a starting node sees few others and must not claim their shares.
    floor: usize,
    floor_until: Option<Timestamp>,
}

impl Default for NodeCounter {
    fn default() -> Self {
        Self {
            seen: IndexMap::new(),
            floor: ASSUMED_NODES,
            floor_until: None,
        }
    }
}

/// The number of live nodes, and of all nodes that may still be serving.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeCounts {
    /// Nodes that are alive as seen from this one.
    pub alive: usize,
    /// Nodes that are alive now or were until recently.
    pub all: usize,
}

impl NodeCounts {
    /// Fraction of a limit that the visible nodes may use together.
    pub fn visible_share(self) -> f64 {
        self.alive.max(1) as f64 / self.all.max(1) as f64
    }

    /// Fraction of a limit that one node may use on its own.
    pub fn own_share(self) -> f64 {
        1.0 / self.all.max(1) as f64
    }
}

impl NodeCounter {
    /// Records the nodes that are alive now and returns the counts.
    pub fn count<'a>(
        &mut self,
        alive: impl Iterator<Item = &'a InstanceName>,
        now: Timestamp,
    ) -> NodeCounts {
        let mut count = 0;
        for name in alive {
            count += 1;
            self.seen.insert(name.clone(), now);
        }
        self.seen.retain(|_, at| now - *at < SHARE_RETENTION_MS);
        if self.floor_until.is_some_and(|until| now >= until) {
            self.floor = 1;
        }
        NodeCounts {
            alive: count.max(1),
            all: self.seen.len().max(self.floor),
        }
    }

    /// Sets the number of nodes that the store lists; it is the lower bound of the count until
    /// this node has had time to see the others itself.
    pub fn set_listed_nodes(&mut self, count: usize, now: Timestamp) {
        self.floor = count.max(1);
        self.floor_until = Some(now + SHARE_RETENTION_MS);
    }
}

/// A token bucket of quota units.
///
/// Units within the quota and excess units are kept apart, as in the two-rate marker of RFC 2698:
/// requests beyond the quota are served only where they displace no other request.
#[derive(Clone, Debug)]
struct Bucket {
    within: f64,
    beyond: f64,
    filled_at: Timestamp,
    // Units that are expected to be claimed by refused callers at their retry-after times.
    promised: f64,
    // The latest usage report of each node.
    totals: IndexMap<InstanceName, Report>,
}

/// Earlier incarnations of a node whose late reports are recognized.
const MAX_EARLIER_LIVES: usize = 2;

// Incarnations are told apart but not ordered: a process may restart after its clock was set back.
#[derive(Clone, Copy, Debug)]
struct Report {
    totals: QuotaTotals,
    earlier: [Incarnation; MAX_EARLIER_LIVES],
}

impl Report {
    fn first(totals: QuotaTotals) -> Self {
        Self {
            totals,
            earlier: [totals.life; MAX_EARLIER_LIVES],
        }
    }

    // The first report of the next incarnation, which started from zero.
    fn next_life(&self, life: Incarnation) -> Self {
        let mut earlier = self.earlier;
        earlier.rotate_right(1);
        earlier[0] = self.totals.life;
        let totals = QuotaTotals {
            life,
            ..QuotaTotals::default()
        };
        Self { totals, earlier }
    }
}

/// Refill rates of a bucket, in units per millisecond, and its capacities.
struct BucketParams {
    rate: f64,
    within: f64,
    excess_rate: f64,
    beyond: f64,
}

impl BucketParams {
    fn new(quota: &Quota, share: f64, bounds: &Bounds) -> Self {
        let rate = quota.per_s * share / 1000.0;
        // While a node is missing, nodes may disagree on the coordinator, and the whole tolerance
        // is left for what they grant beside each other.
        let tolerance = match share >= 1.0 {
            true => TOLERANCE_SHARE,
            false => 0.0,
        };
        Self {
            rate,
            within: quota.burst.max(quota.per_s * MIN_BURST_S) * share,
            excess_rate: rate * bounds.quota_excess * tolerance,
            beyond: bounds.quota_slack * tolerance,
        }
    }
}

impl Bucket {
    // Starts empty, so that a bucket that replaces a lost one grants nothing twice.
    fn new(now: Timestamp) -> Self {
        Self {
            within: 0.0,
            beyond: 0.0,
            filled_at: now,
            promised: 0.0,
            totals: IndexMap::new(),
        }
    }

    // A process that was suspended has been replaced, and another node has granted units meanwhile.
    fn restart_after_gap(&mut self, now: Timestamp) {
        if now - self.filled_at > MAX_REFILL_GAP_MS {
            *self = Self::new(now);
        }
    }

    // Reports are running totals, so that lost, late or duplicate messages do no harm.
    fn reconcile(&mut self, node: &InstanceName, totals: QuotaTotals) {
        let known = match self.totals.get(node) {
            // Usage under an earlier coordinator does not count against this bucket.
            None => Report::first(totals),
            Some(known) if known.totals.life == totals.life => *known,
            Some(known) if known.earlier.contains(&totals.life) => return,
            Some(known) => known.next_life(totals.life),
        };
        let before = known.totals;
        if before.spent_alone > totals.spent_alone || before.returned > totals.returned {
            return;
        }
        self.within += totals.returned - before.returned;
        self.within -= totals.spent_alone - before.spent_alone;
        self.totals.insert(node.clone(), Report { totals, ..known });
    }

    fn refill(&mut self, params: &BucketParams, now: Timestamp) {
        let ms = (now - self.filled_at).max(0.0);
        let gained = ms * params.rate;
        let overflow = (self.within + gained - params.within).max(0.0);
        self.within += gained - overflow;
        // Unused quota replenishes the excess units that were granted earlier.
        self.beyond = (self.beyond + ms * params.excess_rate + overflow).min(params.beyond);
        self.promised = (self.promised - gained).max(0.0);
        self.filled_at = now;
    }

    // A request larger than the bucket is granted once that is nearly full, and overdraws it.
    fn take(&mut self, params: &BucketParams, units: f64) -> Option<QuotaStatus> {
        if self.within >= units.min(params.within * NEARLY_FULL) {
            self.within -= units;
            return Some(QuotaStatus::Within);
        }
        if self.beyond >= units {
            self.beyond -= units;
            return Some(QuotaStatus::Beyond);
        }
        None
    }

    fn retry_after(&mut self, units: f64, rate: f64) -> f64 {
        let wait = (units + self.promised - self.within).max(0.0) / rate.max(1e-9);
        if wait < MAX_RETRY_AFTER_MS {
            self.promised += units;
        }
        wait.min(MAX_RETRY_AFTER_MS)
    }
}

/// Whether granted units are within the quota or excess units.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaStatus {
    /// Within the quota.
    Within,
    /// Beyond the quota, within the tolerated excess.
    Beyond,
}

/// The reply to a demand for units, from the coordinator or from the node's own share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseReply {
    /// The units may be used now.
    Granted {
        /// Number of units.
        units: f64,
        /// Whether they are within the quota.
        status: QuotaStatus,
    },
    /// The quota is exhausted.
    Exhausted {
        /// Time until the demand can be met, in milliseconds.
        retry_after_ms: f64,
    },
}

/// Token buckets of quota units, by workspace.
#[derive(Debug, Default)]
pub struct QuotaBuckets {
    buckets: IndexMap<WorkspaceName, Bucket>,
}

impl QuotaBuckets {
    fn bucket(&mut self, workspace: &WorkspaceName, now: Timestamp) -> &mut Bucket {
        let bucket = self.buckets.entry(workspace.clone());
        bucket.or_insert_with(|| Bucket::new(now))
    }

    /// Refills the bucket of a workspace that this node coordinates.
    ///
    /// Must be called twice a second, so that a bucket fills before the first demand, and at the
    /// share of the nodes that were visible at the time. A longer pause empties the bucket.
    pub fn refill(
        &mut self,
        workspace: &WorkspaceName,
        quota: &Quota,
        nodes: NodeCounts,
        bounds: &Bounds,
        now: Timestamp,
    ) {
        let bucket = self.bucket(workspace, now);
        bucket.restart_after_gap(now);
        bucket.refill(
            &BucketParams::new(quota, nodes.visible_share(), bounds),
            now,
        );
    }

    /// Drops the buckets of all other workspaces: if this node becomes their coordinator again, it
    /// must not grant units that another node has granted meanwhile.
    pub fn retain(&mut self, mut is_kept: impl FnMut(&WorkspaceName) -> bool) {
        self.buckets.retain(|name, _| is_kept(name));
    }

    /// Reconciles a bucket with a node's report of units used without a lease and refunded units.
    pub fn reconcile(
        &mut self,
        workspace: &WorkspaceName,
        node: &InstanceName,
        totals: QuotaTotals,
        now: Timestamp,
    ) {
        let bucket = self.bucket(workspace, now);
        bucket.reconcile(node, totals);
    }

    /// Leases `units`, or returns when the demand can be met.
    pub fn lease(
        &mut self,
        workspace: &WorkspaceName,
        quota: &Quota,
        units: f64,
        nodes: NodeCounts,
        bounds: &Bounds,
        now: Timestamp,
    ) -> LeaseReply {
        self.bucket(workspace, now).restart_after_gap(now);
        self.lease_share(workspace, quota, units, nodes.visible_share(), bounds, now)
    }

    fn lease_share(
        &mut self,
        workspace: &WorkspaceName,
        quota: &Quota,
        units: f64,
        share: f64,
        bounds: &Bounds,
        now: Timestamp,
    ) -> LeaseReply {
        let bucket = self.bucket(workspace, now);
        let params = BucketParams::new(quota, share, bounds);
        bucket.refill(&params, now);
        match bucket.take(&params, units) {
            Some(status) => LeaseReply::Granted { units, status },
            None => LeaseReply::Exhausted {
                retry_after_ms: bucket.retry_after(units, params.rate),
            },
        }
    }
}

struct LeasedUnits {
    units: f64,
    expires: Timestamp,
}

/// Units that one node has leased, and its fixed shares for when it reaches no coordinator.
#[derive(Default)]
pub struct LocalQuota {
    incarnation: Incarnation,
    leased: IndexMap<WorkspaceName, LeasedUnits>,
    fallback: QuotaBuckets,
    usage: IndexMap<WorkspaceName, Usage>,
}

/// Units of one workspace that one node was granted and refunded.
#[derive(Default)]
struct Usage {
    // By coordinator: units granted by others, since the coordinator was first asked.
    elsewhere: IndexMap<InstanceName, f64>,
    returned: f64,
}

impl Usage {
    // `by` is `None` for units of the node's own share.
    fn record(&mut self, by: Option<&InstanceName>, units: f64) {
        let others = self.elsewhere.iter_mut();
        for (_, total) in others.filter(|(name, _)| Some(*name) != by) {
            *total += units;
        }
    }
}

impl LocalQuota {
    /// Creates an empty value for one incarnation of a node; later incarnations are greater.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// Takes units that are already leased; returns whether there were enough.
    pub fn take(&mut self, workspace: &WorkspaceName, units: f64, now: Timestamp) -> bool {
        match self.leased.get_mut(workspace) {
            Some(l) if l.expires > now && l.units >= units => {
                l.units -= units;
                true
            }
            _ => false,
        }
    }

    /// Keeps the units of a request that did not run for the next ones.
    pub fn refund(&mut self, workspace: &WorkspaceName, units: f64, now: Timestamp) {
        self.expire(workspace, now);
        let expires = now + LEASE_MS;
        let l = self.leased.entry(workspace.clone());
        let l = l.or_insert(LeasedUnits {
            units: 0.0,
            expires,
        });
        if l.units <= 0.0 {
            l.expires = expires;
        }
        l.units += units;
    }

    // Expired units are refunded to the coordinator with the next report.
    fn expire(&mut self, workspace: &WorkspaceName, now: Timestamp) {
        if let Some(l) = self.leased.get_mut(workspace).filter(|l| l.expires <= now) {
            let expired = std::mem::take(&mut l.units);
            self.usage.entry(workspace.clone()).or_default().returned += expired;
        }
    }

    /// Meets a demand from the node's fixed share.
    pub fn lease_own_share(
        &mut self,
        workspace: &WorkspaceName,
        quota: &Quota,
        units: f64,
        nodes: NodeCounts,
        bounds: &Bounds,
        now: Timestamp,
    ) -> LeaseReply {
        let share = nodes.own_share() * UNANSWERED_SHARE;
        let lease = self
            .fallback
            .lease_share(workspace, quota, units, share, bounds, now);
        if let LeaseReply::Granted { units, .. } = lease {
            let usage = self.usage.entry(workspace.clone()).or_default();
            usage.record(None, units);
        }
        lease
    }

    /// Records units that a coordinator, which may be this node, has leased.
    pub fn record_lease(
        &mut self,
        workspace: &WorkspaceName,
        coordinator: &InstanceName,
        units: f64,
    ) {
        let usage = self.usage.entry(workspace.clone()).or_default();
        usage.record(Some(coordinator), units);
    }

    /// The usage report that a coordinator gets with each demand.
    pub fn totals(
        &mut self,
        workspace: &WorkspaceName,
        coordinator: &InstanceName,
        now: Timestamp,
    ) -> QuotaTotals {
        self.expire(workspace, now);
        let usage = self.usage.entry(workspace.clone()).or_default();
        let elsewhere = usage.elsewhere.entry(coordinator.clone()).or_default();
        QuotaTotals {
            life: self.incarnation,
            spent_alone: *elsewhere,
            returned: usage.returned,
        }
    }
}

/// Requests and retries of one pool in a sliding window.
#[derive(Default)]
struct Window {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

/// Limits retries, so that they cannot multiply the load of a failing pool.
#[derive(Default)]
pub struct RetryBudget {
    pools: IndexMap<PoolName, Window>,
}

impl RetryBudget {
    /// Records a caller's request.
    pub fn record_request(&mut self, pool: &PoolName, bounds: &Bounds, now: Timestamp) {
        let window = self.pools.entry(pool.clone()).or_default();
        window.requests.push_back(now);
        window.trim(bounds, now);
    }

    /// Whether one more retry is within this node's share of the budget; counts it if so.
    pub fn try_retry(
        &mut self,
        pool: &PoolName,
        nodes: NodeCounts,
        bounds: &Bounds,
        now: Timestamp,
    ) -> bool {
        let window = self.pools.entry(pool.clone()).or_default();
        window.trim(bounds, now);
        let slack = bounds.repeat_slack * nodes.own_share();
        let allowed =
            RETRY_BUDGET_SHARE * (bounds.repeat_ratio * window.requests.len() as f64 + slack);
        let within = (window.retries.len() as f64) + 1.0 <= allowed;
        if within {
            window.retries.push_back(now);
        }
        within
    }
}

impl Window {
    fn trim(&mut self, bounds: &Bounds, now: Timestamp) {
        let oldest = now + -(bounds.repeat_window_s * 1000.0);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|t| *t < oldest) {
                times.pop_front();
            }
        }
    }
}
