//! Limits that hold for all nodes together: workspaces' quotas and the budget of repeats.
//!
//! One node, the workspace's banker, holds the bucket that all nodes draw on; it
//! hands out leases, request by request. A banker that sees only some of the nodes fills its
//! bucket at their share of the rate, so that parts of a cut system stay within
//! the quota together. A node that gets no answer from its banker uses its own fixed share,
//! and the banker takes that off its bucket as soon as it hears of it.

use indexmap::IndexMap;
use rwd_placement::Timestamp;
use rwd_types::{Incarnation, InstanceName, PoolName, WorkspaceName};
use rwd_wire::QuotaTotals;
use std::collections::VecDeque;

use crate::{Bounds, Quota};

/// Share of the slack that a bucket may hold beyond the burst; the rest covers what nodes have
/// leased and not used, and bankers that follow one another.
const SLACK_SHARE: f64 = 0.8;
/// Share of the stated repeats that is used.
const REPEAT_SHARE: f64 = 0.8;
/// How long a node that is gone keeps its share, in milliseconds: for as long it may in truth be
/// cut off and serving.
const SHARE_RETENTION_MS: f64 = 20_000.0;
/// How long a node keeps the units of a request that did not run for the next one, in
/// milliseconds.
const LEASE_MS: f64 = 1500.0;
/// Least burst that a bucket holds, in seconds of its rate.
const MIN_BURST_S: f64 = 0.5;
/// Share of a full bucket at which a request larger than it passes.
const NEARLY_FULL: f64 = 0.95;
/// Longest time after which a refused caller is told to come back, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 10_000.0;

/// Nodes that are assumed until a starting node has learned how many there are: the size that the
/// system is designed for.
const UNKNOWN_NODES: usize = 390;

/// Counts the nodes that shares are made for.
#[derive(Debug)]
pub struct NodeCounter {
    seen: IndexMap<InstanceName, Timestamp>,
    // A node that has just started sees few others, and may not take their shares for that.
    floor: usize,
    floor_until: Option<Timestamp>,
}

impl Default for NodeCounter {
    fn default() -> Self {
        Self {
            seen: IndexMap::new(),
            floor: UNKNOWN_NODES,
            floor_until: None,
        }
    }
}

/// The nodes that are alive, and all that may be serving somewhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeCounts {
    /// Alive as seen from here.
    pub alive: usize,
    /// Alive now or not long ago.
    pub all: usize,
}

impl NodeCounts {
    /// The part of a limit that may be used from here.
    pub fn visible_share(self) -> f64 {
        self.alive.max(1) as f64 / self.all.max(1) as f64
    }

    /// The part of a limit that one node may use by itself.
    pub fn own_share(self) -> f64 {
        1.0 / self.all.max(1) as f64
    }
}

impl NodeCounter {
    /// Takes in the nodes that are alive now.
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

    /// Takes in how many nodes the store lists; from then on what this node sees itself comes to
    /// count more and more.
    pub fn set_listed_nodes(&mut self, count: usize, now: Timestamp) {
        self.floor = count.max(1);
        self.floor_until = Some(now + SHARE_RETENTION_MS);
    }
}

/// A bucket of quota units that fills with time.
///
/// Units within the quota and units that are merely tolerated are kept apart, as in the two-rate
/// marker of RFC 2698: what is beyond the quota is served only where it takes nobody's place.
#[derive(Clone, Debug)]
struct Bucket {
    within: f64,
    beyond: f64,
    at: Timestamp,
    // Units that refused callers were told to come back for.
    promised: f64,
    // What each node last said of its use of units.
    totals: IndexMap<InstanceName, QuotaTotals>,
}

/// How fast a bucket fills, in units a millisecond, and how much it holds.
struct Fill {
    rate: f64,
    within: f64,
    excess_rate: f64,
    beyond: f64,
}

impl Fill {
    fn new(quota: &Quota, share: f64, bounds: &Bounds) -> Self {
        let rate = quota.per_s * share / 1000.0;
        Self {
            rate,
            within: quota.burst.max(quota.per_s * MIN_BURST_S) * share,
            excess_rate: rate * bounds.quota_excess,
            beyond: bounds.quota_slack * SLACK_SHARE * share,
        }
    }
}

impl Bucket {
    // Empty, so that one that replaces a lost one grants nothing twice.
    fn new(now: Timestamp) -> Self {
        Self {
            within: 0.0,
            beyond: 0.0,
            at: now,
            promised: 0.0,
            totals: IndexMap::new(),
        }
    }

    // Totals rather than differences: a message that is lost, late or repeated changes nothing.
    fn settle(&mut self, node: &InstanceName, totals: QuotaTotals) {
        let before = match self.totals.get(node) {
            // What a node did under an earlier banker does not concern this one.
            None => totals,
            Some(before) if totals.life > before.life => QuotaTotals::default(),
            Some(before) => *before,
        };
        let is_late = before.life > totals.life
            || before.spent_alone > totals.spent_alone
            || before.returned > totals.returned;
        if is_late {
            return;
        }
        self.within += totals.returned - before.returned;
        self.within -= totals.spent_alone - before.spent_alone;
        self.totals.insert(node.clone(), totals);
    }

    fn fill(&mut self, fill: &Fill, now: Timestamp) {
        let ms = (now - self.at).max(0.0);
        let gained = ms * fill.rate;
        let spilt = (self.within + gained - fill.within).max(0.0);
        self.within += gained - spilt;
        // What the quota does not use makes up for what was tolerated before.
        self.beyond = (self.beyond + ms * fill.excess_rate + spilt).min(fill.beyond);
        self.promised = (self.promised - gained).max(0.0);
        self.at = now;
    }

    // A request larger than a whole bucket passes when that is full; the level goes below zero.
    fn take(&mut self, fill: &Fill, units: f64) -> Option<QuotaStatus> {
        if self.within >= units.min(fill.within * NEARLY_FULL) {
            self.within -= units;
            return Some(QuotaStatus::Within);
        }
        if self.beyond >= units {
            self.beyond -= units;
            return Some(QuotaStatus::Beyond);
        }
        None
    }

    fn refuse(&mut self, units: f64, rate: f64) -> f64 {
        let wait = (units + self.promised - self.within).max(0.0) / rate.max(1e-9);
        if wait < MAX_RETRY_AFTER_MS {
            self.promised += units;
        }
        wait.min(MAX_RETRY_AFTER_MS)
    }
}

/// Whether units are within a quota or only tolerated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaStatus {
    /// Within the quota.
    Within,
    /// Beyond it, within what is tolerated.
    Beyond,
}

/// What a banker or a node's own share says to a demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseReply {
    /// Units that may be used now.
    Granted {
        /// How many.
        units: f64,
        /// Whether they are within the quota.
        mark: QuotaStatus,
    },
    /// The quota is used up.
    Exhausted {
        /// When the demand can be met, in milliseconds.
        retry_after_ms: f64,
    },
}

/// The buckets that all nodes draw on, at the node that keeps them.
#[derive(Debug, Default)]
pub struct QuotaBuckets {
    buckets: IndexMap<WorkspaceName, Bucket>,
}

impl QuotaBuckets {
    fn bucket(&mut self, workspace: &WorkspaceName, now: Timestamp) -> &mut Bucket {
        let bucket = self.buckets.entry(workspace.clone());
        bucket.or_insert_with(|| Bucket::new(now))
    }

    /// Fills the bucket of a workspace that this node is banker of.
    ///
    /// Called all the time, so that a bucket fills before the first demand, and with the share of
    /// the nodes that could be seen at the time.
    pub fn refill(
        &mut self,
        workspace: &WorkspaceName,
        quota: &Quota,
        nodes: NodeCounts,
        bounds: &Bounds,
        now: Timestamp,
    ) {
        let bucket = self.bucket(workspace, now);
        bucket.fill(&Fill::new(quota, nodes.visible_share(), bounds), now);
    }

    /// Drops the buckets of all other workspaces: should this node become their banker again, it
    /// must not grant what another one has granted meanwhile.
    pub fn retain(&mut self, mut is_kept: impl FnMut(&WorkspaceName) -> bool) {
        self.buckets.retain(|name, _| is_kept(name));
    }

    /// Takes in what a node has used without a lease, and what it leased and did not use.
    pub fn settle(
        &mut self,
        workspace: &WorkspaceName,
        node: &InstanceName,
        totals: QuotaTotals,
        now: Timestamp,
    ) {
        let bucket = self.bucket(workspace, now);
        bucket.settle(node, totals);
    }

    /// Answers a demand for `units`.
    pub fn lease(
        &mut self,
        workspace: &WorkspaceName,
        quota: &Quota,
        units: f64,
        nodes: NodeCounts,
        bounds: &Bounds,
        now: Timestamp,
    ) -> LeaseReply {
        let bucket = self.bucket(workspace, now);
        let fill = Fill::new(quota, nodes.visible_share(), bounds);
        bucket.fill(&fill, now);
        match bucket.take(&fill, units) {
            Some(mark) => LeaseReply::Granted { units, mark },
            None => LeaseReply::Exhausted {
                retry_after_ms: bucket.refuse(units, fill.rate),
            },
        }
    }
}

struct Leased {
    units: f64,
    until: Timestamp,
}

/// What one node has leased, and its fixed shares for when it reaches no banker.
#[derive(Default)]
pub struct LocalQuota {
    life: Incarnation,
    leased: IndexMap<WorkspaceName, Leased>,
    own: QuotaBuckets,
    totals: IndexMap<WorkspaceName, QuotaTotals>,
}

impl LocalQuota {
    /// An empty purse of a node's life; lives of one node grow.
    pub fn new(life: Incarnation) -> Self {
        Self {
            life,
            ..Self::default()
        }
    }

    /// Takes units from what is leased already.
    pub fn take(&mut self, workspace: &WorkspaceName, units: f64, now: Timestamp) -> bool {
        match self.leased.get_mut(workspace) {
            Some(l) if l.until > now && l.units >= units => {
                l.units -= units;
                true
            }
            _ => false,
        }
    }

    /// Adds units of a request that did not run.
    pub fn refund(&mut self, workspace: &WorkspaceName, units: f64, now: Timestamp) {
        self.expire(workspace, now);
        let until = now + LEASE_MS;
        let l = self.leased.entry(workspace.clone());
        let l = l.or_insert(Leased { units: 0.0, until });
        if l.units <= 0.0 {
            l.until = until;
        }
        l.units += units;
    }

    // What lapses goes back to the banker.
    fn expire(&mut self, workspace: &WorkspaceName, now: Timestamp) {
        if let Some(l) = self.leased.get_mut(workspace).filter(|l| l.until <= now) {
            let lapsed = std::mem::take(&mut l.units);
            self.totals.entry(workspace.clone()).or_default().returned += lapsed;
        }
    }

    /// Answers a demand from the node's fixed share.
    pub fn own_share(
        &mut self,
        workspace: &WorkspaceName,
        quota: &Quota,
        units: f64,
        nodes: NodeCounts,
        bounds: &Bounds,
        now: Timestamp,
    ) -> LeaseReply {
        let alone = NodeCounts {
            alive: 1,
            all: nodes.all,
        };
        let lease = self.own.lease(workspace, quota, units, alone, bounds, now);
        if let LeaseReply::Granted { units, .. } = lease {
            let totals = self.totals.entry(workspace.clone()).or_default();
            totals.spent_alone += units;
        }
        lease
    }

    /// What the banker is told with each demand.
    pub fn totals(&mut self, workspace: &WorkspaceName, now: Timestamp) -> QuotaTotals {
        self.expire(workspace, now);
        let totals = self.totals.get(workspace).copied().unwrap_or_default();
        QuotaTotals {
            life: self.life,
            ..totals
        }
    }
}

/// Repeated sends of one pool in a sliding window.
#[derive(Default)]
struct Window {
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

/// Bounds repeated sends so that they cannot multiply the load of a failing pool.
#[derive(Default)]
pub struct RetryBudget {
    pools: IndexMap<PoolName, Window>,
}

impl RetryBudget {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, pool: &PoolName, bounds: &Bounds, now: Timestamp) {
        let window = self.pools.entry(pool.clone()).or_default();
        window.requests.push_back(now);
        window.trim(bounds, now);
    }

    /// Whether one more repeated send is within this node's share; counts it if so.
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
        let allowed = REPEAT_SHARE * (bounds.repeat_ratio * window.requests.len() as f64 + slack);
        let within = (window.repeats.len() as f64) + 1.0 <= allowed;
        if within {
            window.repeats.push_back(now);
        }
        within
    }
}

impl Window {
    fn trim(&mut self, bounds: &Bounds, now: Timestamp) {
        let oldest = now + -(bounds.repeat_window_s * 1000.0);
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|t| *t < oldest) {
                times.pop_front();
            }
        }
    }
}
