//! Asks for quota units: from what this node has leased, the workspace's banker, its own share.

use indexmap::IndexMap;
use log::info;
use rwd_peer::{Directory, Error, Links, first_by_cpu, new_incarnation};
use rwd_types::{InstanceName, PoolName, WorkspaceName};
use rwd_wire::{Message, QuotaTotals};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

use crate::quota::{
    LeaseReply, LocalQuota, NodeCounter, NodeCounts, QuotaBuckets, QuotaStatus, RetryBudget,
};
use crate::{Bounds, StoreReplica, Workspace, clock};

/// How long a banker may take to answer: some round trips between zones.
const BANKER_LIMIT: Duration = Duration::from_millis(120);

#[derive(Default)]
struct Inner {
    shares: NodeCounter,
    bank: QuotaBuckets,
    purse: LocalQuota,
    repeats: RetryBudget,
}

/// The limits that a node keeps together with all others.
pub(crate) struct Limiter {
    own: InstanceName,
    directory: Arc<Directory>,
    links: Arc<Links>,
    replica: Arc<StoreReplica>,
    bounds: Mutex<Bounds>,
    inner: Mutex<Inner>,
}

impl Limiter {
    pub fn new(
        own: InstanceName,
        directory: Arc<Directory>,
        links: Arc<Links>,
        replica: Arc<StoreReplica>,
        bounds: Bounds,
    ) -> Self {
        Self {
            own,
            directory,
            links,
            replica,
            bounds: Mutex::new(bounds),
            inner: Mutex::new(Inner {
                purse: LocalQuota::new(new_incarnation()),
                ..Inner::default()
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The bounds in force.
    pub fn bounds(&self) -> Bounds {
        self.bounds
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone()
    }

    /// Puts other bounds in force.
    pub fn set_bounds(&self, bounds: Bounds) {
        *self.bounds.lock().unwrap_or_else(|e| e.into_inner()) = bounds;
    }

    fn nodes(&self, inner: &mut Inner) -> NodeCounts {
        let view = self.directory.view();
        inner.shares.count(view.members.keys(), clock::now())
    }

    /// Which part of the nodes this one can see.
    pub fn visible_share(&self) -> f64 {
        let mut inner = self.lock();
        self.nodes(&mut inner).visible_share()
    }

    /// Takes in how many nodes the store lists.
    pub fn set_listed_nodes(&self, count: usize) {
        self.lock().shares.set_listed_nodes(count, clock::now());
    }

    /// Fills the buckets of the workspaces that this node is banker of; called several times a
    /// second.
    pub fn refill_buckets(&self) {
        let Some(catalog) = self.replica.catalog() else {
            return;
        };
        let own = |w: &&Arc<Workspace>| self.banker(&w.name).as_ref() == Some(&self.own);
        let kept: IndexMap<_, _> = catalog
            .workspaces()
            .filter(own)
            .map(|w| (&w.name, w))
            .collect();
        let bounds = self.bounds();
        let mut inner = self.lock();
        let nodes = self.nodes(&mut inner);
        let now = clock::now();
        inner.bank.retain(|name| kept.contains_key(name));
        for (name, workspace) in kept {
            inner
                .bank
                .refill(name, &workspace.quota, nodes, &bounds, now);
        }
    }

    /// Takes units of a workspace's quota.
    ///
    /// # Errors
    ///
    /// The milliseconds after which they will be there.
    pub async fn take(&self, workspace: &Workspace, units: f64) -> Result<QuotaStatus, f64> {
        if workspace.quota.per_s <= 0.0 {
            return Ok(QuotaStatus::Within);
        }
        if self.lock().purse.take(&workspace.name, units, clock::now()) {
            return Ok(QuotaStatus::Within);
        }
        let banker = self.banker(&workspace.name);
        let lease = match banker {
            Some(name) if name != self.own => match self.ask(&name, workspace, units).await {
                Ok(lease) => lease,
                Err(e) => {
                    info!(event = "banker_lost", workspace:% = workspace.name, banker:% = name, error:% = e; "using this node's own share");
                    self.own_share(workspace, units)
                }
            },
            _ => {
                let totals = self.totals(&workspace.name);
                self.lease(&self.own, workspace, units, totals)
            }
        };
        match lease {
            LeaseReply::Granted { mark, .. } => Ok(mark),
            LeaseReply::Exhausted { retry_after_ms } => Err(retry_after_ms),
        }
    }

    /// Gives back units of a request that did not run.
    pub fn refund(&self, workspace: &WorkspaceName, units: f64) {
        self.lock().purse.refund(workspace, units, clock::now());
    }

    fn banker(&self, workspace: &WorkspaceName) -> Option<InstanceName> {
        let view = self.directory.view();
        let key = xxh3_64(workspace.as_str().as_bytes());
        first_by_cpu(key, view.active()).map(|m| m.name.clone())
    }

    fn totals(&self, workspace: &WorkspaceName) -> QuotaTotals {
        self.lock().purse.totals(workspace, clock::now())
    }

    fn lease(
        &self,
        node: &InstanceName,
        workspace: &Workspace,
        units: f64,
        totals: QuotaTotals,
    ) -> LeaseReply {
        let bounds = self.bounds();
        let mut inner = self.lock();
        let nodes = self.nodes(&mut inner);
        let (name, quota) = (&workspace.name, &workspace.quota);
        let now = clock::now();
        inner.bank.settle(name, node, totals, now);
        inner.bank.lease(name, quota, units, nodes, &bounds, now)
    }

    fn own_share(&self, workspace: &Workspace, units: f64) -> LeaseReply {
        let bounds = self.bounds();
        let mut inner = self.lock();
        let nodes = self.nodes(&mut inner);
        let (name, quota) = (&workspace.name, &workspace.quota);
        inner
            .purse
            .own_share(name, quota, units, nodes, &bounds, clock::now())
    }

    async fn ask(
        &self,
        banker: &InstanceName,
        workspace: &Workspace,
        units: f64,
    ) -> rwd_peer::Result<LeaseReply> {
        let demand = Message::Demand {
            workspace: workspace.name.clone(),
            units,
            totals: self.totals(&workspace.name),
        };
        match self.links.ask(banker, &demand, BANKER_LIMIT).await? {
            Message::Leased { units, within } => {
                let mark = if within {
                    QuotaStatus::Within
                } else {
                    QuotaStatus::Beyond
                };
                Ok(LeaseReply::Granted { units, mark })
            }
            Message::Exhausted { retry_after_ms } => Ok(LeaseReply::Exhausted { retry_after_ms }),
            _ => Err(Error::Unexpected),
        }
    }

    /// Answers the demand of a peer.
    pub fn answer(
        &self,
        from: &InstanceName,
        workspace: &WorkspaceName,
        units: f64,
        totals: QuotaTotals,
    ) -> Message {
        let catalog = self.replica.catalog();
        let known = catalog.as_ref().and_then(|c| c.workspace_named(workspace));
        let lease = match known {
            Some(workspace) => self.lease(from, workspace, units, totals),
            // The peer knows a newer configuration; it asks again or uses its own share.
            None => return Message::Unknown,
        };
        match lease {
            LeaseReply::Granted { units, mark } => Message::Leased {
                units,
                within: mark == QuotaStatus::Within,
            },
            LeaseReply::Exhausted { retry_after_ms } => Message::Exhausted { retry_after_ms },
        }
    }

    /// Counts a request of a caller towards the repeats of its pool.
    pub fn record_request(&self, pool: &PoolName) {
        let bounds = self.bounds();
        self.lock()
            .repeats
            .record_request(pool, &bounds, clock::now());
    }

    /// Whether one more send of a request is within the budget; counts it if so.
    pub fn may_retry(&self, pool: &PoolName) -> bool {
        let bounds = self.bounds();
        let mut inner = self.lock();
        let nodes = self.nodes(&mut inner);
        inner.repeats.try_retry(pool, nodes, &bounds, clock::now())
    }
}
